#ifndef STANDIN_STORE_MODEL_H
#define STANDIN_STORE_MODEL_H

/*
 * A model of the rate-limited weight store, shared by the engines of one
 * process.
 *
 * Loads start no faster than loads_per_second.  A load takes load_ms while no
 * more than transit_limit are in transit, and proportionally longer beyond it.
 */

#include "base/clock.h"

typedef struct store_model store_model_t;

store_model_t *store_model_create(double loads_per_second, int transit_limit,
				  ms_t load_ms);
void store_model_destroy(store_model_t *store);

/* Starts a load; returns the time at which it will end. */
ms_t store_model_begin(store_model_t *store, ms_t now);

/* Ends a load that was started, whether it completed or was aborted. */
void store_model_end(store_model_t *store);

int store_model_in_transit(const store_model_t *store);

#endif
