#ifndef ENTRY_ROUTING_H
#define ENTRY_ROUTING_H

/*
 * Where an entry sends a request: the placement table, the live owners, and
 * questions to the homes of adapters.
 *
 * A search ends with exactly one call of its callback, never before the call
 * that began it returned, unless it is cancelled.
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

/* place is NULL if there is none; then error and retry_after tell why. */
typedef void (*search_done_t)(void *ctx, const track_place_t *place,
			      const GError *error, ms_t retry_after);

/* The view and the placement table outlive the object. */
routing_t *routing_create(const live_owners_t *view, placement_t *placement,
			  const routing_actions_t *actions, void *ctx);
void routing_destroy(routing_t *routing);

/* Find an endpoint for an adapter; prefix is 0 for none. */
search_t *routing_find_adapter(routing_t *routing, const char *adapter,
			       uint64_t prefix, const char *avoid, ms_t now,
			       search_done_t done, void *ctx);

/* Find an endpoint of a plain service; the texts are copied. */
search_t *routing_find_service(routing_t *routing,
			       const document_service_t *service,
			       const char *avoid, ms_t now, search_done_t done,
			       void *ctx);

/* Find the present owner of an endpoint, to resume a stream there. */
search_t *routing_find_owner(routing_t *routing, const char *endpoint, ms_t now,
			     search_done_t done, void *ctx);

/* A request for the adapter is expected soon: let it be loaded, or kept. */
void routing_expect(routing_t *routing, const char *adapter, double likelihood,
		    ms_t now);

void routing_cancel(routing_t *routing, search_t *search);

/* The answer of a home. */
void routing_placed(routing_t *routing, const message_placed_t *placed);

/* Call often: ends searches that are due. */
void routing_tick(routing_t *routing, ms_t now);

gboolean routing_is_searching(const routing_t *routing);

/* Whether a search is waiting for the next call of routing_tick(). */
gboolean routing_is_due(const routing_t *routing);

#endif
