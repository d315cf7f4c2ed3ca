#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

/*
 * Counters, gauges and histograms of one process, rendered in the Prometheus
 * text format.
 *
 * A metric is looked up by name once and then accessed through the returned
 * pointer, which stays valid until the process exits.  Labels are part of the
 * name, written as in the text format:
 *
 *	counter_t *c = counter_get("hc_requests_total{kind=\"chat\"}");
 *	counter_add(c, 1);
 *
 * A histogram counts durations in milliseconds in buckets whose upper bounds
 * are powers of two.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

typedef struct counter counter_t;
typedef struct histogram histogram_t;

/* Returns the counter or gauge with this name, creating it if needed. */
counter_t *counter_get(const char *name);

void counter_add(counter_t *counter, int64_t amount);

/* Sets a gauge. */
void counter_set(counter_t *counter, int64_t value);

int64_t counter_value(const counter_t *counter);

/* Returns the histogram with this name, creating it if needed. */
histogram_t *histogram_get(const char *name);

void histogram_add(histogram_t *histogram, ms_t duration);

/* Returns all metrics as Prometheus text; free with g_free(). */
char *counter_render(void);

#endif
