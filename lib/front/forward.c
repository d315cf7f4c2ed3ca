#include <string.h>

#include "base/log.h"
#include "front/front_private.h"
#include "request/retry.h"

/* Answers that are no streams are held back up to this size, to be sure that
 * they are whole before the caller sees them. */
#define HELD_MAX_BYTES (256 * 1024)

/*
 * An idempotent request that was not answered within this many times its goal
 * goes to another endpoint.
 */
#define PATIENCE_GOALS 2

/* Time to come back when no endpoint can take a request. */
#define RETRY_NOWHERE_MS 400
/* Time to come back when an endpoint was full, or an adapter had no room. */
#define RETRY_FULL_MS 250

/* Engines whose holders are asked before the request is refused. */
#define ASKS_MAX 5

/* Times that an engine may lack an adapter that its holder presumed there. */
#define MISSES_MAX 4

/* A holder answers at once, be it that the request has to wait. */
#define ASK_ANSWER_MS 250
/* A load and the wait for a place are over, or refused, within this time. */
#define ASK_WAIT_MAX_MS 4500

/* Left of the goal for the engine itself. */
#define GOAL_RESERVE_MS 150
/* A request may wait so long for its place in any case. */
#define WAIT_MIN_MS 100
/* The longest wait for a place at an engine while others may have one. */
#define FIRST_WAIT_MS 150
/* The last engine that is asked: callers leave after four times the goal. */
#define LAST_WAIT_GOALS 2

/* Part of the time left in which an adapter has to come. */
#define LOAD_WAIT_PART 3
/* A request may wait so long for its adapter. */
#define LOAD_WAIT_MAX_MS 1800

/* An adapter for a further engine is wanted no more often than this. */
#define WANT_AGAIN_MS 3000

#define STATUS_NOT_FOUND   404
#define STATUS_TIMEOUT	   408
#define STATUS_ELSEWHERE   421
#define STATUS_TOO_MANY	   429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_LATE	   504

typedef enum {
	FORWARD_WAITING, /* for the engine's holder */
	FORWARD_SENT,	 /* at an endpoint */
	FORWARD_OVER
} forward_state_t;

struct forward {
	TAILQ_ENTRY(forward) link;
	front_t *front;
	call_t *call;
	route_table_t *routes;
	const route_t *route;
	const char *service;
	request_fields_t fields;
	char *model;	     /* NULL for a plain service */
	const char *adapter; /* NULL for the base model alone */
	gboolean is_idempotent;
	gboolean is_stream;
	ms_t ends_at; /* the latest useful answer */
	forward_state_t state;
	fleet_endpoint_t *endpoint; /* where it is, or waits for its adapter */
	exchange_t *exchange;
	char *last_endpoint; /* asked for or sent to, for the log */
	GPtrArray *tried;    /* fleet_endpoint_t that it does not go to again */
	ask_id_t ask;	     /* at the holder of the engine; 0 for none */
	gboolean is_queued;  /* the holder said that it has to wait */
	gboolean is_missing; /* the engine lacked the adapter */
	guint asks;	     /* holders that were asked */
	guint misses;	     /* engines that lacked the adapter */
	ms_t retry_after;    /* the soonest that a holder said; 0 for none */
	guint sends;	     /* endpoints that it was sent to */
	guint arrivals;	     /* times that it was sent */
	gboolean is_counted; /* among the requests for its service */
	gboolean may_have_run;
	gboolean is_begun; /* the caller has the head of an answer */
	const http1_head_t *head;
	answer_fields_t answer;
	GByteArray *held;
	GString *event;	  /* a part of an event, of a resumable stream */
	char *last_event; /* that the caller has */
	ms_t asked_at;
	ms_t wait; /* for holders, in all */
	ms_t sent_at;
	ms_t first_byte; /* after its arrival; 0 before */
	ms_t data_at;	 /* when the last part of the answer came */
	ms_t gap;	 /* the longest pause between two parts */
	uv_timer_t timer;
	const char *why; /* the last thing that went wrong */
};

static void forward_try(forward_t *forward);

static ms_t now_of(const forward_t *forward)
{
	return ms_clock_now(forward->front->clock);
}

static void on_timer_closed(uv_handle_t *handle)
{
	forward_t *forward = handle->data;

	g_ptr_array_free(forward->tried, TRUE);
	g_byte_array_free(forward->held, TRUE);
	g_string_free(forward->event, TRUE);
	g_free(forward->last_event);
	g_free(forward->last_endpoint);
	g_free(forward->model);
	route_table_unref(forward->routes);
	g_free(forward);
}

static void end_ask(forward_t *forward)
{
	if (!forward->ask)
		return;
	g_hash_table_remove(forward->front->asks, &forward->ask);
	adapters_done(forward->front->adapters, forward->ask);
	forward->ask = 0;
}

static void leave_endpoint(forward_t *forward)
{
	end_ask(forward);
	if (!forward->endpoint)
		return;
	if (forward->state == FORWARD_SENT)
		fleet_endpoint_end(forward->endpoint);
	g_clear_pointer(&forward->endpoint, fleet_endpoint_unref);
}

/* Room for a number as text. */
typedef struct {
	char text[24];
} number_t;

static const char *number(number_t *at, int64_t value)
{
	g_snprintf(at->text, sizeof(at->text), "%" G_GINT64_FORMAT,
		   (gint64)value);
	return at->text;
}

static void log_end(const forward_t *forward, const char *outcome, int status)
{
	ms_t took = now_of(forward) - call_arrived_at(forward->call);
	int64_t version = route_table_version(forward->routes);
	number_t room[8];

	log_info("request", "id", forward->fields.id, "route",
		 forward->route->name, "outcome", outcome, "status",
		 number(&room[0], status), "ms", number(&room[1], took),
		 "wait_ms", number(&room[2], forward->wait), "first_ms",
		 number(&room[3], forward->first_byte), "gap_ms",
		 number(&room[6], forward->gap), "sends",
		 number(&room[4], forward->arrivals), "endpoint",
		 forward->last_endpoint, "asks",
		 number(&room[7], forward->asks), "adapter", forward->adapter,
		 "config", number(&room[5], version), "why", forward->why,
		 NULL);
}

/* The call has ended, or is about to be ended by the caller of this. */
static void forward_over(forward_t *forward)
{
	if (forward->exchange)
		exchange_cancel(forward->exchange);
	forward->exchange = NULL;
	leave_endpoint(forward);
	forward->state = FORWARD_OVER;
	TAILQ_REMOVE(&forward->front->forwards, forward, link);
	uv_close((uv_handle_t *)&forward->timer, on_timer_closed);
}

/* End with an answer of this instance. */
static void forward_answer(forward_t *forward, int status, ms_t retry_after,
			   const char *text)
{
	front_t *front = forward->front;
	call_t *call = forward->call;

	g_assert(!forward->is_begun);
	/* A refusal says that the request has not run and never will. */
	g_assert(status != STATUS_UNAVAILABLE || forward->is_idempotent ||
		 !forward->may_have_run);
	counter_add(status == STATUS_UNAVAILABLE ? front->refused
						 : front->failed,
		    1);
	log_end(forward, status == STATUS_UNAVAILABLE ? "refused" : "failed",
		status);
	forward_over(forward);
	call_answer(call, status, retry_after, text);
}

/* Spread over half of the time again, so that callers don't return at once. */
static ms_t spread(forward_t *forward, ms_t after)
{
	return after +
	       g_rand_int_range(forward->front->rand, 0, (gint32)after / 2 + 1);
}

static void forward_refuse(forward_t *forward, ms_t retry_after)
{
	if (forward->may_have_run && !forward->is_idempotent)
		forward_answer(forward, STATUS_BAD_GATEWAY, 0,
			       "an endpoint did not answer\n");
	else
		forward_answer(
			forward, STATUS_UNAVAILABLE,
			spread(forward, MAX(retry_after, forward->retry_after)),
			"no endpoint can take the request now\n");
}

static void forward_break(forward_t *forward)
{
	call_t *call = forward->call;

	counter_add(forward->front->failed, 1);
	log_end(forward, "broken", 0);
	forward_over(forward);
	call_break(call);
}

static void set_timer(forward_t *forward);

/* What can't be mended ends here. */
static void forward_fail(forward_t *forward)
{
	if (forward->is_begun)
		forward_break(forward);
	else if (forward->may_have_run)
		forward_answer(forward, STATUS_BAD_GATEWAY, 0,
			       "an endpoint did not answer\n");
	else
		forward_refuse(forward, RETRY_FULL_MS);
}

/*
 * An attempt has ended without an answer to pass on: go to another endpoint, or
 * to the same one again if that only lacked the adapter.
 */
static void forward_again(forward_t *forward, outcome_t outcome,
			  error_kind_t kind)
{
	front_t *front = forward->front;
	ms_t now = now_of(forward);
	retry_case_t failed = {
		.outcome = outcome,
		.kind = kind,
		.is_idempotent = forward->is_idempotent,
		.is_delivered = forward->is_begun,
		.is_resumable = forward->last_event != NULL,
	};

	if (outcome != OUTCOME_NOT_RUN)
		forward->may_have_run = TRUE;
	if (kind != ERROR_CONFLICT)
		g_ptr_array_add(forward->tried,
				fleet_endpoint_ref(forward->endpoint));
	leave_endpoint(forward);
	forward->state = FORWARD_WAITING;
	if (retry_manner(&failed) == RETRY_FORBIDDEN) {
		forward_fail(forward);
		return;
	}
	if (now >= forward->ends_at ||
	    (kind != ERROR_CONFLICT &&
	     forward->sends >= (guint)forward->route->attempts)) {
		forward_fail(forward);
		return;
	}
	/* Taken when it is sent; it may be refused before that. */
	if (forward->arrivals &&
	    !repeat_budget_has(front->budget, now, forward->service)) {
		forward->why = "no repeats left";
		forward_fail(forward);
		return;
	}
	forward_try(forward);
}

static gboolean on_head(void *ctx, const http1_head_t *head)
{
	forward_t *forward = ctx;
	endpoint_load_t *load;

	headers_read_answer(head, &forward->answer);
	forward->head = head;
	load = &forward->answer.load;
	if (forward->answer.has_load)
		fleet_endpoint_note_load(forward->endpoint, now_of(forward),
					 load);
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
	forward->first_byte = now_of(forward) - call_arrived_at(forward->call);
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
	ms_t now = now_of(forward);

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
		set_timer(forward);
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
	front_t *front = forward->front;
	call_t *call = forward->call;
	int status = forward->head->status;

	if (!forward->is_begun) {
		begin_answer(forward, forward->held->len);
		call_write(call, (const char *)forward->held->data,
			   forward->held->len);
	} else if (forward->event->len) {
		call_write(call, forward->event->str, forward->event->len);
	}
	counter_add(front->answered, 1);
	log_end(forward, "answered", status);
	forward_over(forward);
	call_end(call);
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
	ms_t now = now_of(forward);

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

/* Whether an endpoint's failure is worth another attempt. */
static gboolean may_be_mended(const forward_t *forward)
{
	return forward->is_idempotent &&
	       forward->sends < (guint)forward->route->attempts &&
	       now_of(forward) < forward->ends_at;
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
		   (status >= 500 && may_be_mended(forward)) ||
		   (is_promise(status) && !forward->is_idempotent)) {
		answer_failed(forward);
	} else {
		if (status >= 500)
			fleet_endpoint_note_failure(forward->endpoint,
						    now_of(forward));
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
	forward->why = why;
	g_byte_array_set_size(forward->held, 0);
	g_string_truncate(forward->event, 0);
	fleet_endpoint_note_failure(forward->endpoint, now_of(forward));
	if (result == LINK_UNSENT) {
		forward->sends--;
		forward->arrivals--;
		forward_again(forward, OUTCOME_NOT_RUN, ERROR_UNAVAILABLE);
	} else {
		forward_again(forward, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	}
}

static const link_events_t link_events = {on_head, on_data, on_end};

/* Time for an attempt of a request that may go to another endpoint. */
static ms_t patience_ends(const forward_t *forward)
{
	if (forward->state != FORWARD_SENT || forward->is_begun ||
	    !may_be_mended(forward) || forward->route->goal <= 0)
		return MS_NEVER;
	return forward->sent_at + PATIENCE_GOALS * forward->route->goal;
}

/* When the wait for the holder is given up. */
static ms_t ask_ends(const forward_t *forward)
{
	if (forward->state != FORWARD_WAITING || !forward->ask)
		return MS_NEVER;
	return forward->asked_at +
	       (forward->is_queued ? ASK_WAIT_MAX_MS : ASK_ANSWER_MS);
}

/* The engine that was asked for is not to be had: ask for another. */
static void ask_elsewhere(forward_t *forward)
{
	forward->wait += now_of(forward) - forward->asked_at;
	g_ptr_array_add(forward->tried, fleet_endpoint_ref(forward->endpoint));
	leave_endpoint(forward);
	forward_try(forward);
}

static void time_is_over(forward_t *forward)
{
	gboolean was_sent = forward->state == FORWARD_SENT;

	forward->why = was_sent ? "route timeout" : "no place in time";
	if (forward->is_begun)
		forward_break(forward);
	else if (was_sent || forward->may_have_run)
		forward_answer(forward, STATUS_TOO_LATE, 0,
			       "no answer within the time allowed\n");
	else
		forward_refuse(forward, RETRY_FULL_MS);
}

static void on_timer(uv_timer_t *timer)
{
	forward_t *forward = timer->data;
	ms_t now = now_of(forward);

	if (now >= forward->ends_at) {
		time_is_over(forward);
	} else if (now >= patience_ends(forward)) {
		exchange_cancel(forward->exchange);
		forward->exchange = NULL;
		forward->why = "no answer in time";
		fleet_endpoint_note_failure(forward->endpoint, now);
		forward_again(forward, OUTCOME_UNKNOWN, ERROR_TIMEOUT);
	} else if (now >= ask_ends(forward)) {
		forward->why = "the engine's holder is silent";
		ask_elsewhere(forward);
	} else {
		set_timer(forward);
	}
}

static void set_timer(forward_t *forward)
{
	ms_t next = MIN(forward->ends_at, patience_ends(forward));
	ms_t wait;

	next = MIN(next, ask_ends(forward));
	wait = next - now_of(forward);
	uv_timer_start(&forward->timer, on_timer, (uint64_t)MAX(wait, 0), 0);
}

/* FALSE if the request may not be sent once more; it has ended then. */
static gboolean count_arrival(forward_t *forward, ms_t now)
{
	front_t *front = forward->front;

	if (!forward->is_counted) {
		repeat_budget_request(front->budget, now, forward->service);
		forward->is_counted = TRUE;
	} else if (forward->arrivals) {
		if (!repeat_budget_take(front->budget, now, forward->service)) {
			forward->why = "no repeats left";
			leave_endpoint(forward);
			forward_fail(forward);
			return FALSE;
		}
		counter_add(front->repeats, 1);
	}
	forward->arrivals++;
	return TRUE;
}

static void forward_send(forward_t *forward)
{
	front_t *front = forward->front;
	fleet_endpoint_t *endpoint = forward->endpoint;
	ms_t now = now_of(forward);
	GString *text = g_string_sized_new(1024);
	const http1_head_t *head = call_head(forward->call);
	char *address =
		g_strdup_printf("%s:%d", fleet_endpoint_address(endpoint),
				fleet_endpoint_port(endpoint));
	send_fields_t fields = {
		.endpoint = fleet_endpoint_id(endpoint),
		.address = address,
		.deadline = MAX(forward->ends_at - now, 1),
		.priority = forward->route->priority,
		.after_event = forward->last_event,
	};
	size_t size;
	const char *body;

	if (!count_arrival(forward, now)) {
		g_string_free(text, TRUE);
		g_free(address);
		return;
	}
	body = call_body(forward->call, &size);
	g_assert(!forward->may_have_run || forward->is_idempotent);
	g_assert(fleet_endpoint_is_usable(endpoint));
	headers_render_request(text, head, &fields, size);
	g_string_append_len(text, body, (gssize)size);
	g_free(address);
	forward->sends++;
	forward->state = FORWARD_SENT;
	forward->sent_at = now;
	fleet_endpoint_begin(endpoint);
	forward->exchange = links_send(front->links, endpoint, text,
				       !strcmp(head->method, "HEAD"),
				       &link_events, forward);
	set_timer(forward);
}

static int64_t declared_version(front_t *front, const char *adapter)
{
	const int64_t *version = g_hash_table_lookup(front->versions, adapter);

	return version ? *version : 0;
}

/* Have a hot adapter brought to one more engine. */
static void want_replica(front_t *front, const fleet_endpoint_t *engine,
			 const char *adapter)
{
	ms_t now = ms_clock_now(front->clock);
	const ms_t *last = g_hash_table_lookup(front->wants, adapter);

	if (last && now - *last < WANT_AGAIN_MS)
		return;
	g_hash_table_insert(front->wants, g_strdup(adapter),
			    g_memdup2(&now, sizeof(now)));
	adapters_want(front->adapters, fleet_endpoint_id(engine), adapter,
		      declared_version(front, adapter));
}

static gboolean may_load(void *ctx, const fleet_endpoint_t *endpoint)
{
	const front_t *front = ctx;

	return adapters_can_ask(front->adapters, fleet_endpoint_id(endpoint));
}

/* How long the request may wait for its place at an engine. */
static ms_t wait_max(const forward_t *forward, ms_t now)
{
	ms_t passed = now - call_arrived_at(forward->call);
	ms_t goal = forward->route->goal;

	if (forward->asks < ASKS_MAX)
		return FIRST_WAIT_MS;
	return MAX(goal * LAST_WAIT_GOALS - passed - GOAL_RESERVE_MS,
		   WAIT_MIN_MS);
}

static void forward_ask(forward_t *forward, ms_t now)
{
	front_t *front = forward->front;
	ask_t ask = {
		.engine = fleet_endpoint_id(forward->endpoint),
		.adapter = forward->adapter,
		.version = forward->adapter
				   ? declared_version(front, forward->adapter)
				   : 0,
		.is_missing = forward->is_missing,
		.request = {.prompt = forward->fields.tokens_in,
			    .priority = forward->route->priority},
	};

	if (forward->is_missing)
		forward->misses++;
	else
		forward->asks++;
	ask.request.wait_max = wait_max(forward, now);
	ask.load_max = MIN((forward->ends_at - now) / LOAD_WAIT_PART,
			   LOAD_WAIT_MAX_MS);
	forward->state = FORWARD_WAITING;
	forward->asked_at = now;
	forward->is_queued = FALSE;
	forward->is_missing = FALSE;
	forward->ask = adapters_ask(front->adapters, &ask);
	g_hash_table_insert(front->asks,
			    g_memdup2(&forward->ask, sizeof(forward->ask)),
			    forward);
	set_timer(forward);
}

static void no_endpoint(forward_t *forward)
{
	if (!forward->why)
		forward->why = "no endpoint";
	if (forward->is_begun)
		forward_break(forward);
	else
		forward_refuse(forward, forward->retry_after
						? RETRY_FULL_MS
						: RETRY_NOWHERE_MS);
}

static void forward_try(forward_t *forward)
{
	front_t *front = forward->front;
	ms_t now = now_of(forward);
	fleet_query_t query = {
		.service = forward->service,
		.model = forward->model,
		.adapter = forward->adapter,
		.version = forward->adapter
				   ? declared_version(front, forward->adapter)
				   : 0,
		.tried = forward->tried,
		.may_load = may_load,
		.ctx = front,
	};
	fleet_choice_t choice = {0};

	if (forward->asks < ASKS_MAX && forward->misses < MISSES_MAX)
		fleet_choose(front->fleet, now, &query, &choice);
	/*
	 * No holder is known, as after a start: the adapter is most likely
	 * where the hash has it, and an engine that lacks it says so.
	 */
	if (!choice.endpoint && !forward->asks && !forward->arrivals) {
		query.may_load = NULL;
		fleet_choose(front->fleet, now, &query, &choice);
	}
	if (!choice.endpoint) {
		no_endpoint(forward);
		return;
	}
	forward->endpoint = fleet_endpoint_ref(choice.endpoint);
	g_free(forward->last_endpoint);
	forward->last_endpoint = g_strdup(fleet_endpoint_id(choice.endpoint));
	if (choice.replica)
		want_replica(front, choice.replica, forward->adapter);
	if (forward->model && may_load(front, choice.endpoint))
		forward_ask(forward, now);
	else
		forward_send(forward);
}

static forward_t *find_ask(front_t *front, ask_id_t ask)
{
	return g_hash_table_lookup(front->asks, &ask);
}

void forward_wait(front_t *front, ask_id_t ask)
{
	forward_t *forward = find_ask(front, ask);

	if (!forward || forward->state != FORWARD_WAITING)
		return;
	forward->is_queued = TRUE;
	set_timer(forward);
}

void forward_go(front_t *front, ask_id_t ask, int64_t version)
{
	forward_t *forward = find_ask(front, ask);
	ms_t now = ms_clock_now(front->clock);

	if (!forward || forward->state != FORWARD_WAITING)
		return;
	forward->wait += now - forward->asked_at;
	histogram_add(front->load_wait_time, forward->wait);
	if (forward->adapter)
		fleet_endpoint_set_adapter(forward->endpoint, forward->adapter,
					   version);
	if (!fleet_endpoint_is_usable(forward->endpoint)) {
		ask_elsewhere(forward);
		return;
	}
	forward_send(forward);
}

void forward_refused(front_t *front, ask_id_t ask, refusal_t refusal,
		     ms_t retry_after)
{
	forward_t *forward = find_ask(front, ask);

	if (!forward)
		return;
	g_hash_table_remove(front->asks, &ask);
	forward->ask = 0;
	if (forward->state != FORWARD_WAITING)
		return;
	if (retry_after &&
	    (!forward->retry_after || retry_after < forward->retry_after))
		forward->retry_after = retry_after;
	forward->why = refusal_name(refusal);
	/* Another engine would have to load the adapter as well. */
	if (refusal != REFUSAL_LOADS_AHEAD) {
		ask_elsewhere(forward);
		return;
	}
	forward->wait += now_of(forward) - forward->asked_at;
	leave_endpoint(forward);
	if (forward->is_begun)
		forward_break(forward);
	else
		forward_refuse(forward, RETRY_FULL_MS);
}

void forward_endpoint_gone(front_t *front, const char *id)
{
	GPtrArray *list = g_ptr_array_new();
	forward_t *forward;
	guint i;

	TAILQ_FOREACH (forward, &front->forwards, link) {
		if (forward->state == FORWARD_WAITING && forward->endpoint &&
		    !strcmp(fleet_endpoint_id(forward->endpoint), id))
			g_ptr_array_add(list, forward);
	}
	for (i = 0; i < list->len; i++)
		ask_elsewhere(list->pdata[i]);
	g_ptr_array_free(list, TRUE);
}

/* "model/adapter", or "model" alone. */
static void read_adapter(forward_t *forward)
{
	const service_t *service =
		route_table_service(forward->routes, forward->service);
	const char *text = forward->fields.adapter;
	const char *slash = text ? strchr(text, '/') : NULL;

	if (!service || !service->is_engine || !text)
		return;
	forward->model =
		slash ? g_strndup(text, (gsize)(slash - text)) : g_strdup(text);
	forward->adapter = slash ? text : NULL;
}

static forward_t *forward_create(front_t *front, call_t *call,
				 const route_t *route)
{
	forward_t *forward = g_new0(forward_t, 1);
	ms_t time;

	forward->front = front;
	forward->call = call;
	forward->routes = route_table_ref(front->routes);
	forward->route = route;
	forward->service = route_choose(route, front->rand);
	headers_read_request(call_head(call), &forward->fields);
	read_adapter(forward);
	forward->is_stream = route->kind == ROUTE_STREAMING;
	forward->is_idempotent = route->kind == ROUTE_IDEMPOTENT ||
				 (forward->is_stream && route->is_resumable);
	time = MIN(route->timeout, forward->fields.deadline);
	forward->ends_at = call_arrived_at(call) + time;
	forward->state = FORWARD_WAITING;
	forward->tried = g_ptr_array_new_with_free_func(
		(GDestroyNotify)fleet_endpoint_unref);
	forward->held = g_byte_array_new();
	forward->event = g_string_new(NULL);
	uv_timer_init(process_loop(front->process), &forward->timer);
	forward->timer.data = forward;
	TAILQ_INSERT_TAIL(&front->forwards, forward, link);
	return forward;
}

void forward_begin(front_t *front, call_t *call)
{
	const http1_head_t *head = call_head(call);
	const char *host = http1_header(head, "host");
	const route_t *route = NULL;
	forward_t *forward;

	counter_add(front->requests, 1);
	if (!front->routes) {
		counter_add(front->refused, 1);
		call_answer(call, STATUS_UNAVAILABLE, RETRY_NOWHERE_MS,
			    "no configuration is known yet\n");
		return;
	}
	if (host)
		route = route_table_find(front->routes, host, head->target);
	if (!route) {
		log_info("no route", "host", host, "path", head->target, NULL);
		call_answer(call, STATUS_NOT_FOUND, 0, "no such route\n");
		return;
	}
	forward = forward_create(front, call, route);
	call_set_data(call, forward);
	forward_try(forward);
}

void forward_caller_gone(forward_t *forward)
{
	counter_add(forward->front->gone, 1);
	log_end(forward, "caller gone", 0);
	forward_over(forward);
}
