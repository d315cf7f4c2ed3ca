/*
 * The choice among plain endpoints by stale reports: in a model of many
 * instances, and after failures.  TABLE=1 prints the table of
 * docs/design/even-load.md instead.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "load_model.h"
#include "route/fleet.h"

#define SEED	  5
#define ENDPOINTS 4
#define PLACES	  6

/* Virtual time of each run, and of those for the table. */
#define RUN_MS	 240000
#define TABLE_MS 600000

/*
 * Requests that all endpoints refuse, in percent, beyond those of today if
 * nothing is passed on: 0.02 against 0.01 were seen with 300 instances.  They
 * count as endless waits as well.
 */
#define REFUSED_ALONE_PERCENT 0.05

static const int instance_counts[] = {10, 75, 300};

static load_model_result_t run(load_policy_t policy, int instances,
			       double work_ms, int unequal_percent,
			       double duration_ms)
{
	const load_model_options_t options = {
		.policy = policy,
		.instances = instances,
		.endpoints = ENDPOINTS,
		.places = PLACES,
		.work_ms = work_ms,
		.unequal_percent = unequal_percent,
		.load = 0.7,
		.duration_ms = duration_ms,
		.seed = SEED,
	};
	load_model_result_t result;

	load_model_run(&options, &result);
	return result;
}

/* Instances that state the fourth figure must never wait longer than before. */
static void check_never_above_today(load_policy_t policy, double work_ms,
				    int unequal_percent)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
		load_model_result_t today =
			run(POLICY_TODAY, instance_counts[i], work_ms,
			    unequal_percent, RUN_MS);
		load_model_result_t even =
			run(policy, instance_counts[i], work_ms,
			    unequal_percent, RUN_MS);

		print_message("%d instances, %.0f ms: %.1f ms, today %.1f ms\n",
			      instance_counts[i], work_ms, even.wait_p95_ms,
			      today.wait_p95_ms);
		assert_true(even.wait_p95_ms <= today.wait_p95_ms);
		assert_true(even.refused_percent <=
			    today.refused_percent +
				    (policy == POLICY_EVEN_ALONE
					     ? REFUSED_ALONE_PERCENT
					     : 0));
	}
}

static void test_never_above_today(void **state)
{
	check_never_above_today(POLICY_EVEN, 30, 0);
	check_never_above_today(POLICY_EVEN, 60, 0);
}

/* Each second endpoint is slower all the time. */
static void test_never_above_today_unequal(void **state)
{
	check_never_above_today(POLICY_EVEN, 30, 70);
	check_never_above_today(POLICY_EVEN, 60, 70);
}

/* The instances do not reach each other. */
static void test_never_above_today_alone(void **state)
{
	check_never_above_today(POLICY_EVEN_ALONE, 30, 0);
	check_never_above_today(POLICY_EVEN_ALONE, 60, 0);
}

/* What is passed on is bounded, whatever the number of instances. */
static void test_few_messages(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(instance_counts); i++)
		assert_true(run(POLICY_EVEN, instance_counts[i], 30, 0, RUN_MS)
				    .passed_per_s < 8);
}

static fleet_endpoint_t *add_endpoint(fleet_t *fleet, const char *id,
				      const char *domain)
{
	const endpoint_info_t info = {
		.id = id,
		.service = "plain",
		.address = "10.0.0.1",
		.port = 80,
		.failure_domain = domain,
		.started_at = 1,
		.places = PLACES,
	};

	return fleet_update_endpoint(fleet, &info);
}

static fleet_t *create_fleet(GRand *rand, fleet_endpoint_t **endpoints)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	int i;

	fleet_set_rand(fleet, rand);
	for (i = 0; i < ENDPOINTS; i++) {
		char id[] = {(char)('0' + i), '\0'};

		endpoints[i] = add_endpoint(fleet, id, "a");
	}
	return fleet;
}

static int choose(fleet_t *fleet, ms_t now)
{
	const fleet_query_t query = {.service = "plain"};
	fleet_choice_t choice;

	fleet_choose(fleet, now, &query, &choice);
	assert_non_null(choice.endpoint);
	return *fleet_endpoint_id(choice.endpoint) - '0';
}

static void report(fleet_endpoint_t *endpoint, ms_t now, int running,
		   int percent)
{
	const endpoint_load_t load = {
		.running = running, .places = PLACES, .work_percent = percent};

	fleet_endpoint_note_load(endpoint, now, &load);
}

/*
 * Where no endpoint states the fourth figure, the choice is exactly as without
 * a source of random numbers, and none is drawn.
 */
static void test_as_before_without_figure(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GRand *untouched = g_rand_new_with_seed(SEED);
	GRand *events = g_rand_new_with_seed(SEED + 1);
	fleet_endpoint_t *first[ENDPOINTS];
	fleet_endpoint_t *second[ENDPOINTS];
	fleet_t *one = create_fleet(rand, first);
	fleet_t *two = create_fleet(NULL, second);
	ms_t now = 0;
	int i;

	for (i = 0; i < 5000; i++) {
		int index = g_rand_int_range(events, 0, ENDPOINTS);
		int load = g_rand_int_range(events, 0, 20);

		now += g_rand_int_range(events, 0, 100);
		report(first[index], now, load, 0);
		report(second[index], now, load, 0);
		if (load == 0) {
			fleet_endpoint_note_failure(first[index], now);
			fleet_endpoint_note_failure(second[index], now);
		} else {
			fleet_endpoint_note_success(first[index]);
			fleet_endpoint_note_success(second[index]);
		}
		assert_int_equal(choose(one, now), choose(two, now));
		assert_int_equal(
			fleet_endpoint_take_work_news(first[index], now), 0);
	}
	assert_int_equal(fleet_imbalance(one, now), 0);
	assert_int_equal(g_rand_int(rand), g_rand_int(untouched));
	fleet_destroy(one);
	fleet_destroy(two);
	g_rand_free(rand);
	g_rand_free(untouched);
	g_rand_free(events);
}

/* Sends requests that are answered at once, and counts them by endpoint. */
static void send_requests(fleet_t *fleet, fleet_endpoint_t **endpoints,
			  ms_t from, ms_t to, int failing, int *counts)
{
	ms_t now;

	memset(counts, 0, ENDPOINTS * sizeof(*counts));
	for (now = from; now < to; now += 20) {
		int index = choose(fleet, now);

		counts[index]++;
		fleet_endpoint_begin(endpoints[index], now);
		/* The failing one is idle, since it runs nothing. */
		report(endpoints[index], now, index == failing ? 1 : 4, 100);
		if (index == failing)
			fleet_endpoint_note_failure(endpoints[index], now);
		else
			fleet_endpoint_note_success(endpoints[index]);
		fleet_endpoint_end(endpoints[index]);
	}
}

/*
 * An endpoint that answers errors at once has the least load, and must not
 * attract requests; once it works again it gets its share.
 */
static void test_fast_errors(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	fleet_endpoint_t *endpoints[ENDPOINTS];
	fleet_t *fleet = create_fleet(rand, endpoints);
	int counts[ENDPOINTS];

	send_requests(fleet, endpoints, 10000, 40000, 2, counts);
	assert_in_range(counts[2], 1, 1500 / 20);
	send_requests(fleet, endpoints, 40000, 60000, -1, counts);
	assert_in_range(counts[2], 1000 / 8, 1000 / 2);
	fleet_destroy(fleet);
	g_rand_free(rand);
}

static void count_choices(fleet_t *fleet, ms_t now, int *counts)
{
	int i;

	memset(counts, 0, ENDPOINTS * sizeof(*counts));
	for (i = 0; i < 4000; i++)
		counts[choose(fleet, now)]++;
}

/* A report counts while it is new, and its endpoint is like others later. */
static void test_report_ages(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	fleet_endpoint_t *endpoints[ENDPOINTS];
	fleet_t *fleet = create_fleet(rand, endpoints);
	int counts[ENDPOINTS];
	ms_t now;
	int i;

	for (now = 1000; now <= 60000; now += 100) {
		for (i = 0; i < ENDPOINTS; i++)
			report(endpoints[i], now, 4, 100);
	}
	report(endpoints[0], now, 12, 100);
	count_choices(fleet, now, counts);
	assert_in_range(counts[0], 0, 100);
	assert_true(fleet_imbalance(fleet, now) > 100);
	/* Reports stop. */
	count_choices(fleet, now + 5000, counts);
	for (i = 0; i < ENDPOINTS; i++)
		assert_in_range(counts[i], 700, 1300);
	assert_in_range(fleet_imbalance(fleet, now + 5000), 0, 10);
	/* Of an endpoint that has just started nothing is known. */
	fleet_remove_endpoint(fleet, "0");
	endpoints[0] = add_endpoint(fleet, "0", "a");
	count_choices(fleet, now + 5000, counts);
	assert_in_range(counts[0], 700, 1300);
	fleet_destroy(fleet);
	g_rand_free(rand);
}

/* A slow spell counts here and at the other instances, until it is over. */
static void test_slow_spell_is_shared(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	fleet_endpoint_t *endpoints[ENDPOINTS];
	fleet_t *fleet = create_fleet(rand, endpoints);
	int counts[ENDPOINTS];

	report(endpoints[0], 1000, 4, 100);
	assert_int_equal(fleet_endpoint_take_work_news(endpoints[0], 1000), 0);
	report(endpoints[0], 1100, 4, 250);
	assert_int_equal(fleet_endpoint_take_work_news(endpoints[0], 1100),
			 250);
	assert_int_equal(fleet_endpoint_take_work_news(endpoints[0], 1101), 0);
	/* Another instance has seen the end of it. */
	fleet_endpoint_note_shared_work(endpoints[0], 1700, 100);
	report(endpoints[0], 1710, 4, 100);
	assert_int_equal(fleet_endpoint_take_work_news(endpoints[0], 1710), 0);
	/* Another one has slowed down, as this instance is told. */
	fleet_endpoint_note_shared_work(endpoints[1], 1720, 250);
	count_choices(fleet, 1730, counts);
	assert_true(counts[1] < counts[2] / 2);
	count_choices(fleet, 1720 + 30000, counts);
	assert_in_range(counts[1], 700, 1300);
	fleet_destroy(fleet);
	g_rand_free(rand);
}

/* An endpoint whose statements vary with each answer causes few messages. */
static void test_noisy_statements_are_bounded(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	fleet_endpoint_t *endpoints[ENDPOINTS];
	fleet_t *fleet = create_fleet(rand, endpoints);
	int news = 0;
	ms_t now;

	for (now = 1000; now < 11000; now += 10) {
		report(endpoints[0], now, 4, now % 20 ? 100 : 250);
		news += fleet_endpoint_take_work_news(endpoints[0], now) != 0;
	}
	assert_in_range(news, 20, 40);
	fleet_destroy(fleet);
	g_rand_free(rand);
}

/* The own failure domain comes first among equals. */
static void test_own_domain_first(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *endpoints[ENDPOINTS];
	int counts[ENDPOINTS];
	ms_t now;
	int i;

	fleet_set_rand(fleet, rand);
	for (i = 0; i < ENDPOINTS; i++) {
		char id[] = {(char)('0' + i), '\0'};

		endpoints[i] = add_endpoint(fleet, id, i % 2 ? "b" : "a");
	}
	for (now = 1000; now <= 30000; now += 100) {
		for (i = 0; i < ENDPOINTS; i++)
			report(endpoints[i], now, 4, 100);
	}
	count_choices(fleet, now, counts);
	assert_true(counts[0] + counts[2] > counts[1] + counts[3]);
	assert_true(counts[1] + counts[3] > 400);
	fleet_destroy(fleet);
	g_rand_free(rand);
}

static void print_table(double work_ms, int unequal_percent)
{
	int policy;
	guint i;

	printf("\n%.0f ms of work, every second endpoint %d %% slower\n\n",
	       work_ms, unequal_percent);
	for (policy = 0; policy < POLICY_COUNT; policy++) {
		load_model_result_t result = {0};

		printf("| %s |", load_policy_name(policy));
		for (i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
			result = run(policy, instance_counts[i], work_ms,
				     unequal_percent, TABLE_MS);
			printf(" %.1f | %.0f |", result.wait_p95_ms,
			       result.time_p95_ms);
		}
		printf(" %.2f | %.0f |\n", result.refused_percent,
		       result.passed_per_s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_above_today),
		cmocka_unit_test(test_never_above_today_unequal),
		cmocka_unit_test(test_never_above_today_alone),
		cmocka_unit_test(test_few_messages),
		cmocka_unit_test(test_as_before_without_figure),
		cmocka_unit_test(test_fast_errors),
		cmocka_unit_test(test_report_ages),
		cmocka_unit_test(test_slow_spell_is_shared),
		cmocka_unit_test(test_noisy_statements_are_bounded),
		cmocka_unit_test(test_own_domain_first),
	};

	if (getenv("TABLE")) {
		print_table(30, 0);
		print_table(60, 0);
		print_table(30, 70);
		print_table(60, 70);
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
