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

/* The longest time for which one request stands in that average. */
#define PATIENCE_SAMPLE_MAX_MS 500

/* The share of the goal above which a mean wait leaves too little of it. */
#define PATIENCE_GOAL_SHARE 0.25

typedef struct {
	double mean_wait; /* moving average of the waits in the queue, in ms */
	ms_t updated_at;
} patience_t;

void patience_init(patience_t *patience, ms_t now);

/*
 * Returns the longest wait that is allowed for a request that comes now and is
 * expected to wait in the queue for queue_wait, without what it takes itself.
 * It is max, or goal while waits have taken too much of the goal for some time.
 */
ms_t patience_limit(patience_t *patience, ms_t now, ms_t queue_wait, ms_t goal,
		    ms_t max);

#endif
