#ifndef FRONT_LINK_H
#define FRONT_LINK_H

/*
 * Pool of HTTP connections to endpoints.  A connection carries one request at a
 * time.
 *
 * An idle connection is reused only well within the idle timeout that the
 * endpoint stated, and only if it received nothing since its last answer. Bytes
 * after a complete answer close the connection: they belong to no request.
 *
 * An endpoint may write an earlier answer once more.  A request that is sent
 * again gets another connection than it had before, as its id would not tell
 * its answers apart.
 *
 * Of each connection a limited number of bytes is read before the others have
 * their turn, so that an answer without end holds up no other.
 *
 * on_end() is called exactly once unless the exchange is cancelled.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "http/http1_reader.h"
#include "route/fleet.h"

typedef struct links links_t;
typedef struct exchange exchange_t;

typedef enum {
	LINK_COMPLETE, /* the answer is complete */
	LINK_NOT_SENT, /* no connection; no byte was sent */
	LINK_BROKEN    /* sent; the answer is missing or incomplete */
} link_result_t;

typedef struct {
	/* FALSE rejects the answer: on_end() follows with LINK_BROKEN. */
	gboolean (*on_head)(void *ctx, const http1_head_t *head);
	/* FALSE rejects the rest of the answer, likewise. */
	gboolean (*on_data)(void *ctx, const char *data, size_t size);
	/* why is a short reason for logs, valid until on_end() returns. */
	void (*on_end)(void *ctx, link_result_t result, const char *why);
} link_events_t;

typedef struct {
	uv_loop_t *loop;
	const ms_clock_t *clock; /* not owned */
	guint connections_max;	 /* to all endpoints; 0 for no limit */
} links_options_t;

typedef struct {
	GString *text;	  /* head; or head and body */
	GByteArray *body; /* sent after it; NULL for none */
	const char *id;	  /* the caller's, or NULL */
	gboolean is_head_method;
} links_request_t;

links_t *links_create(const links_options_t *options);
void links_destroy(links_t *links);

/* Limits the connections to each endpoint of a service; 0 for no limit. */
void links_set_limit(links_t *links, const char *service, guint count);

/*
 * Sends a request, frees its text and unreferences its body.  Holds a
 * reference to the endpoint until the end.  Never calls back before it returns.
 */
exchange_t *links_send(links_t *links, fleet_endpoint_t *endpoint,
		       const links_request_t *request,
		       const link_events_t *events, void *ctx);

/* Closes the connection at the end of the exchange. */
void exchange_close_after(exchange_t *exchange);

/* Sets the idle timeout that the endpoint stated for this connection. */
void exchange_set_idle(exchange_t *exchange, ms_t idle);

/*
 * Reads no more of the answer until exchange_resume(), so that the endpoint has
 * to wait.  A connection that closes meanwhile is noticed afterwards.
 */
void exchange_pause(exchange_t *exchange);
void exchange_resume(exchange_t *exchange);

/* Closes the connection; no callback follows. */
void exchange_cancel(exchange_t *exchange);

/* Number of open connections, including idle ones. */
guint links_count(const links_t *links);

#endif
