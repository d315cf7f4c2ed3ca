/*
 * Reassembly of pieces: any order, duplicates, pieces beyond the window,
 * truncated and resumed answers.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/assemble.h"

#define PIECES 200
#define SEED   3

static void on_piece(void *ctx, int64_t number, const char *data, size_t size)
{
	GString *text = ctx;

	g_string_append_len(text, data, (gssize)size);
	g_string_append_c(text, ' ');
}

static assemble_result_t add(assemble_t *assemble, int64_t number)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%d", (int)number);
	return assemble_add(assemble, number, text, strlen(text), NULL);
}

static void test_any_order_is_reassembled(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GString *expected = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	assemble_t *assemble = assemble_create(on_piece, text);
	int order[PIECES];

	for (int i = 0; i < PIECES; i++) {
		int other = g_rand_int_range(rand, 0, i + 1);

		order[i] = order[other];
		order[other] = i;
		g_string_append_printf(expected, "%d ", i);
	}
	assert_true(assemble_set_count(assemble, PIECES, NULL));
	for (int i = 0; i < PIECES; i++) {
		assert_false(assemble_is_complete(assemble));
		assert_int_equal(add(assemble, order[i]), ASSEMBLE_ACCEPTED);
		assert_int_equal(add(assemble, order[i]), ASSEMBLE_DUPLICATE);
	}
	assert_true(assemble_is_complete(assemble));
	assert_string_equal(text->str, expected->str);
	assemble_destroy(assemble);
	g_string_free(text, TRUE);
	g_string_free(expected, TRUE);
	g_rand_free(rand);
}

static void test_truncated_answer_is_incomplete(void **state)
{
	GString *text = g_string_new(NULL);
	assemble_t *assemble = assemble_create(on_piece, text);

	add(assemble, 0);
	add(assemble, 2);
	assert_false(assemble_is_complete(assemble));
	assert_false(assemble_set_count(assemble, 2, NULL));
	assert_true(assemble_set_count(assemble, 3, NULL));
	assert_false(assemble_is_complete(assemble));
	assert_false(assemble_set_count(assemble, 4, NULL));
	assert_int_equal(add(assemble, 3), ASSEMBLE_REJECTED);
	assert_int_equal(add(assemble, -1), ASSEMBLE_REJECTED);
	assert_int_equal(assemble_next(assemble), 1);
	assemble_discard_buffer(assemble);
	add(assemble, 1);
	assert_true(assemble_set_count(assemble, 2, NULL));
	assert_true(assemble_is_complete(assemble));
	assert_string_equal(text->str, "0 1 ");
	assemble_destroy(assemble);
	g_string_free(text, TRUE);
}

static void test_window_is_bounded(void **state)
{
	GString *text = g_string_new(NULL);
	assemble_t *assemble = assemble_create(on_piece, text);
	char *large = g_malloc0(ASSEMBLE_BYTES_MAX);

	assert_int_equal(add(assemble, ASSEMBLE_WINDOW - 1), ASSEMBLE_ACCEPTED);
	assert_int_equal(add(assemble, ASSEMBLE_WINDOW), ASSEMBLE_REJECTED);
	assert_int_equal(
		assemble_add(assemble, 1, large, ASSEMBLE_BYTES_MAX, NULL),
		ASSEMBLE_REJECTED);
	g_free(large);
	assemble_destroy(assemble);
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_order_is_reassembled),
		cmocka_unit_test(test_truncated_answer_is_incomplete),
		cmocka_unit_test(test_window_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
