/* The load broker and its client: rate, transit, choice, fairness, fallback. */

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
	gboolean refuse; /* answer a grant with FALSE */
} sink_t;

static void on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	sink_t *sink = ctx;

	g_string_append_printf(sink->log, "%s:%s;", endpoint, adapter);
}

static const broker_actions_t broker_actions = {.grant = on_grant};

static void want(broker_t *broker, ms_t now, const char *adapter, int waiting,
		 int priority)
{
	load_request_t asked = {.adapter = adapter,
				.waiting = waiting,
				.priority = priority,
				.oldest = now,
				.ahead = waiting == 0};

	broker_request_load(broker, now, "e", &asked);
}

static void expect(sink_t *sink, const char *log)
{
	assert_string_equal(sink->log->str, log);
	g_string_truncate(sink->log, 0);
}

static broker_t *make_broker(sink_t *sink, double rate, int transit_limit)
{
	broker_config_t config;

	sink->log = g_string_new(NULL);
	broker_config_init(&config, rate, transit_limit);
	return broker_create(&config, &broker_actions, sink);
}

static void finish(broker_t *broker, sink_t *sink)
{
	broker_destroy(broker);
	g_string_free(sink->log, TRUE);
}

static void test_rate(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, RATE, TRANSIT_LIMIT);

	want(broker, 0, "a", 1, 0);
	want(broker, 0, "b", 1, 0);
	assert_int_equal(broker_tick(broker, 0), 400);
	expect(&sink, "e:a;");
	broker_tick(broker, 399);
	expect(&sink, "");
	assert_true(broker_tick(broker, 400) == MS_NEVER);
	expect(&sink, "e:b;");
	finish(broker, &sink);
}

static void test_idle_time_is_not_saved_up(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, RATE, TRANSIT_LIMIT);

	want(broker, 100000, "a", 1, 0);
	want(broker, 100000, "b", 1, 0);
	broker_tick(broker, 100000);
	expect(&sink, "e:a;");
	finish(broker, &sink);
}

static void test_transit_limit(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, 1000, 2);

	want(broker, 0, "a", 1, 0);
	want(broker, 0, "b", 1, 0);
	want(broker, 0, "c", 1, 0);
	broker_tick(broker, 10);
	broker_tick(broker, 20);
	broker_tick(broker, 30);
	expect(&sink, "e:a;e:b;");
	broker_load_ended(broker, 40, "e", "a");
	broker_tick(broker, 40);
	expect(&sink, "e:c;");
	/* An end that is never reported does not hold its place for ever. */
	want(broker, 50, "d", 1, 0);
	broker_tick(broker, 60000);
	expect(&sink, "e:d;");
	finish(broker, &sink);
}

static void test_choice(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, 1000, TRANSIT_LIMIT);

	want(broker, 0, "first", 1, 0);
	want(broker, 0, "one", 1, 0);
	want(broker, 0, "ahead", 0, 0);
	want(broker, 0, "urgent", 1, 1);
	want(broker, 0, "many", 3, 0);
	broker_tick(broker, 0);
	expect(&sink, "e:first;");
	broker_tick(broker, 1);
	broker_tick(broker, 2);
	broker_tick(broker, 3);
	expect(&sink, "e:urgent;e:many;e:one;");
	broker_tick(broker, 4);
	expect(&sink, "e:ahead;");
	finish(broker, &sink);
}

static void test_no_want_waits_without_bound(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, 1000, 1000);
	ms_t now;

	want(broker, 0, "other", 1, 0);
	want(broker, 0, "tail", 1, 0);
	for (now = 0; now < 2 * BROKER_FAIR_EVERY; now++) {
		want(broker, now, "hot", 50, 3);
		broker_tick(broker, now);
	}
	assert_non_null(strstr(sink.log->str, "e:tail;"));
	finish(broker, &sink);
}

static void test_returned_grant_is_given_to_another(void **state)
{
	sink_t sink = {0};
	broker_t *broker = make_broker(&sink, RATE, TRANSIT_LIMIT);

	want(broker, 0, "a", 1, 0);
	want(broker, 0, "b", 1, 0);
	broker_tick(broker, 0);
	broker_return_grant(broker, 2, "e", "a");
	broker_tick(broker, 2);
	expect(&sink, "e:a;e:b;");
	assert_int_equal(broker_in_transit(broker), 1);
	broker_endpoint_gone(broker, "e");
	assert_int_equal(broker_in_transit(broker), 0);
	finish(broker, &sink);
}

static void client_want(void *ctx, const char *endpoint,
			const load_request_t *asked)
{
	sink_t *sink = ctx;

	g_string_append_printf(sink->log, "want %s;", asked->adapter);
}

static void client_withdraw(void *ctx, const char *endpoint,
			    const char *adapter)
{
	sink_t *sink = ctx;

	g_string_append_printf(sink->log, "withdraw %s;", adapter);
}

static void client_ended(void *ctx, const char *endpoint, const char *adapter,
			 gboolean returned)
{
	sink_t *sink = ctx;

	g_string_append_printf(sink->log, "%s %s;",
			       returned ? "returned" : "ended", adapter);
}

static gboolean client_grant(void *ctx, const char *endpoint,
			     const char *adapter)
{
	sink_t *sink = ctx;

	g_string_append_printf(sink->log, "grant %s;", adapter);
	return !sink->refuse;
}

static const broker_client_actions_t client_actions = {
	.send_want = client_want,
	.send_withdraw = client_withdraw,
	.send_load_ended = client_ended,
	.grant = client_grant,
};

/* One of two members, which wants two adapters. */
static broker_client_t *create_wanting(sink_t *sink)
{
	broker_client_config_t config = {.rate = RATE,
					 .transit_limit = TRANSIT_LIMIT,
					 .members = 2,
					 .silence = 1000};
	broker_client_t *client =
		broker_client_create(&config, &client_actions, sink);
	load_request_t a = {.adapter = "a", .waiting = 1};
	load_request_t b = {.adapter = "b", .waiting = 1};

	broker_client_request_load(client, 0, "e", &a);
	broker_client_request_load(client, 0, "e", &b);
	return client;
}

static void test_silent_broker(void **state)
{
	sink_t sink = {.log = g_string_new(NULL)};
	broker_client_t *client = create_wanting(&sink);

	assert_int_equal(broker_client_tick(client, 999), 1000);
	expect(&sink, "want a;want b;");
	/* Half of the rate: one in 0.8 s. */
	assert_int_equal(broker_client_tick(client, 1000), 1800);
	assert_true(broker_client_is_local(client));
	expect(&sink, "grant a;");
	broker_client_load_ended(client, 1250, "e", "a", FALSE);
	expect(&sink, "ended a;");
	/* A word from the broker ends the fallback; what is open goes to it. */
	broker_client_note_broker_active(client, 1500);
	assert_false(broker_client_is_local(client));
	expect(&sink, "want b;");
	sink.refuse = TRUE;
	broker_client_granted(client, 1600, "e", "b");
	expect(&sink, "grant b;returned b;");
	assert_true(broker_client_tick(client, 9000) == MS_NEVER);
	broker_client_destroy(client);
	g_string_free(sink.log, TRUE);
}

/* A grant that was taken and then not used makes room for the next at once. */
static void test_unused_grant(void **state)
{
	sink_t sink = {.log = g_string_new(NULL)};
	broker_client_t *client = create_wanting(&sink);

	assert_int_equal(broker_client_tick(client, 1000), 1800);
	expect(&sink, "want a;want b;grant a;");
	broker_client_load_ended(client, 1010, "e", "a", TRUE);
	expect(&sink, "returned a;");
	broker_client_tick(client, 1010);
	expect(&sink, "grant b;");
	broker_client_destroy(client);
	g_string_free(sink.log, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate),
		cmocka_unit_test(test_idle_time_is_not_saved_up),
		cmocka_unit_test(test_transit_limit),
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_no_want_waits_without_bound),
		cmocka_unit_test(test_returned_grant_is_given_to_another),
		cmocka_unit_test(test_silent_broker),
		cmocka_unit_test(test_unused_grant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
