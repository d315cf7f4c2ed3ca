/* Tests of which parts of prompts are held for crashing engines. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "route/quarantine.h"

/* How long the requests of these tests ran before a crash. */
#define RUN_MS 500

static gboolean note_crash(quarantine_t *quarantine, ms_t now, const char *part,
			   const char *engine)
{
	return quarantine_note_crash(quarantine, now, part, engine,
				     now - RUN_MS);
}

static int setup(void **state)
{
	*state = quarantine_create(NULL);
	return 0;
}

static int teardown(void **state)
{
	quarantine_destroy(*state);
	return 0;
}

/* Three engines crash one after the other, the last one at 2,000 ms. */
static void hold_part(quarantine_t *quarantine, const char *part)
{
	note_crash(quarantine, 1000, part, "e1");
	note_crash(quarantine, 1500, part, "e2");
	assert_true(note_crash(quarantine, 2000, part, "e3"));
}

/* Each engine that begins to answer crashes: the fourth request is not sent. */
static void test_deadly_part(void **state)
{
	quarantine_t *quarantine = *state;

	assert_false(note_crash(quarantine, 1000, "bad", "e1"));
	assert_int_equal(quarantine_time_left(quarantine, 1000, "bad"), 0);
	assert_false(note_crash(quarantine, 1500, "bad", "e2"));
	assert_true(note_crash(quarantine, 2000, "bad", "e3"));
	assert_int_equal(quarantine_time_left(quarantine, 2000, "bad"),
			 QUARANTINE_FIRST_MS);
	assert_false(note_crash(quarantine, 2100, "bad", "e4"));
}

/* Reports of one crash by several instances are one crash. */
static void test_one_crash_reported_twice(void **state)
{
	quarantine_t *quarantine = *state;

	note_crash(quarantine, 1000, "bad", "e1");
	note_crash(quarantine, 2000, "bad", "e2");
	assert_false(note_crash(quarantine, 2400, "bad", "e2"));
	assert_int_equal(quarantine_time_left(quarantine, 2400, "bad"), 0);
}

/*
 * Guards against an engine that starts again under its name, and of which only
 * the first crash counts: with one or two engines no part was ever held.
 */
static void test_engines_that_return(void **state)
{
	quarantine_t *quarantine = *state;
	ms_t now = 1000;
	int i;

	/* Each crash is reported by two instances, once of them late. */
	for (i = 1; i <= 3; i++) {
		ms_t late = i == 2 ? 5000 : RUN_MS;

		assert_int_equal(quarantine_note_crash(quarantine, now, "one",
						       "e1", now - 20),
				 i == 3);
		assert_false(quarantine_note_crash(quarantine, now + late,
						   "one", "e1", now - RUN_MS));
		now += late + 20;
	}
	assert_true(quarantine_time_left(quarantine, now, "one") > 0);
	assert_false(note_crash(quarantine, now, "two", "e1"));
	assert_false(note_crash(quarantine, now + 100, "two", "e2"));
	now += 2 * RUN_MS;
	assert_true(note_crash(quarantine, now, "two", "e1"));
}

/*
 * Racks that lose power take engines with a rare part on several of them.  The
 * first engine of each seems to crash alone, until the others follow.
 */
static void test_engines_lost_at_once(void **state)
{
	quarantine_t *quarantine = *state;
	ms_t now = 0;
	int rack;
	int i;

	for (rack = 0; rack < 3; rack++) {
		now += 4000;
		for (i = 0; i < 8; i++) {
			char engine[32];

			snprintf(engine, sizeof(engine), "e%d-%d", rack, i);
			note_crash(quarantine, now + i, "rare", engine);
		}
		assert_int_equal(
			quarantine_time_left(quarantine, now + 8, "rare"), 0);
	}
}

/* A deadly part that comes so often that engines never crash alone. */
static void test_deadly_part_of_many_requests(void **state)
{
	quarantine_t *quarantine = *state;
	int i;

	for (i = 0; i < 40; i++) {
		char engine[16];

		snprintf(engine, sizeof(engine), "e%d", i);
		note_crash(quarantine, 1000 + 20 * i, "bad", engine);
	}
	assert_true(quarantine_time_left(quarantine, 1800, "bad") > 0);
}

/* A power loss that follows a crash does not release what was held before. */
static void test_held_part_in_a_power_loss(void **state)
{
	quarantine_t *quarantine = *state;

	hold_part(quarantine, "bad");
	note_crash(quarantine, 3000, "rare", "e3");
	note_crash(quarantine, 3001, "rare", "e4");
	assert_true(quarantine_time_left(quarantine, 3001, "bad") > 0);
}

/* A sound part runs beside a deadly one, time and again, and is answered. */
static void test_part_beside_a_deadly_one(void **state)
{
	quarantine_t *quarantine = *state;
	ms_t now = 1000;
	int i;

	for (i = 0; i < 40; i++) {
		char engine[16];

		snprintf(engine, sizeof(engine), "e%d", i);
		now += 500;
		assert_false(note_crash(quarantine, now, "shared", engine));
		assert_true(quarantine_note_answer(quarantine, "shared"));
		assert_false(quarantine_note_answer(quarantine, "shared"));
	}
}

/* A part that was answered earlier is not held before more crashes. */
static void test_part_answered_before(void **state)
{
	quarantine_t *quarantine = *state;
	int i;

	quarantine_note_answer(quarantine, "known");
	for (i = 1; i <= 5; i++) {
		char engine[16];

		snprintf(engine, sizeof(engine), "e%d", i);
		assert_int_equal(
			note_crash(quarantine, i * 1000, "known", engine),
			i == 5);
	}
}

/* A request sent before the verdict is answered: the part was innocent. */
static void test_answer_releases(void **state)
{
	quarantine_t *quarantine = *state;

	hold_part(quarantine, "rare");
	assert_true(quarantine_note_answer(quarantine, "rare"));
	assert_int_equal(quarantine_time_left(quarantine, 2000, "rare"), 0);
}

static void test_old_suspicion_ends(void **state)
{
	quarantine_t *quarantine = *state;
	ms_t later = 1001 + QUARANTINE_SUSPICION_MS;

	note_crash(quarantine, 500, "rare", "e1");
	note_crash(quarantine, 1000, "rare", "e2");
	assert_false(note_crash(quarantine, later, "rare", "e3"));
}

/* After its time a part gets one more request, then twice the time. */
static void test_longer_each_time(void **state)
{
	quarantine_t *quarantine = *state;
	ms_t now = 2000;
	ms_t term = QUARANTINE_FIRST_MS;
	int i;

	hold_part(quarantine, "bad");
	for (i = 0; i < 8; i++) {
		now += term;
		assert_int_equal(quarantine_time_left(quarantine, now, "bad"),
				 0);
		assert_true(note_crash(quarantine, now, "bad", "e3"));
		term = MIN(2 * term, QUARANTINE_MAX_MS);
		assert_int_equal(quarantine_time_left(quarantine, now, "bad"),
				 term);
	}
}

/*
 * Guards against all instances that send a request with the part at the moment
 * at which its hold ends: one of them does, and the others are told of its end.
 */
static void test_holds_end_one_after_the_other(void **state)
{
	enum { INSTANCES = 9 };
	quarantine_t *instances[INSTANCES];
	GRand *rand = g_rand_new_with_seed(7);
	ms_t now = 2000;
	int sent = 0;
	int round;
	int i;
	int j;

	for (i = 0; i < INSTANCES; i++) {
		instances[i] = quarantine_create(rand);
		hold_part(instances[i], "bad");
	}
	for (round = 0; round < 3; round++) {
		ms_t end = now + 2 * (QUARANTINE_FIRST_MS << round);

		sent = 0;
		for (; now < end && !sent; now += 100) {
			for (i = 0; i < INSTANCES; i++)
				sent += !quarantine_time_left(instances[i], now,
							      "bad");
		}
		assert_in_range(sent, 1, 2);
		for (j = 0; j < INSTANCES; j++)
			assert_true(note_crash(instances[j], now, "bad", "e1"));
	}
	for (i = 0; i < INSTANCES; i++)
		quarantine_destroy(instances[i]);
	g_rand_free(rand);
}

static void count_held(void *ctx, const char *part, ms_t time_left)
{
	(*(int *)ctx)++;
	assert_string_equal(part, "bad");
	assert_int_equal(time_left, 4000);
}

/* An instance that has just started learns what the others hold. */
static void test_held_by_another(void **state)
{
	quarantine_t *quarantine = *state;
	int held = 0;

	note_crash(quarantine, 500, "rare", "e1");
	quarantine_hold(quarantine, 1000, "bad", 5000);
	quarantine_hold(quarantine, 1000, "bad", 3000);
	quarantine_foreach_held(quarantine, 2000, count_held, &held);
	assert_int_equal(held, 1);
}

/* The memory of answered parts is bounded and keeps the newest. */
static void test_many_parts(void **state)
{
	quarantine_t *quarantine = *state;
	char part[16];
	char engine[16];
	int i;

	for (i = 0; i < 3 * QUARANTINE_PROVEN_MAX; i++) {
		snprintf(part, sizeof(part), "p%d", i);
		quarantine_note_answer(quarantine, part);
	}
	for (i = 1; i <= 3; i++) {
		snprintf(engine, sizeof(engine), "e%d", i);
		assert_false(note_crash(quarantine, i * 1000, part, engine));
		assert_int_equal(note_crash(quarantine, i * 1000, "p0", engine),
				 i == 3);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_deadly_part, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_one_crash_reported_twice,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_engines_that_return, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_engines_lost_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_deadly_part_of_many_requests, setup, teardown),
		cmocka_unit_test_setup_teardown(test_held_part_in_a_power_loss,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_part_beside_a_deadly_one,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_part_answered_before,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_answer_releases, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_old_suspicion_ends, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_longer_each_time, setup,
						teardown),
		cmocka_unit_test(test_holds_end_one_after_the_other),
		cmocka_unit_test_setup_teardown(test_held_by_another, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_many_parts, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
