#ifndef ROUTE_REQUEST_LIMIT_H
#define ROUTE_REQUEST_LIMIT_H

/*
 * This instance's share of the calls that an endpoint takes a second from all
 * instances together.
 *
 * No instance sees what the others send, so the limit is divided without a
 * message: some instances, the first in an order that all compute alike, send
 * to the endpoint, each an equal share of the limit from a token bucket; the
 * others send nothing.  The senders are few because each may send one call at
 * any moment, however low its rate.  The holder of an engine is a sender, since
 * orders and reports count as well.
 *
 * The senders tell the others that the limit still holds.  One that has not
 * heard so for a while sends a call in turn, to learn it from the answer: the
 * senders may be down, or have no request for this endpoint.
 *
 * If at most as many calls more are sent as one sender sends, for an instance
 * that does not know of another yet, this keeps any window of 4 s within one
 * and a half times the limit and five calls.
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct request_limit request_limit_t;

/* How the limit is divided, as this instance knows it. */
typedef struct {
	double per_s;	    /* of all instances together; 0 or more */
	guint instances;    /* that are alive, including this one */
	guint rank;	    /* of this instance among them; 0 is the first */
	gboolean is_engine; /* one of the senders is the holder */
	gboolean is_holder; /* this instance is */
} request_share_t;

/* The share starts without a token. */
request_limit_t *request_limit_create(ms_t now, const request_share_t *share);
void request_limit_destroy(request_limit_t *limit);

/* The limit, the instances or the holder have changed. */
void request_limit_set_share(request_limit_t *limit, ms_t now,
			     const request_share_t *share);
double request_limit_per_s(const request_limit_t *limit);

/*
 * The limit holds at this time: an answer to this instance said so, or another
 * instance did.
 */
void request_limit_confirm(request_limit_t *limit, ms_t now, gboolean is_own);
/* Returns when it was last confirmed. */
ms_t request_limit_confirmed_at(const request_limit_t *limit);
/* Whether an answer to this instance has confirmed it lately. */
gboolean request_limit_is_witnessed(const request_limit_t *limit, ms_t now);
/*
 * Returns whether the other instances are to be told that the limit holds, and
 * presumes that they are.
 */
gboolean request_limit_announce(request_limit_t *limit, ms_t now);

/*
 * Returns the time until a call may be sent beside those that are reserved; 0
 * if one may be sent now.
 */
ms_t request_limit_wait(const request_limit_t *limit, ms_t now, guint reserved);

/* Counts a call, also one that exceeds the share: later ones wait for it. */
void request_limit_count(request_limit_t *limit, ms_t now);

/*
 * Returns the time after which the endpoint will have room for one more caller
 * of this instance, in addition to those that were promised room.
 */
ms_t request_limit_promised_time(const request_limit_t *limit, ms_t now);
/*
 * A caller is told that time.  No room is kept for one that will have left by
 * then.
 */
void request_limit_promise(request_limit_t *limit, ms_t now, ms_t time_left);

#endif
