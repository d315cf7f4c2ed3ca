#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

/*
 * What may be retried, and how often.
 *
 * A failed attempt may be followed by another one if
 *  - it is proved not to have run, or the request is idempotent;
 *  - no piece was delivered to the caller, or the engine can resume the stream
 *    at the first missing piece;
 *  - the kind of error may pass (a malformed request stays malformed);
 *  - attempts are left, and the deadline comes after the backoff;
 *  - the retry budget of this entry has a token.
 *
 * The budget earns a share of a token with each fresh request, up to a bound.
 * Retries are thus a bounded share of the fresh requests, and cannot multiply
 * when everything fails.  Two kinds are not charged: "not here" answers of
 * an owner (ERROR_CONFLICT, proved not run), which cost a message and no work
 * of an engine, and resumed streams, which go on with work that was begun.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

typedef struct retry retry_t;

typedef struct {
	int64_t share_percent; /* tokens earned by 100 fresh requests */
	int64_t saved_max;     /* tokens that can be saved up */
	int64_t attempts_max;  /* attempts of one request, the first counted */
	ms_t backoff_first;    /* upper bound of the first backoff */
	ms_t backoff_max;
} retry_options_t;

#define RETRY_OPTIONS_DEFAULT                                                  \
	((retry_options_t){.share_percent = 10,                                \
			   .saved_max = 100,                                   \
			   .attempts_max = 4,                                  \
			   .backoff_first = 20,                                \
			   .backoff_max = 1000})

/* The random numbers of the jitter come from rand, which is not owned. */
retry_t *retry_create(const retry_options_t *options, GRand *rand);
void retry_destroy(retry_t *retry);

/* Count a fresh request, which earns its share of a token. */
void retry_count_request(retry_t *retry);

typedef struct {
	outcome_t outcome; /* of the attempt: NOT_RUN or UNKNOWN */
	error_kind_t kind; /* why it failed */
	gboolean is_idempotent;
	gboolean is_delivered; /* the caller has had a piece */
	gboolean is_resumable; /* the engine resumes streams */
	int64_t attempts;      /* made so far, at least 1 */
	ms_t now;
	ms_t deadline; /* a point in time */
} retry_attempt_t;

typedef enum {
	RETRY_AGAIN,	 /* from the start */
	RETRY_RESUME,	 /* from the first missing piece */
	RETRY_FORBIDDEN, /* it may have run, or the caller has had pieces */
	RETRY_POINTLESS, /* the error is permanent */
	RETRY_EXHAUSTED, /* no attempt left */
	RETRY_TOO_LATE,	 /* the deadline comes first */
	RETRY_NO_BUDGET	 /* the budget is spent */
} retry_verdict_t;

/* Decide; for RETRY_AGAIN and RETRY_RESUME *delay is the backoff to wait. */
retry_verdict_t retry_decide(retry_t *retry, const retry_attempt_t *failed,
			     ms_t *delay);

/*
 * The first part of the decision alone, for those that keep a budget of their
 * own: AGAIN or RESUME if another run is allowed at all, else FORBIDDEN.
 */
retry_verdict_t retry_check_semantics(const retry_attempt_t *failed);

const char *retry_verdict_name(retry_verdict_t verdict);

#endif
