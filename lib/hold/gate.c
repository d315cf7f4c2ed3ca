#include "hold/gate.h"

#include <sys/queue.h>

/*
 * Weight of the newest request in the moving average of run times; about the
 * last twenty requests count.
 */
#define RUN_WEIGHT 0.05

struct ticket {
	TAILQ_ENTRY(ticket) link;
	gate_request_t request;
	void *data;
	gboolean is_waiting;
	ms_t started_at;
};

TAILQ_HEAD(ticket_list, ticket);

struct gate {
	gate_options_t options;
	gate_actions_t actions;
	void *ctx;
	struct ticket_list waiting; /* in the order of admission */
	struct ticket_list running;
	int waiting_count;
	int running_count;
	double prefill_credit; /* in ms of prefill; may be negative */
	ms_t refilled_at;
	double mean_run_time; /* in ms */
};

gate_t *gate_create(const gate_options_t *options,
		    const gate_actions_t *actions, void *ctx)
{
	gate_t *gate = g_new0(gate_t, 1);

	gate->options = *options;
	gate->actions = *actions;
	gate->ctx = ctx;
	gate->prefill_credit = ADMISSION_PREFILL_BURST_MS;
	gate->mean_run_time = ADMISSION_INITIAL_RUN_MS;
	TAILQ_INIT(&gate->waiting);
	TAILQ_INIT(&gate->running);
	return gate;
}

static void free_tickets(struct ticket_list *list)
{
	ticket_t *ticket;

	while ((ticket = TAILQ_FIRST(list))) {
		TAILQ_REMOVE(list, ticket, link);
		g_free(ticket);
	}
}

void gate_destroy(gate_t *gate)
{
	free_tickets(&gate->waiting);
	free_tickets(&gate->running);
	g_free(gate);
}

void gate_set_options(gate_t *gate, const gate_options_t *options)
{
	gate->options = *options;
}

static double prefill_time(const gate_t *gate, const gate_request_t *request)
{
	return (double)request->prompt / gate->options.prefill_per_ms;
}

static void refill(gate_t *gate, ms_t now)
{
	double elapsed = (double)(now - gate->refilled_at);

	gate->prefill_credit += ADMISSION_PREFILL_SHARE * elapsed;
	gate->prefill_credit =
		MIN(gate->prefill_credit, ADMISSION_PREFILL_BURST_MS);
	gate->refilled_at = now;
}

/*
 * A prompt that exceeds the bucket's capacity is admitted when the bucket is
 * full, and leaves a negative credit that must be refilled first.
 */
static gboolean has_prefill_credit(const gate_t *gate,
				   const gate_request_t *request)
{
	double needed =
		MIN(prefill_time(gate, request), ADMISSION_PREFILL_BURST_MS);

	return gate->prefill_credit >= needed;
}

ms_t gate_wait(const gate_t *gate, ms_t now, const gate_request_t *request)
{
	const ticket_t *ticket;
	double prefill = prefill_time(gate, request);
	double credit =
		gate->prefill_credit +
		ADMISSION_PREFILL_SHARE * (double)(now - gate->refilled_at);
	double place_wait = 0;
	int ahead = 0;

	credit = MIN(credit, ADMISSION_PREFILL_BURST_MS);
	prefill = MIN(prefill, ADMISSION_PREFILL_BURST_MS);
	TAILQ_FOREACH (ticket, &gate->waiting, link) {
		if (ticket->request.priority > request->priority)
			break;
		prefill += prefill_time(gate, &ticket->request);
		ahead++;
	}
	ahead += 1 + gate->running_count - gate->options.places;
	if (ahead > 0)
		place_wait = ahead * gate->mean_run_time / gate->options.places;
	return (ms_t)MAX(place_wait,
			 (prefill - credit) / ADMISSION_PREFILL_SHARE);
}

static void enqueue(gate_t *gate, ticket_t *ticket)
{
	ticket_t *queued;

	gate->waiting_count++;
	TAILQ_FOREACH (queued, &gate->waiting, link) {
		if (queued->request.priority > ticket->request.priority) {
			TAILQ_INSERT_BEFORE(queued, ticket, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&gate->waiting, ticket, link);
}

ticket_t *gate_submit(gate_t *gate, ms_t now, const gate_request_t *request,
		      void *data, ms_t *wait)
{
	ticket_t *ticket;

	*wait = gate_wait(gate, now, request);
	if (*wait > request->wait_max)
		return NULL;
	ticket = g_new0(ticket_t, 1);
	ticket->request = *request;
	ticket->data = data;
	ticket->is_waiting = TRUE;
	enqueue(gate, ticket);
	return ticket;
}

void gate_done(gate_t *gate, ms_t now, ticket_t *ticket, gboolean has_run)
{
	if (ticket->is_waiting) {
		TAILQ_REMOVE(&gate->waiting, ticket, link);
		gate->waiting_count--;
	} else {
		TAILQ_REMOVE(&gate->running, ticket, link);
		gate->running_count--;
		if (has_run)
			gate->mean_run_time +=
				RUN_WEIGHT *
				((double)(now - ticket->started_at) -
				 gate->mean_run_time);
		else
			gate->prefill_credit +=
				prefill_time(gate, &ticket->request);
	}
	g_free(ticket);
}

void *ticket_data(const ticket_t *ticket)
{
	return ticket->data;
}

gboolean ticket_is_waiting(const ticket_t *ticket)
{
	return ticket->is_waiting;
}

void gate_tick(gate_t *gate, ms_t now)
{
	ticket_t *ticket;

	refill(gate, now);
	while ((ticket = TAILQ_FIRST(&gate->waiting)) &&
	       gate->running_count < gate->options.places &&
	       has_prefill_credit(gate, &ticket->request)) {
		TAILQ_REMOVE(&gate->waiting, ticket, link);
		gate->waiting_count--;
		gate->prefill_credit -= prefill_time(gate, &ticket->request);
		TAILQ_INSERT_TAIL(&gate->running, ticket, link);
		gate->running_count++;
		ticket->is_waiting = FALSE;
		ticket->started_at = now;
		gate->actions.go(gate->ctx, ticket);
	}
}

int gate_running(const gate_t *gate)
{
	return gate->running_count;
}

int gate_waiting(const gate_t *gate)
{
	return gate->waiting_count;
}
