/* The placement table of a process: endpoints that change between owners. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "serve/placement_feed.h"

#define STREAM 7

static void on_ask(void *ctx, const char *owner)
{
}

static gboolean on_is_up(void *ctx, const char *owner)
{
	return TRUE;
}

static const placement_feed_actions_t actions = {on_ask, on_is_up};

static live_owners_t *view_of_two(void)
{
	static const live_owner_t owners[] = {
		{"i1", "127.0.0.1", 1, "north", "north-a", FALSE, 0},
		{"i2", "127.0.0.2", 1, "north", "north-b", FALSE, 0},
	};
	live_owners_t *view = live_owners_create();

	live_owners_set(view, &owners[0]);
	live_owners_set(view, &owners[1]);
	return view;
}

/*
 * The next owner tells of an endpoint before this process has given it up, as
 * when its lease has lapsed unseen.
 */
static void test_successor_told_before_the_loss(void **state)
{
	updates_message_t *message = updates_message_new(UPDATES_SNAPSHOT);
	updates_endpoint_t *told = updates_endpoint_new("assist-1", 5);
	slots_utilization_t load = {.concurrency = 8};
	GRand *rand = g_rand_new_with_seed(1);
	live_owners_t *view = view_of_two();
	placement_feed_t *table =
		placement_feed_create(rand, "north", "north-a", &actions, NULL);

	placement_feed_follow(table, view, "i2", 0);
	placement_feed_update_local(table, "assist-1", "i1", 4, "a@1", NULL,
				    &load, 0);
	assert_string_equal(
		placement_owner(placement_feed_table(table), "assist-1"), "i1");

	updates_endpoint_add(told, "b@1", TRUE);
	g_ptr_array_add(message->endpoints, told);
	message->stream = STREAM;
	placement_feed_handle_message(table, "i2", message, 0);
	placement_feed_update_local(table, "assist-1", "i1", 4, "c@1", NULL,
				    &load, 0);
	placement_feed_remove_local(table, "assist-1");
	assert_string_equal(
		placement_owner(placement_feed_table(table), "assist-1"), "i2");
	assert_true(placement_is_resident(placement_feed_table(table),
					  "assist-1", "b@1"));
	assert_int_equal(placement_replicas(placement_feed_table(table), "a@1"),
			 0);
	assert_int_equal(placement_replicas(placement_feed_table(table), "c@1"),
			 0);

	updates_message_free(message);
	placement_feed_destroy(table);
	live_owners_destroy(view);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_successor_told_before_the_loss),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
