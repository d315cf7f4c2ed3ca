/* The limit of waits in bursts and in queues that stay long. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/patience.h"

#define GOAL_MS 600
#define MAX_MS	1800

/* Requests come every 50 ms; returns the limit of the last one. */
static ms_t request_until(patience_t *patience, ms_t *now, ms_t end,
			  ms_t estimate)
{
	ms_t limit = MAX_MS;

	for (; *now < end; *now += 50)
		limit = patience_limit(patience, *now, estimate, GOAL_MS,
				       MAX_MS);
	return limit;
}

/* Many adapters are cold at once, as after a start: all requests are served. */
static void test_burst_is_served_late(void **state)
{
	patience_t patience;
	ms_t now = 0;

	patience_init(&patience, 0);
	assert_int_equal(request_until(&patience, &now, 400, 1500), MAX_MS);
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
	assert_int_equal(request_until(&patience, &now, 10000, 100), MAX_MS);
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
		cmocka_unit_test(test_never_above_the_maximum),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
