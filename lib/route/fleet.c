#include "route/fleet.h"

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
 * Added load of an endpoint in another failure domain, in requests per place,
 * so that ties go to the own failure domain.
 */
#define REMOTE_DOMAIN_COST 0.05

/* Added load of an endpoint whose recent requests have all failed. */
#define FAILURE_COST 4.0

/* Weight of the newest outcome in the moving average of failures. */
#define FAILURE_WEIGHT 0.2

/* Time of the first ejection; doubled with each further failure. */
#define EJECTION_FIRST_MS 250
#define EJECTION_MAX_MS	  4000
/* Consecutive failures until an endpoint is ejected. */
#define EJECTION_FAILURES 2

/* Delay after an endpoint has refused a request because it is full. */
#define FULL_BACKOFF_MS 150

/*
 * One engine is reserved for long prompts per this many engines, rounded up, in
 * fleets of the minimum size or more: the long prompts of ten to twenty engines
 * take half of the time of one.
 */
#define LONG_ENGINE_RATIO     20
#define LONG_ENGINE_FLEET_MIN 6

/* Key of the rendezvous hash; all instances must use the same. */
#define LONG_ENGINE_KEY "long prompts"

/*
 * Mean load of the other engines, in requests per place, from which on the
 * reserved engines take short prompts as well.
 */
#define LONG_ENGINE_LOAD_MAX 0.6

/* A reported load is ignored after this time. */
#define LOAD_STALE_MS 2000

/* The engines are reserved for this long after a long prompt. */
#define LONG_ENGINE_RESERVE_MS 60000

struct endpoint {
	int references;
	char *id;
	char *service;
	char *address;
	int port;
	char *failure_domain;
	int64_t started_at;
	gboolean is_usable;
	gboolean has_said_leaving;
	ms_t quiet_until;
	char **models; /* NULL-terminated */
	int places;
	gboolean is_long_engine; /* reserved for long prompts */
	GHashTable *adapters;	 /* name to version */
	int in_flight;
	endpoint_load_t reported;
	ms_t reported_at;
	int in_flight_at_report; /* in_flight at reported_at */
	int failures;		 /* consecutive */
	double failure_rate;	 /* share of recent requests that failed */
	ms_t ejected_until;
	ms_t full_until;
};

struct fleet {
	char *failure_domain;
	GHashTable *endpoints; /* id to fleet_endpoint_t */
	/* Services whose engines for long prompts must be selected again. */
	GHashTable *stale_services;
	ms_t long_prompt_at; /* time of the last long prompt */
};

fleet_t *fleet_create(const char *failure_domain)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->failure_domain = g_strdup(failure_domain);
	fleet->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)fleet_endpoint_unref);
	fleet->stale_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->long_prompt_at = -LONG_ENGINE_RESERVE_MS;
	return fleet;
}

void fleet_destroy(fleet_t *fleet)
{
	g_hash_table_destroy(fleet->endpoints);
	g_hash_table_destroy(fleet->stale_services);
	g_free(fleet->failure_domain);
	g_free(fleet);
}

fleet_endpoint_t *fleet_endpoint_ref(fleet_endpoint_t *endpoint)
{
	endpoint->references++;
	return endpoint;
}

void fleet_endpoint_unref(fleet_endpoint_t *endpoint)
{
	if (--endpoint->references)
		return;
	g_hash_table_destroy(endpoint->adapters);
	g_strfreev(endpoint->models);
	g_free(endpoint->id);
	g_free(endpoint->service);
	g_free(endpoint->address);
	g_free(endpoint->failure_domain);
	g_free(endpoint);
}

static fleet_endpoint_t *fleet_endpoint_create(const endpoint_info_t *info)
{
	fleet_endpoint_t *endpoint = g_new0(fleet_endpoint_t, 1);

	endpoint->references = 1;
	endpoint->id = g_strdup(info->id);
	endpoint->service = g_strdup(info->service);
	endpoint->address = g_strdup(info->address);
	endpoint->port = info->port;
	endpoint->failure_domain = g_strdup(info->failure_domain);
	endpoint->started_at = info->started_at;
	endpoint->reported_at = -LOAD_STALE_MS;
	endpoint->adapters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return endpoint;
}

static gboolean is_same_incarnation(const fleet_endpoint_t *endpoint,
				    const endpoint_info_t *info)
{
	return endpoint->started_at == info->started_at &&
	       endpoint->port == info->port &&
	       !strcmp(endpoint->address, info->address) &&
	       !strcmp(endpoint->service, info->service);
}

static gint compare_long_weight(gconstpointer a, gconstpointer b)
{
	const fleet_endpoint_t *const *first = a;
	const fleet_endpoint_t *const *second = b;
	uint64_t weight = hash_rendezvous(LONG_ENGINE_KEY, (*first)->id);
	uint64_t other = hash_rendezvous(LONG_ENGINE_KEY, (*second)->id);

	return weight < other ? 1 : weight > other ? -1 : 0;
}

static gboolean is_long_candidate(const fleet_endpoint_t *endpoint)
{
	return endpoint->is_usable && endpoint->models;
}

/* Selects the engines of a service that are reserved for long prompts. */
static void select_long_engines(const fleet_t *fleet, const char *service)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint selected;
	guint i;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;

		if (strcmp(endpoint->service, service))
			continue;
		endpoint->is_long_engine = FALSE;
		if (is_long_candidate(endpoint))
			g_ptr_array_add(list, endpoint);
	}
	g_ptr_array_sort(list, compare_long_weight);
	selected = list->len < LONG_ENGINE_FLEET_MIN
			   ? 0
			   : (list->len + LONG_ENGINE_RATIO - 1) /
				     LONG_ENGINE_RATIO;
	for (i = 0; i < selected; i++)
		((fleet_endpoint_t *)list->pdata[i])->is_long_engine = TRUE;
	g_ptr_array_free(list, TRUE);
}

fleet_endpoint_t *fleet_update_endpoint(fleet_t *fleet,
					const endpoint_info_t *info)
{
	fleet_endpoint_t *endpoint =
		g_hash_table_lookup(fleet->endpoints, info->id);
	gboolean was_candidate;

	if (endpoint && !is_same_incarnation(endpoint, info)) {
		fleet_remove_endpoint(fleet, info->id);
		endpoint = NULL;
	}
	if (!endpoint) {
		endpoint = fleet_endpoint_create(info);
		g_hash_table_insert(fleet->endpoints, endpoint->id, endpoint);
	}
	was_candidate = is_long_candidate(endpoint);
	endpoint->is_usable = !info->is_leaving && !endpoint->has_said_leaving;
	g_strfreev(endpoint->models);
	endpoint->models = g_strdupv((char **)info->models);
	endpoint->places = MAX(info->places, 1);
	/* Most updates are heartbeats, which change nothing. */
	if (is_long_candidate(endpoint) != was_candidate)
		g_hash_table_add(fleet->stale_services,
				 g_strdup(endpoint->service));
	return endpoint;
}

void fleet_remove_endpoint(fleet_t *fleet, const char *id)
{
	fleet_endpoint_t *endpoint = g_hash_table_lookup(fleet->endpoints, id);

	if (!endpoint)
		return;
	endpoint->is_usable = FALSE;
	g_hash_table_add(fleet->stale_services, g_strdup(endpoint->service));
	g_hash_table_remove(fleet->endpoints, id);
}

fleet_endpoint_t *fleet_find(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->endpoints, id);
}

const char *fleet_endpoint_id(const fleet_endpoint_t *endpoint)
{
	return endpoint->id;
}

const char *fleet_endpoint_service(const fleet_endpoint_t *endpoint)
{
	return endpoint->service;
}

const char *fleet_endpoint_address(const fleet_endpoint_t *endpoint)
{
	return endpoint->address;
}

int fleet_endpoint_port(const fleet_endpoint_t *endpoint)
{
	return endpoint->port;
}

int fleet_endpoint_places(const fleet_endpoint_t *endpoint)
{
	return endpoint->places;
}

gboolean fleet_endpoint_has_model(const fleet_endpoint_t *endpoint,
				  const char *model)
{
	if (!model)
		return TRUE;
	return endpoint->models &&
	       g_strv_contains((const char *const *)endpoint->models, model);
}

gboolean fleet_endpoint_is_usable(const fleet_endpoint_t *endpoint)
{
	return endpoint->is_usable;
}

standing_t fleet_endpoint_standing(const fleet_endpoint_t *endpoint, ms_t now)
{
	if (endpoint->has_said_leaving)
		return STANDING_LEAVING;
	if (!endpoint->is_usable)
		return STANDING_GONE;
	return now < endpoint->quiet_until ? STANDING_QUIET : STANDING_OPEN;
}

void fleet_endpoint_note_leaving(fleet_t *fleet, fleet_endpoint_t *endpoint)
{
	endpoint->has_said_leaving = TRUE;
	endpoint->is_usable = FALSE;
	g_hash_table_add(fleet->stale_services, g_strdup(endpoint->service));
}

void fleet_endpoint_note_quiet(fleet_endpoint_t *endpoint, ms_t now, ms_t time)
{
	endpoint->quiet_until = MAX(endpoint->quiet_until, now + time);
}

ms_t fleet_endpoint_quiet_until(const fleet_endpoint_t *endpoint)
{
	return endpoint->quiet_until;
}

ms_t fleet_quiet_time(const fleet_t *fleet, ms_t now, const char *service)
{
	GHashTableIter iter;
	gpointer value;
	ms_t shortest = 0;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fleet_endpoint_t *endpoint = value;
		standing_t standing = fleet_endpoint_standing(endpoint, now);
		ms_t left = endpoint->quiet_until - now;

		if (strcmp(endpoint->service, service))
			continue;
		if (standing == STANDING_OPEN)
			return 0;
		if (standing == STANDING_QUIET)
			shortest = shortest ? MIN(shortest, left) : left;
	}
	return shortest;
}

int64_t fleet_endpoint_adapter(const fleet_endpoint_t *endpoint,
			       const char *adapter)
{
	const int64_t *version =
		g_hash_table_lookup(endpoint->adapters, adapter);

	return version ? *version : 0;
}

void fleet_endpoint_set_adapter(fleet_endpoint_t *endpoint, const char *adapter,
				int64_t version)
{
	if (version)
		g_hash_table_insert(endpoint->adapters, g_strdup(adapter),
				    g_memdup2(&version, sizeof(version)));
	else
		g_hash_table_remove(endpoint->adapters, adapter);
}

void fleet_endpoint_begin(fleet_endpoint_t *endpoint)
{
	endpoint->in_flight++;
}

void fleet_endpoint_end(fleet_endpoint_t *endpoint)
{
	g_assert(endpoint->in_flight > 0);
	endpoint->in_flight--;
}

void fleet_endpoint_note_load(fleet_endpoint_t *endpoint, ms_t now,
			      const endpoint_load_t *load)
{
	endpoint->reported = *load;
	endpoint->reported_at = now;
	endpoint->in_flight_at_report = endpoint->in_flight;
}

void fleet_endpoint_note_success(fleet_endpoint_t *endpoint)
{
	endpoint->failures = 0;
	endpoint->ejected_until = 0;
	endpoint->failure_rate -= endpoint->failure_rate * FAILURE_WEIGHT;
}

void fleet_endpoint_note_failure(fleet_endpoint_t *endpoint, ms_t now)
{
	ms_t duration;

	endpoint->failure_rate += (1 - endpoint->failure_rate) * FAILURE_WEIGHT;
	endpoint->failures++;
	if (endpoint->failures < EJECTION_FAILURES)
		return;
	duration = EJECTION_FIRST_MS
		   << MIN(endpoint->failures - EJECTION_FAILURES, 4);
	endpoint->ejected_until = now + MIN(duration, EJECTION_MAX_MS);
}

void fleet_endpoint_note_full(fleet_endpoint_t *endpoint, ms_t now)
{
	endpoint->full_until = now + FULL_BACKOFF_MS;
}

static gboolean is_load_known(const fleet_endpoint_t *endpoint, ms_t now)
{
	return now - endpoint->reported_at < LOAD_STALE_MS;
}

double fleet_endpoint_load(const fleet_endpoint_t *endpoint, ms_t now)
{
	int requests = endpoint->in_flight;

	if (is_load_known(endpoint, now)) {
		int reported = endpoint->reported.running +
			       endpoint->reported.waiting +
			       endpoint->in_flight -
			       endpoint->in_flight_at_report;

		requests = MAX(requests, reported);
	}
	return (double)requests / endpoint->places;
}

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
	double load = fleet_endpoint_load(endpoint, now) +
		      FAILURE_COST * endpoint->failure_rate;

	if (strcmp(endpoint->failure_domain, fleet->failure_domain))
		load += REMOTE_DOMAIN_COST;
	return load;
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

static gboolean is_resident(const fleet_endpoint_t *endpoint,
			    const fleet_query_t *query)
{
	int64_t version = fleet_endpoint_adapter(endpoint, query->adapter);

	return version && version >= query->version;
}

/*
 * The first endpoint in the order of the hash that is within the load limit and
 * has or can load the adapter, as stated; NULL if there is none.
 */
static fleet_endpoint_t *first_by_hash(const GPtrArray *list, ms_t now,
				       const fleet_query_t *query,
				       double load_max,
				       gboolean must_be_resident)
{
	fleet_endpoint_t *best = NULL;
	uint64_t best_weight = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];
		uint64_t weight;

		if (fleet_endpoint_load(endpoint, now) > load_max)
			continue;
		if (is_resident(endpoint, query) != must_be_resident)
			continue;
		if (!must_be_resident && query->may_load &&
		    !query->may_load(query->ctx, endpoint))
			continue;
		weight = hash_rendezvous(query->adapter, endpoint->id);
		if (!best || weight > best_weight) {
			best = endpoint;
			best_weight = weight;
		}
	}
	return best;
}

/* Endpoints whose load is unknown do not count in the mean. */
static double load_bound(const GPtrArray *list, ms_t now, double factor)
{
	double sum = 0;
	guint known = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (!is_load_known(list->pdata[i], now))
			continue;
		sum += fleet_endpoint_load(list->pdata[i], now);
		known++;
	}
	return MAX(LOAD_BOUND_MIN, factor * sum / MAX(known, 1));
}

static fleet_endpoint_t *least_loaded_resident(const fleet_t *fleet, ms_t now,
					       const GPtrArray *list,
					       const fleet_query_t *query)
{
	GPtrArray *resident = g_ptr_array_new();
	fleet_endpoint_t *best;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (is_resident(list->pdata[i], query))
			g_ptr_array_add(resident, list->pdata[i]);
	}
	best = least_loaded(fleet, now, resident);
	g_ptr_array_free(resident, TRUE);
	return best;
}

static void choose_engine(const fleet_t *fleet, ms_t now, const GPtrArray *list,
			  const fleet_query_t *query, fleet_choice_t *choice)
{
	double resident_bound = load_bound(list, now, LOAD_BOUND_RESIDENT);
	double cold_bound = load_bound(list, now, LOAD_BOUND_COLD);
	fleet_endpoint_t *resident;

	choice->endpoint =
		first_by_hash(list, now, query, resident_bound, TRUE);
	choice->is_resident = choice->endpoint != NULL;
	if (choice->is_resident)
		return;
	resident = least_loaded_resident(fleet, now, list, query);
	choice->endpoint = first_by_hash(list, now, query, cold_bound, FALSE);
	if (!choice->endpoint && !resident)
		choice->endpoint =
			first_by_hash(list, now, query, G_MAXDOUBLE, FALSE);
	/* A busy engine that is not full answers sooner than a load. */
	if (resident && fleet_endpoint_load(resident, now) < 1) {
		choice->replica = choice->endpoint;
		choice->endpoint = resident;
	} else if (!choice->endpoint) {
		choice->endpoint = resident;
	}
	choice->is_resident = choice->endpoint && choice->endpoint == resident;
}

/*
 * Sends long prompts to the engines reserved for them and short prompts to the
 * others, and falls back to all engines.
 */
static void choose_engine_by_length(const fleet_t *fleet, ms_t now,
				    const GPtrArray *list,
				    const fleet_query_t *query,
				    fleet_choice_t *choice)
{
	GPtrArray *part = g_ptr_array_new();
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];

		if (endpoint->is_long_engine == (query->prompt == PROMPT_LONG))
			g_ptr_array_add(part, endpoint);
	}
	if (query->prompt == PROMPT_LONG ||
	    (query->prompt == PROMPT_SHORT &&
	     now - fleet->long_prompt_at < LONG_ENGINE_RESERVE_MS &&
	     load_bound(part, now, 1.0) < LONG_ENGINE_LOAD_MAX))
		choose_engine(fleet, now, part, query, choice);
	g_ptr_array_free(part, TRUE);
	if (!choice->endpoint)
		choose_engine(fleet, now, list, query, choice);
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
		select_long_engines(fleet, query->service);
	if (may_choose_again(query, now)) {
		choice->endpoint = query->again;
		return;
	}
	list = list_candidates(fleet, now, query, TRUE);
	if (!list->len) {
		g_ptr_array_free(list, TRUE);
		list = list_candidates(fleet, now, query, FALSE);
	}
	if (query->adapter) {
		choose_engine_by_length(fleet, now, list, query, choice);
	} else {
		choice->endpoint = least_loaded(fleet, now, list);
		choice->is_resident = choice->endpoint != NULL;
	}
	g_ptr_array_free(list, TRUE);
}
