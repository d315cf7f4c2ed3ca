/* Who holds which engine. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "hold/holdings.h"

#define LEASE_MS   2000
#define GAP_MS	   3000
#define VALID	   ((ms_t)1000000)
#define FIRST_TIME ((ms_t)1000)

/* Two processes' views of one record. */
typedef struct {
	holdings_t *holdings;
	int takes;
	int64_t revision;
} holder_t;

static void take(void *ctx, const char *engine, int64_t revision)
{
	holder_t *holder = ctx;

	holder->takes++;
	holder->revision = revision;
}

static void nothing(void *ctx, const char *engine)
{
}

static void holder_create(holder_t *holder, const char *instance)
{
	static const holdings_actions_t acts = {take, nothing, nothing};
	const holdings_options_t options = {instance, LEASE_MS, GAP_MS};

	memset(holder, 0, sizeof(*holder));
	holder->holdings = holdings_create(&options, 0, &acts, holder);
}

static gboolean may_order(const holder_t *holder, ms_t now)
{
	return holdings_may_order(holder->holdings, now, VALID, "e");
}

/* A new engine goes to one instance, which orders at once. */
static void test_new_engine(void **state)
{
	holder_t one;
	holder_t two;
	holder_t *taker;
	holder_t *other;

	holder_create(&one, "one");
	holder_create(&two, "two");
	holdings_set_lease(one.holdings, 0, 11);
	holdings_set_lease(two.holdings, 0, 12);
	holdings_set_instance(one.holdings, 0, "one", 11);
	holdings_set_instance(one.holdings, 0, "two", 12);
	holdings_set_instance(two.holdings, 0, "one", 11);
	holdings_set_instance(two.holdings, 0, "two", 12);
	holdings_set_engine(one.holdings, 0, "e", TRUE);
	holdings_set_engine(two.holdings, 0, "e", TRUE);
	/* Others may still appear. */
	holdings_tick(one.holdings, 10, VALID);
	holdings_tick(two.holdings, 10, VALID);
	assert_int_equal(one.takes + two.takes, 0);
	holdings_tick(one.holdings, FIRST_TIME, VALID);
	holdings_tick(two.holdings, FIRST_TIME, VALID);
	assert_int_equal(one.takes + two.takes, 1);
	taker = one.takes ? &one : &two;
	other = one.takes ? &two : &one;
	assert_int_equal(taker->revision, 0);
	holdings_taken(taker->holdings, FIRST_TIME, "e", 5);
	assert_true(may_order(taker, FIRST_TIME));
	assert_int_equal(
		holdings_order(taker->holdings, FIRST_TIME, VALID, "e"), 5);
	assert_false(may_order(other, FIRST_TIME));
	/* Without a valid lease there is no order. */
	assert_false(holdings_may_order(taker->holdings, VALID, VALID, "e"));
	holdings_destroy(one.holdings);
	holdings_destroy(two.holdings);
}

/*
 * The holder's lease goes away, be it that it expired or that the store dropped
 * it while the holder believes in it: the successor's first order comes after
 * the last one that the holder may send.
 */
static void test_successor_waits(void **state)
{
	holder_t two;
	ms_t gone = 10000;

	holder_create(&two, "two");
	holdings_set_lease(two.holdings, 0, 12);
	holdings_set_instance(two.holdings, 0, "two", 12);
	holdings_set_instance(two.holdings, 0, "one", 11);
	holdings_set_engine(two.holdings, 0, "e", TRUE);
	holdings_set_record(two.holdings, 0, "e", "one", 11, 5);
	holdings_tick(two.holdings, gone - 1, VALID);
	assert_int_equal(two.takes, 0);
	holdings_set_instance(two.holdings, gone, "one", 0);
	holdings_tick(two.holdings, gone, VALID);
	assert_int_equal(two.takes, 1);
	assert_int_equal(two.revision, 5);
	holdings_taken(two.holdings, gone + 5, "e", 9);
	assert_string_equal(holdings_holder(two.holdings, "e"), "two");
	assert_false(may_order(&two, gone + LEASE_MS + GAP_MS - 1));
	assert_true(may_order(&two, gone + LEASE_MS + GAP_MS));
	holdings_destroy(two.holdings);
}

/* Given back: only what is under way has to arrive. */
static void test_released(void **state)
{
	holder_t two;

	holder_create(&two, "two");
	holdings_set_lease(two.holdings, 0, 12);
	holdings_set_instance(two.holdings, 0, "two", 12);
	holdings_set_engine(two.holdings, 0, "e", TRUE);
	holdings_set_record(two.holdings, 5000, "e", "", 0, 6);
	holdings_tick(two.holdings, 5000, VALID);
	assert_int_equal(two.takes, 1);
	holdings_taken(two.holdings, 5000, "e", 7);
	assert_false(may_order(&two, 5000 + GAP_MS - 1));
	assert_true(may_order(&two, 5000 + GAP_MS));
	holdings_destroy(two.holdings);
}

/* A new process of the same instance takes its records back at once. */
static void test_restarted_holder(void **state)
{
	holder_t one;

	holder_create(&one, "one");
	holdings_set_instance(one.holdings, 0, "one", 21);
	holdings_set_engine(one.holdings, 0, "e", TRUE);
	holdings_set_record(one.holdings, 0, "e", "one", 11, 5);
	holdings_tick(one.holdings, 0, VALID);
	assert_int_equal(one.takes, 0);
	holdings_set_lease(one.holdings, 10, 21);
	holdings_tick(one.holdings, 10, VALID);
	assert_int_equal(one.takes, 1);
	assert_int_equal(one.revision, 5);
	holdings_taken(one.holdings, 15, "e", 8);
	assert_true(may_order(&one, 15));
	/* Another instance was faster to write, which the watch tells. */
	holdings_set_record(one.holdings, 20, "e", "two", 12, 9);
	assert_false(may_order(&one, 20));
	/* News that is older than what is known changes nothing. */
	holdings_set_record(one.holdings, 30, "e", "one", 21, 8);
	assert_false(may_order(&one, 30));
	holdings_destroy(one.holdings);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_engine),
		cmocka_unit_test(test_successor_waits),
		cmocka_unit_test(test_released),
		cmocka_unit_test(test_restarted_holder),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
