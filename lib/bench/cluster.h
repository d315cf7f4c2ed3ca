#ifndef BENCH_CLUSTER_H
#define BENCH_CLUSTER_H

/*
 * Simulates one run of a trace under a policy, in virtual time.
 *
 * Slots, broker, placement tables and homes are the code of lib/sched.  There
 * is no network and there are no processes.  Messages are delivered at once,
 * except for news of placement and load, which are published at the interval of
 * the policy.
 */

#include "bench/policy.h"
#include "bench/profile.h"
#include "bench/result.h"
#include "bench/trace.h"

/* Release the result with result_destroy(). */
result_t *cluster_run(const profile_t *profile, const trace_t *trace,
		      scenario_t scenario, const policy_t *policy,
		      unsigned int seed);

#endif
