/* The limit of waits in bursts and in queues that stay long. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/patience.h"

#define GOAL_MS 600
#define MAX_MS	1800

/* Requests come every 20 ms; returns the limit of the last one. */
static ms_t request_until(patience_t *patience, ms_t *now, ms_t end,
			  ms_t queue_wait)
{
	ms_t limit = MAX_MS;

	for (; *now < end; *now += 20)
		limit = patience_limit(patience, *now, queue_wait, GOAL_MS,
				       MAX_MS);
	return limit;
}

/* Ten adapters are cold at once, as after a start: all requests are served. */
static void test_burst_is_served_late(void **state)
{
	patience_t patience;
	ms_t now = 0;

	patience_init(&patience, 0);
	assert_int_equal(request_until(&patience, &now, 200, 1500), MAX_MS);
}

/*
 * More requests than the engine can serve, for seconds: those that would be
 * late are refused, until the queue is short again.
 */
static void test_standing_queue_is_cut(void **state)
{
	patience_t patience;
	ms_t now = 0;

	patience_init(&patience, 0);
	assert_int_equal(request_until(&patience, &now, 5000, 1500), GOAL_MS);
	assert_int_equal(request_until(&patience, &now, 5200, 100), GOAL_MS);
	assert_int_equal(request_until(&patience, &now, 15000, 100), MAX_MS);
}

/*
 * A load that takes longer than the goal, and no other before it: the request
 * is served late rather than never.  It may come after any pause.
 */
static void test_slow_load_without_queue(void **state)
{
	patience_t patience;
	ms_t now;

	patience_init(&patience, 0);
	for (now = 0; now < 100000; now += 10000)
		assert_int_equal(patience_limit(&patience, now, 0, 50, MAX_MS),
				 MAX_MS);
	/* One long wait after a pause is no queue that stays. */
	assert_int_equal(patience_limit(&patience, now, 400, GOAL_MS, MAX_MS),
			 MAX_MS);
}

/* A limit that is below the goal already is kept. */
static void test_never_above_the_maximum(void **state)
{
	patience_t patience;
	ms_t now = 0;

	patience_init(&patience, 0);
	request_until(&patience, &now, 5000, 1500);
	assert_int_equal(patience_limit(&patience, now, 1500, GOAL_MS, 200),
			 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_is_served_late),
		cmocka_unit_test(test_standing_queue_is_cut),
		cmocka_unit_test(test_slow_load_without_queue),
		cmocka_unit_test(test_never_above_the_maximum),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
