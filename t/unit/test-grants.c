/* Grants of one weight store at the instance that brokers them. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "owner/grants.h"

/* One load in 400 ms. */
#define RATE	      2.5
#define TRANSIT_LIMIT 8

static void on_send(void *ctx, const char *instance, const void *message)
{
	const message_grant_t *grant = message;

	assert_int_equal(message_type(message), MESSAGE_GRANT);
	g_string_append_printf(ctx, "%s:%s:%s;", instance, grant->endpoint,
			       grant->adapter);
}

static gboolean on_is_up(void *ctx, const char *instance)
{
	return TRUE;
}

static gboolean on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	return TRUE;
}

static void want(grants_t *grants, const char *from, const char *endpoint,
		 const char *adapter)
{
	message_load_request_t message = {.type = MESSAGE_LOAD_REQUEST,
					  .endpoint = (char *)endpoint,
					  .adapter = (char *)adapter,
					  .waiting = 1};

	grants_receive(grants, from, &message, 0);
}

/* Who takes an endpoint over gets nothing that the former owner asked for. */
static void test_new_owner(void **state)
{
	static const grants_actions_t actions = {on_send, on_is_up, on_grant};
	static const grants_options_t options = {"i1", RATE, TRANSIT_LIMIT};
	GString *log = g_string_new(NULL);
	grants_t *grants = grants_create(&options, &actions, log, 0);
	ms_t now;

	grants_set_broker(grants, "i1", 3, 0);
	want(grants, "i2", "e", "first");
	grants_tick(grants, 0);
	want(grants, "i2", "e", "a");
	want(grants, "i2", "f", "a");
	want(grants, "i3", "e", "b");
	want(grants, "i3", "e", "c");
	for (now = 400; now <= 4000; now += 400)
		grants_tick(grants, now);
	assert_string_equal(log->str, "i2:e:first;i2:f:a;i3:e:b;i3:e:c;");
	grants_destroy(grants);
	g_string_free(log, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
