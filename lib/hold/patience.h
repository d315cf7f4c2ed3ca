#ifndef HOLD_PATIENCE_H
#define HOLD_PATIENCE_H

/*
 * How long requests may wait in a queue.
 *
 * A burst is served late rather than refused: the queue empties by itself.  A
 * queue that stays long makes all answers late and serves nobody more, so after
 * some time only requests that can still be answered in time are let in
 * (compare CoDel, RFC 8289).
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include "base/clock.h"

/* Time constant of the moving average of waits. */
#define PATIENCE_BURST_MS 2000

typedef struct {
	double mean_wait; /* moving average of the expected waits, in ms */
	ms_t updated_at;
} patience_t;

void patience_init(patience_t *patience, ms_t now);

/*
 * Returns the longest wait that is allowed for a request that comes now and is
 * expected to wait for the estimate.  It is max, or goal while waits have taken
 * half of the goal or more for some time, so that there is none left for the
 * rest of the answer.
 */
ms_t patience_limit(patience_t *patience, ms_t now, ms_t estimate, ms_t goal,
		    ms_t max);

#endif
