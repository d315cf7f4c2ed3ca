/* Settings: values, defaults, the message of each error, and fuzzing. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "base/settings.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED   5

/* The size limit of settings_load(). */
#define NESTED_SIZE (256 * 1024)

typedef struct {
	char *name;
	int64_t port;
	double slack;
	gboolean is_on;
	char **peers;
} values_t;

static void init_table(values_t *values, setting_t table[6])
{
	memset(values, 0, sizeof(*values));
	table[0] = (setting_t){"name", SETTING_TEXT, &values->name, NULL, 0, 0};
	table[1] = (setting_t){"port", SETTING_INT, &values->port,
			       "8000", 1,	    65535};
	table[2] =
		(setting_t){"on", SETTING_BOOL, &values->is_on, "false", 0, 0};
	table[3] =
		(setting_t){"peers", SETTING_LIST, &values->peers, "[]", 0, 0};
	table[4] = (setting_t){"slack", SETTING_NUMBER, &values->slack, "10", 0,
			       1000};
	table[5] = (setting_t){NULL, SETTING_TEXT, NULL, NULL, 0, 0};
}

static void release(values_t *values)
{
	g_free(values->name);
	g_strfreev(values->peers);
}

static gboolean parse(values_t *values, const char *text, gssize size,
		      GError **error)
{
	setting_t table[6];

	init_table(values, table);
	return settings_parse("file", text, size, table, error);
}

static void test_values_and_defaults(void **state)
{
	static const char text[] =
		"/* a // comment */ {\"name\": \"i1\", // one\n"
		"\"peers\": [\"//a\", \"b\"]} // end";
	values_t values;

	assert_true(parse(&values, text, -1, NULL));
	assert_string_equal(values.name, "i1");
	assert_int_equal(values.port, 8000);
	assert_false(values.is_on);
	assert_string_equal(values.peers[0], "//a");
	assert_string_equal(values.peers[1], "b");
	assert_null(values.peers[2]);
	release(&values);
}

/* The platform gives some figures as whole numbers or as fractions. */
static void test_number_with_fraction(void **state)
{
	values_t values;

	assert_true(
		parse(&values, "{\"name\": \"a\", \"slack\": 19.2}", -1, NULL));
	assert_true(values.slack == 19.2);
	release(&values);
	assert_true(
		parse(&values, "{\"name\": \"a\", \"slack\": 56}", -1, NULL));
	assert_true(values.slack == 56);
	release(&values);
	assert_true(parse(&values, "{\"name\": \"a\"}", -1, NULL));
	assert_true(values.slack == 10);
	release(&values);
}

static const struct {
	const char *text;
	const char *hint;
} faults[] = {
	{"{\"name\": \"a\", \"prot\": 1}", "did you mean 'port'"},
	{"{}", "'name' is missing"},
	{"{\"name\": 4}", "must be a string"},
	{"{\"name\": \"a\", \"port\": \"x\"}", "must be a whole number"},
	{"{\"name\": \"a\", \"port\": 0}", "from 1 to 65535"},
	{"{\"name\": \"a\", \"port\": 8000.5}", "must be a whole number"},
	{"{\"name\": \"a\", \"slack\": \"5\"}", "'slack' must be a number"},
	{"{\"name\": \"a\", \"slack\": 1000.5}",
	 "is 1000.5; give a value from 0"},
	{"{\"name\": \"a\", \"on\": 1}", "must be true or false"},
	{"{\"name\": \"a\", \"peers\": [1]}", "must be a list of strings"},
	{"[]", "one JSON object"},
	{"{\"name\": ", "correct the JSON"},
	{"", "one JSON object"},
	{"{\"name\": \"\xff\"}", "UTF-8"},
};

static void test_error_messages(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		GError *error = NULL;
		values_t values;

		assert_false(parse(&values, faults[i].text, -1, &error));
		assert_int_equal(error_kind(error), ERROR_INVALID);
		if (!strstr(error->message, faults[i].hint))
			fail_msg("%s lacks %s", error->message, faults[i].hint);
		g_error_free(error);
		release(&values);
	}
}

static void test_deep_nesting_rejected(void **state)
{
	char *text = g_strnfill(NESTED_SIZE, '[');
	GError *error = NULL;
	values_t values;

	text[NESTED_SIZE / 2] = '\n';
	assert_false(parse(&values, text, -1, &error));
	assert_non_null(strstr(error->message, "file: line 1: brackets nest"));
	g_error_free(error);
	release(&values);
	g_free(text);
}

/* Settings with random byte changes are accepted or rejected, without a crash.
 */
static void test_fuzz(void **state)
{
	static const char valid[] =
		"{\"name\": \"i1\", \"port\": 12, \"on\": true, "
		"\"peers\": [\"a\", \"b\"]} /* end */ // end";
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	int rejected = 0;
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		char text[sizeof(valid)];
		GError *error = NULL;
		values_t values;
		int changes = g_rand_int_range(rand, 1, 4);

		memcpy(text, valid, sizeof(valid));
		while (changes--)
			text[g_rand_int_range(rand, 0, sizeof(valid) - 1)] =
				(char)g_rand_int_range(rand, 1, 256);
		if (!parse(&values, text, -1, &error)) {
			assert_int_equal(error_kind(error), ERROR_INVALID);
			rejected++;
		}
		g_clear_error(&error);
		release(&values);
	}
	assert_in_range(rejected, 1, FUZZ_ROUNDS - 1);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_values_and_defaults),
		cmocka_unit_test(test_number_with_fraction),
		cmocka_unit_test(test_error_messages),
		cmocka_unit_test(test_deep_nesting_rejected),
		cmocka_unit_test(test_fuzz),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
