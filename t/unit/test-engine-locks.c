/* Who holds which engine. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "hold/engine_locks.h"

#define LEASE_MS   2000
#define GAP_MS	   3000
#define VALID	   ((ms_t)1000000)
#define FIRST_TIME ((ms_t)1000)

/* Two processes' views of one record. */
typedef struct {
	engine_locks_t *engine_locks;
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
	static const engine_locks_actions_t acts = {take, nothing, nothing};
	const engine_locks_options_t options = {instance, LEASE_MS, GAP_MS};

	memset(holder, 0, sizeof(*holder));
	holder->engine_locks = engine_locks_create(&options, 0, &acts, holder);
}

static gboolean may_order(const holder_t *holder, ms_t now)
{
	return engine_locks_may_order(holder->engine_locks, now, VALID, "e");
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
	engine_locks_set_lease(one.engine_locks, 0, 11);
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(one.engine_locks, 0, "one", 11);
	engine_locks_set_instance(one.engine_locks, 0, "two", 12);
	engine_locks_set_instance(two.engine_locks, 0, "one", 11);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_engine(one.engine_locks, 0, "e", TRUE);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	/* Others may still appear. */
	engine_locks_tick(one.engine_locks, 10, VALID);
	engine_locks_tick(two.engine_locks, 10, VALID);
	assert_int_equal(one.takes + two.takes, 0);
	engine_locks_tick(one.engine_locks, FIRST_TIME, VALID);
	engine_locks_tick(two.engine_locks, FIRST_TIME, VALID);
	assert_int_equal(one.takes + two.takes, 1);
	taker = one.takes ? &one : &two;
	other = one.takes ? &two : &one;
	assert_int_equal(taker->revision, 0);
	engine_locks_write_done(taker->engine_locks, FIRST_TIME, "e", 5);
	assert_true(may_order(taker, FIRST_TIME));
	assert_int_equal(engine_locks_fencing_number(taker->engine_locks,
						     FIRST_TIME, VALID, "e"),
			 5);
	assert_false(may_order(other, FIRST_TIME));
	/* Without a valid lease there is no order. */
	assert_false(
		engine_locks_may_order(taker->engine_locks, VALID, VALID, "e"));
	engine_locks_destroy(one.engine_locks);
	engine_locks_destroy(two.engine_locks);
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
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_instance(two.engine_locks, 0, "one", 11);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	engine_locks_set_record(two.engine_locks, 0, "e", "one", 11, 5);
	engine_locks_tick(two.engine_locks, gone - 1, VALID);
	assert_int_equal(two.takes, 0);
	engine_locks_set_instance(two.engine_locks, gone, "one", 0);
	engine_locks_tick(two.engine_locks, gone, VALID);
	assert_int_equal(two.takes, 1);
	assert_int_equal(two.revision, 5);
	engine_locks_write_done(two.engine_locks, gone + 5, "e", 9);
	assert_string_equal(engine_locks_holder(two.engine_locks, "e"), "two");
	assert_false(may_order(&two, gone + LEASE_MS + GAP_MS - 1));
	assert_true(may_order(&two, gone + LEASE_MS + GAP_MS));
	engine_locks_destroy(two.engine_locks);
}

/* Given back: only what is under way has to arrive. */
static void test_released(void **state)
{
	holder_t two;

	holder_create(&two, "two");
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	engine_locks_set_record(two.engine_locks, 5000, "e", "", 0, 6);
	engine_locks_tick(two.engine_locks, 5000, VALID);
	assert_int_equal(two.takes, 1);
	engine_locks_write_done(two.engine_locks, 5000, "e", 7);
	assert_false(may_order(&two, 5000 + GAP_MS - 1));
	assert_true(may_order(&two, 5000 + GAP_MS));
	engine_locks_destroy(two.engine_locks);
}

/* A new process of the same instance takes its records back at once. */
static void test_restarted_holder(void **state)
{
	holder_t one;

	holder_create(&one, "one");
	engine_locks_set_instance(one.engine_locks, 0, "one", 21);
	engine_locks_set_engine(one.engine_locks, 0, "e", TRUE);
	engine_locks_set_record(one.engine_locks, 0, "e", "one", 11, 5);
	engine_locks_tick(one.engine_locks, 0, VALID);
	assert_int_equal(one.takes, 0);
	engine_locks_set_lease(one.engine_locks, 10, 21);
	engine_locks_tick(one.engine_locks, 10, VALID);
	assert_int_equal(one.takes, 1);
	assert_int_equal(one.revision, 5);
	engine_locks_write_done(one.engine_locks, 15, "e", 8);
	assert_true(may_order(&one, 15));
	/* Another instance was faster to write, which the watch tells. */
	engine_locks_set_record(one.engine_locks, 20, "e", "two", 12, 9);
	assert_false(may_order(&one, 20));
	/* News that is older than what is known changes nothing. */
	engine_locks_set_record(one.engine_locks, 30, "e", "one", 21, 8);
	assert_false(may_order(&one, 30));
	engine_locks_destroy(one.engine_locks);
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
