#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

/*
 * System and manual clocks with millisecond resolution.
 *
 * Decision code receives the current time as an ms_t argument with every event
 * and never reads a clock itself.  Programs use the system clock; tests and
 * experiments use a manual clock that they advance themselves.
 *
 * The system clock is monotonic and includes the time during which the process
 * was stopped or the machine suspended.
 */

#include <stdint.h>

/* A point in time or a duration, in milliseconds. */
typedef int64_t ms_t;

#define MS_PER_S 1000

/* Later than any point in time that a clock reports. */
#define MS_NEVER INT64_MAX

typedef struct ms_clock ms_clock_t;

/* Creates a clock that reads the monotonic time of the machine. */
ms_clock_t *ms_clock_create_system(void);

/* Creates a clock that changes only through ms_clock_advance(). */
ms_clock_t *ms_clock_create_manual(ms_t start);

void ms_clock_destroy(ms_clock_t *clock);

/* Returns the current time, in milliseconds since an arbitrary point. */
ms_t ms_clock_now(const ms_clock_t *clock);

/* Advances a manual clock; duration must not be negative. */
void ms_clock_advance(ms_clock_t *clock, ms_t duration);

/* Returns the Unix time in milliseconds, for log lines and records. */
ms_t ms_clock_wall(void);

#endif
