#include "bench/bound.h"

#include "bench/sim.h"

#define MS_PER_1000S  1000000.0
#define US_PER_MS     1000.0
#define FAILED_ONE_IN 10
#define SETTLE_MS     120000

/* The located choice: adapters unused for so long may go for a batch. */
#define FAR_MS 120000

/* It fills engines up to this share of their places. */
#define FILL_SHARE 0.75

typedef struct {
	const round_t *round;
	int step;
	ms_t arrival;
} ask_t;

typedef struct {
	GArray *uses; /* ms_t: when requests would come without stalls */
	unsigned int used;
	GQueue waiting; /* ask_t */
	int in_flight;
	gboolean resident;
	gboolean loading;
	gboolean is_known; /* was loaded before */
	ms_t ordered;	   /* last load */
	int engine;	   /* that holds it */
} adapter_t;

typedef struct {
	int held; /* adapters resident or loading */
	int running;
} machine_t;

typedef struct {
	sim_t *sim;
	const profile_t *profile;
	const trace_t *trace;
	scenario_t scenario;
	bound_kind_t kind;
	GRand *luck;
	machine_t *machines; /* engines */
	adapter_t *adapters;
	int adapter_count;
	int resident; /* and loading */
	int running;
	int distinct; /* adapters with requests in flight */
	ms_t changed; /* when running last changed */
	ms_t next_load;
	gboolean load_due;
	result_t *result;
} bound_t;

/* The time of one answer in a half full batch. */
static ms_t service_time(const profile_t *profile, const step_t *step)
{
	double token =
		(double)profile->step_base_us +
		(double)profile->step_place_us * (double)profile->places / 2;
	double prefill = (double)profile->prefill_token_us * step->prompt;

	return (ms_t)((token * step->answer + prefill) / US_PER_MS);
}

static gboolean is_measured(const bound_t *bound, ms_t when)
{
	return when >= bound->trace->warm_up && when < bound->trace->end;
}

/* Engines that hold all running requests, by places and by slots. */
static int packed_engines(const bound_t *bound, int running)
{
	int places = (int)bound->profile->places;
	int slots = (int)bound->profile->slots;
	int by_places = (running + places - 1) / places;
	int by_slots = (bound->distinct + slots - 1) / slots;
	int engines = MAX(by_places, by_slots);

	return MIN(engines, (int)bound->profile->endpoints);
}

/* Engines that run something; those beyond their places count several times. */
static int busy_engines(const bound_t *bound)
{
	int places = (int)bound->profile->places;
	int count = 0;
	int i;

	for (i = 0; i < bound->profile->endpoints; i++)
		count += (bound->machines[i].running + places - 1) / places;
	return count;
}

/* Count the time since the last change as steps of the engines. */
static void account(bound_t *bound, const adapter_t *adapter, int change)
{
	ms_t now = sim_now(bound->sim);
	int places = (int)bound->profile->places;
	int capacity = places * (int)bound->profile->endpoints;
	int running = MIN(bound->running, capacity);
	double duration = (double)(now - bound->changed);

	if (is_measured(bound, now)) {
		bound->result->filled += running * duration;
		bound->result->steps +=
			duration * (bound->kind == BOUND_POOL
					    ? packed_engines(bound, running)
					    : busy_engines(bound));
	}
	bound->running += change;
	bound->machines[adapter->engine].running += change;
	bound->changed = now;
}

static ms_t next_use(const adapter_t *adapter)
{
	if (adapter->used >= adapter->uses->len)
		return MS_NEVER;
	return g_array_index(adapter->uses, ms_t, adapter->used);
}

/*
 * Whether a is the better one to unload.  Of two that are not used for long,
 * the one on the fuller engine, so that what is loaded joins a batch.
 */
static gboolean is_better_victim(const bound_t *bound, const adapter_t *a,
				 const adapter_t *b)
{
	ms_t far = sim_now(bound->sim) + FAR_MS;
	int room = (int)((double)bound->profile->places * FILL_SHARE);
	int a_running = bound->machines[a->engine].running;
	int b_running = bound->machines[b->engine].running;

	if (bound->kind == BOUND_POOL || MIN(next_use(a), next_use(b)) < far ||
	    a_running == b_running)
		return next_use(a) > next_use(b);
	if (MAX(a_running, b_running) >= room)
		return a_running < b_running;
	return a_running > b_running;
}

static adapter_t *choose_victim(bound_t *bound)
{
	adapter_t *chosen = NULL;
	int i;

	for (i = 0; i < bound->adapter_count; i++) {
		adapter_t *adapter = &bound->adapters[i];

		if (!adapter->resident || adapter->in_flight > 0)
			continue;
		if (!chosen || is_better_victim(bound, adapter, chosen))
			chosen = adapter;
	}
	return chosen;
}

static adapter_t *most_wanted(bound_t *bound)
{
	adapter_t *chosen = NULL;
	int i;

	for (i = 0; i < bound->adapter_count; i++) {
		adapter_t *adapter = &bound->adapters[i];

		if (adapter->loading || adapter->waiting.length == 0)
			continue;
		if (!chosen || adapter->waiting.length > chosen->waiting.length)
			chosen = adapter;
	}
	return chosen;
}

static void ask_event(void *ctx, void *arg);
static void load_event(void *ctx, void *arg);

static void schedule_load(bound_t *bound)
{
	if (bound->load_due)
		return;
	bound->load_due = TRUE;
	sim_at(bound->sim, bound->next_load, load_event, bound, NULL);
}

static void ended_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	ask_t *ask = arg;
	const step_t *steps = ask->round->steps;
	adapter_t *adapter = &bound->adapters[steps[ask->step].adapter];

	account(bound, adapter, -1);
	bound->distinct -= --adapter->in_flight == 0;
	if (is_measured(bound, ask->arrival)) {
		bound->result->requests++;
		bound->result->answered++;
	}
	ask->step++;
	if (ask->step >= ask->round->step_count) {
		g_free(ask);
		return;
	}
	ask->arrival = sim_now(bound->sim) + steps[ask->step].think;
	sim_at(bound->sim, ask->arrival, ask_event, bound, ask);
}

static void start(bound_t *bound, ask_t *ask)
{
	const step_t *step = &ask->round->steps[ask->step];
	adapter_t *adapter = &bound->adapters[step->adapter];

	account(bound, adapter, 1);
	bound->distinct += adapter->in_flight++ == 0;
	adapter->used++;
	sim_at(bound->sim,
	       sim_now(bound->sim) + service_time(bound->profile, step),
	       ended_event, bound, ask);
}

/* Until its first load has ended the adapter is not known. */
static miss_t miss_of(const bound_t *bound, const ask_t *ask)
{
	int adapter = ask->round->steps[ask->step].adapter;

	return bound->adapters[adapter].is_known ? MISS_AGAIN : MISS_FIRST;
}

static void note_causes(bound_t *bound, const ask_t *ask, double stall)
{
	const step_t *step = &ask->round->steps[ask->step];
	const adapter_t *adapter = &bound->adapters[step->adapter];
	ms_t ordered = MAX(adapter->ordered, ask->arrival);
	double load = (double)(sim_now(bound->sim) - ordered);

	bound->result->miss_ms[miss_of(bound, ask)] += stall;
	bound->result->wait_ms[WAIT_LOAD] += load;
	bound->result->wait_ms[WAIT_GRANT] += stall - load;
}

static void note_stall(bound_t *bound, const ask_t *ask)
{
	const step_t *step = &ask->round->steps[ask->step];
	double stall = (double)(sim_now(bound->sim) - ask->arrival);
	result_t *result = bound->result;

	if (!is_measured(bound, ask->arrival))
		return;
	g_array_append_val(result->stalls, stall);
	g_array_append_val(result->priority_stalls[ask->round->priority],
			   stall);
	note_causes(bound, ask, stall);
	if (step->adapter >= bound->adapter_count / 10)
		g_array_append_val(result->tail_stalls, stall);
}

/* Callers whose patience ended before the load have gone. */
static gboolean has_gone(const bound_t *bound, const ask_t *ask)
{
	return sim_now(bound->sim) - ask->arrival > bound->profile->patience_ms;
}

static void abandon(bound_t *bound, ask_t *ask)
{
	double patience = (double)bound->profile->patience_ms;

	if (is_measured(bound, ask->arrival)) {
		bound->result->requests++;
		bound->result->abandoned++;
		g_array_append_val(bound->result->stalls, patience);
		bound->result->miss_ms[miss_of(bound, ask)] += patience;
		bound->result->wait_ms[WAIT_GRANT] += patience;
	}
	g_free(ask);
}

/* Forget those who have gone, so that no load is spent on them. */
static void drop_gone(bound_t *bound)
{
	int i;

	for (i = 0; i < bound->adapter_count; i++) {
		GQueue *waiting = &bound->adapters[i].waiting;

		while (waiting->length > 0 &&
		       has_gone(bound, g_queue_peek_head(waiting)))
			abandon(bound, g_queue_pop_head(waiting));
	}
}

static void drop(bound_t *bound, const adapter_t *adapter)
{
	bound->resident--;
	bound->machines[adapter->engine].held--;
}

/* A free slot, on the fullest engine that has one. */
static void take_slot(bound_t *bound, adapter_t *adapter)
{
	int chosen = -1;
	int i;

	for (i = 0; i < bound->profile->endpoints; i++) {
		if (bound->machines[i].held >= bound->profile->slots)
			continue;
		if (chosen < 0 || bound->machines[i].running >
					  bound->machines[chosen].running)
			chosen = i;
	}
	g_assert(chosen >= 0);
	adapter->engine = chosen;
	bound->machines[chosen].held++;
	bound->resident++;
}

static void loaded_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	adapter_t *adapter = arg;
	ask_t *ask;

	adapter->loading = FALSE;
	if (bound->scenario == SCENARIO_FAILURES &&
	    g_rand_int_range(bound->luck, 0, FAILED_ONE_IN) == 0) {
		drop(bound, adapter);
		schedule_load(bound);
		return;
	}
	adapter->resident = TRUE;
	while ((ask = g_queue_pop_head(&adapter->waiting))) {
		note_stall(bound, ask);
		start(bound, ask);
	}
	adapter->is_known = TRUE;
}

static void load_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	const profile_t *profile = bound->profile;
	int pool = (int)(profile->slots * profile->endpoints);
	adapter_t *adapter;
	adapter_t *victim;
	ms_t now = sim_now(bound->sim);

	bound->load_due = FALSE;
	drop_gone(bound);
	adapter = most_wanted(bound);
	if (!adapter)
		return;
	bound->next_load =
		now + (ms_t)(MS_PER_1000S / (double)profile->loads_per_1000s);
	schedule_load(bound);
	if (bound->resident >= pool) {
		victim = choose_victim(bound);
		if (!victim)
			return;
		victim->resident = FALSE;
		drop(bound, victim);
	}
	take_slot(bound, adapter);
	adapter->loading = TRUE;
	adapter->ordered = now;
	if (is_measured(bound, now))
		bound->result->loads++;
	sim_at(bound->sim, now + profile->load_ms, loaded_event, bound,
	       adapter);
}

static void ask_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	ask_t *ask = arg;
	adapter_t *adapter =
		&bound->adapters[ask->round->steps[ask->step].adapter];

	if (adapter->resident) {
		start(bound, ask);
		return;
	}
	g_queue_push_tail(&adapter->waiting, ask);
	schedule_load(bound);
}

/* One engine starts cold: its share of the pool is lost. */
static void restart_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	int lost = (int)bound->profile->slots;
	int i;

	for (i = 0; i < bound->adapter_count && lost > 0; i++) {
		adapter_t *adapter = &bound->adapters[i];

		if (!adapter->resident || adapter->in_flight > 0 ||
		    g_rand_int_range(bound->luck, 0,
				     (int)bound->profile->endpoints) > 0)
			continue;
		adapter->resident = FALSE;
		drop(bound, adapter);
		lost--;
	}
}

static int compare_times(const void *a, const void *b)
{
	ms_t left = *(const ms_t *)a;
	ms_t right = *(const ms_t *)b;

	return (left > right) - (left < right);
}

static void note_uses(bound_t *bound)
{
	const GArray *rounds = bound->trace->rounds;
	unsigned int i;
	int j;

	for (i = 0; i < rounds->len; i++) {
		const round_t *round = &g_array_index(rounds, round_t, i);
		ms_t when = round->start;

		for (j = 0; j < round->step_count; j++) {
			const step_t *step = &round->steps[j];

			when += j > 0 ? step->think : 0;
			g_array_append_val(bound->adapters[step->adapter].uses,
					   when);
			when += service_time(bound->profile, step);
		}
	}
	for (j = 0; j < bound->adapter_count; j++)
		g_array_sort(bound->adapters[j].uses, compare_times);
}

static void schedule_rounds(bound_t *bound)
{
	const GArray *rounds = bound->trace->rounds;
	unsigned int i;

	for (i = 0; i < rounds->len; i++) {
		ask_t *ask = g_new0(ask_t, 1);

		ask->round = &g_array_index(rounds, round_t, i);
		ask->arrival = ask->round->start;
		sim_at(bound->sim, ask->arrival, ask_event, bound, ask);
	}
}

result_t *bound_run(const profile_t *profile, const trace_t *trace,
		    scenario_t scenario, bound_kind_t kind, unsigned int seed)
{
	bound_t bound = {.sim = sim_create(),
			 .profile = profile,
			 .trace = trace,
			 .scenario = scenario,
			 .kind = kind,
			 .luck = g_rand_new_with_seed(seed + 1),
			 .adapter_count = (int)MAX(profile->adapters, 1),
			 .result = result_create(profile)};
	int i;

	bound.adapters = g_new0(adapter_t, bound.adapter_count);
	bound.machines = g_new0(machine_t, profile->endpoints);
	for (i = 0; i < bound.adapter_count; i++)
		bound.adapters[i].uses =
			g_array_new(FALSE, FALSE, sizeof(ms_t));
	note_uses(&bound);
	schedule_rounds(&bound);
	if (scenario == SCENARIO_RESTART)
		sim_at(bound.sim, trace->end / 2, restart_event, &bound, NULL);
	sim_run(bound.sim, trace->end + SETTLE_MS);
	bound.result->seconds =
		(double)(trace->end - trace->warm_up) / MS_PER_S;
	for (i = 0; i < bound.adapter_count; i++) {
		g_array_free(bound.adapters[i].uses, TRUE);
		g_queue_clear_full(&bound.adapters[i].waiting, g_free);
	}
	g_free(bound.adapters);
	g_free(bound.machines);
	g_rand_free(bound.luck);
	sim_destroy(bound.sim);
	return bound.result;
}
