#include "route/fleet_private.h"

#include <string.h>

#include "base/hash.h"

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
 * How long another instance's word that an endpoint is leaving holds: longer
 * than the platform's list takes to show it.
 */
#define LEAVING_HINT_MS 5000

/* Another request is sent if the first one after a time of quiet got no answer.
 */
#define PROBE_TIMEOUT_MS 1000

/* A reported load is ignored after this time. */
#define LOAD_STALE_MS 2000

/*
 * Weight of the newest statement in the moving average of how long work takes,
 * which endpoints change many times a second.
 */
#define WORK_WEIGHT 0.25

/*
 * Added load of an endpoint in another failure domain, in requests per place,
 * so that ties go to the own failure domain.
 */
#define REMOTE_DOMAIN_COST 0.05

/* Added load of an endpoint whose recent requests have all failed. */
#define FAILURE_COST 4.0

fleet_t *fleet_create(const char *instance, const char *failure_domain)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->instance = g_strdup(instance);
	fleet->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->failure_domain = g_strdup(failure_domain);
	fleet->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)fleet_endpoint_unref);
	fleet->stale_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->long_prompt_at = -LONG_ENGINE_RESERVE_MS;
	return fleet;
}

void fleet_set_rand(fleet_t *fleet, GRand *rand)
{
	fleet->rand = rand;
}

void fleet_destroy(fleet_t *fleet)
{
	g_hash_table_destroy(fleet->endpoints);
	g_hash_table_destroy(fleet->stale_services);
	g_hash_table_destroy(fleet->instances);
	g_free(fleet->instance);
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
	fleet_endpoint_end_limit(endpoint);
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
void fleet_select_long_engines(const fleet_t *fleet, const char *service)
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
	endpoint->is_engine = info->is_engine;
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

void fleet_foreach(const fleet_t *fleet,
		   void (*visit)(void *ctx, fleet_endpoint_t *endpoint),
		   void *ctx)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		visit(ctx, endpoint);
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

int64_t fleet_endpoint_started_at(const fleet_endpoint_t *endpoint)
{
	return endpoint->started_at;
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

static standing_t standing(const fleet_endpoint_t *endpoint, ms_t now,
			   guint reserved)
{
	if (endpoint->has_said_leaving || now < endpoint->leaving_hint_until)
		return STANDING_LEAVING;
	if (!endpoint->is_usable)
		return STANDING_GONE;
	if (now < endpoint->quiet_until ||
	    (endpoint->is_probe_due &&
	     (now < endpoint->probe_until || reserved)))
		return STANDING_QUIET;
	if (endpoint->limit &&
	    request_limit_wait(endpoint->limit, now, reserved))
		return STANDING_LIMITED;
	return STANDING_OPEN;
}

standing_t fleet_endpoint_standing(const fleet_endpoint_t *endpoint, ms_t now)
{
	return standing(endpoint, now, endpoint->reserved);
}

gboolean fleet_endpoint_takes_reserved(const fleet_endpoint_t *endpoint,
				       ms_t now)
{
	return standing(endpoint, now, 0) == STANDING_OPEN;
}

void fleet_endpoint_note_leaving(fleet_t *fleet, fleet_endpoint_t *endpoint)
{
	endpoint->has_said_leaving = TRUE;
	endpoint->is_usable = FALSE;
	g_hash_table_add(fleet->stale_services, g_strdup(endpoint->service));
}

gboolean fleet_endpoint_has_said_leaving(const fleet_endpoint_t *endpoint)
{
	return endpoint->has_said_leaving;
}

void fleet_endpoint_hint_leaving(fleet_endpoint_t *endpoint, ms_t now)
{
	endpoint->leaving_hint_until = now + LEAVING_HINT_MS;
}

void fleet_endpoint_note_quiet(fleet_endpoint_t *endpoint, ms_t now, ms_t time)
{
	endpoint->quiet_until = MAX(endpoint->quiet_until, now + time);
	endpoint->is_probe_due = TRUE;
	endpoint->probe_until = endpoint->quiet_until;
}

void fleet_endpoint_note_answer(fleet_endpoint_t *endpoint, ms_t now)
{
	if (now >= endpoint->quiet_until)
		endpoint->is_probe_due = FALSE;
}

ms_t fleet_endpoint_quiet_until(const fleet_endpoint_t *endpoint)
{
	return endpoint->quiet_until;
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

void fleet_endpoint_begin(fleet_endpoint_t *endpoint, ms_t now)
{
	endpoint->in_flight++;
	endpoint->probe_until = now + PROBE_TIMEOUT_MS;
	fleet_endpoint_count_call(endpoint, now);
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
	fleet_endpoint_note_usual(endpoint, now, load);
	if (!load->work_percent)
		return;
	if (!endpoint->work_percent)
		endpoint->work_percent = load->work_percent;
	else
		endpoint->work_percent +=
			WORK_WEIGHT *
			(load->work_percent - endpoint->work_percent);
}

int fleet_endpoint_work_percent(const fleet_endpoint_t *endpoint)
{
	return (int)(endpoint->work_percent + 0.5);
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
	endpoint->failed_at = now;
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

gboolean fleet_endpoint_is_load_known(const fleet_endpoint_t *endpoint,
				      ms_t now)
{
	return now - endpoint->reported_at < LOAD_STALE_MS;
}

double fleet_endpoint_load(const fleet_endpoint_t *endpoint, ms_t now)
{
	int requests = endpoint->in_flight;

	if (fleet_endpoint_is_load_known(endpoint, now)) {
		int reported = endpoint->reported.running +
			       endpoint->reported.waiting +
			       endpoint->in_flight -
			       endpoint->in_flight_at_report;

		requests = MAX(requests, reported);
	}
	return (double)requests / endpoint->places;
}

double fleet_domain_cost(const fleet_t *fleet, const fleet_endpoint_t *endpoint)
{
	return strcmp(endpoint->failure_domain, fleet->failure_domain)
		       ? REMOTE_DOMAIN_COST
		       : 0;
}

double fleet_failure_cost(const fleet_endpoint_t *endpoint)
{
	return FAILURE_COST * endpoint->failure_rate;
}
