#include "hold/patience.h"

#include <glib.h>
#include <math.h>

void patience_init(patience_t *patience, ms_t now)
{
	patience->mean_wait = 0;
	patience->updated_at = now;
}

ms_t patience_limit(patience_t *patience, ms_t now, ms_t queue_wait, ms_t goal,
		    ms_t max)
{
	ms_t elapsed = MIN(now - patience->updated_at, PATIENCE_SAMPLE_MAX_MS);
	double weight = 1 - exp(-(double)elapsed / PATIENCE_BURST_MS);

	patience->mean_wait +=
		weight * ((double)queue_wait - patience->mean_wait);
	patience->updated_at = now;
	return patience->mean_wait > PATIENCE_GOAL_SHARE * (double)goal
		       ? MIN(goal, max)
		       : max;
}
