#ifndef HOLD_ADMISSION_QUEUE_H
#define HOLD_ADMISSION_QUEUE_H

/*
 * Admission to one engine, by the instance that holds it.
 *
 * All instances ask here before they send a request to the engine, so that one
 * place knows what runs there.  A request is let through when
 *
 *  - the engine has a free place, and
 *  - the prompts that were let through lately leave time for its own.  Prompts
 *    are read between the tokens of all streams of the engine: many at once are
 *    a pause in each of them.  A token bucket spreads them out.
 *
 * Those that wait go by priority, then in the order in which they came.  One
 * that would have to wait longer than it can is refused at once.
 *
 * Decision code: the time comes in with each call, go() goes out from
 * admission_queue_tick() and must not call back.
 */

#include <glib.h>

#include "base/clock.h"

/* Part of an engine's time that prompts may take while streams run; chosen. */
#define GATE_PREFILL_SHARE 0.5

/*
 * Prompts that may be read at once, in ms of the engine's time; trial: a pause
 * between tokens counts from 250 ms on.
 */
#define GATE_PREFILL_BURST_MS 75

/* What a request is taken to run when nothing is known of the engine; chosen.
 */
#define GATE_RUN_FIRST_MS 1500

typedef struct admission_queue admission_queue_t;
typedef struct ticket ticket_t;

typedef struct {
	int places;	       /* requests that run at once */
	double prefill_per_ms; /* prompt tokens that the engine reads */
} admission_queue_options_t;

typedef struct {
	int64_t prompt; /* tokens to be read */
	int priority;	/* 0 goes first */
	ms_t wait_max;	/* refuse it if it would wait longer */
} admission_queue_request_t;

typedef struct {
	void (*go)(void *ctx, ticket_t *ticket);
} admission_queue_actions_t;

admission_queue_t *
admission_queue_create(const admission_queue_options_t *options,
		       const admission_queue_actions_t *actions, void *ctx);
/* Drops all tickets without a callback. */
void admission_queue_destroy(admission_queue_t *admission_queue);

void admission_queue_set_options(admission_queue_t *admission_queue,
				 const admission_queue_options_t *options);

/* How long a request of this kind would wait. */
ms_t admission_queue_estimate_wait(const admission_queue_t *admission_queue,
				   ms_t now,
				   const admission_queue_request_t *request);

/*
 * Take a request: go() follows at a tick.  NULL if it would wait too long;
 * *wait is then the time to come back.
 */
ticket_t *admission_queue_submit(admission_queue_t *admission_queue, ms_t now,
				 const admission_queue_request_t *request,
				 void *data, ms_t *wait);

/*
 * The request has ended, or is not sent after all.  One that the engine has not
 * run gives its part of the engine's time back.
 */
void admission_queue_done(admission_queue_t *admission_queue, ms_t now,
			  ticket_t *ticket, gboolean has_run);

void *ticket_data(const ticket_t *ticket);
gboolean ticket_is_waiting(const ticket_t *ticket);

void admission_queue_tick(admission_queue_t *admission_queue, ms_t now);

/* Requests that run, and that wait. */
int admission_queue_running(const admission_queue_t *admission_queue);
int admission_queue_waiting(const admission_queue_t *admission_queue);

#endif
