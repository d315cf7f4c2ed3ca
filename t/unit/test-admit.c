/* Admission control: limits, priorities, fairness and Retry-After. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/admit.h"

#define CAPACITY	    100
#define RELEASE_INTERVAL_MS 10 /* between two releases: 100 per second */
#define TICKS		    2000
#define WARM_UP_MS	    10000
#define TOLERANCE	    300

static admit_ticket_t *take(admit_t *admit, const char *caller, int priority,
			    ms_t now, admit_result_t *result, ms_t *after)
{
	admit_request_t request = {caller, "model", priority};
	GError *error = NULL;
	admit_ticket_t *ticket =
		admit_acquire(admit, &request, now, result, after, &error);

	assert_true((ticket == NULL) == (error != NULL));
	if (error)
		assert_int_equal(error_kind(error), ERROR_OVERLOADED);
	g_clear_error(&error);
	return ticket;
}

static void release_all(admit_t *admit, GPtrArray *tickets)
{
	for (guint i = 0; i < tickets->len; i++)
		admit_release(admit, tickets->pdata[i], 0);
	g_ptr_array_free(tickets, TRUE);
	admit_destroy(admit);
}

static void test_caller_rate_limit(void **state)
{
	admit_t *admit = admit_create(CAPACITY);
	GPtrArray *tickets = g_ptr_array_new();
	admit_limit_t limit = {.rate = 10, .burst = 5};
	admit_result_t result;
	ms_t after;
	int admitted = 0;

	admit_limit_caller(admit, "a", &limit);
	for (ms_t now = 0; now < 1000; now++) {
		admit_ticket_t *ticket =
			take(admit, "a", 5, now, &result, &after);

		if (!ticket) {
			assert_int_equal(result, ADMIT_CALLER_RATE);
			continue;
		}
		g_ptr_array_add(tickets, ticket);
		admitted++;
	}
	assert_in_range(admitted, 14, 15);
	g_ptr_array_add(tickets, take(admit, "b", 5, 1000, NULL, NULL));
	release_all(admit, tickets);
}

static void test_concurrent_limits(void **state)
{
	admit_t *admit = admit_create(CAPACITY);
	GPtrArray *tickets = g_ptr_array_new();
	admit_limit_t one = {.concurrent = 1};
	admit_limit_t two = {.concurrent = 2};
	admit_result_t result;

	admit_limit_caller(admit, "a", &one);
	admit_limit_service(admit, "model", &two);
	g_ptr_array_add(tickets, take(admit, "a", 5, 0, NULL, NULL));
	assert_null(take(admit, "a", 5, 0, &result, NULL));
	assert_int_equal(result, ADMIT_CALLER_CONCURRENT);
	g_ptr_array_add(tickets, take(admit, "b", 5, 0, NULL, NULL));
	assert_null(take(admit, "b", 5, 0, &result, NULL));
	assert_int_equal(result, ADMIT_SERVICE_CONCURRENT);
	release_all(admit, tickets);
}

/* A request that an endpoint has started is no longer queued. */
static void test_queue_limits(void **state)
{
	admit_t *admit = admit_create(CAPACITY);
	GPtrArray *tickets = g_ptr_array_new();
	admit_limit_t one = {.queued = 1};
	admit_limit_t two = {.queued = 2};
	admit_result_t result;
	ms_t after = 0;

	admit_limit_caller(admit, "a", &one);
	admit_limit_service(admit, "model", &two);
	g_ptr_array_add(tickets, take(admit, "a", 5, 0, NULL, NULL));
	assert_null(take(admit, "a", 5, 0, &result, &after));
	assert_int_equal(result, ADMIT_CALLER_QUEUED);
	assert_true(after > 0);
	g_ptr_array_add(tickets, take(admit, "b", 5, 0, NULL, NULL));
	assert_null(take(admit, "b", 5, 0, &result, NULL));
	assert_int_equal(result, ADMIT_SERVICE_QUEUED);
	admit_started(admit, tickets->pdata[0]);
	admit_started(admit, tickets->pdata[0]);
	g_ptr_array_add(tickets, take(admit, "a", 5, 0, NULL, NULL));
	assert_non_null(tickets->pdata[2]);
	assert_null(take(admit, "b", 5, 0, &result, NULL));
	assert_int_equal(result, ADMIT_SERVICE_QUEUED);
	release_all(admit, tickets);
}

/* Admit as many requests of one priority as possible, one per caller. */
static void fill(admit_t *admit, GPtrArray *tickets, int priority)
{
	for (int i = 0; i < 2 * CAPACITY; i++) {
		char *caller = g_strdup_printf("c%d", i);
		admit_ticket_t *ticket =
			take(admit, caller, priority, 0, NULL, NULL);

		if (ticket)
			g_ptr_array_add(tickets, ticket);
		g_free(caller);
	}
}

static void test_low_priority_is_refused_first(void **state)
{
	admit_t *admit = admit_create(CAPACITY);
	GPtrArray *tickets = g_ptr_array_new();
	int64_t before;
	admit_result_t result;

	fill(admit, tickets, 0);
	before = admit_active(admit);
	assert_int_equal(before, 80);
	assert_null(take(admit, "late", 0, 0, &result, NULL));
	assert_int_equal(result, ADMIT_ENTRY_FULL);
	fill(admit, tickets, 5);
	assert_in_range(admit_active(admit), before + 1, CAPACITY - 1);
	fill(admit, tickets, 9);
	assert_int_equal(admit_active(admit), CAPACITY);
	assert_null(take(admit, "late", 9, 0, &result, NULL));
	assert_int_equal(result, ADMIT_ENTRY_FULL);
	release_all(admit, tickets);
}

/*
 * Two requests end per tick.  One caller sends one request per tick, the other
 * ten; each must get one of them admitted per tick.
 */
static void test_busy_callers_share_evenly(void **state)
{
	admit_t *admit = admit_create(CAPACITY);
	GQueue *open = g_queue_new();
	int admitted[2] = {0, 0};

	for (ms_t now = 0; now < TICKS; now++) {
		for (int i = 0; i < 11; i++) {
			int caller = i == 5;
			admit_ticket_t *ticket = take(admit, caller ? "b" : "a",
						      9, now, NULL, NULL);

			if (!ticket)
				continue;
			g_queue_push_tail(open, ticket);
			admitted[caller] += now >= TICKS / 2;
		}
		for (int i = 0; i < 2 && now >= CAPACITY; i++)
			admit_release(admit, g_queue_pop_head(open), now);
	}
	assert_in_range(admitted[0], TICKS * 45 / 100, TICKS * 55 / 100);
	assert_in_range(admitted[1], TICKS * 45 / 100, TICKS * 55 / 100);
	/* A caller without requests must still be admitted. */
	g_queue_push_tail(open, take(admit, "quiet", 9, TICKS, NULL, NULL));
	while (!g_queue_is_empty(open))
		admit_release(admit, g_queue_pop_head(open), TICKS);
	g_queue_free(open);
	admit_destroy(admit);
}

/* Retry-After must spread refused requests at the rate of releases. */
static void test_retry_after_follows_release_rate(void **state)
{
	admit_t *admit = admit_create(1);
	admit_ticket_t *ticket;
	ms_t now;
	ms_t after = 0;

	for (now = 0; now < WARM_UP_MS; now += RELEASE_INTERVAL_MS)
		admit_release(admit, take(admit, "a", 9, now, NULL, NULL), now);
	ticket = take(admit, "a", 9, now, NULL, NULL);
	for (int i = 0; i < 100; i++)
		assert_null(take(admit, "b", 9, now, NULL, &after));
	assert_in_range(after, 1000 - TOLERANCE, 1000 + TOLERANCE);
	/* Without releases Retry-After grows up to its maximum. */
	now += 10 * WARM_UP_MS;
	assert_null(take(admit, "b", 9, now, NULL, &after));
	assert_int_equal(after, ADMIT_RETRY_AFTER_MAX);
	admit_release(admit, ticket, now);
	admit_destroy(admit);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_rate_limit),
		cmocka_unit_test(test_concurrent_limits),
		cmocka_unit_test(test_queue_limits),
		cmocka_unit_test(test_low_priority_is_refused_first),
		cmocka_unit_test(test_busy_callers_share_evenly),
		cmocka_unit_test(test_retry_after_follows_release_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
