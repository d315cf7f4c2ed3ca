#ifndef ENTRY_ROUTING_H
#define ENTRY_ROUTING_H

/*
 * Chooses the endpoint for a request from the placement table and the view of
 * live owners, or asks the home of the adapter: the owner that
 * live_owners_choose() selects to place it.
 *
 * Each search calls its callback exactly once, after the function that began it
 * has returned, unless it is cancelled.
 */

#include <glib.h>

#include "base/clock.h"
#include "config/document.h"
#include "request/track.h"
#include "sched/placement.h"
#include "serve/message.h"
#include "serve/live_owners.h"

typedef struct routing routing_t;
typedef struct search search_t;

typedef struct {
	/* Send to an owner; FALSE if there is no connection. */
	gboolean (*send)(void *ctx, const char *instance, const void *message);
	/* Whether there is a connection to an owner now. */
	gboolean (*is_up)(void *ctx, const char *instance);
} routing_actions_t;

/*
 * If no place was found, place is NULL, error holds the reason and retry_after
 * the time after which to try again.
 */
typedef void (*search_done_t)(void *ctx, const track_place_t *place,
			      const GError *error, ms_t retry_after);

/* The view and the placement table outlive the routing. */
routing_t *routing_create(const live_owners_t *view, placement_t *placement,
			  const routing_actions_t *actions, void *ctx);
void routing_destroy(routing_t *routing);

/*
 * Find an endpoint for an adapter.  prefix is the hash of the start of the
 * prompt, or 0; avoid is an endpoint that refused the request, or NULL.
 */
search_t *routing_find_adapter(routing_t *routing, const char *adapter,
			       uint64_t prefix, const char *avoid, ms_t now,
			       search_done_t done, void *ctx);

/* Find an endpoint of a plain service; copies the strings. */
search_t *routing_find_service(routing_t *routing,
			       const document_service_t *service,
			       const char *avoid, ms_t now, search_done_t done,
			       void *ctx);

/* Find the current owner of an endpoint, to resume a stream there. */
search_t *routing_find_owner(routing_t *routing, const char *endpoint, ms_t now,
			     search_done_t done, void *ctx);

/*
 * Announce that a request for the adapter is likely soon, so that it is loaded
 * or stays resident.
 */
void routing_expect_request(routing_t *routing, const char *adapter,
			    double likelihood, ms_t now);

void routing_cancel(routing_t *routing, search_t *search);

/* Handle the answer of a home to MESSAGE_PLACE. */
void routing_handle_placed(routing_t *routing, const message_placed_t *placed);

/*
 * Check timeouts and owners, and report finished searches.  To be called on
 * each tick while there are searches.
 */
void routing_tick(routing_t *routing, ms_t now);

gboolean routing_has_searches(const routing_t *routing);

/* Whether the next routing_tick() reports a finished search. */
gboolean routing_has_finished_searches(const routing_t *routing);

#endif
