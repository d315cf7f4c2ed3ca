#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

/*
 * An HTTP/1.1 client on a libuv loop, by h2o, with a pool of kept connections
 * for each address.
 *
 * on_end is called exactly once unless the call is cancelled.  Its error tells
 * whether the request can have reached the server:
 *
 *  - ERROR_UNAVAILABLE: no connection was made, nothing was sent;
 *  - ERROR_INTERRUPTED: the request was sent, and the answer broke off or never
 *    came;
 *  - ERROR_TIMEOUT: as ERROR_INTERRUPTED, after the time allowed.
 *
 * Callbacks may start other calls.  A callback must not destroy the client.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "http/http_server.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct {
	const char *host; /* an IP number */
	int port;
	const char *method;
	const char *path;
	const http_header_t *headers; /* ends with a NULL name; may be NULL */
	const char *body;	      /* NULL for none */
	size_t body_size;
	ms_t timeout;	   /* for the whole call; 0 for none */
	gboolean is_fresh; /* use no kept connection */
	SSL_CTX *tls;	   /* NULL for plain text; else always fresh */
} http_call_request_t;

typedef struct {
	/* May be NULL.  Header names are in lower case as the server sent. */
	void (*on_head)(void *ctx, int status, const http_header_t *headers);
	/* May be NULL. */
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* status is 0 if no head was seen; error is NULL for a whole answer. */
	void (*on_end)(void *ctx, int status, const GError *error);
} http_call_events_t;

http_client_t *http_client_create(uv_loop_t *loop);

/* Close all kept connections; no call may be open. */
void http_client_destroy(http_client_t *client);

/* The request is copied.  Never calls back before it returns. */
http_call_t *http_call_start(http_client_t *client,
			     const http_call_request_t *request,
			     const http_call_events_t *events, void *ctx);

/* End the call and close its connection; no callback follows. */
void http_call_cancel(http_call_t *call);

/*
 * The short form for whole answers: the body is gathered, up to body_max bytes
 * (ERROR_TOO_LARGE beyond), and handed over at once.
 */
typedef void (*http_buffered_done_t)(void *ctx, int status, const char *body,
				     size_t size, const GError *error);

http_call_t *http_call_buffered(http_client_t *client,
				const http_call_request_t *request,
				size_t body_max, http_buffered_done_t done,
				void *ctx);

#endif
