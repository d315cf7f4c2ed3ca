/* Test front/memory_budget.h: callers that make an instance keep much. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka.h needs the four above. */
#include <cmocka.h>

#include "base/counter.h"
#include "front/memory_budget.h"

#define KB	      1024
#define TOTAL	      (1000 * KB)
#define RESERVE	      (200 * KB)
#define ANSWERS_MAX   (300 * KB)
#define CALLERS	      60
#define WINDOW_MS     15000
#define BODY_MAX      (4 * 1024 * KB)
#define TICK_MS	      100
#define ROUNDS	      1000
#define SEEDS_DEFAULT 200

static memory_budget_t *create(void)
{
	return memory_budget_create(TOTAL, RESERVE, ANSWERS_MAX);
}

/* Guards against large bodies that leave no memory for small requests. */
static void test_large_bodies_leave_the_reserve(void **state)
{
	memory_budget_t *budget = create();

	while (memory_budget_has_room(budget, 16 * KB, FALSE))
		memory_budget_change(budget, MEMORY_BODIES_READ, 16 * KB);
	assert_true(memory_budget_used_by_all(budget) <= TOTAL - RESERVE);
	assert_true(memory_budget_has_room(budget, 64 * KB, TRUE));
	assert_false(memory_budget_has_room(budget, RESERVE + 17 * KB, TRUE));
	memory_budget_destroy(budget);
}

/* Guards against sums that overflow: a terabyte and 2^64 - 1 are announced. */
static void test_announced_sizes_at_the_edge(void **state)
{
	memory_budget_t *budget = create();

	memory_budget_change(budget, MEMORY_HEADS, 10 * KB);
	assert_false(memory_budget_has_room(budget, SIZE_MAX, TRUE));
	assert_false(memory_budget_has_room(budget, SIZE_MAX, FALSE));
	assert_false(memory_budget_has_room(budget, (size_t)1 << 40, FALSE));
	assert_int_equal(memory_budget_body_max(budget), TOTAL - RESERVE);
	memory_budget_destroy(budget);
}

/* Guards against parts that are counted twice or not released. */
static void test_parts_add_up(void **state)
{
	memory_budget_t *budget = create();
	memory_part_t part;

	for (part = 0; part < MEMORY_PARTS; part++)
		memory_budget_change(budget, part, 10 + part);
	for (part = 0; part < MEMORY_PARTS; part++)
		assert_int_equal(memory_budget_used(budget, part), 10 + part);
	assert_int_equal(
		counter_value(counter_get(
			"hc_callers_memory_bytes{part=\"pipelined\"}")),
		10 + MEMORY_PIPELINED);
	for (part = 0; part < MEMORY_PARTS; part++)
		memory_budget_change(budget, part, -10 - (int)part);
	assert_int_equal(memory_budget_used_by_all(budget), 0);
	memory_budget_destroy(budget);
}

/* Guards against answers that take the memory of requests, and of each other.
 */
static void test_answers_have_their_own_limit(void **state)
{
	memory_budget_t *budget = create();

	memory_budget_change(budget, MEMORY_ANSWERS, 200 * KB);
	assert_false(memory_budget_is_short_for_answers(budget));
	assert_false(memory_budget_is_freed_soon(budget));
	memory_budget_change(budget, MEMORY_UNSENT, 101 * KB);
	assert_true(memory_budget_is_short_for_answers(budget));
	/* Waiting helps: these end with their requests. */
	assert_true(memory_budget_is_freed_soon(budget));
	assert_true(memory_budget_has_room(budget, 64 * KB, FALSE));
	memory_budget_destroy(budget);
}

/*
 * Guards against a newcomer or an upload in progress that is refused in place
 * of the bodies that were left just short of their end.
 */
static void test_bodies_left_open_are_the_heaviest(void **state)
{
	guint64 left_open = memory_request_weight(BODY_MAX - 1, 2000);

	assert_true(memory_request_weight(BODY_MAX, 0) < left_open);
	assert_true(memory_request_weight(64 * KB, 1000) < left_open);
	assert_true(memory_request_weight(BODY_MAX / 2, 200) < left_open);
	assert_int_equal(memory_request_weight(500, 100000), 0);
	assert_true(memory_request_weight(BODY_MAX, -5) > 0);
}

/* Returns the number of windows in which a sender of this rate is too slow. */
static guint slow_windows(size_t bytes, ms_t each)
{
	body_progress_t progress;
	guint slow = 0;
	ms_t now;

	body_progress_begin(&progress, 0);
	for (now = 0; now < 10 * WINDOW_MS; now += TICK_MS) {
		if (now % each == 0)
			body_progress_add(&progress, bytes);
		slow += body_progress_is_slow(&progress, now, WINDOW_MS);
	}
	return slow;
}

/* Guards against bodies that last for ever, and against too high a rate. */
static void test_body_a_byte_at_a_time(void **state)
{
	assert_int_equal(slow_windows(1, 1000), 9);
	assert_int_equal(slow_windows(1, 14000), 9);
	assert_int_equal(slow_windows(16, 100), 0);
	assert_int_equal(slow_windows(4096, 10000), 0);
}

/*
 * 60 callers that send, stall and leave at random, and refusals by weight:
 * guards against a budget that is exceeded, or that can't be freed.
 */
static void run_crowd(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	memory_budget_t *budget = create();
	size_t held[CALLERS] = {0};
	ms_t active[CALLERS] = {0};
	guint round;

	for (round = 0; round < ROUNDS; round++) {
		guint i = (guint)g_rand_int_range(rand, 0, CALLERS);
		size_t size = (size_t)g_rand_int_range(rand, 1, 16 * KB);
		gboolean is_ordinary = held[i] <= ORDINARY_BODY_BYTES;

		while (!memory_budget_has_room(budget, size, is_ordinary)) {
			guint64 most = 0;
			guint victim = CALLERS;
			guint k;

			for (k = 0; k < CALLERS; k++) {
				guint64 weight = memory_request_weight(
					held[k], (ms_t)round - active[k]);

				if (weight > most) {
					most = weight;
					victim = k;
				}
			}
			assert_true(victim < CALLERS);
			memory_budget_change(budget, MEMORY_BODIES_READ,
					     -(gssize)held[victim]);
			held[victim] = 0;
		}
		memory_budget_change(budget, MEMORY_BODIES_READ, (gssize)size);
		held[i] += size;
		active[i] = round;
		assert_true(memory_budget_used_by_all(budget) <= TOTAL);
	}
	memory_budget_destroy(budget);
	g_rand_free(rand);
}

static void test_crowd_of_unfinished_bodies(void **state)
{
	guint32 seed;

	for (seed = 1; seed <= SEEDS_DEFAULT; seed++)
		run_crowd(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_large_bodies_leave_the_reserve),
		cmocka_unit_test(test_announced_sizes_at_the_edge),
		cmocka_unit_test(test_parts_add_up),
		cmocka_unit_test(test_answers_have_their_own_limit),
		cmocka_unit_test(test_bodies_left_open_are_the_heaviest),
		cmocka_unit_test(test_body_a_byte_at_a_time),
		cmocka_unit_test(test_crowd_of_unfinished_bodies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
