/*
 * The organisations of a configuration, their keys, and their counters.  Each
 * comment names the failure that a test guards against.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "base/counter.h"
#include "front/organisation_counts.h"
#include "route/organisations.h"
#include "route/route_table.h"

#define KEYS_MANY 10000
#define KEYS_FEW  10

/* Look-ups of one measurement, and measurements of which the least counts. */
#define LOOKUPS	     20000
#define MEASUREMENTS 5

/* A search through the list would take 1,000 times as long. */
#define SLOWDOWN_MAX 4

static const char name_of_key[] = "%s-key-%d";

static char *make_key(const char *of, int number)
{
	return g_strdup_printf(name_of_key, of, number);
}

static organisations_t *create_with_keys(int count)
{
	organisations_t *organisations = organisations_create();
	organisation_t *even = organisations_add(organisations, "even");
	organisation_t *odd = organisations_add(organisations, "odd");
	int i;

	for (i = 0; i < count; i++) {
		char *key = make_key("a", i);

		assert_true(organisations_add_key(organisations,
						  i % 2 ? odd : even, key));
		g_free(key);
	}
	return organisations;
}

static void test_find(void **state)
{
	organisations_t *organisations = create_with_keys(4);
	const organisation_t *even = organisations_find(organisations, "even");
	const organisation_t *odd = organisations_find(organisations, "odd");

	assert_string_equal(even->name, "even");
	assert_int_equal(even->priority, -1);
	assert_float_equal(even->rate, 0, 0);
	assert_ptr_equal(organisations_find_key(organisations, "a-key-2"),
			 even);
	assert_ptr_equal(organisations_find_key(organisations, "a-key-3"), odd);
	assert_null(organisations_find(organisations, "Even"));
	assert_null(organisations_find(organisations, ""));
	organisations_destroy(organisations);
}

/* A key that is nearly right is not let in. */
static void test_unknown_keys(void **state)
{
	static const char *const keys[] = {
		"",	    "a-key-",	"a-key-4",   "a-key-33", "A-KEY-3",
		" a-key-3", "a-key-3 ", "a-key-3\n", "even",	 "odd",
	};
	organisations_t *organisations = create_with_keys(4);
	char *longest = g_strnfill(16 * 1024, 'k');
	guint i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		assert_null(organisations_find_key(organisations, keys[i]));
	assert_null(organisations_find_key(organisations, longest));
	g_free(longest);
	organisations_destroy(organisations);
}

static void test_bad_names(void **state)
{
	static const char *const names[] = {"",	    "odd",	"a\r\nx: 1",
					    "a\tb", "\xc3\xa4", "\x7f"};
	organisations_t *organisations = create_with_keys(0);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		assert_null(organisations_add(organisations, names[i]));
	assert_non_null(organisations_add(organisations, "a b \"c\""));
	organisations_destroy(organisations);
}

static void test_bad_keys(void **state)
{
	static const char *const keys[] = {
		"", "a-key-0", "a-key-1", "a\nb", "a\tb", "\xc3\xa4", "\x7f"};
	organisations_t *organisations = create_with_keys(2);
	organisation_t *more = organisations_add(organisations, "more");
	char *longest = g_strnfill(ORGANISATION_KEY_BYTES, 'k');
	char *too_long = g_strnfill(ORGANISATION_KEY_BYTES + 1, 'k');
	guint i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		assert_false(
			organisations_add_key(organisations, more, keys[i]));
	assert_false(organisations_add_key(organisations, more, too_long));
	assert_null(organisations_find_key(organisations, too_long));
	assert_true(organisations_add_key(organisations, more, longest));
	assert_ptr_equal(organisations_find_key(organisations, longest), more);
	g_free(longest);
	g_free(too_long);
	organisations_destroy(organisations);
}

static void append_name(void *ctx, const organisation_t *organisation)
{
	g_string_append_printf(ctx, "%s ", organisation->name);
}

static void test_foreach(void **state)
{
	organisations_t *organisations = create_with_keys(0);
	GString *names = g_string_new(NULL);

	organisations_add(organisations, "also");
	organisations_foreach(organisations, append_name, names);
	assert_string_equal(names->str, "even odd also ");
	g_string_free(names, TRUE);
	organisations_destroy(organisations);
}

/* All of 10,000 keys are found, and none other. */
static void test_many_keys(void **state)
{
	organisations_t *organisations = create_with_keys(KEYS_MANY);
	const organisation_t *even = organisations_find(organisations, "even");
	const organisation_t *odd = organisations_find(organisations, "odd");
	int i;

	for (i = 0; i < KEYS_MANY; i++) {
		char *known = make_key("a", i);
		char *unknown = make_key("b", i);

		assert_ptr_equal(organisations_find_key(organisations, known),
				 i % 2 ? odd : even);
		assert_null(organisations_find_key(organisations, unknown));
		g_free(known);
		g_free(unknown);
	}
	organisations_destroy(organisations);
}

/* Processor time of look-ups of known and unknown keys. */
static clock_t time_lookups(const organisations_t *organisations, int keys)
{
	clock_t least = 0;
	int round;
	int i;

	for (round = 0; round < MEASUREMENTS; round++) {
		clock_t began = clock();
		clock_t took;

		for (i = 0; i < LOOKUPS; i++) {
			char *key = make_key(i % 3 ? "a" : "b", i % keys);

			organisations_find_key(organisations, key);
			g_free(key);
		}
		took = clock() - began;
		least = round ? MIN(least, took) : took;
	}
	return least;
}

/* A look-up whose time grows with the number of keys. */
static void test_cost_of_many_keys(void **state)
{
	organisations_t *few = create_with_keys(KEYS_FEW);
	organisations_t *many = create_with_keys(KEYS_MANY);
	clock_t with_few = time_lookups(few, KEYS_FEW);
	clock_t with_many = time_lookups(many, KEYS_MANY);

	print_message("%d look-ups: %ld us with %d keys, %ld us with %d\n",
		      LOOKUPS, (long)with_few, KEYS_FEW, (long)with_many,
		      KEYS_MANY);
	assert_true(with_many <= with_few * SLOWDOWN_MAX);
	organisations_destroy(few);
	organisations_destroy(many);
}

/*
 * The organisation of a request in flight ends with the last reference to its
 * table, not with the next version.
 */
static void test_table_owns(void **state)
{
	route_table_t *table = route_table_create(1);
	const organisations_t *organisations;

	assert_null(route_table_organisations(table));
	route_table_set_organisations(table, create_with_keys(1));
	route_table_ref(table);
	route_table_unref(table);
	organisations = route_table_organisations(table);
	assert_non_null(organisations_find_key(organisations, "a-key-0"));
	route_table_unref(table);
}

static int64_t count_of(const char *metric, const char *label)
{
	char *name = g_strdup_printf("hc_organisation_%s_total{organisation="
				     "\"%s\"}",
				     metric, label);
	int64_t value = counter_value(counter_get(name));

	g_free(name);
	return value;
}

/* Labels without bound; a name that breaks the lines of the metrics. */
static void test_counts(void **state)
{
	organisation_counts_t *counts = organisation_counts_create();
	char *text;
	int i;

	organisation_counts_add_request(counts, "a\"b\\c");
	for (i = 0; i < ORGANISATION_LABELS_MAX + 8; i++) {
		char *name = g_strdup_printf("o%d", i);

		organisation_counts_add_request(counts, name);
		organisation_counts_add_request(counts, name);
		organisation_counts_add_refusal(counts, name);
		g_free(name);
	}
	assert_int_equal(count_of("requests", "a\\\"b\\\\c"), 1);
	assert_int_equal(count_of("refused", "a\\\"b\\\\c"), 0);
	assert_int_equal(count_of("requests", "o0"), 2);
	assert_int_equal(count_of("refused", "o0"), 1);
	assert_int_equal(count_of("requests", "o30"), 2);
	/* o31 to o39 */
	assert_int_equal(count_of("requests", "other"), 18);
	assert_int_equal(count_of("refused", "other"), 9);
	text = counter_render();
	assert_null(strstr(text, "\"o31\""));
	assert_null(strstr(text, "\"o39\""));
	g_free(text);
	organisation_counts_destroy(counts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_find),
		cmocka_unit_test(test_unknown_keys),
		cmocka_unit_test(test_bad_names),
		cmocka_unit_test(test_bad_keys),
		cmocka_unit_test(test_foreach),
		cmocka_unit_test(test_many_keys),
		cmocka_unit_test(test_cost_of_many_keys),
		cmocka_unit_test(test_table_owns),
		cmocka_unit_test(test_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
