#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "platform/engine.h"

/* An engine answers an order in a few ms; one that is lost is asked about. */
#define ORDER_TIMEOUT_MS 400
#define REPORT_MAX_BYTES (256 * 1024)

static ms_t now_of(const adapters_t *adapters)
{
	return ms_clock_now(process_clock(adapters->process));
}

static const char *order_name(cache_order_kind_t kind)
{
	static const char *const names[] = {"load model", "load", "unload"};

	return names[kind];
}

static void on_order(void *ctx, int status, const char *body, size_t size,
		     const GError *error)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	ms_t now = now_of(adapters);
	cache_answer_t answer = CACHE_ANSWER_UNKNOWN;
	char *text = g_strdup_printf("%d", status);

	held->order = NULL;
	histogram_add(adapters->order_time, now - held->ordered_at);
	/* Nothing was sent: the same order goes again after a report. */
	if (!error)
		answer = engine_order_answer(status);
	if (error || status >= 400)
		log_info("order not taken", "endpoint", held->id, "status",
			 text, "error", error ? error->message : "", NULL);
	g_free(text);
	adapter_cache_answered(held->cache, now, answer);
}

static void send_order(void *ctx, const cache_order_t *order)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	const char *instance = process_settings(adapters->process)->instance;
	int64_t fence =
		holdings_order(adapters->holdings, adapters->now,
			       lease_valid_until(adapters->lease), held->id);
	const char *model = NULL;
	http_header_t headers[] = {{"content-type", "application/json"},
				   engine_order_header(held->id),
				   {NULL, NULL}};
	char *body;
	char *text;
	http_call_request_t request = {
		.host = fleet_endpoint_address(held->endpoint),
		.port = fleet_endpoint_port(held->endpoint),
		.method = "POST",
		.path = engine_order_path(),
		.headers = headers,
		.timeout = ORDER_TIMEOUT_MS,
	};

	adapters->events.slots(adapters->ctx, held->endpoint, &model);
	body = engine_render_order(order, model ? model : "", instance, fence);
	request.body = body;
	request.body_size = strlen(body);
	held->ordered_at = adapters->now;
	counter_add(adapters->orders, 1);
	held->order = http_call_whole(adapters->client, &request,
				      REPORT_MAX_BYTES, on_order, held);
	text = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)order->sequence);
	log_info("order", "endpoint", held->id, "order",
		 order_name(order->kind), "adapter", order->adapter, "after",
		 text, NULL);
	g_free(text);
	g_free(body);
}

static void on_report(void *ctx, int status, const char *body, size_t size,
		      const GError *error)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	engine_report_t report;
	const char *model = NULL;
	GError *fault = NULL;

	held->report = NULL;
	adapters->events.slots(adapters->ctx, held->endpoint, &model);
	if (error || status != 200) {
		adapter_cache_report(held->cache, now_of(adapters), NULL);
		return;
	}
	if (engine_parse_report(body, size, model, &report, &fault)) {
		adapter_cache_report(held->cache, now_of(adapters),
				     &report.report);
		engine_report_release(&report);
		return;
	}
	log_warn("report unreadable", "endpoint", held->id, "error",
		 fault->message, NULL);
	g_clear_error(&fault);
	adapter_cache_report(held->cache, now_of(adapters), NULL);
}

static void ask_report(void *ctx)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	http_call_request_t request = {
		.host = fleet_endpoint_address(held->endpoint),
		.port = fleet_endpoint_port(held->endpoint),
		.method = "GET",
		.path = engine_report_path(),
		.timeout = ORDER_TIMEOUT_MS,
	};

	counter_add(adapters->reports, 1);
	held->report = http_call_whole(adapters->client, &request,
				       REPORT_MAX_BYTES, on_report, held);
}

/* Tell all who asked; ends their subscription unless they may use it. */
static void tell_all(held_engine_t *held, news_kind_t kind, const char *adapter,
		     int64_t version)
{
	GPtrArray *subscribers =
		g_hash_table_lookup(held->subscribers, adapter);
	guint i;

	if (!subscribers)
		return;
	g_ptr_array_ref(subscribers);
	if (kind != NEWS_READY)
		g_hash_table_remove(held->subscribers, adapter);
	for (i = 0; i < subscribers->len; i++)
		adapters_tell(held->adapters, subscribers->pdata[i], kind,
			      held->id, adapter, version);
	g_ptr_array_unref(subscribers);
}

static void on_ready(void *ctx, const char *adapter, int64_t version)
{
	tell_all(ctx, NEWS_READY, adapter, version);
}

static void on_dropped(void *ctx, const char *adapter)
{
	tell_all(ctx, NEWS_DROPPED, adapter, 0);
}

static void on_refused(void *ctx, const char *adapter)
{
	held_engine_t *held = ctx;

	counter_add(held->adapters->refused, 1);
	tell_all(held, NEWS_REFUSED, adapter, 0);
}

static const cache_actions_t cache_actions = {
	.send_order = send_order,
	.ask_report = ask_report,
	.ready = on_ready,
	.dropped = on_dropped,
	.refused = on_refused,
};

static void cancel_calls(held_engine_t *held)
{
	if (held->order)
		http_call_cancel(held->order);
	if (held->report)
		http_call_cancel(held->report);
	held->order = NULL;
	held->report = NULL;
}

static void drop_cache(held_engine_t *held)
{
	GHashTableIter iter;
	gpointer adapter;
	GPtrArray *adapters = g_ptr_array_new_with_free_func(g_free);
	guint i;

	cancel_calls(held);
	g_clear_pointer(&held->cache, adapter_cache_destroy);
	g_clear_pointer(&held->endpoint, fleet_endpoint_unref);
	g_hash_table_iter_init(&iter, held->subscribers);
	while (g_hash_table_iter_next(&iter, &adapter, NULL))
		g_ptr_array_add(adapters, g_strdup(adapter));
	for (i = 0; i < adapters->len; i++)
		tell_all(held, NEWS_REFUSED, adapters->pdata[i], 0);
	g_ptr_array_free(adapters, TRUE);
}

/* A cache is of one incarnation: a new one holds nothing of the old. */
static void follow_incarnation(held_engine_t *held)
{
	adapters_t *adapters = held->adapters;
	fleet_endpoint_t *listed = fleet_find(adapters->fleet, held->id);
	const char *model;
	int slots;

	if (held->endpoint && held->endpoint != listed)
		drop_cache(held);
	if (!listed)
		return;
	slots = adapters->events.slots(adapters->ctx, listed, &model);
	if (held->cache) {
		adapter_cache_set_slots(held->cache, slots);
		return;
	}
	held->endpoint = fleet_endpoint_ref(listed);
	held->cache = adapter_cache_create(slots, &cache_actions, held);
}

void held_engine_tick(held_engine_t *held, ms_t now)
{
	adapters_t *adapters = held->adapters;
	gboolean may_order;

	follow_incarnation(held);
	if (!held->cache)
		return;
	may_order = !adapters->is_stopping && !held->order &&
		    fleet_endpoint_is_usable(held->endpoint) &&
		    holdings_may_order(adapters->holdings, now,
				       lease_valid_until(adapters->lease),
				       held->id);
	adapter_cache_tick(held->cache, now, may_order);
}

void held_engine_begin(adapters_t *adapters, const char *engine)
{
	held_engine_t *held = g_new0(held_engine_t, 1);

	held->adapters = adapters;
	held->id = g_strdup(engine);
	held->subscribers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	g_hash_table_insert(adapters->held, held->id, held);
	log_info("engine held", "endpoint", engine, NULL);
}

void held_engine_destroy(gpointer data)
{
	held_engine_t *held = data;

	drop_cache(held);
	g_hash_table_destroy(held->subscribers);
	g_free(held->id);
	g_free(held);
}

void held_engine_end(adapters_t *adapters, const char *engine)
{
	log_info("engine no longer held", "endpoint", engine, NULL);
	g_hash_table_remove(adapters->held, engine);
}

static void subscribe(held_engine_t *held, conn_t *subscriber,
		      const char *adapter)
{
	GPtrArray *subscribers =
		g_hash_table_lookup(held->subscribers, adapter);

	if (!subscribers) {
		subscribers = g_ptr_array_new();
		g_hash_table_insert(held->subscribers, g_strdup(adapter),
				    subscribers);
	}
	if (!g_ptr_array_find(subscribers, subscriber, NULL))
		g_ptr_array_add(subscribers, subscriber);
}

void held_engine_want(held_engine_t *held, conn_t *subscriber,
		      const char *adapter, int64_t version)
{
	adapters_t *adapters = held->adapters;
	int64_t declared = adapters->events.declared(adapters->ctx, adapter);
	int64_t resident = 0;

	follow_incarnation(held);
	if (!held->cache) {
		adapters_tell(adapters, subscriber, NEWS_REFUSED, held->id,
			      adapter, 0);
		return;
	}
	subscribe(held, subscriber, adapter);
	if (adapter_cache_want(held->cache, now_of(adapters), adapter,
			       MAX(version, declared), &resident))
		adapters_tell(adapters, subscriber, NEWS_READY, held->id,
			      adapter, resident);
}

void held_engine_forget(held_engine_t *held, conn_t *subscriber)
{
	GHashTableIter iter;
	gpointer subscribers;

	g_hash_table_iter_init(&iter, held->subscribers);
	while (g_hash_table_iter_next(&iter, NULL, &subscribers))
		g_ptr_array_remove_fast(subscribers, subscriber);
}
