/* Incremental parsing of HTTP/1 messages. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "http/http1_reader.h"

#define HEAD_MAX 200

typedef struct {
	GString *log;
	GString *body;
} record_t;

static void on_head(void *ctx, const http1_head_t *head)
{
	record_t *record = ctx;

	if (head->status)
		g_string_append_printf(record->log, "%d", head->status);
	else
		g_string_append_printf(record->log, "%s %s", head->method,
				       head->target);
	g_string_append_printf(record->log, " keep=%d length=%d;",
			       head->keeps_alive, head->has_length);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	g_string_append_len(((record_t *)ctx)->body, data, (gssize)size);
}

static void on_end(void *ctx)
{
	g_string_append(((record_t *)ctx)->log, "end;");
}

static const http1_events_t events = {on_head, on_data, on_end};

typedef struct {
	record_t record;
	http1_reader_t *reader;
	size_t read; /* bytes of the last text that were consumed */
} fixture_t;

static void begin(fixture_t *at, http1_kind_t kind)
{
	at->record.log = g_string_new(NULL);
	at->record.body = g_string_new(NULL);
	at->reader = http1_reader_create(kind, HEAD_MAX, &events, &at->record);
}

static void end(fixture_t *at)
{
	http1_reader_destroy(at->reader);
	g_string_free(at->record.log, TRUE);
	g_string_free(at->record.body, TRUE);
}

/* Feeds text in pieces of this size; returns the kind of the error, or -1. */
static int feed(fixture_t *at, const char *text, size_t piece)
{
	size_t left = strlen(text);
	GError *error = NULL;
	int kind = -1;

	at->read = 0;
	while (left && !error && !http1_reader_is_done(at->reader)) {
		size_t read = http1_reader_feed(at->reader, text,
						MIN(piece, left), &error);

		at->read += read;
		text += read;
		left -= read;
	}
	if (error)
		kind = error_kind(error);
	g_clear_error(&error);
	return kind;
}

static void test_request_in_pieces(void **state)
{
	const char *text = "POST /a%2fb?c=d HTTP/1.1\r\nHost: x\r\n"
			   "Content-Length: 5\r\n\r\nhelloGET / HT";
	size_t piece;

	for (piece = 1; piece < 60; piece++) {
		fixture_t at;

		begin(&at, HTTP1_REQUESTS);
		assert_int_equal(feed(&at, text, piece), -1);
		assert_string_equal(at.record.log->str,
				    "POST /a%2fb?c=d keep=1 length=1;end;");
		assert_string_equal(at.record.body->str, "hello");
		/* The next request is not consumed. */
		assert_int_equal(at.read, strlen(text) - strlen("GET / HT"));
		end(&at);
	}
}

static void test_pipelined(void **state)
{
	const char *text = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
			   "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
	fixture_t at;

	begin(&at, HTTP1_REQUESTS);
	assert_int_equal(feed(&at, text, strlen(text)), -1);
	assert_int_equal(at.read, strlen(text) / 2);
	http1_reader_reset(at.reader, FALSE);
	assert_int_equal(feed(&at, text + at.read, strlen(text)), -1);
	assert_string_equal(at.record.log->str, "GET /1 keep=1 length=0;end;"
						"GET /2 keep=1 length=0;end;");
	end(&at);
}

static void test_chunked(void **state)
{
	fixture_t at;

	begin(&at, HTTP1_RESPONSES);
	assert_int_equal(feed(&at,
			      "HTTP/1.1 200 OK\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nextra",
			      7),
			 -1);
	assert_string_equal(at.record.log->str, "200 keep=1 length=1;end;");
	assert_string_equal(at.record.body->str, "abcde");
	end(&at);
}

/* A truncated response must not be reported as complete. */
static void test_truncated(void **state)
{
	static const char *const truncated[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nContent-", ""};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(truncated); i++) {
		fixture_t at;

		begin(&at, HTTP1_RESPONSES);
		assert_int_equal(feed(&at, truncated[i], 9), -1);
		assert_false(http1_reader_finish(at.reader));
		assert_null(strstr(at.record.log->str, "end"));
		end(&at);
	}
}

static void test_ended_by_eof(void **state)
{
	fixture_t at;

	begin(&at, HTTP1_RESPONSES);
	assert_int_equal(feed(&at, "HTTP/1.1 200 OK\r\n\r\nabc", 5), -1);
	assert_false(http1_reader_is_done(at.reader));
	assert_true(http1_reader_finish(at.reader));
	assert_string_equal(at.record.log->str, "200 keep=0 length=0;end;");
	assert_string_equal(at.record.body->str, "abc");
	end(&at);
}

static void test_interim(void **state)
{
	fixture_t at;

	begin(&at, HTTP1_RESPONSES);
	assert_int_equal(feed(&at,
			      "HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n"
			      "HTTP/1.1 204 None\r\n\r\n",
			      11),
			 -1);
	assert_string_equal(at.record.log->str, "204 keep=1 length=0;end;");
	end(&at);
}

/*
 * Guards against bytes that follow an interim response and are taken for the
 * body of the answer, or reported before its head.
 */
static void test_body_of_interim(void **state)
{
	static const char *const framings[] = {
		"Content-Length: 8\r\n",
		"Transfer-Encoding: chunked\r\n",
		"Connection: close\r\n",
		"Connection: close\r\nContent-Length: 8\r\n",
		"",
	};
	static const char *const bodies[] = {"foreign!", "8\r\nforeign!\r\n"};
	static const int statuses[] = {100, 102, 103, 199};
	guint n = G_N_ELEMENTS(framings) * G_N_ELEMENTS(statuses);
	guint i;
	guint j;

	for (i = 0; i < n; i++) {
		char *interim =
			g_strdup_printf("HTTP/1.1 %d Interim\r\n%s\r\n",
					statuses[i % 4], framings[i / 4]);
		static const char answer[] =
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
		char *text = g_strconcat(interim, interim, answer, NULL);
		fixture_t at;

		begin(&at, HTTP1_RESPONSES);
		assert_int_equal(feed(&at, text, 1 + i), -1);
		assert_string_equal(at.record.log->str,
				    "200 keep=1 length=1;end;");
		assert_string_equal(at.record.body->str, "done");
		g_free(text);
		end(&at);
		for (j = 0; j < G_N_ELEMENTS(bodies); j++) {
			text = g_strconcat(interim, bodies[j], answer, NULL);
			begin(&at, HTTP1_RESPONSES);
			assert_int_equal(feed(&at, text, 1 + i),
					 ERROR_PROTOCOL);
			assert_string_equal(at.record.log->str, "");
			assert_string_equal(at.record.body->str, "");
			g_free(text);
			end(&at);
		}
		g_free(interim);
	}
}

/* Guards against interim responses without end, which take all the time. */
static void test_interims_without_end(void **state)
{
	static const char interim[] = "HTTP/1.1 102 Processing\r\n\r\n";
	fixture_t at;
	int i;

	begin(&at, HTTP1_RESPONSES);
	for (i = 0; i < 100; i++) {
		if (feed(&at, interim, 50) != -1)
			break;
	}
	assert_in_range(i, 2, 50);
	/* The next response may have as many. */
	http1_reader_reset(at.reader, FALSE);
	assert_int_equal(feed(&at, interim, 50), -1);
	end(&at);
}

/* No request asks for another protocol, so none may follow an answer. */
static void test_switched_protocol(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
		"Upgrade: other\r\n\r\nbytes of it",
		"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
		"Upgrade: other\r\nContent-Length: 5\r\n\r\nbytes",
		"HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		fixture_t at;

		begin(&at, HTTP1_RESPONSES);
		assert_int_equal(feed(&at, answers[i], 200), ERROR_PROTOCOL);
		assert_string_equal(at.record.log->str, "");
		end(&at);
	}
}

/* Ambiguous lengths allow request smuggling and must be rejected. */
static void test_smuggling(void **state)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n"
		"Content-Length: 6\r\n\r\nhello!",
		"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 5\r\n\r\nhello",
		"NONSENSE\r\n\r\n"};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		fixture_t at;

		begin(&at, HTTP1_REQUESTS);
		if (feed(&at, texts[i], 8) != ERROR_PROTOCOL)
			fail_msg("accepted: %s", texts[i]);
		assert_null(strstr(at.record.log->str, "end"));
		end(&at);
	}
}

static void test_large_head(void **state)
{
	char *filler = g_strnfill(HEAD_MAX, 'a');
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", filler);
	fixture_t at;

	begin(&at, HTTP1_REQUESTS);
	assert_int_equal(feed(&at, text, 16), ERROR_TOO_LARGE);
	end(&at);
	g_free(text);
	g_free(filler);
}

typedef struct {
	const char *name;
	gboolean is_hop;
} hop_t;

static void on_hop_head(void *ctx, const http1_head_t *head)
{
	hop_t *hop = ctx;

	hop->is_hop = http1_is_hop_by_hop_header(head, hop->name);
}

static void on_hop_end(void *ctx)
{
}

/* By the head of a request with this Connection header. */
static gboolean is_hop(const char *name, const char *connection)
{
	static const http1_events_t hop_events = {on_hop_head, NULL,
						  on_hop_end};
	hop_t hop = {name, FALSE};
	http1_reader_t *reader = http1_reader_create(HTTP1_REQUESTS, HEAD_MAX,
						     &hop_events, &hop);
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nConnection: %s\r\n\r\n",
				     connection);

	assert_int_equal(http1_reader_feed(reader, text, strlen(text), NULL),
			 strlen(text));
	http1_reader_destroy(reader);
	g_free(text);
	return hop.is_hop;
}

static void test_hop_by_hop_headers(void **state)
{
	assert_true(is_hop("keep-alive", "close"));
	assert_true(is_hop("Transfer-Encoding", "close"));
	assert_true(is_hop("X-Mine", "close, x-mine"));
	assert_false(is_hop("X-Mine", "close, x-mine-too"));
	assert_false(is_hop("Content-Type", "close"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_in_pieces),
		cmocka_unit_test(test_pipelined),
		cmocka_unit_test(test_chunked),
		cmocka_unit_test(test_truncated),
		cmocka_unit_test(test_ended_by_eof),
		cmocka_unit_test(test_interim),
		cmocka_unit_test(test_body_of_interim),
		cmocka_unit_test(test_interims_without_end),
		cmocka_unit_test(test_switched_protocol),
		cmocka_unit_test(test_smuggling),
		cmocka_unit_test(test_large_head),
		cmocka_unit_test(test_hop_by_hop_headers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
