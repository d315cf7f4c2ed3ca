/* Unit tests of request rates, the placement table and adapter homes. */

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
} fixture_t;

static void on_drop(void *ctx, const char *endpoint, const char *adapter)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "drop %s:%s;", endpoint, adapter);
}

static const home_actions_t home_actions = {.drop = on_drop};

static gboolean is_engine(void *ctx, const char *endpoint, const char *adapter)
{
	return *endpoint == 'e';
}

static void setup(fixture_t *fixture)
{
	placement_config_t config;
	home_config_t home_config;

	*fixture = (fixture_t){.rand = g_rand_new_with_seed(3),
			       .log = g_string_new(NULL)};
	placement_config_init(&config);
	config.stale_after = 100000;
	fixture->table = placement_create(&config, fixture->rand);
	home_config_init(&home_config);
	fixture->home = home_create(&home_config, fixture->table, &home_actions,
				    fixture, fixture->rand);
}

static void teardown(fixture_t *fixture)
{
	home_destroy(fixture->home);
	placement_destroy(fixture->table);
	g_rand_free(fixture->rand);
	g_string_free(fixture->log, TRUE);
}

/* Apply a snapshot of an endpoint with at most one resident adapter. */
static void report(fixture_t *fixture, ms_t now, const char *endpoint,
		   const char *adapter, int running, double victim_rate)
{
	const char *names[] = {adapter, NULL};
	placement_update_t update = {
		.endpoint = endpoint,
		.owner = "i1",
		.epoch = 1,
		.sequence = ++fixture->sequence,
		.snapshot = TRUE,
		.added = names,
		.load = {.running = running,
			 .concurrency = 8,
			 .victim_slots = 2,
			 .victim_rate = victim_rate},
	};

	assert_int_equal(placement_apply(fixture->table, now, &update),
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

static void test_update_sequence(void **state)
{
	const char *a[] = {"a", NULL};
	placement_update_t update = {.endpoint = "e1",
				     .owner = "i1",
				     .epoch = 2,
				     .sequence = 1,
				     .snapshot = TRUE,
				     .added = a};
	fixture_t fixture;

	setup(&fixture);
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_APPLIED);
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_OUTDATED);
	update.snapshot = FALSE;
	update.sequence = 3;
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_GAP);
	update.epoch = 1;
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_OUTDATED);
	update.epoch = 3;
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_GAP);
	update.epoch = 2;
	update.sequence = 2;
	update.added = NULL;
	update.removed = a;
	assert_int_equal(placement_apply(fixture.table, 0, &update),
			 PLACEMENT_APPLIED);
	assert_int_equal(placement_replicas(fixture.table, "a"), 0);
	assert_int_equal(placement_adapter_count(fixture.table), 0);
	teardown(&fixture);
}

static void test_hit(void **state)
{
	placement_choice_t choice;
	fixture_t fixture;

	setup(&fixture);
	assert_false(placement_choose(fixture.table, 0, "a", 0, &choice));
	report(&fixture, 0, "e1", "a", 4, 0);
	report(&fixture, 0, "e2", "a", 3, 0);
	assert_true(placement_choose(fixture.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e2");
	assert_int_equal(choice.replicas, 2);
	/* The prefix stays on its endpoint within affinity_slack. */
	placement_record_sent(fixture.table, "e1", 7);
	assert_true(placement_choose(fixture.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e1");
	assert_true(choice.affinity);
	report(&fixture, 0, "e1", "a", 8, 0);
	assert_true(placement_choose(fixture.table, 0, "a", 7, &choice));
	assert_string_equal(choice.endpoint, "e2");
	placement_remove_adapter(fixture.table, "e2", "a");
	placement_remove_endpoint(fixture.table, "e1");
	assert_false(placement_choose(fixture.table, 0, "a", 7, &choice));
	teardown(&fixture);
}

static void test_stale_endpoint_is_not_chosen(void **state)
{
	placement_choice_t choice;
	fixture_t fixture;

	setup(&fixture);
	report(&fixture, 0, "e1", "a", 0, 0);
	assert_true(placement_choose(fixture.table, 100000, "a", 0, &choice));
	assert_false(placement_choose(fixture.table, 100001, "a", 0, &choice));
	teardown(&fixture);
}

static void test_home_shares_pending_load(void **state)
{
	home_choice_t choice;
	fixture_t fixture;

	setup(&fixture);
	assert_int_equal(home_place(fixture.home, 0, "a", FALSE, &choice),
			 HOME_NO_ENDPOINT);
	report(&fixture, 0, "e1", NULL, 0, 2.0);
	report(&fixture, 0, "e2", NULL, 0, 0.5);
	assert_int_equal(home_place(fixture.home, 0, "a", FALSE, &choice),
			 HOME_NEW_LOAD);
	assert_string_equal(choice.endpoint, "e2");
	assert_int_equal(home_place(fixture.home, 1, "a", FALSE, &choice),
			 HOME_LOAD_PENDING);
	assert_string_equal(choice.endpoint, "e2");
	home_load_failed(fixture.home, 2, "a", "e2");
	assert_int_equal(home_place(fixture.home, 3, "a", FALSE, &choice),
			 HOME_NEW_LOAD);
	assert_string_equal(choice.endpoint, "e1");
	report(&fixture, 4, "e1", "a", 0, 2.0);
	assert_int_equal(home_place(fixture.home, 5, "a", FALSE, &choice),
			 HOME_RESIDENT);
	teardown(&fixture);
}

static void test_replica_hysteresis(void **state)
{
	home_choice_t choice;
	fixture_t fixture;
	ms_t now;

	setup(&fixture);
	report(&fixture, 0, "e1", "a", 16, 0);
	report(&fixture, 0, "e2", NULL, 0, 0);
	for (now = 1; now < 1000; now += 100)
		assert_int_equal(
			home_place(fixture.home, now, "a", TRUE, &choice),
			HOME_RESIDENT);
	assert_int_equal(home_place(fixture.home, now, "a", TRUE, &choice),
			 HOME_NEW_LOAD);
	assert_string_equal(choice.endpoint, "e2");
	report(&fixture, 2000, "e1", "a", 1, 0);
	report(&fixture, 2000, "e2", "a", 0, 0);
	for (now = 2000; now < 32000; now += 1000)
		home_tick(fixture.home, now);
	assert_string_equal(fixture.log->str, "");
	home_tick(fixture.home, now);
	assert_string_equal(fixture.log->str, "drop e2:a;");
	teardown(&fixture);
}

/*
 * The table contains the endpoints of all services.  An idle endpoint without
 * adapters must not be chosen, even if all engines are full.
 */
static void test_home_respects_may_hold(void **state)
{
	home_actions_t actions = {.drop = on_drop, .may_hold = is_engine};
	home_config_t config;
	home_choice_t choice;
	fixture_t fixture;
	home_t *home;

	setup(&fixture);
	home_config_init(&config);
	home = home_create(&config, fixture.table, &actions, &fixture,
			   fixture.rand);
	report(&fixture, 0, "plain", NULL, 0, 0);
	assert_int_equal(home_place(home, 1, "a@1", FALSE, &choice),
			 HOME_NO_ENDPOINT);
	report(&fixture, 2, "e1", NULL, 8, 1000);
	assert_int_equal(home_place(home, 3, "a@1", FALSE, &choice),
			 HOME_NEW_LOAD);
	assert_string_equal(choice.endpoint, "e1");
	home_destroy(home);
	teardown(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_popularity),
		cmocka_unit_test(test_update_sequence),
		cmocka_unit_test(test_hit),
		cmocka_unit_test(test_stale_endpoint_is_not_chosen),
		cmocka_unit_test(test_home_shares_pending_load),
		cmocka_unit_test(test_home_respects_may_hold),
		cmocka_unit_test(test_replica_hysteresis),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
