#include "base/clock.h"

#include <glib.h>
#include <time.h>

#define US_PER_MS 1000
#define NS_PER_MS 1000000

struct ms_clock {
	int is_manual;
	ms_t manual_now;
};

ms_clock_t *ms_clock_create_system(void)
{
	return g_new0(ms_clock_t, 1);
}

ms_clock_t *ms_clock_create_manual(ms_t start)
{
	ms_clock_t *clock = g_new0(ms_clock_t, 1);

	clock->is_manual = 1;
	clock->manual_now = start;
	return clock;
}

void ms_clock_destroy(ms_clock_t *clock)
{
	g_free(clock);
}

ms_t ms_clock_now(const ms_clock_t *clock)
{
	struct timespec time;

	if (clock->is_manual)
		return clock->manual_now;
	/* CLOCK_MONOTONIC does not advance while the machine is suspended. */
	clock_gettime(CLOCK_BOOTTIME, &time);
	return (ms_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

void ms_clock_advance(ms_clock_t *clock, ms_t duration)
{
	g_assert(clock->is_manual);
	g_assert(duration >= 0);
	clock->manual_now += duration;
}

ms_t ms_clock_wall(void)
{
	return g_get_real_time() / US_PER_MS;
}
