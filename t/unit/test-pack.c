/* Compression of document parts sent to a peer. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "config/pack.h"

#define LINES  500
#define ROUNDS 2000
#define SEED   3

static GBytes *make_part(void)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < LINES; i++)
		g_string_append_printf(text, "\"adapter-%05d@1\",\n", i);
	return g_string_free_to_bytes(text);
}

static void test_round_trip(void **state)
{
	GBytes *part = make_part();
	GBytes *packed = pack(part);
	gsize size;
	const char *data = g_bytes_get_data(packed, &size);
	GBytes *again = unpack(data, size, g_bytes_get_size(part));

	assert_true(size < g_bytes_get_size(part) / 3);
	assert_true(pack_is_packed(data, size));
	assert_true(g_bytes_equal(part, again));
	/* The limit is one byte too small. */
	assert_null(unpack(data, size, g_bytes_get_size(part) - 1));
	g_bytes_unref(again);
	g_bytes_unref(packed);
	g_bytes_unref(part);
}

static void test_no_gain(void **state)
{
	GBytes *part = g_bytes_new_static("abc", 3);
	GBytes *empty = g_bytes_new_static("", 0);

	assert_null(pack(part));
	assert_null(pack(empty));
	assert_false(pack_is_packed("abc", 3));
	assert_false(pack_is_packed("", 0));
	g_bytes_unref(part);
	g_bytes_unref(empty);
}

/* Arbitrary bytes from a peer are rejected or stay within the size limit. */
static void test_malformed(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GBytes *part = make_part();
	GBytes *packed = pack(part);
	gsize size;
	const char *data = g_bytes_get_data(packed, &size);
	int refused = 0;
	int round;

	for (round = 0; round < ROUNDS; round++) {
		char *copy = g_memdup2(data, size);
		gsize left = (gsize)g_rand_int_range(rand, 1, (gint32)size + 1);
		GBytes *out;

		copy[g_rand_int_range(rand, 0, (gint32)size)] ^=
			(char)g_rand_int_range(rand, 1, 256);
		out = unpack(copy, left, g_bytes_get_size(part));
		refused += !out;
		g_bytes_unref(out);
		g_free(copy);
	}
	/* Changes to unused header bytes go undetected. */
	assert_true(refused > ROUNDS * 9 / 10);
	assert_null(unpack(data, 0, size));
	g_bytes_unref(packed);
	g_bytes_unref(part);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_no_gain),
		cmocka_unit_test(test_malformed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
