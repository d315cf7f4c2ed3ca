#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

/*
 * An HTTP server on a libuv loop, based on h2o.
 *
 * Add all routes before http_server_listen().  A handler is called once for
 * each request, after the whole body was read.  It ends the request, at once or
 * later, in exactly one of these ways:
 *
 *  - http_respond() or http_respond_error() for a complete response, or
 *  - http_stream_begin(), http_stream_write()..., http_stream_end().
 *
 * If the client disconnects first, the callback set by http_request_on_abort()
 * is called once, and the request must not be used after that callback returns.
 * A client that only shuts down its sending side still gets its response over
 * plain HTTP/1.1 if that is a complete one or server-sent events; otherwise it
 * is treated as disconnected.
 *
 * Strings returned by the getters are valid until the request ends.
 */

#include <glib.h>
#include <openssl/ssl.h>
#include <uv.h>

#include "base/error.h"

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

typedef void (*http_handler_t)(void *ctx, http_request_t *request);
typedef void (*http_abort_t)(void *ctx, http_request_t *request);

#define HTTP_READ_TIMEOUT_MS 10000

/* Connections at a port that tells the status; a prober opens one or two. */
#define HTTP_STATUS_CONNECTIONS_MAX 64

typedef struct {
	const char *address; /* an IPv4 address */
	int port;	     /* 0 for any free port */
	size_t body_max;     /* bytes; a larger body is rejected */
	SSL_CTX *tls;	     /* NULL for plain text; not owned */
	/*
	 * Connections at once; 0 for no limit.  Above it the oldest one is
	 * closed, or, with keeps_served, the oldest that has sent no complete
	 * request, and the newest one if there is none.
	 */
	size_t connections_max;
	gboolean keeps_served;
} http_server_options_t;

typedef struct {
	const char *name; /* in lower case */
	const char *value;
} http_header_t;

http_server_t *http_server_create(uv_loop_t *loop,
				  const http_server_options_t *options);

/*
 * Authorizes a request before its body is complete, so that unauthorized
 * clients can't make the server buffer large bodies.  Called with the
 * Authorization header (or NULL), at most once per request, within 50 ms after
 * the head was read.  Returns NULL to read on, or the error to respond with;
 * the rest of the body is then not read.  It is not called for a request whose
 * body arrives at once; the handler has to authorize that itself.
 */
typedef GError *(*http_authorizer_t)(void *ctx, const char *authorization);

void http_server_set_authorizer(http_server_t *server,
				http_authorizer_t authorizer, void *ctx);

/*
 * Sets limits; call it before listening.  A connection is closed if a request
 * is not completely read within read_timeout (default: HTTP_READ_TIMEOUT_MS).
 * buffered_max is the number of bytes of incomplete bodies that are buffered at
 * once; requests beyond it are rejected with ERROR_OVERLOADED.
 */
void http_server_set_limits(http_server_t *server, ms_t read_timeout,
			    size_t buffered_max);

/* Handles all paths that start with prefix; the longest prefix wins. */
void http_server_route(http_server_t *server, const char *prefix,
		       http_handler_t handler, void *ctx);

/* Binds and accepts; ERROR_UNAVAILABLE if the address can't be bound. */
gboolean http_server_listen(http_server_t *server, GError **error);

/* Returns the port that was bound. */
int http_server_port(const http_server_t *server);

/* Returns the number of requests that have not ended yet. */
size_t http_server_active(const http_server_t *server);

/* Stops accepting; open connections close after their current request. */
void http_server_drain(http_server_t *server);

/* Closes the listener.  Destroy the server only after the loop has ended. */
void http_server_close(http_server_t *server);
void http_server_destroy(http_server_t *server);

const char *http_request_method(http_request_t *request);

/* Returns the path without the query, decoded and without dot segments. */
const char *http_request_path(http_request_t *request);

/* Returns the path and the query as received. */
const char *http_request_target(http_request_t *request);

/* Returns the decoded value of a query parameter, or NULL. */
const char *http_request_query(http_request_t *request, const char *name);

/* Returns the value of a header (name in lower case), or NULL. */
const char *http_request_header(http_request_t *request, const char *name);

const char *http_request_body(http_request_t *request, size_t *size);

void http_request_on_abort(http_request_t *request, http_abort_t on_abort,
			   void *ctx);

/* Sends a complete response; headers is NULL or ends with a NULL name. */
void http_respond(http_request_t *request, int status, const char *type,
		  const http_header_t *headers, const char *body, size_t size);

/*
 * Sends an error as OpenAI-style JSON with kind, message and outcome, and a
 * Retry-After header if retry_after (milliseconds, rounded up to seconds) is
 * positive.  The outcome of a request that never reaches an endpoint is
 * OUTCOME_NOT_RUN.
 */
void http_respond_error(http_request_t *request, const GError *error,
			outcome_t outcome, ms_t retry_after);

/* Returns the JSON of http_respond_error(); free with g_free(). */
char *http_error_json(const GError *error, outcome_t outcome);

void http_stream_begin(http_request_t *request, int status, const char *type,
		       const http_header_t *headers);
void http_stream_write(http_request_t *request, const char *data, size_t size);
void http_stream_end(http_request_t *request);

/* Aborts a stream, so that the client sees an incomplete transfer. */
void http_stream_break(http_request_t *request);

#endif
