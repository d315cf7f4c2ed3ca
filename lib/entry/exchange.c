#include "entry/exchange.h"

#include <string.h>

#include "base/counter.h"
#include "entry/answer.h"

struct exchange {
	const exchange_env_t *env;
	http_request_t *http; /* NULL once it was answered or aborted */
	request_spec_t *spec;
	document_t *document;
	const document_caller_t *caller;
	const document_adapter_t *adapter;
	const document_service_t *service;
	admit_ticket_t *ticket;
	int priority;
	char *id;
	track_t *track;
	answer_t *answer;
	search_t *search;
	uv_timer_t timer;
	char *endpoint; /* of the latest attempt */
	traceparent_t span;
	char *parent_span;
	ms_t arrived_at;
	int64_t arrived_us;
	gboolean is_first_piece_sent;
};

static ms_t exchange_now(const exchange_t *exchange)
{
	return ms_clock_now(exchange->env->clock);
}

static gboolean send_to(exchange_t *exchange, const char *owner,
			const void *message)
{
	return exchange->env->actions->send(exchange->env->ctx, owner, message);
}

/* Actions of the track */

static void do_claim(void *ctx, gboolean is_known)
{
	exchange_t *exchange = ctx;

	exchange->env->actions->claim(exchange->env->ctx, exchange, is_known);
}

static void on_found(void *ctx, const track_place_t *place, const GError *error,
		     ms_t retry_after)
{
	exchange_t *exchange = ctx;

	exchange->search = NULL;
	if (place)
		track_on_placed(exchange->track, exchange_now(exchange), place);
	else
		track_on_not_placed(exchange->track, exchange_now(exchange),
				    error, retry_after);
}

static void do_place(void *ctx, const char *avoid)
{
	exchange_t *exchange = ctx;
	routing_t *routing = exchange->env->routing;
	ms_t now = exchange_now(exchange);

	/* A stream that has begun can only be resumed on its endpoint. */
	if (track_next_piece(exchange->track) > 0)
		exchange->search = routing_find_owner(
			routing, exchange->endpoint, now, on_found, exchange);
	else if (exchange->adapter)
		exchange->search =
			routing_find_adapter(routing, exchange->adapter->id,
					     exchange->spec->prefix_hash, avoid,
					     now, on_found, exchange);
	else
		exchange->search =
			routing_find_service(routing, exchange->service, avoid,
					     now, on_found, exchange);
}

static gboolean do_run(void *ctx, const track_place_t *place, int64_t attempt,
		       int64_t first)
{
	exchange_t *exchange = ctx;
	const request_spec_t *spec = exchange->spec;
	char header[TRACEPARENT_SIZE];
	message_run_t run = {
		.type = MESSAGE_RUN,
		.request = exchange->id,
		.attempt = attempt,
		.first = first,
		.traceparent = header,
		.caller = (char *)exchange->caller->name,
		.endpoint = (char *)place->endpoint,
		.adapter =
			exchange->adapter ? (char *)exchange->adapter->id : "",
		.priority = exchange->priority,
		.deadline = MAX(1, exchange->arrived_at + spec->deadline -
					   exchange_now(exchange)),
		.is_idempotent = spec->is_idempotent,
		.tokens = spec->tokens_max,
		.method = spec->method,
		.path = spec->path,
		.key = spec->key,
		.content_type = spec->content_type,
		.body = spec->body,
	};

	traceparent_format(&exchange->span, header);
	g_free(exchange->endpoint);
	exchange->endpoint = g_strdup(place->endpoint);
	return send_to(exchange, place->owner, &run);
}

static void do_cancel(void *ctx, const track_place_t *place, int64_t attempt)
{
	exchange_t *exchange = ctx;
	message_cancel_t cancel = {MESSAGE_CANCEL, exchange->id, attempt};

	send_to(exchange, place->owner, &cancel);
}

static void do_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	exchange_t *exchange = ctx;

	if (!exchange->is_first_piece_sent) {
		exchange->is_first_piece_sent = TRUE;
		histogram_add(histogram_get("hc_entry_first_piece_ms"),
			      exchange_now(exchange) - exchange->arrived_at);
	}
	answer_append(exchange->answer, exchange->http, data, size);
}

static void do_restart(void *ctx)
{
	exchange_t *exchange = ctx;

	answer_reset(exchange->answer);
}

static void on_wake(uv_timer_t *timer)
{
	exchange_t *exchange = timer->data;

	track_on_timer(exchange->track, exchange_now(exchange));
}

static void do_wake(void *ctx, ms_t at)
{
	exchange_t *exchange = ctx;
	ms_t delay = MAX(0, at - exchange_now(exchange));

	if (at == MS_NEVER)
		uv_timer_stop(&exchange->timer);
	else
		uv_timer_start(&exchange->timer, on_wake, (uint64_t)delay, 0);
}

static void do_settle(void *ctx, outcome_t outcome)
{
	exchange_t *exchange = ctx;
	size_t size = 0;
	const char *stored = NULL;

	if (outcome == OUTCOME_ANSWERED)
		stored = answer_stored_form(exchange->answer, &size);
	exchange->env->actions->settle(exchange->env->ctx, exchange, outcome,
				       stored, size);
}

static void count_end(const track_end_t *end)
{
	char *name;

	name = g_strdup_printf(
		"hc_entry_requests_total{outcome=\"%s\","
		"kind=\"%s\"}",
		outcome_name(end->outcome),
		end->error ? error_kind_name(error_kind(end->error)) : "");
	counter_add(counter_get(name), 1);
	g_free(name);
}

static void add_span(exchange_t *exchange, const track_end_t *end)
{
	span_t span = {
		exchange->span, exchange->parent_span, "request", "ok", 0, 0};

	if (end->error)
		span.status = error_kind_name(error_kind(end->error));
	span.duration_us = span_clock_us() - exchange->arrived_us;
	span.start = ms_clock_wall() - span.duration_us / 1000;
	spans_add(exchange->env->spans, &span);
}

/* Answer the caller, unless it was answered before or has disconnected. */
static void answer_caller(exchange_t *exchange, const track_end_t *end)
{
	http_request_t *http = exchange->http;

	exchange->http = NULL;
	if (!http)
		return;
	http_request_on_abort(http, NULL, NULL);
	if (!end->error)
		answer_end(exchange->answer, http);
	else
		answer_fail(exchange->answer, http, end->error, end->outcome,
			    end->retry_after);
}

static void do_detach(void *ctx, const track_end_t *end)
{
	answer_caller(ctx, end);
}

static void on_timer_closed(uv_handle_t *handle)
{
	exchange_t *exchange = handle->data;

	track_destroy(exchange->track);
	answer_destroy(exchange->answer);
	request_spec_destroy(exchange->spec);
	document_unref(exchange->document);
	g_free(exchange->id);
	g_free(exchange->endpoint);
	g_free(exchange->parent_span);
	g_free(exchange);
}

static void do_end(void *ctx, const track_end_t *end)
{
	exchange_t *exchange = ctx;
	const exchange_env_t *env = exchange->env;

	count_end(end);
	add_span(exchange, end);
	answer_caller(exchange, end);
	if (exchange->search)
		routing_cancel(env->routing, exchange->search);
	exchange->search = NULL;
	admit_release(env->admit, exchange->ticket, exchange_now(exchange));
	env->actions->ended(env->ctx, exchange);
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void on_abort(void *ctx, http_request_t *http)
{
	exchange_t *exchange = ctx;

	exchange->http = NULL;
	counter_add(counter_get("hc_entry_callers_gone_total"), 1);
	track_on_caller_gone(exchange->track, exchange_now(exchange));
}

static const track_actions_t track_actions = {
	.claim = do_claim,
	.place = do_place,
	.run = do_run,
	.cancel = do_cancel,
	.deliver = do_deliver,
	.restart = do_restart,
	.wake = do_wake,
	.settle = do_settle,
	.detach = do_detach,
	.end = do_end,
};

/* Continue the trace of the caller, or start a new one. */
static void begin_span(exchange_t *exchange)
{
	traceparent_t parent;

	if (traceparent_parse(exchange->spec->traceparent, &parent)) {
		traceparent_child(&parent, &exchange->span);
		exchange->parent_span = g_strdup(parent.span);
	} else {
		traceparent_create(&exchange->span);
	}
}

static answer_t *begin_answer(exchange_t *exchange)
{
	const request_spec_t *spec = exchange->spec;
	char header[TRACEPARENT_SIZE];
	answer_options_t options = {
		.kind = spec->kind,
		.is_streamed = spec->is_streamed,
		.id = spec->id ? spec->id : exchange->id,
		.model = spec->model,
		.traceparent = header,
		.is_stored = !spec->is_idempotent,
	};

	traceparent_format(&exchange->span, header);
	return answer_create(&options);
}

exchange_t *exchange_create(const exchange_env_t *env,
			    const exchange_start_t *start)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	track_options_t options;

	exchange->env = env;
	exchange->http = start->http;
	exchange->spec = start->spec;
	exchange->document = document_ref(start->document);
	exchange->caller = start->caller;
	exchange->adapter = start->adapter;
	exchange->service = start->service;
	exchange->ticket = start->ticket;
	exchange->priority = start->priority;
	exchange->id = g_uuid_string_random();
	exchange->arrived_at = exchange_now(exchange);
	exchange->arrived_us = span_clock_us();
	begin_span(exchange);
	exchange->answer = begin_answer(exchange);
	uv_timer_init(env->loop, &exchange->timer);
	exchange->timer.data = exchange;
	options.is_idempotent = start->spec->is_idempotent;
	options.is_streamed = start->spec->is_streamed;
	options.deadline = exchange->arrived_at + start->spec->deadline;
	exchange->track =
		track_create(&options, &track_actions, exchange, env->retry);
	http_request_on_abort(start->http, on_abort, exchange);
	track_start(exchange->track, exchange->arrived_at);
	return exchange;
}

static void receive_not_run(exchange_t *exchange,
			    const message_not_run_t *message)
{
	GError *error = NULL;

	error_set(&error, (error_kind_t)message->kind, "%s",
		  message->reason ? message->reason : "refused");
	track_on_not_run(exchange->track, exchange_now(exchange),
			 message->attempt, error, message->retry_after);
	g_error_free(error);
}

static void receive_failed(exchange_t *exchange,
			   const message_failed_t *message)
{
	GError *error = NULL;

	error_set(&error, (error_kind_t)message->kind, "%s",
		  message->reason ? message->reason
				  : "the attempt was interrupted");
	track_on_failed(exchange->track, exchange_now(exchange),
			message->attempt, error);
	g_error_free(error);
}

static void receive_piece(exchange_t *exchange, const message_piece_t *message)
{
	gsize size;
	const char *data = g_bytes_get_data(message->data, &size);

	admit_started(exchange->env->admit, exchange->ticket);
	track_on_piece(exchange->track, exchange_now(exchange),
		       message->attempt, message->number, data ? data : "",
		       size);
}

void exchange_handle_message(exchange_t *exchange, const void *message)
{
	const message_started_t *started = message;
	const message_done_t *done = message;
	ms_t now = exchange_now(exchange);

	switch (message_type(message)) {
	case MESSAGE_STARTED:
		admit_started(exchange->env->admit, exchange->ticket);
		track_on_started(exchange->track, now, started->attempt,
				 started->is_resumable);
		break;
	case MESSAGE_PIECE:
		receive_piece(exchange, message);
		break;
	case MESSAGE_DONE:
		answer_set_head(exchange->answer, (int)done->status,
				done->content_type);
		track_on_done(exchange->track, now, done->attempt, done->count);
		break;
	case MESSAGE_NOT_RUN:
		receive_not_run(exchange, message);
		break;
	case MESSAGE_FAILED:
		receive_failed(exchange, message);
		break;
	default:
		break;
	}
}

void exchange_handle_owner_lost(exchange_t *exchange, const char *owner)
{
	track_on_owner_lost(exchange->track, exchange_now(exchange), owner);
}

void exchange_handle_claim_result(exchange_t *exchange, track_claim_t claim,
				  const char *answer, size_t size,
				  ms_t retry_after)
{
	if (claim == TRACK_CLAIM_ANSWERED)
		answer_set_replayed(exchange->answer);
	track_on_claim(exchange->track, exchange_now(exchange), claim, answer,
		       size, retry_after);
}

const char *exchange_id(const exchange_t *exchange)
{
	return exchange->id;
}

const char *exchange_caller(const exchange_t *exchange)
{
	return exchange->caller->name;
}

const request_spec_t *exchange_spec(const exchange_t *exchange)
{
	return exchange->spec;
}
