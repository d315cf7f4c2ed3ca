#include "request/retry.h"

/* Parts of a token, so that the budget is counted in whole numbers. */
#define TOKEN_PARTS 100

struct retry {
	retry_options_t options;
	GRand *rand;
	int64_t saved; /* in parts of a token */
};

retry_t *retry_create(const retry_options_t *options, GRand *rand)
{
	retry_t *retry = g_new0(retry_t, 1);

	g_assert(options->attempts_max >= 1);
	g_assert(options->backoff_first >= 1);
	g_assert(options->backoff_max >= options->backoff_first);
	retry->options = *options;
	retry->rand = rand;
	/* A tenth to begin with, so that a quiet entry can retry too. */
	retry->saved = options->saved_max * TOKEN_PARTS / 10;
	return retry;
}

void retry_destroy(retry_t *retry)
{
	g_free(retry);
}

void retry_count_request(retry_t *retry)
{
	retry->saved = MIN(retry->saved + retry->options.share_percent,
			   retry->options.saved_max * TOKEN_PARTS);
}

/* Whether another attempt can end otherwise. */
static gboolean kind_may_pass(error_kind_t kind)
{
	switch (kind) {
	case ERROR_CONFLICT:
	case ERROR_OVERLOADED:
	case ERROR_UNAVAILABLE:
	case ERROR_TIMEOUT:
	case ERROR_PROTOCOL:
	case ERROR_FENCED:
	case ERROR_LOAD_FAILED:
	case ERROR_INTERRUPTED:
		return TRUE;
	default:
		return FALSE;
	}
}

/* Full jitter: anything up to a bound that doubles with each attempt. */
static ms_t backoff(retry_t *retry, int64_t attempts)
{
	ms_t bound = retry->options.backoff_first;

	for (int64_t i = 1; i < attempts && bound < retry->options.backoff_max;
	     i++)
		bound *= 2;
	bound = MIN(bound, retry->options.backoff_max);
	return g_rand_int_range(retry->rand, 1, (gint32)bound + 1);
}

static gboolean is_free(const retry_attempt_t *failed, retry_verdict_t verdict)
{
	return verdict == RETRY_RESUME || (failed->outcome == OUTCOME_NOT_RUN &&
					   failed->kind == ERROR_CONFLICT);
}

retry_verdict_t retry_check_semantics(const retry_attempt_t *failed)
{
	if (failed->outcome != OUTCOME_NOT_RUN && !failed->is_idempotent)
		return RETRY_FORBIDDEN;
	if (!failed->is_delivered)
		return RETRY_AGAIN;
	return failed->is_resumable ? RETRY_RESUME : RETRY_FORBIDDEN;
}

retry_verdict_t retry_decide(retry_t *retry, const retry_attempt_t *failed,
			     ms_t *delay)
{
	retry_verdict_t verdict = retry_check_semantics(failed);
	ms_t wait;

	g_assert(failed->outcome != OUTCOME_ANSWERED);
	g_assert(failed->attempts >= 1);
	if (verdict == RETRY_FORBIDDEN)
		return verdict;
	if (!kind_may_pass(failed->kind))
		return RETRY_POINTLESS;
	if (failed->attempts >= retry->options.attempts_max)
		return RETRY_EXHAUSTED;
	wait = backoff(retry, failed->attempts);
	if (failed->now >= failed->deadline ||
	    wait >= failed->deadline - failed->now)
		return RETRY_TOO_LATE;
	if (!is_free(failed, verdict)) {
		if (retry->saved < TOKEN_PARTS)
			return RETRY_NO_BUDGET;
		retry->saved -= TOKEN_PARTS;
	}
	*delay = wait;
	return verdict;
}

const char *retry_verdict_name(retry_verdict_t verdict)
{
	static const char *const names[] = {
		[RETRY_AGAIN] = "again",
		[RETRY_RESUME] = "resume",
		[RETRY_FORBIDDEN] = "forbidden",
		[RETRY_POINTLESS] = "pointless",
		[RETRY_EXHAUSTED] = "exhausted",
		[RETRY_TOO_LATE] = "too_late",
		[RETRY_NO_BUDGET] = "no_budget",
	};

	return names[verdict];
}
