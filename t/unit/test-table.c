/* The placement table of a process when an endpoint changes its owner. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "serve/table.h"

#define STREAM 7

static void on_request_state(void *ctx, const char *owner)
{
}

static gboolean on_is_up(void *ctx, const char *owner)
{
	return TRUE;
}

static const table_actions_t actions = {on_request_state, on_is_up};

static view_t *create_view_of_two(void)
{
	static const view_owner_t owners[] = {
		{"i1", "127.0.0.1", 1, "north", "north-a", FALSE, 0},
		{"i2", "127.0.0.2", 1, "north", "north-b", FALSE, 0},
	};
	view_t *view = view_create();

	view_set(view, &owners[0]);
	view_set(view, &owners[1]);
	return view;
}

/*
 * The next owner announces an endpoint while this process still holds it, as
 * when its lease has expired without notice.  Later local updates of the old
 * epoch must not replace the news of the new owner.
 */
static void test_new_owner_announced_before_local_loss(void **state)
{
	news_message_t *message = news_message_new(NEWS_WHOLE);
	news_endpoint_t *announced = news_endpoint_new("assist-1", 5);
	slots_utilization_t load = {.concurrency = 8};
	GRand *rand = g_rand_new_with_seed(1);
	view_t *view = create_view_of_two();
	table_t *table = table_create(rand, "north", "north-a", &actions, NULL);

	table_follow(table, view, "i2", 0);
	table_local(table, "assist-1", "i1", 4, "a@1", NULL, &load, 0);
	assert_string_equal(placement_owner(table_placement(table), "assist-1"),
			    "i1");

	news_endpoint_add(announced, "b@1", TRUE);
	g_ptr_array_add(message->endpoints, announced);
	message->stream = STREAM;
	table_receive(table, "i2", message, 0);
	table_local(table, "assist-1", "i1", 4, "c@1", NULL, &load, 0);
	table_local_gone(table, "assist-1");
	assert_string_equal(placement_owner(table_placement(table), "assist-1"),
			    "i2");
	assert_true(placement_is_resident(table_placement(table), "assist-1",
					  "b@1"));
	assert_int_equal(placement_replicas(table_placement(table), "a@1"), 0);
	assert_int_equal(placement_replicas(table_placement(table), "c@1"), 0);

	news_message_free(message);
	table_destroy(table);
	view_destroy(view);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_owner_announced_before_local_loss),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
