#ifndef ROUTE_REPEAT_BUDGET_H
#define ROUTE_REPEAT_BUDGET_H

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
} repeat_budget_options_t;

typedef struct repeat_budget repeat_budget_t;

repeat_budget_t *repeat_budget_create(const repeat_budget_options_t *options);
void repeat_budget_destroy(repeat_budget_t *budget);

/* Instances that share the budget, this one counted; at least 1. */
void repeat_budget_set_instances(repeat_budget_t *budget, guint count);

/* Count a request at its first arrival. */
void repeat_budget_request(repeat_budget_t *budget, ms_t now,
			   const char *service);

/* Whether a repeat could be taken now. */
gboolean repeat_budget_has(repeat_budget_t *budget, ms_t now,
			   const char *service);

/* Take one repeat as it is sent; FALSE if the budget is spent. */
gboolean repeat_budget_take(repeat_budget_t *budget, ms_t now,
			    const char *service);

#endif
