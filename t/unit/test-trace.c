/* Parsing of traceparent headers, and the ring buffer of spans. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "trace/span.h"

#define VALID "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

static void test_traceparent_round_trip(void **state)
{
	traceparent_t parent;
	traceparent_t child;
	char text[TRACEPARENT_SIZE];

	assert_true(traceparent_parse(VALID, &parent));
	assert_int_equal(parent.flags, 1);
	traceparent_format(&parent, text);
	assert_string_equal(text, VALID);
	traceparent_child(&parent, &child);
	assert_string_equal(child.trace, parent.trace);
	assert_string_not_equal(child.span, parent.span);
	traceparent_create(&parent);
	assert_string_not_equal(child.trace, parent.trace);
	traceparent_format(&parent, text);
	assert_true(traceparent_parse(text, &child));
	assert_false(traceparent_parse(VALID "-more", &child));
	assert_true(traceparent_parse(
		"01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
		&child));
}

/* Malformed values, and a valid one with each character replaced in turn. */
static void test_malformed_rejected(void **state)
{
	static const char *const malformed[] = {
		"",
		"00",
		"ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
		"00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
		"01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
	};
	traceparent_t parsed;

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_false(traceparent_parse(malformed[i], &parsed));
	assert_false(traceparent_parse(NULL, &parsed));
	for (size_t i = 0; i < strlen(VALID); i++) {
		char *text = g_strdup(VALID);

		text[i] = 'g';
		assert_false(traceparent_parse(text, &parsed));
		g_free(text);
	}
}

static void test_spans_of_one_trace(void **state)
{
	spans_t *spans = spans_create(3, "hc-entry", "i1");
	span_t span = {.name = "run", .status = "ok", .start = 7};
	char *text;

	traceparent_parse(VALID, &span.self);
	for (int i = 0; i < 4; i++) {
		span.duration_us = 100 + i;
		span.parent = i ? "b7ad6b7169203331" : NULL;
		spans_add(spans, &span);
	}
	traceparent_create(&span.self);
	span.duration_us = 999;
	spans_add(spans, &span);
	text = spans_render(spans, "0af7651916cd43dd8448eb211c80319c");
	/* The buffer has three slots, so the two oldest spans were overwritten.
	 */
	assert_null(strstr(text, "\"duration_us\":101"));
	assert_null(strstr(text, "\"duration_us\":999"));
	assert_true(strstr(text, "\"duration_us\":102") <
		    strstr(text, "\"duration_us\":103"));
	assert_non_null(strstr(text, "\"program\":\"hc-entry\""));
	g_free(text);
	text = spans_render(spans, "");
	assert_string_equal(text, "{\"spans\":[]}");
	g_free(text);
	spans_destroy(spans);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_traceparent_round_trip),
		cmocka_unit_test(test_malformed_rejected),
		cmocka_unit_test(test_spans_of_one_trace),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
