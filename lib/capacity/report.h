#ifndef CAPACITY_REPORT_H
#define CAPACITY_REPORT_H

/*
 * Collects the values of repeated measurements.  A figure is identified by its
 * name and size; the report gives the median and the range of its values.
 */

#include <glib.h>

typedef struct report report_t;

report_t *report_create(void);
void report_destroy(report_t *report);

/* Add a value to a figure; name and unit must outlive the report. */
void report_add(report_t *report, const char *name, const char *unit, int size,
		double value);

/* Render as a text table; free with g_free(). */
char *report_table(const report_t *report);

/* Render as a JSON array of objects; free with g_free(). */
char *report_json(const report_t *report);

/* CPU time used by this process so far, in microseconds. */
double process_cpu_us(void);

/* Bytes of heap memory in use, as reported by mallinfo2(). */
double allocated_bytes(void);

#endif
