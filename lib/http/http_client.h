#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

/*
 * An HTTP/1.1 client on a libuv loop, with a pool of persistent connections for
 * each address.
 *
 * Answers are read by http1_reader.  One that is no valid HTTP/1 message is
 * logged, and its connection is closed, as is one that received bytes after an
 * answer.
 *
 * on_end is called exactly once unless the call is cancelled.  Its error shows
 * whether the request can have reached the server:
 *
 *  - ERROR_UNAVAILABLE: no connection was established, nothing was sent;
 *  - ERROR_INTERRUPTED: the request was sent, but the connection closed before
 *    the response was complete, or the response is not valid;
 *  - ERROR_TIMEOUT: the request was sent, but the response was not complete
 *    within the time limits.
 *
 * Callbacks may start other calls, but must not destroy the client.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "http/http_server.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct {
	const char *host; /* an IPv4 address */
	int port;
	const char *method;
	const char *path;
	const http_header_t *headers; /* ends with a NULL name; may be NULL */
	const char *body;	      /* NULL for none */
	size_t body_size;
	ms_t timeout; /* of the whole call; 0 for none */
	/*
	 * If not 0, timeout ends with the head of the answer, and the rest may
	 * take answer_max, with no pause longer than pause_max.
	 */
	ms_t answer_max;
	ms_t pause_max;
	gboolean is_fresh; /* use a new connection, and close it */
	SSL_CTX *tls;	   /* NULL for plain text; implies is_fresh */
	/*
	 * Used by http_call_buffered() only, with its ctx; may be NULL.  Header
	 * names are in lower case.
	 */
	void (*on_head)(void *ctx, int status, const http_header_t *headers);
} http_call_request_t;

typedef struct {
	/* May be NULL.  Header names are in lower case. */
	void (*on_head)(void *ctx, int status, const http_header_t *headers);
	/* May be NULL. */
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* status is 0 without a head; error is NULL on a complete response. */
	void (*on_end)(void *ctx, int status, const GError *error);
} http_call_events_t;

http_client_t *http_client_create(uv_loop_t *loop);

/* Closes the idle connections; no call may be in progress. */
void http_client_destroy(http_client_t *client);

/*
 * Uses none of the open connections for further calls.  Calls in progress go
 * on.
 */
void http_client_forget_connections(http_client_t *client);

/* Copies the request.  Invokes no callback before it returns. */
http_call_t *http_call_start(http_client_t *client,
			     const http_call_request_t *request,
			     const http_call_events_t *events, void *ctx);

/* Ends the call and closes its connection; no callback follows. */
void http_call_cancel(http_call_t *call);

/*
 * Like http_call_start(), but buffers the body, up to body_max bytes, and calls
 * done once with all of it.  A larger body ends the call with ERROR_TOO_LARGE.
 */
typedef void (*http_buffered_done_t)(void *ctx, int status, const char *body,
				     size_t size, const GError *error);

http_call_t *http_call_buffered(http_client_t *client,
				const http_call_request_t *request,
				size_t body_max, http_buffered_done_t done,
				void *ctx);

#endif
