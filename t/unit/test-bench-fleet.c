/* Compares the routing of hc-front with the baselines and the offline bound. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "bench/bound.h"
#include "bench/cluster.h"

#define SEED 5

/* Engines of one user: 370 adapters in use for 12 * 30 slots. */
static const profile_t site = {
	.endpoints = 12,
	.instances = 8,
	.adapters = 370,
	.slots = 30,
	.places = 64,
	.loads_per_1000s = 32000,
	.transit_limit = 8,
	.load_ms = 250,
	.skew_thousandths = 300,
	.requests_per_1000s = 118000,
	.round_min = 1,
	.round_max = 1,
	.prompt_tokens = 826,
	.answer_tokens = 290,
	.step_base_us = 5470,
	.step_place_us = 30,
	.prefill_token_us = 26,
	.callers = 98,
	.seconds = 120,
	.patience_ms = 8000,
	.stall_weight_thousandths = 700,
};

static double stalls_of(const trace_t *trace, const char *name)
{
	result_t *result = cluster_run(&site, trace, SCENARIO_QUIET,
				       policy_find(name), SEED);
	measures_t measures;

	result_measures(result, &site, &measures);
	result_destroy(result);
	return measures.stall_sum;
}

static double stalls_of_bound(const trace_t *trace)
{
	result_t *result =
		bound_run(&site, trace, SCENARIO_QUIET, BOUND_POOL, SEED);
	measures_t measures;

	result_measures(result, &site, &measures);
	result_destroy(result);
	return measures.stall_sum;
}

/*
 * With about as many adapters in use as slots, each of them requested rarely,
 * the policy "fleet" must not stall longer than the better of the baselines.
 */
static void test_no_worse_than_the_baselines(void **state)
{
	trace_t *trace = trace_create(&site, SCENARIO_QUIET, SEED);
	double least_load = stalls_of(trace, "least-load");
	double hash = stalls_of(trace, "hash");
	double fleet = stalls_of(trace, "fleet");

	assert_true(stalls_of_bound(trace) < fleet);
	assert_true(fleet <= MIN(hash, least_load));
	trace_destroy(trace);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_worse_than_the_baselines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
