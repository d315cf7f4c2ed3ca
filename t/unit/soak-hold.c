/*
 * Random runs of the adapters of one engine against a model of it, on virtual
 * time: answers are lost, orders are carried out seconds later, loads take
 * longer than usual, reports are old.
 *
 * The model checks what the engine would suffer: no more adapters than it has
 * slots for, nothing unloaded that is in use.  At the end everything that is
 * still wanted has been brought or refused.
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
/* Faults end here, so that what is wanted can come to its end. */
#define FAULTS_MS 20000
#define LAG_MS	  100
#define HISTORY	  64

typedef struct {
	char name[16];
	gboolean is_there;
	ms_t loaded_at;
	int uses;	     /* requests that run on it */
	gboolean is_leaving; /* unloaded once these have ended */
} adapter_t;

typedef struct {
	cache_order_kind_t kind;
	int adapter;
	int64_t sequence;
	ms_t due; /* when it is carried out */
	ms_t answer_due;
	gboolean is_answered; /* an answer comes back */
	gboolean is_open;     /* the cache waits for it */
	gboolean is_done;
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
	gboolean is_report_asked;
	ms_t report_due;
	gboolean is_waiting[ADAPTERS];
	int loads;
} world_t;

static void check(gboolean holds, const char *what, const world_t *world)
{
	if (holds)
		return;
	fprintf(stderr, "seed %u, at %d ms: %s\n", world->seed, (int)world->now,
		what);
	abort();
}

static int index_of(const char *adapter)
{
	return atoi(adapter + 2);
}

static void send_order(void *ctx, const cache_order_t *order)
{
	world_t *world = ctx;
	order_t *at = &world->orders[world->order_count % HISTORY];
	gboolean has_faults = world->now < FAULTS_MS;

	check(order->kind != CACHE_ORDER_UNLOAD ||
		      !world->adapters[index_of(order->adapter)].uses,
	      "an adapter in use is to be unloaded", world);
	*at = (order_t){.kind = order->kind,
			.adapter =
				order->adapter ? index_of(order->adapter) : -1,
			.sequence = order->sequence,
			.due = world->now + 2,
			.answer_due = world->now + 4,
			.is_answered = TRUE,
			.is_open = TRUE};
	if (has_faults && g_rand_int_range(world->rand, 0, 10) < 3) {
		/* Nothing comes back; it is carried out later, or never. */
		at->is_answered = FALSE;
		at->answer_due = world->now + 100;
		at->due = g_rand_boolean(world->rand)
				  ? world->now + g_rand_int_range(world->rand,
								  2, 6000)
				  : MS_NEVER;
	}
	world->order_count++;
}

static void ask_report(void *ctx)
{
	world_t *world = ctx;

	world->is_report_asked = TRUE;
	world->report_due = world->now + 5;
}

static void ready(void *ctx, const char *adapter, int64_t version)
{
	((world_t *)ctx)->is_waiting[index_of(adapter)] = FALSE;
}

static void dropped(void *ctx, const char *adapter)
{
}

static void refused(void *ctx, const char *adapter)
{
	((world_t *)ctx)->is_waiting[index_of(adapter)] = FALSE;
}

static int count_there(const world_t *world)
{
	int count = 0;
	int i;

	for (i = 0; i < ADAPTERS; i++)
		count += world->adapters[i].is_there;
	return count;
}

static cache_answer_t carry_out(world_t *world, const order_t *order)
{
	adapter_t *adapter = &world->adapters[order->adapter];

	if (order->sequence != world->sequence)
		return CACHE_ANSWER_STALE;
	if (order->kind == CACHE_ORDER_UNLOAD) {
		/* Only what is there counts as an order. */
		world->sequence += adapter->is_there;
		adapter->is_leaving = adapter->uses > 0;
		adapter->is_there = adapter->is_leaving;
		return adapter->is_leaving ? CACHE_ANSWER_ACCEPTED
					   : CACHE_ANSWER_DONE;
	}
	if (adapter->is_there)
		return CACHE_ANSWER_DONE;
	world->sequence++;
	world->loads++;
	adapter->is_there = TRUE;
	adapter->loaded_at =
		world->now + g_rand_int_range(world->rand, 20, 600);
	check(count_there(world) <= SLOTS, "more adapters than slots", world);
	return CACHE_ANSWER_ACCEPTED;
}

static void run_orders(world_t *world)
{
	int i;

	for (i = 0; i < HISTORY; i++) {
		order_t *order = &world->orders[i];
		cache_answer_t answer = CACHE_ANSWER_UNKNOWN;

		if (!order->answer_due)
			continue;
		if (!order->is_done && world->now >= order->due) {
			order->is_done = TRUE;
			answer = carry_out(world, order);
		}
		if (!order->is_open)
			continue;
		if (order->is_answered && order->is_done) {
			order->is_open = FALSE;
			adapter_cache_handle_answer(world->cache, world->now,
						    answer);
		} else if (!order->is_answered &&
			   world->now >= order->answer_due) {
			order->is_open = FALSE;
			adapter_cache_handle_answer(world->cache, world->now,
						    CACHE_ANSWER_UNKNOWN);
		}
	}
}

/* The lists of a report agree with its number of orders; loads may be over. */
static void run_report(world_t *world)
{
	cache_resident_t residents[ADAPTERS];
	cache_report_t report = {.sequence = world->sequence,
				 .has_model = TRUE,
				 .residents = residents};
	int i;

	if (!world->is_report_asked || world->now < world->report_due)
		return;
	world->is_report_asked = FALSE;
	for (i = 0; i < ADAPTERS; i++) {
		const adapter_t *adapter = &world->adapters[i];

		if (!adapter->is_there)
			continue;
		residents[report.count++] = (cache_resident_t){
			.adapter = adapter->name,
			.version = 1,
			.is_coming = world->now - LAG_MS < adapter->loaded_at,
		};
	}
	adapter_cache_handle_report(world->cache, world->now, &report);
}

static void begin_request(world_t *world)
{
	int i = g_rand_int_range(world->rand, 0, ADAPTERS);
	adapter_t *adapter = &world->adapters[i];
	int64_t resident;

	if (!adapter_cache_request(world->cache, world->now, adapter->name, 0,
				   &resident)) {
		world->is_waiting[i] = TRUE;
		return;
	}
	/* Presumed to be there, and not: the engine refuses the request. */
	if (!adapter->is_there || adapter->is_leaving ||
	    world->now < adapter->loaded_at) {
		adapter_cache_note_missing(world->cache, world->now,
					   adapter->name);
		return;
	}
	adapter->uses++;
	adapter_cache_use(world->cache, world->now, adapter->name);
}

static void end_request(world_t *world)
{
	int i = g_rand_int_range(world->rand, 0, ADAPTERS);
	adapter_t *adapter = &world->adapters[i];

	if (!adapter->uses)
		return;
	adapter->uses--;
	if (!adapter->uses && adapter->is_leaving) {
		adapter->is_leaving = FALSE;
		adapter->is_there = FALSE;
	}
	adapter_cache_release(world->cache, world->now, adapter->name);
}

static void run(guint32 seed)
{
	static const cache_actions_t actions = {send_order, ask_report, ready,
						dropped, refused};
	static const cache_options_t options = {.slot_count = SLOTS,
						.load_time = 250,
						.again_time = 25,
						.loads_per_engine = 4};
	world_t world = {.seed = seed, .rand = g_rand_new_with_seed(seed)};
	int i;

	for (i = 0; i < ADAPTERS; i++)
		g_snprintf(world.adapters[i].name,
			   sizeof(world.adapters[i].name), "m/%d", i);
	world.cache = adapter_cache_create(&options, &actions, &world);
	for (; world.now < RUN_MS; world.now += TICK_MS) {
		run_orders(&world);
		run_report(&world);
		if (world.now < FAULTS_MS &&
		    g_rand_int_range(world.rand, 0, 4) == 0)
			begin_request(&world);
		if (g_rand_int_range(world.rand, 0, 3) == 0)
			end_request(&world);
		adapter_cache_tick(world.cache, world.now, TRUE);
	}
	for (i = 0; i < ADAPTERS; i++)
		check(!world.is_waiting[i], "a want was forgotten", &world);
	check(world.loads > 10, "too few loads to show anything", &world);
	adapter_cache_destroy(world.cache);
	g_rand_free(world.rand);
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
