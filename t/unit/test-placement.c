/* Popularity, the placement table and the homes of adapters. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sched/home.h"
#include "sched/placement.h"
#include "sched/popularity.h"

typedef struct {
	GRand *rand;
	placement_t *table;
	home_t *home;
	GString *log;
	uint64_t sequence;
} world_t;

static void on_drop(void *ctx, const char *endpoint, const char *adapter)
{
	world_t *world = ctx;

	g_string_append_printf(world->log, "drop %s:%s;", endpoint, adapter);
}

static const home_actions_t home_actions = {.drop = on_drop};

static gboolean is_engine(void *ctx, const char *endpoint, const char *adapter)
{
	return *endpoint == 'e';
}

static void setup(world_t *world)
{
	placement_config_t config;
	home_config_t home_config;

	*world = (world_t){.rand = g_rand_new_with_seed(3),
			   .log = g_string_new(NULL)};
	placement_config_init(&config);
	config.stale_after = 100000;
	world->table = placement_create(&config, world->rand);
	home_config_init(&home_config);
	world->home = home_create(&home_config, world->table, &home_actions,
				  world, world->rand);
}

static void teardown(world_t *world)
{
	home_destroy(world->home);
	placement_destroy(world->table);
	g_rand_free(world->rand);
	g_string_free(world->log, TRUE);
}

/* A snapshot of an endpoint that holds at most one adapter. */
static void report(world_t *world, ms_t now, const char *endpoint,
		   const char *adapter, int running, double victim_rate)
{
	const char *names[] = {adapter, NULL};
	placement_update_t news = {
		.endpoint = endpoint,
		.owner = "i1",
		.epoch = 1,
		.sequence = ++world->sequence,
		.snapshot = TRUE,
		.added = names,
		.load = {.running = running,
			 .concurrency = 8,
			 .victim_slots = 2,
			 .victim_rate = victim_rate},
	};

	assert_int_equal(placement_apply(world->table, now, &news),
			 PLACEMENT_APPLIED);
}

static void test_popularity(void **state)
{
	popularity_t *popularity = popularity_create(8, 1000);
	char name[8];
	int i;

	for (i = 0; i < 10; i++)
		popularity_add(popularity, i * 100, "hot", 1);
	for (i = 0; i < 100; i++) {
		g_snprintf(name, sizeof(name), "t%d", i);
		popularity_add(popularity, 1000, name, 1);
	}
	assert_true(popularity_count(popularity) <= 8);
	assert_true(popularity_rate(popularity, 1000, "hot") > 3);
	assert_true(popularity_rate(popularity, 11000, "hot") < 0.01);
	popularity_destroy(popularity);
}

static void test_news_in_order(void **state)
{
	const char *a[] = {"a", NULL};
	placement_update_t news = {.endpoint = "e1",
				   .owner = "i1",
				   .epoch = 2,
				   .sequence = 1,
				   .snapshot = TRUE,
				   .added = a};
	world_t world;

	setup(&world);
	assert_int_equal(placement_apply(world.table, 0, &news),
			 PLACEMENT_APPLIED);
	assert_int_equal(placement_apply(world.table, 0, &news), PLACEMENT_OLD);
	news.snapshot = FALSE;
	news.sequence = 3;
	assert_int_equal(placement_apply(world.table, 0, &news), PLACEMENT_GAP);
	news.epoch = 1;
	assert_int_equal(placement_apply(world.table, 0, &news), PLACEMENT_OLD);
	news.epoch = 3;
	assert_int_equal(placement_apply(world.table, 0, &news), PLACEMENT_GAP);
	news.epoch = 2;
	news.sequence = 2;
	news.added = NULL;
	news.removed = a;
	assert_int_equal(placement_apply(world.table, 0, &news),
			 PLACEMENT_APPLIED);
	assert_int_equal(placement_replicas(world.table, "a"), 0);
	assert_int_equal(placement_adapter_count(world.table), 0);
	teardown(&world);
}

static void test_hit(void **state)
{
	placement_choice_t choice;
	world_t world;

	setup(&world);
	assert_false(placement_choose(world.table, 0, "a", 0, &choice));
	report(&world, 0, "e1", "a", 4, 0);
	report(&world, 0, "e2", "a", 3, 0);
	assert_true(placement_choose(world.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e2");
	assert_int_equal(choice.replicas, 2);
	/* The prefix keeps its endpoint up to the bounded imbalance. */
	placement_record_sent(world.table, "e1", 7);
	assert_true(placement_choose(world.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e1");
	assert_true(choice.affinity);
	report(&world, 0, "e1", "a", 8, 0);
	assert_true(placement_choose(world.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e2");
	placement_remove_adapter(world.table, "e2", "a");
	placement_remove_endpoint(world.table, "e1");
	assert_false(placement_choose(world.table, 0, "a", 7, &choice));
	teardown(&world);
}

static void test_stale_news_is_no_hit(void **state)
{
	placement_choice_t choice;
	world_t world;

	setup(&world);
	report(&world, 0, "e1", "a", 0, 0);
	assert_true(placement_choose(world.table, 100000, "a", 0, &choice));
	assert_false(placement_choose(world.table, 100001, "a", 0, &choice));
	teardown(&world);
}

static void test_home_gathers_demand(void **state)
{
	home_choice_t choice;
	world_t world;

	setup(&world);
	assert_int_equal(home_place(world.home, 0, "a", FALSE, &choice),
			 HOME_NO_ENDPOINT);
	report(&world, 0, "e1", NULL, 0, 2.0);
	report(&world, 0, "e2", NULL, 0, 0.5);
	assert_int_equal(home_place(world.home, 0, "a", FALSE, &choice),
			 HOME_CHOSEN);
	assert_string_equal(choice.endpoint, "e2");
	assert_int_equal(home_place(world.home, 1, "a", FALSE, &choice),
			 HOME_PENDING);
	assert_string_equal(choice.endpoint, "e2");
	home_load_failed(world.home, 2, "a", "e2");
	assert_int_equal(home_place(world.home, 3, "a", FALSE, &choice),
			 HOME_CHOSEN);
	assert_string_equal(choice.endpoint, "e1");
	report(&world, 4, "e1", "a", 0, 2.0);
	assert_int_equal(home_place(world.home, 5, "a", FALSE, &choice),
			 HOME_RESIDENT);
	teardown(&world);
}

static void test_replicas_come_and_go_with_hysteresis(void **state)
{
	home_choice_t choice;
	world_t world;
	ms_t now;

	setup(&world);
	report(&world, 0, "e1", "a", 16, 0);
	report(&world, 0, "e2", NULL, 0, 0);
	for (now = 1; now < 1000; now += 100)
		assert_int_equal(
			home_place(world.home, now, "a", TRUE, &choice),
			HOME_RESIDENT);
	assert_int_equal(home_place(world.home, now, "a", TRUE, &choice),
			 HOME_CHOSEN);
	assert_string_equal(choice.endpoint, "e2");
	report(&world, 2000, "e1", "a", 1, 0);
	report(&world, 2000, "e2", "a", 0, 0);
	for (now = 2000; now < 32000; now += 1000)
		home_tick(world.home, now);
	assert_string_equal(world.log->str, "");
	home_tick(world.home, now);
	assert_string_equal(world.log->str, "drop e2:a;");
	teardown(&world);
}

/* The table holds all services; a plain one is idle while engines are full. */
static void test_home_keeps_to_the_service(void **state)
{
	home_actions_t actions = {.drop = on_drop, .may_hold = is_engine};
	home_config_t config;
	home_choice_t choice;
	world_t world;
	home_t *home;

	setup(&world);
	home_config_init(&config);
	home = home_create(&config, world.table, &actions, &world, world.rand);
	report(&world, 0, "plain", NULL, 0, 0);
	assert_int_equal(home_place(home, 1, "a@1", FALSE, &choice),
			 HOME_NO_ENDPOINT);
	report(&world, 2, "e1", NULL, 8, 1000);
	assert_int_equal(home_place(home, 3, "a@1", FALSE, &choice),
			 HOME_CHOSEN);
	assert_string_equal(choice.endpoint, "e1");
	home_destroy(home);
	teardown(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_popularity),
		cmocka_unit_test(test_news_in_order),
		cmocka_unit_test(test_hit),
		cmocka_unit_test(test_stale_news_is_no_hit),
		cmocka_unit_test(test_home_gathers_demand),
		cmocka_unit_test(test_home_keeps_to_the_service),
		cmocka_unit_test(test_replicas_come_and_go_with_hysteresis),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
