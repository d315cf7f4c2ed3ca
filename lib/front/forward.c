#include "front/forward_private.h"

#include <string.h>

#include "base/log.h"

/*
 * An idempotent request that was not answered within this many times its goal
 * goes to another endpoint.
 */
#define PATIENCE_GOALS 2

/*
 * Engines whose holders are asked before the request is refused.  Trial: with
 * five, a day of trouble on 70 instances rose by 0.07 of worth.
 */
#define ASKS_MAX 5

/*
 * Times that an engine may lack an adapter that its holder presumed there;
 * chosen.
 */
#define MISSES_MAX 4

/*
 * A holder answers at once, be it that the request has to wait; chosen: far
 * above an answer between regions, far below a goal.
 */
#define ASK_ANSWER_MS 250

/*
 * A timer that is later than this shows that this process stood still; chosen:
 * far above what a busy loop takes.
 */
#define OWN_STALL_MS 100

/*
 * A load and the wait for a place are over, or refused, within this time: a
 * want is dropped after 4 s (CACHE_REQUEST_TIMEOUT_MS).
 */
#define ASK_WAIT_MAX_MS 4500

/*
 * Left of the goal for the engine itself; chosen: two prompts as
 * long as hold/gate.h lets through at once.
 */
#define GOAL_RESERVE_MS 150

/* A request may wait so long for its place in any case; chosen. */
#define WAIT_MIN_MS 100

/*
 * The longest wait for a place at an engine while others may have one; trial:
 * late answers of a quiet day fell from 112 to 66.
 */
#define FIRST_WAIT_MS 150

/*
 * Part of the pause that a stream may have above which a prompt counts as long;
 * the rest is for the tokens of one event and for what grows with the square of
 * the prompt: of 250 ms 35 and up to 40 ms (on the users' sheets).
 */
#define LONG_PAUSE_PART 0.6

/*
 * Part of the goal in which a long prompt waits at the engine kept for them,
 * where one is read after the other; chosen: the other part is for its own
 * reading.
 */
#define LONG_WAIT_PART 2

/* The last engine that is asked: callers leave after four times the goal. */
#define LAST_WAIT_GOALS 2

/*
 * Part of the time left in which an adapter has to come; chosen: two more
 * parts are left for the answer and one repeat.
 */
#define LOAD_WAIT_PART 3

/* A request may wait so long for its adapter; chosen: a goal and a load. */
#define LOAD_WAIT_MAX_MS 1800

/*
 * An adapter for a further engine is wanted no more often than this; chosen,
 * several loads take less.
 */
#define WANT_AGAIN_MS 3000

ms_t forward_now(const forward_t *forward)
{
	return ms_clock_now(forward->front->clock);
}

/* Whether an endpoint's failure is worth another attempt. */
gboolean forward_may_be_mended(const forward_t *forward)
{
	return forward->is_idempotent &&
	       forward->sends < (guint)forward->route->attempts &&
	       forward_now(forward) < forward->ends_at;
}

/*
 * An attempt has ended without an answer to pass on: go to another endpoint, or
 * to the same one again if that only lacked the adapter.
 */
void forward_again(forward_t *forward, outcome_t outcome, error_kind_t kind)
{
	front_t *front = forward->front;
	ms_t now = forward_now(forward);
	retry_attempt_t failed = {
		.outcome = outcome,
		.kind = kind,
		.is_idempotent = forward->is_idempotent,
		.is_delivered = forward->is_begun,
		.is_resumable = forward->last_event != NULL,
	};

	if (outcome == OUTCOME_NOT_RUN)
		forward->is_not_run = TRUE;
	else
		forward->may_have_run = TRUE;
	if (kind != ERROR_CONFLICT)
		g_ptr_array_add(forward->tried,
				fleet_endpoint_ref(forward->endpoint));
	forward_leave_endpoint(forward);
	forward->state = FORWARD_WAITING;
	if (retry_check_semantics(&failed) == RETRY_FORBIDDEN) {
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
	    !retry_budget_has(front->budget, now, forward->service)) {
		forward->why = "no repeats left";
		forward_fail(forward);
		return;
	}
	forward_try(forward);
}

/* Time for an attempt of a request that may go to another endpoint. */
static ms_t patience_ends(const forward_t *forward)
{
	if (forward->state != FORWARD_SENT || forward->is_begun ||
	    !forward_may_be_mended(forward) || forward->route->goal <= 0)
		return MS_NEVER;
	return forward->sent_at + PATIENCE_GOALS * forward->route->goal;
}

/* When the wait for the holder is given up. */
static ms_t ask_ends(const forward_t *forward)
{
	if (forward->state != FORWARD_WAITING || !forward->ask)
		return MS_NEVER;
	return forward->ask_due;
}

/* The engine that was asked for is not to be had: ask for another. */
static void ask_elsewhere(forward_t *forward)
{
	forward->wait += forward_now(forward) - forward->asked_at;
	g_ptr_array_add(forward->tried, fleet_endpoint_ref(forward->endpoint));
	forward_leave_endpoint(forward);
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
	ms_t now = forward_now(forward);

	if (now >= forward->ends_at) {
		time_is_over(forward);
	} else if (now >= patience_ends(forward)) {
		exchange_cancel(forward->exchange);
		forward->exchange = NULL;
		forward->why = "no answer in time";
		fleet_endpoint_note_failure(forward->endpoint, now);
		forward_again(forward, OUTCOME_UNKNOWN, ERROR_TIMEOUT);
	} else if (now >= ask_ends(forward) + OWN_STALL_MS) {
		/* Timers come before what has arrived: read that first. */
		forward->ask_due = now + ASK_ANSWER_MS;
		forward_set_timer(forward);
	} else if (now >= ask_ends(forward)) {
		forward->why = "the engine's holder is silent";
		if (!forward->is_queued)
			adapters_note_silent(forward->front->adapters,
					     forward->ask);
		ask_elsewhere(forward);
	} else {
		forward_set_timer(forward);
	}
}

void forward_set_timer(forward_t *forward)
{
	ms_t next = MIN(forward->ends_at, patience_ends(forward));
	ms_t wait;

	next = MIN(next, ask_ends(forward));
	wait = next - forward_now(forward);
	uv_timer_start(&forward->timer, on_timer, (uint64_t)MAX(wait, 0), 0);
}

/* FALSE if the request may not be sent once more; it has ended then. */
static gboolean count_arrival(forward_t *forward, ms_t now)
{
	front_t *front = forward->front;

	if (!forward->is_counted) {
		retry_budget_count_request(front->budget, now,
					   forward->service);
		forward->is_counted = TRUE;
	} else if (forward->arrivals) {
		if (!retry_budget_take(front->budget, now, forward->service)) {
			forward->why = "no repeats left";
			forward_leave_endpoint(forward);
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
	ms_t now = forward_now(forward);
	GString *text = g_string_sized_new(1024);
	const http1_head_t *head = call_head(forward->call);
	char *address =
		g_strdup_printf("%s:%d", fleet_endpoint_address(endpoint),
				fleet_endpoint_port(endpoint));
	forward_fields_t fields = {
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
	forward->is_not_run = FALSE;
	forward->state = FORWARD_SENT;
	forward->sent_at = now;
	fleet_endpoint_begin(endpoint);
	forward->exchange = links_send(front->links, endpoint, text,
				       !strcmp(head->method, "HEAD"),
				       &forward_link_events, forward);
	forward_set_timer(forward);
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

/* Whether the reading of its prompt alone makes the streams beside it late. */
static prompt_length_t prompt_length(const forward_t *forward)
{
	double reading = (double)forward->fields.tokens_in * MS_PER_S /
			 (double)forward->front->settings.prefill_per_s;

	if (!forward->route->pause)
		return PROMPT_ANY;
	return reading > LONG_PAUSE_PART * (double)forward->route->pause
		       ? PROMPT_LONG
		       : PROMPT_SHORT;
}

/* How long the request may wait for its place at an engine. */
static ms_t wait_max(const forward_t *forward, ms_t now)
{
	ms_t passed = now - call_arrived_at(forward->call);
	ms_t goal = forward->route->goal;

	if (forward->asks == 1 && prompt_length(forward) == PROMPT_LONG)
		return MAX(goal / LONG_WAIT_PART - passed, FIRST_WAIT_MS);
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
	forward->ask_due = now + ASK_ANSWER_MS;
	forward->is_queued = FALSE;
	forward->is_missing = FALSE;
	forward->ask = adapters_ask(front->adapters, &ask);
	g_hash_table_insert(front->asks,
			    g_memdup2(&forward->ask, sizeof(forward->ask)),
			    forward);
	forward_set_timer(forward);
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

void forward_try(forward_t *forward)
{
	front_t *front = forward->front;
	ms_t now = forward_now(forward);
	fleet_query_t query = {
		.service = forward->service,
		.model = forward->model,
		.adapter = forward->adapter,
		.version = forward->adapter
				   ? declared_version(front, forward->adapter)
				   : 0,
		.prompt = prompt_length(forward),
		.tried = forward->tried,
		.may_load = may_load,
		.ctx = front,
	};
	fleet_choice_t choice = {0};

	if (forward->is_missing)
		query.again = fleet_find(front->fleet, forward->last_endpoint);
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
	forward->is_missing =
		forward->is_missing && choice.endpoint == query.again;
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
	forward->ask_due = forward->asked_at + ASK_WAIT_MAX_MS;
	forward_set_timer(forward);
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
	forward->wait += forward_now(forward) - forward->asked_at;
	forward_leave_endpoint(forward);
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
	forward->service = route_choose_service(route, front->rand);
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
