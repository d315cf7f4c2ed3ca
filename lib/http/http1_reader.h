#ifndef HTTP_HTTP1_READER_H
#define HTTP_HTTP1_READER_H

/*
 * Reads HTTP/1 messages from bytes as they come, by http-parser.
 *
 * It stops at the end of each message, so that bytes after it are never taken
 * for a part of it: http1_reader_feed() tells how many bytes were read. Interim
 * responses (1xx) are passed over.  It does no I/O.
 *
 * Errors: ERROR_TOO_LARGE for a head above the limit, ERROR_PROTOCOL for bytes
 * that are no message, or a length that is given in two ways.
 */

#include <glib.h>

#include "http/http_server.h"

typedef struct {
	int status;	    /* of a response */
	const char *method; /* of a request */
	const char *target; /* of a request, as it was sent */
	int minor;	    /* HTTP/1.minor */
	gboolean keeps_alive;
	gboolean has_length; /* a length or chunks tell the end */
	GArray *headers;     /* of http_header_t, names as they were sent */
} http1_head_t;

typedef struct {
	void (*on_head)(void *ctx, const http1_head_t *head);
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* The message is whole. */
	void (*on_end)(void *ctx);
} http1_events_t;

typedef enum { HTTP1_REQUESTS, HTTP1_RESPONSES } http1_kind_t;

typedef struct http1_reader http1_reader_t;

/* head_max: bytes of a head; 0 for the library's own limit. */
http1_reader_t *http1_reader_create(http1_kind_t kind, size_t head_max,
				    const http1_events_t *events, void *ctx);
void http1_reader_destroy(http1_reader_t *reader);

/* Begin a new message; is_head: the response to a HEAD request. */
void http1_reader_reset(http1_reader_t *reader, gboolean is_head);

/*
 * Take bytes up to the end of the message.  The handlers must not destroy the
 * reader.  After an error it takes nothing more.
 */
size_t http1_reader_feed(http1_reader_t *reader, const char *data, size_t size,
			 GError **error);

/* No more bytes come; TRUE if that ends a response as whole. */
gboolean http1_reader_finish(http1_reader_t *reader);

/* No byte of the message was read yet. */
gboolean http1_reader_is_idle(const http1_reader_t *reader);
gboolean http1_reader_is_done(const http1_reader_t *reader);

/* The value of a header (name in any case), or NULL. */
const char *http1_header(const http1_head_t *head, const char *name);

/*
 * Whether a header concerns one connection only: those of HTTP/1.1 and the
 * ones that Connection names.
 */
gboolean http1_is_hop_by_hop_header(const http1_head_t *head, const char *name);

#endif
