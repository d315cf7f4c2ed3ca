/*
 * Unit tests of the load broker and its client: limits, order of grants,
 * fairness and the fallback to local grants.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "sched/broker.h"
#include "sched/broker_client.h"

#define RATE	      2.5
#define TRANSIT_LIMIT 8

typedef struct {
	GString *log;
	gboolean refuse; /* reject grants */
} recorder_t;

static void on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	recorder_t *recorder = ctx;

	g_string_append_printf(recorder->log, "%s:%s;", endpoint, adapter);
}

static const broker_actions_t broker_actions = {.grant = on_grant};

static void request_load(broker_t *broker, ms_t now, const char *adapter,
			 int waiting, int priority)
{
	load_request_t params = {.adapter = adapter,
				 .waiting = waiting,
				 .priority = priority,
				 .oldest = now,
				 .ahead = waiting == 0};

	broker_request_load(broker, now, "e", &params);
}

static void expect(recorder_t *recorder, const char *log)
{
	assert_string_equal(recorder->log->str, log);
	g_string_truncate(recorder->log, 0);
}

static broker_t *make_broker(recorder_t *recorder, double rate,
			     int transit_limit)
{
	broker_config_t config;

	recorder->log = g_string_new(NULL);
	broker_config_init(&config, rate, transit_limit);
	return broker_create(&config, &broker_actions, recorder);
}

static void destroy_broker(broker_t *broker, recorder_t *recorder)
{
	broker_destroy(broker);
	g_string_free(recorder->log, TRUE);
}

static void test_rate(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, RATE, TRANSIT_LIMIT);

	request_load(broker, 0, "a", 1, 0);
	request_load(broker, 0, "b", 1, 0);
	assert_int_equal(broker_tick(broker, 0), 400);
	expect(&recorder, "e:a;");
	broker_tick(broker, 399);
	expect(&recorder, "");
	assert_true(broker_tick(broker, 400) == MS_NEVER);
	expect(&recorder, "e:b;");
	destroy_broker(broker, &recorder);
}

static void test_idle_time_does_not_accumulate(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, RATE, TRANSIT_LIMIT);

	request_load(broker, 100000, "a", 1, 0);
	request_load(broker, 100000, "b", 1, 0);
	broker_tick(broker, 100000);
	expect(&recorder, "e:a;");
	destroy_broker(broker, &recorder);
}

static void test_transit_limit(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, 1000, 2);

	request_load(broker, 0, "a", 1, 0);
	request_load(broker, 0, "b", 1, 0);
	request_load(broker, 0, "c", 1, 0);
	broker_tick(broker, 10);
	broker_tick(broker, 20);
	broker_tick(broker, 30);
	expect(&recorder, "e:a;e:b;");
	broker_load_ended(broker, 40, "e", "a");
	broker_tick(broker, 40);
	expect(&recorder, "e:c;");
	/* A load whose end is never reported leaves transit by timeout. */
	request_load(broker, 50, "d", 1, 0);
	broker_tick(broker, 60000);
	expect(&recorder, "e:d;");
	destroy_broker(broker, &recorder);
}

static void test_choice(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, 1000, TRANSIT_LIMIT);

	request_load(broker, 0, "first", 1, 0);
	request_load(broker, 0, "one", 1, 0);
	request_load(broker, 0, "ahead", 0, 0);
	request_load(broker, 0, "urgent", 1, 1);
	request_load(broker, 0, "many", 3, 0);
	broker_tick(broker, 0);
	expect(&recorder, "e:first;");
	broker_tick(broker, 1);
	broker_tick(broker, 2);
	broker_tick(broker, 3);
	expect(&recorder, "e:urgent;e:many;e:one;");
	broker_tick(broker, 4);
	expect(&recorder, "e:ahead;");
	destroy_broker(broker, &recorder);
}

static void test_every_request_is_granted_in_bounded_time(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, 1000, 1000);
	ms_t now;

	request_load(broker, 0, "other", 1, 0);
	request_load(broker, 0, "tail", 1, 0);
	for (now = 0; now < 2 * BROKER_OLDEST_FIRST_INTERVAL; now++) {
		request_load(broker, now, "hot", 50, 3);
		broker_tick(broker, now);
	}
	assert_non_null(strstr(recorder.log->str, "e:tail;"));
	destroy_broker(broker, &recorder);
}

static void test_returned_grant_is_reused(void **state)
{
	recorder_t recorder = {0};
	broker_t *broker = make_broker(&recorder, RATE, TRANSIT_LIMIT);

	request_load(broker, 0, "a", 1, 0);
	request_load(broker, 0, "b", 1, 0);
	broker_tick(broker, 0);
	broker_return_grant(broker, 2, "e", "a");
	broker_tick(broker, 2);
	expect(&recorder, "e:a;e:b;");
	assert_int_equal(broker_in_transit(broker), 1);
	broker_endpoint_gone(broker, "e");
	assert_int_equal(broker_in_transit(broker), 0);
	destroy_broker(broker, &recorder);
}

static void client_send_request(void *ctx, const char *endpoint,
				const load_request_t *params)
{
	recorder_t *recorder = ctx;

	g_string_append_printf(recorder->log, "want %s;", params->adapter);
}

static void client_send_cancel(void *ctx, const char *endpoint,
			       const char *adapter)
{
	recorder_t *recorder = ctx;

	g_string_append_printf(recorder->log, "withdraw %s;", adapter);
}

static void client_send_load_ended(void *ctx, const char *endpoint,
				   const char *adapter, gboolean returned)
{
	recorder_t *recorder = ctx;

	g_string_append_printf(recorder->log, "%s %s;",
			       returned ? "returned" : "ended", adapter);
}

static gboolean client_grant(void *ctx, const char *endpoint,
			     const char *adapter)
{
	recorder_t *recorder = ctx;

	g_string_append_printf(recorder->log, "grant %s;", adapter);
	return !recorder->refuse;
}

static const broker_client_actions_t client_actions = {
	.send_want = client_send_request,
	.send_withdraw = client_send_cancel,
	.send_load_ended = client_send_load_ended,
	.grant = client_grant,
};

/* Create a client, one of two members, with two open load requests. */
static broker_client_t *create_client_with_requests(recorder_t *recorder)
{
	broker_client_config_t config = {.rate = RATE,
					 .transit_limit = TRANSIT_LIMIT,
					 .members = 2,
					 .silence_limit = 1000};
	broker_client_t *client =
		broker_client_create(&config, &client_actions, recorder);
	load_request_t a = {.adapter = "a", .waiting = 1};
	load_request_t b = {.adapter = "b", .waiting = 1};

	broker_client_request_load(client, 0, "e", &a);
	broker_client_request_load(client, 0, "e", &b);
	return client;
}

static void test_local_grants_while_broker_is_silent(void **state)
{
	recorder_t recorder = {.log = g_string_new(NULL)};
	broker_client_t *client = create_client_with_requests(&recorder);

	assert_int_equal(broker_client_tick(client, 999), 1000);
	expect(&recorder, "want a;want b;");
	/* Each of two members gets half of the rate: one load in 0.8 s. */
	assert_int_equal(broker_client_tick(client, 1000), 1800);
	assert_true(broker_client_is_local(client));
	expect(&recorder, "grant a;");
	broker_client_load_ended(client, 1250, "e", "a", FALSE);
	expect(&recorder, "ended a;");
	/* Any message of the broker ends the fallback and resends requests. */
	broker_client_note_broker_active(client, 1500);
	assert_false(broker_client_is_local(client));
	expect(&recorder, "want b;");
	recorder.refuse = TRUE;
	broker_client_granted(client, 1600, "e", "b");
	expect(&recorder, "grant b;returned b;");
	assert_true(broker_client_tick(client, 9000) == MS_NEVER);
	broker_client_destroy(client);
	g_string_free(recorder.log, TRUE);
}

/* An accepted grant that is returned unused allows the next one at once. */
static void test_unused_local_grant_is_reused(void **state)
{
	recorder_t recorder = {.log = g_string_new(NULL)};
	broker_client_t *client = create_client_with_requests(&recorder);

	assert_int_equal(broker_client_tick(client, 1000), 1800);
	expect(&recorder, "want a;want b;grant a;");
	broker_client_load_ended(client, 1010, "e", "a", TRUE);
	expect(&recorder, "returned a;");
	broker_client_tick(client, 1010);
	expect(&recorder, "grant b;");
	broker_client_destroy(client);
	g_string_free(recorder.log, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate),
		cmocka_unit_test(test_idle_time_does_not_accumulate),
		cmocka_unit_test(test_transit_limit),
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_every_request_is_granted_in_bounded_time),
		cmocka_unit_test(test_returned_grant_is_reused),
		cmocka_unit_test(test_local_grants_while_broker_is_silent),
		cmocka_unit_test(test_unused_local_grant_is_reused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
