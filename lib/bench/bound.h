#ifndef BENCH_BOUND_H
#define BENCH_BOUND_H

/*
 * Offline reference policy: adapter loads and evictions chosen with knowledge
 * of the whole trace.
 *
 * BOUND_POOL treats all slots as one pool without a limit on places.  An
 * adapter is loaded on demand, within the rate of the store.  The adapter with
 * the most waiting requests is loaded first, and the adapter whose next use is
 * farthest in the future is evicted (Belady's algorithm).  Batch efficiency is
 * computed as if all running requests were packed into the fewest engines that
 * can hold them.
 *
 * BOUND_LOCATED gives each engine its own slots, and a request runs on the
 * engine that holds its adapter.  Among adapters that will not be used for some
 * time it evicts from the fullest engine, so that batch efficiency and loads
 * are those of one consistent schedule.
 *
 * The result is not a proved lower bound: a policy that prefetches adapters
 * could do better.
 */

#include "bench/result.h"
#include "bench/trace.h"

typedef enum { BOUND_POOL, BOUND_LOCATED } bound_kind_t;

result_t *bound_run(const profile_t *profile, const trace_t *trace,
		    scenario_t scenario, bound_kind_t kind, unsigned int seed);

#endif
