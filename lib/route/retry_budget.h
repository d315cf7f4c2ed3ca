#ifndef ROUTE_RETRY_BUDGET_H
#define ROUTE_RETRY_BUDGET_H

/*
 * How many repeats of requests this instance may send to each service.
 *
 * All instances together may send, within any window, a share of the requests
 * for a service plus a fixed number.  Without a call for each repeat, an
 * instance keeps to its part: the same share of its own requests, and the fixed
 * number divided by the instances that are known.  Every arrival at an endpoint
 * beyond the first of its request counts, also one that the endpoint refuses.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct {
	double share; /* repeats for each request */
	double slack; /* repeats of all instances beyond the share */
	ms_t window;  /* in which they count */
} retry_budget_options_t;

typedef struct retry_budget retry_budget_t;

retry_budget_t *retry_budget_create(const retry_budget_options_t *options);
void retry_budget_destroy(retry_budget_t *budget);

/* Instances that share the budget, this one counted; at least 1. */
void retry_budget_set_instances(retry_budget_t *budget, guint count);

/* Count a request at its first arrival. */
void retry_budget_count_request(retry_budget_t *budget, ms_t now,
				const char *service);

/* Whether a repeat could be taken now. */
gboolean retry_budget_has(retry_budget_t *budget, ms_t now,
			  const char *service);

/* Take one repeat as it is sent; FALSE if the budget is spent. */
gboolean retry_budget_take(retry_budget_t *budget, ms_t now,
			   const char *service);

#endif
