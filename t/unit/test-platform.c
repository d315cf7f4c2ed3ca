/* Tests of the decoding and rendering of the platform's names and formats. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "platform/decode.h"
#include "platform/engine.h"
#include "platform/headers.h"
#include "platform/metadata_store_private.h"
#include "platform/metadata_store_json.h"

/* As many as a head of 16 KB has room for. */
#define PARTS_OF_LONG_PROMPT 3000

static const char config[] =
	"{\"version\":4,\"new\":1,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"A.example\",\"prefix\":\"/s/\","
	"\"kind\":\"streaming\",\"timeoutMs\":25000,\"goalMs\":1000,"
	"\"gapTargetMs\":250,"
	"\"priority\":0,\"service\":\"llm\",\"attempts\":2,\"resumable\":true},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/w/\","
	"\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"attempts\":1,"
	"\"backends\":[{\"service\":\"one\",\"weight\":3},"
	"{\"service\":\"two\",\"weight\":1}]}],"
	"\"services\":[{\"name\":\"one\",\"maxConns\":110},"
	"{\"name\":\"llm\",\"maxConns\":370,\"engine\":{\"slots\":64,"
	"\"weightsMb\":34600.0,\"adapterSlots\":29,\"models\":["
	"{\"name\":\"m\",\"weightsMb\":34300.0,\"adapterMb\":40.0}]}}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void test_configuration(void **state)
{
	route_table_t *table =
		decode_configuration(config, strlen(config), NULL);
	const route_t *stream;
	const route_t *write;
	const service_t *service;

	assert_non_null(table);
	assert_int_equal(route_table_version(table), 4);
	stream = route_table_find(table, "a.example", "/s/1");
	assert_int_equal(stream->kind, ROUTE_STREAMING);
	assert_true(stream->is_resumable);
	assert_int_equal(stream->timeout, 25000);
	assert_int_equal(stream->pause, 250);
	assert_int_equal(stream->attempts, 2);
	write = route_table_find(table, "a.example", "/w/1");
	assert_int_equal(write->kind, ROUTE_NON_IDEMPOTENT);
	assert_int_equal(write->targets->len, 2);
	assert_int_equal(write->pause, 0);
	/* The model leaves 300 MB, room for 7 adapters of 40 MB. */
	service = route_table_service(table, "llm");
	assert_true(service->is_engine);
	assert_int_equal(service->adapter_slots, 7);
	assert_string_equal(service->model, "m");
	assert_false(route_table_service(table, "one")->is_engine);
	assert_int_equal(route_table_limits(table)->body_max, 1000);
	route_table_unref(table);
}

/* One invalid field fails the whole configuration; the error names it. */
static void test_bad_configuration(void **state)
{
	static const struct {
		const char *from;
		const char *to;
		const char *field;
	} cases[] = {
		{"\"version\":4", "\"version\":\"4\"", "version"},
		{"\"routes\":[", "\"paths\":[", "routes"},
		{"\"services\":[", "\"services\":7,\"x\":[", "services"},
		{"\"kind\":\"streaming\"", "\"kind\":\"fast\"", "kind"},
		{"\"timeoutMs\":25000", "\"timeoutMs\":0", "timeoutMs"},
		{"\"service\":\"llm\"", "\"service\":1", "service"},
		{"\"weight\":3", "\"weight\":-3", "backends"},
		{"\"host\":\"A.example\"", "\"host\":null", "host"},
		{"\"prefix\":\"/s/\"", "\"prefix\":null", "prefix"},
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *text = g_string_new(config);
		GError *error = NULL;

		assert_int_equal(
			g_string_replace(text, cases[i].from, cases[i].to, 1),
			1);
		assert_null(decode_configuration(text->str, text->len, &error));
		assert_int_equal(error_kind(error), ERROR_INVALID);
		assert_non_null(strstr(error->message, cases[i].field));
		g_error_free(error);
		g_string_free(text, TRUE);
	}
}

/* The last part belongs to the request alone; unreadable ones are left out. */
static void test_shared_parts(void **state)
{
	static const struct {
		const char *text;
		const char *ids; /* joined by spaces */
	} cases[] = {
		{"5c1e07a2:800,91BD3f06:410,e4402b7d:250", "5c1e07a2 91bd3f06"},
		{"5c1e07a2, 91bd3f06:1,e4402b7d:250", "5c1e07a2 91bd3f06"},
		{"5c1e07a2:800", ""},
		{"", ""},
		{NULL, ""},
		{",:5,,a:1,b:2", "a"},
	};
	GString *many = g_string_new(NULL);
	char *joined;
	char **ids;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		ids = headers_shared_parts(cases[i].text);
		joined = g_strjoinv(" ", ids);
		assert_string_equal(joined, cases[i].ids);
		g_free(joined);
		g_strfreev(ids);
	}
	/* Guards against a part that is not considered for its place. */
	for (i = 0; i < PARTS_OF_LONG_PROMPT; i++)
		g_string_append_printf(many, "%x:1,", i);
	g_string_append(many, "last:1");
	ids = headers_shared_parts(many->str);
	assert_int_equal(g_strv_length(ids), PARTS_OF_LONG_PROMPT);
	assert_string_equal(ids[PARTS_OF_LONG_PROMPT - 1], "bb7");
	g_strfreev(ids);
	g_string_free(many, TRUE);
}

static const char listing[] =
	"{\"service\":\"llm\",\"addr\":\"10.1.64.9:8384\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"seq\":1,"
	"\"coldLeftMs\":0,\"born\":1791189534531,\"stage\":\"colocated\","
	"\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[\"a1@1\"]}]}";

static void test_endpoint(void **state)
{
	decoded_endpoint_t endpoint;

	assert_true(decode_endpoint("e", listing, strlen(listing), &endpoint,
				    NULL));
	assert_string_equal(endpoint.info.id, "e");
	assert_string_equal(endpoint.info.address, "10.1.64.9");
	assert_int_equal(endpoint.info.port, 8384);
	assert_int_equal(endpoint.info.places, 64);
	assert_int_equal(endpoint.info.started_at, 1791189534531);
	assert_true(endpoint.info.is_engine);
	assert_string_equal(endpoint.info.models[0], "m");
	assert_false(endpoint.info.is_leaving);
	decoded_endpoint_release(&endpoint);
}

/* An endpoint entry with a missing or malformed field is refused. */
static void test_bad_endpoint(void **state)
{
	static const char *const cases[][2] = {
		{"\"state\":\"ready\"", "\"state\":\"resting\""},
		{"\"state\":\"ready\"", "\"state\":1"},
		{"\"addr\":\"10.1.64.9:8384\"", "\"addr\":\"10.1.64.9\""},
		{"\"addr\":\"10.1.64.9:8384\"", "\"addr\":\"10.1.64.9:x\""},
		{"\"service\":\"llm\",", ""},
		{"\"version\":\"v1\",\"slots\"", "\"slots\""},
		{"\"version\":\"v1\",\"slots\"", "\"version\":1,\"slots\""},
		{"\"seq\":1,", ""},
		{"\"seq\":1,", "\"seq\":\"1\","},
		{"\"coldLeftMs\":0,", ""},
		{"\"coldLeftMs\":0,", "\"coldLeftMs\":[],"},
		{"\"zone\":\"a\"", "\"zone\":{}"},
		{"\"slots\":64", "\"slots\":\"64\""},
		{"\"born\":1791189534531", "\"born\":1.5"},
		{"\"born\":1791189534531", "\"born\":1e400"},
		{"\"born\":1791189534531", "\"born\":99999999999999999999"},
		{"\"slots\":64", "\"slots\":99999999999999999999"},
		{"\"slots\":64", "\"slots\":1e400"},
		{"\"slots\":64", "\"slots\":-1"},
		{"10.1.64.9:8384", "10.1.64.9:0"},
		{"10.1.64.9:8384", "10.1.64.9:65536"},
		{"10.1.64.9:8384", "10.1.64.9:99999999999999999999"},
		{"10.1.64.9:8384", "10.1.64.9:-1"},
		{"10.1.64.9:8384", "10.1.64.900:8384"},
		{"10.1.64.9:8384", "engine.example:8384"},
		{"10.1.64.9:8384", ":8384"},
		{"{\"service\"", "[{\"service\""},
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *text = g_string_new(listing);
		decoded_endpoint_t endpoint;
		GError *error = NULL;

		assert_int_equal(
			g_string_replace(text, cases[i][0], cases[i][1], 1), 1);
		assert_false(decode_endpoint("e", text->str, text->len,
					     &endpoint, &error));
		assert_int_equal(error_kind(error), ERROR_INVALID);
		g_error_free(error);
		g_string_free(text, TRUE);
	}
}

/* More brackets than a stack has room for, as in an entry of 1 MB. */
#define NESTING_DEEP 500000

/*
 * Guards against a parser that ends the process: another writer's entry nests
 * too deeply, in a field that is read or in one that is not.
 */
static void test_deep_endpoint(void **state)
{
	static const char *const brackets[] = {"[", "{\"a\":"};
	decoded_endpoint_t endpoint;
	guint i;
	guint j;

	for (i = 0; i < G_N_ELEMENTS(brackets); i++) {
		GString *text = g_string_new(listing);

		g_string_truncate(text, text->len - 1);
		g_string_append(text, ",\"notes\":");
		for (j = 0; j < NESTING_DEEP; j++)
			g_string_append(text, brackets[i]);
		assert_false(decode_endpoint("e", text->str, text->len,
					     &endpoint, NULL));
		g_string_free(text, TRUE);
	}
}

/*
 * Guards against headers in the id of an endpoint, which is sent to it in one.
 */
static void test_endpoint_ids(void **state)
{
	static const char *const ids[] = {"", "e\r\nx-a: 1", "e 1", "e\x7f",
					  "\xc3\xa4"};
	decoded_endpoint_t endpoint;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_false(decode_endpoint(ids[i], listing, strlen(listing),
					     &endpoint, NULL));
}

static void assert_version_error(const char *text, const char *field)
{
	GError *error = NULL;
	char *adapter;
	int64_t version;

	assert_false(
		decode_version(text, strlen(text), &adapter, &version, &error));
	assert_non_null(strstr(error->message, field));
	g_error_free(error);
}

static void test_keys_and_versions(void **state)
{
	static const char text[] =
		"{\"model\":\"m\",\"adapter\":\"a3\",\"version\":2}";
	const char *name;
	char *adapter;
	int64_t version;

	assert_int_equal(decode_key("op/config", &name), ITEM_CONFIGURATION);
	assert_int_equal(decode_key("op/configs", &name), ITEM_OTHER);
	assert_int_equal(decode_key("servers/e1", &name), ITEM_ENDPOINT);
	assert_string_equal(name, "e1");
	assert_int_equal(decode_key("op/version/m.a3", &name), ITEM_VERSION);
	assert_true(
		decode_version(text, strlen(text), &adapter, &version, NULL));
	assert_string_equal(adapter, "m/a3");
	assert_int_equal(version, 2);
	g_free(adapter);
	assert_version_error("{\"adapter\":\"a3\",\"version\":2}", "'model'");
	assert_version_error("{\"model\":\"m\",\"version\":2}", "'adapter'");
	assert_version_error("{\"model\":\"m\",\"adapter\":\"a3\"}",
			     "'version'");
}

static void test_order(void **state)
{
	const cache_order_t order = {CACHE_ORDER_UNLOAD, "m/a3", 7};
	const cache_order_t model = {CACHE_ORDER_LOAD_MODEL, NULL, 0};
	char *text = engine_render_order(&order, "m", "one", 41);

	assert_string_equal(text, "{\"op\":\"unload\",\"model\":\"m\","
				  "\"adapter\":\"a3\",\"expected\":7,"
				  "\"holder\":\"one\",\"fence\":41}");
	g_free(text);
	text = engine_render_order(&model, "m", "one", 41);
	assert_null(strstr(text, "adapter"));
	assert_non_null(strstr(text, "\"op\":\"load\""));
	g_free(text);
	assert_int_equal(engine_order_answer(202), CACHE_ANSWER_ACCEPTED);
	assert_int_equal(engine_order_answer(200), CACHE_ANSWER_DONE);
	assert_int_equal(engine_order_answer(409), CACHE_ANSWER_STALE);
	assert_int_equal(engine_order_answer(412), CACHE_ANSWER_REFUSED);
	assert_int_equal(engine_order_answer(421), CACHE_ANSWER_REFUSED);
}

static void test_report(void **state)
{
	static const char text[] =
		"{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\","
		"\"version\":1,\"adapters\":[\"a1@2\",\"a2\"]}],\"busy\":true,"
		"\"seq\":9,\"coming\":[\"m/a3@1\"]}";
	engine_report_t report;
	GError *error = NULL;

	assert_true(
		engine_parse_report(text, strlen(text), "m", &report, NULL));
	assert_int_equal(report.report.sequence, 9);
	assert_true(report.report.has_model);
	assert_true(report.report.is_busy);
	assert_int_equal(report.report.count, 3);
	assert_string_equal(report.report.residents[0].adapter, "m/a1");
	assert_int_equal(report.report.residents[0].version, 2);
	assert_int_equal(report.report.residents[1].version, 0);
	assert_string_equal(report.report.residents[2].adapter, "m/a3");
	assert_true(report.report.residents[2].is_coming);
	engine_report_release(&report);
	assert_false(engine_parse_report("{}", 2, "m", &report, &error));
	assert_int_equal(error_kind(error), ERROR_PROTOCOL);
	g_error_free(error);
}

static void test_store_answers(void **state)
{
	static const char page[] =
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"rev\":3,"
		"\"createRev\":2,\"lease\":5}],\"morePages\":true,\"asOf\":9}";
	static const char deletion[] =
		"{\"events\":[{\"key\":\"a\",\"rev\":4,\"deleted\":true}],"
		"\"asOf\":10}";
	static const char no_revision[] =
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\"}],\"asOf\":9}";
	GArray *items = kv_items_create();
	gboolean has_more;
	int64_t revision;
	const kv_item_t *item;
	GError *error = NULL;

	assert_true(store_parse_items(page, strlen(page), items, &revision,
				      &has_more, NULL));
	assert_true(has_more);
	assert_int_equal(revision, 9);
	item = &g_array_index(items, kv_item_t, 0);
	assert_string_equal(item->value, "x");
	assert_int_equal(item->lease, 5);
	assert_true(store_parse_items(deletion, strlen(deletion), items,
				      &revision, &has_more, NULL));
	assert_null(g_array_index(items, kv_item_t, 1).value);
	assert_false(store_parse_items(no_revision, strlen(no_revision), items,
				       &revision, &has_more, &error));
	assert_non_null(strstr(error->message, "'rev'"));
	g_clear_error(&error);
	assert_false(store_parse_items("{\"items\":[]}", 12, items, &revision,
				       &has_more, NULL));
	assert_false(store_parse_items("{\"asOf\":1,\"items\":[7]}", 22, items,
				       &revision, &has_more, NULL));
	g_array_free(items, TRUE);
}

static void test_store_write(void **state)
{
	const kv_write_t writes[] = {
		{"a", KV_REVISION_ABSENT, "x", 1, 5},
		{"b", 7, NULL, 0, 0},
		{"c", KV_REVISION_ANY, "y", 1, 0},
	};
	char *text = store_render_write(writes, 3);

	assert_string_equal(text,
			    "{\"expected\":[{\"key\":\"a\",\"rev\":0},"
			    "{\"key\":\"b\",\"rev\":7}],\"writes\":["
			    "{\"key\":\"a\",\"value\":\"eA==\",\"lease\":5},"
			    "{\"key\":\"c\",\"value\":\"eQ==\",\"lease\":0}],"
			    "\"remove\":[\"b\"]}");
	g_free(text);
}

/* A parsed HTTP message. */
typedef struct {
	http1_reader_t *reader;
	const http1_head_t *head;
} message_t;

static void on_head(void *ctx, const http1_head_t *head)
{
	((message_t *)ctx)->head = head;
}

static void on_data(void *ctx, const char *data, size_t size)
{
}

static void on_end(void *ctx)
{
}

static void read_message(message_t *message, http1_kind_t kind,
			 const char *text)
{
	static const http1_events_t events = {on_head, on_data, on_end};

	message->reader = http1_reader_create(kind, 0, &events, message);
	http1_reader_feed(message->reader, text, strlen(text), NULL);
	assert_non_null(message->head);
}

static void test_request_headers(void **state)
{
	message_t message;
	request_fields_t fields;
	forward_fields_t send = {.endpoint = "e1",
				 .address = "10.0.0.1:80",
				 .deadline = 900,
				 .priority = 2};
	GString *text = g_string_new(NULL);

	read_message(&message, HTTP1_REQUESTS,
		     "POST /x?y HTTP/1.1\r\nHost: h\r\n"
		     "X-Hawthorncross-Request-Id: 9c\r\n"
		     "X-Hawthorncross-Model: m/a3\r\n"
		     "X-Hawthorncross-Token-Count: 1460,80\r\n"
		     "X-Hawthorncross-Deadline-Ms: 1500\r\n"
		     "X-Hawthorncross-Hold: forged\r\n"
		     "x-hawthorncross-pin-ms: 9\r\n"
		     "Kv-From: 1.2.3.4:5/6\r\n"
		     "X-Hawthorncross-Expect-Instance: other\r\n"
		     "Connection: keep-alive, X-One-Hop\r\nX-One-Hop: 1\r\n"
		     "X-Kept: 1\r\nContent-Length: 3\r\n\r\nabc");
	headers_read_request(message.head, &fields);
	assert_string_equal(fields.id, "9c");
	assert_string_equal(fields.adapter, "m/a3");
	assert_int_equal(fields.tokens_in, 1460);
	assert_int_equal(fields.tokens_out, 80);
	assert_int_equal(fields.deadline, 1500);
	headers_render_request(text, message.head, &send, 3);
	assert_string_equal(text->str,
			    "POST /x?y HTTP/1.1\r\nHost: h\r\n"
			    "X-Hawthorncross-Request-Id: 9c\r\n"
			    "X-Hawthorncross-Model: m/a3\r\n"
			    "X-Hawthorncross-Token-Count: 1460,80\r\n"
			    "X-Kept: 1\r\n"
			    "x-hawthorncross-deadline-ms: 900\r\n"
			    "x-hawthorncross-expect-instance: e1\r\n"
			    "x-hawthorncross-request-priority: 2\r\n"
			    "Content-Length: 3\r\n\r\n");
	g_string_free(text, TRUE);
	http1_reader_destroy(message.reader);
}

/*
 * Guards against numbers of tokens and names of adapters that are passed on and
 * can't be read by the next process, or count for more than they are.
 */
static void test_unreadable_request_headers(void **state)
{
	static const struct {
		const char *headers;
		gboolean is_valid;
	} cases[] = {
		{"X-Hawthorncross-Token-Count: 0,0\r\n", TRUE},
		{"X-Hawthorncross-Token-Count: 12\r\n", TRUE},
		{"X-Hawthorncross-Token-Count: 12, 3 \r\n", TRUE},
		{"X-Hawthorncross-Token-Count: 2147483647,1\r\n", TRUE},
		{"X-Hawthorncross-Token-Count: -1,80\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 1,-80\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 1,\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 1,2,3\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: many\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 1e9\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 2147483648\r\n", FALSE},
		{"X-Hawthorncross-Token-Count: 18446744073709551616\r\n",
		 FALSE},
		{"X-Hawthorncross-Token-Count: 1,2\r\n"
		 "x-hawthorncross-token-count: 1,2\r\n",
		 FALSE},
		{"X-Hawthorncross-Model: m/\xc3\xa4\r\n", TRUE},
		{"X-Hawthorncross-Model: m/\xe4\r\n", FALSE},
		{"X-Hawthorncross-Model: a\r\nX-Hawthorncross-Model: b\r\n",
		 FALSE},
		{"", TRUE},
	};
	char *long_name = g_strnfill(256, 'a');
	request_fields_t fields;
	message_t message;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases) + 2; i++) {
		/* Names of 256 and of 255 bytes follow the table. */
		gboolean is_row = i < G_N_ELEMENTS(cases);
		gboolean is_valid =
			is_row ? cases[i].is_valid : i > G_N_ELEMENTS(cases);
		char *headers =
			is_row ? g_strdup(cases[i].headers)
			       : g_strdup_printf(
					 "X-Hawthorncross-Model: %s\r\n",
					 long_name + is_valid);
		char *text = g_strdup_printf("GET /x HTTP/1.1\r\nHost: h\r\n"
					     "%s\r\n",
					     headers);

		read_message(&message, HTTP1_REQUESTS, text);
		headers_read_request(message.head, &fields);
		if (is_valid != !fields.fault)
			fail_msg("row %u: %s", i, headers);
		if (!is_valid) {
			assert_int_equal(fields.tokens_in, 0);
			assert_int_equal(fields.tokens_out, 0);
			assert_null(fields.adapter);
		}
		http1_reader_destroy(message.reader);
		g_free(headers);
		g_free(text);
	}
	g_free(long_name);
}

static void test_answer_headers(void **state)
{
	message_t message;
	response_fields_t fields;

	read_message(&message, HTTP1_RESPONSES,
		     "HTTP/1.1 503 X\r\nX-Hawthorncross-Not-Run: 1\r\n"
		     "X-Hawthorncross-Server-Load: 3,1,8\r\n"
		     "Keep-Alive: timeout=5, max=9\r\n"
		     "Content-Length: 0\r\n\r\n");
	headers_read_response(message.head, &fields);
	assert_true(fields.is_not_run);
	assert_false(fields.is_elsewhere);
	assert_false(fields.is_signed);
	assert_true(fields.has_load);
	assert_int_equal(fields.load.waiting, 1);
	assert_int_equal(fields.load.work_percent, 0);
	assert_int_equal(fields.idle_timeout, 5000);
	http1_reader_destroy(message.reader);
	read_message(&message, HTTP1_RESPONSES,
		     "HTTP/1.1 200 X\r\nX-Hawthorncross-Server-Load: "
		     "3,1,8,170\r\nContent-Length: 0\r\n\r\n");
	headers_read_response(message.head, &fields);
	assert_true(fields.has_load);
	assert_int_equal(fields.load.places, 8);
	assert_int_equal(fields.load.work_percent, 170);
	http1_reader_destroy(message.reader);
	read_message(&message, HTTP1_RESPONSES,
		     "HTTP/1.1 200 X\r\nX-Hawthorncross-Server-Stamp: s\r\n"
		     "X-Hawthorncross-Server-Load: 3,1\r\n"
		     "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n");
	headers_read_response(message.head, &fields);
	assert_true(fields.is_signed);
	assert_true(fields.is_encoded);
	assert_false(fields.has_load);
	http1_reader_destroy(message.reader);
}

static void test_retry_after(void **state)
{
	static const struct {
		const char *value;
		ms_t quiet;
	} cases[] = {
		{"3", 3000},
		{"0.5", 500},
		{"0", 0},
		{"-2", 0},
		{"", 0},
		{"soon", 0},
		{"3 s", 0},
		{"1e400", 3600000},
		{"99999999999", 3600000},
		/* The answer says that it is 22:00:00. */
		{"Fri, 04 Dec 2026 22:00:30 GMT", 30000},
		{"Fri, 04 Dec 2026 22:00:00 GMT", 0},
		{"Fri, 04 Dec 2026 21:00:00 GMT", 0},
		{"Sun, 04 Dec 2044 22:00:00 GMT", 3600000},
		{"Fri, 31 Feb 2026 22:00:00 GMT", 0},
		{"Fri, 04 Foo 2026 22:00:00 GMT", 0},
		{"3\r\nRetry-After: 5", 3000},
	};
	response_fields_t fields;
	message_t message;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(
			"HTTP/1.1 503 X\r\n"
			"Date: Fri, 04 Dec 2026 22:00:00 GMT\r\n"
			"Retry-After: %s\r\n"
			"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
			cases[i].value);

		read_message(&message, HTTP1_RESPONSES, text);
		headers_read_response(message.head, &fields);
		assert_int_equal(fields.notice.quiet, cases[i].quiet);
		assert_true(fields.notice.is_leaving);
		http1_reader_destroy(message.reader);
		g_free(text);
	}
	/* Of an answer that refuses nothing it means something else. */
	read_message(&message, HTTP1_RESPONSES,
		     "HTTP/1.1 429 X\r\nRetry-After: 3\r\n"
		     "Server-Leaving: 0\r\nContent-Length: 0\r\n\r\n");
	headers_read_response(message.head, &fields);
	assert_int_equal(fields.notice.quiet, 0);
	assert_false(fields.notice.is_leaving);
	http1_reader_destroy(message.reader);
}

static void test_request_limit(void **state)
{
	static const struct {
		const char *line;
		gboolean names_limit;
		double limit;
	} cases[] = {
		{"", FALSE, 0},
		{"Server-Limit: 2.7\r\n", TRUE, 2.7},
		{"server-limit: 40\r\n", TRUE, 40},
		{"Server-Limit: 0\r\n", TRUE, 0},
		{"Server-Limit: -2\r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: \r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: few\r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: inf\r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: 1e999\r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: 2,3\r\n", TRUE, LIMIT_UNREADABLE},
		{"Server-Limit: 2/s\r\n", TRUE, LIMIT_UNREADABLE},
	};
	response_fields_t fields;
	message_t message;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf("HTTP/1.1 200 X\r\n%s"
					     "Content-Length: 0\r\n\r\n",
					     cases[i].line);

		read_message(&message, HTTP1_RESPONSES, text);
		headers_read_response(message.head, &fields);
		assert_int_equal(fields.notice.names_limit,
				 cases[i].names_limit);
		assert_float_equal(fields.notice.limit, cases[i].limit, 0);
		http1_reader_destroy(message.reader);
		g_free(text);
	}
}

static void test_history_numbers(void **state)
{
	static const struct {
		const char *value;
		int64_t history;
	} cases[] = {
		{"1", 1},   {"4194304", 4194304},
		{"0", 0},   {"4194305", 0},
		{"-3", 0},  {"99999999999999999999", 0},
		{"two", 0}, {"2 2", 0},
		{"", 0},
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_header_t headers[] = {{"content-type", "text/plain"},
					   {"store-era", cases[i].value},
					   {NULL, NULL}};

		assert_int_equal(store_read_history(headers), cases[i].history);
		assert_int_equal(store_read_history(headers + 2), 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_configuration),
		cmocka_unit_test(test_bad_configuration),
		cmocka_unit_test(test_shared_parts),
		cmocka_unit_test(test_retry_after),
		cmocka_unit_test(test_request_limit),
		cmocka_unit_test(test_history_numbers),
		cmocka_unit_test(test_endpoint),
		cmocka_unit_test(test_bad_endpoint),
		cmocka_unit_test(test_deep_endpoint),
		cmocka_unit_test(test_endpoint_ids),
		cmocka_unit_test(test_keys_and_versions),
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_report),
		cmocka_unit_test(test_store_answers),
		cmocka_unit_test(test_store_write),
		cmocka_unit_test(test_request_headers),
		cmocka_unit_test(test_unreadable_request_headers),
		cmocka_unit_test(test_answer_headers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
