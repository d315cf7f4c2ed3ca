/* Key files: one, two, a missing one, a short key, and two equal keys. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "base/error.h"
#include "serve/membership_keys.h"

#define KEY	 "0123456789abcdef"
#define KEY_LINE KEY "\n"
#define OTHER	 "fedcba9876543210"

static char *write_key(const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("membership-key-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void remove_key(char *path)
{
	g_unlink(path);
	g_free(path);
}

static void expect_refused(const char *current, const char *previous,
			   const char *expected_text)
{
	GError *error = NULL;

	assert_null(membership_keys_load(current, previous, &error));
	assert_int_equal(error_kind(error), ERROR_INVALID);
	assert_non_null(strstr(error->message, expected_text));
	g_error_free(error);
}

/* A key with and without a trailing newline must have the same identifier. */
static void test_valid_files(void **state)
{
	char *line = write_key(KEY_LINE);
	char *bare = write_key(KEY);
	char *other = write_key(OTHER);
	channel_keys_t *one = membership_keys_load(bare, "", NULL);
	channel_keys_t *two = membership_keys_load(other, line, NULL);

	assert_non_null(one);
	assert_non_null(two);
	assert_false(channel_keys_has_previous(one));
	assert_true(channel_keys_has_previous(two));
	assert_string_equal(channel_keys_id(one, CHANNEL_KEY_CURRENT),
			    channel_keys_id(two, CHANNEL_KEY_PREVIOUS));
	channel_keys_destroy(one);
	channel_keys_destroy(two);
	remove_key(line);
	remove_key(bare);
	remove_key(other);
}

static void test_invalid_files(void **state)
{
	char *good = write_key(KEY);
	char *duplicate = write_key(KEY_LINE);
	char *too_short = write_key("0123456789abcde\n");

	expect_refused("/nowhere/key", "", "in membership_key_file");
	expect_refused(good, "/nowhere/key", "in previous_membership_key_file");
	expect_refused(too_short, "", "at least 16 characters");
	expect_refused(good, too_short, "at least 16 characters");
	expect_refused(good, duplicate,
		       "leave out previous_membership_key_file");
	remove_key(good);
	remove_key(duplicate);
	remove_key(too_short);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_files),
		cmocka_unit_test(test_invalid_files),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
