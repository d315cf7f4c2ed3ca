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

/* Told: rarely.  Not told, or not known to the others: as often as all. */
static void test_told_or_not(void **state)
{
	relay_t *relay = NULL;
	ms_t now = 100000;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		relay = create(i);
		if (!relay_is_watcher(relay))
			break;
		relay_destroy(relay);
	}
	assert_false(relay_may_skip(relay, now, now));
	relay_heard(relay, now);
	assert_true(relay_may_skip(relay, now + POLL_MS, now));
	/* Now and then it looks for itself. */
	assert_false(relay_may_skip(relay, now + POLL_MS,
				    now - RELAY_SKIPS_MAX * POLL_MS));
	/* All watchers died. */
	assert_false(relay_may_skip(relay, now + RELAY_SILENT_POLLS * POLL_MS,
				    now + RELAY_SILENT_POLLS * POLL_MS));
	relay_heard(relay, now);
	relay_set_instance(relay, name_of(i), FALSE);
	assert_false(relay_may_skip(relay, now, now));
	relay_destroy(relay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_poll),
		cmocka_unit_test(test_told_or_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
