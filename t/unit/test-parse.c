/* Parsing of requests: valid requests, each kind of refusal, random bodies. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/parse.h"

#define FUZZ_ROUNDS  20000
#define FUZZ_SEED    11
#define DEEP_NESTING (1024 * 1024)

typedef struct {
	const char *name;
	const char *value;
} field_t;

static const char *header_find(void *ctx, const char *name)
{
	const field_t *field;

	for (field = ctx; field->name; field++) {
		if (!strcmp(field->name, name))
			return field->value;
	}
	return NULL;
}

static request_spec_t *parse(const char *method, const char *path,
			     field_t *headers, const char *body, size_t size,
			     GError **error)
{
	request_input_t input = {method, path,	      body,
				 size,	 header_find, headers};

	return request_parse(&input, error);
}

static void test_completion_parsed(void **state)
{
	field_t headers[] = {{"authorization", "Bearer t1"},
			     {"x-request-id", "r1"},
			     {"x-priority", "9"},
			     {"x-deadline-ms", "250"},
			     {NULL, NULL}};
	static const char body[] = "{\"model\":\"oak@3\",\"prompt\":\"hi\","
				   "\"stream\":true,\"max_tokens\":7}";
	request_spec_t *spec = parse("POST", "/v1/completions", headers, body,
				     strlen(body), NULL);

	assert_non_null(spec);
	assert_int_equal(spec->kind, REQUEST_COMPLETION);
	assert_string_equal(spec->token, "t1");
	assert_string_equal(spec->id, "r1");
	assert_string_equal(spec->adapter, "oak");
	assert_string_equal(spec->version, "3");
	assert_int_equal(spec->priority, 9);
	assert_int_equal(spec->deadline, 250);
	assert_int_equal(spec->tokens_max, 7);
	assert_true(spec->is_streamed);
	assert_true(spec->is_idempotent);
	request_spec_destroy(spec);
}

static void test_service_parsed(void **state)
{
	field_t headers[] = {{"authorization", "bearer t1"},
			     {"idempotency-key", "k1"},
			     {NULL, NULL}};
	request_spec_t *spec =
		parse("POST", "/desk/orders/4", headers, NULL, 0, NULL);

	assert_non_null(spec);
	assert_string_equal(spec->path, "/desk/orders/4");
	assert_false(spec->is_idempotent);
	request_spec_destroy(spec);
	spec = parse("GET", "/desk", headers, NULL, 0, NULL);
	assert_string_equal(spec->path, "/desk");
	assert_true(spec->is_idempotent);
	request_spec_destroy(spec);
}

static void test_service_target_kept_as_sent(void **state)
{
	field_t headers[] = {{"authorization", "bearer t1"},
			     {"content-type", "text/plain; charset=utf-8"},
			     {NULL, NULL}};
	request_spec_t *spec = parse("GET", "/d%65sk/a%2Fb?q=/../%20&r=?#",
				     headers, NULL, 0, NULL);

	assert_non_null(spec);
	assert_string_equal(spec->path, "/d%65sk/a%2Fb?q=/../%20&r=?#");
	assert_string_equal(spec->route, "/desk/a/b");
	assert_string_equal(spec->content_type, "text/plain; charset=utf-8");
	request_spec_destroy(spec);
}

static void test_prefix_hash_follows_model_and_prompt(void **state)
{
	field_t headers[] = {{"authorization", "Bearer t1"}, {NULL, NULL}};
	static const char *const bodies[] = {
		"{\"model\":\"a@1\",\"messages\":[{\"role\":\"user\","
		"\"content\":\"x\"}]}",
		"{\"model\":\"a@2\",\"messages\":[{\"role\":\"user\","
		"\"content\":\"x\"}]}",
		"{\"model\":\"a@1\",\"messages\":[{\"role\":\"user\","
		"\"content\":\"y\"}]}",
	};
	uint64_t hash[3];

	for (int i = 0; i < 3; i++) {
		request_spec_t *spec =
			parse("POST", "/v1/chat/completions", headers,
			      bodies[i], strlen(bodies[i]), NULL);

		assert_non_null(spec);
		hash[i] = spec->prefix_hash;
		request_spec_destroy(spec);
	}
	assert_true(hash[0] != hash[1]);
	assert_true(hash[0] != hash[2]);
}

typedef struct {
	const char *method;
	const char *path;
	field_t header;
	const char *body;
	error_kind_t kind;
	const char *hint; /* must be contained in the message */
} refusal_t;

#define GOOD "{\"model\":\"a@1\",\"prompt\":\"p\"}"
#define COMP "/v1/completions"
#define CHAT "/v1/chat/completions"

static const refusal_t refusals[] = {
	{"POST",
	 COMP,
	 {"authorization", ""},
	 GOOD,
	 ERROR_UNAUTHENTICATED,
	 "Authorization: Bearer"},
	{"POST",
	 COMP,
	 {"authorization", "Basic x"},
	 GOOD,
	 ERROR_UNAUTHENTICATED,
	 "Authorization: Bearer"},
	{"POST", "/v1", {0}, GOOD, ERROR_INVALID, "Idempotency-Key"},
	{"POST", "/v1/x", {0}, GOOD, ERROR_NOT_FOUND, "use /v1/completions"},
	{"GET", COMP, {0}, GOOD, ERROR_INVALID, "use POST"},
	{"POST", "/v1/other", {0}, "", ERROR_NOT_FOUND, "path of a service"},
	{"BREW", "/a", {0}, "", ERROR_INVALID, "use GET"},
	{"POST", "/a", {0}, "", ERROR_INVALID, "Idempotency-Key"},
	{"GET", "/a/../b", {0}, "", ERROR_INVALID, "leave out the segment"},
	{"GET", "/a/%2e%2E/b", {0}, "", ERROR_INVALID, "leave out the segment"},
	{"GET", "/a/..%2fb?c", {0}, "", ERROR_INVALID, "leave out the segment"},
	{"GET", "/a/%zz", {0}, "", ERROR_INVALID, "encode it anew"},
	{"GET", "/a/%00", {0}, "", ERROR_INVALID, "encode it anew"},
	{"GET", "/a?b c", {0}, "", ERROR_INVALID, "shorten or encode"},
	{"GET",
	 "/a",
	 {"content-type", "a\tb"},
	 "",
	 ERROR_INVALID,
	 "content-type"},
	{"POST",
	 COMP,
	 {"x-non-idempotent", "true"},
	 GOOD,
	 ERROR_INVALID,
	 "Idempotency-Key"},
	{"POST",
	 COMP,
	 {"x-non-idempotent", "maybe"},
	 GOOD,
	 ERROR_INVALID,
	 "x-non-idempotent"},
	{"POST", COMP, {"x-priority", "10"}, GOOD, ERROR_INVALID, "x-priority"},
	{"POST",
	 COMP,
	 {"x-deadline-ms", "0"},
	 GOOD,
	 ERROR_INVALID,
	 "x-deadline-ms"},
	{"POST",
	 COMP,
	 {"x-request-id", "a b"},
	 GOOD,
	 ERROR_INVALID,
	 "x-request-id"},
	{"POST",
	 COMP,
	 {"idempotency-key", ""},
	 GOOD,
	 ERROR_INVALID,
	 "idempotency-key"},
	{"POST", COMP, {0}, "", ERROR_INVALID, "JSON"},
	{"POST", COMP, {0}, "[]", ERROR_INVALID, "object"},
	{"POST", COMP, {0}, "{", ERROR_INVALID, "not JSON"},
	{"POST", COMP, {0}, "{/* \" */}", ERROR_INVALID, "plain JSON"},
	{"POST", COMP, {0}, "{\"prompt\":\"\xff\"}", ERROR_INVALID, "UTF-8"},
	{"POST", COMP, {0}, "{\"model\":\"a\"}", ERROR_INVALID, "name@version"},
	{"POST",
	 COMP,
	 {0},
	 "{\"model\":\"a@1@2\"}",
	 ERROR_INVALID,
	 "name@version"},
	{"POST", COMP, {0}, "{\"model\":7}", ERROR_INVALID, "name@version"},
	{"POST", COMP, {0}, "{\"model\":\"a@1\"}", ERROR_INVALID, "prompt"},
	{"POST",
	 COMP,
	 {0},
	 "{\"model\":\"a@1\",\"stream\":1}",
	 ERROR_INVALID,
	 "stream"},
	{"POST",
	 COMP,
	 {0},
	 "{\"model\":\"a@1\",\"max_tokens\":0}",
	 ERROR_INVALID,
	 "max_tokens"},
	{"POST",
	 CHAT,
	 {0},
	 "{\"model\":\"a@1\",\"messages\":[7]}",
	 ERROR_INVALID,
	 "messages"},
	{"POST",
	 CHAT,
	 {0},
	 "{\"model\":\"a@1\",\"messages\":[]}",
	 ERROR_INVALID,
	 "messages"},
};

static void test_refusals(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const refusal_t *refusal = &refusals[i];
		field_t headers[] = {refusal->header,
				     {"authorization", "Bearer t1"},
				     {NULL, NULL}};
		field_t *fields = refusal->header.name ? headers : headers + 1;
		GError *error = NULL;

		assert_null(parse(refusal->method, refusal->path, fields,
				  refusal->body, strlen(refusal->body),
				  &error));
		assert_non_null(error);
		assert_int_equal(error_kind(error), refusal->kind);
		if (!strstr(error->message, refusal->hint))
			fail_msg("%s lacks %s", error->message, refusal->hint);
		g_clear_error(&error);
	}
}

static void check_body_refused(const char *body, size_t size, error_kind_t kind)
{
	field_t headers[] = {{"authorization", "Bearer t1"}, {NULL, NULL}};
	GError *error = NULL;

	assert_null(parse("POST", COMP, headers, body, size, &error));
	assert_int_equal(error_kind(error), kind);
	g_clear_error(&error);
}

static void test_oversized_and_deep_refused(void **state)
{
	char *body = g_malloc(REQUEST_BODY_MAX + 1);

	memset(body, '[', REQUEST_BODY_MAX + 1);
	check_body_refused(body, REQUEST_BODY_MAX + 1, ERROR_TOO_LARGE);
	check_body_refused(body, DEEP_NESTING, ERROR_INVALID);
	g_free(body);
}

static void test_random_bodies_never_crash(void **state)
{
	static const char *const parts[] = {
		"{",	 "}",	  "[",	     "]",	   ":",	   ",",
		"\"",	 "model", "\"a@1\"", "\"prompt\"", "1",	   "null",
		"\"p\"", "\\u",	  "\xc3",    "\"stream\"", "true", "messages"};
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	field_t headers[] = {{"authorization", "Bearer t1"}, {NULL, NULL}};

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		GString *body = g_string_new(round % 2 ? GOOD : "");
		gint32 count = g_rand_int_range(rand, 0, 20);
		GError *error = NULL;
		request_spec_t *spec;

		if (body->len)
			body->str[g_rand_int_range(rand, 0,
						   (gint32)body->len)] =
				(char)g_rand_int_range(rand, 0, 256);
		for (gint32 i = 0; i < count && round % 2 == 0; i++)
			g_string_append(body,
					parts[g_rand_int_range(
						rand, 0, G_N_ELEMENTS(parts))]);
		spec = parse("POST", round % 3 ? COMP : CHAT, headers,
			     body->str, body->len, &error);
		assert_true((spec == NULL) == (error != NULL));
		request_spec_destroy(spec);
		g_clear_error(&error);
		g_string_free(body, TRUE);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_completion_parsed),
		cmocka_unit_test(test_service_parsed),
		cmocka_unit_test(test_service_target_kept_as_sent),
		cmocka_unit_test(test_prefix_hash_follows_model_and_prompt),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_oversized_and_deep_refused),
		cmocka_unit_test(test_random_bodies_never_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
