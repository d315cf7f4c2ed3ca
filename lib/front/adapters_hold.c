#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "platform/engine.h"

/* An engine answers in a few ms; the same order may be sent again. */
#define ORDER_TIMEOUT_MS 100

/*
 * After a failed connection, until the engine is called again; chosen: five
 * calls a second find a restarted engine within a fifth of one.
 */
#define DOWN_RETRY_MS 200

/* Of an engine; chosen: far above what 150 adapters take. */
#define REPORT_MAX_BYTES (256 * 1024)

/* Time to come back when there was no room for an adapter; chosen: a load is
 * over. */
#define ADAPTER_RETRY_MS 400

static ms_t now_of(const adapters_t *adapters)
{
	return ms_clock_now(process_clock(adapters->process));
}

static const char *order_name(cache_order_kind_t kind)
{
	static const char *const names[] = {"load model", "load", "unload"};

	return names[kind];
}

static const char *model_of(const held_engine_t *held)
{
	const adapters_t *adapters = held->adapters;
	const service_t *service =
		adapters->events.service(adapters->ctx, held->endpoint);

	return service && service->model ? service->model : "";
}

static void move_asks(held_engine_t *held, ms_t now);

/* Note whether a call reached the engine. */
static void note_reached(held_engine_t *held, ms_t now, const GError *error)
{
	gboolean is_down = error && error_kind(error) == ERROR_UNAVAILABLE;

	if (is_down)
		held->call_at = now + DOWN_RETRY_MS;
	if (is_down == held->is_down)
		return;
	held->is_down = is_down;
	log_info(is_down ? "engine unreachable" : "engine reached", "endpoint",
		 held->id, "error", error ? error->message : "", NULL);
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
	note_reached(held, now, error);
	histogram_add(adapters->order_time, now - held->ordered_at);
	/* Nothing was sent: the same order goes again after a report. */
	if (!error)
		answer = engine_order_answer(status);
	if (error || status >= 400)
		log_info("order not taken", "endpoint", held->id, "status",
			 text, "error", error ? error->message : "", NULL);
	g_free(text);
	adapter_cache_handle_answer(held->cache, now, answer);
	move_asks(held, now);
}

static void send_order(void *ctx, const cache_order_t *order)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	const char *instance = process_settings(adapters->process)->instance;
	int64_t fence = engine_locks_fencing_number(
		adapters->engine_locks, adapters->now,
		lease_valid_until(adapters->lease), held->id);
	http_header_t headers[] = {{"content-type", "application/json"},
				   engine_order_header(held->id),
				   {NULL, NULL}};
	char *body;
	char *text;
	char *number;
	http_call_request_t request = {
		.host = fleet_endpoint_address(held->endpoint),
		.port = fleet_endpoint_port(held->endpoint),
		.method = "POST",
		.path = engine_order_path(),
		.headers = headers,
		.timeout = ORDER_TIMEOUT_MS,
	};

	g_assert(!held->order);
	body = engine_render_order(order, model_of(held), instance, fence);
	request.body = body;
	request.body_size = strlen(body);
	held->ordered_at = adapters->now;
	counter_add(adapters->orders, 1);
	held->order = http_call_buffered(adapters->client, &request,
					 REPORT_MAX_BYTES, on_order, held);
	text = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)order->sequence);
	number = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)fence);
	log_info("order", "endpoint", held->id, "order",
		 order_name(order->kind), "adapter", order->adapter, "after",
		 text, "fence", number, NULL);
	g_free(number);
	g_free(text);
	g_free(body);
}

static void on_report(void *ctx, int status, const char *body, size_t size,
		      const GError *error)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	engine_report_t report;
	GError *fault = NULL;

	held->report = NULL;
	note_reached(held, now_of(adapters), error);
	if (error || status != 200) {
		adapter_cache_handle_report(held->cache, now_of(adapters),
					    NULL);
		return;
	}
	if (engine_parse_report(body, size, model_of(held), &report, &fault)) {
		adapter_cache_handle_report(held->cache, now_of(adapters),
					    &report.report);
		engine_report_release(&report);
		move_asks(held, now_of(adapters));
		return;
	}
	log_warn("report unreadable", "endpoint", held->id, "error",
		 fault->message, NULL);
	g_clear_error(&fault);
	adapter_cache_handle_report(held->cache, now_of(adapters), NULL);
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
	held->report = http_call_buffered(adapters->client, &request,
					  REPORT_MAX_BYTES, on_report, held);
}

/* Asks that wait for an adapter move on once it is there, at move_asks(). */
static void on_ready(void *ctx, const char *adapter, int64_t version)
{
}

static void on_dropped(void *ctx, const char *adapter)
{
	held_engine_t *held = ctx;
	holder_news_t news = {.type = MESSAGE_DROPPED,
			      .engine = held->id,
			      .adapter = adapter};
	GPtrArray *users = g_hash_table_lookup(held->users, adapter);
	guint i;

	for (i = 0; users && i < users->len; i++)
		adapters_answer(held->adapters, users->pdata[i], &news);
	g_hash_table_remove(held->users, adapter);
}

static void on_refused(void *ctx, const char *adapter)
{
	held_engine_t *held = ctx;
	held_ask_t *ask;

	TAILQ_FOREACH (ask, &held->asks, link) {
		if (!ask->ticket && !g_strcmp0(ask->adapter, adapter))
			ask->is_refused = TRUE;
	}
}

static const cache_actions_t cache_actions = {
	.send_order = send_order,
	.ask_report = ask_report,
	.ready = on_ready,
	.dropped = on_dropped,
	.refused = on_refused,
};

static void add_user(held_engine_t *held, const held_ask_t *ask)
{
	GPtrArray *users = g_hash_table_lookup(held->users, ask->adapter);

	if (!users) {
		users = g_ptr_array_new();
		g_hash_table_insert(held->users, g_strdup(ask->adapter), users);
	}
	if (!g_ptr_array_find(users, ask->asker, NULL))
		g_ptr_array_add(users, ask->asker);
}

static void on_go(void *ctx, ticket_t *ticket)
{
	held_engine_t *held = ctx;
	held_ask_t *ask = ticket_data(ticket);
	holder_news_t news = {
		.type = MESSAGE_GO,
		.ask = ask->id,
		.running = admission_queue_running(held->admission_queue),
		.waiting = admission_queue_waiting(held->admission_queue)};

	if (ask->adapter) {
		news.version = adapter_cache_version(held->cache, ask->adapter);
		add_user(held, ask);
	}
	adapters_answer(held->adapters, ask->asker, &news);
}

static const admission_queue_actions_t admission_queue_actions = {on_go};

/* Whether other requests wait for the adapter of this one. */
static gboolean is_shared(const held_engine_t *held, const held_ask_t *ask)
{
	const held_ask_t *other;

	TAILQ_FOREACH (other, &held->asks, link) {
		if (other != ask && !other->ticket &&
		    !g_strcmp0(other->adapter, ask->adapter))
			return TRUE;
	}
	return FALSE;
}

/* The asker is gone, or the engine; nobody tells. */
#define MAY_HAVE_RUN TRUE

static void ask_free(held_engine_t *held, held_ask_t *ask, ms_t now,
		     gboolean has_run)
{
	TAILQ_REMOVE(&held->asks, ask, link);
	if (ask->ticket) {
		admission_queue_done(held->admission_queue, now, ask->ticket,
				     has_run);
		if (ask->adapter)
			adapter_cache_release(held->cache, now, ask->adapter);
	} else if (held->cache && ask->adapter && !is_shared(held, ask)) {
		adapter_cache_cancel(held->cache, ask->adapter);
	}
	g_free(ask->adapter);
	g_free(ask);
}

static void ask_refuse(held_engine_t *held, held_ask_t *ask, ms_t now,
		       refusal_t refusal, ms_t retry_after)
{
	holder_news_t news = {.type = MESSAGE_REFUSED,
			      .ask = ask->id,
			      .retry_after = retry_after,
			      .refusal = refusal};

	if (held->admission_queue) {
		news.running = admission_queue_running(held->admission_queue);
		news.waiting = admission_queue_waiting(held->admission_queue);
	}

	counter_add(held->adapters->refused, 1);
	adapters_answer(held->adapters, ask->asker, &news);
	ask_free(held, ask, now, MAY_HAVE_RUN);
}

/* FALSE if it was refused. */
static gboolean ask_submit(held_engine_t *held, held_ask_t *ask, ms_t now)
{
	ms_t wait;

	ask->ticket = admission_queue_submit(held->admission_queue, now,
					     &ask->request, ask, &wait);
	if (!ask->ticket) {
		ask_refuse(held, ask, now, REFUSAL_NO_PLACE, wait);
		return FALSE;
	}
	if (ask->adapter)
		adapter_cache_use(held->cache, now, ask->adapter);
	return TRUE;
}

static gboolean may_order(const held_engine_t *held, ms_t now)
{
	const adapters_t *adapters = held->adapters;

	return !adapters->is_stopping &&
	       fleet_endpoint_is_usable(held->endpoint) &&
	       engine_locks_may_order(adapters->engine_locks, now,
				      lease_valid_until(adapters->lease),
				      held->id);
}

/* What waited for its adapter goes to the gate, or back to its asker. */
static void move_asks(held_engine_t *held, ms_t now)
{
	held_ask_t *ask;
	held_ask_t *next;

	for (ask = TAILQ_FIRST(&held->asks); ask; ask = next) {
		next = TAILQ_NEXT(ask, link);
		if (ask->ticket)
			continue;
		if (held->is_down)
			ask_refuse(held, ask, now, REFUSAL_UNREACHABLE, 0);
		else if (ask->is_refused)
			ask_refuse(held, ask, now,
				   may_order(held, now) ? REFUSAL_NO_SLOT
							: REFUSAL_NO_ORDERS,
				   ADAPTER_RETRY_MS);
		else if (now - ask->since > ask->load_max)
			ask_refuse(held, ask, now, REFUSAL_LOADS_AHEAD,
				   ADAPTER_RETRY_MS);
		else if (adapter_cache_version(held->cache, ask->adapter))
			ask_submit(held, ask, now);
	}
	admission_queue_tick(held->admission_queue, now);
}

static void cancel_calls(held_engine_t *held)
{
	if (held->order)
		http_call_cancel(held->order);
	if (held->report)
		http_call_cancel(held->report);
	held->order = NULL;
	held->report = NULL;
}

static void drop_engine(held_engine_t *held)
{
	ms_t now = now_of(held->adapters);
	held_ask_t *ask;

	cancel_calls(held);
	held->is_down = FALSE;
	held->call_at = 0;
	while ((ask = TAILQ_FIRST(&held->asks))) {
		if (!ask->ticket || ticket_is_waiting(ask->ticket))
			ask_refuse(held, ask, now, REFUSAL_NOT_HELD, 0);
		else
			ask_free(held, ask, now, MAY_HAVE_RUN);
	}
	g_clear_pointer(&held->cache, adapter_cache_destroy);
	g_clear_pointer(&held->admission_queue, admission_queue_destroy);
	g_clear_pointer(&held->endpoint, fleet_endpoint_unref);
	g_hash_table_remove_all(held->users);
}

static void engine_options(const held_engine_t *held,
			   const fleet_endpoint_t *endpoint,
			   cache_options_t *cache,
			   admission_queue_options_t *admission_queue)
{
	const adapters_t *adapters = held->adapters;
	const service_t *service =
		adapters->events.service(adapters->ctx, endpoint);

	cache->slot_count = service ? service->adapter_slots : 0;
	cache->loads_per_engine = adapters->options.loads_per_engine;
	cache->load_time = adapters->options.load_time;
	cache->again_time = adapters->options.again_time;
	admission_queue->places = fleet_endpoint_places(endpoint);
	admission_queue->prefill_per_ms = adapters->options.prefill_per_ms;
}

/* A cache is of one incarnation: a new one holds nothing of the old. */
static void follow_incarnation(held_engine_t *held)
{
	fleet_endpoint_t *listed = fleet_find(held->adapters->fleet, held->id);
	cache_options_t cache;
	admission_queue_options_t admission_queue;

	if (held->endpoint && held->endpoint != listed)
		drop_engine(held);
	if (!listed)
		return;
	engine_options(held, listed, &cache, &admission_queue);
	if (held->cache) {
		adapter_cache_set_options(held->cache, &cache);
		admission_queue_set_options(held->admission_queue,
					    &admission_queue);
		return;
	}
	held->endpoint = fleet_endpoint_ref(listed);
	held->cache = adapter_cache_create(&cache, &cache_actions, held);
	held->admission_queue = admission_queue_create(
		&admission_queue, &admission_queue_actions, held);
}

void held_engine_tick(held_engine_t *held, ms_t now)
{
	follow_incarnation(held);
	if (!held->cache)
		return;
	if (now >= held->call_at)
		adapter_cache_tick(held->cache, now, may_order(held, now));
	move_asks(held, now);
}

void held_engine_begin(adapters_t *adapters, const char *engine)
{
	held_engine_t *held = g_new0(held_engine_t, 1);

	held->adapters = adapters;
	held->id = g_strdup(engine);
	held->users = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	TAILQ_INIT(&held->asks);
	g_hash_table_insert(adapters->held, held->id, held);
	log_info("engine held", "endpoint", engine, NULL);
}

void held_engine_destroy(gpointer data)
{
	held_engine_t *held = data;

	drop_engine(held);
	g_hash_table_destroy(held->users);
	g_free(held->id);
	g_free(held);
}

void held_engine_end(adapters_t *adapters, const char *engine)
{
	log_info("engine no longer held", "endpoint", engine, NULL);
	g_hash_table_remove(adapters->held, engine);
}

void held_engine_want(held_engine_t *held, const char *adapter, int64_t version)
{
	adapters_t *adapters = held->adapters;
	int64_t declared = adapters->events.declared(adapters->ctx, adapter);
	int64_t resident;

	follow_incarnation(held);
	if (held->cache)
		adapter_cache_request(held->cache, now_of(adapters), adapter,
				      MAX(version, declared), &resident);
}

void held_engine_ask(held_engine_t *held, conn_t *asker, ask_id_t id,
		     const ask_t *question)
{
	adapters_t *adapters = held->adapters;
	ms_t now = now_of(adapters);
	held_ask_t *ask = g_new0(held_ask_t, 1);
	holder_news_t news = {.type = MESSAGE_WAIT, .ask = id};
	ms_t load_wait;

	follow_incarnation(held);
	ask->asker = asker;
	ask->id = id;
	ask->since = now;
	ask->adapter = g_strdup(question->adapter);
	ask->request = question->request;
	ask->load_max = question->load_max;
	TAILQ_INSERT_TAIL(&held->asks, ask, link);
	if (!held->cache || held->is_down) {
		ask_refuse(held, ask, now, REFUSAL_UNREACHABLE, 0);
		return;
	}
	if (ask->adapter) {
		if (question->is_missing)
			adapter_cache_note_missing(held->cache, now,
						   ask->adapter);
		held_engine_want(held, ask->adapter, question->version);
	}
	if (ask->adapter && !may_order(held, now) &&
	    !adapter_cache_version(held->cache, ask->adapter)) {
		ask_refuse(held, ask, now, REFUSAL_NO_ORDERS, 0);
		return;
	}
	if (ask->adapter && !adapter_cache_version(held->cache, ask->adapter)) {
		load_wait = adapter_cache_estimate_load_wait(held->cache,
							     ask->adapter);
		if (load_wait > ask->load_max) {
			ask_refuse(held, ask, now, REFUSAL_LOADS_AHEAD,
				   load_wait);
			return;
		}
	}
	if (!ask->adapter || adapter_cache_version(held->cache, ask->adapter)) {
		if (!ask_submit(held, ask, now))
			return;
		admission_queue_tick(held->admission_queue, now);
	}
	if (!ask->ticket || ticket_is_waiting(ask->ticket))
		adapters_answer(adapters, asker, &news);
}

void held_engine_done(held_engine_t *held, conn_t *asker, ask_id_t id,
		      gboolean has_run)
{
	held_ask_t *ask;

	TAILQ_FOREACH (ask, &held->asks, link) {
		if (ask->asker != asker || ask->id != id)
			continue;
		ask_free(held, ask, now_of(held->adapters), has_run);
		return;
	}
}

void held_engine_forget(held_engine_t *held, conn_t *asker)
{
	ms_t now = now_of(held->adapters);
	GHashTableIter iter;
	gpointer users;
	held_ask_t *ask;
	held_ask_t *next;

	for (ask = TAILQ_FIRST(&held->asks); ask; ask = next) {
		next = TAILQ_NEXT(ask, link);
		if (ask->asker == asker)
			ask_free(held, ask, now, MAY_HAVE_RUN);
	}
	g_hash_table_iter_init(&iter, held->users);
	while (g_hash_table_iter_next(&iter, NULL, &users))
		g_ptr_array_remove_fast(users, asker);
}
