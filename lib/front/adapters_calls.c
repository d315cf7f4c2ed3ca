#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "platform/engine.h"

/* An engine answers in a few ms, and an order may be sent twice. */
#define ORDER_TIMEOUT_MS 100

/*
 * Delay of the next call after a failed connection: a restarted engine is found
 * within 200 ms.
 */
#define DOWN_RETRY_MS 200

/*
 * Least time between reports of an engine that named a request limit, so that
 * they do not use up the share of this instance.
 */
#define LIMITED_REPORT_MS 2000

/* Largest report of an engine; far above the size with 150 adapters. */
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

static const char *model_of(const held_engine_t *held)
{
	const adapters_t *adapters = held->adapters;
	const service_t *service =
		adapters->events.service(adapters->ctx, held->endpoint);

	return service && service->model ? service->model : "";
}

static void set_down(held_engine_t *held, ms_t now, const char *why)
{
	held->next_call_at = now + DOWN_RETRY_MS;
	if (held->is_down)
		return;
	held->is_down = TRUE;
	log_info("engine unreachable", "endpoint", held->id, "error", why,
		 NULL);
}

/* Records whether a call reached the engine. */
static void note_reachability(held_engine_t *held, ms_t now, int status,
			      const GError *error)
{
	if (error && error_kind(error) == ERROR_UNAVAILABLE) {
		set_down(held, now, error->message);
	} else if (held->is_down && !engine_may_be_another(status)) {
		held->is_down = FALSE;
		log_info("engine reachable again", "endpoint", held->id, NULL);
	}
}

/*
 * Passed on once the call has ended: requests may move to other engines then.
 */
static void note_answer(held_engine_t *held, const endpoint_notice_t *notice,
			ms_t sent_at, const GError *error)
{
	adapters_t *adapters = held->adapters;

	if (!error)
		adapters->events.on_notice(adapters->ctx, held->endpoint,
					   notice, sent_at);
}

static void on_order_head(void *ctx, int status, const http_header_t *headers)
{
	held_engine_t *held = ctx;

	headers_read_notice(status, headers, &held->order_notice);
	held_engine_note_work(held, headers_read_work(headers));
}

static void on_report_head(void *ctx, int status, const http_header_t *headers)
{
	held_engine_t *held = ctx;

	headers_read_notice(status, headers, &held->report_notice);
	held_engine_note_work(held, headers_read_work(headers));
}

static void on_order_answer(void *ctx, int status, const char *body,
			    size_t size, const GError *error)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	ms_t now = now_of(adapters);
	cache_answer_t answer = CACHE_ANSWER_UNKNOWN;
	char *text = g_strdup_printf("%d", status);

	held->order = NULL;
	note_reachability(held, now, status, error);
	histogram_add(adapters->order_time, now - held->ordered_at);
	/* If nothing was sent, the order is sent again after a report. */
	if (!error)
		answer = engine_order_answer(status);
	if (error || status >= 400)
		log_info("order failed", "endpoint", held->id, "status", text,
			 "error", error ? error->message : "", NULL);
	g_free(text);
	adapter_cache_handle_answer(held->cache, now, answer);
	note_answer(held, &held->order_notice, held->ordered_at, error);
	held_engine_advance(held, now);
}

void held_engine_send_order(void *ctx, const cache_order_t *order)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	const char *instance = process_settings(adapters->process)->instance;
	int64_t fence = engine_locks_fencing_number(
		adapters->engine_locks, adapters->now,
		lease_valid_until(adapters->lease), held->id);
	http_header_t headers[] = {{"content-type", "application/json"},
				   engine_expect_header(held->id),
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
	fleet_endpoint_count_call(held->endpoint, adapters->now);
	body = engine_render_order(order, model_of(held), instance, fence);
	request.body = body;
	request.body_size = strlen(body);
	request.on_head = on_order_head;
	held->ordered_at = adapters->now;
	counter_add(adapters->orders, 1);
	held->order =
		http_call_buffered(adapters->client, &request, REPORT_MAX_BYTES,
				   on_order_answer, held);
	text = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)order->sequence);
	number = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)fence);
	log_info("order", "endpoint", held->id, "order",
		 order_name(order->kind), "adapter", order->adapter, "after",
		 text, "fence", number, NULL);
	g_free(number);
	g_free(text);
	g_free(body);
}

static void on_report_answer(void *ctx, int status, const char *body,
			     size_t size, const GError *error)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	engine_report_t report;
	GError *fault = NULL;

	held->report = NULL;
	/* An engine refuses an order that is wrong, but never a report. */
	if (!error && engine_may_be_another(status))
		set_down(held, now_of(adapters),
			 "another server answers at its address");
	else
		note_reachability(held, now_of(adapters), status, error);
	note_answer(held, &held->report_notice, held->reported_at, error);
	if (error || status != 200) {
		adapter_cache_handle_report(held->cache, now_of(adapters),
					    NULL);
		held_engine_advance(held, now_of(adapters));
		return;
	}
	if (engine_parse_report(body, size, model_of(held), &report, &fault)) {
		if (!report.report.sequence)
			engine_locks_note_untouched(adapters->engine_locks,
						    held->id);
		adapter_cache_handle_report(held->cache, now_of(adapters),
					    &report.report);
		engine_report_release(&report);
		held_engine_advance(held, now_of(adapters));
		return;
	}
	log_warn("engine report unreadable", "endpoint", held->id, "error",
		 fault->message, NULL);
	g_clear_error(&fault);
	adapter_cache_handle_report(held->cache, now_of(adapters), NULL);
}

void held_engine_ask_report(void *ctx)
{
	held_engine_t *held = ctx;
	adapters_t *adapters = held->adapters;
	http_header_t headers[] = {engine_expect_header(held->id),
				   {NULL, NULL}};
	http_call_request_t request = {
		.host = fleet_endpoint_address(held->endpoint),
		.port = fleet_endpoint_port(held->endpoint),
		.method = "GET",
		.path = engine_report_path(),
		.headers = headers,
		.timeout = ORDER_TIMEOUT_MS,
		.on_head = on_report_head,
	};

	counter_add(adapters->reports, 1);
	fleet_endpoint_count_call(held->endpoint, adapters->now);
	held->reported_at = adapters->now;
	held->report =
		http_call_buffered(adapters->client, &request, REPORT_MAX_BYTES,
				   on_report_answer, held);
}

ms_t held_engine_next_report(const held_engine_t *held, ms_t now)
{
	const fleet_endpoint_t *engine = held->endpoint;
	ms_t wait = fleet_endpoint_limit_wait(engine, now);

	if (fleet_endpoint_standing(engine, now) == STANDING_QUIET)
		return fleet_endpoint_quiet_until(engine);
	if (!fleet_endpoint_limit(engine))
		return 0;
	return MAX(wait ? now + wait : 0,
		   held->reported_at + LIMITED_REPORT_MS);
}

void held_engine_cancel_calls(held_engine_t *held)
{
	if (held->order)
		http_call_cancel(held->order);
	if (held->report)
		http_call_cancel(held->report);
	held->order = NULL;
	held->report = NULL;
}
