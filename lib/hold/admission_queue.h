#ifndef HOLD_ADMISSION_QUEUE_H
#define HOLD_ADMISSION_QUEUE_H

/*
 * Admission of requests to one engine, by the instance that holds it.
 *
 * All instances ask the holder before they send a request to the engine, so
 * that one process knows what runs there.  A request is admitted when
 *
 *  - fewer requests than the engine's limit are running, and
 *  - a token bucket has credit for the prefill of its prompt.  An engine reads
 *    prompts between the decode steps of its streams, so many prompts at once
 *    are a pause in each stream.  The bucket spreads them out.  What a request
 *    states counts up to what an engine can hold, and when the request ends, up
 *    to the time that it was at the engine: the rest is given back.
 *
 * The queue is ordered by priority, then by arrival.  A request that would wait
 * longer than its limit is refused at once.
 *
 * Where the overload policy is on, places are kept free for higher priorities
 * that arrived lately, so that a burst of lower ones does not take the last
 * places from requests that can't wait; none once these stay away.  A lower
 * priority keeps a share of the places, however many higher ones wait.  Within
 * one priority the flows are served in turns (hold/fair_queue.h), not by
 * arrival.
 *
 * No I/O and no clock: the time is an argument of each call.
 * admission_queue_tick() calls go(), which must not call back.
 */

#include <glib.h>

#include "base/clock.h"

/* The share of an engine's time that prefill may take while streams run. */
#define ADMISSION_PREFILL_SHARE 0.5

/*
 * The same where the overload policy is on.  Events of 40 to 70 ms then take
 * four times as long at most, below the pauses of 300 ms that callers accept.
 */
#define ADMISSION_PREFILL_SHARE_POLICY 0.75

/*
 * Capacity of the token bucket, in ms of prefill.  It is kept well below
 * 250 ms, from which on a pause between tokens is late.
 */
#define ADMISSION_PREFILL_BURST_MS 75

/*
 * Longest prompt that is charged, in tokens, where it is not known what an
 * engine can hold.
 */
#define ADMISSION_PROMPT_MAX (256 * 1024)

/* The initial estimate of the mean time that a request runs. */
#define ADMISSION_INITIAL_RUN_MS 1500

/* Highest cost of a request: what fair_queue_cost() returns at most. */
#define ADMISSION_COST_MAX ((int64_t)11 * G_MAXINT32)

/* Factor of the wait for each place after the first; see the estimate. */
#define ADMISSION_WAIT_MARGIN 1.5

/* Times named to refused requests are spread over at least this time. */
#define ADMISSION_RETRY_SPREAD_MS 1000

/* Longest time named to a refused request, unless a place takes longer. */
#define ADMISSION_RETRY_MAX_MS 5000

/* Priorities that are told apart; lower ones count as the lowest of them. */
#define ADMISSION_PRIORITIES 10

/* Places are kept free for a priority for this long after it arrived. */
#define ADMISSION_RESERVE_AGE_MS 2000

/*
 * Time of arrivals for which places are kept free: the time in which a place is
 * found again by requests that end.
 */
#define ADMISSION_RESERVE_SPAN_MS 300

/* At most one place in so many is kept free. */
#define ADMISSION_RESERVE_DIVISOR 4

/* One place in so many is a lower priority's share; none if there are fewer. */
#define ADMISSION_LOW_SHARE_DIVISOR 8

typedef struct admission_queue admission_queue_t;
typedef struct ticket ticket_t;

typedef struct {
	int places;	       /* limit of running requests */
	double prefill_per_ms; /* prompt tokens that the engine reads */
	/* Tokens that the engine can hold; 0 if that is not known. */
	int64_t prompt_max;
} admission_queue_options_t;

typedef struct {
	int64_t prompt; /* length in tokens */
	int priority;	/* 0 is the highest */
	ms_t wait_max;	/* refuse the request if it would wait longer */
	/*
	 * Where the policy is on: whose request it is, NULL for nobody's; read
	 * only during the call.  Its cost in tokens, 0 for that of the prompt.
	 */
	const char *flow;
	int64_t cost;
} admission_queue_request_t;

typedef struct {
	/* The request is admitted. */
	void (*go)(void *ctx, ticket_t *ticket);
} admission_queue_actions_t;

admission_queue_t *
admission_queue_create(const admission_queue_options_t *options,
		       const admission_queue_actions_t *actions, void *ctx);
/* Frees all tickets without a callback. */
void admission_queue_destroy(admission_queue_t *admission_queue);

void admission_queue_set_options(admission_queue_t *admission_queue,
				 const admission_queue_options_t *options);

/*
 * The engine needs this percentage of the usual time for its work
 * (hold/engine_pace.h); 100 at first.
 */
void admission_queue_set_pace(admission_queue_t *admission_queue, int percent);

/* Switches the overload policy on or off; it is off at first. */
void admission_queue_set_policy(admission_queue_t *admission_queue,
				gboolean is_on);

/*
 * Returns how many places are kept free now from requests of this priority.
 */
int admission_queue_reserve(const admission_queue_t *admission_queue, ms_t now,
			    int priority);

/*
 * Estimates how long the request would wait in the queue.  Where the policy is
 * on, by the measured time between two ends, the reserve, and the higher
 * priorities that will arrive meanwhile at their present rate.
 */
ms_t admission_queue_estimate_wait(const admission_queue_t *admission_queue,
				   ms_t now,
				   const admission_queue_request_t *request);

/*
 * Queues a request; a later admission_queue_tick() calls go() for it.  Returns
 * NULL if it would wait too long; *wait is then the delay before a retry,
 * spread over the refused ones where the policy is on.
 */
ticket_t *admission_queue_submit(admission_queue_t *admission_queue, ms_t now,
				 const admission_queue_request_t *request,
				 void *data, ms_t *wait);

/*
 * Frees the ticket of a request that has ended or was cancelled.  If the
 * request was admitted and the engine did not run it, its prefill credit is
 * returned.
 */
void admission_queue_done(admission_queue_t *admission_queue, ms_t now,
			  ticket_t *ticket, gboolean has_run);

void *ticket_data(const ticket_t *ticket);
gboolean ticket_is_waiting(const ticket_t *ticket);

/* Admits the queued requests for which there is capacity. */
void admission_queue_tick(admission_queue_t *admission_queue, ms_t now);

/* By how much the counters of the flows differ, at most in one priority. */
int64_t admission_queue_flow_spread(const admission_queue_t *admission_queue);

/* The numbers of running and of queued requests. */
int admission_queue_running(const admission_queue_t *admission_queue);
int admission_queue_waiting(const admission_queue_t *admission_queue);

#endif
