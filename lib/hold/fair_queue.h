#ifndef HOLD_FAIR_QUEUE_H
#define HOLD_FAIR_QUEUE_H

/*
 * Fair order of what waits for one engine within one priority (start-time fair
 * queueing).
 *
 * Each flow, an organisation or else an adapter, has a virtual counter of the
 * tokens that it was given.  A request starts at the counter of its flow and
 * adds its cost to it; the request with the lowest start goes first.  The
 * virtual time is the start of the newest request that went.  No request starts
 * before it, so that a flow that was idle gains nothing by that, and a new one
 * begins beside those that are served.
 *
 * A flow whose request was refused starts, when it returns, where it would have
 * then, so that newcomers that came meanwhile don't go first.
 *
 * The order alone is fair; no place is left free for a flow that has nothing to
 * run.  No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* Weight of a generated token: that of ten tokens of a prompt. */
#define FAIR_TOKENS_OUT_WEIGHT 10

/* A refused request returns within this time, if at all. */
#define FAIR_RETURN_MS 5000

typedef struct fair_queue fair_queue_t;
typedef struct fair_flow fair_flow_t;

fair_queue_t *fair_queue_create(void);
void fair_queue_destroy(fair_queue_t *fair_queue);

/* Returns what a request counts; at least 1. */
int64_t fair_queue_cost(int64_t tokens_in, int64_t tokens_out);

/* Returns the start that a request of this flow would have now. */
int64_t fair_queue_start(const fair_queue_t *fair_queue, ms_t now,
			 const char *flow);

/*
 * Adds a request and stores its start.  The flow is valid until the request's
 * fair_queue_end().
 */
fair_flow_t *fair_queue_add(fair_queue_t *fair_queue, ms_t now,
			    const char *flow, int64_t cost, int64_t *start);

/* A request of this flow is refused before it was added. */
void fair_queue_refuse(fair_queue_t *fair_queue, ms_t now, const char *flow);

/* The request with this start goes now. */
void fair_queue_serve(fair_queue_t *fair_queue, int64_t start);

/* A request has ended; returned: the part of its cost that was not used. */
void fair_queue_end(fair_queue_t *fair_queue, fair_flow_t *flow,
		    int64_t returned);

/* Forgets all counters, once nothing waits or runs. */
void fair_queue_clear(fair_queue_t *fair_queue);

/* Returns by how much the counters of the flows with requests differ. */
int64_t fair_queue_spread(const fair_queue_t *fair_queue);

#endif
