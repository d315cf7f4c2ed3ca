#include "owner/owned_endpoints.h"

#include "base/log.h"

/* Limits of a store if the document has none for it. */
#define DEFAULT_LOADS_PER_SECOND 1.0
#define DEFAULT_LOADS_IN_TRANSIT 1

struct owned_endpoints {
	const endpoint_env_t *env;
	const char *self;
	const live_owners_t *view;
	owned_endpoints_actions_t actions;
	void *ctx;
	GHashTable *endpoints; /* identifier to endpoint_t */
	GPtrArray *retired;    /* endpoints with another owner, until idle */
	GHashTable *grants;    /* service to grants_t */
	GHashTable *services;  /* endpoint, of any owner, to its service */
};

static ms_t now_of(const owned_endpoints_t *owned)
{
	return ms_clock_now(owned->env->clock);
}

/* Actions of the endpoints. */

static void on_send(void *ctx, void *requester, const void *message)
{
	owned_endpoints_t *owned = ctx;

	owned->actions.send(owned->ctx, requester, message);
}

static void on_record_intent(void *ctx, endpoint_t *endpoint, int slot,
			     const char *adapter, gboolean is_load)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint)) {
		endpoint_refuse_order(endpoint, slot, FALSE);
		return;
	}
	owned->actions.record_intent(owned->ctx, endpoint, slot, adapter,
				     is_load);
}

static gboolean on_may_order(void *ctx, endpoint_t *endpoint, int slot,
			     int64_t *fence)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return FALSE;
	return owned->actions.may_order(owned->ctx, endpoint, slot, fence);
}

static void on_order_ended(void *ctx, endpoint_t *endpoint, int slot,
			   const char *adapter)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	owned->actions.order_ended(owned->ctx, endpoint, slot, adapter);
}

static void on_order_lost(void *ctx, endpoint_t *endpoint, int slot)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	owned->actions.order_lost(owned->ctx, endpoint, slot);
}

static void on_slots_reported(void *ctx, endpoint_t *endpoint,
			      const load_report_t *report, ms_t as_of)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	owned->actions.slots_reported(owned->ctx, endpoint, report, as_of);
}

static void on_engine_restarted(void *ctx, endpoint_t *endpoint)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	owned->actions.engine_restarted(owned->ctx, endpoint);
}

static void on_run_orphaned(void *ctx, endpoint_t *endpoint,
			    const orphan_run_t *end)
{
	owned_endpoints_t *owned = ctx;

	owned->actions.run_orphaned(owned->ctx, endpoint, end);
}

static grants_t *grants_for(owned_endpoints_t *owned, endpoint_t *endpoint)
{
	return g_hash_table_lookup(owned->grants, endpoint_service(endpoint));
}

static void on_request_load(void *ctx, endpoint_t *endpoint,
			    const load_request_t *want)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	grants_request_load(grants_for(owned, endpoint), endpoint_id(endpoint),
			    want, now_of(owned));
}

static void on_withdraw_request(void *ctx, endpoint_t *endpoint,
				const char *adapter)
{
	if (endpoint_is_retired(endpoint))
		return;
	grants_withdraw_request(grants_for(ctx, endpoint),
				endpoint_id(endpoint), adapter);
}

static void on_load_ended(void *ctx, endpoint_t *endpoint, const char *adapter,
			  gboolean is_returned)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	grants_load_ended(grants_for(owned, endpoint), endpoint_id(endpoint),
			  adapter, is_returned, now_of(owned));
}

static void on_residency_changed(void *ctx, endpoint_t *endpoint,
				 const char *adapter, gboolean is_resident)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	owned->actions.residency_changed(owned->ctx, endpoint, adapter,
					 is_resident);
}

static gboolean on_may_serve(void *ctx, endpoint_t *endpoint)
{
	owned_endpoints_t *owned = ctx;

	if (endpoint_is_retired(endpoint))
		return FALSE;
	return owned->actions.may_serve(owned->ctx, endpoint);
}

/* Actions of the grants. */

static void on_send_owner(void *ctx, const char *instance, const void *message)
{
	owned_endpoints_t *owned = ctx;

	owned->actions.send_owner(owned->ctx, instance, message);
}

static gboolean on_is_up(void *ctx, const char *instance)
{
	owned_endpoints_t *owned = ctx;

	return owned->actions.is_up(owned->ctx, instance);
}

static gboolean on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	endpoint_t *found = owned_endpoints_find(ctx, endpoint);

	return found && endpoint_grant(found, adapter);
}

owned_endpoints_t *
owned_endpoints_create(const endpoint_env_t *env, const char *self,
		       const live_owners_t *view,
		       const owned_endpoints_actions_t *actions, void *ctx)
{
	owned_endpoints_t *owned = g_new0(owned_endpoints_t, 1);

	owned->env = env;
	owned->self = self;
	owned->view = view;
	owned->actions = *actions;
	owned->ctx = ctx;
	owned->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)endpoint_destroy);
	owned->retired = g_ptr_array_new_with_free_func(
		(GDestroyNotify)endpoint_destroy);
	owned->grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)grants_destroy);
	owned->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return owned;
}

void owned_endpoints_destroy(owned_endpoints_t *owned)
{
	g_hash_table_destroy(owned->endpoints);
	g_ptr_array_free(owned->retired, TRUE);
	g_hash_table_destroy(owned->grants);
	g_hash_table_destroy(owned->services);
	g_free(owned);
}

static grants_t *ensure_grants(owned_endpoints_t *owned, const char *service,
			       double rate, int transit_limit)
{
	static const grants_actions_t actions = {on_send_owner, on_is_up,
						 on_grant};
	grants_t *grants = g_hash_table_lookup(owned->grants, service);
	grants_options_t options = {owned->self, rate, transit_limit};

	if (grants) {
		grants_set_limits(grants, rate, transit_limit);
		return grants;
	}
	grants = grants_create(&options, &actions, owned, now_of(owned));
	g_hash_table_insert(owned->grants, g_strdup(service), grants);
	return grants;
}

void owned_endpoints_configure(owned_endpoints_t *owned, document_t *document)
{
	const document_endpoint_t *endpoints;
	const document_service_t *services;
	size_t count;
	size_t i;

	services = document_services(document, &count);
	for (i = 0; i < count; i++) {
		const document_service_t *service = &services[i];
		double rate = service->loads_per_second;
		int64_t transit = service->loads_in_transit;

		ensure_grants(owned, service->name,
			      rate > 0 ? rate : DEFAULT_LOADS_PER_SECOND,
			      transit > 0 ? (int)transit
					  : DEFAULT_LOADS_IN_TRANSIT);
	}
	g_hash_table_remove_all(owned->services);
	endpoints = document_endpoints(document, &count);
	for (i = 0; i < count; i++)
		g_hash_table_insert(owned->services, g_strdup(endpoints[i].id),
				    g_strdup(endpoints[i].service->name));
	owned_endpoints_view_changed(owned);
}

endpoint_t *owned_endpoints_add(owned_endpoints_t *owned,
				const document_endpoint_t *entry, int64_t epoch)
{
	static const endpoint_actions_t actions = {
		.send = on_send,
		.record_intent = on_record_intent,
		.may_order = on_may_order,
		.order_ended = on_order_ended,
		.order_lost = on_order_lost,
		.slots_reported = on_slots_reported,
		.engine_restarted = on_engine_restarted,
		.request_load = on_request_load,
		.withdraw_request = on_withdraw_request,
		.load_ended = on_load_ended,
		.residency_changed = on_residency_changed,
		.run_orphaned = on_run_orphaned,
		.may_serve = on_may_serve,
	};
	endpoint_options_t options = {
		.id = entry->id,
		.service = entry->service->name,
		.address = entry->address,
		.port = entry->port,
		.is_engine = entry->service->kind == SERVICE_ENGINE,
		.slots = (int)entry->adapter_slots,
		.concurrency = (int)entry->concurrent_requests,
		.order_token = entry->order_token,
		.epoch = epoch,
	};
	endpoint_t *endpoint =
		endpoint_create(owned->env, &options, &actions, owned);

	g_hash_table_replace(owned->endpoints, g_strdup(entry->id), endpoint);
	log_info("endpoint taken", "endpoint", entry->id, NULL);
	return endpoint;
}

void owned_endpoints_retire(owned_endpoints_t *owned, const char *id)
{
	gpointer key;
	gpointer endpoint;

	if (!g_hash_table_steal_extended(owned->endpoints, id, &key, &endpoint))
		return;
	g_free(key);
	log_info("endpoint released", "endpoint", id, NULL);
	/* Active streams continue; aborting them would gain nothing. */
	endpoint_retire(endpoint);
	g_ptr_array_add(owned->retired, endpoint);
}

static void free_idle(owned_endpoints_t *owned)
{
	guint i;

	for (i = owned->retired->len; i-- > 0;) {
		endpoint_t *endpoint = owned->retired->pdata[i];

		endpoint_tick(endpoint);
		if (endpoint_is_idle(endpoint))
			g_ptr_array_remove_index_fast(owned->retired, i);
	}
}

endpoint_t *owned_endpoints_find(const owned_endpoints_t *owned,
				 const char *endpoint)
{
	return g_hash_table_lookup(owned->endpoints, endpoint);
}

endpoint_t *owned_endpoints_find_run(const owned_endpoints_t *owned,
				     const char *request)
{
	GHashTableIter iter;
	gpointer endpoint;
	guint i;

	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint)) {
		if (endpoint_has_run(endpoint, request))
			return endpoint;
	}
	for (i = 0; i < owned->retired->len; i++) {
		if (endpoint_has_run(owned->retired->pdata[i], request))
			return owned->retired->pdata[i];
	}
	return NULL;
}

void owned_endpoints_requester_closed(owned_endpoints_t *owned, void *requester)
{
	GHashTableIter iter;
	gpointer endpoint;
	guint i;

	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		endpoint_requester_closed(endpoint, requester);
	for (i = 0; i < owned->retired->len; i++)
		endpoint_requester_closed(owned->retired->pdata[i], requester);
}

void owned_endpoints_receive(owned_endpoints_t *owned, const char *from,
			     const char *endpoint, const void *message)
{
	const char *service = g_hash_table_lookup(owned->services, endpoint);
	grants_t *grants = NULL;

	if (service)
		grants = g_hash_table_lookup(owned->grants, service);
	if (grants)
		grants_receive(grants, from, message, now_of(owned));
}

void owned_endpoints_view_changed(owned_endpoints_t *owned)
{
	int members = (int)live_owners_count(owned->view);
	GHashTableIter iter;
	gpointer service;
	gpointer grants;

	g_hash_table_iter_init(&iter, owned->grants);
	while (g_hash_table_iter_next(&iter, &service, &grants))
		grants_set_broker(grants,
				  live_owners_choose(owned->view, service),
				  members, now_of(owned));
}

void owned_endpoints_drain(owned_endpoints_t *owned)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		endpoint_drain(endpoint);
}

gboolean owned_endpoints_is_idle(const owned_endpoints_t *owned)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint)) {
		if (!endpoint_is_idle(endpoint))
			return FALSE;
	}
	return owned->retired->len == 0;
}

gboolean owned_endpoints_is_busy(const owned_endpoints_t *owned)
{
	GHashTableIter iter;
	gpointer value;

	if (owned->retired->len)
		return TRUE;
	g_hash_table_iter_init(&iter, owned->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (grants_is_busy(value))
			return TRUE;
	}
	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (endpoint_is_busy(value))
			return TRUE;
	}
	return FALSE;
}

void owned_endpoints_tick(owned_endpoints_t *owned)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owned->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		grants_tick(value, now_of(owned));
	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		endpoint_tick(value);
	free_idle(owned);
}

unsigned int owned_endpoints_count(const owned_endpoints_t *owned)
{
	return g_hash_table_size(owned->endpoints);
}

void owned_endpoints_foreach(const owned_endpoints_t *owned,
			     void (*visit)(void *ctx, endpoint_t *endpoint),
			     void *ctx)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, owned->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		visit(ctx, endpoint);
}
