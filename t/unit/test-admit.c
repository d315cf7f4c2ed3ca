/* Admission: limits, priorities, fairness, and what Retry-After says. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/admit.h"

#define PLACES	  100
#define DRAIN_MS  10 /* between two ends: 100 a second */
#define TICKS	  2000
#define WARM_UP	  10000
#define TOLERANCE 300

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

static void test_rate_of_a_caller(void **state)
{
	admit_t *admit = admit_create(PLACES);
	GPtrArray *tickets = g_ptr_array_new();
	admit_limit_t limit = {.rate = 10, .burst = 5};
	admit_result_t result;
	ms_t after;
	int taken = 0;

	admit_limit_caller(admit, "a", &limit);
	for (ms_t now = 0; now < 1000; now++) {
		admit_ticket_t *ticket =
			take(admit, "a", 5, now, &result, &after);

		if (!ticket) {
			assert_int_equal(result, ADMIT_CALLER_RATE);
			continue;
		}
		g_ptr_array_add(tickets, ticket);
		taken++;
	}
	assert_in_range(taken, 14, 15);
	g_ptr_array_add(tickets, take(admit, "b", 5, 1000, NULL, NULL));
	release_all(admit, tickets);
}

static void test_concurrent_limits(void **state)
{
	admit_t *admit = admit_create(PLACES);
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

/* What an endpoint has begun waits no longer. */
static void test_queue_limits(void **state)
{
	admit_t *admit = admit_create(PLACES);
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

/* Many callers of one priority fill the entry as far as they may. */
static void fill(admit_t *admit, GPtrArray *tickets, int priority)
{
	for (int i = 0; i < 2 * PLACES; i++) {
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
	admit_t *admit = admit_create(PLACES);
	GPtrArray *tickets = g_ptr_array_new();
	int64_t before;
	admit_result_t result;

	fill(admit, tickets, 0);
	before = admit_active(admit);
	assert_int_equal(before, 80);
	assert_null(take(admit, "late", 0, 0, &result, NULL));
	assert_int_equal(result, ADMIT_ENTRY_FULL);
	fill(admit, tickets, 5);
	assert_in_range(admit_active(admit), before + 1, PLACES - 1);
	fill(admit, tickets, 9);
	assert_int_equal(admit_active(admit), PLACES);
	assert_null(take(admit, "late", 9, 0, &result, NULL));
	assert_int_equal(result, ADMIT_ENTRY_FULL);
	release_all(admit, tickets);
}

/*
 * Places come free at two a tick; one caller sends one request a tick, the
 * other ten.  Each gets one place a tick.
 */
static void test_busy_callers_share_evenly(void **state)
{
	admit_t *admit = admit_create(PLACES);
	GQueue *open = g_queue_new();
	int taken[2] = {0, 0};

	for (ms_t now = 0; now < TICKS; now++) {
		for (int i = 0; i < 11; i++) {
			int who = i == 5;
			admit_ticket_t *ticket = take(admit, who ? "b" : "a", 9,
						      now, NULL, NULL);

			if (!ticket)
				continue;
			g_queue_push_tail(open, ticket);
			taken[who] += now >= TICKS / 2;
		}
		for (int i = 0; i < 2 && now >= PLACES; i++)
			admit_release(admit, g_queue_pop_head(open), now);
	}
	assert_in_range(taken[0], TICKS * 45 / 100, TICKS * 55 / 100);
	assert_in_range(taken[1], TICKS * 45 / 100, TICKS * 55 / 100);
	/* A quiet caller still finds room. */
	g_queue_push_tail(open, take(admit, "quiet", 9, TICKS, NULL, NULL));
	while (!g_queue_is_empty(open))
		admit_release(admit, g_queue_pop_head(open), TICKS);
	g_queue_free(open);
	admit_destroy(admit);
}

/* Those refused are spread at the rate at which places come free. */
static void test_retry_after_follows_the_drain(void **state)
{
	admit_t *admit = admit_create(1);
	admit_ticket_t *ticket;
	ms_t now;
	ms_t after = 0;

	for (now = 0; now < WARM_UP; now += DRAIN_MS)
		admit_release(admit, take(admit, "a", 9, now, NULL, NULL), now);
	ticket = take(admit, "a", 9, now, NULL, NULL);
	for (int i = 0; i < 100; i++)
		assert_null(take(admit, "b", 9, now, NULL, &after));
	assert_in_range(after, 1000 - TOLERANCE, 1000 + TOLERANCE);
	/* When nothing ends any more the wait is long, but bounded. */
	now += 10 * WARM_UP;
	assert_null(take(admit, "b", 9, now, NULL, &after));
	assert_int_equal(after, ADMIT_RETRY_AFTER_MAX);
	admit_release(admit, ticket, now);
	admit_destroy(admit);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_of_a_caller),
		cmocka_unit_test(test_concurrent_limits),
		cmocka_unit_test(test_queue_limits),
		cmocka_unit_test(test_low_priority_is_refused_first),
		cmocka_unit_test(test_busy_callers_share_evenly),
		cmocka_unit_test(test_retry_after_follows_the_drain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
