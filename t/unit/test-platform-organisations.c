/*
 * Tests of the organisations on the platform's wire: in the configuration, and
 * in the headers of requests.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "platform/decode.h"
#include "platform/headers.h"

#define KEYS_MANY 10000

static const char config[] =
	"{\"version\":4,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/open/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"one\","
	"\"public\":true},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"one\"}],"
	"\"services\":[{\"name\":\"one\",\"maxConns\":110}],"
	"\"tenants\":["
	"{\"name\":\"hule930\",\"apiKeys\":[\"asnmgkcuyj8pjbvk9m68\","
	"\"k7b2ex5wa5xwyhks8nbk\"],\"priority\":1,\"unit\":\"tokens\","
	"\"plainTokens\":200,\"ratePerS\":429972,\"burst\":429972.5},"
	"{\"name\":\"ofvu\",\"apiKeys\":[\"pw3e9hdttt2m6xykzk4c\"]}]}";

static void test_organisations(void **state)
{
	route_table_t *table =
		decode_configuration(config, strlen(config), NULL);
	const organisations_t *organisations;
	const organisation_t *first;
	const organisation_t *second;

	assert_non_null(table);
	assert_true(route_table_find(table, "a.example", "/open/x")->is_public);
	assert_false(route_table_find(table, "a.example", "/x")->is_public);
	organisations = route_table_organisations(table);
	first = organisations_find_key(organisations, "k7b2ex5wa5xwyhks8nbk");
	assert_string_equal(first->name, "hule930");
	assert_int_equal(first->priority, 1);
	assert_true(first->is_in_tokens);
	assert_int_equal(first->plain_tokens, 200);
	assert_float_equal(first->rate, 429972, 0);
	assert_float_equal(first->burst, 429972.5, 0);
	second = organisations_find_key(organisations, "pw3e9hdttt2m6xykzk4c");
	assert_ptr_equal(second, organisations_find(organisations, "ofvu"));
	assert_int_equal(second->priority, -1);
	assert_false(second->is_in_tokens);
	assert_float_equal(second->rate, 0, 0);
	route_table_unref(table);
}

/* Decodes the configuration with the first of a text replaced. */
static route_table_t *decode_replaced(const char *from, const char *to,
				      GError **error)
{
	GString *text = g_string_new(config);
	route_table_t *table;

	assert_int_equal(g_string_replace(text, from, to, 1), 1);
	table = decode_configuration(text->str, text->len, error);
	g_string_free(text, TRUE);
	return table;
}

/*
 * A document that is refused for no reason, or that turns authentication off by
 * an empty list.
 */
static void test_odd_but_valid(void **state)
{
	static const char *const cases[][2] = {
		{"[\"pw3e9hdttt2m6xykzk4c\"]", "[]"},
		{"\"priority\":1", "\"priority\":0"},
		{"\"priority\":1", "\"priority\":9"},
		{"\"ratePerS\":429972", "\"ratePerS\":0"},
		{"\"plainTokens\":200", "\"plainTokens\":0"},
		{"\"unit\":\"tokens\"", "\"unit\":\"requests\""},
		{"\"unit\":\"tokens\",", ""},
		{"\"name\":\"ofvu\"", "\"new\":[1],\"name\":\"of vu\""},
		{"asnmgkcuyj8pjbvk9m68", "pw3e9hdttt2m6xykzk4"},
		/* A backslash and digits. */
		{"asnmgkcuyj8pjbvk9m68", "a\\\\u0000"},
	};
	route_table_t *table;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		table = decode_replaced(cases[i][0], cases[i][1], NULL);
		assert_non_null(table);
		route_table_unref(table);
	}
	table = decode_replaced("\"tenants\":[", "\"tenants\":[],\"x\":[",
				NULL);
	assert_non_null(route_table_organisations(table));
	route_table_unref(table);
	table = decode_replaced("asnmgkcuyj8pjbvk9m68", "a\\\\u0000", NULL);
	assert_non_null(organisations_find_key(route_table_organisations(table),
					       "a\\u0000"));
	route_table_unref(table);
	table = decode_replaced("\"tenants\":[", "\"x\":[", NULL);
	assert_null(route_table_organisations(table));
	route_table_unref(table);
}

typedef struct {
	const char *from;
	const char *to;
	const char *field;
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{"\"tenants\":[", "\"tenants\":null,\"x\":[", "'tenants'"},
	{"\"tenants\":[", "\"tenants\":{},\"x\":[", "'tenants'"},
	{"\"tenants\":[", "\"tenants\":[7,", "tenants[0]"},
	{"\"name\":\"ofvu\",", "", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":\"\"", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":7", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":\"hule930\"", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":\"o\\r\\nx: 1\"", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":\"o\\u0000\"", "tenants[1].name"},
	{"\"name\":\"ofvu\"", "\"name\":\"\xc3\xa4\"", "tenants[1].name"},
	{"\"apiKeys\":[\"pw3", "\"keys\":[\"pw3", "tenants[1].apiKeys"},
	{"[\"pw3e9hdttt2m6xykzk4c\"]", "\"pw3e9hdttt2m6xykzk4c\"",
	 "tenants[1].apiKeys"},
	{"[\"pw3e9hdttt2m6xykzk4c\"]", "null", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "\"\"", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "7", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "null", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "\"pw3e9\\n\"", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "\"pw3e9\\u0000x\"", "tenants[1].apiKeys"},
	{"\"pw3e9hdttt2m6xykzk4c\"", "\"pw3e9\xc3\xa4\"", "tenants[1].apiKeys"},
	/* A key of the same organisation, and of another one. */
	{"k7b2ex5wa5xwyhks8nbk", "asnmgkcuyj8pjbvk9m68", "tenants[0].apiKeys"},
	{"pw3e9hdttt2m6xykzk4c", "asnmgkcuyj8pjbvk9m68", "tenants[1].apiKeys"},
	{"\"priority\":1", "\"priority\":-1", "priority"},
	{"\"priority\":1", "\"priority\":10", "priority"},
	{"\"priority\":1", "\"priority\":\"1\"", "priority"},
	{"\"priority\":1", "\"priority\":1.5", "priority"},
	{"\"unit\":\"tokens\"", "\"unit\":\"bytes\"", "unit"},
	{"\"unit\":\"tokens\"", "\"unit\":\"\"", "unit"},
	{"\"unit\":\"tokens\"", "\"unit\":7", "unit"},
	{"\"plainTokens\":200", "\"plainTokens\":-1", "plainTokens"},
	{"\"plainTokens\":200", "\"plainTokens\":\"200\"", "plainTokens"},
	{"\"ratePerS\":429972", "\"ratePerS\":-0.1", "ratePerS"},
	{"\"ratePerS\":429972", "\"ratePerS\":\"429972\"", "ratePerS"},
	{"\"ratePerS\":429972", "\"ratePerS\":1e400", "ratePerS"},
	{"\"ratePerS\":429972", "\"ratePerS\":null", "ratePerS"},
	{"\"burst\":429972.5", "\"burst\":-1", "burst"},
	{"\"burst\":429972.5", "\"burst\":[]", "burst"},
};

/* One bad entry refuses the document; the error has no key in it. */
static void test_bad_organisations(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const bad_case_t *bad = &bad_cases[i];
		GError *error = NULL;

		print_message("%s\n", bad->to);
		assert_null(decode_replaced(bad->from, bad->to, &error));
		assert_int_equal(error_kind(error), ERROR_INVALID);
		assert_non_null(strstr(error->message, bad->field));
		assert_null(strstr(error->message, "asnm"));
		assert_null(strstr(error->message, "pw3e"));
		g_error_free(error);
	}
}

static void test_long_keys(void **state)
{
	char *longest = g_strnfill(ORGANISATION_KEY_BYTES, 'k');
	char *too_long = g_strnfill(ORGANISATION_KEY_BYTES + 1, 'k');
	route_table_t *table =
		decode_replaced("pw3e9hdttt2m6xykzk4c", longest, NULL);
	GError *error = NULL;

	assert_non_null(table);
	route_table_unref(table);
	assert_null(decode_replaced("pw3e9hdttt2m6xykzk4c", too_long, &error));
	assert_non_null(strstr(error->message, "apiKeys"));
	assert_null(strstr(error->message, "kkk"));
	g_error_free(error);
	g_free(longest);
	g_free(too_long);
}

/* A document with 10,000 keys; the last one is a duplicate if is_bad. */
static route_table_t *decode_many(gboolean is_bad, GError **error)
{
	GString *keys = g_string_new(NULL);
	route_table_t *table;
	int i;

	for (i = 0; i < KEYS_MANY; i++)
		g_string_append_printf(keys, "\"key-%05d\",", i);
	g_string_append(keys, is_bad ? "\"key-00000\"" : "\"last\"");
	table = decode_replaced("\"pw3e9hdttt2m6xykzk4c\"", keys->str, error);
	g_string_free(keys, TRUE);
	return table;
}

static void test_many_keys(void **state)
{
	route_table_t *table = decode_many(FALSE, NULL);
	const organisations_t *organisations = route_table_organisations(table);
	const organisation_t *owner = organisations_find(organisations, "ofvu");
	GError *error = NULL;

	assert_ptr_equal(organisations_find_key(organisations, "key-00000"),
			 owner);
	assert_ptr_equal(organisations_find_key(organisations, "key-09999"),
			 owner);
	assert_null(organisations_find_key(organisations, "key-10000"));
	route_table_unref(table);
	assert_null(decode_many(TRUE, &error));
	assert_non_null(strstr(error->message, "tenants[1].apiKeys"));
	g_error_free(error);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	*(const http1_head_t **)ctx = head;
}

static void on_data(void *ctx, const char *data, size_t size)
{
}

static void on_end(void *ctx)
{
}

static http1_reader_t *read_request(const char *headers,
				    const http1_head_t **head)
{
	static const http1_events_t events = {on_head, on_data, on_end};
	http1_reader_t *reader =
		http1_reader_create(HTTP1_REQUESTS, 0, &events, (void *)head);
	char *text = g_strconcat("GET / HTTP/1.1\r\nHost: h\r\n", headers,
				 "\r\n", NULL);

	*head = NULL;
	http1_reader_feed(reader, text, strlen(text), NULL);
	assert_non_null(*head);
	g_free(text);
	return reader;
}

/* A key that another reader of the request would read in another way. */
static void test_read_key(void **state)
{
	static const struct {
		const char *headers;
		api_key_state_t state;
		const char *key;
	} cases[] = {
		{"", API_KEY_ABSENT, NULL},
		{"X-Authorization: Token k\r\n", API_KEY_ABSENT, NULL},
		{"Authorization: Token k1\r\n", API_KEY_STATED, "k1"},
		{"authorization: TOKEN   k1\r\n", API_KEY_STATED, "k1"},
		{"Authorization: Token k1 \t\r\n", API_KEY_STATED, "k1"},
		{"Authorization: Token k 1\r\n", API_KEY_STATED, "k 1"},
		{"Authorization: Token\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: Token \r\n", API_KEY_MALFORMED, NULL},
		{"Authorization:\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: Tokenk1\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: k1\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: Bearer k1\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: Basic azE6\r\n", API_KEY_MALFORMED, NULL},
		{"Authorization: Token k1\r\nAuthorization: Token k1\r\n",
		 API_KEY_MALFORMED, NULL},
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const http1_head_t *head;
		http1_reader_t *reader = read_request(cases[i].headers, &head);
		char *key = NULL;

		assert_int_equal(headers_read_key(head, &key), cases[i].state);
		if (cases[i].key)
			assert_string_equal(key, cases[i].key);
		else
			assert_null(key);
		g_free(key);
		http1_reader_destroy(reader);
	}
}

static char *render(const char *headers, gboolean has_organisations,
		    const char *organisation)
{
	const http1_head_t *head;
	http1_reader_t *reader = read_request(headers, &head);
	GString *text = g_string_new(NULL);
	forward_fields_t fields = {.endpoint = "e1",
				   .address = "10.0.0.1:80",
				   .deadline = 900,
				   .priority = 2,
				   .has_organisations = has_organisations,
				   .organisation = organisation};

	headers_render_request(text, head, &fields, 0);
	http1_reader_destroy(reader);
	return g_string_free(text, FALSE);
}

#define RENDERED(more)                                                         \
	"GET / HTTP/1.1\r\nHost: h\r\n" more                                   \
	"x-hawthorncross-deadline-ms: 900\r\n"                                 \
	"x-hawthorncross-expect-instance: e1\r\n"                              \
	"x-hawthorncross-request-priority: 2\r\n"

/* A key, or a name that the caller chose, at an endpoint. */
static void test_render(void **state)
{
	static const char headers[] = "authorization: Token k1\r\n"
				      "X-HAWTHORNCROSS-TENANT: forged\r\n"
				      "Authorization: Token k2\r\n"
				      "X-Hawthorncross-Tenant: forged\r\n"
				      "Connection: X-Hawthorncross-Tenant\r\n"
				      "X-Kept: 1\r\n";
	char *text = render(headers, TRUE, "hule930");

	assert_string_equal(text,
			    RENDERED("X-Kept: 1\r\n") "x-hawthorncross-tenant: "
						      "hule930\r\n\r\n");
	g_free(text);
	text = render(headers, TRUE, NULL);
	assert_string_equal(text, RENDERED("X-Kept: 1\r\n") "\r\n");
	g_free(text);
	/* Without organisations both pass. */
	text = render("Authorization: Token k1\r\n"
		      "X-Hawthorncross-Tenant: own\r\n",
		      FALSE, NULL);
	assert_string_equal(text,
			    RENDERED("Authorization: Token k1\r\n"
				     "X-Hawthorncross-Tenant: own\r\n") "\r\n");
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_organisations),
		cmocka_unit_test(test_odd_but_valid),
		cmocka_unit_test(test_bad_organisations),
		cmocka_unit_test(test_long_keys),
		cmocka_unit_test(test_many_keys),
		cmocka_unit_test(test_read_key),
		cmocka_unit_test(test_render),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
