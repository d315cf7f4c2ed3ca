#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

/*
 * The retry policy of an entry: eligibility, backoff and retry budget.
 *
 * A failed attempt is retried if
 *  - it is proved not to have run, or the request is idempotent;
 *  - no piece was delivered to the caller, or the engine can resume the stream
 *    at the first missing piece;
 *  - the error is transient (a malformed request stays malformed);
 *  - the maximum number of attempts is not reached, and the backoff ends before
 *    the deadline;
 *  - the retry budget of this entry has a token.
 *
 * Each first attempt adds a fraction of a token to the budget, up to a bound.
 * Retries are thus a bounded fraction of the first attempts and can't multiply
 * when everything fails.  Two kinds of retry cost no token: those after an
 * owner has reported a stale placement (ERROR_CONFLICT, proved not to have
 * run), which cost a message but no engine time, and resumed streams, which
 * continue work that an engine has begun.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

typedef struct retry retry_t;

typedef struct {
	int64_t share_percent; /* tokens added by 100 requests */
	int64_t saved_max;     /* upper bound of the tokens */
	int64_t attempts_max;  /* per request, including the first attempt */
	ms_t backoff_first;    /* upper bound of the first backoff */
	ms_t backoff_max;
} retry_options_t;

#define RETRY_OPTIONS_DEFAULT                                                  \
	((retry_options_t){.share_percent = 10,                                \
			   .saved_max = 100,                                   \
			   .attempts_max = 4,                                  \
			   .backoff_first = 20,                                \
			   .backoff_max = 1000})

/* rand supplies the jitter of the backoff; it is borrowed. */
retry_t *retry_create(const retry_options_t *options, GRand *rand);
void retry_destroy(retry_t *retry);

/* Count a new request, which adds its fraction of a token to the budget. */
void retry_count_request(retry_t *retry);

typedef struct {
	outcome_t outcome; /* of the attempt; not OUTCOME_ANSWERED */
	error_kind_t kind; /* why it failed */
	gboolean is_idempotent;
	gboolean is_delivered; /* the caller has received a piece */
	gboolean is_resumable; /* the engine can resume a stream */
	int64_t attempts;      /* so far, at least 1 */
	ms_t now;
	ms_t deadline; /* a point in time */
} retry_attempt_t;

typedef enum {
	RETRY_AGAIN,	 /* from the start */
	RETRY_RESUME,	 /* from the first missing piece */
	RETRY_FORBIDDEN, /* it may have run, or pieces were delivered */
	RETRY_PERMANENT, /* the error is permanent */
	RETRY_EXHAUSTED, /* attempts_max is reached */
	RETRY_TOO_LATE,	 /* the backoff would end after the deadline */
	RETRY_NO_BUDGET	 /* the budget is spent */
} retry_verdict_t;

/*
 * Decide about a failed attempt and charge the budget.  For RETRY_AGAIN and
 * RETRY_RESUME, *delay is set to the backoff.
 */
retry_verdict_t retry_decide(retry_t *retry, const retry_attempt_t *failed,
			     ms_t *delay);

/*
 * Decide by the semantics of the request alone, without error kind, attempts,
 * deadline and budget: RETRY_AGAIN, RETRY_RESUME or RETRY_FORBIDDEN.  For users
 * that have a budget of their own.
 */
retry_verdict_t retry_check_semantics(const retry_attempt_t *failed);

const char *retry_verdict_name(retry_verdict_t verdict);

#endif
