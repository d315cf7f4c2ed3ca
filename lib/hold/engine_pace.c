#include "hold/engine_pace.h"

#include <stdlib.h>
#include <string.h>

void engine_pace_init(engine_pace_t *pace)
{
	memset(pace, 0, sizeof(*pace));
}

void engine_pace_note(engine_pace_t *pace, ms_t now, int percent)
{
	guint at = pace->count % ENGINE_PACE_STATEMENTS;

	if (percent <= 0)
		return;
	pace->percent[at] = CLAMP(percent, ENGINE_PACE_MIN_PERCENT,
				  ENGINE_PACE_MAX_PERCENT);
	pace->noted_at[at] = now;
	pace->count++;
}

static int compare_percent(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

int engine_pace_stated(const engine_pace_t *pace, ms_t now)
{
	int young[ENGINE_PACE_STATEMENTS];
	guint kept = MIN(pace->count, ENGINE_PACE_STATEMENTS);
	guint count = 0;
	guint i;

	for (i = 0; i < kept; i++) {
		if (now - pace->noted_at[i] < ENGINE_PACE_AGE_MS)
			young[count++] = pace->percent[i];
	}
	if (!count)
		return 0;
	qsort(young, count, sizeof(young[0]), compare_percent);
	/* Of two the lower one: a momentary figure is a high one. */
	return young[(count - 1) / 2];
}

int engine_pace_percent(const engine_pace_t *pace, ms_t now)
{
	int stated = engine_pace_stated(pace, now);

	return stated ? stated : ENGINE_PACE_USUAL_PERCENT;
}
