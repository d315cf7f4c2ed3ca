#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

/*
 * Generates the requests of a load test; does no I/O.
 *
 * A load consists of rounds.  A round is a sequence of requests of one caller,
 * each sent after the answer to the one before.  The first adapter of a round
 * is drawn from a Zipf distribution; the following requests use the adapters
 * next in rank.  All random choices derive from one seed.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	const char *adapter_prefix; /* the name is the prefix and the rank */
	const char *version;
	int64_t adapters;
	double skew; /* exponent of Zipf's law; 0 for even shares */
	int64_t callers;
	int64_t round;	/* requests in a round */
	int64_t tokens; /* of each answer */
	int64_t non_idempotent_percent;
	guint32 seed;
	int64_t run; /* part of each request id, so that runs use other keys */
} plan_options_t;

typedef struct plan plan_t;

typedef struct {
	int64_t caller;
	int64_t first; /* rank of the first adapter, from 0 */
	int64_t steps; /* requests */
} plan_round_t;

typedef struct {
	char *model;  /* "name@version" */
	char *prompt; /* unique for each request */
	char *id;     /* X-Request-Id; also the Idempotency-Key */
	gboolean is_idempotent;
} plan_request_t;

/* The options are not copied and must outlive the plan. */
plan_t *plan_create(const plan_options_t *options);
void plan_destroy(plan_t *plan);

/* Draw a round of a caller. */
plan_round_t plan_draw_round(plan_t *plan, int64_t caller);

/* Draw request number step of a round; release it with plan_request_clear(). */
void plan_draw_request(plan_t *plan, const plan_round_t *round, int64_t step,
		       plan_request_t *request);
void plan_request_clear(plan_request_t *request);

/* Draw the time to the next arrival, in ms; rate is the mean per second. */
double plan_draw_interval(plan_t *plan, double rate);

#endif
