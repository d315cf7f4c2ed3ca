#ifndef SERVE_TICKER_H
#define SERVE_TICKER_H

/*
 * Calls the tick function of decision code on a libuv loop when it is due.
 *
 * due() is called each time before the loop blocks, so that an event that makes
 * something due earlier needs no notification.  Ticks are at least
 * TICKER_MIN_MS apart, to batch work, and at most TICKER_MAX_MS, so that due()
 * may leave out what can wait for longer than that.
 */

#include <uv.h>

#include "base/clock.h"

#define TICKER_MIN_MS 10
#define TICKER_MAX_MS 100

typedef struct ticker ticker_t;

typedef struct {
	void (*tick)(void *ctx);
	/*
	 * The time of the next tick, or MS_NEVER.  It is called in each
	 * iteration of the loop and must be cheap.
	 */
	ms_t (*due)(void *ctx);
} ticker_actions_t;

/* The clock must outlive the ticker. */
ticker_t *ticker_create(uv_loop_t *loop, const ms_clock_t *clock,
			const ticker_actions_t *actions, void *ctx);

/* Free the ticker; to be called after the loop has ended. */
void ticker_destroy(ticker_t *ticker);

#endif
