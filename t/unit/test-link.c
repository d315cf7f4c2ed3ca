/*
 * Connections to endpoints that send broken answers, against a raw TCP server.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <uv.h>

#include "front/link.h"

/* What the server does after its answer. */
#define CONNECTIONS_MAX 8

typedef enum { END_OPEN, END_CLOSED, END_RESET } end_t;

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_tcp_t *peer; /* of the newest connection */
	gboolean is_peer_closed;
	uv_write_t write;
	uv_timer_t limit;
	int port;
	int accepted;
	const char *answer;
	const char *id; /* of the requests */
	end_t end;
	ms_clock_t *clock;
	fleet_t *fleet;
	links_t *links;
	/* What the user of the link was told. */
	gboolean rejects_head;
	gboolean rejects_data;
	int ended;
	link_result_t result;
	char *why; /* of the newest on_end() */
	GString *body;
} fixture_t;

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[4096];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_peer_closed(uv_handle_t *handle)
{
	((fixture_t *)handle->data)->is_peer_closed = TRUE;
	g_free(handle);
}

static void on_answered(uv_write_t *write, int status)
{
	fixture_t *fixture = write->data;

	if (fixture->end == END_CLOSED)
		uv_close((uv_handle_t *)fixture->peer, on_peer_closed);
	else if (fixture->end == END_RESET)
		uv_tcp_close_reset(fixture->peer, on_peer_closed);
}

static void on_request(uv_stream_t *stream, ssize_t size,
		       const uv_buf_t *buffer)
{
	fixture_t *fixture = stream->data;
	uv_buf_t answer;

	if (size <= 0) {
		if (!uv_is_closing((uv_handle_t *)stream))
			uv_close((uv_handle_t *)stream, on_peer_closed);
		return;
	}
	answer = uv_buf_init((char *)fixture->answer,
			     (unsigned int)strlen(fixture->answer));
	fixture->write.data = fixture;
	uv_write(&fixture->write, stream, &answer, 1, on_answered);
}

static void on_connection(uv_stream_t *listener, int status)
{
	fixture_t *fixture = listener->data;

	fixture->accepted++;
	fixture->is_peer_closed = FALSE;
	fixture->peer = g_new0(uv_tcp_t, 1);
	uv_tcp_init(&fixture->loop, fixture->peer);
	fixture->peer->data = fixture;
	uv_accept(listener, (uv_stream_t *)fixture->peer);
	uv_read_start((uv_stream_t *)fixture->peer, on_alloc, on_request);
}

static void on_limit(uv_timer_t *timer)
{
	fail_msg("the test timed out");
}

static void begin(fixture_t *fixture)
{
	struct sockaddr_in address;
	int size = sizeof(address);

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	uv_tcp_init(&fixture->loop, &fixture->listener);
	fixture->listener.data = fixture;
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(&fixture->listener, (struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&fixture->listener, 8, on_connection);
	uv_tcp_getsockname(&fixture->listener, (struct sockaddr *)&address,
			   &size);
	fixture->port = ntohs(address.sin_port);
	uv_timer_init(&fixture->loop, &fixture->limit);
	uv_timer_start(&fixture->limit, on_limit, 20000, 0);
	fixture->clock = ms_clock_create_system();
	fixture->fleet = fleet_create("front-1", "a");
	fixture->body = g_string_new(NULL);
	fixture->links = links_create(&(links_options_t){
		&fixture->loop, fixture->clock, CONNECTIONS_MAX});
}

static gboolean on_head(void *ctx, const http1_head_t *head)
{
	return !((fixture_t *)ctx)->rejects_head;
}

static gboolean on_data(void *ctx, const char *data, size_t size)
{
	fixture_t *fixture = ctx;

	g_string_append_len(fixture->body, data, (gssize)size);
	return !fixture->rejects_data;
}

static void on_end(void *ctx, link_result_t result, const char *why)
{
	fixture_t *fixture = ctx;

	fixture->ended++;
	fixture->result = result;
	g_free(fixture->why);
	fixture->why = g_strdup(why);
	uv_stop(&fixture->loop);
}

static const link_events_t events = {on_head, on_data, on_end};

static fleet_endpoint_t *endpoint(fixture_t *fixture, const char *address,
				  int port)
{
	endpoint_info_t info = {.id = "e",
				.service = "desk",
				.address = address,
				.port = port,
				.failure_domain = "a",
				.places = 4};

	return fleet_update_endpoint(fixture->fleet, &info);
}

static exchange_t *send_request_to(fixture_t *fixture, const char *address,
				   int port)
{
	links_request_t request = {
		.text = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		.id = fixture->id,
	};

	return links_send(fixture->links, endpoint(fixture, address, port),
			  &request, &events, fixture);
}

static exchange_t *send_request(fixture_t *fixture, int port)
{
	return send_request_to(fixture, "127.0.0.1", port);
}

/* Sends one request; the server answers and ends as given. */
static link_result_t exchange(fixture_t *fixture, const char *answer, end_t end)
{
	fixture->answer = answer;
	fixture->end = end;
	g_string_truncate(fixture->body, 0);
	fixture->ended = 0;
	send_request(fixture, fixture->port);
	assert_int_equal(fixture->ended, 0);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture->ended, 1);
	return fixture->result;
}

/* The peers of connections that are still open are freed, too. */
static void close_handle(uv_handle_t *handle, void *ctx)
{
	fixture_t *fixture = ctx;
	gboolean is_peer = handle->type == UV_TCP && handle->data == fixture &&
			   handle != (uv_handle_t *)&fixture->listener;

	if (!uv_is_closing(handle))
		uv_close(handle, is_peer ? on_peer_closed : NULL);
}

static void end(fixture_t *fixture)
{
	fleet_remove_endpoint(fixture->fleet, "e");
	/* Idle connections close when their timeout expires. */
	while (links_count(fixture->links))
		uv_run(&fixture->loop, UV_RUN_ONCE);
	links_destroy(fixture->links);
	fleet_destroy(fixture->fleet);
	ms_clock_destroy(fixture->clock);
	uv_walk(&fixture->loop, close_handle, fixture);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	uv_loop_close(&fixture->loop);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->why);
}

#define WITH_LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
#define UNFRAMED    "HTTP/1.1 200 OK\r\n\r\nabc"

static void test_connection_reused(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_string_equal(fixture.body->str, "abc");
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 1);
	end(&fixture);
}

/* Bytes after an answer close the connection and reach no request. */
static void test_extra_bytes(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	assert_int_equal(exchange(&fixture, WITH_LENGTH WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_string_equal(fixture.body->str, "abc");
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 2);
	end(&fixture);
}

/*
 * An answer without a length that was cut off by a reset must not count as
 * complete.  libuv reports EOF for such a reset, so it did once on the users'
 * bench, after an endpoint crashed.
 */
static void test_answer_without_length(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	assert_int_equal(exchange(&fixture, UNFRAMED, END_CLOSED),
			 LINK_COMPLETE);
	assert_string_equal(fixture.body->str, "abc");
	assert_int_equal(exchange(&fixture, UNFRAMED, END_RESET), LINK_BROKEN);
	end(&fixture);
}

static void test_incomplete_answer(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		"HTTP/1.1 200",
		"",
		"no answer at all\r\n\r\n",
	};
	fixture_t fixture;
	guint i;

	begin(&fixture);
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		assert_int_equal(exchange(&fixture, answers[i], END_CLOSED),
				 LINK_BROKEN);
		assert_int_equal(exchange(&fixture, answers[i], END_RESET),
				 LINK_BROKEN);
	}
	/*
	 * The connection stays open, so that the reason comes from the HTTP
	 * reader.
	 */
	assert_int_equal(
		exchange(&fixture, "no answer at all\r\n\r\n", END_OPEN),
		LINK_BROKEN);
	assert_non_null(strstr(fixture.why, "no HTTP/1 message"));
	end(&fixture);
}

/*
 * Guards against an answer that is cut off in its head, or in a body with a
 * length or chunks, and passes as whole: at each byte.
 */
static void test_cut_at_each_byte(void **state)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		"Connection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n",
	};
	static const char *const bodies[] = {"abc", "3\r\nabc\r\n0\r\n\r\n",
					     "abc", "abc"};
	fixture_t fixture;
	guint i;

	begin(&fixture);
	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		char *whole = g_strconcat(heads[i], bodies[i], NULL);
		/* Without a length the end of the connection ends it. */
		size_t shortest = i < 2 ? strlen(whole) : strlen(heads[i]);
		size_t size;

		for (size = 0; size <= strlen(whole); size++) {
			char *cut = g_strndup(whole, size);

			assert_int_equal(exchange(&fixture, cut, END_CLOSED),
					 size < shortest ? LINK_BROKEN
							 : LINK_COMPLETE);
			g_free(cut);
		}
		assert_string_equal(fixture.body->str, "abc");
		g_free(whole);
	}
	end(&fixture);
}

static void test_rejected_head(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	fixture.rejects_head = TRUE;
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_BROKEN);
	assert_string_equal(fixture.body->str, "");
	fixture.rejects_head = FALSE;
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 2);
	end(&fixture);
}

/* The owner does not want the rest of a body: the connection is closed. */
static void test_rejected_data(void **state)
{
	static const char chunk[] = "HTTP/1.1 500 Failed\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "4\r\nabcd\r\n";
	fixture_t fixture;

	begin(&fixture);
	fixture.rejects_data = TRUE;
	assert_int_equal(exchange(&fixture, chunk, END_OPEN), LINK_BROKEN);
	assert_string_equal(fixture.body->str, "abcd");
	assert_string_equal(fixture.why, "answer rejected");
	fixture.rejects_data = FALSE;
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 2);
	end(&fixture);
}

static void test_not_sent(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	/* No server listens at this port. */
	send_request(&fixture, 1);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture.result, LINK_NOT_SENT);
	/* The limit allows no second connection. */
	links_set_limit(fixture.links, "desk", 1);
	send_request(&fixture, fixture.port);
	fixture.ended = 0;
	send_request(&fixture, fixture.port);
	assert_int_equal(fixture.ended, 0);
	fixture.answer = WITH_LENGTH;
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture.result, LINK_NOT_SENT);
	while (fixture.ended < 2)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.result, LINK_COMPLETE);
	end(&fixture);
}

/*
 * Guards against the end of the process when connect() fails at once, as for an
 * address without a route.
 */
static void test_unreachable_address(void **state)
{
	/* A broadcast address, an invalid one, and one of another family. */
	static const char *const addresses[] = {"255.255.255.255", "300.1.1.1",
						"::1"};
	fixture_t fixture;
	guint i;

	begin(&fixture);
	for (i = 0; i < 2 * G_N_ELEMENTS(addresses); i++) {
		fixture.ended = 0;
		send_request_to(&fixture, addresses[i / 2], 80);
		/* The second request finds no pool of the first one. */
		assert_int_equal(fixture.ended, 0);
		uv_run(&fixture.loop, UV_RUN_DEFAULT);
		assert_int_equal(fixture.ended, 1);
		assert_int_equal(fixture.result, LINK_NOT_SENT);
		assert_int_equal(links_count(fixture.links), 0);
	}
	/* A cancelled request must not report its failure. */
	fixture.ended = 0;
	exchange_cancel(send_request_to(&fixture, "255.255.255.255", 80));
	uv_run(&fixture.loop, UV_RUN_NOWAIT);
	assert_int_equal(fixture.ended, 0);
	end(&fixture);
}

/*
 * Guards against an answer to the first sending of a request that is written
 * once more, and taken for the one to its second sending.
 */
static void test_resent_request(void **state)
{
	fixture_t fixture;

	begin(&fixture);
	fixture.id = "first";
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	fixture.id = "second";
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 1);
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 2);
	/* Where no further connection is allowed, another one is closed. */
	links_set_limit(fixture.links, "desk", 1);
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 3);
	end(&fixture);
}

/*
 * Guards against connections that use up the descriptors: callers that send the
 * same request id again and again leave each of theirs idle.
 */
static void test_repeated_ids_reuse_the_places(void **state)
{
	fixture_t fixture;
	guint i;

	begin(&fixture);
	fixture.id = "same";
	for (i = 0; i < 3 * CONNECTIONS_MAX; i++) {
		assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
				 LINK_COMPLETE);
		assert_true(links_count(fixture.links) <= CONNECTIONS_MAX);
	}
	assert_int_equal(fixture.accepted, 3 * CONNECTIONS_MAX);
	end(&fixture);
}

/* A head without end ends the exchange; its size is bounded. */
static void test_head_without_end(void **state)
{
	char *filler = g_strnfill(40000, 'x');
	char *head = g_strconcat("HTTP/1.1 200 OK\r\nX: ", filler, NULL);
	fixture_t fixture;

	begin(&fixture);
	assert_int_equal(exchange(&fixture, head, END_OPEN), LINK_BROKEN);
	assert_non_null(strstr(fixture.why, "larger than"));
	end(&fixture);
	g_free(head);
	g_free(filler);
}

/*
 * Guards against an answer that arrives although its owner has no room for it,
 * and against one that stays paused.
 */
static void test_paused(void **state)
{
	char *filler = g_strnfill(4 * 1024 * 1024, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(filler), filler);
	exchange_t *open;
	fixture_t fixture;
	gsize paused_at;
	int i;

	begin(&fixture);
	fixture.answer = answer;
	open = send_request(&fixture, fixture.port);
	while (!fixture.body->len)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	exchange_pause(open);
	paused_at = fixture.body->len;
	for (i = 0; i < 100; i++)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	assert_int_equal(fixture.body->len, paused_at);
	exchange_resume(open);
	while (!fixture.ended)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.result, LINK_COMPLETE);
	assert_int_equal(fixture.body->len, strlen(filler));
	/* The connection is used again. */
	assert_int_equal(exchange(&fixture, WITH_LENGTH, END_OPEN),
			 LINK_COMPLETE);
	assert_int_equal(fixture.accepted, 1);
	end(&fixture);
	g_free(answer);
	g_free(filler);
}

/* Cancelling an exchange closes its connection at once. */
static void test_cancelled(void **state)
{
	exchange_t *open;
	fixture_t fixture;

	begin(&fixture);
	fixture.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
	open = send_request(&fixture, fixture.port);
	while (!fixture.body->len)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	exchange_cancel(open);
	while (!fixture.is_peer_closed)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.ended, 0);
	assert_int_equal(links_count(fixture.links), 0);
	end(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_connection_reused),
		cmocka_unit_test(test_extra_bytes),
		cmocka_unit_test(test_answer_without_length),
		cmocka_unit_test(test_incomplete_answer),
		cmocka_unit_test(test_cut_at_each_byte),
		cmocka_unit_test(test_rejected_head),
		cmocka_unit_test(test_rejected_data),
		cmocka_unit_test(test_not_sent),
		cmocka_unit_test(test_unreachable_address),
		cmocka_unit_test(test_resent_request),
		cmocka_unit_test(test_repeated_ids_reuse_the_places),
		cmocka_unit_test(test_head_without_end),
		cmocka_unit_test(test_paused),
		cmocka_unit_test(test_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
