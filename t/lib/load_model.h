#ifndef LOAD_MODEL_H
#define LOAD_MODEL_H

/*
 * A model of many instances that send requests to a few endpoints of one plain
 * service, in virtual time and without network.
 *
 * Requests arrive at random instances at random times.  An endpoint runs as
 * many as it has places, queues some more in the order of arrival, and refuses
 * the rest; a refused request tries the other endpoints.  An instance learns
 * the load of an endpoint, and how long work takes there, only with an answer
 * to its own request.  At times work takes longer at an endpoint.
 */

#include <glib.h>

typedef enum {
	POLICY_SINGLE_QUEUE, /* yardstick: one queue for all endpoints */
	POLICY_TRUE_LOAD,    /* the least loaded as of this moment */
	POLICY_TODAY,	     /* route/fleet without the fourth figure */
	POLICY_EVEN,	     /* route/fleet with it, speeds passed on */
	POLICY_EVEN_ALONE,   /* the same, no instance reaches another */
	POLICY_RANDOM,
	POLICY_TWO_CHOICES,  /* the better reported of two at random */
	POLICY_AGED_WEIGHTS, /* at random, by weights that fall with load */
	POLICY_IDLE_QUEUE,   /* one that last reported a free place */
	POLICY_OWN_SHARE,    /* own requests times the number of instances */
	POLICY_SUBSET,	     /* the least reported of two fixed endpoints */
	POLICY_EVEN_STEPS,   /* even, and larger changes are passed on */
	POLICY_EVEN_KNOWN,   /* even, with the load and speed of this moment */
	POLICY_EVEN_ALL,     /* even, and all reports are passed on */
	POLICY_COUNT
} load_policy_t;

typedef struct {
	load_policy_t policy;
	int instances;
	int endpoints;
	int places;
	double work_ms;
	/* Percent by which work takes longer at every second endpoint. */
	int unequal_percent;
	double load; /* share of the capacity, spells included */
	double duration_ms;
	guint32 seed;
} load_model_options_t;

typedef struct {
	double wait_p95_ms;
	double wait_p99_ms;
	double wait_mean_ms;
	double time_p95_ms;	/* from arrival to answer */
	double refused_percent; /* by all endpoints */
	double passed_per_s;	/* reports passed on, each to all instances */
} load_model_result_t;

const char *load_policy_name(load_policy_t policy);

void load_model_run(const load_model_options_t *options,
		    load_model_result_t *result);

#endif
