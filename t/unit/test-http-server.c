/*
 * HTTP server: getters, error responses, and the rejection of request bodies
 * from unauthorized clients and beyond the limit of buffered bytes.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_bench.h"

static const char *const served[] = {"HTTP/1.1 200", "served", NULL};

static void test_getters_return_stable_strings(void **state)
{
	static const char *const whole[] = {"HTTP/1.1 200", NULL};
	http_bench_t *bench = *state;
	int fd = http_bench_connect(bench);

	http_bench_send(fd, "GET /getters?q=a%20b HTTP/1.1\r\nx-a: 1\r\n"
			    "connection: close\r\n\r\n");
	http_bench_expect_answer(bench, fd, whole);
	assert_int_equal(bench->handled, 1);
}

/* HTTP/2 must stay off: the checks of the server cover HTTP/1 only. */
static void test_http2_disabled(void **state)
{
	http_bench_t *bench = *state;
	int fd = http_bench_connect(bench);
	char *text;

	http_bench_send(
		fd,
		"GET / HTTP/1.1\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n"
		"connection: upgrade, http2-settings, close\r\n\r\n");
	http_bench_expect_answer(bench, fd, served);
	fd = http_bench_connect(bench);
	http_bench_send(fd, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
	text = http_bench_read_to_end(bench, fd);
	assert_true(!*text || g_str_has_prefix(text, "HTTP/1.1 400"));
	g_free(text);
}

static void test_errors_are_json(void **state)
{
	static const struct {
		const char *request;
		const char *const expected[5];
	} cases[] = {
		{"POST / HTTP/1.1\r\ncontent-length: 1048577\r\n\r\n",
		 {"HTTP/1.1 413", "application/json", "\"too_large\"",
		  "more than 1048576 bytes; send"}},
		{"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
		 {"HTTP/1.1 400", "application/json", "\"invalid\"",
		  "correct Content-Length or Transfer-Encoding"}},
		{"POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
		 {"HTTP/1.1 400", "application/json", "\"invalid\"",
		  "correct Content-Length or Transfer-Encoding"}},
		{"POST / HTTP/1.1\r\nexpect: miracles\r\n"
		 "content-length: 1\r\n\r\n",
		 {"HTTP/1.1 4", "application/json", "\"invalid\"",
		  "leave it out"}},
		/* This response of h2o bypasses all filters. */
		{"this is not HTTP\r\n\r\n", {"HTTP/1.1 400"}},
	};
	http_bench_t *bench = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = http_bench_connect(bench);

		http_bench_send(fd, cases[i].request);
		http_bench_expect_answer(bench, fd, cases[i].expected);
	}
	assert_int_equal(bench->handled, 0);
}

static void test_large_head_refused(void **state)
{
	static const char *const rejected[] = {"HTTP/1.1 413", "\"too_large\"",
					       "send shorter ones", NULL};
	http_bench_t *bench = *state;
	int fd = http_bench_connect(bench);
	char *value = g_strnfill(40000, 'a');
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nx: %s\r\n"
				     "connection: close\r\n\r\n",
				     value);

	http_bench_send(fd, text);
	http_bench_expect_answer(bench, fd, rejected);
	assert_int_equal(bench->handled, 0);
	g_free(text);
	g_free(value);
}

static void test_unauthorized_rejected_before_body(void **state)
{
	static const char *const rejected[] = {
		"HTTP/1.1 401", "unauthenticated", "unknown token", "not_run",
		NULL};
	http_bench_t *bench = *state;
	int64_t before = http_bench_counter("hc_http_refused_bodies_total");
	int fd = http_bench_connect(bench);

	http_bench_send(
		fd, "POST / HTTP/1.1\r\ncontent-length: 1000000\r\n\r\nbegin");
	http_bench_expect_answer(bench, fd, rejected);
	fd = http_bench_connect(bench);
	http_bench_send(fd,
			"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n"
			"authorization: Bearer other\r\n\r\n5\r\nbegin\r\n");
	http_bench_expect_answer(bench, fd, rejected);
	assert_int_equal(http_bench_counter("hc_http_refused_bodies_total"),
			 before + 2);
	assert_int_equal(bench->handled, 0);
}

static void test_authorized_body_is_read(void **state)
{
	http_bench_t *bench = *state;
	int fd = http_bench_connect(bench);

	http_bench_send(
		fd,
		"POST / HTTP/1.1\r\ncontent-length: 10\r\nconnection: close\r\n"
		"authorization: Bearer known\r\n\r\nbegin");
	http_bench_run_briefly(bench);
	assert_int_equal(bench->handled, 0);
	http_bench_send(fd, " end.");
	http_bench_expect_answer(bench, fd, served);
	assert_int_equal(bench->handled, 1);
}

static void test_buffered_bytes_are_limited(void **state)
{
	static const char *const rejected[] = {"HTTP/1.1 429", "overloaded",
					       "buffered; retry later",
					       "retry-after: 1\r\n", NULL};
	static char chunk[HTTP_BENCH_CHUNK_SIZE];
	http_bench_t *bench = *state;
	int64_t before = http_bench_counter("hc_http_refused_bodies_total");
	int fds[HTTP_BENCH_BUFFERED_MAX / HTTP_BENCH_CHUNK_SIZE + 1];
	int refusals = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = http_bench_connect(bench);
		http_bench_send(fds[i],
				"POST / HTTP/1.1\r\ncontent-length: 70000\r\n"
				"authorization: Bearer known\r\n\r\n");
		http_bench_run_once(bench);
		assert_int_equal(send(fds[i], chunk, HTTP_BENCH_CHUNK_SIZE, 0),
				 HTTP_BENCH_CHUNK_SIZE);
	}
	http_bench_run_briefly(bench);
	assert_int_equal(http_bench_counter("hc_http_refused_bodies_total"),
			 before + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		char byte;

		if (recv(fds[i], &byte, 1, MSG_PEEK) != 1) {
			close(fds[i]);
			continue;
		}
		refusals++;
		http_bench_expect_answer(bench, fds[i], rejected);
	}
	assert_int_equal(refusals, 1);
	http_bench_expect_served(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_getters_return_stable_strings,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_http2_disabled, http_bench_set_up),
		cmocka_unit_test_setup(test_errors_are_json, http_bench_set_up),
		cmocka_unit_test_setup(test_large_head_refused,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_unauthorized_rejected_before_body,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_authorized_body_is_read,
				       http_bench_set_up),
		cmocka_unit_test_setup(test_buffered_bytes_are_limited,
				       http_bench_set_up),
	};

	return cmocka_run_group_tests(tests, http_bench_set_up_server, NULL);
}
