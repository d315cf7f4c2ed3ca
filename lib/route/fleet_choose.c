#include "route/fleet_private.h"

#include <float.h>
#include <math.h>
#include <string.h>

#include "base/hash.h"

/*
 * Load bounds of an engine, as multiples of the mean load: a higher one if the
 * adapter is resident than if the engine would have to load it first.
 */
#define LOAD_BOUND_RESIDENT 2.0
#define LOAD_BOUND_COLD	    1.6

/* Lower limit of both bounds, in requests per place, whatever the mean load. */
#define LOAD_BOUND_MIN 0.25

/*
 * Mean load of the other engines, in requests per place, from which on the
 * reserved engines take short prompts as well.
 */
#define LONG_ENGINE_LOAD_MAX 0.6

static gboolean is_tried(const fleet_query_t *query, fleet_endpoint_t *endpoint)
{
	return query->tried && g_ptr_array_find(query->tried, endpoint, NULL);
}

static GPtrArray *list_candidates(const fleet_t *fleet, ms_t now,
				  const fleet_query_t *query,
				  gboolean skip_unavailable)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;

		if (fleet_endpoint_standing(endpoint, now) != STANDING_OPEN ||
		    strcmp(endpoint->service, query->service) ||
		    is_tried(query, endpoint) ||
		    !fleet_endpoint_has_model(endpoint, query->model))
			continue;
		if (skip_unavailable && (now < endpoint->ejected_until ||
					 now < endpoint->full_until))
			continue;
		g_ptr_array_add(list, endpoint);
	}
	return list;
}

static double cost(const fleet_t *fleet, const fleet_endpoint_t *endpoint,
		   ms_t now)
{
	return fleet_endpoint_load(endpoint, now) +
	       fleet_failure_cost(endpoint) +
	       fleet_domain_cost(fleet, endpoint);
}

static fleet_endpoint_t *least_loaded(const fleet_t *fleet, ms_t now,
				      const GPtrArray *list)
{
	fleet_endpoint_t *best = NULL;
	double best_cost = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		double endpoint_cost = cost(fleet, list->pdata[i], now);

		if (!best || endpoint_cost < best_cost) {
			best = list->pdata[i];
			best_cost = endpoint_cost;
		}
	}
	return best;
}

/* One choice of an engine. */
typedef struct {
	const fleet_t *fleet;
	ms_t now;
	const fleet_query_t *query;
	/* Of the engines that state how long work takes; 0 if none does. */
	double mean_work;
} engine_choice_t;

static double mean_work(const GPtrArray *list)
{
	double sum = 0;
	guint stated = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		const fleet_endpoint_t *endpoint = list->pdata[i];

		if (endpoint->work_percent <= 0)
			continue;
		sum += endpoint->work_percent;
		stated++;
	}
	return stated ? sum / stated : 0;
}

/* The load, weighed by how long work takes there compared to the others. */
static double engine_load(const engine_choice_t *engines,
			  const fleet_endpoint_t *endpoint)
{
	double load = fleet_endpoint_load(endpoint, engines->now);

	if (endpoint->work_percent <= 0 || engines->mean_work <= 0)
		return load;
	return load * endpoint->work_percent / engines->mean_work;
}

static gboolean is_long_at(const engine_choice_t *engines,
			   const fleet_endpoint_t *endpoint)
{
	const fleet_query_t *query = engines->query;

	if (endpoint->work_percent <= 0 || query->prefill_share <= 0)
		return query->prompt == PROMPT_LONG;
	return query->prefill_share * endpoint->work_percent / 100 > 1;
}

static gboolean is_resident(const fleet_endpoint_t *endpoint,
			    const fleet_query_t *query)
{
	int64_t version = fleet_endpoint_adapter(endpoint, query->adapter);

	return version && version >= query->version;
}

/*
 * How many adapters an engine is the first choice of, compared to one of the
 * mean pace.  It grows with the square of the speed, since a slow engine pauses
 * its streams for longer with each prompt; the load bounds send it what the
 * fast ones can't take.  Rounded to powers of two, so that instances with
 * slightly different averages of what an engine states agree on its place.
 */
static double placement_share(const engine_choice_t *engines,
			      const fleet_endpoint_t *endpoint)
{
	double speed;

	if (endpoint->work_percent <= 0 || engines->mean_work <= 0)
		return 1;
	speed = engines->mean_work / endpoint->work_percent;
	return exp2(round(2 * log2(speed)));
}

/*
 * The weight of weighted rendezvous hashing; the hash itself while no engine
 * states how long work takes.
 */
static double placement_weight(const engine_choice_t *engines,
			       const fleet_endpoint_t *endpoint)
{
	uint64_t hash = hash_rendezvous(engines->query->adapter, endpoint->id);
	double draw = ((double)hash + 1) / ((double)G_MAXUINT64 + 2);

	if (engines->mean_work <= 0)
		return (double)hash;
	return placement_share(engines, endpoint) / MAX(-log(draw), DBL_MIN);
}

/*
 * The first endpoint in the order of the hash that is within the load limit and
 * has or can load the adapter, as stated; NULL if there is none.
 */
static fleet_endpoint_t *first_by_hash(const engine_choice_t *engines,
				       const GPtrArray *list, double load_max,
				       gboolean must_be_resident)
{
	const fleet_query_t *query = engines->query;
	fleet_endpoint_t *best = NULL;
	double best_weight = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];
		double weight;

		if (engine_load(engines, endpoint) > load_max)
			continue;
		if (is_resident(endpoint, query) != must_be_resident)
			continue;
		if (!must_be_resident && query->may_load &&
		    !query->may_load(query->ctx, endpoint))
			continue;
		weight = placement_weight(engines, endpoint);
		if (!best || weight > best_weight) {
			best = endpoint;
			best_weight = weight;
		}
	}
	return best;
}

/* Endpoints whose load is unknown do not count in the mean. */
static double load_bound(const engine_choice_t *engines, const GPtrArray *list,
			 double factor)
{
	double sum = 0;
	guint known = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (!fleet_endpoint_is_load_known(list->pdata[i], engines->now))
			continue;
		sum += engine_load(engines, list->pdata[i]);
		known++;
	}
	return MAX(LOAD_BOUND_MIN, factor * sum / MAX(known, 1));
}

static fleet_endpoint_t *least_loaded_engine(const engine_choice_t *engines,
					     const GPtrArray *list,
					     gboolean must_be_resident)
{
	fleet_endpoint_t *best = NULL;
	double best_cost = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];
		double endpoint_cost;

		if (must_be_resident && !is_resident(endpoint, engines->query))
			continue;
		endpoint_cost = engine_load(engines, endpoint) +
				fleet_failure_cost(endpoint) +
				fleet_domain_cost(engines->fleet, endpoint);
		if (!best || endpoint_cost < best_cost) {
			best = endpoint;
			best_cost = endpoint_cost;
		}
	}
	return best;
}

static void choose_engine(const engine_choice_t *engines, const GPtrArray *list,
			  fleet_choice_t *choice)
{
	double resident_bound = load_bound(engines, list, LOAD_BOUND_RESIDENT);
	double cold_bound = load_bound(engines, list, LOAD_BOUND_COLD);
	fleet_endpoint_t *resident;

	choice->endpoint = first_by_hash(engines, list, resident_bound, TRUE);
	choice->is_resident = choice->endpoint != NULL;
	if (choice->is_resident)
		return;
	resident = least_loaded_engine(engines, list, TRUE);
	choice->endpoint = first_by_hash(engines, list, cold_bound, FALSE);
	if (!choice->endpoint && !resident)
		choice->endpoint =
			first_by_hash(engines, list, G_MAXDOUBLE, FALSE);
	/* A busy engine that is not full answers sooner than a load. */
	if (resident && fleet_endpoint_load(resident, engines->now) < 1) {
		choice->replica = choice->endpoint;
		choice->endpoint = resident;
	} else if (!choice->endpoint) {
		choice->endpoint = resident;
	}
	choice->is_resident = choice->endpoint && choice->endpoint == resident;
}

/* Whether the prompt goes to the engines of its length, not to all. */
static gboolean keeps_to_length(const engine_choice_t *engines,
				const GPtrArray *part)
{
	const fleet_query_t *query = engines->query;

	return query->prompt == PROMPT_LONG ||
	       (query->prompt == PROMPT_SHORT &&
		engines->now - engines->fleet->long_prompt_at <
			LONG_ENGINE_RESERVE_MS &&
		load_bound(engines, part, 1.0) < LONG_ENGINE_LOAD_MAX);
}

/*
 * Sends prompts to the engines reserved for long ones or to the others, by
 * whether they are long there, and falls back to all engines: first to those
 * where the prompt is short, unless they are full.
 */
static void choose_engine_by_length(const engine_choice_t *engines,
				    const GPtrArray *list,
				    fleet_choice_t *choice)
{
	GPtrArray *part = g_ptr_array_new();
	GPtrArray *quick = g_ptr_array_new();
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];
		gboolean is_long = is_long_at(engines, endpoint);

		if (endpoint->is_long_engine == is_long ||
		    (endpoint->is_long_engine &&
		     engines->query->prompt == PROMPT_LONG))
			g_ptr_array_add(part, endpoint);
		if (!is_long)
			g_ptr_array_add(quick, endpoint);
	}
	if (keeps_to_length(engines, part))
		choose_engine(engines, part, choice);
	if (!choice->endpoint && quick->len < list->len &&
	    load_bound(engines, quick, 1.0) < 1)
		choose_engine(engines, quick, choice);
	g_ptr_array_free(part, TRUE);
	g_ptr_array_free(quick, TRUE);
	if (!choice->endpoint)
		choose_engine(engines, list, choice);
}

static void choose_among_engines(const fleet_t *fleet, ms_t now,
				 const GPtrArray *list,
				 const fleet_query_t *query,
				 fleet_choice_t *choice)
{
	engine_choice_t engines = {fleet, now, query, mean_work(list)};

	if (query->adapter) {
		choose_engine_by_length(&engines, list, choice);
		return;
	}
	choice->endpoint = least_loaded_engine(&engines, list, FALSE);
	choice->is_resident = choice->endpoint != NULL;
}

static gboolean may_choose_again(const fleet_query_t *query, ms_t now)
{
	return query->again &&
	       fleet_endpoint_standing(query->again, now) == STANDING_OPEN &&
	       !is_tried(query, query->again) &&
	       (!query->may_load || query->may_load(query->ctx, query->again));
}

void fleet_choose(fleet_t *fleet, ms_t now, const fleet_query_t *query,
		  fleet_choice_t *choice)
{
	GPtrArray *list;

	memset(choice, 0, sizeof(*choice));
	if (query->prompt == PROMPT_LONG)
		fleet->long_prompt_at = now;
	if (g_hash_table_remove(fleet->stale_services, query->service))
		fleet_select_long_engines(fleet, query->service);
	if (may_choose_again(query, now)) {
		choice->endpoint = query->again;
		return;
	}
	list = list_candidates(fleet, now, query, TRUE);
	if (!list->len) {
		g_ptr_array_free(list, TRUE);
		list = list_candidates(fleet, now, query, FALSE);
	}
	if (query->adapter || query->model) {
		choose_among_engines(fleet, now, list, query, choice);
	} else {
		if (!query->model)
			choice->endpoint = fleet_choose_even(fleet, now, list);
		if (!choice->endpoint)
			choice->endpoint = least_loaded(fleet, now, list);
		choice->is_resident = choice->endpoint != NULL;
	}
	g_ptr_array_free(list, TRUE);
}
