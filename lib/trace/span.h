#ifndef TRACE_SPAN_H
#define TRACE_SPAN_H

/*
 * A ring buffer of the most recent spans of one process.
 *
 * A span covers one hop or one step of a request.  When the buffer is full, the
 * oldest span is overwritten.  Strings are copied and truncated to
 * SPAN_TEXT_SIZE - 1 bytes.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "trace/traceparent.h"

#define SPAN_TEXT_SIZE 64

typedef struct spans spans_t;

typedef struct {
	traceparent_t self; /* trace ID and ID of this span */
	const char *parent; /* span ID of the parent, or NULL */
	const char *name;   /* of the operation, such as "run" */
	const char *status; /* such as "ok" or the name of an error kind */
	ms_t start;	    /* Unix time in milliseconds */
	int64_t duration_us;
} span_t;

/* Creates a buffer for count spans; each is rendered with these names. */
spans_t *spans_create(size_t count, const char *program, const char *instance);
void spans_destroy(spans_t *spans);

void spans_add(spans_t *spans, const span_t *span);

/* Renders {"spans":[...]} of one trace, oldest first; free with g_free(). */
char *spans_render(const spans_t *spans, const char *trace);

/* Returns a monotonic time in microseconds, for measuring durations. */
int64_t span_clock_us(void);

#endif
