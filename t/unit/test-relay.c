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

/* Three quarters of a history of 20 s. */
#define SKIP_MAX_MS 15000

#define AGE_MAX_MS (POLL_MS * RELAY_AGE_MAX_PERCENT / 100)

/* The clock of the poller ahead of the one here. */
#define CLOCK_AHEAD_MS 7000000

static const char *name_of(int n)
{
	static char name[16];

	g_snprintf(name, sizeof(name), "front-%d", n);
	return name;
}

static relay_t *create_polling_relay(int n, ms_t poll_time)
{
	relay_options_t options = {.instance = name_of(n),
				   .poll_time = poll_time,
				   .skip_max = SKIP_MAX_MS,
				   .link_bytes_per_s = LINK_BYTES_PER_S};
	relay_t *relay = relay_create(&options);
	int i;

	for (i = 0; i < INSTANCES; i++)
		relay_set_instance(relay, name_of(i), TRUE);
	return relay;
}

static relay_t *create_relay(int n)
{
	return create_polling_relay(n, POLL_MS);
}

/*
 * A broadcast of the updates after from up to to arrives; the poll behind it
 * was made at the time polled_at.
 */
static gboolean receive(relay_t *relay, ms_t now, ms_t polled_at, int64_t from,
			int64_t to)
{
	relay_range_t range = {from, to, polled_at + CLOCK_AHEAD_MS, 0};

	return relay_receive_broadcast(relay, now, "poller", &range);
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

/* A relay that is no poller and has received one broadcast without delay. */
static relay_t *create_receiver(ms_t now)
{
	relay_t *relay = create_relay(find_instance(FALSE));

	assert_true(receive(relay, now, now, 0, 0));
	return relay;
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

	assert_int_equal(relay_skip_time(relay, now, now), 0);
	assert_true(receive(relay, now - 1, now - 1, 0, 0));
	assert_true(receive(relay, now, now, 0, 0));
	assert_int_equal(relay_skip_time(relay, now + POLL_MS, now),
			 AGE_MAX_MS - POLL_MS);
	/* It still polls now and then. */
	assert_int_equal(relay_skip_time(relay, now + POLL_MS,
					 now + POLL_MS - SKIP_MAX_MS),
			 0);
	/* All pollers died. */
	assert_int_equal(
		relay_skip_time(relay, now + AGE_MAX_MS, now + AGE_MAX_MS), 0);
	assert_true(receive(relay, now, now, 0, 0));
	relay_set_instance(relay, name_of(i), FALSE);
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	relay_destroy(relay);
}

/* A broadcast was lost, or the pollers have changed. */
static void test_lost_broadcast(void **state)
{
	ms_t now = 100000;
	relay_t *relay = create_receiver(now);

	relay_note_full_read(relay, 5);
	assert_true(receive(relay, now, now, 5, 7));
	assert_true(relay_skip_time(relay, now, now) > 0);
	assert_false(receive(relay, now, now, 9, 10));
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	relay_note_poll(relay, 11, now);
	assert_true(receive(relay, now, now, 10, 12));
	assert_true(receive(relay, now, now, 8, 9));
	assert_true(receive(relay, now, now, 12, 12));
	assert_true(relay_skip_time(relay, now, now) > 0);
	relay_destroy(relay);
}

/*
 * Guards against a change that is in force too late because a broadcast that
 * was held up, or that a slow poller sent late, passed for new: its time on the
 * way counts as its age.
 */
static void test_late_broadcast(void **state)
{
	ms_t late = POLL_MS;
	ms_t now = 100000;
	relay_t *relay = create_receiver(now);
	ms_t polled_at = now + POLL_MS;

	now = polled_at + late;
	assert_true(receive(relay, now, polled_at, 0, 0));
	assert_int_equal(relay_skip_time(relay, now, now), AGE_MAX_MS - late);
	/* As late again: the delay is no new scale. */
	polled_at += POLL_MS;
	now += POLL_MS;
	assert_true(receive(relay, now, polled_at, 0, 0));
	assert_in_range(relay_skip_time(relay, now, now), AGE_MAX_MS - late,
			AGE_MAX_MS - late + 1);
	/* Later than all that may be skipped. */
	polled_at = now;
	now += AGE_MAX_MS + 1;
	assert_true(receive(relay, now, polled_at, 0, 0));
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	relay_destroy(relay);
}

/*
 * Guards against trust in a broadcast whose age can't be told: the first one of
 * a poller, or after its machine started anew, or one of an older build.
 */
static void test_broadcast_of_unknown_age(void **state)
{
	relay_range_t unknown = {0, 0, RELAY_AGE_UNKNOWN,
				 RELAY_HISTORY_UNKNOWN};
	ms_t now = 100000;
	relay_t *relay = create_receiver(now);

	assert_int_equal(relay_skip_time(relay, now, now), 0);
	assert_true(relay_receive_broadcast(relay, now, "older", &unknown));
	assert_true(relay_receive_broadcast(relay, now, "older", &unknown));
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	/* The clock of the poller's machine starts anew. */
	assert_true(receive(relay, now, now - CLOCK_AHEAD_MS, 0, 0));
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	now += POLL_MS;
	assert_true(receive(relay, now, now - CLOCK_AHEAD_MS, 0, 0));
	assert_int_equal(relay_skip_time(relay, now, now), AGE_MAX_MS);
	relay_destroy(relay);
}

/*
 * Guards against a revision that the store's history no longer reaches, so that
 * all items have to be read anew, where polls are far apart.
 */
static void test_rare_polls_within_history(void **state)
{
	ms_t poll_time = 2 * POLL_MS;
	relay_t *relay = create_polling_relay(find_instance(FALSE), poll_time);
	ms_t last = 100000;
	ms_t now = last;

	for (; now < last + SKIP_MAX_MS; now += poll_time) {
		receive(relay, now, now, 0, 0);
		assert_true(now == last || relay_skip_time(relay, now, last));
	}
	receive(relay, now, now, 0, 0);
	assert_int_equal(relay_skip_time(relay, now, last), 0);
	relay_destroy(relay);
}

/*
 * Guards against a broadcast that says that nothing is missing in another
 * history of the store: its revisions are lower, and mean something else.
 */
static void test_broadcast_of_other_history(void **state)
{
	ms_t now = 100000;
	relay_t *relay = create_receiver(now);
	relay_range_t former = {30, 30, now + CLOCK_AHEAD_MS, 1};
	relay_range_t later = {20, 20, now + CLOCK_AHEAD_MS, 2};

	relay_note_full_read(relay, 30);
	/* What was read before the number was stated stays known. */
	relay_set_history(relay, 1);
	assert_true(relay_receive_broadcast(relay, now, "poller", &former));
	assert_true(relay_skip_time(relay, now, now) > 0);
	/* One that knows the later history already: this instance has to poll.
	 */
	assert_false(relay_receive_broadcast(relay, now, "poller", &later));
	assert_int_equal(relay_skip_time(relay, now, now), 0);
	relay_begin_history(relay, 2);
	assert_true(relay_is_outdated(relay, &former));
	assert_false(relay_is_outdated(relay, &later));
	/* Nothing of it is known before all items are read. */
	assert_false(relay_receive_broadcast(relay, now, "poller", &later));
	relay_note_full_read(relay, 20);
	assert_true(relay_receive_broadcast(relay, now, "poller", &later));
	relay_destroy(relay);
}

/* A day of broadcasts of a poller whose clock is slower than the one here. */
static void test_slow_clock(void **state)
{
	ms_t start = 100000;
	relay_t *relay = create_receiver(start);
	ms_t now = start;
	ms_t day = 24 * 3600 * MS_PER_S;

	while (now < start + day) {
		ms_t behind = (now - start) / 10000;

		now += POLL_MS;
		assert_true(receive(relay, now, now - behind, 0, 0));
		assert_true(relay_skip_time(relay, now, now) >= AGE_MAX_MS - 1);
	}
	relay_destroy(relay);
}

/*
 * A configuration of 180 kB in a large fleet would occupy the network link of
 * the poller.  It is not broadcast, and the others notice the gap and poll.
 */
static void test_large_update(void **state)
{
	relay_t *relay = create_relay(find_instance(TRUE));
	ms_t now = 100000;
	relay_t *receiver = create_receiver(now);
	size_t small = (size_t)(LINK_BYTES_PER_S * RELAY_BROADCAST_MAX_MS /
				MS_PER_S / INSTANCES);
	relay_range_t range;

	relay_note_full_read(relay, 10);
	relay_note_full_read(receiver, 10);
	relay_note_poll(relay, 11, now + CLOCK_AHEAD_MS);
	assert_true(relay_prepare_broadcast(relay, small, &range));
	assert_int_equal(range.from, 10);
	assert_int_equal(range.to, 11);
	assert_true(relay_receive_broadcast(receiver, now, "poller", &range));
	assert_true(relay_skip_time(receiver, now, now) > 0);

	relay_note_poll(relay, 12, now + CLOCK_AHEAD_MS);
	assert_true(relay_prepare_broadcast(relay, small + 1, &range));
	assert_int_equal(range.from, 12);
	assert_int_equal(range.to, 12);
	assert_false(relay_receive_broadcast(receiver, now, "poller", &range));
	assert_int_equal(relay_skip_time(receiver, now, now), 0);

	/* After a poll the next broadcast leaves no gap. */
	relay_note_poll(receiver, 12, now);
	relay_note_poll(relay, 13, now + CLOCK_AHEAD_MS);
	assert_true(relay_prepare_broadcast(relay, small, &range));
	assert_int_equal(range.from, 12);
	assert_true(relay_receive_broadcast(receiver, now, "poller", &range));
	assert_true(relay_skip_time(receiver, now, now) > 0);
	relay_destroy(receiver);
	relay_destroy(relay);
}

/*
 * Guards against a message larger than an instance accepts, which would end the
 * connection, where the link has room for it.
 */
static void test_update_larger_than_message(void **state)
{
	relay_options_t options = {.instance = name_of(0),
				   .poll_time = POLL_MS,
				   .skip_max = SKIP_MAX_MS,
				   .link_bytes_per_s = 100 * LINK_BYTES_PER_S};
	relay_t *relay = relay_create(&options);
	relay_range_t range;

	relay_set_instance(relay, name_of(0), TRUE);
	relay_set_instance(relay, name_of(1), TRUE);
	relay_note_full_read(relay, 10);
	relay_note_poll(relay, 11, 100000);
	assert_true(relay_prepare_broadcast(relay, RELAY_BROADCAST_MAX_BYTES,
					    &range));
	assert_int_equal(range.from, 10);
	relay_note_poll(relay, 12, 100000);
	assert_true(relay_prepare_broadcast(
		relay, RELAY_BROADCAST_MAX_BYTES + 1, &range));
	assert_int_equal(range.from, 12);
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
	relay_range_t range;
	ms_t now = 100000;
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
	assert_true(relay_prepare_broadcast(relay, 0, &range));
	assert_int_equal(range.from, 10);
	assert_int_equal(range.to, 10);
	relay_set_instance(relay, name_of(returning), TRUE);
	assert_false(relay_is_poller(relay));
	relay_note_poll(relay, 12, now);
	assert_true(relay_prepare_broadcast(relay, 0, &range));
	assert_int_equal(range.from, 10);
	assert_int_equal(range.to, 12);
	relay_note_poll(relay, 13, now);
	assert_false(relay_prepare_broadcast(relay, 0, &range));
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
		relay_note_poll(relay, ++polls, now);
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
		cmocka_unit_test(test_late_broadcast),
		cmocka_unit_test(test_broadcast_of_unknown_age),
		cmocka_unit_test(test_broadcast_of_other_history),
		cmocka_unit_test(test_rare_polls_within_history),
		cmocka_unit_test(test_slow_clock),
		cmocka_unit_test(test_large_update),
		cmocka_unit_test(test_update_larger_than_message),
		cmocka_unit_test(test_successor),
		cmocka_unit_test(test_start_of_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
