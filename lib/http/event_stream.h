#ifndef HTTP_EVENT_STREAM_H
#define HTTP_EVENT_STREAM_H

/*
 * Parses a stream of server-sent events and reports the data of each event.
 *
 * Only "data:" lines are used; comments and other fields are ignored.  An empty
 * line ends an event.
 */

#include <glib.h>

/* Maximum size of one event in bytes. */
#define EVENT_SIZE_MAX (1024 * 1024)

typedef struct event_stream event_stream_t;

/* Called for each event; if it returns FALSE, later input is discarded. */
typedef gboolean (*event_handler_t)(void *ctx, const char *data, size_t size);

event_stream_t *event_stream_create(event_handler_t handler, void *ctx);
void event_stream_destroy(event_stream_t *stream);

/* Returns FALSE with ERROR_PROTOCOL if an event is too large. */
gboolean event_stream_feed(event_stream_t *stream, const char *data,
			   size_t size, GError **error);

#endif
