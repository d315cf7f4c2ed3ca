#ifndef BENCH_STORE_H
#define BENCH_STORE_H

/*
 * Model of a weight store.
 *
 * Loads start one after another, at least 1 / rate apart.  If more loads than
 * the transit limit are outstanding when a load starts, including those still
 * queued at the store, its duration grows in proportion.
 */

#include "bench/profile.h"
#include "bench/sim.h"

typedef struct store store_t;

store_t *bench_store_create(sim_t *sim, const profile_t *profile);
void bench_store_destroy(store_t *store);

/* Queue a load; done is called when it has completed. */
void bench_store_load(store_t *store, sim_call_t done, void *ctx, void *arg);

#endif
