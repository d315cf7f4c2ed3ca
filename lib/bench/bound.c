#include "bench/bound.h"

#include "bench/sim.h"

#define MS_PER_1000S  1000000.0
#define US_PER_MS     1000.0
#define FAILED_ONE_IN 10
#define SETTLE_MS     120000

/*
 * BOUND_LOCATED: adapters whose next use is at least this far in the future are
 * compared by the load of their engines instead of by next use.
 */
#define DISTANT_USE_MS 120000

/* BOUND_LOCATED fills engines up to this share of their places. */
#define TARGET_FILL_SHARE 0.75

typedef struct {
	const round_t *round;
	int step;
	ms_t arrival;
} bound_request_t;

typedef struct {
	GArray *use_times; /* ms_t: arrivals of requests if nothing stalls */
	unsigned int next_use_index;
	GQueue queue; /* of bound_request_t that wait for a load */
	int in_flight;
	gboolean resident;
	gboolean loading;
	gboolean was_loaded; /* a load has succeeded before */
	ms_t load_start;     /* start of the last load */
	int engine;	     /* where it is resident or loading */
} adapter_t;

typedef struct {
	int slots_in_use; /* adapters resident or loading */
	int running;
} bound_engine_t;

typedef struct {
	sim_t *sim;
	const profile_t *profile;
	const trace_t *trace;
	scenario_t scenario;
	bound_kind_t kind;
	GRand *model_rand;
	bound_engine_t *engines;
	adapter_t *adapters;
	int adapter_count;
	int resident; /* adapters resident or loading */
	int running;
	int active_adapters; /* adapters with requests in flight */
	ms_t last_change;    /* when running last changed */
	ms_t next_load;
	gboolean load_due;
	result_t *result;
} bound_t;

/* The duration of one answer in a half full batch. */
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

/* The fewest engines with enough places and slots for the running requests. */
static int packed_engines(const bound_t *bound, int running)
{
	int places = (int)bound->profile->places;
	int slots = (int)bound->profile->slots;
	int by_places = (running + places - 1) / places;
	int by_slots = (bound->active_adapters + slots - 1) / slots;
	int engines = MAX(by_places, by_slots);

	return MIN(engines, (int)bound->profile->endpoints);
}

/*
 * The number of busy engines.  An engine that runs more requests than it has
 * places counts once for each batch it would need.
 */
static int busy_engines(const bound_t *bound)
{
	int places = (int)bound->profile->places;
	int count = 0;
	int i;

	for (i = 0; i < bound->profile->endpoints; i++)
		count += (bound->engines[i].running + places - 1) / places;
	return count;
}

/*
 * Add the time since the last change to the step counts, and update the number
 * of running requests.
 */
static void account_steps(bound_t *bound, const adapter_t *adapter,
			  int running_change)
{
	ms_t now = sim_now(bound->sim);
	int places = (int)bound->profile->places;
	int capacity = places * (int)bound->profile->endpoints;
	int running = MIN(bound->running, capacity);
	double duration = (double)(now - bound->last_change);

	if (is_measured(bound, now)) {
		bound->result->filled_places += running * duration;
		bound->result->steps +=
			duration * (bound->kind == BOUND_POOL
					    ? packed_engines(bound, running)
					    : busy_engines(bound));
	}
	bound->running += running_change;
	bound->engines[adapter->engine].running += running_change;
	bound->last_change = now;
}

static ms_t next_use(const adapter_t *adapter)
{
	if (adapter->next_use_index >= adapter->use_times->len)
		return MS_NEVER;
	return g_array_index(adapter->use_times, ms_t, adapter->next_use_index);
}

/*
 * Whether adapter a should be evicted before b.  If neither is used within
 * DISTANT_USE_MS, the one on the fuller engine is evicted first, so that the
 * adapter loaded in its place joins a large batch.
 */
static gboolean is_better_victim(const bound_t *bound, const adapter_t *a,
				 const adapter_t *b)
{
	ms_t far = sim_now(bound->sim) + DISTANT_USE_MS;
	int fill_limit =
		(int)((double)bound->profile->places * TARGET_FILL_SHARE);
	int a_running = bound->engines[a->engine].running;
	int b_running = bound->engines[b->engine].running;

	if (bound->kind == BOUND_POOL || MIN(next_use(a), next_use(b)) < far ||
	    a_running == b_running)
		return next_use(a) > next_use(b);
	if (MAX(a_running, b_running) >= fill_limit)
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

static adapter_t *most_requested(bound_t *bound)
{
	adapter_t *chosen = NULL;
	int i;

	for (i = 0; i < bound->adapter_count; i++) {
		adapter_t *adapter = &bound->adapters[i];

		if (adapter->loading || adapter->queue.length == 0)
			continue;
		if (!chosen || adapter->queue.length > chosen->queue.length)
			chosen = adapter;
	}
	return chosen;
}

static void arrival_event(void *ctx, void *arg);
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
	bound_request_t *request = arg;
	const step_t *steps = request->round->steps;
	adapter_t *adapter = &bound->adapters[steps[request->step].adapter];

	account_steps(bound, adapter, -1);
	bound->active_adapters -= --adapter->in_flight == 0;
	if (is_measured(bound, request->arrival)) {
		bound->result->requests++;
		bound->result->answered++;
	}
	request->step++;
	if (request->step >= request->round->step_count) {
		g_free(request);
		return;
	}
	request->arrival = sim_now(bound->sim) + steps[request->step].think;
	sim_at(bound->sim, request->arrival, arrival_event, bound, request);
}

static void start(bound_t *bound, bound_request_t *request)
{
	const step_t *step = &request->round->steps[request->step];
	adapter_t *adapter = &bound->adapters[step->adapter];

	account_steps(bound, adapter, 1);
	bound->active_adapters += adapter->in_flight++ == 0;
	adapter->next_use_index++;
	sim_at(bound->sim,
	       sim_now(bound->sim) + service_time(bound->profile, step),
	       ended_event, bound, request);
}

/* A miss counts as the first one until a load of the adapter has succeeded. */
static miss_t miss_of(const bound_t *bound, const bound_request_t *request)
{
	int adapter = request->round->steps[request->step].adapter;

	return bound->adapters[adapter].was_loaded ? MISS_AGAIN : MISS_FIRST;
}

static void record_causes(bound_t *bound, const bound_request_t *request,
			  double stall)
{
	const step_t *step = &request->round->steps[request->step];
	const adapter_t *adapter = &bound->adapters[step->adapter];
	ms_t load_start = MAX(adapter->load_start, request->arrival);
	double load = (double)(sim_now(bound->sim) - load_start);

	bound->result->miss_ms[miss_of(bound, request)] += stall;
	bound->result->wait_ms[WAIT_LOAD] += load;
	bound->result->wait_ms[WAIT_GRANT] += stall - load;
}

static void record_stall(bound_t *bound, const bound_request_t *request)
{
	const step_t *step = &request->round->steps[request->step];
	double stall = (double)(sim_now(bound->sim) - request->arrival);
	result_t *result = bound->result;

	if (!is_measured(bound, request->arrival))
		return;
	g_array_append_val(result->stalls, stall);
	g_array_append_val(result->priority_stalls[request->round->priority],
			   stall);
	record_causes(bound, request, stall);
	if (step->adapter >= bound->adapter_count / 10)
		g_array_append_val(result->tail_stalls, stall);
}

/* Whether the caller gave up before the adapter was loaded. */
static gboolean has_expired(const bound_t *bound,
			    const bound_request_t *request)
{
	return sim_now(bound->sim) - request->arrival >
	       bound->profile->patience_ms;
}

static void abandon(bound_t *bound, bound_request_t *request)
{
	double patience = (double)bound->profile->patience_ms;

	if (is_measured(bound, request->arrival)) {
		bound->result->requests++;
		bound->result->abandoned++;
		g_array_append_val(bound->result->stalls, patience);
		bound->result->miss_ms[miss_of(bound, request)] += patience;
		bound->result->wait_ms[WAIT_GRANT] += patience;
	}
	g_free(request);
}

/* Remove abandoned requests, so that no adapter is loaded for them. */
static void drop_expired(bound_t *bound)
{
	int i;

	for (i = 0; i < bound->adapter_count; i++) {
		GQueue *queue = &bound->adapters[i].queue;

		while (queue->length > 0 &&
		       has_expired(bound, g_queue_peek_head(queue)))
			abandon(bound, g_queue_pop_head(queue));
	}
}

static void release_slot(bound_t *bound, const adapter_t *adapter)
{
	bound->resident--;
	bound->engines[adapter->engine].slots_in_use--;
}

/* Assign a free slot on the engine that runs the most requests. */
static void assign_slot(bound_t *bound, adapter_t *adapter)
{
	int chosen = -1;
	int i;

	for (i = 0; i < bound->profile->endpoints; i++) {
		if (bound->engines[i].slots_in_use >= bound->profile->slots)
			continue;
		if (chosen < 0 ||
		    bound->engines[i].running > bound->engines[chosen].running)
			chosen = i;
	}
	g_assert(chosen >= 0);
	adapter->engine = chosen;
	bound->engines[chosen].slots_in_use++;
	bound->resident++;
}

static void loaded_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	adapter_t *adapter = arg;
	bound_request_t *request;

	adapter->loading = FALSE;
	if (bound->scenario == SCENARIO_FAILURES &&
	    g_rand_int_range(bound->model_rand, 0, FAILED_ONE_IN) == 0) {
		release_slot(bound, adapter);
		schedule_load(bound);
		return;
	}
	adapter->resident = TRUE;
	while ((request = g_queue_pop_head(&adapter->queue))) {
		record_stall(bound, request);
		start(bound, request);
	}
	adapter->was_loaded = TRUE;
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
	drop_expired(bound);
	adapter = most_requested(bound);
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
		release_slot(bound, victim);
	}
	assign_slot(bound, adapter);
	adapter->loading = TRUE;
	adapter->load_start = now;
	if (is_measured(bound, now))
		bound->result->loads++;
	sim_at(bound->sim, now + profile->load_ms, loaded_event, bound,
	       adapter);
}

static void arrival_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	bound_request_t *request = arg;
	adapter_t *adapter =
		&bound->adapters[request->round->steps[request->step].adapter];

	if (adapter->resident) {
		start(bound, request);
		return;
	}
	g_queue_push_tail(&adapter->queue, request);
	schedule_load(bound);
}

/*
 * Simulate the restart of one engine: evict up to one engine's slots of idle
 * adapters at random.
 */
static void restart_event(void *ctx, void *arg)
{
	bound_t *bound = ctx;
	int lost = (int)bound->profile->slots;
	int i;

	for (i = 0; i < bound->adapter_count && lost > 0; i++) {
		adapter_t *adapter = &bound->adapters[i];

		if (!adapter->resident || adapter->in_flight > 0 ||
		    g_rand_int_range(bound->model_rand, 0,
				     (int)bound->profile->endpoints) > 0)
			continue;
		adapter->resident = FALSE;
		release_slot(bound, adapter);
		lost--;
	}
}

static int compare_times(const void *a, const void *b)
{
	ms_t left = *(const ms_t *)a;
	ms_t right = *(const ms_t *)b;

	return (left > right) - (left < right);
}

static void record_uses(bound_t *bound)
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
			g_array_append_val(
				bound->adapters[step->adapter].use_times, when);
			when += service_time(bound->profile, step);
		}
	}
	for (j = 0; j < bound->adapter_count; j++)
		g_array_sort(bound->adapters[j].use_times, compare_times);
}

static void schedule_rounds(bound_t *bound)
{
	const GArray *rounds = bound->trace->rounds;
	unsigned int i;

	for (i = 0; i < rounds->len; i++) {
		bound_request_t *request = g_new0(bound_request_t, 1);

		request->round = &g_array_index(rounds, round_t, i);
		request->arrival = request->round->start;
		sim_at(bound->sim, request->arrival, arrival_event, bound,
		       request);
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
			 .model_rand = g_rand_new_with_seed(seed + 1),
			 .adapter_count = (int)MAX(profile->adapters, 1),
			 .result = result_create(profile)};
	int i;

	bound.adapters = g_new0(adapter_t, bound.adapter_count);
	bound.engines = g_new0(bound_engine_t, profile->endpoints);
	for (i = 0; i < bound.adapter_count; i++)
		bound.adapters[i].use_times =
			g_array_new(FALSE, FALSE, sizeof(ms_t));
	record_uses(&bound);
	schedule_rounds(&bound);
	if (scenario == SCENARIO_RESTART)
		sim_at(bound.sim, trace->end / 2, restart_event, &bound, NULL);
	sim_run(bound.sim, trace->end + SETTLE_MS);
	bound.result->seconds =
		(double)(trace->end - trace->warm_up) / MS_PER_S;
	for (i = 0; i < bound.adapter_count; i++) {
		g_array_free(bound.adapters[i].use_times, TRUE);
		g_queue_clear_full(&bound.adapters[i].queue, g_free);
	}
	g_free(bound.adapters);
	g_free(bound.engines);
	g_rand_free(bound.model_rand);
	sim_destroy(bound.sim);
	return bound.result;
}
