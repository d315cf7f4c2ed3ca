#include "hold/admission_queue.h"

#include <math.h>
#include <sys/queue.h>

#include "hold/fair_queue.h"

/*
 * Weight of the newest request in the moving average of run times; about the
 * last twenty requests count.
 */
#define RUN_WEIGHT 0.05

/*
 * The measured time between two ends is trusted within this factor of what the
 * mean run time and the places give.
 */
#define SERVICE_TIME_RANGE 4

struct ticket {
	TAILQ_ENTRY(ticket) link;
	admission_queue_request_t request;
	void *data;
	fair_flow_t *flow; /* NULL if it came while the policy was off */
	int64_t start;	   /* in the order of the flows */
	int64_t cost;
	gboolean is_waiting;
	ms_t started_at;
	double prefill; /* credit taken at the admission, in ms */
};

TAILQ_HEAD(ticket_list, ticket);

/* Requests of one priority. */
typedef struct {
	int running;
	double rate; /* of arrivals per ms, as of arrived_at */
	ms_t arrived_at;
	fair_queue_t *flows; /* NULL before the first one */
} priority_state_t;

struct admission_queue {
	admission_queue_options_t options;
	admission_queue_actions_t actions;
	void *ctx;
	struct ticket_list waiting; /* in the order of admission */
	struct ticket_list running;
	int waiting_count;
	int running_count;
	double prefill_credit; /* in ms of prefill; may be negative */
	double pace;	       /* time for work; 1.0 as usual */
	ms_t refilled_at;
	double mean_run_time; /* in ms */
	/* Time between the ends of two requests while others wait, in ms. */
	double service_time;
	ms_t ended_at;	    /* the newest end while others waited, or 0 */
	double retry_shift; /* of the newest refusal, in ms */
	gboolean is_policy_on;
	priority_state_t priorities[ADMISSION_PRIORITIES];
};

admission_queue_t *
admission_queue_create(const admission_queue_options_t *options,
		       const admission_queue_actions_t *actions, void *ctx)
{
	admission_queue_t *admission_queue = g_new0(admission_queue_t, 1);

	admission_queue->options = *options;
	admission_queue->actions = *actions;
	admission_queue->ctx = ctx;
	admission_queue->prefill_credit = ADMISSION_PREFILL_BURST_MS;
	admission_queue->mean_run_time = ADMISSION_INITIAL_RUN_MS;
	admission_queue->pace = 1.0;
	TAILQ_INIT(&admission_queue->waiting);
	TAILQ_INIT(&admission_queue->running);
	return admission_queue;
}

static void free_tickets(struct ticket_list *list)
{
	ticket_t *ticket;

	while ((ticket = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, ticket, link);
		g_free(ticket);
	}
}

void admission_queue_destroy(admission_queue_t *admission_queue)
{
	int i;

	free_tickets(&admission_queue->waiting);
	free_tickets(&admission_queue->running);
	for (i = 0; i < ADMISSION_PRIORITIES; i++)
		g_clear_pointer(&admission_queue->priorities[i].flows,
				fair_queue_destroy);
	g_free(admission_queue);
}

void admission_queue_set_options(admission_queue_t *admission_queue,
				 const admission_queue_options_t *options)
{
	admission_queue->options = *options;
}

void admission_queue_set_pace(admission_queue_t *admission_queue, int percent)
{
	admission_queue->pace = percent / 100.0;
}

static double prefill_share(const admission_queue_t *admission_queue)
{
	return admission_queue->is_policy_on ? ADMISSION_PREFILL_SHARE_POLICY
					     : ADMISSION_PREFILL_SHARE;
}

static double prefill_time(const admission_queue_t *admission_queue,
			   const admission_queue_request_t *request)
{
	int64_t max = admission_queue->options.prompt_max;
	int64_t prompt =
		CLAMP(request->prompt, 0, max > 0 ? max : ADMISSION_PROMPT_MAX);

	return (double)prompt / admission_queue->options.prefill_per_ms *
	       admission_queue->pace;
}

static void refill(admission_queue_t *admission_queue, ms_t now)
{
	double elapsed = (double)(now - admission_queue->refilled_at);

	admission_queue->prefill_credit +=
		prefill_share(admission_queue) * elapsed;
	admission_queue->prefill_credit = MIN(admission_queue->prefill_credit,
					      ADMISSION_PREFILL_BURST_MS);
	admission_queue->refilled_at = now;
}

/*
 * A prompt that exceeds the bucket's capacity is admitted when the bucket is
 * full, and leaves a negative credit that must be refilled first.
 */
static gboolean has_prefill_credit(const admission_queue_t *admission_queue,
				   const admission_queue_request_t *request)
{
	double needed = MIN(prefill_time(admission_queue, request),
			    ADMISSION_PREFILL_BURST_MS);

	return admission_queue->prefill_credit >= needed;
}

void admission_queue_set_policy(admission_queue_t *admission_queue,
				gboolean is_on)
{
	admission_queue->is_policy_on = is_on;
}

static int class_of(int priority)
{
	return CLAMP(priority, 0, ADMISSION_PRIORITIES - 1);
}

static double arrival_rate(const priority_state_t *state, ms_t now)
{
	double age = (double)(now - state->arrived_at);

	return state->rate * exp(-age / ADMISSION_RESERVE_AGE_MS);
}

static void note_arrival(admission_queue_t *admission_queue, ms_t now,
			 int priority)
{
	priority_state_t *state =
		&admission_queue->priorities[class_of(priority)];

	state->rate = arrival_rate(state, now) + 1.0 / ADMISSION_RESERVE_AGE_MS;
	state->arrived_at = now;
}

/* Returns the arrivals of higher priorities per ms. */
static double higher_arrival_rate(const admission_queue_t *admission_queue,
				  ms_t now, int priority)
{
	double rate = 0;
	int i;

	for (i = 0; i < class_of(priority); i++) {
		const priority_state_t *state = &admission_queue->priorities[i];

		if (state->rate > 0 &&
		    now - state->arrived_at < ADMISSION_RESERVE_AGE_MS)
			rate += arrival_rate(state, now);
	}
	return rate;
}

int admission_queue_reserve(const admission_queue_t *admission_queue, ms_t now,
			    int priority)
{
	int most = MAX(
		admission_queue->options.places / ADMISSION_RESERVE_DIVISOR, 1);
	double rate = higher_arrival_rate(admission_queue, now, priority);

	if (!admission_queue->is_policy_on)
		return 0;
	return MIN((int)ceil(rate * ADMISSION_RESERVE_SPAN_MS), most);
}

/* Returns the share of the places left to this priority and lower ones. */
static int places_left_to_low(const admission_queue_t *admission_queue,
			      int priority)
{
	int left =
		admission_queue->options.places / ADMISSION_LOW_SHARE_DIVISOR;
	int i;

	if (!admission_queue->is_policy_on)
		return 0;
	for (i = class_of(priority); i < ADMISSION_PRIORITIES; i++)
		left -= admission_queue->priorities[i].running;
	return MAX(left, 0);
}

/* Returns the time in which one place is free again. */
static double service_time(const admission_queue_t *admission_queue)
{
	double usual = admission_queue->mean_run_time /
		       admission_queue->options.places;

	if (!admission_queue->is_policy_on ||
	    admission_queue->service_time <= 0)
		return usual;
	return CLAMP(admission_queue->service_time, usual / SERVICE_TIME_RANGE,
		     usual * SERVICE_TIME_RANGE);
}

static void note_end(admission_queue_t *admission_queue, ms_t now)
{
	double since = (double)(now - admission_queue->ended_at);

	if (!admission_queue->waiting_count) {
		admission_queue->ended_at = 0;
		return;
	}
	if (admission_queue->service_time <= 0)
		admission_queue->service_time = admission_queue->mean_run_time /
						admission_queue->options.places;
	if (admission_queue->ended_at)
		admission_queue->service_time +=
			RUN_WEIGHT * (since - admission_queue->service_time);
	admission_queue->ended_at = now;
}

/* Higher priorities that arrive meanwhile take places, but for a share. */
static double
service_time_left_by_higher(const admission_queue_t *admission_queue, ms_t now,
			    int priority)
{
	double rate = 1 / service_time(admission_queue);
	double left =
		rate - higher_arrival_rate(admission_queue, now, priority);

	if (!admission_queue->is_policy_on)
		return service_time(admission_queue);
	return 1 / MAX(left, rate / ADMISSION_LOW_SHARE_DIVISOR);
}

/*
 * Returns the wait for so many places.  Where the policy is on, those after the
 * first count more: who waits at the edge of its limit would be late in half of
 * the cases.
 */
static double wait_for_places(const admission_queue_t *admission_queue,
			      int places, double time)
{
	if (places <= 0)
		return 0;
	if (!admission_queue->is_policy_on)
		return places * admission_queue->mean_run_time /
		       admission_queue->options.places;
	return (1 + (places - 1) * ADMISSION_WAIT_MARGIN) * time;
}

/* Returns the wait for a place behind the tickets ahead of the request. */
static double place_wait(const admission_queue_t *admission_queue, ms_t now,
			 int priority, int ahead, int ahead_low)
{
	int missing = 1 + admission_queue->running_count -
		      admission_queue->options.places;

	if (places_left_to_low(admission_queue, priority) > ahead_low)
		return wait_for_places(admission_queue, missing + ahead_low,
				       service_time(admission_queue));
	missing +=
		ahead + admission_queue_reserve(admission_queue, now, priority);
	return wait_for_places(
		admission_queue, missing,
		service_time_left_by_higher(admission_queue, now, priority));
}

static const char *flow_name(const admission_queue_request_t *request)
{
	return request->flow ? request->flow : "";
}

/* Returns the place of the request in the order of the flows. */
static int64_t flow_start(const admission_queue_t *admission_queue, ms_t now,
			  const admission_queue_request_t *request)
{
	const priority_state_t *state =
		&admission_queue->priorities[class_of(request->priority)];

	return admission_queue->is_policy_on && state->flows
		       ? fair_queue_start(state->flows, now, flow_name(request))
		       : 0;
}

/* Whether the ticket goes before a request with this priority and start. */
static gboolean is_ahead(const ticket_t *ticket, int priority, int64_t start)
{
	return ticket->request.priority < priority ||
	       (ticket->request.priority == priority && ticket->start <= start);
}

ms_t admission_queue_estimate_wait(const admission_queue_t *admission_queue,
				   ms_t now,
				   const admission_queue_request_t *request)
{
	const ticket_t *ticket;
	double prefill = prefill_time(admission_queue, request);
	double credit = admission_queue->prefill_credit +
			prefill_share(admission_queue) *
				(double)(now - admission_queue->refilled_at);
	int64_t start = flow_start(admission_queue, now, request);
	int ahead = 0;
	int ahead_low = 0; /* of the request's own priority */

	credit = MIN(credit, ADMISSION_PREFILL_BURST_MS);
	prefill = MIN(prefill, ADMISSION_PREFILL_BURST_MS);
	TAILQ_FOREACH (ticket, &admission_queue->waiting, link) {
		if (!is_ahead(ticket, request->priority, start))
			break;
		prefill += prefill_time(admission_queue, &ticket->request);
		ahead++;
		ahead_low += ticket->request.priority == request->priority;
	}
	return (ms_t)MAX(place_wait(admission_queue, now, request->priority,
				    ahead, ahead_low),
			 (prefill - credit) / prefill_share(admission_queue));
}

static void enqueue(admission_queue_t *admission_queue, ticket_t *ticket)
{
	ticket_t *queued;

	admission_queue->waiting_count++;
	TAILQ_FOREACH (queued, &admission_queue->waiting, link) {
		if (!is_ahead(queued, ticket->request.priority,
			      ticket->start)) {
			TAILQ_INSERT_BEFORE(queued, ticket, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&admission_queue->waiting, ticket, link);
}

static fair_queue_t *flows_of(admission_queue_t *admission_queue, int priority)
{
	priority_state_t *state =
		&admission_queue->priorities[class_of(priority)];

	if (!state->flows)
		state->flows = fair_queue_create();
	return state->flows;
}

static void join_flow(admission_queue_t *admission_queue, ms_t now,
		      ticket_t *ticket)
{
	admission_queue_request_t *request = &ticket->request;
	fair_queue_t *flows = flows_of(admission_queue, request->priority);

	ticket->cost = request->cost ? request->cost
				     : fair_queue_cost(request->prompt, 0);
	ticket->flow = fair_queue_add(flows, now, flow_name(request),
				      ticket->cost, &ticket->start);
	request->flow = NULL;
}

/* A request that has not run gives its cost back. */
static void leave_flow(admission_queue_t *admission_queue,
		       const ticket_t *ticket, gboolean has_run)
{
	priority_state_t *state =
		&admission_queue
			 ->priorities[class_of(ticket->request.priority)];

	if (ticket->flow)
		fair_queue_end(state->flows, ticket->flow,
			       has_run ? 0 : ticket->cost);
}

/* An engine can't have read a prompt for longer than it had the request. */
static void settle_prefill(admission_queue_t *admission_queue, ms_t now,
			   const ticket_t *ticket, gboolean has_run)
{
	double time = (double)MAX(now - ticket->started_at, 0);
	double used = has_run ? MIN(ticket->prefill, time) : 0;

	admission_queue->prefill_credit += ticket->prefill - used;
}

/* With nothing to share, nobody owes anything. */
static void clear_flows(admission_queue_t *admission_queue)
{
	int i;

	for (i = 0; i < ADMISSION_PRIORITIES; i++) {
		if (admission_queue->priorities[i].flows)
			fair_queue_clear(admission_queue->priorities[i].flows);
	}
}

/*
 * Refused callers are told times one after the other, as places become free,
 * from the wait to twice the wait, or ADMISSION_RETRY_SPREAD_MS later.
 */
static void note_refusal(admission_queue_t *admission_queue, ms_t now,
			 const admission_queue_request_t *request, ms_t *wait)
{
	fair_queue_refuse(flows_of(admission_queue, request->priority), now,
			  flow_name(request));
	admission_queue->retry_shift += service_time(admission_queue);
	if (admission_queue->retry_shift >
	    (double)MAX(*wait, ADMISSION_RETRY_SPREAD_MS))
		admission_queue->retry_shift = 0;
	*wait = MIN(*wait + (ms_t)admission_queue->retry_shift,
		    MAX(*wait, ADMISSION_RETRY_MAX_MS));
}

ticket_t *admission_queue_submit(admission_queue_t *admission_queue, ms_t now,
				 const admission_queue_request_t *request,
				 void *data, ms_t *wait)
{
	ticket_t *ticket;

	note_arrival(admission_queue, now, request->priority);
	*wait = admission_queue_estimate_wait(admission_queue, now, request);
	if (*wait > request->wait_max) {
		if (admission_queue->is_policy_on)
			note_refusal(admission_queue, now, request, wait);
		return NULL;
	}
	ticket = g_new0(ticket_t, 1);
	ticket->request = *request;
	ticket->data = data;
	ticket->is_waiting = TRUE;
	if (admission_queue->is_policy_on)
		join_flow(admission_queue, now, ticket);
	enqueue(admission_queue, ticket);
	return ticket;
}

void admission_queue_done(admission_queue_t *admission_queue, ms_t now,
			  ticket_t *ticket, gboolean has_run)
{
	leave_flow(admission_queue, ticket, has_run && !ticket->is_waiting);
	if (ticket->is_waiting) {
		TAILQ_REMOVE(&admission_queue->waiting, ticket, link);
		admission_queue->waiting_count--;
	} else {
		TAILQ_REMOVE(&admission_queue->running, ticket, link);
		admission_queue->running_count--;
		admission_queue->priorities[class_of(ticket->request.priority)]
			.running--;
		note_end(admission_queue, now);
		settle_prefill(admission_queue, now, ticket, has_run);
		if (has_run)
			admission_queue->mean_run_time +=
				RUN_WEIGHT *
				((double)(now - ticket->started_at) -
				 admission_queue->mean_run_time);
	}
	g_free(ticket);
	if (!admission_queue->running_count && !admission_queue->waiting_count)
		clear_flows(admission_queue);
}

void *ticket_data(const ticket_t *ticket)
{
	return ticket->data;
}

gboolean ticket_is_waiting(const ticket_t *ticket)
{
	return ticket->is_waiting;
}

/*
 * Returns the ticket to be admitted next, or NULL if no place may be used: the
 * first one, unless a lower priority lacks its share.
 */
static ticket_t *next_ticket(const admission_queue_t *admission_queue, ms_t now)
{
	ticket_t *first = TAILQ_FIRST(&admission_queue->waiting);
	ticket_t *ticket;
	int priority;

	if (!first ||
	    admission_queue->running_count >= admission_queue->options.places)
		return NULL;
	priority = first->request.priority;
	TAILQ_FOREACH (ticket, &admission_queue->waiting, link) {
		if (ticket->request.priority == priority)
			continue;
		priority = ticket->request.priority;
		if (places_left_to_low(admission_queue, priority))
			return ticket;
	}
	priority = first->request.priority;
	if (admission_queue->running_count +
			    admission_queue_reserve(admission_queue, now,
						    priority) <
		    admission_queue->options.places ||
	    places_left_to_low(admission_queue, priority))
		return first;
	return NULL;
}

static void admit(admission_queue_t *admission_queue, ms_t now,
		  ticket_t *ticket)
{
	TAILQ_REMOVE(&admission_queue->waiting, ticket, link);
	admission_queue->waiting_count--;
	ticket->prefill = prefill_time(admission_queue, &ticket->request);
	admission_queue->prefill_credit -= ticket->prefill;
	TAILQ_INSERT_TAIL(&admission_queue->running, ticket, link);
	admission_queue->running_count++;
	admission_queue->priorities[class_of(ticket->request.priority)]
		.running++;
	if (ticket->flow)
		fair_queue_serve(
			admission_queue
				->priorities[class_of(ticket->request.priority)]
				.flows,
			ticket->start);
	ticket->is_waiting = FALSE;
	ticket->started_at = now;
	admission_queue->actions.go(admission_queue->ctx, ticket);
}

void admission_queue_tick(admission_queue_t *admission_queue, ms_t now)
{
	ticket_t *ticket;

	refill(admission_queue, now);
	while ((ticket = next_ticket(admission_queue, now)) &&
	       has_prefill_credit(admission_queue, &ticket->request))
		admit(admission_queue, now, ticket);
}

int admission_queue_running(const admission_queue_t *admission_queue)
{
	return admission_queue->running_count;
}

int admission_queue_waiting(const admission_queue_t *admission_queue)
{
	return admission_queue->waiting_count;
}

int64_t admission_queue_flow_spread(const admission_queue_t *admission_queue)
{
	int64_t spread = 0;
	int i;

	for (i = 0; i < ADMISSION_PRIORITIES; i++) {
		const fair_queue_t *flows =
			admission_queue->priorities[i].flows;

		if (flows)
			spread = MAX(spread, fair_queue_spread(flows));
	}
	return spread;
}
