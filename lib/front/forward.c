#include "front/forward_private.h"

#include <string.h>

#include "base/log.h"

/*
 * An idempotent request that got no answer within this many goals of its route
 * is retried at another endpoint.
 */
#define ATTEMPT_TIMEOUT_GOALS 2

/* Times that endpoints may lack an adapter that was presumed resident. */
#define ADAPTER_MISSES_MAX 4

/*
 * A timer that fires this much late shows that this process was stalled.  Far
 * above what a busy loop takes.
 */
#define OWN_STALL_MS 100

/*
 * Minimum time between two requests for a replica of the same adapter.  Several
 * loads take less.
 */
#define REPLICA_INTERVAL_MS 3000

ms_t forward_now(const forward_t *forward)
{
	return ms_clock_now(forward->front->clock);
}

gboolean forward_may_retry(const forward_t *forward)
{
	return forward->is_idempotent &&
	       forward->endpoint_attempts < (guint)forward->route->attempts &&
	       forward_now(forward) < forward->deadline_at;
}

void forward_retry(forward_t *forward, outcome_t outcome, error_kind_t kind)
{
	front_t *front = forward->front;
	ms_t now = forward_now(forward);
	retry_attempt_t failed = {
		.outcome = outcome,
		.kind = kind,
		.is_idempotent = forward->is_idempotent,
		.is_delivered = forward->is_answer_begun,
		.is_resumable = forward->events.last_id != NULL,
	};

	if (outcome == OUTCOME_NOT_RUN)
		forward->is_known_not_run = TRUE;
	else
		forward->may_have_run = TRUE;
	if (kind != ERROR_CONFLICT)
		g_ptr_array_add(forward->tried,
				fleet_endpoint_ref(forward->endpoint));
	forward_release_endpoint(forward);
	forward->state = FORWARD_WAITING;
	if (retry_check_semantics(&failed) == RETRY_FORBIDDEN) {
		forward_fail(forward);
		return;
	}
	if (now >= forward->deadline_at ||
	    (kind != ERROR_CONFLICT &&
	     forward->endpoint_attempts >= (guint)forward->route->attempts)) {
		forward_fail(forward);
		return;
	}
	/*
	 * The repeat is taken from the budget when the request is sent;
	 * admission may be refused before that.
	 */
	if (forward->transmissions &&
	    !retry_budget_has(front->budget, now, forward->service)) {
		forward->failure_reason = "retry budget exhausted";
		forward_fail(forward);
		return;
	}
	forward_dispatch(forward);
}

/* When an attempt of a request that may be retried times out. */
static ms_t attempt_deadline(const forward_t *forward)
{
	if (forward->state != FORWARD_SENT || forward->is_answer_begun ||
	    !forward_may_retry(forward) || forward->route->goal <= 0)
		return MS_NEVER;
	return forward->sent_at + ATTEMPT_TIMEOUT_GOALS * forward->route->goal;
}

/* When the wait for admission times out. */
static ms_t admission_deadline(const forward_t *forward)
{
	if (forward->state != FORWARD_WAITING || !forward->admission)
		return MS_NEVER;
	return forward->admission_due;
}

/* The engine is not available: tries another one. */
void forward_try_other_endpoint(forward_t *forward)
{
	forward->admission_wait +=
		forward_now(forward) - forward->admission_sent_at;
	g_ptr_array_add(forward->tried, fleet_endpoint_ref(forward->endpoint));
	forward_release_endpoint(forward);
	forward_dispatch(forward);
}

static void on_deadline(forward_t *forward)
{
	gboolean was_sent = forward->state == FORWARD_SENT;

	forward->failure_reason =
		was_sent ? "route timeout" : "route timeout before admission";
	if (forward->is_answer_begun)
		forward_abort(forward);
	else if (was_sent || forward->may_have_run)
		forward_answer(forward, STATUS_GATEWAY_TIMEOUT, 0,
			       "no answer within the time allowed\n");
	else
		forward_refuse(forward, RETRY_FULL_MS);
}

static void on_admission_overdue(forward_t *forward, ms_t now)
{
	/*
	 * libuv runs timers before it polls for I/O, so after a stall of this
	 * process a reply that has arrived is not read yet: allow for that.
	 */
	if (now - forward->admission_due >= OWN_STALL_MS) {
		forward->admission_due = now + HOLDER_REPLY_TIMEOUT_MS;
		forward_set_timer(forward);
		return;
	}
	forward->failure_reason = "the engine's holder is silent";
	if (!forward->is_queued)
		adapters_note_holder_timeout(forward->front->adapters,
					     forward->admission);
	forward_try_other_endpoint(forward);
}

static void on_timer(uv_timer_t *timer)
{
	forward_t *forward = timer->data;
	ms_t now = forward_now(forward);

	if (now >= forward->deadline_at) {
		on_deadline(forward);
	} else if (now >= attempt_deadline(forward)) {
		forward->failure_reason =
			"no answer within the attempt timeout";
		fleet_endpoint_note_failure(forward->endpoint, now);
		forward_retry(forward, OUTCOME_UNKNOWN, ERROR_TIMEOUT);
	} else if (now >= admission_deadline(forward)) {
		on_admission_overdue(forward, now);
	} else {
		forward_set_timer(forward);
	}
}

void forward_set_timer(forward_t *forward)
{
	ms_t next = MIN(forward->deadline_at, attempt_deadline(forward));
	ms_t wait;

	next = MIN(next, admission_deadline(forward));
	wait = next - forward_now(forward);
	uv_timer_start(&forward->timer, on_timer, (uint64_t)MAX(wait, 0), 0);
}

/*
 * Returns FALSE if the retry budget is exhausted; the request has ended then.
 */
static gboolean count_transmission(forward_t *forward, ms_t now)
{
	front_t *front = forward->front;

	if (!forward->is_budgeted) {
		retry_budget_count_request(front->budget, now,
					   forward->service);
		forward->is_budgeted = TRUE;
	} else if (forward->transmissions) {
		if (!retry_budget_take(front->budget, now, forward->service)) {
			forward->failure_reason = "retry budget exhausted";
			forward_release_endpoint(forward);
			forward_fail(forward);
			return FALSE;
		}
		counter_add(front->repeats, 1);
	}
	forward->transmissions++;
	return TRUE;
}

/*
 * Ends the request at once if its prompt has a part that crashes engines.
 * Returns whether it has ended.
 */
static gboolean end_if_held(forward_t *forward)
{
	ms_t time_left = front_parts_held(forward->front, forward->parts);

	if (!time_left)
		return FALSE;
	forward->failure_reason = "the prompt has a part that crashes engines";
	forward_release_endpoint(forward);
	if (forward->is_answer_begun || forward->may_have_run)
		forward_fail(forward);
	else
		forward_refuse(forward, time_left);
	return TRUE;
}

void forward_send(forward_t *forward)
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
		.deadline = MAX(forward->deadline_at - now, 1),
		.priority = forward_priority(forward),
		.after_event = forward->events.last_id,
		.has_organisations =
			route_table_organisations(forward->routes) != NULL,
		.organisation = forward->organisation
					? forward->organisation->name
					: NULL,
	};
	links_request_t request = {
		.id = forward->fields.id,
		.is_head_method = !strcmp(head->method, "HEAD"),
	};
	size_t size;

	if (!fleet_endpoint_takes_reserved(endpoint, now)) {
		forward->failure_reason = "endpoint takes no request any more";
		g_string_free(text, TRUE);
		g_free(address);
		forward_try_other_endpoint(forward);
		return;
	}
	if (end_if_held(forward) || !count_transmission(forward, now)) {
		g_string_free(text, TRUE);
		g_free(address);
		return;
	}
	request.body = call_body(forward->call, &size);
	g_assert(!forward->may_have_run || forward->is_idempotent);
	headers_render_request(text, head, &fields, size);
	g_free(address);
	forward->endpoint_attempts++;
	forward->is_known_not_run = FALSE;
	forward->state = FORWARD_SENT;
	forward->sent_at = now;
	forward->attempt.is_resumed = forward->events.last_id != NULL;
	fleet_endpoint_unreserve(endpoint);
	fleet_endpoint_begin(endpoint, now);
	request.text = text;
	forward->attempt.exchange = links_send(front->links, endpoint, &request,
					       &forward_link_events, forward);
	forward_set_timer(forward);
}

int64_t forward_declared_version(front_t *front, const char *adapter)
{
	const int64_t *version = g_hash_table_lookup(front->versions, adapter);

	return version ? *version : 0;
}

/* Requests a replica of a frequently used adapter at one more engine. */
static void prefetch_replica(front_t *front, const fleet_endpoint_t *engine,
			     const char *adapter)
{
	ms_t now = ms_clock_now(front->clock);
	const ms_t *last =
		g_hash_table_lookup(front->replica_requests, adapter);

	if (last && now - *last < REPLICA_INTERVAL_MS)
		return;
	g_hash_table_insert(front->replica_requests, g_strdup(adapter),
			    g_memdup2(&now, sizeof(now)));
	adapters_prefetch(front->adapters, fleet_endpoint_id(engine), adapter,
			  forward_declared_version(front, adapter));
}

static gboolean may_load(void *ctx, const fleet_endpoint_t *endpoint)
{
	const front_t *front = ctx;

	return adapters_can_reach_holder(front->adapters,
					 fleet_endpoint_id(endpoint));
}

static void fail_without_endpoint(forward_t *forward)
{
	ms_t now = forward_now(forward);
	standing_t why;
	ms_t time =
		fleet_refusal_time(forward->front->fleet, now, forward->service,
				   forward->deadline_at - now, &why);

	if (time) {
		forward->failure_reason =
			why == STANDING_LIMITED
				? "all endpoints named a request limit"
				: "all endpoints asked for quiet";
		forward->retry_after = time;
	}
	if (!forward->failure_reason)
		forward->failure_reason = "no usable endpoint";
	if (forward->is_answer_begun)
		forward_abort(forward);
	else
		forward_refuse(forward, forward->retry_after
						? RETRY_FULL_MS
						: RETRY_NO_ENDPOINT_MS);
}

void forward_dispatch(forward_t *forward)
{
	front_t *front = forward->front;
	ms_t now = forward_now(forward);
	fleet_query_t query = {
		.service = forward->service,
		.model = forward->model,
		.adapter = forward->adapter,
		.version = forward->adapter ? forward_declared_version(
						      front, forward->adapter)
					    : 0,
		.prompt = forward_prompt_length(forward),
		.prefill_share = forward_prefill_share(forward),
		.tried = forward->tried,
		.may_load = may_load,
		.ctx = front,
	};
	fleet_choice_t choice = {0};

	if (end_if_held(forward))
		return;
	if (forward->is_missing)
		query.again = fleet_find(front->fleet, forward->last_endpoint);
	if (forward->admission_tries < ADMISSION_TRIES_MAX &&
	    forward->adapter_misses < ADAPTER_MISSES_MAX)
		fleet_choose(front->fleet, now, &query, &choice);
	/*
	 * No holder is known, as after a start: the adapter is most likely
	 * resident where the hash places it; an engine that lacks it says so.
	 */
	if (!choice.endpoint && !forward->admission_tries &&
	    !forward->transmissions) {
		query.may_load = NULL;
		fleet_choose(front->fleet, now, &query, &choice);
	}
	if (!choice.endpoint) {
		fail_without_endpoint(forward);
		return;
	}
	forward->is_missing =
		forward->is_missing && choice.endpoint == query.again;
	forward->endpoint = fleet_endpoint_ref(choice.endpoint);
	fleet_endpoint_reserve(forward->endpoint);
	g_free(forward->last_endpoint);
	forward->last_endpoint = g_strdup(fleet_endpoint_id(choice.endpoint));
	if (choice.replica)
		prefetch_replica(front, choice.replica, forward->adapter);
	if (forward->model && may_load(front, choice.endpoint))
		forward_request_admission(forward);
	else
		forward_send(forward);
}

/* Parses "model/adapter", or "model" alone. */
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
				 const route_t *route,
				 const organisation_t *organisation)
{
	forward_t *forward = g_new0(forward_t, 1);
	ms_t time;

	forward->front = front;
	forward->call = call;
	forward->routes = route_table_ref(front->routes);
	forward->route = route;
	forward->organisation = organisation;
	forward->service = route_choose_service(route, front->rand);
	headers_read_request(call_head(call), &forward->fields);
	read_adapter(forward);
	forward->parts = headers_shared_parts(
		forward->model ? forward->fields.parts : NULL);
	forward->is_stream = route->kind == ROUTE_STREAMING;
	forward->is_idempotent = route->kind == ROUTE_IDEMPOTENT ||
				 (forward->is_stream && route->is_resumable);
	event_order_init(&forward->events,
			 forward->is_stream && route->is_resumable
				 ? forward->fields.after_event
				 : NULL);
	time = MIN(route->timeout, forward->fields.deadline);
	forward->deadline_at = call_arrived_at(call) + time;
	forward->state = FORWARD_WAITING;
	forward->tried = g_ptr_array_new_with_free_func(
		(GDestroyNotify)fleet_endpoint_unref);
	forward->attempt.buffered = g_byte_array_new();
	forward->attempt.partial_event = g_string_new(NULL);
	uv_timer_init(process_loop(front->process), &forward->timer);
	forward->timer.data = forward;
	TAILQ_INSERT_TAIL(&front->forwards, forward, link);
	return forward;
}

/*
 * Ends a request that no endpoint can serve; returns FALSE for any other.  What
 * a prompt of that size would take counts for nobody.
 */
static gboolean refuse_unservable(forward_t *forward)
{
	const service_t *service =
		route_table_service(forward->routes, forward->service);

	if (!service || !service->is_engine)
		return FALSE;
	if (forward->fields.fault) {
		forward->failure_reason = "a header can't be read";
		forward_answer(forward, STATUS_BAD_REQUEST, 0,
			       forward->fields.fault);
		return TRUE;
	}
	if (!service->tokens_max ||
	    forward->fields.tokens_in <= service->tokens_max)
		return FALSE;
	forward->failure_reason = "no engine can hold the prompt";
	forward_answer(forward, STATUS_UNAVAILABLE, 0,
		       "no endpoint can hold a prompt of this size\n");
	return TRUE;
}

void forward_begin(front_t *front, call_t *call)
{
	const http1_head_t *head = call_head(call);
	const char *host = http1_header(head, "host");
	const route_t *route = NULL;
	const organisation_t *organisation;
	forward_t *forward;

	counter_add(front->requests, 1);
	if (!front->routes) {
		counter_add(front->refused, 1);
		call_answer(call, STATUS_UNAVAILABLE, RETRY_NO_ENDPOINT_MS,
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
	if (!forward_authenticate(front, call, route, &organisation))
		return;
	forward = forward_create(front, call, route, organisation);
	call_set_data(call, forward);
	forward_count_request(forward);
	if (front_may_end_during(front,
				 forward->deadline_at - forward_now(forward))) {
		forward->failure_reason = "planned stop";
		forward_refuse(forward, RETRY_STOPPING_MS);
		return;
	}
	if (!refuse_unservable(forward))
		forward_charge(forward);
}
