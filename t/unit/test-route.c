/* Routes, repeats and the choice of an endpoint, each with the load it is for.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "route/fleet.h"
#include "route/retry_budget.h"
#include "route/route_table.h"

#define SEED 7

static void add_route(route_table_t *table, const char *host,
		      const char *prefix, const char *service)
{
	route_t *route = route_table_add(table);

	route->name = g_strdup(prefix);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route_add_target(route, service, 1);
}

static const char *found(const route_table_t *table, const char *host,
			 const char *path)
{
	const route_t *route = route_table_find(table, host, path);

	return route ? route->prefix : "";
}

static void test_longest_prefix(void **state)
{
	route_table_t *table = route_table_create(4);

	add_route(table, "a.example", "/x/", "one");
	add_route(table, "a.example", "/x/y/", "two");
	add_route(table, "b.example", "/", "three");
	route_table_seal(table);
	assert_string_equal(found(table, "a.example", "/x/z"), "/x/");
	assert_string_equal(found(table, "a.example", "/x/y/z?q=/"), "/x/y/");
	assert_string_equal(found(table, "a.example", "/x/y"), "/x/");
	assert_string_equal(found(table, "A.Example:80", "/x/1"), "/x/");
	assert_string_equal(found(table, "a.example", "/"), "");
	assert_string_equal(found(table, "c.example", "/x/"), "");
	/* Compared as it was sent, not decoded. */
	assert_string_equal(found(table, "a.example", "/%78/"), "");
	assert_string_equal(found(table, "b.example", "/x/"), "/");
	assert_int_equal(route_table_version(table), 4);
	route_table_unref(table);
}

static void test_split_by_weight(void **state)
{
	route_table_t *table = route_table_create(1);
	GRand *rand = g_rand_new_with_seed(SEED);
	route_t *route = route_table_add(table);
	int first = 0;
	int i;

	route->host = g_strdup("a.example");
	route->prefix = g_strdup("/");
	route_add_target(route, "one", 3);
	route_add_target(route, "two", 1);
	route_add_target(route, "none", 0);
	route_table_seal(table);
	for (i = 0; i < 4000; i++) {
		const char *service = route_choose_service(route, rand);

		assert_string_not_equal(service, "none");
		first += !strcmp(service, "one");
	}
	assert_in_range(first, 2850, 3150);
	g_rand_free(rand);
	route_table_unref(table);
}

/* Everything fails on all instances: repeats stay within the fleet's budget. */
static void test_repeats_of_a_fleet(void **state)
{
	const retry_budget_options_t options = {0.2, 58, 10000};
	retry_budget_t *budgets[9];
	int repeats = 0;
	int requests = 0;
	ms_t now;
	int i;

	for (i = 0; i < 9; i++) {
		budgets[i] = retry_budget_create(&options);
		retry_budget_set_instances(budgets[i], 9);
	}
	for (now = 0; now < 10000; now += 10) {
		i = (int)(now / 10) % 9;
		retry_budget_count_request(budgets[i], now, "assist");
		requests++;
		while (retry_budget_take(budgets[i], now, "assist"))
			repeats++;
	}
	assert_true(repeats > 0);
	assert_true(repeats <= 0.2 * requests + 58);
	/* A window later the budget is there again. */
	assert_true(retry_budget_take(budgets[0], now + 20000, "assist"));
	for (i = 0; i < 9; i++)
		retry_budget_destroy(budgets[i]);
}

static fleet_endpoint_t *add_endpoint(fleet_t *fleet, const char *id,
				      int64_t started_at)
{
	char *models[] = {(char *)"base", NULL};
	endpoint_info_t info = {
		.id = id,
		.service = "assist",
		.address = "10.0.0.1",
		.port = 80,
		.failure_domain = "a",
		.started_at = started_at,
		.places = 10,
		.is_engine = TRUE,
		.models = models,
	};

	return fleet_update_endpoint(fleet, &info);
}

static fleet_choice_t choose(fleet_t *fleet, ms_t now, const char *adapter,
			     GPtrArray *tried)
{
	fleet_query_t query = {.service = "assist",
			       .model = "base",
			       .adapter = adapter,
			       .tried = tried};
	fleet_choice_t choice;

	fleet_choose(fleet, now, &query, &choice);
	return choice;
}

static void add_load(fleet_endpoint_t *endpoint, int requests)
{
	while (requests-- > 0)
		fleet_endpoint_begin(endpoint);
}

static void test_least_loaded(void **state)
{
	fleet_t *fleet = fleet_create("a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *two = add_endpoint(fleet, "two", 1);
	endpoint_load_t told = {.running = 6, .waiting = 2, .places = 10};

	add_load(one, 3);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, two);
	/* What others send there is known from its answers, for a time. */
	fleet_endpoint_note_load(two, 1000, &told);
	assert_ptr_equal(choose(fleet, 1000, NULL, NULL).endpoint, one);
	assert_ptr_equal(choose(fleet, 9000, NULL, NULL).endpoint, two);
	fleet_destroy(fleet);
}

static void test_failing_is_left_out(void **state)
{
	fleet_t *fleet = fleet_create("a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *two = add_endpoint(fleet, "two", 1);

	add_load(two, 1);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, one);
	fleet_endpoint_note_failure(one, 0);
	fleet_endpoint_note_failure(one, 0);
	assert_ptr_equal(choose(fleet, 10, NULL, NULL).endpoint, two);
	/* If all fail, one is tried all the same. */
	fleet_endpoint_note_failure(two, 10);
	fleet_endpoint_note_failure(two, 10);
	assert_non_null(choose(fleet, 20, NULL, NULL).endpoint);
	fleet_endpoint_note_success(one);
	assert_ptr_equal(choose(fleet, 20, NULL, NULL).endpoint, one);
	fleet_destroy(fleet);
}

static void test_leaving_and_reborn(void **state)
{
	fleet_t *fleet = fleet_create("a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *again;

	fleet_endpoint_ref(one);
	fleet_endpoint_set_adapter(one, "base/a1", 2);
	again = add_endpoint(fleet, "one", 1);
	assert_ptr_equal(again, one);
	assert_int_equal(fleet_endpoint_adapter(one, "base/a1"), 2);
	/* Another incarnation of the same name knows nothing of the first. */
	again = add_endpoint(fleet, "one", 2);
	assert_ptr_not_equal(again, one);
	assert_false(fleet_endpoint_is_usable(one));
	assert_int_equal(fleet_endpoint_adapter(again, "base/a1"), 0);
	fleet_remove_endpoint(fleet, "one");
	assert_null(choose(fleet, 0, NULL, NULL).endpoint);
	fleet_endpoint_unref(one);
	fleet_destroy(fleet);
}

/* Skewed demand: every instance sends an adapter to the same engine. */
static void test_adapters_stay_where_they_are(void **state)
{
	fleet_t *first = fleet_create("a");
	fleet_t *second = fleet_create("b");
	int used[9] = {0};
	int i;

	for (i = 0; i < 9; i++) {
		char *id = g_strdup_printf("%d", i);

		add_endpoint(first, id, 1);
		add_endpoint(second, id, 1);
		g_free(id);
	}
	for (i = 0; i < 900; i++) {
		char *adapter = g_strdup_printf("base/a%d", i);
		fleet_endpoint_t *here =
			choose(first, 0, adapter, NULL).endpoint;
		fleet_endpoint_t *there =
			choose(second, 0, adapter, NULL).endpoint;

		assert_string_equal(fleet_endpoint_id(here),
				    fleet_endpoint_id(there));
		used[atoi(fleet_endpoint_id(here))]++;
		g_free(adapter);
	}
	for (i = 0; i < 9; i++)
		assert_in_range(used[i], 60, 140);
	fleet_destroy(first);
	fleet_destroy(second);
}

/* One hot adapter: its engine fills up, and others take it over. */
static void test_hot_adapter_gets_replicas(void **state)
{
	fleet_t *fleet = fleet_create("a");
	fleet_endpoint_t *all[] = {add_endpoint(fleet, "one", 1),
				   add_endpoint(fleet, "two", 1),
				   add_endpoint(fleet, "three", 1)};
	fleet_choice_t choice = choose(fleet, 0, "base/hot", NULL);
	fleet_endpoint_t *home = choice.endpoint;

	assert_false(choice.is_resident);
	fleet_endpoint_set_adapter(home, "base/hot", 1);
	assert_true(choose(fleet, 0, "base/hot", NULL).is_resident);
	add_load(home, 8);
	choice = choose(fleet, 0, "base/hot", NULL);
	/* It still runs where it is, while a replica is on its way. */
	assert_ptr_equal(choice.endpoint, home);
	assert_non_null(choice.replica);
	fleet_endpoint_set_adapter(choice.replica, "base/hot", 1);
	assert_ptr_equal(choose(fleet, 0, "base/hot", NULL).endpoint,
			 choice.replica);
	/* A newer version is nowhere yet. */
	{
		fleet_query_t query = {.service = "assist",
				       .model = "base",
				       .adapter = "base/hot",
				       .version = 2};

		fleet_choose(fleet, 0, &query, &choice);
		assert_false(choice.is_resident);
	}
	assert_non_null(all[2]);
	fleet_destroy(fleet);
}

static fleet_endpoint_t *choose_prompt(fleet_t *fleet, int number,
				       prompt_length_t prompt, GPtrArray *tried)
{
	char *adapter = g_strdup_printf("base/a%d", number);
	fleet_query_t query = {.service = "assist",
			       .model = "base",
			       .adapter = adapter,
			       .prompt = prompt,
			       .tried = tried};
	fleet_choice_t choice;

	fleet_choose(fleet, 0, &query, &choice);
	g_free(adapter);
	return choice.endpoint;
}

static fleet_t *fleet_of(int count)
{
	fleet_t *fleet = fleet_create("a");
	int i;

	for (i = 0; i < count; i++) {
		char *id = g_strdup_printf("%d", i);

		add_endpoint(fleet, id, 1);
		g_free(id);
	}
	return fleet;
}

/*
 * A few prompts in a hundred take as long to read as a stream may pause, for
 * adapters all over the fleet: they go to one engine of twelve, and nothing
 * else does.
 */
static void test_long_prompts_keep_to_few_engines(void **state)
{
	fleet_t *fleet = fleet_of(12);
	fleet_endpoint_t *kept = choose_prompt(fleet, 0, PROMPT_LONG, NULL);
	GPtrArray *tried = g_ptr_array_new();
	int i;

	for (i = 0; i < 200; i++) {
		assert_ptr_equal(choose_prompt(fleet, i, PROMPT_LONG, NULL),
				 kept);
		assert_ptr_not_equal(
			choose_prompt(fleet, i, PROMPT_SHORT, NULL), kept);
	}
	/* It had no place in time: another engine is as good as it gets. */
	g_ptr_array_add(tried, kept);
	assert_non_null(choose_prompt(fleet, 1, PROMPT_LONG, tried));
	/* It leaves, and the next of the order takes its part. */
	fleet_endpoint_ref(kept);
	fleet_remove_endpoint(fleet, fleet_endpoint_id(kept));
	assert_ptr_not_equal(choose_prompt(fleet, 1, PROMPT_LONG, NULL), kept);
	fleet_endpoint_unref(kept);
	g_ptr_array_free(tried, TRUE);
	fleet_destroy(fleet);
}

/* High load: no engine is kept free while the others are nearly full. */
static void test_kept_engine_helps_under_load(void **state)
{
	fleet_t *fleet = fleet_of(12);
	fleet_endpoint_t *kept = choose_prompt(fleet, 0, PROMPT_LONG, NULL);
	endpoint_load_t told = {.running = 8, .waiting = 0, .places = 10};
	int used = 0;
	int i;

	for (i = 0; i < 12; i++) {
		char *id = g_strdup_printf("%d", i);
		fleet_endpoint_t *endpoint = fleet_find(fleet, id);

		if (endpoint != kept)
			fleet_endpoint_note_load(endpoint, 0, &told);
		g_free(id);
	}
	for (i = 0; i < 200; i++)
		used += choose_prompt(fleet, i, PROMPT_SHORT, NULL) == kept;
	assert_true(used > 0);
	fleet_destroy(fleet);
}

/* Five engines are too few to keep one apart. */
static void test_small_fleet_keeps_none(void **state)
{
	fleet_t *fleet = fleet_of(5);
	int used[5] = {0};
	int i;

	for (i = 0; i < 500; i++) {
		fleet_endpoint_t *long_one =
			choose_prompt(fleet, i, PROMPT_LONG, NULL);
		fleet_endpoint_t *short_one =
			choose_prompt(fleet, i, PROMPT_SHORT, NULL);

		assert_ptr_equal(long_one, short_one);
		used[atoi(fleet_endpoint_id(short_one))]++;
	}
	for (i = 0; i < 5; i++)
		assert_in_range(used[i], 60, 140);
	fleet_destroy(fleet);
}

/* The size in two years, and a beat of each endpoint. */
#define ENDPOINTS    3400
#define HEARTBEAT_MS 1200
/* Of a core, for control. */
#define CORE_SHARE 0.017

/*
 * Load: a large fleet whose endpoints write their heartbeats, of which nothing
 * is new.  Those of one second have to fit into the second's part for control.
 */
static void test_heartbeats_of_a_large_fleet(void **state)
{
	fleet_t *fleet = fleet_of(ENDPOINTS);
	int beats = ENDPOINTS * 1000 / HEARTBEAT_MS;
	clock_t before = clock();
	int i;

	for (i = 0; i < beats; i++) {
		char *id = g_strdup_printf("%d", i);

		add_endpoint(fleet, id, 1);
		g_free(id);
	}
	assert_true((double)(clock() - before) < CORE_SHARE * CLOCKS_PER_SEC);
	fleet_destroy(fleet);
}

static gboolean never(void *ctx, const fleet_endpoint_t *endpoint)
{
	return FALSE;
}

/* No holder can be reached: what is resident is used, the rest is refused. */
static void test_nothing_can_be_loaded(void **state)
{
	fleet_t *fleet = fleet_create("a");
	fleet_query_t query = {.service = "assist",
			       .model = "base",
			       .adapter = "base/a1",
			       .may_load = never};
	fleet_choice_t choice;

	add_endpoint(fleet, "one", 1);
	fleet_choose(fleet, 0, &query, &choice);
	assert_null(choice.endpoint);
	fleet_endpoint_set_adapter(fleet_find(fleet, "one"), "base/a1", 1);
	fleet_choose(fleet, 0, &query, &choice);
	assert_true(choice.is_resident);
	/* An engine without the base model runs nothing of it. */
	query.model = "other";
	fleet_choose(fleet, 0, &query, &choice);
	assert_null(choice.endpoint);
	fleet_destroy(fleet);
}

static gboolean is_other(void *ctx, const fleet_endpoint_t *endpoint)
{
	return endpoint != ctx;
}

/*
 * Load: cold adapters for many requests at once, so that loads take longer than
 * was supposed.  An engine says that the adapter is not there yet; by then it
 * has more than its share of requests.  Another one would have to fetch the
 * adapter as well.
 */
static void test_late_load_is_waited_for(void **state)
{
	fleet_t *fleet = fleet_of(8);
	fleet_query_t query = {
		.service = "assist", .model = "base", .adapter = "base/cold"};
	fleet_endpoint_t *first;
	fleet_choice_t choice;
	int i;

	fleet_choose(fleet, 0, &query, &choice);
	first = choice.endpoint;
	for (i = 0; i < 9; i++)
		fleet_endpoint_begin(first);
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_not_equal(choice.endpoint, first);
	query.again = first;
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_equal(choice.endpoint, first);
	assert_null(choice.replica);

	/* It was tried in vain, its holder is gone, or it leaves. */
	query.tried = g_ptr_array_new();
	g_ptr_array_add(query.tried, first);
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_not_equal(choice.endpoint, first);
	g_ptr_array_free(query.tried, TRUE);
	query.tried = NULL;
	query.may_load = is_other;
	query.ctx = first;
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_not_equal(choice.endpoint, first);
	query.may_load = NULL;
	fleet_endpoint_ref(first);
	fleet_remove_endpoint(fleet, fleet_endpoint_id(first));
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_not_equal(choice.endpoint, first);
	fleet_endpoint_unref(first);
	fleet_destroy(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_split_by_weight),
		cmocka_unit_test(test_repeats_of_a_fleet),
		cmocka_unit_test(test_least_loaded),
		cmocka_unit_test(test_failing_is_left_out),
		cmocka_unit_test(test_leaving_and_reborn),
		cmocka_unit_test(test_adapters_stay_where_they_are),
		cmocka_unit_test(test_hot_adapter_gets_replicas),
		cmocka_unit_test(test_long_prompts_keep_to_few_engines),
		cmocka_unit_test(test_kept_engine_helps_under_load),
		cmocka_unit_test(test_small_fleet_keeps_none),
		cmocka_unit_test(test_heartbeats_of_a_large_fleet),
		cmocka_unit_test(test_nothing_can_be_loaded),
		cmocka_unit_test(test_late_load_is_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
