/* Tests of when an endpoint whose record was removed counts as gone. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "route/removals.h"

#define HEARTBEAT_MS 1200
#define DRAIN_MS     2000
#define OUTAGE_MS    (3 * HEARTBEAT_MS)

static int setup(void **state)
{
	*state = removals_create(HEARTBEAT_MS, DRAIN_MS);
	return 0;
}

static int teardown(void **state)
{
	removals_destroy(*state);
	return 0;
}

static void expect_due(removals_t *removals, ms_t now, const char *expected)
{
	char *id = removals_take_due(removals, now);

	if (expected)
		assert_string_equal(id, expected);
	else
		assert_null(id);
	g_free(id);
}

static void test_gone_at_once(void **state)
{
	assert_false(removals_defer(*state, 1000, "e1"));
	assert_true(removals_next(*state) == MS_NEVER);
	expect_due(*state, 100000, NULL);
}

/*
 * Guards against a failed call that counts as an outage: the endpoint was sent
 * requests until after its end.
 */
static void test_failed_call(void **state)
{
	static const ms_t absences[] = {0, 1, 700, HEARTBEAT_MS};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(absences); i++) {
		assert_false(removals_note_return(*state, 10000, absences[i]));
		assert_false(removals_defer(*state, 10000, "e1"));
		assert_false(removals_defer(*state, 10200, "e1"));
	}
}

/* What expired in an outage may come back within two seconds of its end. */
static void test_outage(void **state)
{
	removals_t *removals = *state;

	assert_true(removals_note_return(removals, 10000, OUTAGE_MS));
	assert_true(removals_defer(removals, 10000, "e1"));
	assert_true(removals_defer(removals, 10500, "e2"));
	assert_true(removals_defer(removals, 11900, "e3"));
	assert_false(removals_defer(removals, 12000, "e4"));
	removals_cancel(removals, "e1");
	assert_int_equal(removals_next(removals), 12000);
	expect_due(removals, 11999, NULL);
	/* A failed call afterwards changes nothing. */
	assert_false(removals_note_return(removals, 11950, 20));
	removals_cancel(removals, "e3");
	expect_due(removals, 12000, "e2");
	expect_due(removals, 12000, NULL);
	assert_false(removals_defer(removals, 12001, "e1"));
}

/* A store that came back from a copy has lost records, without an outage. */
static void test_restored(void **state)
{
	removals_note_restored(*state, 5000);
	assert_true(removals_defer(*state, 5000, "e1"));
	assert_int_equal(removals_next(*state), 5000 + REMOVALS_REAPPEAR_MS);
}

/* Guards against a removal that is deferred beyond the drain time. */
static void test_short_drain_time(void **state)
{
	removals_t *removals = removals_create(HEARTBEAT_MS, 800);

	removals_note_return(removals, 10000, OUTAGE_MS);
	assert_true(removals_defer(removals, 10100, "e1"));
	assert_int_equal(removals_next(removals), 10900);
	removals_destroy(removals);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_gone_at_once, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_failed_call, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_outage, setup, teardown),
		cmocka_unit_test_setup_teardown(test_restored, setup, teardown),
		cmocka_unit_test_setup_teardown(test_short_drain_time, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
