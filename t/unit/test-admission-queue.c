/* Admission to an engine, each test with the load that it is for. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hold/admission_queue.h"

#define PLACES	       8
#define PREFILL_PER_MS 40.0
#define TICK_MS	       10
#define PATIENT	       ((ms_t)60000)

/* Each ticket's data is the time at which it was let through, or -1. */
static ms_t now;

static void on_go(void *ctx, ticket_t *ticket)
{
	*(ms_t *)ticket_data(ticket) = now;
}

static admission_queue_t *create(void)
{
	static const admission_queue_options_t options = {PLACES,
							  PREFILL_PER_MS};
	static const admission_queue_actions_t actions = {on_go};

	now = 0;
	return admission_queue_create(&options, &actions, NULL);
}

static ticket_t *submit(admission_queue_t *admission_queue, int64_t prompt,
			int priority, ms_t wait_max, ms_t *gone)
{
	admission_queue_request_t request = {prompt, priority, wait_max};
	ms_t wait;

	*gone = -1;
	return admission_queue_submit(admission_queue, now, &request, gone,
				      &wait);
}

static void run_until(admission_queue_t *admission_queue, ms_t end)
{
	for (; now <= end; now += TICK_MS)
		admission_queue_tick(admission_queue, now);
}

/* Many prompts at once: in no quarter second do they take most of its time. */
static void test_prompts_are_spread(void **state)
{
	admission_queue_t *admission_queue = create();
	ticket_t *tickets[40];
	ms_t gone[40];
	ms_t at;
	int i;

	for (i = 0; i < 40; i++)
		tickets[i] =
			submit(admission_queue, 1000, 0, PATIENT, &gone[i]);
	/* Places are no bound here: each runs for 100 ms. */
	for (; now < 20000; now += TICK_MS) {
		admission_queue_tick(admission_queue, now);
		for (i = 0; i < 40; i++) {
			if (tickets[i] && gone[i] >= 0 &&
			    now - gone[i] >= 100) {
				admission_queue_done(admission_queue, now,
						     tickets[i], TRUE);
				tickets[i] = NULL;
			}
		}
	}
	for (at = 0; at < 20000; at += TICK_MS) {
		double reading = 0;

		for (i = 0; i < 40; i++) {
			assert_true(gone[i] >= 0);
			if (gone[i] >= at && gone[i] < at + 250)
				reading += 1000 / PREFILL_PER_MS;
		}
		assert_true(reading <= 250 * GATE_PREFILL_SHARE +
					       GATE_PREFILL_BURST_MS + 25);
	}
	admission_queue_destroy(admission_queue);
}

/* One prompt that is longer than a burst is let through all the same. */
static void test_long_prompt(void **state)
{
	admission_queue_t *admission_queue = create();
	ms_t gone[2];

	submit(admission_queue, 20000, 0, PATIENT, &gone[0]);
	submit(admission_queue, 100, 0, PATIENT, &gone[1]);
	run_until(admission_queue, 0);
	assert_true(gone[0] == 0);
	assert_true(gone[1] < 0);
	run_until(admission_queue, 3000);
	/* The engine needs 500 ms for it, and half of its time is for streams.
	 */
	assert_in_range(gone[1], 500, 1100);
	admission_queue_destroy(admission_queue);
}

/* All places taken: urgent requests go before those that came earlier. */
static void test_priority(void **state)
{
	admission_queue_t *admission_queue = create();
	ticket_t *running[PLACES];
	ms_t gone[PLACES];
	ms_t late[2];
	int i;

	for (i = 0; i < PLACES; i++)
		running[i] = submit(admission_queue, 1, 0, PATIENT, &gone[i]);
	run_until(admission_queue, 100);
	submit(admission_queue, 1, 2, PATIENT, &late[0]);
	submit(admission_queue, 1, 0, PATIENT, &late[1]);
	run_until(admission_queue, 200);
	assert_int_equal(admission_queue_running(admission_queue), PLACES);
	assert_int_equal(admission_queue_waiting(admission_queue), 2);
	admission_queue_done(admission_queue, now, running[0], TRUE);
	run_until(admission_queue, 300);
	assert_true(late[1] >= 0);
	assert_true(late[0] < 0);
	admission_queue_done(admission_queue, now, running[1], TRUE);
	run_until(admission_queue, 400);
	assert_true(late[0] >= 0);
	admission_queue_destroy(admission_queue);
}

/* Overload: what would wait too long is refused at once, with its wait. */
static void test_refused_at_once(void **state)
{
	admission_queue_t *admission_queue = create();
	admission_queue_request_t request = {1, 1, 300};
	ms_t gone[PLACES + 8];
	ms_t wait;
	int i;

	for (i = 0; i < PLACES; i++)
		submit(admission_queue, 1, 1, PATIENT, &gone[i]);
	run_until(admission_queue, 50);
	for (i = 0; i < 8; i++)
		submit(admission_queue, 1, 1, PATIENT, &gone[PLACES + i]);
	assert_null(admission_queue_submit(admission_queue, now, &request,
					   &gone[0], &wait));
	/* Eight are ahead of it and eight places free up in a run's time. */
	assert_in_range(wait, GATE_RUN_FIRST_MS, 2 * GATE_RUN_FIRST_MS);
	/* A more urgent one waits for one place only. */
	request.priority = 0;
	assert_non_null(admission_queue_submit(admission_queue, now, &request,
					       &gone[0], &wait));
	assert_in_range(wait, 1, 300);
	admission_queue_destroy(admission_queue);
}

/* A request that gives up while it waits leaves no trace. */
static void test_given_up(void **state)
{
	admission_queue_t *admission_queue = create();
	ms_t gone[2];
	ticket_t *big = submit(admission_queue, 20000, 0, PATIENT, &gone[0]);
	ticket_t *waiting = submit(admission_queue, 1000, 0, PATIENT, &gone[1]);

	run_until(admission_queue, 10);
	assert_true(ticket_is_waiting(waiting));
	admission_queue_done(admission_queue, now, waiting, TRUE);
	admission_queue_done(admission_queue, now, big, TRUE);
	assert_int_equal(admission_queue_running(admission_queue), 0);
	assert_int_equal(admission_queue_waiting(admission_queue), 0);
	run_until(admission_queue, 3000);
	assert_true(gone[1] < 0);
	admission_queue_destroy(admission_queue);
}

/*
 * An engine says that it has not run a long prompt, since its adapter was not
 * there yet.  The same prompt comes again at once, and doesn't pay twice.
 */
static void test_prompt_not_run_costs_nothing(void **state)
{
	admission_queue_t *admission_queue = create();
	admission_queue_request_t request = {.prompt = 8000, .wait_max = 100};
	ticket_t *ticket;
	ms_t gone;
	ms_t wait;

	ticket = admission_queue_submit(admission_queue, now, &request, &gone,
					&wait);
	admission_queue_tick(admission_queue, now);
	assert_int_equal(admission_queue_running(admission_queue), 1);
	now += 20;
	admission_queue_done(admission_queue, now, ticket, FALSE);
	assert_non_null(admission_queue_submit(admission_queue, now, &request,
					       &gone, &wait));
	assert_int_equal(wait, 0);
	admission_queue_destroy(admission_queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prompts_are_spread),
		cmocka_unit_test(test_long_prompt),
		cmocka_unit_test(test_priority),
		cmocka_unit_test(test_refused_at_once),
		cmocka_unit_test(test_prompt_not_run_costs_nothing),
		cmocka_unit_test(test_given_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
