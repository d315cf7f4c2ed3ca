/* Document parser: examples, lookups, reporting of all faults, random edits. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "config/document.h"
#include "config/validate.h"

#define FUZZ_ROUNDS 4000
#define FUZZ_SEED   11

static char *load_example(const char *path, size_t *size)
{
	char *text = NULL;

	assert_true(g_file_get_contents(path, &text, size, NULL));
	return text;
}

static document_t *parse_example(const char *path)
{
	size_t size;
	char *text = load_example(path, &size);
	GError *error = NULL;
	document_t *document = document_parse(text, size, 7, &error);

	if (error)
		print_message("%s\n", error->message);
	assert_non_null(document);
	g_free(text);
	return document;
}

static void test_examples(void **state)
{
	document_t *document = parse_example("etc/kapok.json");
	const document_service_t *service;
	size_t count;

	assert_int_equal(document_adapter_count(document), 3100);
	document_endpoints(document, &count);
	assert_int_equal(count, 12);
	service = document_find_service(document, "fibre-assist");
	assert_int_equal(service->endpoint_count, 9);
	assert_ptr_equal(service->endpoints[0]->service, service);
	assert_true(service->loads_per_second == 2.5);
	assert_true(document_batch_weight(document) == 0.7);
	assert_int_equal(document_generation(document), 7);
	document_unref(document);
	document_unref(parse_example("etc/tuul.json"));
}

static void test_lookups(void **state)
{
	document_t *document = parse_example("etc/kapok.json");
	const document_caller_t *clerk =
		document_find_caller(document, "example-mill-clerks");
	const document_caller_t *buyer =
		document_find_caller(document, "example-procurement");
	const document_adapter_t *fibre =
		document_find_adapter(document, "fibre-0101", "1");
	const document_adapter_t *supplier =
		document_find_adapter_id(document, "supplier-007@2");

	assert_string_equal(clerk->name, "mill-clerks");
	assert_int_equal(clerk->priority, 5);
	assert_null(document_find_caller(document, "example"));
	assert_null(document_find_adapter(document, "fibre-0101", "2"));
	assert_string_equal(fibre->base_model, "fibre-base");
	assert_string_equal(document_adapter_service(document, fibre)->name,
			    "fibre-assist");
	assert_true(document_allows(clerk, fibre));
	assert_false(document_allows(clerk, supplier));
	assert_false(document_allows(buyer, fibre));
	assert_true(document_allows(buyer, supplier));
	assert_true(document_allows_service(
		clerk, document_service_by_path(document, "/order-desk/new")));
	assert_null(document_service_by_path(document, "/order"));
	assert_int_equal(
		document_find_operator(document, "example-audit")->role,
		ROLE_VIEWER);
	assert_null(document_find_operator(document, "example-mill-clerks"));
	document_unref(document);
}

static gboolean has_fault(const faults_t *faults, const char *path,
			  const char *cause, const char *remedy)
{
	guint i;

	for (i = 0; i < faults->list->len; i++) {
		const fault_t *fault = g_ptr_array_index(faults->list, i);

		if (!strcmp(fault->path, path) && strstr(fault->cause, cause) &&
		    strstr(fault->remedy, remedy))
			return TRUE;
	}
	return FALSE;
}

/* Replace the first occurrence of a string. */
static void edit(GString *text, const char *from, const char *to)
{
	assert_int_equal(g_string_replace(text, from, to, 1), 1);
}

static void test_all_faults_at_once(void **state)
{
	size_t size;
	char *example = load_example("etc/kapok.json", &size);
	GString *text = g_string_new(example);
	faults_t *faults = faults_create();

	edit(text, "\"batch_weight\": 0.7", "\"batch_wieght\": 0.7");
	edit(text, "\"port\": 8000", "\"port\": 80000");
	edit(text, "10.1.2.11", "ten");
	edit(text, "\"id\": \"fibre-assist-4\"", "\"id\": \"fibre-assist-3\"");
	edit(text, "\"abbotsford\", \"chilliwack\"", "\"chilliwack\"");
	edit(text, "\"adapters\": [\"fibre-*\"]",
	     "\"adapters\": [\"fibre-1\"]");
	edit(text, "\"priority\": 4", "\"priority\": \"4\"");
	edit(text, "\"services\": [\"order-desk\"]",
	     "\"services\": [\"order-dask\"]");
	edit(text, "supplier-{001..100}", "supplier-{100..001}");
	edit(text, "\"editor\"", "\"viewer\"");
	assert_null(document_validate(text->str, text->len, 0, faults));
	assert_true(has_fault(faults, "batch_wieght", "unknown key",
			      "'batch_weight'"));
	assert_true(has_fault(faults, "batch_weight", "missing", "add"));
	assert_true(has_fault(faults, "endpoints[0].port", "range", "65535"));
	assert_true(has_fault(faults, "endpoints[1].address", "IP", "10."));
	assert_true(has_fault(faults, "endpoints[3].id", "twice", "one"));
	assert_true(has_fault(faults, "endpoints[0].failure_domain",
			      "'abbotsford'", "lists"));
	assert_true(has_fault(faults, "callers[0].adapters[0]", "'fibre-1'",
			      "pattern"));
	assert_true(has_fault(faults, "callers[0].services[0]", "'order-dask'",
			      "'order-desk'"));
	assert_true(has_fault(faults, "callers[1].priority", "type", "number"));
	assert_true(has_fault(faults, "base_models.fibre-base.adapters[1]",
			      "ends before", "write"));
	assert_true(has_fault(faults, "operators", "no operator", "editor"));
	faults_destroy(faults);
	g_string_free(text, TRUE);
	g_free(example);
}

static document_t *expect_accepted(const char *text)
{
	GError *error = NULL;
	document_t *document = document_parse(text, strlen(text), 1, &error);

	if (error)
		print_message("%s\n", error->message);
	assert_non_null(document);
	return document;
}

/* Returns the line number, from 1, of a part of the text. */
static int count_lines_to(const char *text, const char *part)
{
	const char *end = strstr(text, part);
	int line = 1;

	for (; text < end; text++)
		line += *text == '\n';
	return line;
}

static void expect_line(const char *text, int line, const char *cause)
{
	faults_t *faults = faults_create();
	const fault_t *fault;

	assert_null(document_validate(text, strlen(text), 0, faults));
	fault = g_ptr_array_index(faults->list, 0);
	assert_int_equal(fault->line, line);
	assert_non_null(strstr(fault->cause, cause));
	faults_destroy(faults);
}

static void expect_fault(const char *text, const char *path, const char *cause)
{
	faults_t *faults = faults_create();
	const fault_t *fault;

	assert_null(document_validate(text, strlen(text), 0, faults));
	assert_int_equal(faults->count, 1);
	fault = g_ptr_array_index(faults->list, 0);
	assert_string_equal(fault->path, path);
	assert_non_null(strstr(fault->cause, cause));
	faults_destroy(faults);
}

/* Returns a valid document with the given rounds. */
static char *with_rounds(const char *rounds)
{
	size_t size;
	char *example = load_example("etc/tuul.json", &size);
	GString *text = g_string_new(example);

	g_string_replace(text, "\"format\": 1,", "\"format\": 1,\n@", 1);
	g_string_replace(text, "@", rounds, 1);
	g_free(example);
	return g_string_free(text, FALSE);
}

static void test_rounds(void **state)
{
	char *text = with_rounds(
		"\"rounds\": ["
		"{\"name\": \"morning\", \"likelihood\": 0.25, "
		"\"adapters\": [\"quote-0001@1\", \"quote-0002@1\", "
		"\"quote-0001@1\"]},"
		"{\"name\": \"noon\", \"adapters\": "
		"[\"quote-0001@1\", \"quote-0002@1\"]}],");
	document_t *document = expect_accepted(text);
	const document_follower_t *followers;
	size_t count;

	followers = document_followers(document, "quote-0001@1", &count);
	assert_int_equal(count, 1);
	assert_string_equal(followers[0].adapter, "quote-0002@1");
	assert_true(followers[0].likelihood == 0.5);
	followers = document_followers(document, "quote-0002@1", &count);
	assert_int_equal(count, 1);
	assert_string_equal(followers[0].adapter, "quote-0001@1");
	assert_true(followers[0].likelihood == 0.25);
	assert_null(document_followers(document, "quote-0003@1", &count));
	assert_int_equal(count, 0);
	document_unref(document);
	g_free(text);
}

static void test_wrong_rounds(void **state)
{
	static const struct {
		const char *rounds;
		const char *path;
		const char *cause;
	} cases[] = {
		{"\"rounds\": [{\"name\": \"a\", \"adapters\": "
		 "[\"quote-0001@1\"]}],",
		 "rounds[0].adapters", "fewer than two adapters"},
		{"\"rounds\": [{\"name\": \"a\", \"adapters\": "
		 "[\"quote-0001@1\", \"quote-9999@1\"]}],",
		 "rounds[0].adapters[1]", "'quote-9999@1' is not declared"},
		{"\"rounds\": [{\"name\": \"a\", \"likelihood\": 2, "
		 "\"adapters\": [\"quote-0001@1\", \"quote-0002@1\"]}],",
		 "rounds[0].likelihood", "out of range"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = with_rounds(cases[i].rounds);

		expect_fault(text, cases[i].path, cases[i].cause);
		g_free(text);
	}
}

static void test_broken_json(void **state)
{
	char *deep = g_strnfill(100000, '[');

	expect_line("{\n\"format\": 1,\n\"regions\": }\n", 3, "Parse error");
	expect_line("{\n\"format\": 1,\n\"format\": 1}\n", 3, "duplicate key");
	expect_line(deep, 1, "nest");
	expect_line("[]", 1, "not one JSON object");
	expect_line("", 1, "not one JSON object");
	expect_line("\xff", 0, "UTF-8");
	g_free(deep);
}

/* Quotes, brackets and slashes within comments have no effect. */
static void test_comments(void **state)
{
	size_t size;
	char *example = load_example("etc/tuul.json", &size);
	GString *text = g_string_new(example);

	g_string_replace(text, "\"format\"",
			 "/* a/b, \" ]\n } // */ // / \" */\n\"format\"", 1);
	document_unref(expect_accepted(text->str));
	g_string_replace(text, "\"format\": 1,",
			 "\"format\": 1, /* a/b\n */ \"x\" 2", 1);
	expect_line(text->str, count_lines_to(text->str, "\"x\" 2"),
		    "Parse error");
	g_string_free(text, TRUE);
	g_free(example);
}

static void mutate(GRand *rand, GString *text)
{
	gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)text->len);
	gsize size = (gsize)g_rand_int_range(rand, 1, 40);
	char byte;

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		text->str[at] = (char)g_rand_int_range(rand, 0, 256);
		break;
	case 1:
		g_string_erase(text, (gssize)at,
			       (gssize)MIN(size, text->len - at));
		break;
	case 2:
		byte = "{}[]\",:@*0-"[g_rand_int_range(rand, 0, 11)];
		g_string_insert_c(text, (gssize)at, byte);
		break;
	default:
		g_string_truncate(text, at + 1);
	}
}

/* A mutated text gives a document or at least one fault, and never a crash. */
static void test_mutations(void **state)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	size_t size;
	char *example = load_example("etc/tuul.json", &size);
	int accepted = 0;
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		GString *text = g_string_new_len(example, (gssize)size);
		faults_t *faults = faults_create();
		gint32 edits = g_rand_int_range(rand, 1, 4);
		document_t *document;

		while (edits-- && text->len)
			mutate(rand, text);
		document = document_validate(text->str, text->len, 0, faults);
		assert_int_equal(document != NULL, faults->count == 0);
		accepted += document != NULL;
		document_unref(document);
		faults_destroy(faults);
		g_string_free(text, TRUE);
	}
	print_message("%d of %d accepted\n", accepted, FUZZ_ROUNDS);
	g_rand_free(rand);
	g_free(example);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_examples),
		cmocka_unit_test(test_lookups),
		cmocka_unit_test(test_all_faults_at_once),
		cmocka_unit_test(test_rounds),
		cmocka_unit_test(test_wrong_rounds),
		cmocka_unit_test(test_broken_json),
		cmocka_unit_test(test_comments),
		cmocka_unit_test(test_mutations),
	};

	g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
