#ifndef ROUTE_EVEN_LOAD_H
#define ROUTE_EVEN_LOAD_H

/*
 * The choice of an endpoint of a plain service from stale reports.
 *
 * An endpoint states its load and how long work takes there only with its
 * answers to this instance.  Between two answers, many other instances send
 * requests that this one does not see.  So a report counts in full when it is
 * new, and falls back to what is usual with its age.  The estimate is drawn at
 * random around that value, more widely the older the report is: instances with
 * equally old reports spread their requests instead of choosing the same
 * endpoint, and an endpoint of which nothing is known gets an average share.
 *
 * The endpoint with the lowest cost is chosen, which grows with its load and
 * with how long work takes there.  docs/design/even-load.md has the figures.
 *
 * No I/O and no clock; the random numbers come from the caller.
 */

#include <glib.h>

#include "base/clock.h"

/* What an instance knows of one endpoint. */
typedef struct {
	int places;    /* requests that it can run at once */
	int in_flight; /* requests of this instance */
	ms_t age;      /* of the newest report; MS_NEVER if there is none */
	/* Of that report: requests of the other instances. */
	int others;
	/* Time that work takes, 100 as usual; 0 if not stated. */
	int work_percent;
	ms_t work_age; /* of that statement, which may be newer */
	/* The other instances pass on changes of that time. */
	gboolean is_work_shared;
	/* Moving averages of the two, from earlier reports. */
	double usual_others;
	double usual_percent; /* 0 if never stated */
	double penalty;	      /* added load, in requests per place */
} even_load_input_t;

/* Returns the index of the endpoint to be sent a request; count is above 0. */
guint even_load_choose(const even_load_input_t *inputs, guint count,
		       GRand *rand);

/*
 * Returns the difference between the highest and the lowest estimated load, in
 * percent of the endpoints' places; 0 if less than two have reported.
 */
int even_load_imbalance(const even_load_input_t *inputs, guint count);

/*
 * Returns the weight of a report in the moving averages, for the time since the
 * last one.
 */
double even_load_report_weight(ms_t since_last);

#endif
