#ifndef ROUTE_RETRY_BUDGET_H
#define ROUTE_RETRY_BUDGET_H

/*
 * The retry budget of this instance for each service.
 *
 * Within any window, all instances together may send as many retries as a share
 * of the requests for a service plus a fixed number.  An instance does not ask
 * the others before a retry.  It keeps to its part of the budget: the same
 * share of its own requests, and the fixed number divided by the number of
 * known instances.  Each arrival of a request at an endpoint after the first
 * counts as a retry, even if the endpoint refuses it.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct {
	double share; /* retries per request */
	double slack; /* retries of all instances beyond the share */
	ms_t window;
} retry_budget_options_t;

typedef struct retry_budget retry_budget_t;

retry_budget_t *retry_budget_create(const retry_budget_options_t *options);
void retry_budget_destroy(retry_budget_t *budget);

/* Sets the number of instances that share the budget, this one included. */
void retry_budget_set_instances(retry_budget_t *budget, guint count);

/* Counts a request, at its first arrival at an endpoint. */
void retry_budget_count_request(retry_budget_t *budget, ms_t now,
				const char *service);

/* Whether the budget allows a retry now. */
gboolean retry_budget_has(retry_budget_t *budget, ms_t now,
			  const char *service);

/* Counts a retry that is about to be sent; FALSE if the budget is spent. */
gboolean retry_budget_take(retry_budget_t *budget, ms_t now,
			   const char *service);

#endif
