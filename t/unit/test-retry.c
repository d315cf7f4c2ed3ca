/* Retries: what may be retried, the budget, the backoff. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/retry.h"

#define SEED	  5
#define DEADLINE  ((ms_t)60000)
#define FRESH	  10000
#define SHARE	  10
#define SAVED_MAX 100

static retry_attempt_t failed_case(outcome_t outcome, error_kind_t kind)
{
	return (retry_attempt_t){.outcome = outcome,
				 .kind = kind,
				 .is_idempotent = TRUE,
				 .attempts = 1,
				 .deadline = DEADLINE};
}

static void test_what_may_be_retried(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	retry_t *retry = retry_create(&RETRY_OPTIONS_DEFAULT, rand);
	retry_attempt_t failed =
		failed_case(OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	ms_t delay;

	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_AGAIN);
	failed.is_delivered = TRUE;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_FORBIDDEN);
	failed.is_resumable = TRUE;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_RESUME);
	failed.is_idempotent = FALSE;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_FORBIDDEN);
	failed = failed_case(OUTCOME_NOT_RUN, ERROR_LOAD_FAILED);
	failed.is_idempotent = FALSE;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_AGAIN);
	failed.kind = ERROR_INVALID;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_POINTLESS);
	failed.kind = ERROR_LOAD_FAILED;
	failed.attempts = RETRY_OPTIONS_DEFAULT.attempts_max;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_EXHAUSTED);
	failed.attempts = 1;
	failed.now = DEADLINE - 1;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_TOO_LATE);
	retry_destroy(retry);
	g_rand_free(rand);
}

/* When every request fails, retries stay a share of the fresh ones. */
static void test_budget_bounds_retries(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	retry_t *retry = retry_create(&RETRY_OPTIONS_DEFAULT, rand);
	retry_attempt_t failed = failed_case(OUTCOME_NOT_RUN, ERROR_OVERLOADED);
	int retries = 0;
	ms_t delay;

	for (int i = 0; i < FRESH; i++) {
		retry_count_request(retry);
		if (retry_decide(retry, &failed, &delay) == RETRY_AGAIN)
			retries++;
	}
	assert_in_range(retries, FRESH * SHARE / 100,
			FRESH * SHARE / 100 + SAVED_MAX);
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_NO_BUDGET);
	/* A stale placement costs no work of an engine, and no budget. */
	failed.kind = ERROR_CONFLICT;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_AGAIN);
	/* A resumed stream goes on with work that was begun. */
	failed = failed_case(OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_NO_BUDGET);
	failed.is_delivered = TRUE;
	failed.is_resumable = TRUE;
	assert_int_equal(retry_decide(retry, &failed, &delay), RETRY_RESUME);
	retry_destroy(retry);
	g_rand_free(rand);
}

static void test_backoff_grows_and_is_bounded(void **state)
{
	retry_options_t options = RETRY_OPTIONS_DEFAULT;
	GRand *rand = g_rand_new_with_seed(SEED);
	retry_t *retry;
	ms_t highest[40] = {0};

	options.attempts_max = 40;
	options.saved_max = 1000000;
	retry = retry_create(&options, rand);
	for (int i = 0; i < 39 * 100; i++) {
		retry_attempt_t failed =
			failed_case(OUTCOME_NOT_RUN, ERROR_OVERLOADED);
		ms_t delay;

		failed.attempts = 1 + i % 39;
		assert_int_equal(retry_decide(retry, &failed, &delay),
				 RETRY_AGAIN);
		assert_in_range(delay, 1, options.backoff_max);
		highest[failed.attempts] = MAX(highest[failed.attempts], delay);
	}
	assert_in_range(highest[1], 1, options.backoff_first);
	assert_in_range(highest[2], options.backoff_first,
			2 * options.backoff_first);
	assert_in_range(highest[39], options.backoff_max / 2,
			options.backoff_max);
	retry_destroy(retry);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_may_be_retried),
		cmocka_unit_test(test_budget_bounds_retries),
		cmocka_unit_test(test_backoff_grows_and_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
