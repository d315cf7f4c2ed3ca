/*
 * The simulator: runs with the same seed give the same result, every request is
 * either answered or abandoned, and "ours" stalls less than the baselines.
 */

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "bench/bound.h"
#include "bench/cluster.h"

#define SEED 5

/* Limit of the stall sum of "ours" relative to the better baseline. */
#define STALL_SHARE 0.55

static const profile_t profile = {
	.endpoints = 3,
	.instances = 3,
	.adapters = 200,
	.slots = 4,
	.places = 8,
	.loads_per_1000s = 2500,
	.transit_limit = 8,
	.load_ms = 250,
	.skew_thousandths = 1000,
	.requests_per_1000s = 4000,
	.round_min = 2,
	.round_max = 4,
	.think_ms = 500,
	.prompt_tokens = 50,
	.answer_tokens = 20,
	.step_base_us = 18000,
	.step_place_us = 800,
	.prefill_token_us = 50,
	.callers = 20,
	.seconds = 60,
	.patience_ms = 10000,
	.stall_weight_thousandths = 500,
};

static int requests_of(const trace_t *trace)
{
	int count = 0;
	unsigned int i;

	for (i = 0; i < trace->rounds->len; i++)
		count += g_array_index(trace->rounds, round_t, i).step_count;
	return count;
}

static void run(const trace_t *trace, scenario_t scenario, const char *name,
		measures_t *measures)
{
	const policy_t *policy = policy_find(name);
	result_t *result;

	if (policy)
		result = cluster_run(&profile, trace, scenario, policy, SEED);
	else
		result = bound_run(&profile, trace, scenario,
				   strcmp(name, "bound") ? BOUND_LOCATED
							 : BOUND_POOL,
				   SEED);
	assert_int_equal(result->requests,
			 result->answered + result->abandoned);
	assert_true(result->requests > 0);
	assert_true(result->requests <= requests_of(trace));
	result_measures(result, &profile, measures);
	result_destroy(result);
}

/* Rounding error allowed between a sum and its parts, in seconds. */
#define ROUNDING 1e-6

/* Both breakdowns by cause must add up to the sum of stalls. */
static void check_causes(const measures_t *m)
{
	double misses = m->miss_first + m->miss_again + m->miss_copy;
	double waits =
		m->wait_pause + m->wait_grant + m->wait_load + m->wait_place;

	assert_true(fabs(misses - m->stall_sum) < ROUNDING);
	assert_true(fabs(waits - m->stall_sum) < ROUNDING);
}

static void test_every_scenario(void **state)
{
	static const char *const names[] = {
		"least-load",	"hash",	 "ours",   "fleet",
		"direct-loads", "bound", "located"};
	int scenario;
	unsigned int i;

	for (scenario = 0; scenario < SCENARIO_OVERLOAD; scenario++) {
		trace_t *trace = trace_create(&profile, scenario, SEED);

		for (i = 0; i < G_N_ELEMENTS(names); i++) {
			measures_t first;
			measures_t second;

			run(trace, scenario, names[i], &first);
			run(trace, scenario, names[i], &second);
			assert_memory_equal(&first, &second, sizeof(first));
			assert_true(first.batch > 0 && first.batch <= 1);
			check_causes(&first);
		}
		trace_destroy(trace);
	}
}

static void test_ours_beats_the_baselines(void **state)
{
	trace_t *trace = trace_create(&profile, SCENARIO_RUSH, SEED);
	measures_t least_load;
	measures_t hash;
	measures_t ours;
	measures_t bound;
	double better;

	run(trace, SCENARIO_RUSH, "least-load", &least_load);
	run(trace, SCENARIO_RUSH, "hash", &hash);
	run(trace, SCENARIO_RUSH, "ours", &ours);
	run(trace, SCENARIO_RUSH, "bound", &bound);
	better = MIN(hash.stall_sum, least_load.stall_sum);
	assert_true(ours.stall_sum <= STALL_SHARE * better);
	assert_true(bound.stall_sum < ours.stall_sum);
	trace_destroy(trace);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_scenario),
		cmocka_unit_test(test_ours_beats_the_baselines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
