/* The list client against the stand-in's service, in one loop. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "member/list_client.h"
#include "standin/list_service.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED   5
#define WAIT_MAX    60000 /* milliseconds */

/* Turns of the loop in which everything closes. */
#define CLOSING_ROUNDS 20

static const char sample[] =
	"{\"instances\":[{\"name\":\"i1\",\"address\":\"127.0.0.1:9001\","
	"\"region\":\"r\",\"failure_domain\":\"d\",\"state\":\"live\"}],"
	"\"endpoints\":[{\"name\":\"e1\",\"address\":\"127.0.0.1\","
	"\"region\":\"r\",\"failure_domain\":\"d\",\"state\":\"leaving\"}]}";

typedef struct {
	uv_loop_t *loop;
	int instances;
	int endpoints;
	int leaving;
	int port;
	int whole;
	int failed;
	int until_whole; /* stop the loop at this many reads */
	int until_failed;
} tally_t;

static void on_instance(void *ctx, const list_item_t *item)
{
	tally_t *tally = ctx;

	tally->instances++;
	tally->port = item->port;
	assert_string_equal(item->address, "127.0.0.1");
}

static void on_endpoint(void *ctx, const list_item_t *item)
{
	tally_t *tally = ctx;

	tally->endpoints++;
	tally->leaving += item->is_leaving;
}

static void on_read(void *ctx, const GError *error)
{
	tally_t *tally = ctx;

	if (error)
		tally->failed++;
	else
		tally->whole++;
	if ((tally->until_whole && tally->whole >= tally->until_whole) ||
	    (tally->until_failed && tally->failed >= tally->until_failed))
		uv_stop(tally->loop);
}

static const list_events_t events = {on_instance, on_endpoint, on_read};

static void test_parse(void **state)
{
	tally_t tally = {0};

	assert_true(list_parse(sample, -1, &events, &tally, NULL));
	assert_int_equal(tally.instances, 1);
	assert_int_equal(tally.endpoints, 1);
	assert_int_equal(tally.leaving, 1);
	assert_int_equal(tally.port, 9001);
}

static void on_any(void *ctx, const list_item_t *item)
{
	assert_non_null(item->name);
	assert_non_null(item->address);
}

/* A malformed list is refused whole, with the kind of the error. */
static void test_parse_fuzz(void **state)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	static const list_events_t any = {on_any, on_any, NULL};
	int refused = 0;
	int i;

	for (i = 0; i < FUZZ_ROUNDS; i++) {
		char *text = g_strdup(sample);
		GError *error = NULL;
		int at = g_rand_int_range(rand, 0, (int)strlen(sample));
		gssize size = g_rand_boolean(rand) ? at : -1;
		gboolean is_whole;

		text[at] = (char)g_rand_int_range(rand, 1, 128);
		is_whole = list_parse(text, size, &any, NULL, &error);
		assert_true(is_whole == !error);
		assert_false(is_whole && size >= 0);
		if (error)
			assert_int_equal(error_kind(error), ERROR_INVALID);
		refused += !is_whole;
		g_clear_error(&error);
		g_free(text);
	}
	assert_true(refused > 0);
	g_rand_free(rand);
}

static void test_period_grows_with_size(void **state)
{
	assert_int_equal(list_period(0), LIST_PERIOD_MIN);
	assert_int_equal(list_period(LIST_BYTES_PER_SECOND * 100), 100000);
}

static void on_control_done(void *ctx, int status, const char *body,
			    size_t size, const GError *error)
{
	assert_int_equal(status, 200);
	uv_stop(ctx);
}

static void control(uv_loop_t *loop, http_client_t *http, int port,
		    const char *path)
{
	http_call_request_t request = {.host = "127.0.0.1",
				       .port = port,
				       .method = "POST",
				       .path = path,
				       .timeout = WAIT_MAX};

	http_call_buffered(http, &request, 4096, on_control_done, loop);
	uv_run(loop, UV_RUN_DEFAULT);
}

static void run_until(tally_t *tally, int whole, int failed)
{
	memset(tally, 0, offsetof(tally_t, until_whole));
	tally->loop = uv_default_loop();
	tally->until_whole = whole;
	tally->until_failed = failed;
	uv_run(tally->loop, UV_RUN_DEFAULT);
}

static void test_read_over_http(void **state)
{
	uv_loop_t *loop = uv_default_loop();
	list_service_t *service = list_service_create(loop, 0, 0);
	http_client_t *http = http_client_create(loop);
	list_client_t *client;
	tally_t tally = {.loop = loop};
	int port;
	int i;

	assert_true(list_service_listen(service, NULL));
	port = list_service_port(service);
	control(loop, http, port,
		"/control?add=i1&kind=instance&address=127.0.0.1:9001"
		"&region=r&failure_domain=d");
	control(loop, http, port,
		"/control?add=e1&kind=endpoint&address=127.0.0.1:1"
		"&region=r&failure_domain=d");
	client = list_client_create(loop, http, "127.0.0.1", port, 1, &events,
				    &tally);
	run_until(&tally, 1, 0);
	assert_int_equal(tally.instances, 1);
	assert_int_equal(tally.endpoints, 1);
	assert_int_equal(tally.leaving, 0);
	control(loop, http, port, "/control?outage=on");
	run_until(&tally, 0, 1);
	assert_int_equal(tally.instances, 0);
	control(loop, http, port, "/control?outage=off&leave=e1&slow=50");
	run_until(&tally, 1, 0);
	assert_int_equal(tally.leaving, 1);
	list_client_destroy(client);
	list_service_close(service);
	http_client_destroy(http);
	for (i = 0; i < CLOSING_ROUNDS; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	list_service_destroy(service);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse),
		cmocka_unit_test(test_parse_fuzz),
		cmocka_unit_test(test_period_grows_with_size),
		cmocka_unit_test(test_read_over_http),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
