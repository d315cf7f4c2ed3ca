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
	int ended;
	int kind; /* of the last call's error, or -1 */
} fixture_t;

static void on_limit(uv_timer_t *timer)
{
	fail_msg("the test timed out");
}

static void begin(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->limit);
	uv_timer_start(&fixture->limit, on_limit, LIMIT_MS, 0);
	uv_unref((uv_handle_t *)&fixture->limit);
	fixture->client = http_client_create(&fixture->loop);
}

static void end(fixture_t *fixture)
{
	http_client_destroy(fixture->client);
	uv_close((uv_handle_t *)&fixture->limit, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
}

static void on_done(void *ctx, int status, const char *body, size_t size,
		    const GError *error)
{
	fixture_t *fixture = ctx;

	fixture->ended++;
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreachable_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
