#include "sched/home.h"

#include <string.h>

#define DEFAULT_PENDING_MS    12000
#define DEFAULT_REPLICA_LIMIT 8
#define DEFAULT_CROWDED_LOAD  1.0
#define DEFAULT_QUIET_LOAD    0.3
#define DEFAULT_CROWDED_MS    1000
#define DEFAULT_QUIET_MS      30000
#define DEFAULT_STALL_WEIGHT  0.5

/*
 * Endpoints that a home compares for one choice.  Homes with the same stale
 * view would all pick the one that looked best; samples differ.
 */
#define DEFAULT_SAMPLE 3

#define TICK_MS 1000

/* Without a call for this long an adapter is no longer crowded. */
#define CROWDED_GAP_MS 1000

/*
 * A batch of PACK_LOAD is worth unloading an adapter that is asked for this
 * much more often, in requests a second.
 */
#define PACK_RATE 0.07

/* Endpoints are filled up to this load, in requests per place. */
#define PACK_LOAD 0.6

/* Worth of a slot that is empty, and cost of one that is spoken for. */
#define FREE_RATE    0.5
#define PENDING_RATE 0.05

/* Cost of an endpoint where no slot can be had. */
#define FULL_RATE 1000

/* An endpoint where a load failed is not chosen again for this long. */
#define AVOID_MS 10000

typedef struct {
	char *name;
	char *pending; /* endpoint chosen for the load, or NULL */
	ms_t pending_until;
	char *avoid; /* endpoint where the load failed, or NULL */
	ms_t avoid_until;
	ms_t crowded_since; /* 0 if not crowded */
	ms_t crowded_last;
	ms_t quiet_since; /* 0 if not quiet */
} record_t;

struct home {
	home_config_t config;
	placement_t *placement;
	home_actions_t actions;
	void *ctx;
	GRand *rand;
	GHashTable *records; /* adapter to record_t */
	GHashTable *pending; /* endpoint to the number of loads chosen */
};

void home_config_init(home_config_t *config)
{
	*config = (home_config_t){
		.pending_time = DEFAULT_PENDING_MS,
		.replica_limit = DEFAULT_REPLICA_LIMIT,
		.crowded_load = DEFAULT_CROWDED_LOAD,
		.quiet_load = DEFAULT_QUIET_LOAD,
		.crowded_time = DEFAULT_CROWDED_MS,
		.quiet_time = DEFAULT_QUIET_MS,
		.sample = DEFAULT_SAMPLE,
		.stall_weight = DEFAULT_STALL_WEIGHT,
	};
}

static void record_free(void *data)
{
	record_t *record = data;

	g_free(record->name);
	g_free(record->pending);
	g_free(record->avoid);
	g_free(record);
}

home_t *home_create(const home_config_t *config, placement_t *placement,
		    const home_actions_t *actions, void *ctx, GRand *rand)
{
	home_t *home = g_new0(home_t, 1);

	home->config = *config;
	home->placement = placement;
	home->actions = *actions;
	home->ctx = ctx;
	home->rand = rand;
	home->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      record_free);
	home->pending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return home;
}

void home_set_stall_weight(home_t *home, double weight)
{
	home->config.stall_weight = weight;
}

void home_destroy(home_t *home)
{
	if (!home)
		return;
	g_hash_table_destroy(home->records);
	g_hash_table_destroy(home->pending);
	g_free(home);
}

static record_t *record_get(home_t *home, const char *adapter)
{
	record_t *record = g_hash_table_lookup(home->records, adapter);

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->name = g_strdup(adapter);
	g_hash_table_insert(home->records, record->name, record);
	return record;
}

static int pending_count(const home_t *home, const char *endpoint)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(home->pending, endpoint));
}

static void add_pending(home_t *home, const char *endpoint, int change)
{
	int count = pending_count(home, endpoint) + change;

	g_assert(count >= 0);
	if (count == 0)
		g_hash_table_remove(home->pending, endpoint);
	else
		g_hash_table_insert(home->pending, g_strdup(endpoint),
				    GINT_TO_POINTER(count));
}

static void clear_pending(home_t *home, record_t *record)
{
	if (!record->pending)
		return;
	add_pending(home, record->pending, -1);
	g_clear_pointer(&record->pending, g_free);
}

static void set_pending(home_t *home, ms_t now, record_t *record,
			const char *endpoint)
{
	clear_pending(home, record);
	record->pending = g_strdup(endpoint);
	record->pending_until = now + home->config.pending_time;
	add_pending(home, endpoint, 1);
}

/* A pending placement ends when it is seen, late, or its endpoint is gone. */
static void refresh_pending(home_t *home, ms_t now, record_t *record)
{
	if (!record->pending)
		return;
	if (record->pending_until <= now ||
	    !placement_owner(home->placement, record->pending) ||
	    placement_is_resident(home->placement, record->pending,
				  record->name))
		clear_pending(home, record);
}

typedef struct {
	const char *endpoint;
	const char *owner;
	double score;
} candidate_t;

typedef struct {
	const home_t *home;
	const record_t *record;
	ms_t now;
	GArray *candidates; /* candidate_t */
} search_t;

/*
 * The lower the better.  What is unloaded for it counts, since it has to be
 * loaded again; against it, how far the batch fills up.
 */
static double score(const search_t *search, const char *endpoint,
		    const slots_utilization_t *load)
{
	const home_config_t *config = &search->home->config;
	int pending = pending_count(search->home, endpoint);
	int obtainable = load->free_slots + load->victim_slots - pending;
	double crowd = (double)(load->running + load->waiting) /
		       MAX(load->concurrency, 1);
	double pack = MIN(crowd, PACK_LOAD) / PACK_LOAD;
	double value = load->victim_rate + pending * PENDING_RATE;

	value -= (1 - config->stall_weight) * PACK_RATE * pack;
	value += MAX(crowd - PACK_LOAD, 0);
	if (load->free_slots > pending)
		value -= FREE_RATE;
	if (obtainable <= 0)
		value += FULL_RATE + crowd;
	return value;
}

static void consider(void *ctx, const char *endpoint, const char *owner,
		     const slots_utilization_t *load, gboolean holds)
{
	search_t *search = ctx;
	const record_t *record = search->record;
	candidate_t candidate = {.endpoint = endpoint, .owner = owner};
	const home_t *home = search->home;

	if (holds)
		return;
	if (home->actions.may_hold &&
	    !home->actions.may_hold(home->ctx, endpoint, record->name))
		return;
	if (record->avoid && record->avoid_until > search->now &&
	    !strcmp(record->avoid, endpoint))
		return;
	candidate.score = score(search, endpoint, load);
	g_array_append_val(search->candidates, candidate);
}

/* Keep a random sample of the candidates. */
static void thin_out(const home_t *home, GArray *candidates)
{
	unsigned int sample = home->config.sample;

	if (sample == 0)
		return;
	while (candidates->len > sample)
		g_array_remove_index_fast(
			candidates,
			g_rand_int_range(home->rand, 0, (int)candidates->len));
}

static gboolean choose_new(home_t *home, ms_t now, record_t *record,
			   home_choice_t *choice)
{
	search_t search = {.home = home, .record = record, .now = now};
	const candidate_t *best = NULL;
	unsigned int i;

	search.candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	placement_foreach(home->placement, now, record->name, consider,
			  &search);
	thin_out(home, search.candidates);
	for (i = 0; i < search.candidates->len; i++) {
		const candidate_t *candidate =
			&g_array_index(search.candidates, candidate_t, i);

		if (!best || candidate->score < best->score)
			best = candidate;
	}
	if (best) {
		choice->endpoint = best->endpoint;
		choice->owner = best->owner;
		set_pending(home, now, record, best->endpoint);
	}
	g_array_free(search.candidates, TRUE);
	return choice->endpoint != NULL;
}

static void note_crowded(record_t *record, ms_t now)
{
	if (record->crowded_since == 0 ||
	    now - record->crowded_last > CROWDED_GAP_MS)
		record->crowded_since = now;
	record->crowded_last = now;
	record->quiet_since = 0;
}

static gboolean wants_replica(const home_t *home, const record_t *record,
			      ms_t now, const placement_choice_t *resident)
{
	if (resident->load < home->config.crowded_load)
		return FALSE;
	if (now - record->crowded_since < home->config.crowded_time)
		return FALSE;
	return !record->pending &&
	       resident->replicas < home->config.replica_limit;
}

home_result_t home_place(home_t *home, ms_t now, const char *adapter,
			 gboolean crowded, home_choice_t *choice)
{
	record_t *record = record_get(home, adapter);
	placement_choice_t resident;

	*choice = (home_choice_t){0};
	refresh_pending(home, now, record);
	if (crowded)
		note_crowded(record, now);
	if (placement_choose(home->placement, now, adapter, 0, &resident)) {
		if (crowded && wants_replica(home, record, now, &resident) &&
		    choose_new(home, now, record, choice))
			return HOME_CHOSEN;
		choice->endpoint = resident.endpoint;
		choice->owner = resident.owner;
		return HOME_RESIDENT;
	}
	if (record->pending) {
		choice->endpoint = record->pending;
		choice->owner =
			placement_owner(home->placement, record->pending);
		return HOME_PENDING;
	}
	return choose_new(home, now, record, choice) ? HOME_CHOSEN
						     : HOME_NO_ENDPOINT;
}

void home_load_failed(home_t *home, ms_t now, const char *adapter,
		      const char *endpoint)
{
	record_t *record = record_get(home, adapter);

	if (record->pending && !strcmp(record->pending, endpoint))
		clear_pending(home, record);
	g_free(record->avoid);
	record->avoid = g_strdup(endpoint);
	record->avoid_until = now + AVOID_MS;
}

typedef struct {
	const char *least; /* holder with the least in flight */
	int least_running;
	int holders;
	double load;
} replica_scan_t;

static void scan_holder(void *ctx, const char *endpoint, const char *owner,
			const slots_utilization_t *load, gboolean holds)
{
	replica_scan_t *scan = ctx;

	if (!holds)
		return;
	scan->holders++;
	scan->load += (double)(load->running + load->waiting) /
		      MAX(load->concurrency, 1);
	if (!scan->least || load->running < scan->least_running) {
		scan->least = endpoint;
		scan->least_running = load->running;
	}
}

static void consider_drop(home_t *home, ms_t now, record_t *record)
{
	replica_scan_t scan = {0};

	placement_foreach(home->placement, now, record->name, scan_holder,
			  &scan);
	if (scan.holders < 2 ||
	    scan.load / scan.holders >= home->config.quiet_load) {
		record->quiet_since = 0;
		return;
	}
	if (record->quiet_since == 0)
		record->quiet_since = now;
	if (now - record->quiet_since < home->config.quiet_time)
		return;
	record->quiet_since = 0;
	home->actions.drop(home->ctx, scan.least, record->name);
}

static gboolean is_idle(const home_t *home, const record_t *record, ms_t now)
{
	return !record->pending && record->avoid_until <= now &&
	       now - record->crowded_last > CROWDED_GAP_MS &&
	       placement_replicas(home->placement, record->name) < 2;
}

ms_t home_tick(home_t *home, ms_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, home->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		refresh_pending(home, now, record);
		if (is_idle(home, record, now)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (placement_replicas(home->placement, record->name) > 1)
			consider_drop(home, now, record);
	}
	return now + TICK_MS;
}

unsigned int home_adapter_count(const home_t *home)
{
	return g_hash_table_size(home->records);
}
