/* HTTP client: addresses and servers that answer a call with nothing usable. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "http/http_client.h"

#define LIMIT_MS 20000
#define BODY_MAX 1000

typedef struct {
	uv_loop_t loop;
	uv_timer_t limit;
	http_client_t *client;
	uv_tcp_t listener;
	int port;
	const char *answer;  /* of the server, after which it closes */
	size_t answer_size;  /* 0 for that of a string */
	gboolean is_endless; /* the answer is written again and again */
	gboolean keeps_open; /* the server does not close after an answer */
	gboolean resets;     /* the server resets after an answer */
	int accepted;	     /* connections */
	size_t written;
	int ended;
	int kind; /* of the last call's error, or -1 */
	int status;
	char *body;
} fixture_t;

typedef struct {
	uv_tcp_t tcp;
	uv_write_t write;
	fixture_t *fixture;
} peer_t;

static void on_limit(uv_timer_t *timer)
{
	fail_msg("the test timed out");
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[4096];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_peer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void peer_close(peer_t *peer)
{
	if (!uv_is_closing((uv_handle_t *)&peer->tcp))
		uv_close((uv_handle_t *)&peer->tcp, on_peer_closed);
}

static void on_answered(uv_write_t *write, int status);

static void peer_answer(peer_t *peer)
{
	fixture_t *fixture = peer->fixture;
	size_t size = fixture->answer_size ? fixture->answer_size
					   : strlen(fixture->answer);
	uv_buf_t bytes =
		uv_buf_init((char *)fixture->answer, (unsigned int)size);

	fixture->written += bytes.len;
	uv_write(&peer->write, (uv_stream_t *)&peer->tcp, &bytes, 1,
		 on_answered);
}

static void on_request(uv_stream_t *stream, ssize_t size,
		       const uv_buf_t *buffer);

static void on_answered(uv_write_t *write, int status)
{
	peer_t *peer = write->data;
	gboolean is_open =
		status == 0 && !uv_is_closing((uv_handle_t *)&peer->tcp);

	if (is_open && peer->fixture->is_endless)
		peer_answer(peer);
	else if (is_open && peer->fixture->keeps_open)
		uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_request);
	else if (is_open && peer->fixture->resets)
		uv_tcp_close_reset(&peer->tcp, on_peer_closed);
	else
		peer_close(peer);
}

static void on_request(uv_stream_t *stream, ssize_t size,
		       const uv_buf_t *buffer)
{
	peer_t *peer = stream->data;

	uv_read_stop(stream);
	if (size > 0)
		peer_answer(peer);
	else if (size < 0)
		peer_close(peer);
}

static void on_connection(uv_stream_t *listener, int status)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->fixture = listener->data;
	peer->fixture->accepted++;
	uv_tcp_init(listener->loop, &peer->tcp);
	peer->tcp.data = peer;
	peer->write.data = peer;
	uv_accept(listener, (uv_stream_t *)&peer->tcp);
	uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_request);
}

static void begin(fixture_t *fixture)
{
	struct sockaddr_in address;
	int size = sizeof(address);

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->limit);
	uv_timer_start(&fixture->limit, on_limit, LIMIT_MS, 0);
	uv_unref((uv_handle_t *)&fixture->limit);
	fixture->client = http_client_create(&fixture->loop);
	uv_tcp_init(&fixture->loop, &fixture->listener);
	fixture->listener.data = fixture;
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(&fixture->listener, (struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&fixture->listener, 8, on_connection);
	uv_tcp_getsockname(&fixture->listener, (struct sockaddr *)&address,
			   &size);
	fixture->port = g_ntohs(address.sin_port);
}

static void end(fixture_t *fixture)
{
	http_client_destroy(fixture->client);
	uv_close((uv_handle_t *)&fixture->limit, NULL);
	uv_close((uv_handle_t *)&fixture->listener, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	uv_loop_close(&fixture->loop);
	g_free(fixture->body);
}

static void on_done(void *ctx, int status, const char *body, size_t size,
		    const GError *error)
{
	fixture_t *fixture = ctx;

	fixture->ended++;
	fixture->status = status;
	g_free(fixture->body);
	fixture->body = g_strndup(body, size);
	fixture->kind = error ? (int)error_kind(error) : -1;
}

static http_call_t *start_call(fixture_t *fixture, const char *host, int port,
			       gboolean is_fresh)
{
	http_call_request_t request = {
		.host = host,
		.port = port,
		.method = "GET",
		.path = "/",
		.timeout = LIMIT_MS / 2,
		.is_fresh = is_fresh,
	};

	fixture->ended = 0;
	return http_call_buffered(fixture->client, &request, BODY_MAX, on_done,
				  fixture);
}

static void run_call(fixture_t *fixture)
{
	assert_int_equal(fixture->ended, 0);
	while (!fixture->ended)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	assert_int_equal(fixture->ended, 1);
}

/*
 * Guards against the end of the process when connect() fails at once, as for an
 * address without a route.
 */
static void test_unreachable_address(void **state)
{
	fixture_t fixture;
	int i;

	begin(&fixture);
	for (i = 0; i < 4; i++) {
		start_call(&fixture, "255.255.255.255", 80, i % 2);
		run_call(&fixture);
		assert_int_equal(fixture.kind, ERROR_UNAVAILABLE);
	}
	start_call(&fixture, "255.255.255.255", 80, FALSE);
	http_call_cancel(start_call(&fixture, "255.255.255.255", 80, FALSE));
	run_call(&fixture);
	end(&fixture);
}

#define DONE "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

/*
 * Guards against bytes that follow an interim response and are taken for the
 * body of the answer.
 */
static void test_body_of_interim(void **state)
{
	static const char *const interims[] = {
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 8\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n",
	};
	fixture_t fixture;
	guint i;

	begin(&fixture);
	for (i = 0; i < G_N_ELEMENTS(interims); i++) {
		char *sound = g_strconcat(interims[i], DONE, NULL);
		char *foreign =
			g_strconcat(interims[i], "foreign!", DONE, NULL);

		fixture.answer = sound;
		start_call(&fixture, "127.0.0.1", fixture.port, TRUE);
		run_call(&fixture);
		assert_int_equal(fixture.kind, -1);
		assert_int_equal(fixture.status, 200);
		assert_string_equal(fixture.body, "done");
		fixture.answer = foreign;
		start_call(&fixture, "127.0.0.1", fixture.port, TRUE);
		run_call(&fixture);
		assert_int_equal(fixture.kind, ERROR_INTERRUPTED);
		assert_string_equal(fixture.body, "");
		g_free(sound);
		g_free(foreign);
	}
	end(&fixture);
}

/* Guards against an answer that is cut off and passes as whole: at each byte.
 */
static void test_cut_at_each_byte(void **state)
{
	fixture_t fixture;
	size_t size;

	begin(&fixture);
	for (size = 0; size <= strlen(DONE); size++) {
		char *cut = g_strndup(DONE, size);

		fixture.answer = cut;
		start_call(&fixture, "127.0.0.1", fixture.port, TRUE);
		run_call(&fixture);
		assert_int_equal(fixture.kind,
				 size < strlen(DONE) ? ERROR_INTERRUPTED : -1);
		g_free(cut);
	}
	end(&fixture);
}

/* Guards against keeping the bytes of a head without end. */
static void test_head_without_end(void **state)
{
	char *filler = g_strnfill(64 * 1024, 'x');
	char *head = g_strconcat("HTTP/1.1 200 OK\r\nX: ", filler, NULL);
	fixture_t fixture;
	int i;

	begin(&fixture);
	fixture.is_endless = TRUE;
	for (i = 0; i < 2; i++) {
		fixture.answer = i ? filler : head;
		fixture.written = 0;
		start_call(&fixture, "127.0.0.1", fixture.port, TRUE);
		run_call(&fixture);
		assert_int_not_equal(fixture.kind, -1);
		/* With what the sockets' buffers hold. */
		assert_true(fixture.written < 16 * 1024 * 1024);
	}
	fixture.is_endless = FALSE;
	fixture.answer = DONE;
	start_call(&fixture, "127.0.0.1", fixture.port, TRUE);
	run_call(&fixture);
	assert_string_equal(fixture.body, "done");
	end(&fixture);
	g_free(head);
	g_free(filler);
}

/* Heads and beginnings of bodies that no answer may have. */
static const char *const odd_answers[] = {
	"HTTP/1.1 200 OK\r\nContent-Length: ~123\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
	"done!",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
	"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	"Content-Length: 4\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"
	"4\r\ndone\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
	"4\r\ndone\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
	"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"fffffffffffffffff\r\ndone",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"4\r\ndoneX\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\nContent-Length\r\n\r\ndone",
	"HTTP/1.1 200 OK\r\n: 4\r\n\r\ndone",
	"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone",
	"HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\ndone",
	"HTTP/1.1 99999999999 OK\r\nContent-Length: 4\r\n\r\ndone",
	"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	"HTTP/x 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	"done\r\n\r\n",
	"\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: ~123\r\n\r\ndone",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
	"Content-Length: ~123\r\n\r\ndone",
};

/* Makes a call that has to get a sound answer, after one that did not. */
static void expect_sound_call(fixture_t *fixture)
{
	fixture->answer = DONE;
	fixture->answer_size = 0;
	start_call(fixture, "127.0.0.1", fixture->port, FALSE);
	run_call(fixture);
	assert_int_equal(fixture->kind, -1);
	assert_int_equal(fixture->status, 200);
	assert_string_equal(fixture->body, "done");
}

/*
 * Guards against an answer with odd framing that ends the process, passes as
 * whole, or leaves its connection to the next call (review/6).
 */
static void test_odd_framing(void **state)
{
	fixture_t fixture;
	guint i;
	int keeps_open;

	for (keeps_open = 0; keeps_open < 2; keeps_open++) {
		begin(&fixture);
		fixture.keeps_open = keeps_open;
		for (i = 0; i < G_N_ELEMENTS(odd_answers); i++) {
			int accepted;

			/* On a connection that has served a call before. */
			expect_sound_call(&fixture);
			fixture.answer = odd_answers[i];
			start_call(&fixture, "127.0.0.1", fixture.port, FALSE);
			run_call(&fixture);
			if (fixture.kind != ERROR_INTERRUPTED)
				fail_msg("kind %d after: %s", fixture.kind,
					 odd_answers[i]);
			accepted = fixture.accepted;
			expect_sound_call(&fixture);
			assert_int_equal(fixture.accepted, accepted + 1);
		}
		end(&fixture);
	}
}

/*
 * Guards against a wrong byte at any place of an answer that ends the process
 * or spoils the next call.
 */
static void test_spoiled_byte(void **state)
{
	static const char spoils[] = {'\0', ' ',  '~',	  '-', ',',
				      '\r', '\n', '\xff', ':', '9'};
	static const char *const sound[] = {
		DONE,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\ndone\r\n0\r\n\r\n",
	};
	fixture_t fixture;
	guint i;
	guint at;
	guint j;

	begin(&fixture);
	for (i = 0; i < G_N_ELEMENTS(sound); i++) {
		size_t size = strlen(sound[i]);

		for (at = 0; at < size; at++) {
			for (j = 0; j < G_N_ELEMENTS(spoils); j++) {
				char *answer = g_strdup(sound[i]);

				answer[at] = spoils[j];
				fixture.answer = answer;
				fixture.answer_size = size;
				start_call(&fixture, "127.0.0.1", fixture.port,
					   FALSE);
				run_call(&fixture);
				g_free(answer);
			}
			expect_sound_call(&fixture);
		}
	}
	end(&fixture);
}

/*
 * Guards against bytes after an answer that are read as the next call's, and
 * against an answer that comes twice.
 */
static void test_bytes_after_answer(void **state)
{
	static const char *const answers[] = {
		DONE "junk",
		DONE "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	};
	fixture_t fixture;
	guint i;

	begin(&fixture);
	fixture.keeps_open = TRUE;
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		fixture.answer = answers[i];
		start_call(&fixture, "127.0.0.1", fixture.port, FALSE);
		run_call(&fixture);
		assert_int_equal(fixture.kind, -1);
		assert_string_equal(fixture.body, "done");
		expect_sound_call(&fixture);
		assert_int_equal(fixture.accepted, 2 * (int)i + 2);
		http_client_forget_connections(fixture.client);
	}
	end(&fixture);
}

/*
 * Guards against a body without a length that is reset and passes as whole.
 */
static void test_reset_body(void **state)
{
	fixture_t fixture;
	int i;

	begin(&fixture);
	fixture.answer = "HTTP/1.1 200 OK\r\n\r\ndone";
	for (i = 0; i < 2; i++) {
		fixture.resets = i;
		start_call(&fixture, "127.0.0.1", fixture.port, FALSE);
		run_call(&fixture);
		assert_int_equal(fixture.kind, i ? ERROR_INTERRUPTED : -1);
	}
	end(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreachable_address),
		cmocka_unit_test(test_body_of_interim),
		cmocka_unit_test(test_cut_at_each_byte),
		cmocka_unit_test(test_head_without_end),
		cmocka_unit_test(test_odd_framing),
		cmocka_unit_test(test_spoiled_byte),
		cmocka_unit_test(test_bytes_after_answer),
		cmocka_unit_test(test_reset_body),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
