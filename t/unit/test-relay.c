/* Polling the key-value service, and broadcasting updates. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/relay.h"

#define INSTANCES 76
#define POLL_MS	  900

/* The slowest link of any site: 10 Mbit/s. */
#define LINK_BYTES_PER_S 1.25e6

static const char *name_of(int n)
{
	static char name[16];

	g_snprintf(name, sizeof(name), "front-%d", n);
	return name;
}

static relay_t *create_relay(int n)
{
	relay_options_t options = {.instance = name_of(n),
				   .poll_time = POLL_MS,
				   .link_bytes_per_s = LINK_BYTES_PER_S};
	relay_t *relay = relay_create(&options);
	int i;

	for (i = 0; i < INSTANCES; i++)
		relay_set_instance(relay, name_of(i), TRUE);
	return relay;
}

/* In a large fleet all choose the same pollers, and replace those that die. */
static void test_pollers_are_few(void **state)
{
	relay_t *relays[INSTANCES];
	int pollers = 0;
	int first = -1;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relays[i] = create_relay(i);
		if (relay_is_poller(relays[i])) {
			pollers++;
			first = i;
		}
	}
	assert_int_equal(pollers, RELAY_POLLERS);
	pollers = 0;
	for (i = 0; i < INSTANCES; i++) {
		relay_set_instance(relays[i], name_of(first), FALSE);
		if (i != first)
			pollers += relay_is_poller(relays[i]);
	}
	assert_int_equal(pollers, RELAY_POLLERS);
	for (i = 0; i < INSTANCES; i++)
		relay_destroy(relays[i]);
}

/* The first instance that is a poller, or that is not. */
static int find_instance(gboolean is_poller)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relay_t *relay = create_relay(i);
		gboolean is_found = relay_is_poller(relay) == is_poller;

		relay_destroy(relay);
		if (is_found)
			return i;
	}
	fail_msg("no such instance");
	return -1;
}

/*
 * An instance polls rarely while it receives broadcasts, and at the full rate
 * if it does not, or if the others do not know it.
 */
static void test_poll_rate(void **state)
{
	int i = find_instance(FALSE);
	relay_t *relay = create_relay(i);
	ms_t now = 100000;

	assert_false(relay_may_skip_poll(relay, now, now));
	assert_true(relay_receive_broadcast(relay, now, 0, 0));
	assert_true(relay_may_skip_poll(relay, now + POLL_MS, now));
	/* It still polls now and then. */
	assert_false(relay_may_skip_poll(
		relay, now + POLL_MS, now - RELAY_SKIPPED_POLLS_MAX * POLL_MS));
	/* All pollers died. */
	assert_false(relay_may_skip_poll(relay,
					 now + RELAY_TIMEOUT_POLLS * POLL_MS,
					 now + RELAY_TIMEOUT_POLLS * POLL_MS));
	assert_true(relay_receive_broadcast(relay, now, 0, 0));
	relay_set_instance(relay, name_of(i), FALSE);
	assert_false(relay_may_skip_poll(relay, now, now));
	relay_destroy(relay);
}

/* A broadcast was lost, or the pollers have changed. */
static void test_lost_broadcast(void **state)
{
	relay_t *relay = create_relay(find_instance(FALSE));
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
 * A configuration of 180 kB in a large fleet would occupy the network link of
 * the poller.  It is not broadcast, and the others notice the gap and poll.
 */
static void test_large_update(void **state)
{
	relay_t *relay = create_relay(find_instance(TRUE));
	relay_t *receiver = create_relay(find_instance(FALSE));
	size_t small = (size_t)(LINK_BYTES_PER_S * RELAY_BROADCAST_MAX_MS /
				MS_PER_S / INSTANCES);
	ms_t now = 100000;
	int64_t from;
	int64_t to;

	relay_note_full_read(relay, 10);
	relay_note_full_read(receiver, 10);
	relay_note_poll(relay, 11);
	assert_true(relay_prepare_broadcast(relay, small, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 11);
	assert_true(relay_receive_broadcast(receiver, now, from, to));
	assert_true(relay_may_skip_poll(receiver, now, now));

	relay_note_poll(relay, 12);
	assert_true(relay_prepare_broadcast(relay, small + 1, &from, &to));
	assert_int_equal(from, 12);
	assert_int_equal(to, 12);
	assert_false(relay_receive_broadcast(receiver, now, from, to));
	assert_false(relay_may_skip_poll(receiver, now, now));

	/* After a poll the next broadcast leaves no gap. */
	relay_note_poll(receiver, 12);
	relay_note_poll(relay, 13);
	assert_true(relay_prepare_broadcast(relay, small, &from, &to));
	assert_int_equal(from, 12);
	assert_true(relay_receive_broadcast(receiver, now, from, to));
	assert_true(relay_may_skip_poll(receiver, now, now));
	relay_destroy(receiver);
	relay_destroy(relay);
}

/*
 * A poller returns.  The poll that shows it brings further updates, which the
 * poller that it replaces still broadcasts, and nothing after that.
 */
static void test_successor(void **state)
{
	int returning = find_instance(TRUE);
	relay_t *relay = NULL;
	int64_t from;
	int64_t to;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relay = create_relay(i);
		relay_set_instance(relay, name_of(returning), FALSE);
		if (i != returning && relay_is_poller(relay)) {
			relay_set_instance(relay, name_of(returning), TRUE);
			if (!relay_is_poller(relay))
				break;
		}
		relay_destroy(relay);
	}
	relay_set_instance(relay, name_of(returning), FALSE);
	relay_note_full_read(relay, 10);
	assert_true(relay_prepare_broadcast(relay, 0, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 10);
	relay_set_instance(relay, name_of(returning), TRUE);
	assert_false(relay_is_poller(relay));
	relay_note_poll(relay, 12);
	assert_true(relay_prepare_broadcast(relay, 0, &from, &to));
	assert_int_equal(from, 10);
	assert_int_equal(to, 12);
	relay_note_poll(relay, 13);
	assert_false(relay_prepare_broadcast(relay, 0, &from, &to));
	relay_destroy(relay);
}

/* The time in which changes are frequent after a start. */
#define STARTUP_MS 2500

/*
 * All instances of a large fleet start at once, and their updates are too large
 * for broadcasts, so that each polls for itself.  Calls are priced: an instance
 * makes no more than a few in the first seconds.
 */
static void test_start_of_large_fleet(void **state)
{
	relay_t *relay = create_relay(0);
	ms_t now = 0;
	int polls = 0;

	relay_note_full_read(relay, 1);
	assert_int_equal(relay_poll_interval(relay), RELAY_FIRST_POLL_MS);
	while ((now += relay_poll_interval(relay)) < STARTUP_MS) {
		relay_note_poll(relay, ++polls);
		assert_in_range(relay_poll_interval(relay), RELAY_FIRST_POLL_MS,
				POLL_MS);
	}
	assert_in_range(polls, 3, 5);
	assert_int_equal(relay_poll_interval(relay), POLL_MS);
	relay_destroy(relay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pollers_are_few),
		cmocka_unit_test(test_poll_rate),
		cmocka_unit_test(test_lost_broadcast),
		cmocka_unit_test(test_large_update),
		cmocka_unit_test(test_successor),
		cmocka_unit_test(test_start_of_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
