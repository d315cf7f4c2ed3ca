#ifndef TRACE_TRACEPARENT_H
#define TRACE_TRACEPARENT_H

/*
 * The "traceparent" header of W3C Trace Context, version 00.
 *
 *	00-TRACE(32 hex digits)-SPAN(16 hex digits)-FLAGS(2 hex digits)
 */

#include <glib.h>
#include <stdint.h>

#define TRACE_ID_SIZE	 33 /* with the NUL */
#define SPAN_ID_SIZE	 17 /* with the NUL */
#define TRACEPARENT_SIZE 56 /* with the NUL */

typedef struct {
	char trace[TRACE_ID_SIZE]; /* lower-case hex digits, not all zero */
	char span[SPAN_ID_SIZE];   /* lower-case hex digits, not all zero */
	uint8_t flags;		   /* bit 0: sampled */
} traceparent_t;

/* Returns FALSE, and leaves *parsed, if text is NULL or malformed. */
gboolean traceparent_parse(const char *text, traceparent_t *parsed);

/* Writes the header value with its NUL. */
void traceparent_format(const traceparent_t *parent,
			char text[TRACEPARENT_SIZE]);

/* Starts a new trace with random IDs. */
void traceparent_create(traceparent_t *created);

/* Creates a span with a new random ID in the trace of parent. */
void traceparent_child(const traceparent_t *parent, traceparent_t *child);

#endif
