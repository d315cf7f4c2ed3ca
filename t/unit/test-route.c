/*
 * Routes, the retry budget, and load balancing.  Each comment names the load
 * that a test models.
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

static const char *find_prefix(const route_table_t *table, const char *host,
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
	assert_string_equal(find_prefix(table, "a.example", "/x/z"), "/x/");
	assert_string_equal(find_prefix(table, "a.example", "/x/y/z?q=/"),
			    "/x/y/");
	assert_string_equal(find_prefix(table, "a.example", "/x/y"), "/x/");
	assert_string_equal(find_prefix(table, "A.Example:80", "/x/1"), "/x/");
	assert_string_equal(find_prefix(table, "a.example", "/"), "");
	assert_string_equal(find_prefix(table, "c.example", "/x/"), "");
	/* The path is compared as sent, not decoded. */
	assert_string_equal(find_prefix(table, "a.example", "/%78/"), "");
	assert_string_equal(find_prefix(table, "b.example", "/x/"), "/");
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

/* All requests fail on all instances: retries stay within the common budget. */
static void test_retry_budget_of_fleet(void **state)
{
	const retry_budget_options_t options = {0.2, 58, 10000};
	retry_budget_t *budgets[9];
	int retries = 0;
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
			retries++;
	}
	assert_true(retries > 0);
	assert_true(retries <= 0.2 * requests + 58);
	/* A window later retries are possible again. */
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
		fleet_endpoint_begin(endpoint, 0);
}

static void test_least_loaded(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *two = add_endpoint(fleet, "two", 1);
	endpoint_load_t load = {.running = 6, .waiting = 2, .places = 10};

	add_load(one, 3);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, two);
	/* The load of other instances is reported in answers, and expires. */
	fleet_endpoint_note_load(two, 1000, &load);
	assert_ptr_equal(choose(fleet, 1000, NULL, NULL).endpoint, one);
	assert_ptr_equal(choose(fleet, 9000, NULL, NULL).endpoint, two);
	fleet_destroy(fleet);
}

static void test_failing_is_ejected(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *two = add_endpoint(fleet, "two", 1);

	add_load(two, 1);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, one);
	fleet_endpoint_note_failure(one, 0);
	fleet_endpoint_note_failure(one, 0);
	assert_ptr_equal(choose(fleet, 10, NULL, NULL).endpoint, two);
	/* If all endpoints are ejected, one is chosen nevertheless. */
	fleet_endpoint_note_failure(two, 10);
	fleet_endpoint_note_failure(two, 10);
	assert_non_null(choose(fleet, 20, NULL, NULL).endpoint);
	fleet_endpoint_note_success(one);
	assert_ptr_equal(choose(fleet, 20, NULL, NULL).endpoint, one);
	fleet_destroy(fleet);
}

static void test_new_incarnation(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *one = add_endpoint(fleet, "one", 1);
	fleet_endpoint_t *updated;

	fleet_endpoint_ref(one);
	fleet_endpoint_set_adapter(one, "base/a1", 2);
	updated = add_endpoint(fleet, "one", 1);
	assert_ptr_equal(updated, one);
	assert_int_equal(fleet_endpoint_adapter(one, "base/a1"), 2);
	/* The adapters of one incarnation are unknown for the next. */
	updated = add_endpoint(fleet, "one", 2);
	assert_ptr_not_equal(updated, one);
	assert_false(fleet_endpoint_is_usable(one));
	assert_int_equal(fleet_endpoint_adapter(updated, "base/a1"), 0);
	fleet_remove_endpoint(fleet, "one");
	assert_null(choose(fleet, 0, NULL, NULL).endpoint);
	fleet_endpoint_unref(one);
	fleet_destroy(fleet);
}

/* Every instance sends the requests for an adapter to the same engine. */
static void test_adapter_affinity(void **state)
{
	fleet_t *first = fleet_create("front-1", "a");
	fleet_t *second = fleet_create("front-1", "b");
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
		fleet_endpoint_t *by_first =
			choose(first, 0, adapter, NULL).endpoint;
		fleet_endpoint_t *by_second =
			choose(second, 0, adapter, NULL).endpoint;

		assert_string_equal(fleet_endpoint_id(by_first),
				    fleet_endpoint_id(by_second));
		used[atoi(fleet_endpoint_id(by_first))]++;
		g_free(adapter);
	}
	for (i = 0; i < 9; i++)
		assert_in_range(used[i], 60, 140);
	fleet_destroy(first);
	fleet_destroy(second);
}

/* One hot adapter fills its engine, and is replicated to others. */
static void test_hot_adapter_gets_replicas(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
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
	/* The first engine is used until the replica is loaded. */
	assert_ptr_equal(choice.endpoint, home);
	assert_non_null(choice.replica);
	fleet_endpoint_set_adapter(choice.replica, "base/hot", 1);
	assert_ptr_equal(choose(fleet, 0, "base/hot", NULL).endpoint,
			 choice.replica);
	/* A newer version is not resident anywhere yet. */
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

static fleet_endpoint_t *choose_prompt_at(fleet_t *fleet, ms_t now, int number,
					  prompt_length_t prompt,
					  GPtrArray *tried)
{
	char *adapter = g_strdup_printf("base/a%d", number);
	fleet_query_t query = {.service = "assist",
			       .model = "base",
			       .adapter = adapter,
			       .prompt = prompt,
			       .tried = tried};
	fleet_choice_t choice;

	fleet_choose(fleet, now, &query, &choice);
	g_free(adapter);
	return choice.endpoint;
}

static fleet_endpoint_t *choose_prompt(fleet_t *fleet, int number,
				       prompt_length_t prompt, GPtrArray *tried)
{
	return choose_prompt_at(fleet, 0, number, prompt, tried);
}

static fleet_t *create_fleet(int count)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	int i;

	for (i = 0; i < count; i++) {
		char *id = g_strdup_printf("%d", i);

		add_endpoint(fleet, id, 1);
		g_free(id);
	}
	return fleet;
}

/*
 * A few percent of the prompts take as long to read as a stream may pause, for
 * adapters of the whole fleet.  Twelve engines reserve one for them, and no
 * other prompts go there.
 */
static void test_long_prompts_use_reserved_engine(void **state)
{
	fleet_t *fleet = create_fleet(12);
	fleet_endpoint_t *reserved = choose_prompt(fleet, 0, PROMPT_LONG, NULL);
	GPtrArray *tried = g_ptr_array_new();
	int i;

	for (i = 0; i < 200; i++) {
		assert_ptr_equal(choose_prompt(fleet, i, PROMPT_LONG, NULL),
				 reserved);
		assert_ptr_not_equal(
			choose_prompt(fleet, i, PROMPT_SHORT, NULL), reserved);
	}
	/* If the reserved engine was tried, another one is chosen. */
	g_ptr_array_add(tried, reserved);
	assert_non_null(choose_prompt(fleet, 1, PROMPT_LONG, tried));
	/* If the reserved engine leaves, the next in the order replaces it. */
	fleet_endpoint_ref(reserved);
	fleet_remove_endpoint(fleet, fleet_endpoint_id(reserved));
	assert_ptr_not_equal(choose_prompt(fleet, 1, PROMPT_LONG, NULL),
			     reserved);
	fleet_endpoint_unref(reserved);
	g_ptr_array_free(tried, TRUE);
	fleet_destroy(fleet);
}

/* High load: the reserved engine takes short prompts as well. */
static void test_reserved_engine_under_load(void **state)
{
	fleet_t *fleet = create_fleet(12);
	fleet_endpoint_t *reserved = choose_prompt(fleet, 0, PROMPT_LONG, NULL);
	endpoint_load_t load = {.running = 8, .waiting = 0, .places = 10};
	int used = 0;
	int i;

	for (i = 0; i < 12; i++) {
		char *id = g_strdup_printf("%d", i);
		fleet_endpoint_t *endpoint = fleet_find(fleet, id);

		if (endpoint != reserved)
			fleet_endpoint_note_load(endpoint, 0, &load);
		g_free(id);
	}
	for (i = 0; i < 200; i++)
		used += choose_prompt(fleet, i, PROMPT_SHORT, NULL) == reserved;
	assert_true(used > 0);
	fleet_destroy(fleet);
}

/*
 * Few slots an engine and prompts that no stream waits long for: no engine
 * stays empty for long prompts that don't come.
 */
static void test_no_long_prompts_reserve_none(void **state)
{
	fleet_t *fleet = create_fleet(12);
	fleet_endpoint_t *reserved = choose_prompt(fleet, 0, PROMPT_LONG, NULL);
	int used = 0;
	int i;

	for (i = 0; i < 200; i++)
		used += choose_prompt_at(fleet, 59000, i, PROMPT_SHORT, NULL) ==
			reserved;
	assert_int_equal(used, 0);
	for (i = 0; i < 200; i++)
		used += choose_prompt_at(fleet, 60000, i, PROMPT_SHORT, NULL) ==
			reserved;
	assert_in_range(used, 5, 40);
	fleet_destroy(fleet);
}

/* A fleet of five engines reserves none. */
static void test_small_fleet_reserves_none(void **state)
{
	fleet_t *fleet = create_fleet(5);
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

/*
 * Guards against adapters that are placed as often at slow engines as at fast
 * ones, whose streams then pause: a third of the engines takes 1.7 times the
 * usual time, the others 0.7 times.
 */
static void test_slow_engines_get_fewer_adapters(void **state)
{
	fleet_t *fleet = create_fleet(12);
	endpoint_load_t load = {.places = 10};
	int at_slow = 0;
	int i;

	for (i = 0; i < 12; i++) {
		char *id = g_strdup_printf("%d", i);

		load.work_percent = i % 3 ? 70 : 170;
		fleet_endpoint_note_load(fleet_find(fleet, id), 0, &load);
		g_free(id);
	}
	for (i = 0; i < 12000; i++) {
		const char *id = fleet_endpoint_id(
			choose_prompt_at(fleet, 60000, i, PROMPT_ANY, NULL));

		at_slow += atoi(id) % 3 == 0;
	}
	/* Four engines of share 1/2 beside eight of share 2: 1 in 9. */
	assert_in_range(at_slow, 12000 / 10, 12000 / 8);
	fleet_destroy(fleet);
}

/* The expected fleet size in two years, and the heartbeat interval. */
#define ENDPOINTS    3400
#define HEARTBEAT_MS 1200
/* The part of a core that is available for control. */
#define CONTROL_CORE_SHARE 0.017

/*
 * The endpoints of a large fleet write heartbeats that change nothing.  The
 * heartbeats of one second must not take more than the CPU time of one second
 * that is available for control.
 */
static void test_heartbeats_of_large_fleet(void **state)
{
	fleet_t *fleet = create_fleet(ENDPOINTS);
	int heartbeats = ENDPOINTS * 1000 / HEARTBEAT_MS;
	clock_t before = clock();
	int i;

	for (i = 0; i < heartbeats; i++) {
		char *id = g_strdup_printf("%d", i);

		add_endpoint(fleet, id, 1);
		g_free(id);
	}
	assert_true((double)(clock() - before) <
		    CONTROL_CORE_SHARE * CLOCKS_PER_SEC);
	fleet_destroy(fleet);
}

static gboolean never(void *ctx, const fleet_endpoint_t *endpoint)
{
	return FALSE;
}

/* No holder can be reached: only resident adapters can be used. */
static void test_no_loads_possible(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
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
	/* An engine without the base model is not chosen. */
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
 * Cold adapters for many requests at once, so that loads take longer than
 * expected.  When an engine answers that the adapter is not loaded yet, its
 * number of requests is above the bound.  It must be chosen again nevertheless,
 * since another engine would have to load the adapter as well.
 */
static void test_late_load_chosen_again(void **state)
{
	fleet_t *fleet = create_fleet(8);
	fleet_query_t query = {
		.service = "assist", .model = "base", .adapter = "base/cold"};
	fleet_endpoint_t *first;
	fleet_choice_t choice;
	int i;

	fleet_choose(fleet, 0, &query, &choice);
	first = choice.endpoint;
	for (i = 0; i < 9; i++)
		fleet_endpoint_begin(first, 0);
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_not_equal(choice.endpoint, first);
	query.again = first;
	fleet_choose(fleet, 0, &query, &choice);
	assert_ptr_equal(choice.endpoint, first);
	assert_null(choice.replica);

	/* Not if it was tried, if its holder is gone, or if it leaves. */
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

static ms_t refusal_time(fleet_t *fleet, ms_t now)
{
	standing_t why;

	return fleet_refusal_time(fleet, now, "assist", MS_NEVER, &why);
}

/* What an endpoint says of itself holds for its incarnation, or for the time.
 */
static void test_leaving_and_quiet(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *first = add_endpoint(fleet, "e1", 1);
	fleet_endpoint_t *second = add_endpoint(fleet, "e2", 1);

	assert_int_equal(refusal_time(fleet, 0), 0);
	fleet_endpoint_note_leaving(fleet, first);
	/* A heartbeat says that it is ready. */
	add_endpoint(fleet, "e1", 1);
	assert_int_equal(fleet_endpoint_standing(first, 0), STANDING_LEAVING);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, second);
	fleet_endpoint_note_quiet(second, 1000, 3000);
	/* A shorter time does not end a longer one. */
	fleet_endpoint_note_quiet(second, 1500, 500);
	assert_int_equal(fleet_endpoint_standing(second, 3999), STANDING_QUIET);
	assert_null(choose(fleet, 3999, NULL, NULL).endpoint);
	assert_int_equal(refusal_time(fleet, 3000), 1000);
	assert_ptr_equal(choose(fleet, 4000, NULL, NULL).endpoint, second);
	/* One request finds out whether that time is over. */
	fleet_endpoint_begin(second, 4000);
	assert_null(choose(fleet, 4000, NULL, NULL).endpoint);
	assert_true(refusal_time(fleet, 4000) > 0);
	fleet_endpoint_end(second);
	/* It got no answer: another one, which waits for admission first. */
	assert_ptr_equal(choose(fleet, 5000, NULL, NULL).endpoint, second);
	fleet_endpoint_reserve(second);
	assert_null(choose(fleet, 5000, NULL, NULL).endpoint);
	assert_true(fleet_endpoint_takes_reserved(second, 5000));
	fleet_endpoint_unreserve(second);
	fleet_endpoint_begin(second, 5000);
	fleet_endpoint_note_answer(second, 5010);
	assert_ptr_equal(choose(fleet, 5010, NULL, NULL).endpoint, second);
	fleet_endpoint_end(second);
	assert_int_equal(refusal_time(fleet, 5010), 0);
	/* The next incarnation under the same id. */
	first = add_endpoint(fleet, "e1", 2);
	assert_int_equal(fleet_endpoint_standing(first, 4000), STANDING_OPEN);
	/* What only another instance has heard holds for a time. */
	fleet_endpoint_hint_leaving(first, 4000);
	assert_int_equal(fleet_endpoint_standing(first, 8999),
			 STANDING_LEAVING);
	assert_int_equal(fleet_endpoint_standing(first, 9000), STANDING_OPEN);
	fleet_destroy(fleet);
}

/*
 * Guards against a part of a plain endpoint's limit that nobody uses: it has no
 * holder, for which the limit of an engine has room.
 */
static void test_request_limit_of_plain_endpoint(void **state)
{
	static const char *const names[] = {"front-1", "front-2"};
	char *none[] = {NULL};
	endpoint_info_t info = {.id = "e",
				.service = "desk",
				.address = "10.0.0.1",
				.port = 80,
				.failure_domain = "a",
				.places = 1,
				.models = none};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		fleet_t *fleet = fleet_create(names[i], "a");
		fleet_endpoint_t *endpoint =
			fleet_update_endpoint(fleet, &info);

		fleet_set_instance(fleet, 0, names[1 - i], TRUE);
		fleet_endpoint_note_limit(fleet, endpoint, 0, 2, TRUE);
		assert_int_equal(fleet_endpoint_standing(endpoint, 900),
				 STANDING_LIMITED);
		assert_int_equal(fleet_endpoint_standing(endpoint, 1100),
				 STANDING_OPEN);
		fleet_destroy(fleet);
	}
}

/* One of two endpoints is limited, then both are. */
static void test_request_limit(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *first = add_endpoint(fleet, "e1", 1);
	fleet_endpoint_t *second = add_endpoint(fleet, "e2", 1);
	standing_t why;

	fleet_endpoint_note_limit(fleet, first, 0, 2, TRUE);
	/* A share starts empty. */
	assert_int_equal(fleet_endpoint_standing(first, 0), STANDING_LIMITED);
	assert_ptr_equal(choose(fleet, 0, NULL, NULL).endpoint, second);
	assert_int_equal(fleet_endpoint_standing(first, 600), STANDING_OPEN);
	/* Room for one that waits is kept. */
	fleet_endpoint_reserve(first);
	assert_int_equal(fleet_endpoint_standing(first, 600), STANDING_LIMITED);
	assert_true(fleet_endpoint_takes_reserved(first, 600));
	fleet_endpoint_unreserve(first);
	fleet_endpoint_begin(first, 600);
	fleet_endpoint_end(first);
	assert_int_equal(fleet_endpoint_standing(first, 1000),
			 STANDING_LIMITED);
	assert_int_equal(refusal_time(fleet, 1000), 0);
	fleet_endpoint_note_limit(fleet, second, 1000, 4, TRUE);
	/* Callers are told when there will be room: 250, 500, and 500 ms. */
	assert_int_equal(refusal_time(fleet, 1000), 250);
	assert_int_equal(refusal_time(fleet, 1000), 500);
	assert_int_equal(fleet_refusal_time(fleet, 1000, "assist", 5000, &why),
			 500);
	assert_int_equal(why, STANDING_LIMITED);
	assert_null(choose(fleet, 1000, NULL, NULL).endpoint);
	/* The limit is divided among more instances, and is over. */
	fleet_set_instance(fleet, 1000, "front-1", TRUE);
	fleet_set_instance(fleet, 1000, "front-2", TRUE);
	fleet_endpoint_set_holder(fleet, first, 1000, TRUE);
	assert_int_equal(fleet_endpoint_standing(first, 1150),
			 STANDING_LIMITED);
	assert_int_equal(fleet_endpoint_standing(first, 2001), STANDING_OPEN);
	fleet_endpoint_end_limit(second);
	assert_ptr_equal(choose(fleet, 1000, NULL, NULL).endpoint, second);
	/* The next incarnation under the same id has named none. */
	first = add_endpoint(fleet, "e1", 2);
	assert_null(fleet_endpoint_limit(first));
	fleet_destroy(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_split_by_weight),
		cmocka_unit_test(test_retry_budget_of_fleet),
		cmocka_unit_test(test_least_loaded),
		cmocka_unit_test(test_leaving_and_quiet),
		cmocka_unit_test(test_request_limit),
		cmocka_unit_test(test_request_limit_of_plain_endpoint),
		cmocka_unit_test(test_failing_is_ejected),
		cmocka_unit_test(test_new_incarnation),
		cmocka_unit_test(test_adapter_affinity),
		cmocka_unit_test(test_hot_adapter_gets_replicas),
		cmocka_unit_test(test_long_prompts_use_reserved_engine),
		cmocka_unit_test(test_reserved_engine_under_load),
		cmocka_unit_test(test_no_long_prompts_reserve_none),
		cmocka_unit_test(test_small_fleet_reserves_none),
		cmocka_unit_test(test_slow_engines_get_fewer_adapters),
		cmocka_unit_test(test_heartbeats_of_large_fleet),
		cmocka_unit_test(test_no_loads_possible),
		cmocka_unit_test(test_late_load_chosen_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
