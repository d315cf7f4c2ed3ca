/* The ticker on a real loop: the interval of ticks, and early wake-up. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "serve/ticker.h"

#define TICKS	 10
#define EVENT_MS 20
#define END_MS	 80

typedef struct {
	uv_loop_t loop;
	ms_clock_t *clock;
	ticker_t *ticker;
	uv_timer_t event;
	uv_timer_t end;
	ms_t due;
	int ticks_max;
	int tick_count;
	ms_t last;
	ms_t interval_min;
	gboolean is_ended;
} fixture_t;

static void on_tick(void *ctx)
{
	fixture_t *fixture = ctx;
	ms_t now = ms_clock_now(fixture->clock);

	if (fixture->tick_count++)
		fixture->interval_min =
			MIN(fixture->interval_min, now - fixture->last);
	fixture->last = now;
	if (fixture->tick_count == fixture->ticks_max)
		uv_stop(&fixture->loop);
}

static ms_t on_due(void *ctx)
{
	const fixture_t *fixture = ctx;

	return fixture->due;
}

static void fixture_init(fixture_t *fixture, ms_t due, int ticks_max)
{
	static const ticker_actions_t actions = {on_tick, on_due};

	*fixture = (fixture_t){
		.due = due, .ticks_max = ticks_max, .interval_min = MS_NEVER};
	fixture->clock = ms_clock_create_system();
	uv_loop_init(&fixture->loop);
	fixture->ticker = ticker_create(&fixture->loop, fixture->clock,
					&actions, fixture);
}

static void close_handle(uv_handle_t *handle, void *arg)
{
	uv_close(handle, NULL);
}

static void fixture_release(fixture_t *fixture)
{
	uv_walk(&fixture->loop, close_handle, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
	ticker_destroy(fixture->ticker);
	ms_clock_destroy(fixture->clock);
}

/* The cached time of the loop may lag behind the clock of the ticker. */
#define SLACK_MS 1

static void test_min_interval(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 0, TICKS);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture.tick_count, TICKS);
	assert_true(fixture.interval_min >= TICKER_MIN_MS - SLACK_MS);
	assert_true(fixture.interval_min < TICKER_MAX_MS);
	fixture_release(&fixture);
}

static void test_max_interval(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, MS_NEVER, TICKS);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture.tick_count, TICKS);
	assert_true(fixture.interval_min >= TICKER_MAX_MS - SLACK_MS);
	fixture_release(&fixture);
}

static void on_end(uv_timer_t *timer)
{
	fixture_t *fixture = timer->data;

	fixture->is_ended = TRUE;
	uv_stop(&fixture->loop);
}

/* Make a tick due immediately; it must come before the end timer. */
static void on_event(uv_timer_t *timer)
{
	fixture_t *fixture = timer->data;

	fixture->due = 0;
	uv_timer_start(&fixture->end, on_end, END_MS - EVENT_MS, 0);
}

static void test_early_due(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, MS_NEVER, 1);
	uv_timer_init(&fixture.loop, &fixture.event);
	uv_timer_init(&fixture.loop, &fixture.end);
	fixture.event.data = &fixture;
	fixture.end.data = &fixture;
	uv_timer_start(&fixture.event, on_event, EVENT_MS, 0);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_int_equal(fixture.tick_count, 1);
	assert_false(fixture.is_ended);
	fixture_release(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_min_interval),
		cmocka_unit_test(test_max_interval),
		cmocka_unit_test(test_early_due),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
