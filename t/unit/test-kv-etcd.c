/* kv_etcd against the stand-in service, and parsing of malformed answers. */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "kv/etcd_json.h"
#include "kv/kv_etcd.h"
#include "standin/kv_service.h"

#define FUZZ_ROUNDS   20000
#define FUZZ_SEED     11
#define SHORT_TIMEOUT 200

typedef struct {
	uv_loop_t loop;
	kv_service_t *service;
	kv_t *kv;
	int calls;
	kv_status_t status;
	int64_t number;
	size_t count;
	char text[64];
	error_kind_t kind;
	int events;
	int ends;
} fixture_t;

static GPtrArray *ended;

static void record_result(fixture_t *fixture, kv_status_t status,
			  int64_t number, const GError *error)
{
	fixture->calls++;
	fixture->status = status;
	fixture->number = number;
	if (error)
		fixture->kind = error_kind(error);
}

static void on_write(void *ctx, kv_status_t status, int64_t number,
		     const GError *error)
{
	record_result(ctx, status, number, error);
}

static void on_read(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	fixture_t *fixture = ctx;

	record_result(ctx, status, revision, error);
	fixture->count = count;
	if (count)
		g_strlcpy(fixture->text, items[0].value, sizeof(fixture->text));
}

static void on_event(void *ctx, const kv_item_t *item)
{
	fixture_t *fixture = ctx;

	fixture->events++;
	g_strlcpy(fixture->text, item->value ? item->value : "(deleted)",
		  sizeof(fixture->text));
}

static void on_end(void *ctx, const GError *error)
{
	((fixture_t *)ctx)->ends++;
}

static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char *address;
	const char *addresses[3] = {"127.0.0.1:1", NULL, NULL};
	kv_etcd_options_t options = {&fixture->loop, addresses, SHORT_TIMEOUT,
				     4, 8};

	uv_loop_init(&fixture->loop);
	fixture->service = kv_service_create(&fixture->loop, 0);
	assert_true(kv_service_listen(fixture->service, NULL));
	address = g_strdup_printf("127.0.0.1:%d",
				  kv_service_port(fixture->service));
	/* Nothing listens at the first address, so the second is tried. */
	addresses[1] = address;
	fixture->kv = kv_etcd_create(&options, NULL);
	assert_non_null(fixture->kv);
	g_free(address);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;
	int i;

	kv_destroy(fixture->kv);
	kv_service_close(fixture->service);
	for (i = 0; i < 20; i++)
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	/* As in a program, the server is not freed before the process ends. */
	g_ptr_array_add(ended, fixture);
	return 0;
}

static void wait_until(fixture_t *fixture, const int *counter, int value)
{
	while (*counter < value)
		uv_run(&fixture->loop, UV_RUN_ONCE);
}

static void wait_call(fixture_t *fixture)
{
	wait_until(fixture, &fixture->calls, fixture->calls + 1);
}

static void put(fixture_t *fixture, int64_t expected, const char *value,
		int64_t lease)
{
	kv_write_t write = {"p/a", expected, value, value ? strlen(value) : 0,
			    lease};

	kv_write(fixture->kv, &write, 1, on_write, fixture);
	wait_call(fixture);
}

static void get(fixture_t *fixture)
{
	kv_read(fixture->kv, "p/a", on_read, fixture);
	wait_call(fixture);
}

static void test_compare_and_swap(void **state)
{
	fixture_t *fixture = *state;
	int64_t revision;

	put(fixture, KV_REVISION_ABSENT, "one", 0);
	assert_int_equal(fixture->status, KV_DONE);
	revision = fixture->number;
	put(fixture, KV_REVISION_ABSENT, "two", 0);
	assert_int_equal(fixture->status, KV_CONFLICT);
	put(fixture, revision, "three", 0);
	assert_int_equal(fixture->status, KV_DONE);
	kv_list(fixture->kv, "p/", on_read, fixture);
	wait_call(fixture);
	assert_int_equal(fixture->count, 1);
	assert_string_equal(fixture->text, "three");
	put(fixture, KV_REVISION_ANY, NULL, 0);
	get(fixture);
	assert_int_equal(fixture->status, KV_DONE);
	assert_int_equal(fixture->count, 0);
}

static void test_lease_and_watch(void **state)
{
	fixture_t *fixture = *state;
	int64_t lease;

	kv_watch(fixture->kv, "p/", 1, on_event, on_end, fixture);
	kv_lease_grant(fixture->kv, 1000, on_write, fixture);
	wait_call(fixture);
	lease = fixture->number;
	put(fixture, KV_REVISION_ABSENT, "one", lease);
	assert_int_equal(fixture->status, KV_DONE);
	kv_lease_renew(fixture->kv, lease, on_write, fixture);
	wait_call(fixture);
	assert_int_equal(fixture->status, KV_DONE);
	wait_until(fixture, &fixture->events, 2);
	assert_string_equal(fixture->text, "(deleted)");
	kv_lease_renew(fixture->kv, lease, on_write, fixture);
	wait_call(fixture);
	assert_int_equal(fixture->status, KV_CONFLICT);
	kv_lease_revoke(fixture->kv, lease, on_write, fixture);
	wait_call(fixture);
	assert_int_equal(fixture->status, KV_CONFLICT);
	put(fixture, KV_REVISION_ANY, "two", lease);
	assert_int_equal(fixture->status, KV_FAILED);
}

static void set_faults(fixture_t *fixture, kv_service_mode_t mode, ms_t delay,
		       int64_t lose, int64_t rate)
{
	kv_service_faults_t faults = {mode, delay, lose, 0, rate};

	kv_service_set_faults(fixture->service, &faults);
}

static void test_lost_answer_is_unknown(void **state)
{
	fixture_t *fixture = *state;

	set_faults(fixture, KV_SERVICE_UP, 0, 1, 0);
	put(fixture, KV_REVISION_ABSENT, "one", 0);
	assert_int_equal(fixture->status, KV_UNKNOWN);
	get(fixture);
	assert_string_equal(fixture->text, "one");
}

static void test_outage_is_failed_and_ends_watches(void **state)
{
	fixture_t *fixture = *state;

	kv_watch(fixture->kv, "p/", 1, on_event, on_end, fixture);
	put(fixture, KV_REVISION_ABSENT, "one", 0);
	wait_until(fixture, &fixture->events, 1);
	set_faults(fixture, KV_SERVICE_REFUSING, 0, 0, 0);
	put(fixture, KV_REVISION_ANY, "two", 0);
	assert_int_equal(fixture->status, KV_FAILED);
	wait_until(fixture, &fixture->ends, 1);
	set_faults(fixture, KV_SERVICE_UP, 0, 0, 0);
	get(fixture);
	assert_string_equal(fixture->text, "one");
}

static void test_slow_write_takes_effect_after_the_timeout(void **state)
{
	fixture_t *fixture = *state;
	kv_store_t *store = kv_service_store(fixture->service);

	set_faults(fixture, KV_SERVICE_UP, 2 * SHORT_TIMEOUT, 0, 0);
	put(fixture, KV_REVISION_ABSENT, "one", 0);
	assert_int_equal(fixture->status, KV_UNKNOWN);
	while (!kv_store_get(store, "p/a"))
		uv_run(&fixture->loop, UV_RUN_ONCE);
	set_faults(fixture, KV_SERVICE_SILENT, 0, 0, 0);
	get(fixture);
	assert_int_equal(fixture->status, KV_FAILED);
}

static void test_rate_limit_and_full_queue(void **state)
{
	fixture_t *fixture = *state;
	int i;

	set_faults(fixture, KV_SERVICE_UP, 0, 0, 1);
	get(fixture);
	put(fixture, KV_REVISION_ANY, "two", 0);
	assert_int_equal(fixture->status, KV_FAILED);
	assert_int_equal(fixture->kind, ERROR_OVERLOADED);
	set_faults(fixture, KV_SERVICE_SILENT, 0, 0, 0);
	fixture->calls = 0;
	fixture->kind = ERROR_INTERNAL;
	for (i = 0; i < 13; i++)
		kv_read(fixture->kv, "p/a", on_read, fixture);
	assert_int_equal(fixture->calls, 0);
	wait_until(fixture, &fixture->calls, 1);
	assert_int_equal(fixture->kind, ERROR_OVERLOADED);
	wait_until(fixture, &fixture->calls, 13);
}

static void test_malformed_answers_get_typed_errors(void **state)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{",
		"{\"header\":7}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[3]}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"value\":1}]}"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		GArray *items = kv_items_create();
		GError *error = NULL;
		int64_t revision;

		assert_false(etcd_parse_range(bad[i], strlen(bad[i]), items,
					      &revision, &error));
		assert_int_equal(error_kind(error), ERROR_PROTOCOL);
		g_error_free(error);
		g_array_free(items, TRUE);
	}
}

static void test_random_answers_never_crash(void **state)
{
	static const char valid[] =
		"{\"result\":{\"header\":{\"revision\":\"5\"},\"events\":[{"
		"\"type\":\"PUT\",\"kv\":{\"key\":\"YQ==\",\"value\":\"Yg==\","
		"\"mod_revision\":\"5\"}}]},\"kvs\":[{\"key\":\"YQ==\"}]}";
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		char text[sizeof(valid)];
		GArray *items = kv_items_create();
		int64_t number;
		gboolean is_done;
		int i;

		memcpy(text, valid, sizeof(text));
		for (i = 0; i < 3; i++)
			text[g_rand_int_range(rand, 0, sizeof(text) - 1)] =
				(char)g_rand_int_range(rand, 0, 256);
		etcd_parse_watch(text, sizeof(text) - 1, items, NULL);
		etcd_parse_range(text, sizeof(text) - 1, items, &number, NULL);
		etcd_parse_txn(text, sizeof(text) - 1, &is_done, &number, NULL);
		etcd_parse_lease(text, sizeof(text) - 1, &number, NULL);
		g_free(etcd_parse_error(text, sizeof(text) - 1));
		g_array_free(items, TRUE);
	}
	g_rand_free(rand);
}

#define SERVICE_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		SERVICE_TEST(test_compare_and_swap),
		SERVICE_TEST(test_lease_and_watch),
		SERVICE_TEST(test_lost_answer_is_unknown),
		SERVICE_TEST(test_outage_is_failed_and_ends_watches),
		SERVICE_TEST(test_slow_write_takes_effect_after_the_timeout),
		SERVICE_TEST(test_rate_limit_and_full_queue),
		cmocka_unit_test(test_malformed_answers_get_typed_errors),
		cmocka_unit_test(test_random_answers_never_crash),
	};

	/* The stand-in writes to connections that were closed. */
	signal(SIGPIPE, SIG_IGN);
	ended = g_ptr_array_new();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
