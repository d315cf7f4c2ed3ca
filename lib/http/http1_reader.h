#ifndef HTTP_HTTP1_READER_H
#define HTTP_HTTP1_READER_H

/*
 * An incremental HTTP/1 message parser, based on http-parser.
 *
 * It stops at the end of each message, so that the bytes that follow are never
 * parsed as part of it; http1_reader_feed() returns the number of bytes
 * consumed.  Interim responses (1xx) are skipped; they have no body, so that
 * the bytes after their head are those of the next response.  It does no I/O.
 *
 * Errors: ERROR_TOO_LARGE for a head above the limit, ERROR_PROTOCOL for
 * malformed input, conflicting body lengths, a response with a transfer coding
 * other than "chunked", a switch to another protocol, or more than
 * HTTP1_OPTIONS_MAX names in Connection.
 */

#include <glib.h>

#include "http/http_server.h"

typedef struct {
	int status;	    /* responses only */
	const char *method; /* requests only */
	const char *target; /* requests only, as received */
	int minor;	    /* minor version of HTTP/1 */
	gboolean keeps_alive;
	gboolean has_length; /* the end doesn't depend on EOF */
	uint64_t length;     /* announced for the body; G_MAXUINT64 if none */
	GArray *headers;     /* of http_header_t, names as received */
	/* Names listed in Connection, in lower case and sorted; may be NULL. */
	const GPtrArray *options;
} http1_head_t;

/* Names that may be listed in Connection, in all its fields together. */
#define HTTP1_OPTIONS_MAX 64

typedef struct {
	void (*on_head)(void *ctx, const http1_head_t *head);
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* The message is complete. */
	void (*on_end)(void *ctx);
} http1_events_t;

typedef enum { HTTP1_REQUESTS, HTTP1_RESPONSES } http1_kind_t;

typedef struct http1_reader http1_reader_t;

/*
 * head_max: size limit of the head in bytes; 0 for that of http-parser.  The
 * target counts, and each field with its colon and line end.
 */
http1_reader_t *http1_reader_create(http1_kind_t kind, size_t head_max,
				    const http1_events_t *events, void *ctx);
void http1_reader_destroy(http1_reader_t *reader);

/* Begins a new message; is_head: it is the response to a HEAD request. */
void http1_reader_reset(http1_reader_t *reader, gboolean is_head);

/*
 * Parses bytes up to the end of the message and returns the number consumed.
 * The handlers must not destroy the reader.  After an error, every further call
 * that passes data fails with the same error.
 */
size_t http1_reader_feed(http1_reader_t *reader, const char *data, size_t size,
			 GError **error);

/* Reports EOF; returns TRUE if that completes a response. */
gboolean http1_reader_finish(http1_reader_t *reader);

/* Returns whether no byte of the message was parsed yet. */
gboolean http1_reader_is_idle(const http1_reader_t *reader);
gboolean http1_reader_is_done(const http1_reader_t *reader);
gboolean http1_reader_is_head_done(const http1_reader_t *reader);

/* About how many bytes of memory the head takes. */
size_t http1_reader_memory(const http1_reader_t *reader);

/* Returns the value of a header, or NULL; ignores the case of name. */
const char *http1_header(const http1_head_t *head, const char *name);

/*
 * Returns whether a header is hop-by-hop: one of those of HTTP/1.1, or listed
 * in the Connection header.
 */
gboolean http1_is_hop_by_hop_header(const http1_head_t *head, const char *name);

#endif
