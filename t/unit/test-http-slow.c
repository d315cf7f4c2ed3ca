/* HTTP server: slow, half-closed and disconnected clients. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_bench.h"

static void test_slow_requests_time_out_alone(void **state)
{
	static const char *const slow[] = {
		"",
		"GET / HTTP/1.1\r\nx: ",
		"POST / HTTP/1.1\r\ncontent-length: 10\r\n"
		"authorization: Bearer known\r\n\r\nabc",
		"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n"
		"authorization: Bearer known\r\n\r\n5\r\nabc",
	};
	http_bench_t *bench = *state;
	int64_t before = http_bench_counter("hc_http_unfinished_total");
	gint64 start = g_get_monotonic_time();
	int fds[G_N_ELEMENTS(slow)];

	for (size_t i = 0; i < G_N_ELEMENTS(slow); i++) {
		fds[i] = http_bench_connect(bench);
		http_bench_send(fds[i], slow[i]);
	}
	http_bench_expect_served(bench);
	for (size_t i = 0; i < G_N_ELEMENTS(slow); i++)
		http_bench_expect_empty(bench, fds[i]);
	assert_true(g_get_monotonic_time() - start >=
		    (gint64)HTTP_BENCH_READ_TIMEOUT_MS * 1000 / 2);
	assert_int_equal(http_bench_counter("hc_http_unfinished_total"),
			 before + (int64_t)G_N_ELEMENTS(slow));
	assert_int_equal(bench->handled, 1);
	http_bench_expect_served(bench);
}

/*
 * Guards against connections that are opened and left and use up the
 * descriptors: the oldest are closed, and the server serves others.
 */
static void test_connections_opened_and_left(void **state)
{
	http_bench_t *bench = *state;
	int fds[HTTP_BENCH_CONNECTIONS_MAX + 10];

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = http_bench_connect(bench);
		http_bench_run_once(bench);
	}
	for (size_t i = 0; i < 10; i++)
		http_bench_expect_empty(bench, fds[i]);
	http_bench_expect_served(bench);
	/* The newest ones are open: the server closes the oldest first. */
	for (size_t i = 11; i < G_N_ELEMENTS(fds); i++) {
		char byte;

		assert_int_equal(recv(fds[i], &byte, 1, 0), -1);
		assert_int_equal(errno, EAGAIN);
		close(fds[i]);
	}
}

/* The read timeout covers the whole request and is not reset by new bytes. */
static void test_trickled_requests_time_out(void **state)
{
	static const char *const heads[] = {
		"GET / HTTP/1.1\r\nx: ",
		"POST / HTTP/1.1\r\ncontent-length: 100000\r\n"
		"authorization: Bearer known\r\n\r\n",
	};
	http_bench_t *bench = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		int fd = http_bench_connect(bench);
		char byte;
		int sent = 0;

		http_bench_send(fd, heads[i]);
		while (recv(fd, &byte, 1, 0) != 0 && errno == EAGAIN) {
			send(fd, "a", 1, MSG_NOSIGNAL);
			assert_true(++sent < HTTP_BENCH_WAIT_MAX_MS / 10);
			for (int j = 0; j < 10; j++)
				http_bench_run_once(bench);
		}
		close(fd);
	}
	assert_int_equal(bench->handled, 0);
}

static void test_half_closed_during_request(void **state)
{
	static const char *const parts[] = {
		"GET / HTTP/1.1\r\nx: ",
		"POST / HTTP/1.1\r\ncontent-length: 10\r\n"
		"authorization: Bearer known\r\n\r\nabc",
	};
	http_bench_t *bench = *state;
	int64_t before = http_bench_counter("hc_http_unfinished_total");

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		int fd = http_bench_connect(bench);

		http_bench_send(fd, parts[i]);
		shutdown(fd, SHUT_WR);
		http_bench_expect_empty(bench, fd);
	}
	assert_int_equal(http_bench_counter("hc_http_unfinished_total"),
			 before + 2);
	assert_int_equal(bench->handled, 0);
}

static void send_kept_request(http_bench_t *bench, int fd)
{
	http_bench_send(fd, "GET /kept HTTP/1.1\r\n\r\n");
	while (!bench->kept)
		http_bench_run_once(bench);
}

static void half_close_kept_request(http_bench_t *bench, int fd)
{
	send_kept_request(bench, fd);
	shutdown(fd, SHUT_WR);
	/* Long enough for several hang-up checks. */
	for (int i = 0; i < HTTP_BENCH_READ_TIMEOUT_MS; i++)
		http_bench_run_once(bench);
	assert_non_null(bench->kept);
	assert_int_equal(bench->aborted, 0);
}

static void test_half_closed_gets_response(void **state)
{
	static const char *const whole[] = {"HTTP/1.1 102", "HTTP/1.1 200",
					    "served", NULL};
	static const char *const stream[] = {
		"HTTP/1.1 200", ":\n\n", "data: 1\n\n", "data: 2\n\n", NULL};
	http_bench_t *bench = *state;
	int64_t before = http_bench_counter("hc_http_half_closed_total");
	int fd = http_bench_connect(bench);

	half_close_kept_request(bench, fd);
	http_respond(bench->kept, 200, "text/plain", NULL, "served", 6);
	bench->kept = NULL;
	http_bench_expect_answer(bench, fd, whole);
	fd = http_bench_connect(bench);
	send_kept_request(bench, fd);
	http_stream_begin(bench->kept, 200, "text/event-stream", NULL);
	http_stream_write(bench->kept, "data: 1\n\n", 9);
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < HTTP_BENCH_READ_TIMEOUT_MS; i++)
		http_bench_run_once(bench);
	assert_int_equal(bench->aborted, 0);
	http_stream_write(bench->kept, "data: 2\n\n", 9);
	http_stream_end(bench->kept);
	bench->kept = NULL;
	http_bench_expect_answer(bench, fd, stream);
	assert_int_equal(http_bench_counter("hc_http_half_closed_total"),
			 before + 2);
}

static void test_disconnect_calls_on_abort(void **state)
{
	http_bench_t *bench = *state;
	int fd = http_bench_connect(bench);
	char piece[256];

	send_kept_request(bench, fd);
	close(fd);
	for (int i = 0; i < HTTP_BENCH_WAIT_MAX_MS && !bench->aborted; i++)
		http_bench_run_once(bench);
	assert_int_equal(bench->aborted, 1);
	bench->aborted = 0;
	fd = http_bench_connect(bench);
	half_close_kept_request(bench, fd);
	/* With no unread data, close() sends FIN, which looks like a
	 * half-close. */
	assert_true(recv(fd, piece, sizeof(piece), 0) > 0);
	close(fd);
	for (int i = 0; i < HTTP_BENCH_WAIT_MAX_MS && !bench->aborted; i++)
		http_bench_run_once(bench);
	assert_int_equal(bench->aborted, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_slow_requests_time_out_alone,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_connections_opened_and_left,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_trickled_requests_time_out,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_half_closed_during_request,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_half_closed_gets_response,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_disconnect_calls_on_abort,
				       http_bench_set_up),
	};

	return cmocka_run_group_tests(tests, http_bench_set_up_server, NULL);
}
