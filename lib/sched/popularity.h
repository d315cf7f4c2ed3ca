#ifndef SCHED_POPULARITY_H
#define SCHED_POPULARITY_H

/*
 * Request rates of adapters, computed from exponentially decayed counts.
 *
 * A count loses half of its weight in each half-life.  Memory is bounded: when
 * the limit of names is reached, the quarter with the lowest weights is
 * evicted.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct popularity popularity_t;

/* Keep at most limit names; half_life is in milliseconds. */
popularity_t *popularity_create(unsigned int limit, ms_t half_life);

void popularity_destroy(popularity_t *popularity);

/* Add an event of the given weight to a name.  The name is copied. */
void popularity_add(popularity_t *popularity, ms_t now, const char *name,
		    double weight);

/* The decayed rate of a name in events per second; 0 if it is unknown. */
double popularity_rate(const popularity_t *popularity, ms_t now,
		       const char *name);

unsigned int popularity_count(const popularity_t *popularity);

#endif
