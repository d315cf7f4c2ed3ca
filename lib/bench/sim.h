#ifndef BENCH_SIM_H
#define BENCH_SIM_H

/*
 * Discrete-event simulator.  Events run in order of their time; events of the
 * same time run in the order in which they were scheduled.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct sim sim_t;
typedef void (*sim_call_t)(void *ctx, void *arg);

sim_t *sim_create(void);
void sim_destroy(sim_t *sim);

ms_t sim_now(const sim_t *sim);

/* Schedule a call; a time in the past means now. */
void sim_at(sim_t *sim, ms_t when, sim_call_t call, void *ctx, void *arg);

/* Run all events up to and including a time, then advance the clock to it. */
void sim_run(sim_t *sim, ms_t until);

#endif
