#include "hold/patience.h"

#include <glib.h>
#include <math.h>

void patience_init(patience_t *patience, ms_t now)
{
	patience->mean_wait = 0;
	patience->updated_at = now;
}

ms_t patience_limit(patience_t *patience, ms_t now, ms_t estimate, ms_t goal,
		    ms_t max)
{
	double elapsed = (double)(now - patience->updated_at);
	double weight = 1 - exp(-elapsed / PATIENCE_BURST_MS);

	patience->mean_wait +=
		weight * ((double)estimate - patience->mean_wait);
	patience->updated_at = now;
	return patience->mean_wait > (double)goal / 2 ? MIN(goal, max) : max;
}
