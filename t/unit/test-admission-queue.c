/* Admission to an engine; each comment names the load that a test models. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/admission_queue.h"

#define PLACES	       8
#define PREFILL_PER_MS 40.0
#define TICK_MS	       10
#define LONG_WAIT_MS   ((ms_t)60000)

/* The data of each ticket points to its admission time, or -1. */
static ms_t now;

static void on_admitted(void *ctx, ticket_t *ticket)
{
	*(ms_t *)ticket_data(ticket) = now;
}

static admission_queue_t *create_gate(void)
{
	static const admission_queue_options_t options = {
		.places = PLACES, .prefill_per_ms = PREFILL_PER_MS};
	static const admission_queue_actions_t actions = {on_admitted};

	now = 0;
	return admission_queue_create(&options, &actions, NULL);
}

static ticket_t *submit(admission_queue_t *admission_queue, int64_t prompt,
			int priority, ms_t wait_max, ms_t *admitted_at)
{
	admission_queue_request_t request = {
		.prompt = prompt, .priority = priority, .wait_max = wait_max};
	ms_t wait;

	*admitted_at = -1;
	return admission_queue_submit(admission_queue, now, &request,
				      admitted_at, &wait);
}

static void tick_until(admission_queue_t *admission_queue, ms_t end)
{
	for (; now <= end; now += TICK_MS)
		admission_queue_tick(admission_queue, now);
}

/*
 * Many prompts at once: in any 250 ms their prefill takes no more than its
 * share of the engine's time, one burst, and one prompt (25 ms).
 */
static void test_prompts_spread_out(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	ticket_t *tickets[40];
	ms_t admitted_at[40];
	ms_t at;
	int i;

	for (i = 0; i < 40; i++)
		tickets[i] = submit(admission_queue, 1000, 0, LONG_WAIT_MS,
				    &admitted_at[i]);
	/* Each request runs for 100 ms, so the places are not the limit. */
	for (; now < 20000; now += TICK_MS) {
		admission_queue_tick(admission_queue, now);
		for (i = 0; i < 40; i++) {
			if (tickets[i] && admitted_at[i] >= 0 &&
			    now - admitted_at[i] >= 100) {
				admission_queue_done(admission_queue, now,
						     tickets[i], TRUE);
				tickets[i] = NULL;
			}
		}
	}
	for (at = 0; at < 20000; at += TICK_MS) {
		double prefill = 0;

		for (i = 0; i < 40; i++) {
			assert_true(admitted_at[i] >= 0);
			if (admitted_at[i] >= at && admitted_at[i] < at + 250)
				prefill += 1000 / PREFILL_PER_MS;
		}
		assert_true(prefill <= 250 * ADMISSION_PREFILL_SHARE +
					       ADMISSION_PREFILL_BURST_MS + 25);
	}
	admission_queue_destroy(admission_queue);
}

/* A prompt that exceeds the burst size is admitted and delays the next. */
static void test_long_prompt(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	ms_t admitted_at[2];

	submit(admission_queue, 20000, 0, LONG_WAIT_MS, &admitted_at[0]);
	submit(admission_queue, 100, 0, LONG_WAIT_MS, &admitted_at[1]);
	tick_until(admission_queue, 0);
	assert_true(admitted_at[0] == 0);
	assert_true(admitted_at[1] < 0);
	tick_until(admission_queue, 3000);
	/* Its prefill takes 500 ms, at half of the engine's time. */
	assert_in_range(admitted_at[1], 500, 1100);
	admission_queue_destroy(admission_queue);
}

/* If all places are in use, a higher priority goes before older requests. */
static void test_priority(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	ticket_t *running[PLACES];
	ms_t admitted_at[PLACES];
	ms_t later_admitted_at[2];
	int i;

	for (i = 0; i < PLACES; i++)
		running[i] = submit(admission_queue, 1, 0, LONG_WAIT_MS,
				    &admitted_at[i]);
	tick_until(admission_queue, 100);
	submit(admission_queue, 1, 2, LONG_WAIT_MS, &later_admitted_at[0]);
	submit(admission_queue, 1, 0, LONG_WAIT_MS, &later_admitted_at[1]);
	tick_until(admission_queue, 200);
	assert_int_equal(admission_queue_running(admission_queue), PLACES);
	assert_int_equal(admission_queue_waiting(admission_queue), 2);
	admission_queue_done(admission_queue, now, running[0], TRUE);
	tick_until(admission_queue, 300);
	assert_true(later_admitted_at[1] >= 0);
	assert_true(later_admitted_at[0] < 0);
	admission_queue_done(admission_queue, now, running[1], TRUE);
	tick_until(admission_queue, 400);
	assert_true(later_admitted_at[0] >= 0);
	admission_queue_destroy(admission_queue);
}

/* Overload: a request that would wait too long is refused at once. */
static void test_long_wait_is_refused(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	admission_queue_request_t request = {
		.prompt = 1, .priority = 1, .wait_max = 300};
	ms_t admitted_at[PLACES + 8];
	ms_t wait;
	int i;

	for (i = 0; i < PLACES; i++)
		submit(admission_queue, 1, 1, LONG_WAIT_MS, &admitted_at[i]);
	tick_until(admission_queue, 50);
	for (i = 0; i < 8; i++)
		submit(admission_queue, 1, 1, LONG_WAIT_MS,
		       &admitted_at[PLACES + i]);
	assert_null(admission_queue_submit(admission_queue, now, &request,
					   &admitted_at[0], &wait));
	/* Eight requests are ahead, and a run time frees eight places. */
	assert_in_range(wait, ADMISSION_INITIAL_RUN_MS,
			2 * ADMISSION_INITIAL_RUN_MS);
	/* A higher priority waits for one place only. */
	request.priority = 0;
	assert_non_null(admission_queue_submit(admission_queue, now, &request,
					       &admitted_at[0], &wait));
	assert_in_range(wait, 1, 300);
	admission_queue_destroy(admission_queue);
}

/* A request that is cancelled while it waits is never admitted. */
static void test_cancelled(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	ms_t admitted_at[2];
	ticket_t *big = submit(admission_queue, 20000, 0, LONG_WAIT_MS,
			       &admitted_at[0]);
	ticket_t *waiting =
		submit(admission_queue, 1000, 0, LONG_WAIT_MS, &admitted_at[1]);

	tick_until(admission_queue, 10);
	assert_true(ticket_is_waiting(waiting));
	admission_queue_done(admission_queue, now, waiting, TRUE);
	admission_queue_done(admission_queue, now, big, TRUE);
	assert_int_equal(admission_queue_running(admission_queue), 0);
	assert_int_equal(admission_queue_waiting(admission_queue), 0);
	tick_until(admission_queue, 3000);
	assert_true(admitted_at[1] < 0);
	admission_queue_destroy(admission_queue);
}

/*
 * An engine answers that it did not run a long prompt, as its adapter was not
 * loaded yet.  Its prefill credit is returned, so that a retry is admitted at
 * once.
 */
static void test_prompt_not_run_returns_credit(void **state)
{
	admission_queue_t *admission_queue = create_gate();
	admission_queue_request_t request = {.prompt = 8000, .wait_max = 100};
	ticket_t *ticket;
	ms_t admitted_at;
	ms_t wait;

	ticket = admission_queue_submit(admission_queue, now, &request,
					&admitted_at, &wait);
	admission_queue_tick(admission_queue, now);
	assert_int_equal(admission_queue_running(admission_queue), 1);
	now += 20;
	admission_queue_done(admission_queue, now, ticket, FALSE);
	assert_non_null(admission_queue_submit(admission_queue, now, &request,
					       &admitted_at, &wait));
	assert_int_equal(wait, 0);
	admission_queue_destroy(admission_queue);
}

/* What a short prompt would wait for behind what was charged, in ms. */
static ms_t wait_of_short_prompt(admission_queue_t *admission_queue)
{
	admission_queue_request_t request = {.prompt = 40, .wait_max = 100};

	return admission_queue_estimate_wait(admission_queue, now, &request);
}

/*
 * Guards against a caller that states a huge prompt, leaves at once, and so
 * closes the engine for everybody (review/9).
 */
static void test_stated_prompt_is_given_back(void **state)
{
	static const int64_t stated[] = {10000000, 9000000000000000000};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(stated); i++) {
		admission_queue_t *admission_queue = create_gate();
		ms_t admitted_at;
		ticket_t *ticket = submit(admission_queue, stated[i], 0, 100,
					  &admitted_at);

		admission_queue_tick(admission_queue, now);
		assert_int_equal(admission_queue_running(admission_queue), 1);
		/* While it runs, it counts as the longest prompt. */
		assert_true(wait_of_short_prompt(admission_queue) <=
			    ADMISSION_PROMPT_MAX / PREFILL_PER_MS /
				    ADMISSION_PREFILL_SHARE);
		now += 5;
		admission_queue_done(admission_queue, now, ticket, TRUE);
		assert_true(wait_of_short_prompt(admission_queue) <=
			    5 / ADMISSION_PREFILL_SHARE);
		admission_queue_destroy(admission_queue);
	}
}

#define SEARCH_SEEDS   200
#define SEARCH_STEPS   400
#define SEARCH_TICKETS 8

/*
 * Guards against a charge that is not given back, or twice: requests of any
 * size end in any way at any time.  Once none runs, no more is owed than the
 * time that they were at the engine, and no credit is left over.
 */
static void test_charges_are_given_back(void **state)
{
	guint32 seed;

	for (seed = 1; seed <= SEARCH_SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		admission_queue_t *admission_queue = create_gate();
		ticket_t *tickets[SEARCH_TICKETS] = {NULL};
		ms_t admitted_at[SEARCH_TICKETS];
		double used = 0;
		int step;
		int i;

		for (step = 0; step < SEARCH_STEPS + SEARCH_TICKETS; step++) {
			gboolean is_ending = step >= SEARCH_STEPS;

			i = is_ending
				    ? step - SEARCH_STEPS
				    : g_rand_int_range(rand, 0, SEARCH_TICKETS);
			if (tickets[i]) {
				gboolean has_run = g_rand_boolean(rand);

				if (has_run && admitted_at[i] >= 0)
					used += (double)(now - admitted_at[i]);
				admission_queue_done(admission_queue, now,
						     tickets[i], has_run);
				tickets[i] = NULL;
			} else if (!is_ending) {
				tickets[i] =
					submit(admission_queue,
					       (int64_t)1 << g_rand_int_range(
						       rand, 0, 63),
					       g_rand_int_range(rand, 0, 3),
					       10000000, &admitted_at[i]);
			}
			now += g_rand_int_range(rand, 0, 20);
			admission_queue_tick(admission_queue, now);
		}
		assert_int_equal(admission_queue_running(admission_queue), 0);
		assert_int_equal(admission_queue_waiting(admission_queue), 0);
		if ((double)wait_of_short_prompt(admission_queue) >
		    used / ADMISSION_PREFILL_SHARE)
			fail_msg("seed %u: more is owed than was used", seed);
		/* Not more than a burst is there either. */
		now += 100000;
		admission_queue_tick(admission_queue, now);
		submit(admission_queue, PREFILL_PER_MS * 1000, 0, 100000,
		       &admitted_at[0]);
		admission_queue_tick(admission_queue, now);
		assert_true(wait_of_short_prompt(admission_queue) > 0);
		admission_queue_destroy(admission_queue);
		g_rand_free(rand);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prompts_spread_out),
		cmocka_unit_test(test_long_prompt),
		cmocka_unit_test(test_priority),
		cmocka_unit_test(test_long_wait_is_refused),
		cmocka_unit_test(test_prompt_not_run_returns_credit),
		cmocka_unit_test(test_cancelled),
		cmocka_unit_test(test_stated_prompt_is_given_back),
		cmocka_unit_test(test_charges_are_given_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
