#ifndef FRONT_CALLER_H
#define FRONT_CALLER_H

/*
 * HTTP server for callers.  A request is delivered once it is complete; its
 * answer is sent as it is produced.
 *
 * Each request is delivered once, with its body.  It must be ended by exactly
 * one of call_answer(), call_end() after call_begin(), and call_abort(), unless
 * on_gone() reports that the caller has disconnected, after which the call must
 * not be used.  A connection serves one request at a time; pipelined requests
 * wait.
 *
 * A request that exceeds the limits or is not valid HTTP is answered here with
 * a 4xx and is not delivered; one that arrives too slowly with a 408, and one
 * that there is no memory for with a 503.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "front/memory_budget.h"
#include "http/http1_reader.h"
#include "route/route_table.h"

typedef struct callers callers_t;
typedef struct call call_t;

typedef struct {
	void (*on_request)(void *ctx, call_t *call);
	/* The caller disconnected before the end of the answer. */
	void (*on_gone)(void *ctx, call_t *call);
	/* The call is congested no more; see call_is_congested(). */
	void (*on_drained)(void *ctx, call_t *call);
	/* Returns the limits in force, or NULL for the defaults. */
	const route_limits_t *(*limits)(void *ctx);
} callers_events_t;

typedef struct {
	uv_loop_t *loop;
	const ms_clock_t *clock; /* not owned */
	const char *address;	 /* an IPv4 address */
	int port;		 /* 0 for any free port */
	guint connections_max;	 /* further ones wait to be accepted */
	memory_budget_t *budget; /* not owned */
} callers_options_t;

/* Returns NULL and sets ERROR_UNAVAILABLE if it can't listen at the address. */
callers_t *callers_create(const callers_options_t *options,
			  const callers_events_t *events, void *ctx,
			  GError **error);

/*
 * Closes each connection after its current answer, or after those to requests
 * that were read before.
 */
void callers_drain(callers_t *callers);
/*
 * Stops accepting connections and closes the idle ones: those without a request
 * that was read, and without an answer that was not written to its end.
 */
void callers_close_idle(callers_t *callers);
/* Number of connections with such a request or answer. */
guint callers_active(const callers_t *callers);

const http1_head_t *call_head(const call_t *call);
/* Returns a reference to the body. */
GByteArray *call_body(const call_t *call, size_t *size);
/* Returns when the request was complete. */
ms_t call_arrived_at(const call_t *call);

/* Data of the user of the call. */
void call_set_data(call_t *call, void *data);
void *call_data(const call_t *call);

/*
 * Sends a complete text/plain answer; Retry-After is sent if retry_after (ms)
 * is positive.
 */
void call_answer(call_t *call, int status, ms_t retry_after, const char *text);

/*
 * Begins to relay an endpoint's answer. size is the size of its body, or -1 if
 * unknown.
 */
void call_begin(call_t *call, const http1_head_t *answer, int64_t size);
void call_write(call_t *call, const char *data, size_t size);
/*
 * Returns whether the caller reads more slowly than its answer arrives, and
 * more of it would use too much memory.  If so, on_drained() follows, unless
 * the answer ends before.
 */
gboolean call_is_congested(call_t *call);
void call_end(call_t *call);

/*
 * Closes the connection in a way that the caller can't take the answer for
 * complete.
 */
void call_abort(call_t *call);

#endif
