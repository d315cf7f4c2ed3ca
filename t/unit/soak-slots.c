/*
 * Random runs, with fixed seeds, of the slots of two endpoints that share one
 * load broker.
 *
 * The test keeps its own model of the engines and requests, and checks that
 *  - a request is started only in a slot where its adapter is resident;
 *  - a refused request was never started;
 *  - no adapter is unloaded while pinned or in use by a request;
 *  - loads in transit stay within the limit;
 *  - each request ends once and in bounded time.
 *
 * The environment variable SEEDS sets the number of runs.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "sched/broker.h"
#include "sched/slots.h"

#define DEFAULT_SEEDS 300
#define STEPS	      1500
#define ENGINES	      2
#define SLOTS	      3
#define CONCURRENCY   4
#define ADAPTERS      9
#define TRANSIT_LIMIT 2
#define LOAD_RATE     5
#define WAIT_LIMIT    3000
/* A request may exceed WAIT_LIMIT while its adapter is being loaded. */
#define LOAD_WAIT_GRACE 6000

typedef enum { QUEUED, RUNNING, UNCERTAIN, ENDED } phase_t;

typedef struct {
	int engine;
	int adapter;
	int slot;
	ms_t submitted;
	phase_t phase;
	gboolean started;
} request_model_t;

typedef enum { ORDER_NONE, ORDER_LOAD, ORDER_UNLOAD } order_t;

typedef struct {
	struct soak *soak;
	int index;
	char name[8];
	slots_t *slots;
	char *resident[SLOTS]; /* adapters in the modelled engine */
	order_t order[SLOTS];
	char *order_adapter[SLOTS];
	gboolean predecessor_busy[SLOTS];
	gboolean quarantined[SLOTS];
	int pins[ADAPTERS];
	gboolean leaving;
} engine_t;

typedef struct soak {
	GRand *rand;
	GRand *test_rand; /* separate from that of the code under test */
	ms_t now;
	engine_t engines[ENGINES];
	broker_t *broker;
	GArray *requests; /* request_model_t by id */
	int unfinished;	  /* requests that have not ended */
} soak_t;

static int random_below(soak_t *soak, int limit)
{
	return g_rand_int_range(soak->test_rand, 0, limit);
}

static void adapter_name(int adapter, char *name, size_t size)
{
	g_snprintf(name, size, "a%d@1", adapter);
}

static request_model_t *request_model(soak_t *soak, uint64_t id)
{
	return &g_array_index(soak->requests, request_model_t, id);
}

static int in_flight(const engine_t *engine)
{
	soak_t *soak = engine->soak;
	int count = 0;
	unsigned int i;

	for (i = 0; i < soak->requests->len; i++) {
		const request_model_t *request = request_model(soak, i);

		count += request->engine == engine->index &&
			 (request->phase == RUNNING ||
			  request->phase == UNCERTAIN);
	}
	return count;
}

static void on_start(void *ctx, uint64_t id, int slot)
{
	engine_t *engine = ctx;
	request_model_t *request = request_model(engine->soak, id);
	char name[16];

	adapter_name(request->adapter, name, sizeof(name));
	assert_int_equal(request->phase, QUEUED);
	assert_string_equal(engine->resident[slot], name);
	assert_int_equal(engine->order[slot], ORDER_NONE);
	assert_false(engine->quarantined[slot]);
	request->phase = RUNNING;
	request->started = TRUE;
	request->slot = slot;
	assert_true(in_flight(engine) <= CONCURRENCY);
}

static void on_refuse(void *ctx, uint64_t id, error_kind_t kind,
		      ms_t retry_after)
{
	engine_t *engine = ctx;
	request_model_t *request = request_model(engine->soak, id);

	assert_int_equal(request->phase, QUEUED);
	assert_false(request->started);
	assert_true(retry_after >= 0);
	if (kind == ERROR_OVERLOADED)
		assert_true(retry_after > 0);
	request->phase = ENDED;
	engine->soak->unfinished--;
}

static void on_stop(void *ctx, uint64_t id)
{
	engine_t *engine = ctx;

	assert_int_equal(request_model(engine->soak, id)->phase, RUNNING);
}

static void on_request_load(void *ctx, const load_request_t *params)
{
	engine_t *engine = ctx;

	broker_request_load(engine->soak->broker, engine->soak->now,
			    engine->name, params);
}

static void on_cancel_load(void *ctx, const char *adapter)
{
	engine_t *engine = ctx;

	broker_cancel_request(engine->soak->broker, engine->name, adapter);
}

static int count_pending_loads(const soak_t *soak)
{
	int count = 0;
	int i;

	for (i = 0; i < ENGINES * SLOTS; i++)
		count +=
			soak->engines[i / SLOTS].order[i % SLOTS] == ORDER_LOAD;
	return count;
}

static void on_order_load(void *ctx, int slot, const char *adapter)
{
	engine_t *engine = ctx;

	assert_null(engine->resident[slot]);
	assert_int_equal(engine->order[slot], ORDER_NONE);
	engine->order[slot] = ORDER_LOAD;
	engine->order_adapter[slot] = g_strdup(adapter);
	assert_true(count_pending_loads(engine->soak) <= TRANSIT_LIMIT);
}

static void on_order_unload(void *ctx, int slot, const char *adapter)
{
	engine_t *engine = ctx;
	soak_t *soak = engine->soak;
	unsigned int i;

	assert_string_equal(engine->resident[slot], adapter);
	assert_false(engine->predecessor_busy[slot]);
	assert_int_equal(engine->pins[atoi(adapter + 1)], 0);
	for (i = 0; i < soak->requests->len; i++) {
		request_model_t *request = request_model(soak, i);

		if (request->engine != engine->index || request->slot != slot)
			continue;
		assert_false(request->phase == RUNNING ||
			     request->phase == UNCERTAIN);
	}
	engine->order[slot] = ORDER_UNLOAD;
}

static void on_grant_unused(void *ctx, const char *adapter)
{
	engine_t *engine = ctx;

	broker_return_grant(engine->soak->broker, engine->soak->now,
			    engine->name, adapter);
}

/* Owners read the utilization in this callback, so it must be allowed. */
static void on_residency_change(void *ctx, const char *adapter,
				gboolean resident)
{
	engine_t *engine = ctx;
	slots_utilization_t load;

	slots_get_utilization(engine->slots, engine->soak->now, &load);
}

static const slots_actions_t slots_actions = {
	.start = on_start,
	.refuse = on_refuse,
	.stop = on_stop,
	.want_load = on_request_load,
	.withdraw_load = on_cancel_load,
	.order_load = on_order_load,
	.order_unload = on_order_unload,
	.grant_unused = on_grant_unused,
	.placed = on_residency_change,
};

static void on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	soak_t *soak = ctx;
	engine_t *engine = &soak->engines[endpoint[1] - '0'];

	if (!slots_grant(engine->slots, soak->now, adapter))
		broker_return_grant(soak->broker, soak->now, endpoint, adapter);
}

static const broker_actions_t broker_actions = {.grant = on_grant};

static void submit(soak_t *soak, engine_t *engine)
{
	uint64_t id = soak->requests->len;
	request_model_t request = {.engine = engine->index,
				   .adapter = MIN(random_below(soak, ADAPTERS),
						  random_below(soak, ADAPTERS)),
				   .slot = -1,
				   .submitted = soak->now};
	slots_request_t params = {.id = id,
				  .priority = random_below(soak, 3),
				  .arrival = soak->now - random_below(soak, 50),
				  .deadline = MS_NEVER};
	char name[16];

	if (random_below(soak, 3) == 0)
		params.deadline = soak->now + random_below(soak, 4000);
	adapter_name(request.adapter, name, sizeof(name));
	params.adapter = name;
	g_array_append_val(soak->requests, request);
	soak->unfinished++;
	slots_submit(engine->slots, soak->now, &params);
}

/* Returns a request of the engine in this phase, or requests->len if none. */
static uint64_t find(soak_t *soak, const engine_t *engine, phase_t phase)
{
	unsigned int count = soak->requests->len;
	unsigned int first = count ? random_below(soak, (int)count) : 0;
	unsigned int i;

	for (i = 0; i < count; i++) {
		uint64_t id = (first + i) % count;
		request_model_t *request = request_model(soak, id);

		if (request->engine == engine->index && request->phase == phase)
			return id;
	}
	return count;
}

static void end_one(soak_t *soak, engine_t *engine, phase_t phase,
		    gboolean certain)
{
	uint64_t id = find(soak, engine, phase);

	if (id == soak->requests->len)
		return;
	request_model(soak, id)->phase = certain ? ENDED : UNCERTAIN;
	soak->unfinished -= certain;
	if (phase == UNCERTAIN)
		slots_uncertain_resolved(engine->slots, soak->now, id);
	else
		slots_request_ended(engine->slots, soak->now, id, certain);
}

static void cancel_one(soak_t *soak, engine_t *engine)
{
	phase_t phase = random_below(soak, 2) ? QUEUED : RUNNING;
	uint64_t id = find(soak, engine, phase);

	if (id < soak->requests->len)
		slots_cancel(engine->slots, soak->now, id);
}

static void finish_order(soak_t *soak, engine_t *engine, int slot, gboolean ok)
{
	order_t order = engine->order[slot];
	char *name = engine->order_adapter[slot];

	engine->order[slot] = ORDER_NONE;
	engine->order_adapter[slot] = NULL;
	if (order == ORDER_LOAD) {
		broker_load_ended(soak->broker, soak->now, engine->name, name);
		if (ok)
			engine->resident[slot] = g_strdup(name);
		slots_load_ended(engine->slots, soak->now, slot, ok);
	} else if (order == ORDER_UNLOAD) {
		if (ok)
			g_clear_pointer(&engine->resident[slot], g_free);
		slots_unload_ended(engine->slots, soak->now, slot, ok);
	}
	g_free(name);
}

static void pin_or_unpin(soak_t *soak, engine_t *engine)
{
	int adapter = random_below(soak, ADAPTERS);
	char name[16];

	adapter_name(adapter, name, sizeof(name));
	if (engine->pins[adapter] == 0) {
		engine->pins[adapter]++;
		slots_pin(engine->slots, name);
	} else {
		engine->pins[adapter]--;
		slots_unpin(engine->slots, soak->now, name);
	}
}

static void quarantine_or_release(soak_t *soak, engine_t *engine)
{
	int slot = random_below(soak, SLOTS);

	engine->quarantined[slot] = !engine->quarantined[slot];
	if (engine->quarantined[slot])
		slots_quarantine(engine->slots, soak->now, slot);
	else
		slots_release(engine->slots, soak->now, slot);
}

static void end_all(soak_t *soak, engine_t *engine)
{
	while (find(soak, engine, RUNNING) < soak->requests->len)
		end_one(soak, engine, RUNNING, TRUE);
	while (find(soak, engine, UNCERTAIN) < soak->requests->len)
		end_one(soak, engine, UNCERTAIN, TRUE);
}

/* Restart an engine.  In half of the cases the requests in flight end later. */
static void restart(soak_t *soak, engine_t *engine)
{
	unsigned int i;
	int slot;

	for (i = 0; i < soak->requests->len; i++)
		if (request_model(soak, i)->engine == engine->index)
			request_model(soak, i)->slot = -1;
	for (slot = 0; slot < SLOTS; slot++) {
		g_clear_pointer(&engine->resident[slot], g_free);
		g_clear_pointer(&engine->order_adapter[slot], g_free);
		engine->order[slot] = ORDER_NONE;
		engine->predecessor_busy[slot] = FALSE;
	}
	slots_engine_restarted(engine->slots, soak->now);
	if (random_below(soak, 2))
		end_all(soak, engine);
}

static void expect_one(soak_t *soak, engine_t *engine)
{
	char name[16];

	adapter_name(random_below(soak, ADAPTERS), name, sizeof(name));
	slots_expect_request(engine->slots, soak->now, name,
			     random_below(soak, 100) / 100.0);
}

static void random_event(soak_t *soak)
{
	engine_t *engine = &soak->engines[random_below(soak, ENGINES)];
	int event = random_below(soak, 1000);

	if (event < 400)
		submit(soak, engine);
	else if (event < 600)
		end_one(soak, engine, RUNNING, TRUE);
	else if (event < 620)
		end_one(soak, engine, RUNNING, FALSE);
	else if (event < 660)
		end_one(soak, engine, UNCERTAIN, TRUE);
	else if (event < 700)
		cancel_one(soak, engine);
	else if (event < 730)
		expect_one(soak, engine);
	else if (event < 950)
		finish_order(soak, engine, random_below(soak, SLOTS),
			     random_below(soak, 8) > 0);
	else if (event < 970)
		pin_or_unpin(soak, engine);
	else if (event < 985)
		quarantine_or_release(soak, engine);
	else if (event < 997)
		slots_demote(engine->slots, soak->now, "a0@1");
	else if (event < 999)
		restart(soak, engine);
	else if (soak->requests->len > STEPS / 4)
		slots_start_leaving(engine->slots, soak->now);
}

static void check_queue_times(soak_t *soak)
{
	unsigned int i;

	for (i = 0; i < soak->requests->len; i++) {
		request_model_t *request = request_model(soak, i);

		if (request->phase == QUEUED)
			assert_true(soak->now - request->submitted <=
				    WAIT_LIMIT + LOAD_WAIT_GRACE);
	}
}

static void tick(soak_t *soak)
{
	int i;

	for (i = 0; i < ENGINES; i++)
		slots_tick(soak->engines[i].slots, soak->now);
	broker_tick(soak->broker, soak->now);
}

static void engine_init(soak_t *soak, int index)
{
	engine_t *engine = &soak->engines[index];
	slots_config_t config;

	engine->soak = soak;
	engine->index = index;
	g_snprintf(engine->name, sizeof(engine->name), "e%d", index);
	slots_config_init(&config, SLOTS, CONCURRENCY);
	config.queue_limit = 12;
	config.adapter_limit = 8;
	config.wait_limit = WAIT_LIMIT;
	engine->slots =
		slots_create(&config, &slots_actions, engine, soak->rand);
	if (random_below(soak, 2)) {
		engine->resident[0] = g_strdup("a0@1");
		engine->predecessor_busy[0] = TRUE;
		slots_add_resident(engine->slots, 0, 0, "a0@1");
	}
}

/* Complete all orders and requests, and check that no request is left. */
static void drain(soak_t *soak)
{
	int i;

	for (i = 0; i < ENGINES * SLOTS * 100; i++) {
		engine_t *engine = &soak->engines[i % ENGINES];

		soak->now += 100;
		finish_order(soak, engine, random_below(soak, SLOTS), TRUE);
		end_all(soak, engine);
		tick(soak);
		check_queue_times(soak);
	}
	assert_int_equal(soak->unfinished, 0);
	for (i = 0; i < ENGINES; i++)
		assert_true(slots_is_idle(soak->engines[i].slots));
}

static void report_idle(soak_t *soak)
{
	engine_t *engine = &soak->engines[random_below(soak, ENGINES)];

	if (!engine->predecessor_busy[0])
		return;
	engine->predecessor_busy[0] = FALSE;
	slots_clear_predecessor_busy(engine->slots, soak->now, 0);
}

static void run_seed(unsigned int seed)
{
	soak_t soak = {.rand = g_rand_new_with_seed(seed),
		       .test_rand = g_rand_new_with_seed(seed + 1000000)};
	broker_config_t config;
	int i;

	broker_config_init(&config, LOAD_RATE, TRANSIT_LIMIT);
	config.transit_timeout = 1000000;
	soak.broker = broker_create(&config, &broker_actions, &soak);
	soak.requests = g_array_new(FALSE, TRUE, sizeof(request_model_t));
	for (i = 0; i < ENGINES; i++)
		engine_init(&soak, i);
	for (i = 0; i < STEPS; i++) {
		soak.now += random_below(&soak, 40);
		random_event(&soak);
		if (i == STEPS / 2)
			report_idle(&soak);
		tick(&soak);
		check_queue_times(&soak);
	}
	drain(&soak);
	for (i = 0; i < ENGINES; i++) {
		int slot;

		slots_destroy(soak.engines[i].slots);
		for (slot = 0; slot < SLOTS; slot++) {
			g_free(soak.engines[i].resident[slot]);
			g_free(soak.engines[i].order_adapter[slot]);
		}
	}
	broker_destroy(soak.broker);
	g_array_free(soak.requests, TRUE);
	g_rand_free(soak.rand);
	g_rand_free(soak.test_rand);
}

static void test_random_runs(void **state)
{
	const char *text = g_getenv("SEEDS");
	int seeds = text ? atoi(text) : DEFAULT_SEEDS;
	int seed;

	assert_true(seeds > 0);
	for (seed = 1; seed <= seeds; seed++)
		run_seed(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
