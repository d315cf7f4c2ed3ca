/*
 * Randomized test of the adapter cache against a model of one engine, in
 * virtual time: answers are lost, orders are executed seconds later, loads take
 * longer than expected, reports are old.
 *
 * Checks that the engine never holds more adapters than it has slots, that no
 * order unloads an adapter in use, and that in the end each request was met or
 * refused.
 */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hold/adapter_cache.h"

#define SEEDS_DEFAULT 300
#define SLOTS	      5
#define ADAPTERS      16
#define TICK_MS	      10
#define RUN_MS	      30000
/* No faults and no new requests from then on, so that all requests can end. */
#define FAULTS_MS 20000
#define LAG_MS	  100
#define HISTORY	  64

typedef struct {
	char name[16];
	gboolean is_resident;
	ms_t ready_at;
	int uses;	       /* running requests that use it */
	gboolean is_unloading; /* to be unloaded once these have ended */
} adapter_t;

typedef struct {
	cache_order_kind_t kind;
	int adapter;
	int64_t sequence;
	ms_t execute_at;
	ms_t answer_at;
	gboolean is_answered; /* FALSE if the answer is lost */
	gboolean is_open;     /* the cache waits for the answer */
	gboolean is_executed;
} order_t;

typedef struct {
	guint32 seed;
	GRand *rand;
	adapter_cache_t *cache;
	ms_t now;
	adapter_t adapters[ADAPTERS];
	int64_t sequence;
	order_t orders[HISTORY];
	int order_count;
	gboolean is_report_open;
	ms_t report_at;
	gboolean is_waiting[ADAPTERS];
	int loads;
} sim_t;

static void check(gboolean holds, const char *what, const sim_t *sim)
{
	if (holds)
		return;
	fprintf(stderr, "seed %u, at %d ms: %s\n", sim->seed, (int)sim->now,
		what);
	abort();
}

static int index_of(const char *adapter)
{
	return atoi(adapter + 2);
}

static void send_order(void *ctx, const cache_order_t *order)
{
	sim_t *sim = ctx;
	order_t *entry = &sim->orders[sim->order_count % HISTORY];
	gboolean inject_faults = sim->now < FAULTS_MS;

	check(order->kind != CACHE_ORDER_UNLOAD ||
		      !sim->adapters[index_of(order->adapter)].uses,
	      "unload order for an adapter in use", sim);
	*entry = (order_t){.kind = order->kind,
			   .adapter = order->adapter ? index_of(order->adapter)
						     : -1,
			   .sequence = order->sequence,
			   .execute_at = sim->now + 2,
			   .answer_at = sim->now + 4,
			   .is_answered = TRUE,
			   .is_open = TRUE};
	if (inject_faults && g_rand_int_range(sim->rand, 0, 10) < 3) {
		/* The answer is lost; the order is executed later, or never. */
		entry->is_answered = FALSE;
		entry->answer_at = sim->now + 100;
		entry->execute_at =
			g_rand_boolean(sim->rand)
				? sim->now +
					  g_rand_int_range(sim->rand, 2, 6000)
				: MS_NEVER;
	}
	sim->order_count++;
}

static void ask_report(void *ctx)
{
	sim_t *sim = ctx;

	sim->is_report_open = TRUE;
	sim->report_at = sim->now + 5;
}

static void ready(void *ctx, const char *adapter, int64_t version)
{
	((sim_t *)ctx)->is_waiting[index_of(adapter)] = FALSE;
}

static void dropped(void *ctx, const char *adapter)
{
}

static void refused(void *ctx, const char *adapter)
{
	((sim_t *)ctx)->is_waiting[index_of(adapter)] = FALSE;
}

static int count_resident(const sim_t *sim)
{
	int count = 0;
	int i;

	for (i = 0; i < ADAPTERS; i++)
		count += sim->adapters[i].is_resident;
	return count;
}

static cache_answer_t execute_order(sim_t *sim, const order_t *order)
{
	adapter_t *adapter = &sim->adapters[order->adapter];

	if (order->sequence != sim->sequence)
		return CACHE_ANSWER_STALE;
	if (order->kind == CACHE_ORDER_UNLOAD) {
		/* Unloading an absent adapter does not count as an order. */
		sim->sequence += adapter->is_resident;
		adapter->is_unloading = adapter->uses > 0;
		adapter->is_resident = adapter->is_unloading;
		return adapter->is_unloading ? CACHE_ANSWER_ACCEPTED
					     : CACHE_ANSWER_DONE;
	}
	if (adapter->is_resident)
		return CACHE_ANSWER_DONE;
	sim->sequence++;
	sim->loads++;
	adapter->is_resident = TRUE;
	adapter->ready_at = sim->now + g_rand_int_range(sim->rand, 20, 600);
	check(count_resident(sim) <= SLOTS, "more adapters than slots", sim);
	return CACHE_ANSWER_ACCEPTED;
}

static void process_orders(sim_t *sim)
{
	int i;

	for (i = 0; i < HISTORY; i++) {
		order_t *order = &sim->orders[i];
		cache_answer_t answer = CACHE_ANSWER_UNKNOWN;

		if (!order->answer_at)
			continue;
		if (!order->is_executed && sim->now >= order->execute_at) {
			order->is_executed = TRUE;
			answer = execute_order(sim, order);
		}
		if (!order->is_open)
			continue;
		if (order->is_answered && order->is_executed) {
			order->is_open = FALSE;
			adapter_cache_handle_answer(sim->cache, sim->now,
						    answer);
		} else if (!order->is_answered &&
			   sim->now >= order->answer_at) {
			order->is_open = FALSE;
			adapter_cache_handle_answer(sim->cache, sim->now,
						    CACHE_ANSWER_UNKNOWN);
		}
	}
}

/* Sequence and adapters of a report match; loads may be complete since. */
static void send_report(sim_t *sim)
{
	cache_resident_t residents[ADAPTERS];
	cache_report_t report = {.sequence = sim->sequence,
				 .has_model = TRUE,
				 .residents = residents};
	int i;

	if (!sim->is_report_open || sim->now < sim->report_at)
		return;
	sim->is_report_open = FALSE;
	for (i = 0; i < ADAPTERS; i++) {
		const adapter_t *adapter = &sim->adapters[i];

		if (!adapter->is_resident)
			continue;
		residents[report.count++] = (cache_resident_t){
			.adapter = adapter->name,
			.version = 1,
			.is_coming = sim->now - LAG_MS < adapter->ready_at,
		};
	}
	adapter_cache_handle_report(sim->cache, sim->now, &report);
}

static void begin_request(sim_t *sim)
{
	int i = g_rand_int_range(sim->rand, 0, ADAPTERS);
	adapter_t *adapter = &sim->adapters[i];
	int64_t resident;

	if (!adapter_cache_request(sim->cache, sim->now, adapter->name, 0,
				   &resident)) {
		sim->is_waiting[i] = TRUE;
		return;
	}
	/* The cache was wrong: the engine refuses the request. */
	if (!adapter->is_resident || adapter->is_unloading ||
	    sim->now < adapter->ready_at) {
		adapter_cache_note_missing(sim->cache, sim->now, adapter->name);
		return;
	}
	adapter->uses++;
	adapter_cache_use(sim->cache, sim->now, adapter->name);
}

static void end_request(sim_t *sim)
{
	int i = g_rand_int_range(sim->rand, 0, ADAPTERS);
	adapter_t *adapter = &sim->adapters[i];

	if (!adapter->uses)
		return;
	adapter->uses--;
	if (!adapter->uses && adapter->is_unloading) {
		adapter->is_unloading = FALSE;
		adapter->is_resident = FALSE;
	}
	adapter_cache_release(sim->cache, sim->now, adapter->name);
}

static void run(guint32 seed)
{
	static const cache_actions_t actions = {send_order, ask_report, ready,
						dropped, refused};
	static const cache_options_t options = {.slot_count = SLOTS,
						.load_time = 250,
						.again_time = 25,
						.loads_per_engine = 4};
	sim_t sim = {.seed = seed, .rand = g_rand_new_with_seed(seed)};
	int i;

	for (i = 0; i < ADAPTERS; i++)
		g_snprintf(sim.adapters[i].name, sizeof(sim.adapters[i].name),
			   "m/%d", i);
	sim.cache = adapter_cache_create(&options, &actions, &sim);
	for (; sim.now < RUN_MS; sim.now += TICK_MS) {
		process_orders(&sim);
		send_report(&sim);
		if (sim.now < FAULTS_MS &&
		    g_rand_int_range(sim.rand, 0, 4) == 0)
			begin_request(&sim);
		if (g_rand_int_range(sim.rand, 0, 3) == 0)
			end_request(&sim);
		adapter_cache_tick(sim.cache, sim.now, TRUE);
	}
	for (i = 0; i < ADAPTERS; i++)
		check(!sim.is_waiting[i],
		      "a request was neither met nor refused", &sim);
	check(sim.loads > 10, "too few loads for a meaningful run", &sim);
	adapter_cache_destroy(sim.cache);
	g_rand_free(sim.rand);
}

int main(void)
{
	const char *text = getenv("SEEDS");
	int seeds = text ? atoi(text) : SEEDS_DEFAULT;
	const char *first = getenv("SEED");
	int seed = first ? atoi(first) : 1;
	int end = first ? seed + 1 : seed + seeds;

	for (; seed < end; seed++)
		run((guint32)seed);
	printf("%d seeds passed\n", seeds);
	return 0;
}
