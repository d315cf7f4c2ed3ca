/* Who polls for news, and who is told. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/relay.h"

#define INSTANCES 76
#define POLL_MS	  900

static const char *name_of(int n)
{
	static char name[16];

	g_snprintf(name, sizeof(name), "front-%d", n);
	return name;
}

static relay_t *create(int n)
{
	relay_t *relay = relay_create(name_of(n), POLL_MS);
	int i;

	for (i = 0; i < INSTANCES; i++)
		relay_set_instance(relay, name_of(i), TRUE);
	return relay;
}

/* A large fleet: all choose the same few, and others when these are gone. */
static void test_few_poll(void **state)
{
	relay_t *relays[INSTANCES];
	int watchers = 0;
	int first = -1;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relays[i] = create(i);
		if (relay_is_watcher(relays[i])) {
			watchers++;
			first = i;
		}
	}
	assert_int_equal(watchers, RELAY_WATCHERS);
	watchers = 0;
	for (i = 0; i < INSTANCES; i++) {
		relay_set_instance(relays[i], name_of(first), FALSE);
		if (i != first)
			watchers += relay_is_watcher(relays[i]);
	}
	assert_int_equal(watchers, RELAY_WATCHERS);
	for (i = 0; i < INSTANCES; i++)
		relay_destroy(relays[i]);
}

/* The first instance that polls for all, or that does not. */
static int find(gboolean is_watcher)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relay_t *relay = create(i);
		gboolean is_found = relay_is_watcher(relay) == is_watcher;

		relay_destroy(relay);
		if (is_found)
			return i;
	}
	fail_msg("no such instance");
	return -1;
}

/* Told: rarely.  Not told, or not known to the others: as often as all. */
static void test_told_or_not(void **state)
{
	int i = find(FALSE);
	relay_t *relay = create(i);
	ms_t now = 100000;

	assert_false(relay_may_skip_poll(relay, now, now));
	assert_true(relay_receive_broadcast(relay, now, 0, 0));
	assert_true(relay_may_skip_poll(relay, now + POLL_MS, now));
	/* Now and then it looks for itself. */
	assert_false(relay_may_skip_poll(relay, now + POLL_MS,
					 now - RELAY_SKIPS_MAX * POLL_MS));
	/* All watchers died. */
	assert_false(relay_may_skip_poll(relay,
					 now + RELAY_TIMEOUT_POLLS * POLL_MS,
					 now + RELAY_TIMEOUT_POLLS * POLL_MS));
	assert_true(relay_receive_broadcast(relay, now, 0, 0));
	relay_set_instance(relay, name_of(i), FALSE);
	assert_false(relay_may_skip_poll(relay, now, now));
	relay_destroy(relay);
}

/* A message was lost, or another instance polls for all now. */
static void test_gap(void **state)
{
	relay_t *relay = create(find(FALSE));
	ms_t now = 100000;

	relay_note_full_read(relay, 5);
	assert_true(relay_receive_broadcast(relay, now, 5, 7));
	assert_true(relay_may_skip_poll(relay, now, now));
	assert_false(relay_receive_broadcast(relay, now, 9, 10));
	assert_false(relay_may_skip_poll(relay, now, now));
	relay_note_poll(relay, 11);
	assert_true(relay_receive_broadcast(relay, now, 10, 12));
	assert_true(relay_receive_broadcast(relay, now, 8, 9));
	assert_true(relay_receive_broadcast(relay, now, 12, 12));
	assert_true(relay_may_skip_poll(relay, now, now));
	relay_destroy(relay);
}

/*
 * Load: a configuration of 180 kB in a large fleet.  Told to all it would hold
 * the line of the instance that tells; the others see that they lack it.
 */
static void test_large(void **state)
{
	relay_t *relay = create(find(TRUE));
	relay_t *other = create(find(FALSE));
	size_t small = RELAY_TOLD_MAX_BYTES / INSTANCES;
	ms_t now = 100000;
	int64_t from;
	int64_t to;

	relay_note_full_read(relay, 10);
	relay_note_full_read(other, 10);
	relay_note_poll(relay, 11);
	assert_true(relay_prepare_broadcast(relay, small, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 11);
	assert_true(relay_receive_broadcast(other, now, from, to));
	assert_true(relay_may_skip_poll(other, now, now));

	relay_note_poll(relay, 12);
	assert_true(relay_prepare_broadcast(relay, small + 1, &from, &to));
	assert_int_equal(from, 12);
	assert_int_equal(to, 12);
	assert_false(relay_receive_broadcast(other, now, from, to));
	assert_false(relay_may_skip_poll(other, now, now));

	/* It polled; the next telling follows on that. */
	relay_note_poll(other, 12);
	relay_note_poll(relay, 13);
	assert_true(relay_prepare_broadcast(relay, small, &from, &to));
	assert_int_equal(from, 12);
	assert_true(relay_receive_broadcast(other, now, from, to));
	assert_true(relay_may_skip_poll(other, now, now));
	relay_destroy(other);
	relay_destroy(relay);
}

/*
 * An instance comes back and is to poll for all.  The poll that shows it brings
 * more news; the one that polled until now tells that, and is then quiet.
 */
static void test_successor(void **state)
{
	int back = find(TRUE);
	relay_t *relay = NULL;
	int64_t from;
	int64_t to;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relay = create(i);
		relay_set_instance(relay, name_of(back), FALSE);
		if (i != back && relay_is_watcher(relay)) {
			relay_set_instance(relay, name_of(back), TRUE);
			if (!relay_is_watcher(relay))
				break;
		}
		relay_destroy(relay);
	}
	relay_set_instance(relay, name_of(back), FALSE);
	relay_note_full_read(relay, 10);
	assert_true(relay_prepare_broadcast(relay, 0, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 10);
	relay_set_instance(relay, name_of(back), TRUE);
	assert_false(relay_is_watcher(relay));
	relay_note_poll(relay, 12);
	assert_true(relay_prepare_broadcast(relay, 0, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 12);
	relay_note_poll(relay, 13);
	assert_false(relay_prepare_broadcast(relay, 0, &from, &to));
	relay_destroy(relay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_poll),
		cmocka_unit_test(test_told_or_not),
		cmocka_unit_test(test_gap),
		cmocka_unit_test(test_large),
		cmocka_unit_test(test_successor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
