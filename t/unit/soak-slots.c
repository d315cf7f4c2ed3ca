/*
 * Seeded random runs of two endpoints' slots under one load broker.
 *
 * A shadow of the engines is kept beside the code under test.  Checked at each
 * action: a request is started only where its adapter is; what was refused was
 * never started; nothing that serves, is uncertain or pinned is unloaded; loads
 * in transit stay within the limit; each request ends once, and in bounded
 * time. SEEDS sets the number of runs.
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
/* A load under way may be waited for beyond the limit. */
#define WAIT_GRACE 6000

typedef enum { QUEUED, RUNNING, UNCERTAIN, ENDED } phase_t;

typedef struct {
	int engine;
	int adapter;
	int slot;
	ms_t submitted;
	phase_t phase;
	gboolean started;
} shadow_t;

typedef enum { WORK_NONE, WORK_LOAD, WORK_UNLOAD } work_t;

typedef struct {
	struct soak *soak;
	int index;
	char name[8];
	slots_t *slots;
	char *held[SLOTS]; /* adapter names of the true engine */
	work_t work[SLOTS];
	char *work_name[SLOTS];
	gboolean foreign[SLOTS];
	gboolean quarantined[SLOTS];
	int pins[ADAPTERS];
	gboolean leaving;
} engine_t;

typedef struct soak {
	GRand *rand;
	GRand *choice; /* of the test, apart from the code under test */
	ms_t now;
	engine_t engines[ENGINES];
	broker_t *broker;
	GArray *requests; /* shadow_t by id */
	int live;	  /* requests not yet ended */
} soak_t;

static int pick(soak_t *soak, int limit)
{
	return g_rand_int_range(soak->choice, 0, limit);
}

static void adapter_name(int adapter, char *name, size_t size)
{
	g_snprintf(name, size, "a%d@1", adapter);
}

static shadow_t *shadow(soak_t *soak, uint64_t id)
{
	return &g_array_index(soak->requests, shadow_t, id);
}

static int in_flight(const engine_t *engine)
{
	soak_t *soak = engine->soak;
	int count = 0;
	unsigned int i;

	for (i = 0; i < soak->requests->len; i++) {
		const shadow_t *request = shadow(soak, i);

		count += request->engine == engine->index &&
			 (request->phase == RUNNING ||
			  request->phase == UNCERTAIN);
	}
	return count;
}

static void on_start(void *ctx, uint64_t id, int slot)
{
	engine_t *engine = ctx;
	shadow_t *request = shadow(engine->soak, id);
	char name[16];

	adapter_name(request->adapter, name, sizeof(name));
	assert_int_equal(request->phase, QUEUED);
	assert_string_equal(engine->held[slot], name);
	assert_int_equal(engine->work[slot], WORK_NONE);
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
	shadow_t *request = shadow(engine->soak, id);

	assert_int_equal(request->phase, QUEUED);
	assert_false(request->started);
	assert_true(retry_after >= 0);
	if (kind == ERROR_OVERLOADED)
		assert_true(retry_after > 0);
	request->phase = ENDED;
	engine->soak->live--;
}

static void on_stop(void *ctx, uint64_t id)
{
	engine_t *engine = ctx;

	assert_int_equal(shadow(engine->soak, id)->phase, RUNNING);
}

static void on_want(void *ctx, const load_request_t *want)
{
	engine_t *engine = ctx;

	broker_request_load(engine->soak->broker, engine->soak->now,
			    engine->name, want);
}

static void on_withdraw(void *ctx, const char *adapter)
{
	engine_t *engine = ctx;

	broker_cancel_request(engine->soak->broker, engine->name, adapter);
}

static int loads_under_way(const soak_t *soak)
{
	int count = 0;
	int i;

	for (i = 0; i < ENGINES * SLOTS; i++)
		count += soak->engines[i / SLOTS].work[i % SLOTS] == WORK_LOAD;
	return count;
}

static void on_load(void *ctx, int slot, const char *adapter)
{
	engine_t *engine = ctx;

	assert_null(engine->held[slot]);
	assert_int_equal(engine->work[slot], WORK_NONE);
	engine->work[slot] = WORK_LOAD;
	engine->work_name[slot] = g_strdup(adapter);
	assert_true(loads_under_way(engine->soak) <= TRANSIT_LIMIT);
}

static void on_unload(void *ctx, int slot, const char *adapter)
{
	engine_t *engine = ctx;
	soak_t *soak = engine->soak;
	unsigned int i;

	assert_string_equal(engine->held[slot], adapter);
	assert_false(engine->foreign[slot]);
	assert_int_equal(engine->pins[atoi(adapter + 1)], 0);
	for (i = 0; i < soak->requests->len; i++) {
		shadow_t *request = shadow(soak, i);

		if (request->engine != engine->index || request->slot != slot)
			continue;
		assert_false(request->phase == RUNNING ||
			     request->phase == UNCERTAIN);
	}
	engine->work[slot] = WORK_UNLOAD;
}

static void on_unused(void *ctx, const char *adapter)
{
	engine_t *engine = ctx;

	broker_return_grant(engine->soak->broker, engine->soak->now,
			    engine->name, adapter);
}

/* Owners tell how loaded they are along with what is resident. */
static void on_placed(void *ctx, const char *adapter, gboolean resident)
{
	engine_t *engine = ctx;
	slots_utilization_t load;

	slots_get_utilization(engine->slots, engine->soak->now, &load);
}

static const slots_actions_t slots_actions = {
	.start = on_start,
	.refuse = on_refuse,
	.stop = on_stop,
	.want_load = on_want,
	.withdraw_load = on_withdraw,
	.order_load = on_load,
	.order_unload = on_unload,
	.grant_unused = on_unused,
	.placed = on_placed,
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
	shadow_t request = {
		.engine = engine->index,
		.adapter = MIN(pick(soak, ADAPTERS), pick(soak, ADAPTERS)),
		.slot = -1,
		.submitted = soak->now};
	slots_request_t asked = {.id = id,
				 .priority = pick(soak, 3),
				 .arrival = soak->now - pick(soak, 50),
				 .deadline = MS_NEVER};
	char name[16];

	if (pick(soak, 3) == 0)
		asked.deadline = soak->now + pick(soak, 4000);
	adapter_name(request.adapter, name, sizeof(name));
	asked.adapter = name;
	g_array_append_val(soak->requests, request);
	soak->live++;
	slots_submit(engine->slots, soak->now, &asked);
}

/* A request of the engine in the given phase, or the number of requests. */
static uint64_t find(soak_t *soak, const engine_t *engine, phase_t phase)
{
	unsigned int count = soak->requests->len;
	unsigned int first = count ? pick(soak, (int)count) : 0;
	unsigned int i;

	for (i = 0; i < count; i++) {
		uint64_t id = (first + i) % count;
		shadow_t *request = shadow(soak, id);

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
	shadow(soak, id)->phase = certain ? ENDED : UNCERTAIN;
	soak->live -= certain;
	if (phase == UNCERTAIN)
		slots_uncertain_resolved(engine->slots, soak->now, id);
	else
		slots_request_ended(engine->slots, soak->now, id, certain);
}

static void cancel_one(soak_t *soak, engine_t *engine)
{
	phase_t phase = pick(soak, 2) ? QUEUED : RUNNING;
	uint64_t id = find(soak, engine, phase);

	if (id < soak->requests->len)
		slots_cancel(engine->slots, soak->now, id);
}

static void finish_work(soak_t *soak, engine_t *engine, int slot, gboolean ok)
{
	work_t work = engine->work[slot];
	char *name = engine->work_name[slot];

	engine->work[slot] = WORK_NONE;
	engine->work_name[slot] = NULL;
	if (work == WORK_LOAD) {
		broker_load_ended(soak->broker, soak->now, engine->name, name);
		if (ok)
			engine->held[slot] = g_strdup(name);
		slots_load_ended(engine->slots, soak->now, slot, ok);
	} else if (work == WORK_UNLOAD) {
		if (ok)
			g_clear_pointer(&engine->held[slot], g_free);
		slots_unload_ended(engine->slots, soak->now, slot, ok);
	}
	g_free(name);
}

static void pin_or_unpin(soak_t *soak, engine_t *engine)
{
	int adapter = pick(soak, ADAPTERS);
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
	int slot = pick(soak, SLOTS);

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

/* A cold start: nothing is resident, and what was in flight ends late. */
static void restart(soak_t *soak, engine_t *engine)
{
	unsigned int i;
	int slot;

	for (i = 0; i < soak->requests->len; i++)
		if (shadow(soak, i)->engine == engine->index)
			shadow(soak, i)->slot = -1;
	for (slot = 0; slot < SLOTS; slot++) {
		g_clear_pointer(&engine->held[slot], g_free);
		g_clear_pointer(&engine->work_name[slot], g_free);
		engine->work[slot] = WORK_NONE;
		engine->foreign[slot] = FALSE;
	}
	slots_engine_restarted(engine->slots, soak->now);
	if (pick(soak, 2))
		end_all(soak, engine);
}

static void expect_one(soak_t *soak, engine_t *engine)
{
	char name[16];

	adapter_name(pick(soak, ADAPTERS), name, sizeof(name));
	slots_expect_request(engine->slots, soak->now, name,
			     pick(soak, 100) / 100.0);
}

static void random_event(soak_t *soak)
{
	engine_t *engine = &soak->engines[pick(soak, ENGINES)];
	int event = pick(soak, 1000);

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
		finish_work(soak, engine, pick(soak, SLOTS), pick(soak, 8) > 0);
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

static void check_waits(soak_t *soak)
{
	unsigned int i;

	for (i = 0; i < soak->requests->len; i++) {
		shadow_t *request = shadow(soak, i);

		if (request->phase == QUEUED)
			assert_true(soak->now - request->submitted <=
				    WAIT_LIMIT + WAIT_GRACE);
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
	if (pick(soak, 2)) {
		engine->held[0] = g_strdup("a0@1");
		engine->foreign[0] = TRUE;
		slots_add_resident(engine->slots, 0, 0, "a0@1");
	}
}

/* Let everything end; each request must have ended by then. */
static void drain(soak_t *soak)
{
	int i;

	for (i = 0; i < ENGINES * SLOTS * 100; i++) {
		engine_t *engine = &soak->engines[i % ENGINES];

		soak->now += 100;
		finish_work(soak, engine, pick(soak, SLOTS), TRUE);
		end_all(soak, engine);
		tick(soak);
		check_waits(soak);
	}
	assert_int_equal(soak->live, 0);
	for (i = 0; i < ENGINES; i++)
		assert_true(slots_is_idle(soak->engines[i].slots));
}

static void report_idle(soak_t *soak)
{
	engine_t *engine = &soak->engines[pick(soak, ENGINES)];

	if (!engine->foreign[0])
		return;
	engine->foreign[0] = FALSE;
	slots_clear_predecessor_busy(engine->slots, soak->now, 0);
}

static void run_seed(unsigned int seed)
{
	soak_t soak = {.rand = g_rand_new_with_seed(seed),
		       .choice = g_rand_new_with_seed(seed + 1000000)};
	broker_config_t config;
	int i;

	broker_config_init(&config, LOAD_RATE, TRANSIT_LIMIT);
	config.transit_time = 1000000;
	soak.broker = broker_create(&config, &broker_actions, &soak);
	soak.requests = g_array_new(FALSE, TRUE, sizeof(shadow_t));
	for (i = 0; i < ENGINES; i++)
		engine_init(&soak, i);
	for (i = 0; i < STEPS; i++) {
		soak.now += pick(&soak, 40);
		random_event(&soak);
		if (i == STEPS / 2)
			report_idle(&soak);
		tick(&soak);
		check_waits(&soak);
	}
	drain(&soak);
	for (i = 0; i < ENGINES; i++) {
		int slot;

		slots_destroy(soak.engines[i].slots);
		for (slot = 0; slot < SLOTS; slot++) {
			g_free(soak.engines[i].held[slot]);
			g_free(soak.engines[i].work_name[slot]);
		}
	}
	broker_destroy(soak.broker);
	g_array_free(soak.requests, TRUE);
	g_rand_free(soak.rand);
	g_rand_free(soak.choice);
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
