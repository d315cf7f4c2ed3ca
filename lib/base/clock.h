#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

/*
 * The one clock of the project, in milliseconds.
 *
 * Decision code is handed the time as ms_t with every event and never reads a
 * clock itself.  Programs read the system clock; tests and experiments own a
 * manual clock and move it.
 *
 * The system clock is monotonic: it never goes back, and it counts the time
 * during which the process was paused or the machine suspended.
 */

#include <stdint.h>

/* A point in time or a duration, in milliseconds. */
typedef int64_t ms_t;

#define MS_PER_S 1000

/* Later than any point in time that a clock reports. */
#define MS_NEVER INT64_MAX

typedef struct ms_clock ms_clock_t;

/* A clock that follows the monotonic time of the machine. */
ms_clock_t *ms_clock_create_system(void);

/* A clock that stands still until ms_clock_advance() moves it. */
ms_clock_t *ms_clock_create_manual(ms_t start);

void ms_clock_destroy(ms_clock_t *clock);

/* The present time, in milliseconds since an arbitrary point. */
ms_t ms_clock_now(const ms_clock_t *clock);

/* Move a manual clock forward by a duration that is not negative. */
void ms_clock_advance(ms_clock_t *clock, ms_t duration);

/* Milliseconds since 1970, for log lines and records read by people. */
ms_t ms_clock_wall(void);

#endif
