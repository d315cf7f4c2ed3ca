#ifndef BENCH_TRACE_H
#define BENCH_TRACE_H

/*
 * The load of one experiment: rounds of requests, the same for every policy.
 *
 * A round is a sequence of requests of one caller, each sent after the answer
 * to the one before.  Rounds arrive as a Poisson process.  Adapters are drawn
 * from a Zipf distribution; the next request of a round uses the same adapter,
 * its partner, or one drawn anew.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "bench/profile.h"

/* Share of requests in a round that switch to the partner of the adapter. */
#define TRACE_PARTNER_SHARE 0.35

typedef enum {
	SCENARIO_QUIET,
	SCENARIO_RUSH,	   /* twice the rate in the middle third */
	SCENARIO_SHIFT,	   /* halfway, rarely used adapters become popular */
	SCENARIO_RESTART,  /* halfway, one engine restarts */
	SCENARIO_FAILURES, /* one load in ten fails */
	SCENARIO_OWNER,	   /* halfway, one owner is lost */
	SCENARIO_OVERLOAD, /* 1.5 times the capacity of the engines */
	SCENARIO_COUNT
} scenario_t;

const char *scenario_name(scenario_t scenario);

typedef struct {
	int adapter;
	int prompt; /* tokens */
	int answer; /* tokens */
	ms_t think; /* delay after the answer to the previous request */
} step_t;

typedef struct {
	ms_t start;
	int caller;
	int priority;
	uint64_t prefix;
	int step_count;
	step_t *steps;
} round_t;

typedef struct {
	GArray *rounds; /* round_t by start */
	ms_t warm_up;	/* requests that arrive earlier are not measured */
	ms_t end;	/* no round starts after this time */
} trace_t;

trace_t *trace_create(const profile_t *profile, scenario_t scenario,
		      unsigned int seed);
void trace_destroy(trace_t *trace);

/* Returns the adapter itself if it has no partner. */
int trace_partner(const profile_t *profile, int adapter);

#endif
