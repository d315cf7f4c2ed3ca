/*
 * Randomized test of what reads bytes from outside: answers of endpoints, of
 * the store and of the instance list, requests of callers, and messages of
 * peers. Sound texts (t/corpus/answers) are spoiled, and each reader gets each
 * of them.
 *
 * Guards against bytes that end the process that reads them (review/6).  A
 * critical warning of a library ends this program as well.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "hold/adapter_cache.h"
#include "http/event_stream.h"
#include "http/http1_reader.h"
#include "kv/etcd_json.h"
#include "kv/kv.h"
#include "member/list_client.h"
#include "member/member_message.h"
#include "owner/load_report.h"
#include "platform/decode.h"
#include "platform/engine.h"
#include "platform/headers.h"
#include "platform/metadata_store_json.h"
#include "route/route_table.h"
#include "wire/frame.h"

#define SEEDS_DEFAULT 300
#define CORPUS	      "t/corpus/answers"
#define HEAD_MAX      4096

typedef struct {
	GRand *rand;
	http1_reader_t *reader;
	int heads;
	int ends;
} run_t;

static void on_head(void *ctx, const http1_head_t *head)
{
	run_t *run = ctx;
	http_header_t *table = g_new0(http_header_t, head->headers->len + 1);
	forward_fields_t forward = {.endpoint = "e", .address = "127.0.0.1:1"};
	GString *text = g_string_new(NULL);
	request_fields_t request;
	response_fields_t response;
	endpoint_notice_t notice;
	guint i;

	run->heads++;
	for (i = 0; i < head->headers->len; i++)
		table[i] = g_array_index(head->headers, http_header_t, i);
	headers_read_notice(head->status, table, &notice);
	headers_read_work(table);
	headers_read_response(head, &response);
	headers_read_request(head, &request);
	g_strfreev(headers_shared_parts(request.parts ? request.parts : ""));
	if (head->target)
		headers_render_request(text, head, &forward, 4);
	g_string_free(text, TRUE);
	g_free(table);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	if (!((run_t *)ctx)->heads) {
		printf("data before a head\n");
		abort();
	}
}

static void on_end(void *ctx)
{
	((run_t *)ctx)->ends++;
}

static void read_http(run_t *run, http1_kind_t kind, const GString *text)
{
	static const http1_events_t events = {on_head, on_data, on_end};
	http1_reader_t *reader =
		http1_reader_create(kind, HEAD_MAX, &events, run);
	GError *error = NULL;
	gsize at = 0;

	run->heads = 0;
	run->ends = 0;
	while (at < text->len && !error && !http1_reader_is_done(reader)) {
		gsize size = (gsize)g_rand_int_range(
			run->rand, 1, (gint32)(text->len - at) + 1);

		at += http1_reader_feed(reader, text->str + at, size, &error);
	}
	if (!error)
		http1_reader_finish(reader);
	if (run->heads > 1 || run->ends > run->heads) {
		printf("%d heads, %d ends\n", run->heads, run->ends);
		abort();
	}
	g_clear_error(&error);
	http1_reader_destroy(reader);
}

static void read_store(const GString *text)
{
	GArray *items = kv_items_create();
	int64_t revision = 0;
	gboolean has_more = FALSE;
	int64_t lease = 0;

	store_parse_item(text->str, text->len, items, &revision, NULL);
	store_parse_items(text->str, text->len, items, &revision, &has_more,
			  NULL);
	store_parse_revision(text->str, text->len, &revision, NULL);
	store_parse_lease(text->str, text->len, &lease, NULL);
	g_array_free(items, TRUE);
}

static void read_etcd(const GString *text)
{
	GArray *items = kv_items_create();
	int64_t revision = 0;
	gboolean is_done = FALSE;
	int64_t lease = 0;

	etcd_parse_range(text->str, text->len, items, &revision, NULL);
	etcd_parse_txn(text->str, text->len, &is_done, &revision, NULL);
	etcd_parse_lease(text->str, text->len, &lease, NULL);
	etcd_parse_watch(text->str, text->len, items, NULL);
	g_free(etcd_parse_error(text->str, text->len));
	g_array_free(items, TRUE);
}

static void read_engine(const GString *text)
{
	engine_report_t report;
	load_report_t load = {0};

	if (engine_parse_report(text->str, text->len, "base", &report, NULL))
		engine_report_release(&report);
	load_report_parse(text->str, text->len, &load);
	load_report_release(&load);
}

static void on_item(void *ctx, const list_item_t *item)
{
}

static void read_list(const GString *text)
{
	static const list_events_t events = {on_item, on_item, NULL};

	list_parse(text->str, (gssize)text->len, &events, NULL, NULL);
}

static void read_items(const GString *text)
{
	decoded_endpoint_t endpoint;
	route_table_t *table = decode_configuration(text->str, text->len, NULL);
	char *adapter = NULL;
	int64_t version;

	if (table)
		route_table_unref(table);
	if (decode_endpoint("e", text->str, text->len, &endpoint, NULL))
		decoded_endpoint_release(&endpoint);
	if (decode_version(text->str, text->len, &adapter, &version, NULL))
		g_free(adapter);
}

static gboolean on_event(void *ctx, const char *data, size_t size)
{
	return TRUE;
}

static void read_events(const GString *text)
{
	event_stream_t *stream = event_stream_create(on_event, NULL);

	event_stream_feed(stream, text->str, text->len, NULL);
	event_stream_destroy(stream);
}

/* Overwrites, removes, repeats or inserts some bytes. */
static void spoil(GRand *rand, GString *text)
{
	static const char *const tokens[] = {
		"\r\n",	 "\r\n\r\n", ": ", "-1", "~",	 "18446744073709551616",
		"1e999", "null",     "[",  "{",	 "]",	 "}",
		"\"",	 "\\u0000",  ",",  "0",	 "\xff", "chunked, gzip"};
	gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)text->len + 1);
	gsize size = (gsize)g_rand_int_range(rand, 1, 9);
	char *copy;

	size = MIN(size, text->len - at);
	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		if (at < text->len)
			text->str[at] = (char)g_rand_int_range(rand, 0, 256);
		break;
	case 1:
		g_string_erase(text, (gssize)at, (gssize)size);
		break;
	case 2:
		copy = g_strndup(text->str + at, size);
		g_string_insert(text, (gssize)at, copy);
		g_free(copy);
		break;
	default:
		g_string_insert(text, (gssize)at,
				tokens[g_rand_int_range(rand, 0,
							G_N_ELEMENTS(tokens))]);
	}
}

static gboolean on_message(void *ctx, const msgpack_object *object)
{
	member_message_t *message = member_message_read(object, NULL);

	if (message)
		member_message_free(message);
	return TRUE;
}

static void read_peer(const GString *text)
{
	frame_reader_t *reader = frame_reader_create(FRAME_PAYLOAD_MAX);

	frame_reader_feed(reader, text->str, text->len, on_message, NULL, NULL);
	frame_reader_destroy(reader);
}

/* Appends a message as a peer sends it. */
static void append_message(GRand *rand, GString *text)
{
	member_message_t *message =
		member_message_new((member_type_t)g_rand_int_range(
					   rand, MEMBER_PING, MEMBER_TYPE_END),
				   "i1");
	member_update_t *update = member_update_new(MEMBER_UPDATE_INSTANCE,
						    "i2", 7, MEMBER_SUSPECT);
	member_place_t place = {"127.0.0.1", 1, 2, 3, "north", "north-a"};
	codec_writer_t writer;
	GByteArray *out = g_byte_array_new();

	message->target = g_strdup("i2");
	update->place = member_place_copy(&place);
	g_ptr_array_add(message->updates, update);
	member_message_write(message, &writer);
	frame_append(out, writer.buffer.data, writer.buffer.size);
	codec_write_release(&writer);
	member_message_free(message);
	g_string_append_len(text, (const char *)out->data, (gssize)out->len);
	g_byte_array_free(out, TRUE);
}

static void read_all(run_t *run, const GString *text)
{
	read_http(run, HTTP1_RESPONSES, text);
	read_http(run, HTTP1_REQUESTS, text);
	read_store(text);
	read_etcd(text);
	read_engine(text);
	read_list(text);
	read_items(text);
	read_events(text);
}

static void read_spoiled(run_t *run, const char *sound, gsize size)
{
	GString *text = g_string_new_len(sound, (gssize)size);
	int spoils = g_rand_int_range(run->rand, 1, 5);

	while (spoils--)
		spoil(run->rand, text);
	read_all(run, text);
	g_string_free(text, TRUE);
}

/* Reads a message of a peer, of which some bytes are wrong. */
static void read_spoiled_message(run_t *run)
{
	GString *text = g_string_new(NULL);
	int spoils = g_rand_int_range(run->rand, 0, 4);

	append_message(run->rand, text);
	while (spoils--)
		text->str[g_rand_int_range(run->rand, FRAME_HEADER_SIZE,
					   (gint32)text->len)] =
			(char)g_rand_int_range(run->rand, 0, 256);
	read_peer(text);
	g_string_free(text, TRUE);
}

static void run_seed(guint32 seed)
{
	run_t run = {.rand = g_rand_new_with_seed(seed)};
	GDir *dir = g_dir_open(CORPUS, 0, NULL);
	const char *name;

	if (!dir) {
		printf("no corpus; run it at the root of the repository\n");
		abort();
	}
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(CORPUS, name, NULL);
		char *sound;
		gsize size;

		if (g_file_get_contents(path, &sound, &size, NULL)) {
			read_spoiled(&run, sound, size);
			g_free(sound);
		}
		g_free(path);
	}
	g_dir_close(dir);
	read_spoiled_message(&run);
	g_rand_free(run.rand);
}

int main(void)
{
	const char *text = getenv("SEEDS");
	int seeds = text ? atoi(text) : SEEDS_DEFAULT;
	const char *first = getenv("SEED");
	int seed = first ? atoi(first) : 1;
	int end = first ? seed + 1 : seed + seeds;
	int count = end - seed;

	g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING |
			       G_LOG_FATAL_MASK);
	for (; seed < end; seed++) {
		printf("seed %d\n", seed);
		fflush(stdout);
		run_seed((guint32)seed);
	}
	printf("%d seeds passed\n", count);
	return 0;
}
