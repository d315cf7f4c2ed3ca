#ifndef LOAD_RUNNER_H
#define LOAD_RUNNER_H

/*
 * Sends the requests of a plan over HTTP and records the results.
 *
 * In a closed loop each caller begins a round when its previous one has ended.
 * In an open loop rounds begin as a Poisson process, regardless of how many are
 * in progress.  With a direct target every second round goes there instead of
 * to an entry, so that both are measured in the same run.
 *
 * A request that was not answered is retried with the same identifier and key
 * at the next entry, after the delay in Retry-After.
 */

#include <uv.h>

#include "base/clock.h"
#include "load/plan.h"
#include "load/tally.h"

typedef struct {
	const char *host; /* an IP number */
	int port;
} target_t;

typedef struct {
	plan_options_t plan;
	const target_t *entries;
	size_t entry_count;
	const target_t *direct; /* an engine, or NULL */
	char **tokens; /* bearer tokens, assigned to the callers round robin */
	const char *service; /* path of a plain service for orders, or NULL */
	double rate;	     /* requests a second; 0 for a closed loop */
	ms_t duration;	     /* time in which new rounds begin */
	ms_t timeout;	     /* of one request */
	int64_t retries;
	gboolean is_streamed;
} runner_options_t;

/* Run the load to its end; direct may be NULL without a direct target. */
void runner_run(uv_loop_t *loop, const runner_options_t *options,
		tally_t *entries, tally_t *direct);

#endif
