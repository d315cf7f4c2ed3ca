#ifndef BENCH_RESULT_H
#define BENCH_RESULT_H

/* Raw samples and derived measures of one run; see docs/design/measures.md. */

#include <glib.h>

#include "bench/profile.h"

/* Number of priorities, and of 1 ms buckets for durations of steps. */
#define RESULT_PRIORITIES 3
#define RESULT_STEP_MS	  2000

/* Why an adapter was not usable at the endpoint of its request. */
typedef enum {
	MISS_FIRST, /* never loaded before */
	MISS_AGAIN, /* loaded before, and unloaded since */
	MISS_COPY,  /* usable only at another endpoint */
	MISS_COUNT
} miss_t;

/* What a stalled request waited for, in order of time. */
typedef enum {
	WAIT_PAUSE, /* retry delays until an owner accepted the request */
	WAIT_GRANT, /* start of the load: broker, store, a free slot */
	WAIT_LOAD,  /* the load itself */
	WAIT_PLACE, /* a place in the batch of the engine */
	WAIT_COUNT
} wait_t;

typedef struct {
	GArray *stalls; /* double, ms, of requests that waited for a load */
	GArray *tail_stalls;
	GArray *priority_stalls[RESULT_PRIORITIES];
	GArray *first_tokens; /* double, ms */
	double *caller_sum;   /* of times to the first token, ms */
	int *caller_count;
	int callers;
	double miss_ms[MISS_COUNT]; /* parts of the sum of stalls */
	double wait_ms[WAIT_COUNT];
	/* Answered or abandoned, of those that arrived in the measured time. */
	int requests;
	int answered;
	int abandoned;
	int refusals;
	int loads;
	double steps;
	double filled_places; /* sum over all steps */
	double waiting_steps;
	double waiting_filled_places;
	double token_ms[RESULT_STEP_MS]; /* tokens by duration of the step */
	double seconds;			 /* length of the measured time */
} result_t;

/* The reported measures; the names of the members are written to reports. */
typedef struct {
	double requests;
	double stalled_share;
	double stall_p50;
	double stall_p95;
	double stall_p99;
	double stall_sum; /* seconds */
	double batch;
	double batch_waiting;
	double first_p50;
	double first_p95;
	double token_p95;
	double refusals;
	double abandoned;
	double loads;
	double fairness; /* Jain's index over callers */
	double tail_p99;
	double tail_max;
	double urgent_p95; /* of the highest priority */
	double useful;	   /* answers divided by the capacity of the engines */
	double miss_first; /* stall_sum by the reason of the miss */
	double miss_again;
	double miss_copy;
	double wait_pause; /* stall_sum by what was waited for */
	double wait_grant;
	double wait_load;
	double wait_place;
} measures_t;

result_t *result_create(const profile_t *profile);
void result_destroy(result_t *result);

void result_measures(const result_t *result, const profile_t *profile,
		     measures_t *measures);

typedef struct {
	const char *name;
	const char *unit;
	size_t offset; /* of the member in measures_t, a double */
} measure_field_t;

/* All members of measures_t, terminated by a NULL name. */
extern const measure_field_t measure_fields[];

double measure_get(const measures_t *measures, const measure_field_t *field);

#endif
