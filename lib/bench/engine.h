#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

/*
 * Model of one engine: continuous batching and a prompt prefix cache.
 *
 * A step generates one token for each request in the batch.  Its duration is
 * the sum of a base time, a time for each request in the batch, and a prefill
 * time for each uncached prompt token of requests that are new in this step.
 */

#include <glib.h>
#include <stdint.h>

#include "bench/profile.h"
#include "bench/sim.h"

typedef struct engine engine_t;

typedef struct {
	void (*first_token)(void *ctx, uint64_t id);
	void (*ended)(void *ctx, uint64_t id);
	/* Whether requests are queued at this endpoint. */
	gboolean (*is_waiting)(void *ctx);
	/* A step with this many requests in the batch begins. */
	void (*step)(void *ctx, int filled_places, double duration,
		     gboolean waiting);
} engine_actions_t;

engine_t *engine_create(sim_t *sim, const profile_t *profile,
			const engine_actions_t *actions, void *ctx);
void engine_destroy(engine_t *engine);

/* The request joins the batch at the next step. */
void engine_start(engine_t *engine, uint64_t id, uint64_t prefix, int prompt,
		  int answer);

/* Drop all requests without a callback, and clear the prefix cache. */
void engine_restart(engine_t *engine);

#endif
