#include "http_bench.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/counter.h"

static GError *authorizer(void *ctx, const char *authorization)
{
	GError *error = NULL;

	if (authorization && !strcmp(authorization, "Bearer known"))
		return NULL;
	error_set(&error, ERROR_UNAUTHENTICATED, "unknown token");
	return error;
}

static void on_request(void *ctx, http_request_t *request)
{
	http_bench_t *bench = ctx;

	bench->handled++;
	http_respond(request, 200, "text/plain", NULL, "served", 6);
}

static void on_abort(void *ctx, http_request_t *request)
{
	http_bench_t *bench = ctx;

	bench->aborted++;
	bench->kept = NULL;
}

static void on_kept(void *ctx, http_request_t *request)
{
	http_bench_t *bench = ctx;

	bench->handled++;
	bench->kept = request;
	http_request_on_abort(request, on_abort, bench);
}

static void on_getters(void *ctx, http_request_t *request)
{
	const char *method = http_request_method(request);
	const char *header = http_request_header(request, "x-a");
	const char *query = http_request_query(request, "q");
	http_bench_t *bench = ctx;

	bench->handled++;
	assert_ptr_equal(http_request_method(request), method);
	assert_ptr_equal(http_request_header(request, "x-a"), header);
	assert_ptr_equal(http_request_query(request, "q"), query);
	assert_string_equal(header, "1");
	assert_string_equal(query, "a b");
	http_respond(request, 200, "text/plain", NULL, "", 0);
}

/* Shared by all tests, as h2o never closes all its handles of the loop. */
static http_bench_t *shared_bench;

int http_bench_set_up_server(void **state)
{
	const http_server_options_t options = {"127.0.0.1",
					       0,
					       HTTP_BENCH_BODY_MAX,
					       NULL,
					       HTTP_BENCH_CONNECTIONS_MAX,
					       FALSE};
	http_bench_t *bench = g_new0(http_bench_t, 1);

	shared_bench = bench;
	uv_loop_init(&bench->loop);
	bench->server = http_server_create(&bench->loop, &options);
	http_server_set_authorizer(bench->server, authorizer, bench);
	http_server_set_limits(bench->server, HTTP_BENCH_READ_TIMEOUT_MS,
			       HTTP_BENCH_BUFFERED_MAX);
	http_server_route(bench->server, "/", on_request, bench);
	http_server_route(bench->server, "/getters", on_getters, bench);
	http_server_route(bench->server, "/kept", on_kept, bench);
	assert_true(http_server_listen(bench->server, NULL));
	return 0;
}

int http_bench_set_up(void **state)
{
	shared_bench->handled = 0;
	shared_bench->aborted = 0;
	*state = shared_bench;
	return 0;
}

void http_bench_run_briefly(http_bench_t *bench)
{
	for (int i = 0; i < HTTP_BENCH_READ_TIMEOUT_MS / 4; i++)
		http_bench_run_once(bench);
}

int http_bench_connect(http_bench_t *bench)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)http_server_port(bench->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

void http_bench_send(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

void http_bench_run_once(http_bench_t *bench)
{
	uv_run(&bench->loop, UV_RUN_NOWAIT);
	g_usleep(1000);
}

char *http_bench_read_to_end(http_bench_t *bench, int fd)
{
	gint64 end =
		g_get_monotonic_time() + (gint64)HTTP_BENCH_WAIT_MAX_MS * 1000;
	GString *text = g_string_new(NULL);
	char piece[4096];
	ssize_t size = -1;

	while (size && g_get_monotonic_time() < end) {
		http_bench_run_once(bench);
		size = recv(fd, piece, sizeof(piece), 0);
		if (size > 0)
			g_string_append_len(text, piece, size);
		else if (size < 0 && errno == ECONNRESET)
			break;
	}
	assert_true(g_get_monotonic_time() < end);
	close(fd);
	return g_string_free(text, FALSE);
}

void http_bench_expect_answer(http_bench_t *bench, int fd,
			      const char *const *expected)
{
	char *text = http_bench_read_to_end(bench, fd);

	for (; *expected; expected++) {
		if (!strstr(text, *expected))
			fail_msg("no '%s' in '%s'", *expected, text);
	}
	g_free(text);
}

void http_bench_expect_empty(http_bench_t *bench, int fd)
{
	char *text = http_bench_read_to_end(bench, fd);

	assert_string_equal(text, "");
	g_free(text);
}

void http_bench_expect_served(http_bench_t *bench)
{
	static const char *const served[] = {"HTTP/1.1 200", "served", NULL};
	int fd = http_bench_connect(bench);

	http_bench_send(fd, "GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
	http_bench_expect_answer(bench, fd, served);
}

int64_t http_bench_counter(const char *name)
{
	return counter_value(counter_get(name));
}
