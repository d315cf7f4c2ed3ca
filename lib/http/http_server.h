#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

/*
 * An HTTP server on a libuv loop, by h2o.
 *
 * Routes are added first, then http_server_listen() starts to accept.  A
 * handler is called once for each request, with the whole body read.  It ends
 * the request, then or later, with exactly one of
 *
 *  - http_respond(), http_respond_error() for a whole answer, or
 *  - http_stream_begin(), http_stream_write()..., http_stream_end().
 *
 * If the requester goes away first, the abort callback that was set by
 * http_request_on_abort() is called once, and the request must not be touched
 * after that callback returns.  A requester that closes its sending side alone
 * gets its answer, in plain HTTP/1.1, if it is a whole one or server-sent
 * events; else it counts as gone.
 *
 * All memory handed out by the getters lives until the request ends.
 */

#include <glib.h>
#include <openssl/ssl.h>
#include <uv.h>

#include "base/error.h"

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

typedef void (*http_handler_t)(void *ctx, http_request_t *request);
typedef void (*http_abort_t)(void *ctx, http_request_t *request);

#define HTTP_READING_MAX_MS 10000

typedef struct {
	const char *address; /* an IP number */
	int port;	     /* 0 for any free port */
	size_t body_max;     /* bytes; a larger body is refused */
	SSL_CTX *tls;	     /* NULL for plain text; not owned */
} http_server_options_t;

typedef struct {
	const char *name; /* in lower case */
	const char *value;
} http_header_t;

http_server_t *http_server_create(uv_loop_t *loop,
				  const http_server_options_t *options);

/*
 * Asked with the Authorization header (or NULL) once for each request whose
 * body is still being read, within 50 ms after its head has come: NULL to read
 * on, or the error with which the request is ended, its body unread.  A request
 * whose body comes at once goes to its handler unasked.
 */
typedef GError *(*http_guard_t)(void *ctx, const char *authorization);

void http_server_set_authorizer(http_server_t *server, http_guard_t guard,
				void *ctx);

/*
 * Before listening: the time in which a whole request must have come, or its
 * connection is closed (HTTP_READING_MAX_MS if not called), and the bytes of
 * unfinished bodies that are held at once.  What goes beyond is refused with
 * ERROR_OVERLOADED.
 */
void http_server_limit(http_server_t *server, ms_t reading_max,
		       size_t held_max);

/* Handle all paths that start with prefix; the longest prefix wins. */
void http_server_route(http_server_t *server, const char *prefix,
		       http_handler_t handler, void *ctx);

/* Bind and accept; ERROR_UNAVAILABLE when the address can't be bound. */
gboolean http_server_listen(http_server_t *server, GError **error);

/* The port that was bound. */
int http_server_port(const http_server_t *server);

/* Requests that have not ended yet. */
size_t http_server_active(const http_server_t *server);

/* Take no more connections; open ones close after their present request. */
void http_server_drain(http_server_t *server);

/* Close the listener.  Destroy the server only after the loop has ended. */
void http_server_close(http_server_t *server);
void http_server_destroy(http_server_t *server);

const char *http_request_method(http_request_t *request);

/* The path without the query part, decoded and without dot segments. */
const char *http_request_path(http_request_t *request);

/* The path and the query part as they were sent. */
const char *http_request_target(http_request_t *request);

/* The value of a query parameter, decoded, or NULL. */
const char *http_request_query(http_request_t *request, const char *name);

/* The value of a header (name in lower case), or NULL. */
const char *http_request_header(http_request_t *request, const char *name);

const char *http_request_body(http_request_t *request, size_t *size);

void http_request_on_abort(http_request_t *request, http_abort_t on_abort,
			   void *ctx);

/* End with a whole answer; headers (or NULL) ends with a NULL name. */
void http_respond(http_request_t *request, int status, const char *type,
		  const http_header_t *headers, const char *body, size_t size);

/*
 * End with an error as OpenAI-style JSON: kind, message, outcome, and
 * Retry-After when retry_after is positive (milliseconds, rounded up to whole
 * seconds).  The outcome of a request that never reaches an endpoint is
 * OUTCOME_NOT_RUN.
 */
void http_respond_error(http_request_t *request, const GError *error,
			outcome_t outcome, ms_t retry_after);

/* The JSON of an error, as in http_respond_error(); free with g_free(). */
char *http_error_json(const GError *error, outcome_t outcome);

void http_stream_begin(http_request_t *request, int status, const char *type,
		       const http_header_t *headers);
void http_stream_write(http_request_t *request, const char *data, size_t size);
void http_stream_end(http_request_t *request);

/* End a stream so that the requester sees a broken transfer. */
void http_stream_break(http_request_t *request);

#endif
