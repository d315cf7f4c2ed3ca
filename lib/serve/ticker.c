#include "serve/ticker.h"

#include <glib.h>

struct ticker {
	const ms_clock_t *clock;
	ticker_actions_t actions;
	void *ctx;
	uv_timer_t timer;
	uv_prepare_t prepare;
	ms_t last;
	ms_t next; /* expiry of the timer; MS_NEVER if it is stopped */
};

static void on_timer(uv_timer_t *timer)
{
	ticker_t *ticker = timer->data;

	ticker->last = ms_clock_now(ticker->clock);
	ticker->next = MS_NEVER;
	ticker->actions.tick(ticker->ctx);
}

static void on_prepare(uv_prepare_t *prepare)
{
	ticker_t *ticker = prepare->data;
	ms_t earliest = ticker->last + TICKER_MIN_MS;
	ms_t latest = ticker->last + TICKER_MAX_MS;
	ms_t now;
	ms_t due;

	if (ticker->next == earliest)
		return;
	due = ticker->actions.due(ticker->ctx);
	due = CLAMP(due, earliest, latest);
	if (due == ticker->next)
		return;
	ticker->next = due;
	now = ms_clock_now(ticker->clock);
	uv_timer_start(&ticker->timer, on_timer, (uint64_t)MAX(due - now, 0),
		       0);
}

ticker_t *ticker_create(uv_loop_t *loop, const ms_clock_t *clock,
			const ticker_actions_t *actions, void *ctx)
{
	ticker_t *ticker = g_new0(ticker_t, 1);

	ticker->clock = clock;
	ticker->actions = *actions;
	ticker->ctx = ctx;
	ticker->last = ms_clock_now(clock);
	ticker->next = MS_NEVER;
	uv_timer_init(loop, &ticker->timer);
	ticker->timer.data = ticker;
	uv_prepare_init(loop, &ticker->prepare);
	ticker->prepare.data = ticker;
	uv_prepare_start(&ticker->prepare, on_prepare);
	return ticker;
}

void ticker_destroy(ticker_t *ticker)
{
	g_free(ticker);
}
