/* Connections of callers: what is finished, and what a planned stop closes. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "front/caller.h"

#define LIMIT_MS     30000
#define BUDGET_BYTES (64 * 1024 * 1024)
#define ANSWER_BYTES (3 * 1024 * 1024)
#define IDLE_MS	     1000
#define READ_EACH_MS 20
#define WINDOW_BYTES 4096
#define REQUEST	     "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"

typedef struct {
	uv_loop_t loop;
	uv_timer_t limit;
	callers_t *callers;
	memory_budget_t *budget;
	ms_clock_t *clock;
	uv_tcp_t client;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t reader; /* reads a little of the answer at a time */
	const char *text;  /* that the client sends */
	size_t read_each;  /* bytes; 0 to read nothing */
	GString *received;
	int requests;
	int gone;
	gboolean is_closed; /* the client has read EOF or an error */
	/* Drains the callers at this request; 0 for none. */
	int drains_at;
	size_t answer_bytes;
	int port;
	route_limits_t limits;
} fixture_t;

static void on_limit(uv_timer_t *timer)
{
	fail_msg("the test timed out");
}

static const route_limits_t *limits_of(void *ctx)
{
	return &((fixture_t *)ctx)->limits;
}

static void answer(fixture_t *fixture, call_t *call)
{
	http1_head_t head = {.status = 200};
	char *body = g_strnfill(fixture->answer_bytes, 'x');

	head.headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	call_begin(call, &head, (int64_t)fixture->answer_bytes);
	call_write(call, body, fixture->answer_bytes);
	call_end(call);
	g_array_free(head.headers, TRUE);
	g_free(body);
}

static void on_request(void *ctx, call_t *call)
{
	fixture_t *fixture = ctx;

	if (++fixture->requests == fixture->drains_at)
		callers_drain(fixture->callers);
	answer(fixture, call);
}

static void on_gone(void *ctx, call_t *call)
{
	((fixture_t *)ctx)->gone++;
}

static void on_drained(void *ctx, call_t *call)
{
}

static void on_connected(uv_connect_t *connect, int status)
{
	fixture_t *fixture = connect->data;
	uv_buf_t text = uv_buf_init((char *)fixture->text,
				    (unsigned int)strlen(fixture->text));

	assert_int_equal(status, 0);
	uv_write(&fixture->write, (uv_stream_t *)&fixture->client, &text, 1,
		 NULL);
}

static void on_read_timer(uv_timer_t *timer)
{
	fixture_t *fixture = timer->data;
	char *bytes = g_malloc(fixture->read_each + 1);
	uv_os_fd_t fd;
	ssize_t size;

	uv_fileno((uv_handle_t *)&fixture->client, &fd);
	size = recv(fd, bytes, fixture->read_each, MSG_DONTWAIT);
	if (size > 0)
		g_string_append_len(fixture->received, bytes, size);
	else if (!size || errno != EAGAIN)
		fixture->is_closed = fixture->read_each > 0;
	g_free(bytes);
}

/* The client's socket takes little, so that the answer is queued. */
static void connect_client(fixture_t *fixture, int port)
{
	struct sockaddr_in address;
	int window = WINDOW_BYTES;
	uv_os_fd_t fd;

	uv_tcp_init_ex(&fixture->loop, &fixture->client, AF_INET);
	uv_fileno((uv_handle_t *)&fixture->client, &fd);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	fixture->connect.data = fixture;
	uv_ip4_addr("127.0.0.1", port, &address);
	uv_tcp_connect(&fixture->connect, &fixture->client,
		       (struct sockaddr *)&address, on_connected);
	uv_timer_init(&fixture->loop, &fixture->reader);
	fixture->reader.data = fixture;
	uv_timer_start(&fixture->reader, on_read_timer, READ_EACH_MS,
		       READ_EACH_MS);
}

/* A port that is free, found by binding it. */
static int free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	close(fd);
	return ntohs(address.sin_port);
}

static void start(fixture_t *fixture, const char *text, size_t answer_bytes,
		  guint places)
{
	static const callers_events_t events = {on_request, on_gone, on_drained,
						limits_of};
	callers_options_t options = {.address = "127.0.0.1",
				     .connections_max = places};

	memset(fixture, 0, sizeof(*fixture));
	fixture->text = text;
	fixture->answer_bytes = answer_bytes;
	fixture->limits.head_max = 16384;
	fixture->limits.body_max = 65536;
	fixture->limits.head_timeout = LIMIT_MS;
	fixture->limits.idle_timeout = LIMIT_MS;
	fixture->received = g_string_new(NULL);
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->limit);
	uv_timer_start(&fixture->limit, on_limit, LIMIT_MS, 0);
	fixture->budget = memory_budget_create(BUDGET_BYTES, BUDGET_BYTES / 8,
					       BUDGET_BYTES / 2);
	fixture->clock = ms_clock_create_system();
	options.loop = &fixture->loop;
	options.clock = fixture->clock;
	options.budget = fixture->budget;
	options.port = free_port();
	fixture->port = options.port;
	fixture->callers = callers_create(&options, &events, fixture, NULL);
	assert_non_null(fixture->callers);
}

static void begin(fixture_t *fixture, const char *text, size_t answer_bytes)
{
	start(fixture, text, answer_bytes, 100);
	connect_client(fixture, fixture->port);
}

static void begin_with_places(fixture_t *fixture, guint places)
{
	start(fixture, "", 10, places);
}

/*
 * Callers are created once in a process and not destroyed: fixtures are static,
 * so that a checker of leaks finds them.
 */
static void end(fixture_t *fixture)
{
	uv_timer_stop(&fixture->limit);
	uv_timer_stop(&fixture->reader);
	g_string_free(fixture->received, TRUE);
}

static void run_until_request(fixture_t *fixture, int requests)
{
	while (fixture->requests < requests)
		uv_run(&fixture->loop, UV_RUN_ONCE);
}

/* Number of whole answers that the client has. */
static int answers_of(const fixture_t *fixture)
{
	const char *at = fixture->received->str;
	const char *end = at + fixture->received->len;
	int count = 0;

	while (at < end) {
		const char *body = strstr(at, "\r\n\r\n");

		if (!body || (size_t)(end - body - 4) < fixture->answer_bytes)
			break;
		count++;
		at = body + 4 + fixture->answer_bytes;
	}
	return count;
}

/*
 * Guards against a planned stop that takes an answer for finished while its
 * bytes are queued, and cuts it off (review/7).
 */
static void test_queued_answer_is_active(void **state)
{
	static fixture_t fixture;

	begin(&fixture, REQUEST, ANSWER_BYTES);
	run_until_request(&fixture, 1);
	callers_drain(fixture.callers);
	assert_int_equal(callers_active(fixture.callers), 1);
	fixture.read_each = ANSWER_BYTES / 40;
	while (!answers_of(&fixture) && !fixture.is_closed) {
		callers_close_idle(fixture.callers);
		/* What is not active any more is in the kernel's buffers. */
		uv_run(&fixture.loop, UV_RUN_ONCE);
	}
	assert_int_equal(answers_of(&fixture), 1);
	while (!fixture.is_closed) {
		callers_close_idle(fixture.callers);
		uv_run(&fixture.loop, UV_RUN_ONCE);
	}
	assert_int_equal(callers_active(fixture.callers), 0);
	end(&fixture);
}

/*
 * Guards against a slow reader whose connection is closed as idle while its
 * answer is queued.
 */
static void test_slow_reader_is_not_idle(void **state)
{
	static fixture_t fixture;

	begin(&fixture, REQUEST, ANSWER_BYTES);
	fixture.limits.idle_timeout = IDLE_MS;
	/* Takes some four times the idle timeout. */
	fixture.read_each = ANSWER_BYTES / (4 * IDLE_MS / READ_EACH_MS);
	while (!answers_of(&fixture) && !fixture.is_closed)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(answers_of(&fixture), 1);
	end(&fixture);
}

/* Guards against an answer that nobody reads and that is kept for good. */
static void test_unread_answer_is_closed(void **state)
{
	static fixture_t fixture;

	begin(&fixture, REQUEST, ANSWER_BYTES);
	fixture.limits.idle_timeout = IDLE_MS;
	run_until_request(&fixture, 1);
	assert_int_equal(callers_active(fixture.callers), 1);
	while (callers_active(fixture.callers))
		uv_run(&fixture.loop, UV_RUN_ONCE);
	end(&fixture);
}

/*
 * Guards against a second request that was read as the stop began, and gets no
 * answer.
 */
static void test_pipelined_at_stop(void **state)
{
	static fixture_t fixture;

	begin(&fixture, REQUEST REQUEST REQUEST, 1000);
	fixture.drains_at = 1;
	fixture.read_each = 10000;
	run_until_request(&fixture, 1);
	while (!fixture.is_closed) {
		callers_close_idle(fixture.callers);
		uv_run(&fixture.loop, UV_RUN_ONCE);
	}
	assert_int_equal(fixture.requests, 3);
	assert_int_equal(answers_of(&fixture), 3);
	/* Only the last one closes the connection. */
	assert_non_null(strstr(fixture.received->str, "Connection: close"));
	assert_true(strstr(fixture.received->str, "Connection: close") -
			    fixture.received->str >
		    2000);
	end(&fixture);
}

#define PLACES 3

typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	GString *received;
	gboolean is_closed;
} keeper_t;

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[4096];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_keeper_read(uv_stream_t *stream, ssize_t size,
			   const uv_buf_t *buffer)
{
	keeper_t *keeper = stream->data;

	if (size > 0)
		g_string_append_len(keeper->received, buffer->base, size);
	else if (size < 0)
		keeper->is_closed = TRUE;
}

static void keeper_ask(keeper_t *keeper)
{
	static char request[] = REQUEST;
	uv_buf_t text = uv_buf_init(request, sizeof(request) - 1);

	uv_write(&keeper->write, (uv_stream_t *)&keeper->tcp, &text, 1, NULL);
}

static void on_keeper_connected(uv_connect_t *connect, int status)
{
	keeper_t *keeper = connect->data;

	assert_int_equal(status, 0);
	uv_read_start((uv_stream_t *)&keeper->tcp, on_alloc, on_keeper_read);
	keeper_ask(keeper);
}

/* A caller that sends a request and keeps its connection open. */
static void keeper_connect(fixture_t *fixture, keeper_t *keeper)
{
	struct sockaddr_in address;

	keeper->received = g_string_new(NULL);
	uv_tcp_init(&fixture->loop, &keeper->tcp);
	keeper->tcp.data = keeper;
	keeper->connect.data = keeper;
	uv_ip4_addr("127.0.0.1", fixture->port, &address);
	uv_tcp_connect(&keeper->connect, &keeper->tcp,
		       (struct sockaddr *)&address, on_keeper_connected);
}

static void run_until_answered(fixture_t *fixture, const keeper_t *keeper)
{
	while (!strstr(keeper->received->str, "\r\n\r\n") && !keeper->is_closed)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	assert_false(keeper->is_closed);
	/* Their times differ by the resolution of the clock at least. */
	uv_sleep(5);
}

/*
 * Guards against callers that keep idle connections and leave no place for a
 * newcomer; the one that has been idle for longest gives way.
 */
static void test_newcomer_beside_kept(void **state)
{
	static fixture_t fixture;
	static keeper_t keepers[PLACES + 1];
	int i;

	begin_with_places(&fixture, PLACES);
	for (i = 0; i < PLACES; i++) {
		keeper_connect(&fixture, &keepers[i]);
		run_until_answered(&fixture, &keepers[i]);
	}
	/* The first one goes on, so the second has been idle for longest. */
	g_string_truncate(keepers[0].received, 0);
	keeper_ask(&keepers[0]);
	run_until_answered(&fixture, &keepers[0]);
	keeper_connect(&fixture, &keepers[PLACES]);
	run_until_answered(&fixture, &keepers[PLACES]);
	while (!keepers[1].is_closed)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_false(keepers[0].is_closed);
	assert_false(keepers[2].is_closed);
	assert_false(keepers[PLACES].is_closed);
	uv_timer_stop(&fixture.limit);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_queued_answer_is_active),
		cmocka_unit_test(test_slow_reader_is_not_idle),
		cmocka_unit_test(test_unread_answer_is_closed),
		cmocka_unit_test(test_pipelined_at_stop),
		cmocka_unit_test(test_newcomer_beside_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
