/* Locks on engines. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "hold/engine_locks.h"

#define LEASE_MS      2000
#define GAP_MS	      3000
#define VALID_UNTIL   ((ms_t)1000000)
#define AFTER_STARTUP ((ms_t)1000)

/* One process, and its last attempt to acquire the lock. */
typedef struct {
	engine_locks_t *engine_locks;
	int take_count;
	int64_t revision;
} process_t;

static void take(void *ctx, const char *engine, int64_t revision)
{
	process_t *process = ctx;

	process->take_count++;
	process->revision = revision;
}

static void ignore(void *ctx, const char *engine)
{
}

static void process_create(process_t *process, const char *instance)
{
	static const engine_locks_actions_t actions = {take, ignore, ignore};
	const engine_locks_options_t options = {instance, LEASE_MS, GAP_MS};

	memset(process, 0, sizeof(*process));
	process->engine_locks =
		engine_locks_create(&options, 0, &actions, process);
}

#define HISTORY 1

static void set_record_of(process_t *process, ms_t now, const char *holder,
			  int64_t lease, int64_t revision, int64_t history)
{
	engine_lock_t record = {holder, lease, revision, history};

	engine_locks_set_record(process->engine_locks, now, "e", &record);
}

static void set_record(process_t *process, ms_t now, const char *holder,
		       int64_t lease, int64_t revision)
{
	set_record_of(process, now, holder, lease, revision, 0);
}

static int64_t fencing_number(process_t *process, ms_t now)
{
	return engine_locks_fencing_number(process->engine_locks, now,
					   VALID_UNTIL, "e");
}

static gboolean may_order(const process_t *process, ms_t now)
{
	return engine_locks_may_order(process->engine_locks, now, VALID_UNTIL,
				      "e");
}

/* A new engine is acquired by one instance, which may send orders at once. */
static void test_new_engine(void **state)
{
	process_t one;
	process_t two;
	process_t *holder;
	process_t *other;

	process_create(&one, "one");
	process_create(&two, "two");
	engine_locks_set_lease(one.engine_locks, 0, 11);
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(one.engine_locks, 0, "one", 11);
	engine_locks_set_instance(one.engine_locks, 0, "two", 12);
	engine_locks_set_instance(two.engine_locks, 0, "one", 11);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_engine(one.engine_locks, 0, "e", TRUE);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	/* Other instances may still become known. */
	engine_locks_tick(one.engine_locks, 10, VALID_UNTIL);
	engine_locks_tick(two.engine_locks, 10, VALID_UNTIL);
	assert_int_equal(one.take_count + two.take_count, 0);
	engine_locks_tick(one.engine_locks, AFTER_STARTUP, VALID_UNTIL);
	engine_locks_tick(two.engine_locks, AFTER_STARTUP, VALID_UNTIL);
	assert_int_equal(one.take_count + two.take_count, 1);
	holder = one.take_count ? &one : &two;
	other = one.take_count ? &two : &one;
	assert_int_equal(holder->revision, 0);
	engine_locks_write_done(holder->engine_locks, AFTER_STARTUP, "e", 5);
	assert_true(may_order(holder, AFTER_STARTUP));
	assert_int_equal(engine_locks_fencing_number(holder->engine_locks,
						     AFTER_STARTUP, VALID_UNTIL,
						     "e"),
			 5);
	assert_false(may_order(other, AFTER_STARTUP));
	/* No order without a valid lease. */
	assert_false(engine_locks_may_order(holder->engine_locks, VALID_UNTIL,
					    VALID_UNTIL, "e"));
	engine_locks_destroy(one.engine_locks);
	engine_locks_destroy(two.engine_locks);
}

/*
 * The holder's lease is gone: it expired, or the store dropped it while the
 * holder still takes it for valid.  The successor's first order must come after
 * the last order that the holder may send.
 */
static void test_successor_waits(void **state)
{
	process_t two;
	ms_t gone_at = 10000;

	process_create(&two, "two");
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_instance(two.engine_locks, 0, "one", 11);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	set_record(&two, 0, "one", 11, 5);
	engine_locks_tick(two.engine_locks, gone_at - 1, VALID_UNTIL);
	assert_int_equal(two.take_count, 0);
	engine_locks_set_instance(two.engine_locks, gone_at, "one", 0);
	engine_locks_tick(two.engine_locks, gone_at, VALID_UNTIL);
	assert_int_equal(two.take_count, 1);
	assert_int_equal(two.revision, 5);
	engine_locks_write_done(two.engine_locks, gone_at + 5, "e", 9);
	assert_string_equal(engine_locks_holder(two.engine_locks, "e"), "two");
	assert_false(may_order(&two, gone_at + LEASE_MS + GAP_MS - 1));
	assert_true(may_order(&two, gone_at + LEASE_MS + GAP_MS));
	engine_locks_destroy(two.engine_locks);
}

/* After a release the successor waits only for orders in transit. */
static void test_released(void **state)
{
	process_t two;

	process_create(&two, "two");
	engine_locks_set_lease(two.engine_locks, 0, 12);
	engine_locks_set_instance(two.engine_locks, 0, "two", 12);
	engine_locks_set_engine(two.engine_locks, 0, "e", TRUE);
	set_record(&two, 5000, "", 0, 6);
	engine_locks_tick(two.engine_locks, 5000, VALID_UNTIL);
	assert_int_equal(two.take_count, 1);
	engine_locks_write_done(two.engine_locks, 5000, "e", 7);
	assert_false(may_order(&two, 5000 + GAP_MS - 1));
	assert_true(may_order(&two, 5000 + GAP_MS));
	engine_locks_destroy(two.engine_locks);
}

/* A restarted process of the same instance acquires its locks at once. */
static void test_restarted_holder(void **state)
{
	process_t one;

	process_create(&one, "one");
	engine_locks_set_instance(one.engine_locks, 0, "one", 21);
	engine_locks_set_engine(one.engine_locks, 0, "e", TRUE);
	set_record(&one, 0, "one", 11, 5);
	engine_locks_tick(one.engine_locks, 0, VALID_UNTIL);
	assert_int_equal(one.take_count, 0);
	engine_locks_set_lease(one.engine_locks, 10, 21);
	engine_locks_tick(one.engine_locks, 10, VALID_UNTIL);
	assert_int_equal(one.take_count, 1);
	assert_int_equal(one.revision, 5);
	engine_locks_write_done(one.engine_locks, 15, "e", 8);
	assert_true(may_order(&one, 15));
	/* The watch shows that another instance has acquired the lock. */
	set_record(&one, 20, "two", 12, 9);
	assert_false(may_order(&one, 20));
	/* An older revision is ignored. */
	set_record(&one, 30, "one", 21, 8);
	assert_false(may_order(&one, 30));
	engine_locks_destroy(one.engine_locks);
}

/* A process that holds the lock with revision 50, and another instance. */
static void create_holder(process_t *process)
{
	process_create(process, "one");
	engine_locks_set_lease(process->engine_locks, 0, 11);
	engine_locks_set_instance(process->engine_locks, 0, "one", 11);
	engine_locks_set_instance(process->engine_locks, 0, "two", 12);
	engine_locks_set_engine(process->engine_locks, 0, "e", TRUE);
	set_record_of(process, 0, "one", 11, 50, HISTORY);
	/* What was read before the number was stated stays known. */
	engine_locks_begin_history(process->engine_locks, 0, 0, HISTORY);
}

static void begin_next_history(process_t *process, ms_t now, ms_t valid_until)
{
	engine_locks_begin_history(process->engine_locks, now, valid_until,
				   HISTORY + 1);
}

/* When the holders of the history before have sent their last orders. */
#define SETTLED_MS (LEASE_MS + GAP_MS)

/*
 * The store comes back with a record that is older, but names the same holder:
 * it goes on after a time, and its fencing number does not fall.
 */
static void test_holder_after_return(void **state)
{
	process_t one;
	ms_t back = 20000;
	int64_t number;

	create_holder(&one);
	number = fencing_number(&one, 10000);
	begin_next_history(&one, back, back - GAP_MS);
	assert_false(may_order(&one, back));
	/* Until then it is the holder that admits requests. */
	assert_string_equal(engine_locks_holder(one.engine_locks, "e"), "one");
	set_record_of(&one, back, "one", 11, 30, HISTORY);
	assert_string_equal(engine_locks_holder(one.engine_locks, "e"), "one");
	assert_false(may_order(&one, back + SETTLED_MS - 1));
	assert_true(may_order(&one, back + SETTLED_MS));
	assert_true(fencing_number(&one, back + SETTLED_MS) > number);
	engine_locks_destroy(one.engine_locks);
}

/*
 * No other instance can have sent an order after this one: it goes on at once,
 * also if it has to acquire the lock anew, but not if another one was faster.
 */
static void test_last_holder_after_return(void **state)
{
	process_t one;
	ms_t back = 20000;
	ms_t valid_until = back - GAP_MS + 1;
	int64_t number;

	create_holder(&one);
	number = fencing_number(&one, 10000);
	begin_next_history(&one, back, valid_until);
	assert_false(may_order(&one, back));
	set_record_of(&one, back, "one", 11, 30, HISTORY);
	assert_true(may_order(&one, back));
	assert_true(fencing_number(&one, back) > number);
	engine_locks_destroy(one.engine_locks);

	create_holder(&one);
	begin_next_history(&one, back, valid_until);
	set_record_of(&one, back, "", 0, 0, 0);
	assert_false(may_order(&one, back));
	engine_locks_write_done(one.engine_locks, back + 10, "e", 32);
	assert_true(may_order(&one, back + 10));
	engine_locks_destroy(one.engine_locks);

	create_holder(&one);
	begin_next_history(&one, back, valid_until);
	set_record_of(&one, back, "two", 12, 31, HISTORY + 1);
	set_record_of(&one, back + 10, "", 0, 32, HISTORY + 1);
	engine_locks_write_done(one.engine_locks, back + 20, "e", 33);
	assert_false(may_order(&one, back + SETTLED_MS - 1));
	assert_true(may_order(&one, back + SETTLED_MS));
	engine_locks_destroy(one.engine_locks);
}

/*
 * The store has forgotten the lock, or remembers a former holder: this one must
 * not go on, and acquires it anew with a higher number.
 */
static void test_forgotten_lock(void **state)
{
	process_t one;
	ms_t back = 20000;
	int64_t number;

	create_holder(&one);
	number = fencing_number(&one, 10000);
	begin_next_history(&one, back, back - GAP_MS);
	set_record_of(&one, back, "two", 12, 30, HISTORY);
	assert_string_equal(engine_locks_holder(one.engine_locks, "e"), "two");
	assert_false(may_order(&one, back + SETTLED_MS));
	/* And then none: whoever is alive acquires it, but not at once. */
	set_record_of(&one, back + 10, "", 0, 0, 0);
	engine_locks_set_instance(one.engine_locks, back + 10, "two", 0);
	engine_locks_tick(one.engine_locks, back + 20, VALID_UNTIL);
	assert_int_equal(one.take_count, 0);
	engine_locks_tick(one.engine_locks, back + ENGINE_LOCKS_STARTUP_MS + 50,
			  VALID_UNTIL);
	assert_int_equal(one.take_count, 1);
	assert_int_equal(one.revision, 0);
	engine_locks_write_done(one.engine_locks, back + 900, "e", 35);
	assert_false(may_order(&one, back + SETTLED_MS - 1));
	assert_true(may_order(&one, back + SETTLED_MS));
	assert_true(fencing_number(&one, back + SETTLED_MS) > number);
	engine_locks_destroy(one.engine_locks);
}

/*
 * A process that starts finds its own name in a record of a former history:
 * another instance may have held the lock since.
 */
static void test_restarted_holder_after_return(void **state)
{
	process_t one;

	process_create(&one, "one");
	engine_locks_begin_history(one.engine_locks, 0, 0, HISTORY + 1);
	engine_locks_set_instance(one.engine_locks, 0, "one", 21);
	engine_locks_set_engine(one.engine_locks, 0, "e", TRUE);
	set_record_of(&one, 0, "one", 11, 5, HISTORY);
	engine_locks_set_lease(one.engine_locks, 10, 21);
	engine_locks_tick(one.engine_locks, 10, VALID_UNTIL);
	assert_int_equal(one.take_count, 1);
	engine_locks_write_done(one.engine_locks, 15, "e", 8);
	assert_false(may_order(&one, SETTLED_MS - 1));
	assert_true(may_order(&one, SETTLED_MS));
	/* Unless the engine has had no order from anybody. */
	engine_locks_note_untouched(one.engine_locks, "e");
	assert_true(may_order(&one, 20));
	engine_locks_destroy(one.engine_locks);
}

#define FLEET 195

/*
 * The updates of a large fleet reach the instances late, so that the engine
 * looks orphaned to all at once: they do not all write to the store.
 */
static void test_succession_in_large_fleet(void **state)
{
	process_t processes[FLEET];
	ms_t now = AFTER_STARTUP + ENGINE_LOCKS_ORPHAN_MS;
	int takes = 0;
	int i;
	int j;

	for (i = 0; i < FLEET; i++) {
		char *name = g_strdup_printf("front-%d", i);

		process_create(&processes[i], name);
		engine_locks_set_lease(processes[i].engine_locks, 0, i + 1);
		for (j = 0; j < FLEET; j++) {
			char *other = g_strdup_printf("front-%d", j);

			engine_locks_set_instance(processes[i].engine_locks, 0,
						  other, j + 1);
			g_free(other);
		}
		engine_locks_set_engine(processes[i].engine_locks, 0, "e",
					TRUE);
		engine_locks_tick(processes[i].engine_locks, now, VALID_UNTIL);
		takes += processes[i].take_count;
		g_free(name);
	}
	assert_in_range(takes, 1, 2);
	/* If none of them gets the lock, others follow. */
	now += 5 * ENGINE_LOCKS_SUCCESSION_MS;
	for (i = 0, takes = 0; i < FLEET; i++) {
		engine_locks_tick(processes[i].engine_locks, now, VALID_UNTIL);
		takes += processes[i].take_count;
	}
	assert_in_range(takes, 5, 7);
	for (i = 0; i < FLEET; i++)
		engine_locks_destroy(processes[i].engine_locks);
}

/* The size in two years, and the part of a core that control may take. */
#define TARGET_INSTANCES   350
#define TARGET_ENGINES	   3400
#define CONTROL_CORE_SHARE 0.017
#define TICK_MS		   10

/*
 * A large fleet starts: for some seconds no engine has a known holder.  Beside
 * one assignment of all engines, that takes no more than the processor time for
 * control.
 */
static void test_ticks_of_large_fleet(void **state)
{
	process_t one;
	ms_t now = AFTER_STARTUP;
	clock_t before;
	int i;

	process_create(&one, "front-0");
	engine_locks_set_lease(one.engine_locks, 0, 1);
	for (i = 0; i < TARGET_INSTANCES; i++) {
		char *name = g_strdup_printf("front-%d", i);

		engine_locks_set_instance(one.engine_locks, 0, name, i + 1);
		g_free(name);
	}
	for (i = 0; i < TARGET_ENGINES; i++) {
		char *id = g_strdup_printf("i-%d", i);

		engine_locks_set_engine(one.engine_locks, now, id, TRUE);
		g_free(id);
	}
	engine_locks_tick(one.engine_locks, now, VALID_UNTIL);
	before = clock();
	for (; now < AFTER_STARTUP + ENGINE_LOCKS_ORPHAN_MS; now += TICK_MS)
		engine_locks_tick(one.engine_locks, now, VALID_UNTIL);
	assert_true((double)(clock() - before) <
		    CONTROL_CORE_SHARE * CLOCKS_PER_SEC *
			    ENGINE_LOCKS_ORPHAN_MS / 1000);
	engine_locks_destroy(one.engine_locks);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_engine),
		cmocka_unit_test(test_successor_waits),
		cmocka_unit_test(test_released),
		cmocka_unit_test(test_restarted_holder),
		cmocka_unit_test(test_holder_after_return),
		cmocka_unit_test(test_last_holder_after_return),
		cmocka_unit_test(test_forgotten_lock),
		cmocka_unit_test(test_restarted_holder_after_return),
		cmocka_unit_test(test_succession_in_large_fleet),
		cmocka_unit_test(test_ticks_of_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
