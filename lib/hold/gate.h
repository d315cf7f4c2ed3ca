#ifndef HOLD_GATE_H
#define HOLD_GATE_H

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
 * gate_tick() and must not call back.
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

typedef struct gate gate_t;
typedef struct ticket ticket_t;

typedef struct {
	int places;	       /* requests that run at once */
	double prefill_per_ms; /* prompt tokens that the engine reads */
} gate_options_t;

typedef struct {
	int64_t prompt; /* tokens to be read */
	int priority;	/* 0 goes first */
	ms_t wait_max;	/* refuse it if it would wait longer */
} gate_request_t;

typedef struct {
	void (*go)(void *ctx, ticket_t *ticket);
} gate_actions_t;

gate_t *gate_create(const gate_options_t *options,
		    const gate_actions_t *actions, void *ctx);
/* Drops all tickets without a callback. */
void gate_destroy(gate_t *gate);

void gate_set_options(gate_t *gate, const gate_options_t *options);

/* How long a request of this kind would wait. */
ms_t gate_wait(const gate_t *gate, ms_t now, const gate_request_t *request);

/*
 * Take a request: go() follows at a tick.  NULL if it would wait too long;
 * *wait is then the time to come back.
 */
ticket_t *gate_submit(gate_t *gate, ms_t now, const gate_request_t *request,
		      void *data, ms_t *wait);

/*
 * The request has ended, or is not sent after all.  One that the engine has not
 * run gives its part of the engine's time back.
 */
void gate_done(gate_t *gate, ms_t now, ticket_t *ticket, gboolean has_run);

void *ticket_data(const ticket_t *ticket);
gboolean ticket_is_waiting(const ticket_t *ticket);

void gate_tick(gate_t *gate, ms_t now);

/* Requests that run, and that wait. */
int gate_running(const gate_t *gate);
int gate_waiting(const gate_t *gate);

#endif
