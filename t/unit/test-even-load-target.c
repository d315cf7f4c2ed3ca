/*
 * The target of docs/design/hard-load.md for plain services: the 95th
 * percentile of waiting is at most 1.3 times that of one queue that knows all,
 * at 0.7 load.  It guards against a choice that overruns endpoints in turns.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load_model.h"

#define SEED   5
#define FACTOR 1.3
#define RUN_MS 240000

static double wait_p95(load_policy_t policy, int instances, double work_ms)
{
	const load_model_options_t options = {
		.policy = policy,
		.instances = instances,
		.endpoints = 4,
		.places = 6,
		.work_ms = work_ms,
		.load = 0.7,
		.duration_ms = RUN_MS,
		.seed = SEED,
	};
	load_model_result_t result;

	load_model_run(&options, &result);
	return result.wait_p95_ms;
}

static void test_close_to_single_queue(void **state)
{
	static const int instance_counts[] = {10, 75, 300};
	static const double works_ms[] = {30, 60};
	int above = 0;
	guint i;

	for (i = 0; i < 6; i++) {
		int instances = instance_counts[i % 3];
		double work_ms = works_ms[i / 3];
		double single =
			wait_p95(POLICY_SINGLE_QUEUE, instances, work_ms);
		double even = wait_p95(POLICY_EVEN, instances, work_ms);

		print_message("%d instances, %.0f ms: %.1f ms, single queue "
			      "%.1f ms\n",
			      instances, work_ms, even, single);
		above += even > FACTOR * single;
	}
	assert_int_equal(above, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_close_to_single_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
