#include "front/forward_private.h"

#include <string.h>

/*
 * Answers that are no streams are held back up to this size, to be sure that
 * they are whole before the caller sees them; chosen.
 */
#define HELD_MAX_BYTES (256 * 1024)

static gboolean on_head(void *ctx, const http1_head_t *head)
{
	forward_t *forward = ctx;
	endpoint_load_t *load;

	headers_read_response(head, &forward->answer);
	forward->head = head;
	load = &forward->answer.load;
	if (forward->answer.has_load)
		fleet_endpoint_note_load(forward->endpoint,
					 forward_now(forward), load);
	exchange_set_idle(forward->exchange, forward->answer.idle_timeout);
	/* An answer to another request may come where this one's is due. */
	if (forward->answer.id)
		return !g_strcmp0(forward->answer.id, forward->fields.id);
	return head->status >= 400;
}

static gboolean is_success(const forward_t *forward)
{
	return forward->head->status >= 200 && forward->head->status < 300;
}

static gboolean is_valid_success(const forward_t *forward)
{
	return forward->answer.is_signed && !forward->answer.is_encoded;
}

static void begin_answer(forward_t *forward, int64_t size)
{
	front_t *front = forward->front;

	if (forward->is_begun)
		return;
	forward->is_begun = TRUE;
	forward->first_byte =
		forward_now(forward) - call_arrived_at(forward->call);
	histogram_add(front->first_byte_time, forward->first_byte);
	call_begin(forward->call, forward->head, size);
}

/* Remember the id of an event; text is the whole event. */
static void note_event(forward_t *forward, const char *text, size_t size)
{
	static const char field[] = "id:";
	const char *at = text;
	const char *end = text + size;

	while (at < end) {
		const char *line_end = memchr(at, '\n', (size_t)(end - at));
		size_t length = (size_t)((line_end ? line_end : end) - at);

		if (length > strlen(field) &&
		    !strncmp(at, field, strlen(field))) {
			g_free(forward->last_event);
			forward->last_event = g_strndup(at + strlen(field),
							length - strlen(field));
			g_strstrip(forward->last_event);
		}
		if (!line_end)
			return;
		at = line_end + 1;
	}
}

/* Pass on whole events only, so that the stream can go on elsewhere. */
static void pass_events(forward_t *forward, const char *data, size_t size)
{
	GString *event = forward->event;
	const char *end;

	g_string_append_len(event, data, (gssize)size);
	while ((end = strstr(event->str, "\n\n"))) {
		size_t length = (size_t)(end - event->str) + 2;

		note_event(forward, event->str, length);
		call_write(forward->call, event->str, length);
		g_string_erase(event, 0, (gssize)length);
	}
}

static void note_gap(forward_t *forward)
{
	ms_t now = forward_now(forward);

	if (forward->data_at)
		forward->gap = MAX(forward->gap, now - forward->data_at);
	forward->data_at = now;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	forward_t *forward = ctx;

	note_gap(forward);
	if (forward->is_stream && is_success(forward) &&
	    is_valid_success(forward)) {
		begin_answer(forward, -1);
		forward_set_timer(forward);
		if (forward->route->is_resumable)
			pass_events(forward, data, size);
		else
			call_write(forward->call, data, size);
		return;
	}
	if (forward->is_begun) {
		if (!forward->is_stream)
			call_write(forward->call, data, size);
		return;
	}
	g_byte_array_append(forward->held, (const guint8 *)data, (guint)size);
	if (forward->held->len <= HELD_MAX_BYTES || !is_success(forward) ||
	    !is_valid_success(forward))
		return;
	begin_answer(forward, -1);
	call_write(forward->call, (const char *)forward->held->data,
		   forward->held->len);
}

/* The endpoint's answer is whole and goes to the caller as it is. */
static void pass_answer(forward_t *forward)
{
	call_t *call = forward->call;

	if (!forward->is_begun) {
		begin_answer(forward, forward->held->len);
		call_write(call, (const char *)forward->held->data,
			   forward->held->len);
	} else if (forward->event->len) {
		call_write(call, forward->event->str, forward->event->len);
	}
	forward_answered(forward);
}

static void adapter_is_missing(forward_t *forward)
{
	if (forward->adapter)
		fleet_endpoint_set_adapter(forward->endpoint, forward->adapter,
					   0);
	forward->why = "not resident there";
	forward->is_missing = TRUE;
	/* It goes to the same endpoint again. */
	forward->sends--;
	forward_again(forward, OUTCOME_NOT_RUN,
		      forward->adapter ? ERROR_CONFLICT : ERROR_OVERLOADED);
}

/* Statuses that promise a caller that its request has not run. */
static gboolean is_promise(int status)
{
	return status == STATUS_TIMEOUT || status == STATUS_ELSEWHERE ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

static void answer_failed(forward_t *forward)
{
	int status = forward->head->status;
	ms_t now = forward_now(forward);

	g_byte_array_set_size(forward->held, 0);
	if (forward->answer.is_elsewhere && forward->model) {
		adapter_is_missing(forward);
	} else if (forward->answer.is_not_run) {
		fleet_endpoint_note_full(forward->endpoint, now);
		forward->why = "endpoint full";
		forward_again(forward, OUTCOME_NOT_RUN, ERROR_OVERLOADED);
	} else {
		fleet_endpoint_note_failure(forward->endpoint, now);
		forward->why = status >= 500 ? "endpoint failed"
					     : "answer not to be used";
		forward_again(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	}
}

static void answer_is_whole(forward_t *forward)
{
	int status = forward->head->status;

	if (forward->is_begun && is_success(forward)) {
		fleet_endpoint_note_success(forward->endpoint);
		pass_answer(forward);
	} else if (is_success(forward)) {
		if (is_valid_success(forward)) {
			fleet_endpoint_note_success(forward->endpoint);
			pass_answer(forward);
		} else {
			answer_failed(forward);
		}
	} else if (forward->is_begun || forward->answer.is_not_run ||
		   (status >= 500 && forward_may_be_mended(forward)) ||
		   (is_promise(status) && !forward->is_idempotent)) {
		answer_failed(forward);
	} else {
		if (status >= 500)
			fleet_endpoint_note_failure(forward->endpoint,
						    forward_now(forward));
		forward->why = "endpoint failed";
		pass_answer(forward);
	}
}

static void on_end(void *ctx, link_result_t result, const char *why)
{
	forward_t *forward = ctx;

	forward->exchange = NULL;
	if (result == LINK_WHOLE) {
		answer_is_whole(forward);
		return;
	}
	g_strlcpy(forward->ended, why, sizeof(forward->ended));
	forward->why = forward->ended;
	g_byte_array_set_size(forward->held, 0);
	g_string_truncate(forward->event, 0);
	fleet_endpoint_note_failure(forward->endpoint, forward_now(forward));
	if (result == LINK_UNSENT) {
		forward->sends--;
		forward->arrivals--;
		forward_again(forward, OUTCOME_NOT_RUN, ERROR_UNAVAILABLE);
	} else {
		forward_again(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	}
}

const link_events_t forward_link_events = {on_head, on_data, on_end};
