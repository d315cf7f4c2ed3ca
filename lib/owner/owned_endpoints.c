#include "owner/owned_endpoints.h"

#include "base/log.h"

/* Limits of a store until the document has told them. */
#define DEFAULT_LOADS_PER_SECOND 1.0
#define DEFAULT_LOADS_IN_TRANSIT 1

struct hosting {
	const endpoint_env_t *env;
	const char *self;
	const live_owners_t *view;
	hosting_actions_t actions;
	void *ctx;
	GHashTable *endpoints; /* identifier to endpoint_t */
	GPtrArray *retired;    /* endpoints that others own; until idle */
	GHashTable *grants;    /* service to grants_t */
	GHashTable *services;  /* endpoint of any owner to its service */
};

static ms_t now_of(const hosting_t *hosting)
{
	return ms_clock_now(hosting->env->clock);
}

/* Actions of the endpoints. */

static void on_send(void *ctx, void *requester, const void *message)
{
	hosting_t *hosting = ctx;

	hosting->actions.send(hosting->ctx, requester, message);
}

static void on_intend(void *ctx, endpoint_t *endpoint, int slot,
		      const char *adapter, gboolean is_load)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint)) {
		endpoint_refuse_order(endpoint, slot, FALSE);
		return;
	}
	hosting->actions.intend(hosting->ctx, endpoint, slot, adapter, is_load);
}

static gboolean on_may_order(void *ctx, endpoint_t *endpoint, int slot,
			     int64_t *fence)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return FALSE;
	return hosting->actions.may_order(hosting->ctx, endpoint, slot, fence);
}

static void on_settled(void *ctx, endpoint_t *endpoint, int slot,
		       const char *adapter)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	hosting->actions.settled(hosting->ctx, endpoint, slot, adapter);
}

static void on_order_lost(void *ctx, endpoint_t *endpoint, int slot)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	hosting->actions.order_lost(hosting->ctx, endpoint, slot);
}

static void on_reported(void *ctx, endpoint_t *endpoint,
			const link_report_t *report, ms_t as_of)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	hosting->actions.reported(hosting->ctx, endpoint, report, as_of);
}

static void on_restarted(void *ctx, endpoint_t *endpoint)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	hosting->actions.restarted(hosting->ctx, endpoint);
}

static void on_orphaned(void *ctx, endpoint_t *endpoint,
			const orphan_run_t *end)
{
	hosting_t *hosting = ctx;

	hosting->actions.orphaned(hosting->ctx, endpoint, end);
}

static grants_t *grants_of(hosting_t *hosting, endpoint_t *endpoint)
{
	return g_hash_table_lookup(hosting->grants, endpoint_service(endpoint));
}

static void on_want(void *ctx, endpoint_t *endpoint, const load_request_t *want)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	grants_want(grants_of(hosting, endpoint), endpoint_id(endpoint), want,
		    now_of(hosting));
}

static void on_withdraw(void *ctx, endpoint_t *endpoint, const char *adapter)
{
	if (endpoint_is_retired(endpoint))
		return;
	grants_withdraw(grants_of(ctx, endpoint), endpoint_id(endpoint),
			adapter);
}

static void on_load_ended(void *ctx, endpoint_t *endpoint, const char *adapter,
			  gboolean is_returned)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	grants_load_ended(grants_of(hosting, endpoint), endpoint_id(endpoint),
			  adapter, is_returned, now_of(hosting));
}

static void on_placed(void *ctx, endpoint_t *endpoint, const char *adapter,
		      gboolean is_resident)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return;
	hosting->actions.placed(hosting->ctx, endpoint, adapter, is_resident);
}

static gboolean on_may_serve(void *ctx, endpoint_t *endpoint)
{
	hosting_t *hosting = ctx;

	if (endpoint_is_retired(endpoint))
		return FALSE;
	return hosting->actions.may_serve(hosting->ctx, endpoint);
}

/* Actions of the grants. */

static void on_send_owner(void *ctx, const char *instance, const void *message)
{
	hosting_t *hosting = ctx;

	hosting->actions.send_owner(hosting->ctx, instance, message);
}

static gboolean on_is_up(void *ctx, const char *instance)
{
	hosting_t *hosting = ctx;

	return hosting->actions.is_up(hosting->ctx, instance);
}

static gboolean on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	endpoint_t *found = hosting_find(ctx, endpoint);

	return found && endpoint_grant(found, adapter);
}

hosting_t *hosting_create(const endpoint_env_t *env, const char *self,
			  const live_owners_t *view,
			  const hosting_actions_t *actions, void *ctx)
{
	hosting_t *hosting = g_new0(hosting_t, 1);

	hosting->env = env;
	hosting->self = self;
	hosting->view = view;
	hosting->actions = *actions;
	hosting->ctx = ctx;
	hosting->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)endpoint_destroy);
	hosting->retired = g_ptr_array_new_with_free_func(
		(GDestroyNotify)endpoint_destroy);
	hosting->grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)grants_destroy);
	hosting->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return hosting;
}

void hosting_destroy(hosting_t *hosting)
{
	g_hash_table_destroy(hosting->endpoints);
	g_ptr_array_free(hosting->retired, TRUE);
	g_hash_table_destroy(hosting->grants);
	g_hash_table_destroy(hosting->services);
	g_free(hosting);
}

static grants_t *ensure_grants(hosting_t *hosting, const char *service,
			       double rate, int transit_limit)
{
	static const grants_actions_t actions = {on_send_owner, on_is_up,
						 on_grant};
	grants_t *grants = g_hash_table_lookup(hosting->grants, service);
	grants_options_t options = {hosting->self, rate, transit_limit};

	if (grants) {
		grants_set_limits(grants, rate, transit_limit);
		return grants;
	}
	grants = grants_create(&options, &actions, hosting, now_of(hosting));
	g_hash_table_insert(hosting->grants, g_strdup(service), grants);
	return grants;
}

void hosting_configure(hosting_t *hosting, document_t *document)
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

		ensure_grants(hosting, service->name,
			      rate > 0 ? rate : DEFAULT_LOADS_PER_SECOND,
			      transit > 0 ? (int)transit
					  : DEFAULT_LOADS_IN_TRANSIT);
	}
	g_hash_table_remove_all(hosting->services);
	endpoints = document_endpoints(document, &count);
	for (i = 0; i < count; i++)
		g_hash_table_insert(hosting->services,
				    g_strdup(endpoints[i].id),
				    g_strdup(endpoints[i].service->name));
	hosting_view_changed(hosting);
}

endpoint_t *hosting_take(hosting_t *hosting, const document_endpoint_t *entry,
			 int64_t epoch)
{
	static const endpoint_actions_t actions = {
		.send = on_send,
		.intend = on_intend,
		.may_order = on_may_order,
		.settled = on_settled,
		.order_lost = on_order_lost,
		.reported = on_reported,
		.restarted = on_restarted,
		.want = on_want,
		.withdraw = on_withdraw,
		.load_ended = on_load_ended,
		.placed = on_placed,
		.orphaned = on_orphaned,
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
		endpoint_create(hosting->env, &options, &actions, hosting);

	g_hash_table_replace(hosting->endpoints, g_strdup(entry->id), endpoint);
	log_info("endpoint taken", "endpoint", entry->id, NULL);
	return endpoint;
}

void hosting_drop(hosting_t *hosting, const char *id)
{
	gpointer key;
	gpointer endpoint;

	if (!g_hash_table_steal_extended(hosting->endpoints, id, &key,
					 &endpoint))
		return;
	g_free(key);
	log_info("endpoint given up", "endpoint", id, NULL);
	/* Its streams go on from here: to cut them would help nobody. */
	endpoint_retire(endpoint);
	g_ptr_array_add(hosting->retired, endpoint);
}

static void drop_idle(hosting_t *hosting)
{
	guint i;

	for (i = hosting->retired->len; i-- > 0;) {
		endpoint_t *endpoint = hosting->retired->pdata[i];

		endpoint_tick(endpoint);
		if (endpoint_is_idle(endpoint))
			g_ptr_array_remove_index_fast(hosting->retired, i);
	}
}

endpoint_t *hosting_find(const hosting_t *hosting, const char *endpoint)
{
	return g_hash_table_lookup(hosting->endpoints, endpoint);
}

endpoint_t *hosting_find_run(const hosting_t *hosting, const char *request)
{
	GHashTableIter iter;
	gpointer endpoint;
	guint i;

	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint)) {
		if (endpoint_knows(endpoint, request))
			return endpoint;
	}
	for (i = 0; i < hosting->retired->len; i++) {
		if (endpoint_knows(hosting->retired->pdata[i], request))
			return hosting->retired->pdata[i];
	}
	return NULL;
}

void hosting_requester_gone(hosting_t *hosting, void *requester)
{
	GHashTableIter iter;
	gpointer endpoint;
	guint i;

	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		endpoint_requester_gone(endpoint, requester);
	for (i = 0; i < hosting->retired->len; i++)
		endpoint_requester_gone(hosting->retired->pdata[i], requester);
}

void hosting_receive(hosting_t *hosting, const char *from, const char *endpoint,
		     const void *message)
{
	const char *service = g_hash_table_lookup(hosting->services, endpoint);
	grants_t *grants = NULL;

	if (service)
		grants = g_hash_table_lookup(hosting->grants, service);
	if (grants)
		grants_receive(grants, from, message, now_of(hosting));
}

void hosting_view_changed(hosting_t *hosting)
{
	int members = (int)live_owners_count(hosting->view);
	GHashTableIter iter;
	gpointer service;
	gpointer grants;

	g_hash_table_iter_init(&iter, hosting->grants);
	while (g_hash_table_iter_next(&iter, &service, &grants))
		grants_set_broker(grants,
				  live_owners_choose(hosting->view, service),
				  members, now_of(hosting));
}

void hosting_leave(hosting_t *hosting)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		endpoint_leave(endpoint);
}

gboolean hosting_is_idle(const hosting_t *hosting)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint)) {
		if (!endpoint_is_idle(endpoint))
			return FALSE;
	}
	return hosting->retired->len == 0;
}

gboolean hosting_is_busy(const hosting_t *hosting)
{
	GHashTableIter iter;
	gpointer value;

	if (hosting->retired->len)
		return TRUE;
	g_hash_table_iter_init(&iter, hosting->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (grants_is_busy(value))
			return TRUE;
	}
	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (endpoint_is_busy(value))
			return TRUE;
	}
	return FALSE;
}

void hosting_tick(hosting_t *hosting)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, hosting->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		grants_tick(value, now_of(hosting));
	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		endpoint_tick(value);
	drop_idle(hosting);
}

unsigned int hosting_count(const hosting_t *hosting)
{
	return g_hash_table_size(hosting->endpoints);
}

void hosting_each(const hosting_t *hosting,
		  void (*visit)(void *ctx, endpoint_t *endpoint), void *ctx)
{
	GHashTableIter iter;
	gpointer endpoint;

	g_hash_table_iter_init(&iter, hosting->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &endpoint))
		visit(ctx, endpoint);
}
