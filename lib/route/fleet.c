#include "route/fleet.h"

#include <string.h>

#include "base/hash.h"

/* An engine that holds an adapter takes this many times the mean load. */
#define CROWDED_SHARE 2.0
/* One that would have to load it first takes less. */
#define CROWDED_SHARE_LOAD 1.6

/* Requests for each place that are no reason to move on, whatever the mean. */
#define CROWDED_MIN 0.25

/* Load that a tie between failure domains is worth, in requests a place. */
#define DOMAIN_BONUS 0.05

/* Load that an endpoint counts for when all of its recent requests failed. */
#define FAILING_LOAD 4.0

/* Weight of the newest outcome in the share of failures. */
#define FAILURE_WEIGHT 0.2

/* How long an endpoint is left out after failures in a row. */
#define LEFT_OUT_FIRST_MS 250
#define LEFT_OUT_MAX_MS	  4000
/* Failures in a row before it is left out. */
#define FAILURES_MAX 2

/* After a refusal for want of room, until it is asked again. */
#define FULL_MS 150

/*
 * Engines for each one that reads the long prompts, rounded up, and the least
 * fleet that keeps one for them; chosen: one is busy for half of its time with
 * the long prompts of ten to twenty.
 */
#define LONG_ENGINES   20
#define LONG_FLEET_MIN 6

/* Their place in the hash's order. */
#define LONG_KEY "long prompts"

/* Mean load, in requests a place, at which these engines are no longer kept. */
#define LONG_LOAD_MAX 0.6

/* What an endpoint told of its load is of no use after this time. */
#define LOAD_STALE_MS 2000

struct endpoint {
	int references;
	char *id;
	char *service;
	char *address;
	int port;
	char *failure_domain;
	int64_t started_at;
	gboolean is_usable;
	char **models; /* NULL-terminated */
	int places;
	gboolean reads_long;  /* among the engines kept for long prompts */
	GHashTable *adapters; /* name to version */
	int in_flight;
	endpoint_load_t told;
	ms_t told_at;
	int in_flight_told; /* in_flight when told */
	int failures;	    /* in a row */
	double failing;	    /* share of recent requests that failed */
	ms_t out_until;
	ms_t full_until;
};

struct fleet {
	char *failure_domain;
	GHashTable *endpoints; /* id to fleet_endpoint_t */
	GHashTable *unmarked;  /* services of which an engine came or went */
};

fleet_t *fleet_create(const char *failure_domain)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->failure_domain = g_strdup(failure_domain);
	fleet->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)fleet_endpoint_unref);
	fleet->unmarked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fleet;
}

void fleet_destroy(fleet_t *fleet)
{
	g_hash_table_destroy(fleet->endpoints);
	g_hash_table_destroy(fleet->unmarked);
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
	endpoint->told_at = -LOAD_STALE_MS;
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

static gint by_long_weight(gconstpointer a, gconstpointer b)
{
	const fleet_endpoint_t *const *first = a;
	const fleet_endpoint_t *const *second = b;
	uint64_t weight = hash_rendezvous(LONG_KEY, (*first)->id);
	uint64_t other = hash_rendezvous(LONG_KEY, (*second)->id);

	return weight < other ? 1 : weight > other ? -1 : 0;
}

static gboolean can_read_long(const fleet_endpoint_t *endpoint)
{
	return endpoint->is_usable && endpoint->models;
}

/* Choose anew which engines of a service are kept for long prompts. */
static void mark_long(const fleet_t *fleet, const char *service)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint kept;
	guint i;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;

		if (strcmp(endpoint->service, service))
			continue;
		endpoint->reads_long = FALSE;
		if (can_read_long(endpoint))
			g_ptr_array_add(list, endpoint);
	}
	g_ptr_array_sort(list, by_long_weight);
	kept = list->len < LONG_FLEET_MIN
		       ? 0
		       : (list->len + LONG_ENGINES - 1) / LONG_ENGINES;
	for (i = 0; i < kept; i++)
		((fleet_endpoint_t *)list->pdata[i])->reads_long = TRUE;
	g_ptr_array_free(list, TRUE);
}

fleet_endpoint_t *fleet_update_endpoint(fleet_t *fleet,
					const endpoint_info_t *info)
{
	fleet_endpoint_t *endpoint =
		g_hash_table_lookup(fleet->endpoints, info->id);
	gboolean could_read_long;

	if (endpoint && !is_same_incarnation(endpoint, info)) {
		fleet_remove_endpoint(fleet, info->id);
		endpoint = NULL;
	}
	if (!endpoint) {
		endpoint = fleet_endpoint_create(info);
		g_hash_table_insert(fleet->endpoints, endpoint->id, endpoint);
	}
	could_read_long = can_read_long(endpoint);
	endpoint->is_usable = !info->is_leaving;
	g_strfreev(endpoint->models);
	endpoint->models = g_strdupv((char **)info->models);
	endpoint->places = MAX(info->places, 1);
	/* Most of what comes are heartbeats. */
	if (can_read_long(endpoint) != could_read_long)
		g_hash_table_add(fleet->unmarked, g_strdup(endpoint->service));
	return endpoint;
}

void fleet_remove_endpoint(fleet_t *fleet, const char *id)
{
	fleet_endpoint_t *endpoint = g_hash_table_lookup(fleet->endpoints, id);

	if (!endpoint)
		return;
	endpoint->is_usable = FALSE;
	g_hash_table_add(fleet->unmarked, g_strdup(endpoint->service));
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
	endpoint->told = *load;
	endpoint->told_at = now;
	endpoint->in_flight_told = endpoint->in_flight;
}

void fleet_endpoint_note_success(fleet_endpoint_t *endpoint)
{
	endpoint->failures = 0;
	endpoint->out_until = 0;
	endpoint->failing -= endpoint->failing * FAILURE_WEIGHT;
}

void fleet_endpoint_note_failure(fleet_endpoint_t *endpoint, ms_t now)
{
	ms_t out;

	endpoint->failing += (1 - endpoint->failing) * FAILURE_WEIGHT;
	endpoint->failures++;
	if (endpoint->failures < FAILURES_MAX)
		return;
	out = LEFT_OUT_FIRST_MS << MIN(endpoint->failures - FAILURES_MAX, 4);
	endpoint->out_until = now + MIN(out, LEFT_OUT_MAX_MS);
}

void fleet_endpoint_note_full(fleet_endpoint_t *endpoint, ms_t now)
{
	endpoint->full_until = now + FULL_MS;
}

static gboolean is_load_known(const fleet_endpoint_t *endpoint, ms_t now)
{
	return now - endpoint->told_at < LOAD_STALE_MS;
}

double fleet_endpoint_load(const fleet_endpoint_t *endpoint, ms_t now)
{
	int there = endpoint->in_flight;

	if (is_load_known(endpoint, now)) {
		int told = endpoint->told.running + endpoint->told.waiting +
			   endpoint->in_flight - endpoint->in_flight_told;

		there = MAX(there, told);
	}
	return (double)there / endpoint->places;
}

static gboolean is_tried(const fleet_query_t *query, fleet_endpoint_t *endpoint)
{
	return query->tried && g_ptr_array_find(query->tried, endpoint, NULL);
}

static GPtrArray *candidates(const fleet_t *fleet, ms_t now,
			     const fleet_query_t *query, gboolean is_strict)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;

		if (!endpoint->is_usable ||
		    strcmp(endpoint->service, query->service) ||
		    is_tried(query, endpoint) ||
		    !fleet_endpoint_has_model(endpoint, query->model))
			continue;
		if (is_strict &&
		    (now < endpoint->out_until || now < endpoint->full_until))
			continue;
		g_ptr_array_add(list, endpoint);
	}
	return list;
}

static double cost(const fleet_t *fleet, const fleet_endpoint_t *endpoint,
		   ms_t now)
{
	double load = fleet_endpoint_load(endpoint, now) +
		      FAILING_LOAD * endpoint->failing;

	if (strcmp(endpoint->failure_domain, fleet->failure_domain))
		load += DOMAIN_BONUS;
	return load;
}

static fleet_endpoint_t *least_loaded(const fleet_t *fleet, ms_t now,
				      const GPtrArray *list)
{
	fleet_endpoint_t *best = NULL;
	double best_cost = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		double here = cost(fleet, list->pdata[i], now);

		if (!best || here < best_cost) {
			best = list->pdata[i];
			best_cost = here;
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

/* The first of the hash's order that passes; NULL if none does. */
static fleet_endpoint_t *first_by_hash(const GPtrArray *list, ms_t now,
				       const fleet_query_t *query,
				       double load_max, gboolean wants_resident)
{
	fleet_endpoint_t *best = NULL;
	uint64_t best_weight = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];
		uint64_t weight;

		if (fleet_endpoint_load(endpoint, now) > load_max)
			continue;
		if (is_resident(endpoint, query) != wants_resident)
			continue;
		if (!wants_resident && query->may_load &&
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

/* The mean counts endpoints whose load is known; the others may have any. */
static double crowded_load(const GPtrArray *list, ms_t now, double share)
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
	return MAX(CROWDED_MIN, share * sum / MAX(known, 1));
}

/* The least loaded endpoint that holds the adapter, or NULL. */
static fleet_endpoint_t *least_loaded_resident(const fleet_t *fleet, ms_t now,
					       const GPtrArray *list,
					       const fleet_query_t *query)
{
	GPtrArray *holders = g_ptr_array_new();
	fleet_endpoint_t *best;
	guint i;

	for (i = 0; i < list->len; i++) {
		if (is_resident(list->pdata[i], query))
			g_ptr_array_add(holders, list->pdata[i]);
	}
	best = least_loaded(fleet, now, holders);
	g_ptr_array_free(holders, TRUE);
	return best;
}

static void choose_adapter(const fleet_t *fleet, ms_t now,
			   const GPtrArray *list, const fleet_query_t *query,
			   fleet_choice_t *choice)
{
	double crowded = crowded_load(list, now, CROWDED_SHARE);
	double crowded_cold = crowded_load(list, now, CROWDED_SHARE_LOAD);
	fleet_endpoint_t *resident;

	choice->endpoint = first_by_hash(list, now, query, crowded, TRUE);
	choice->is_resident = choice->endpoint != NULL;
	if (choice->is_resident)
		return;
	resident = least_loaded_resident(fleet, now, list, query);
	choice->endpoint = first_by_hash(list, now, query, crowded_cold, FALSE);
	if (!choice->endpoint && !resident)
		choice->endpoint =
			first_by_hash(list, now, query, G_MAXDOUBLE, FALSE);
	/* Rather a crowded engine now than an idle one after a load. */
	if (resident && fleet_endpoint_load(resident, now) < 1) {
		choice->replica = choice->endpoint;
		choice->endpoint = resident;
	} else if (!choice->endpoint) {
		choice->endpoint = resident;
	}
	choice->is_resident = choice->endpoint && choice->endpoint == resident;
}

/* Long prompts to the engines kept for them, short ones elsewhere, if possible.
 */
static void choose_by_length(const fleet_t *fleet, ms_t now,
			     const GPtrArray *list, const fleet_query_t *query,
			     fleet_choice_t *choice)
{
	GPtrArray *part = g_ptr_array_new();
	guint i;

	for (i = 0; i < list->len; i++) {
		fleet_endpoint_t *endpoint = list->pdata[i];

		if (endpoint->reads_long == (query->prompt == PROMPT_LONG))
			g_ptr_array_add(part, endpoint);
	}
	if (query->prompt == PROMPT_LONG ||
	    (query->prompt == PROMPT_SHORT &&
	     crowded_load(part, now, 1.0) < LONG_LOAD_MAX))
		choose_adapter(fleet, now, part, query, choice);
	g_ptr_array_free(part, TRUE);
	if (!choice->endpoint)
		choose_adapter(fleet, now, list, query, choice);
}

static gboolean may_try_again(const fleet_query_t *query)
{
	return query->again && query->again->is_usable &&
	       !is_tried(query, query->again) &&
	       (!query->may_load || query->may_load(query->ctx, query->again));
}

void fleet_choose(fleet_t *fleet, ms_t now, const fleet_query_t *query,
		  fleet_choice_t *choice)
{
	GPtrArray *list;

	memset(choice, 0, sizeof(*choice));
	if (g_hash_table_remove(fleet->unmarked, query->service))
		mark_long(fleet, query->service);
	if (may_try_again(query)) {
		choice->endpoint = query->again;
		return;
	}
	list = candidates(fleet, now, query, TRUE);
	if (!list->len) {
		g_ptr_array_free(list, TRUE);
		list = candidates(fleet, now, query, FALSE);
	}
	if (query->adapter) {
		choose_by_length(fleet, now, list, query, choice);
	} else {
		choice->endpoint = least_loaded(fleet, now, list);
		choice->is_resident = choice->endpoint != NULL;
	}
	g_ptr_array_free(list, TRUE);
}
