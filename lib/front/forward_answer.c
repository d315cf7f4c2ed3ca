#include "front/forward_private.h"

#include <string.h>

#include "base/log.h"

/*
 * Answers that are not streams are buffered up to this size, to verify that
 * they are complete before the caller receives a byte.
 */
#define BUFFERED_MAX_BYTES (256 * 1024)

/* The bytes of "\r\n\r\n". */
#define EVENT_END_BYTES_MAX 4

/* Largest event of a stream; those of engines hold a few tokens. */
#define EVENT_MAX_BYTES (64 * 1024)
/* The same while too much memory is used for answers. */
#define EVENT_SHORT_OF_MEMORY_BYTES (4 * 1024)

/* Largest body of an answer; a larger one is taken for one without end. */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)

static gboolean is_event_stream(const http1_head_t *head)
{
	static const char events[] = "text/event-stream";
	const char *type = http1_header(head, "content-type");

	return type && !g_ascii_strncasecmp(type, events, strlen(events));
}

/* Decides what becomes of the answer; FALSE if it is refused. */
static gboolean judge_answer(forward_t *forward, const http1_head_t *head)
{
	attempt_t *attempt = &forward->attempt;
	answer_facts_t facts = {
		.is_begun = forward->is_answer_begun,
		.is_stream = forward->is_stream,
		.status = head->status,
		.is_signed = attempt->answer.is_signed,
		.is_encoded = attempt->answer.is_encoded,
		.is_event_stream = is_event_stream(head),
	};

	attempt->use = answer_check(&facts, &attempt->refusal);
	return attempt->use != ANSWER_REFUSE;
}

static gboolean on_head(void *ctx, const http1_head_t *head)
{
	forward_t *forward = ctx;
	endpoint_load_t *load;

	headers_read_response(head, &forward->attempt.answer);
	forward->attempt.head = head;
	load = &forward->attempt.answer.load;
	if (forward->attempt.answer.has_load) {
		fleet_endpoint_note_load(forward->endpoint,
					 forward_now(forward), load);
		adapters_note_work(forward->front->adapters,
				   fleet_endpoint_id(forward->endpoint),
				   load->work_percent);
	}
	front_on_notice(forward->front, forward->endpoint,
			&forward->attempt.answer.notice, forward->sent_at);
	exchange_set_idle(forward->attempt.exchange,
			  forward->attempt.answer.idle_timeout);
	/* The endpoint may send the answer to another request. */
	if (forward->attempt.answer.id &&
	    g_strcmp0(forward->attempt.answer.id, forward->fields.id))
		return FALSE;
	if (!judge_answer(forward, head))
		return FALSE;
	if (forward->attempt.answer.id)
		return TRUE;
	/* Written once more, it would look like the next request's. */
	exchange_close_after(forward->attempt.exchange);
	return head->status >= 400;
}

static void begin_answer(forward_t *forward, int64_t size)
{
	front_t *front = forward->front;

	if (forward->is_answer_begun)
		return;
	forward->is_answer_begun = TRUE;
	forward->first_byte =
		forward_now(forward) - call_arrived_at(forward->call);
	histogram_add(front->first_byte_time, forward->first_byte);
	/* The attempt has no time limit of its own any more. */
	forward_set_timer(forward);
	call_begin(forward->call, forward->attempt.head, size);
}

/*
 * Returns the size of the first event with the empty line that ends it; 0 if it
 * is not complete.  Lines end with LF or CRLF.
 */
static size_t event_size(const char *text, size_t size)
{
	const char *end = text + size;
	const char *line = text;

	while ((line = memchr(line, '\n', (size_t)(end - line)))) {
		line++;
		if (line + 1 < end && line[0] == '\r' && line[1] == '\n')
			return (size_t)(line + 2 - text);
		if (line < end && line[0] == '\n')
			return (size_t)(line + 1 - text);
	}
	return 0;
}

/* Whether too much memory is used for answers on their way to callers. */
static gboolean is_short_of_memory(const front_t *front)
{
	return memory_budget_is_short_for_answers(front->memory);
}

/* Counts the bytes of the attempt that are not relayed yet. */
static void note_kept(forward_t *forward, size_t kept)
{
	memory_budget_change(forward->front->memory, MEMORY_ANSWERS,
			     (gssize)kept - (gssize)forward->attempt.kept);
	forward->attempt.kept = kept;
}

/* Lets the endpoint wait while the caller reads more slowly than it writes. */
static void wait_for_caller(forward_t *forward)
{
	if (!call_is_congested(forward->call))
		return;
	exchange_pause(forward->attempt.exchange);
	forward->attempt.data_at = 0;
}

/* Returns FALSE, and sets the reason, if an event is out of order. */
static gboolean accept_event(forward_t *forward, const char *text, size_t size)
{
	attempt_t *attempt = &forward->attempt;
	event_place_t place = EVENT_OF_RUN;

	if (!event_has_data(text, size))
		return TRUE;
	if (attempt->is_resumed)
		place = attempt->has_event ? EVENT_OF_RESUMED : EVENT_RESUMES;
	attempt->refusal =
		event_order_accept(&forward->events, text, size, place);
	attempt->has_event = TRUE;
	return !attempt->refusal;
}

/*
 * Relays complete events only, so that the stream can be resumed at another
 * endpoint; and no head before the first of them, so that until then the
 * request can be sent to another endpoint as if there had been no answer.
 * Returns FALSE if an event does not end, or is out of order.
 */
static gboolean relay_events(forward_t *forward, const char *data, size_t size)
{
	GString *event = forward->attempt.partial_event;
	size_t length;

	g_string_append_len(event, data, (gssize)size);
	while ((length = event_size(event->str, event->len))) {
		if (!accept_event(forward, event->str, length))
			return FALSE;
		begin_answer(forward, -1);
		call_write(forward->call, event->str, length);
		g_string_erase(event, 0, (gssize)length);
	}
	note_kept(forward, event->len);
	return event->len <= (is_short_of_memory(forward->front)
				      ? EVENT_SHORT_OF_MEMORY_BYTES
				      : EVENT_MAX_BYTES);
}

static void record_gap(forward_t *forward)
{
	ms_t now = forward_now(forward);

	if (forward->last_data_at)
		forward->longest_gap =
			MAX(forward->longest_gap, now - forward->last_data_at);
	forward->last_data_at = now;
	if (forward->attempt.data_at)
		forward->attempt.longest_pause =
			MAX(forward->attempt.longest_pause,
			    now - forward->attempt.data_at);
	forward->attempt.data_at = now;
}

/* An event ends with an empty line. */
static void note_event_end(attempt_t *attempt, const char *data, size_t size)
{
	size_t i;

	for (i = size > EVENT_END_BYTES_MAX ? size - EVENT_END_BYTES_MAX : 0;
	     i < size; i++) {
		if (data[i] == '\r')
			continue;
		attempt->tail[0] = attempt->tail[1];
		attempt->tail[1] = data[i];
	}
	attempt->is_inside_event =
		attempt->tail[0] != '\n' || attempt->tail[1] != '\n';
}

static gboolean relay_stream(forward_t *forward, const char *data, size_t size)
{
	note_event_end(&forward->attempt, data, size);
	if (forward->route->is_resumable)
		return relay_events(forward, data, size);
	begin_answer(forward, -1);
	call_write(forward->call, data, size);
	return TRUE;
}

/* Returns FALSE if an answer that can't be relayed in parts does not end. */
static gboolean buffer_answer(forward_t *forward, const char *data, size_t size)
{
	GByteArray *buffered = forward->attempt.buffered;

	g_byte_array_append(buffered, (const guint8 *)data, (guint)size);
	note_kept(forward, buffered->len);
	if (buffered->len <= BUFFERED_MAX_BYTES &&
	    !is_short_of_memory(forward->front))
		return TRUE;
	if (forward->attempt.use != ANSWER_RELAY)
		return FALSE;
	begin_answer(forward, -1);
	call_write(forward->call, (const char *)buffered->data, buffered->len);
	g_byte_array_unref(buffered);
	forward->attempt.buffered = g_byte_array_new();
	note_kept(forward, 0);
	return TRUE;
}

/* Returns FALSE if no more of the answer is wanted. */
static gboolean relay_data(forward_t *forward, const char *data, size_t size)
{
	forward->attempt.received += size;
	if (forward->attempt.received > ANSWER_MAX_BYTES)
		return FALSE;
	if (forward->is_stream && forward->attempt.use == ANSWER_RELAY)
		return relay_stream(forward, data, size);
	if (!forward->is_answer_begun)
		return buffer_answer(forward, data, size);
	if (forward->attempt.use == ANSWER_RELAY)
		call_write(forward->call, data, size);
	return TRUE;
}

static gboolean on_data(void *ctx, const char *data, size_t size)
{
	forward_t *forward = ctx;

	record_gap(forward);
	if (!relay_data(forward, data, size)) {
		if (forward->attempt.refusal)
			return FALSE;
		counter_add(forward->front->cut_answers, 1);
		log_warn("answer cut", "endpoint",
			 fleet_endpoint_id(forward->endpoint), "id",
			 forward->fields.id, "why",
			 is_short_of_memory(forward->front)
				 ? "too much memory is used for answers"
				 : "too large",
			 NULL);
		return FALSE;
	}
	wait_for_caller(forward);
	return TRUE;
}

/* Relays an answer that is complete. */
static void relay_answer(forward_t *forward)
{
	call_t *call = forward->call;

	if (!forward->is_answer_begun) {
		begin_answer(forward, forward->attempt.buffered->len);
		call_write(call, (const char *)forward->attempt.buffered->data,
			   forward->attempt.buffered->len);
	}
	forward_complete(forward);
}

static void retry_missing_adapter(forward_t *forward)
{
	if (forward->adapter)
		fleet_endpoint_set_adapter(forward->endpoint, forward->adapter,
					   0);
	forward->failure_reason = "adapter not resident at the endpoint";
	forward->is_missing = TRUE;
	/* The retry at the same endpoint does not count as an attempt. */
	forward->endpoint_attempts--;
	forward_retry(forward, OUTCOME_NOT_RUN,
		      forward->adapter ? ERROR_CONFLICT : ERROR_OVERLOADED);
}

/* Statuses that tell a caller that its request has not run. */
static gboolean status_means_not_run(int status)
{
	return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

static void discard_answer(forward_t *forward)
{
	int status = forward->attempt.head->status;
	ms_t now = forward_now(forward);

	if (forward->attempt.answer.is_elsewhere && forward->model) {
		retry_missing_adapter(forward);
	} else if (forward->attempt.answer.is_not_run) {
		fleet_endpoint_note_full(forward->endpoint, now);
		forward->failure_reason = "endpoint full";
		forward_retry(forward, OUTCOME_NOT_RUN, ERROR_OVERLOADED);
	} else {
		fleet_endpoint_note_failure(forward->endpoint, now);
		forward->failure_reason =
			status >= 500 ? "endpoint failed" : "unusable answer";
		forward_retry(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	}
}

/*
 * A stream that ends inside an event was broken off, whatever its framing says:
 * one with neither a length nor chunks ends with its connection in any case.
 */
static void handle_broken_stream(forward_t *forward)
{
	fleet_endpoint_note_failure(forward->endpoint, forward_now(forward));
	front_note_cut_run(forward->front, forward->endpoint, forward->parts,
			   forward->sent_at);
	forward->failure_reason = "stream ended inside an event";
	forward_retry(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
}

static void handle_success(forward_t *forward)
{
	front_note_answered_parts(forward->front, forward->parts);
	fleet_endpoint_note_success(forward->endpoint);
	relay_answer(forward);
}

static void handle_complete_answer(forward_t *forward)
{
	int status = forward->attempt.head->status;

	if (forward->attempt.is_inside_event) {
		handle_broken_stream(forward);
	} else if (forward->attempt.use == ANSWER_RELAY) {
		handle_success(forward);
	} else if (forward->is_answer_begun ||
		   forward->attempt.answer.is_not_run ||
		   (status >= 500 && forward_may_retry(forward)) ||
		   (status_means_not_run(status) && !forward->is_idempotent)) {
		discard_answer(forward);
	} else {
		if (status >= 500)
			fleet_endpoint_note_failure(forward->endpoint,
						    forward_now(forward));
		forward->failure_reason = "endpoint failed";
		relay_answer(forward);
	}
}

/* The answer can't be used, though the endpoint may have run the request. */
static void handle_refused_answer(forward_t *forward)
{
	forward->failure_reason = forward->attempt.refusal;
	counter_add(forward->front->refused_answers, 1);
	log_warn("answer refused", "endpoint",
		 fleet_endpoint_id(forward->endpoint), "id", forward->fields.id,
		 "why", forward->failure_reason, NULL);
	fleet_endpoint_note_failure(forward->endpoint, forward_now(forward));
	forward_retry(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
}

static void on_end(void *ctx, link_result_t result, const char *why)
{
	forward_t *forward = ctx;

	forward->attempt.exchange = NULL;
	if (result == LINK_COMPLETE) {
		handle_complete_answer(forward);
		return;
	}
	if (forward->attempt.refusal) {
		handle_refused_answer(forward);
		return;
	}
	g_strlcpy(forward->exchange_error, why,
		  sizeof(forward->exchange_error));
	forward->failure_reason = forward->exchange_error;
	fleet_endpoint_note_failure(forward->endpoint, forward_now(forward));
	if (result != LINK_NOT_SENT)
		front_note_cut_run(forward->front, forward->endpoint,
				   forward->parts, forward->sent_at);
	if (result == LINK_NOT_SENT) {
		forward->endpoint_attempts--;
		forward->transmissions--;
		forward_retry(forward, OUTCOME_NOT_RUN, ERROR_UNAVAILABLE);
	} else {
		forward_retry(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	}
}

const link_events_t forward_link_events = {on_head, on_data, on_end};
