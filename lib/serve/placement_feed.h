#ifndef SERVE_PLACEMENT_FEED_H
#define SERVE_PLACEMENT_FEED_H

/*
 * Keeps the placement table of one process up to date, from the placement
 * updates of the owners that it follows and, in an owner, from its own
 * endpoints.
 *
 * While there is a connection to an owner, its last updates stay valid,
 * however old they are.  Once the connection is lost they age, and the
 * placement table ignores them after a time.
 */

#include <glib.h>

#include "member/placement_updates.h"
#include "sched/placement.h"
#include "serve/live_owners.h"

typedef struct placement_feed placement_feed_t;

typedef struct {
	/* Request the complete state of an owner. */
	void (*ask)(void *ctx, const char *owner);
	/* Whether there is a connection to an owner now. */
	gboolean (*is_up)(void *ctx, const char *owner);
} placement_feed_actions_t;

/*
 * region and failure_domain are those of this instance.  All arguments but
 * actions, which is copied, must outlive the feed.
 */
placement_feed_t *placement_feed_create(GRand *rand, const char *region,
					const char *failure_domain,
					const placement_feed_actions_t *actions,
					void *ctx);
void placement_feed_destroy(placement_feed_t *feed);

/* The placement table itself, for lookups; owned by the placement_feed_t. */
placement_t *placement_feed_table(placement_feed_t *feed);

/* Follow an owner of the view if updates_should_subscribe() selects it. */
void placement_feed_follow(placement_feed_t *feed, const live_owners_t *view,
			   const char *owner, ms_t now);

/*
 * Follow an owner over a new connection, which requests its complete state
 * again.
 */
void placement_feed_follow_connected(placement_feed_t *feed,
				     const live_owners_t *view,
				     const char *owner, ms_t now);
void placement_feed_unfollow(placement_feed_t *feed, const char *owner);
void placement_feed_handle_message(placement_feed_t *feed, const char *owner,
				   const updates_message_t *message, ms_t now);

/*
 * Update an endpoint of this process: its load, and one adapter that was added
 * or removed; both may be NULL.
 */
void placement_feed_update_local(placement_feed_t *feed, const char *endpoint,
				 const char *owner, int64_t epoch,
				 const char *added, const char *removed,
				 const slots_utilization_t *load, ms_t now);
void placement_feed_remove_local(placement_feed_t *feed, const char *endpoint);

void placement_feed_tick(placement_feed_t *feed, ms_t now);

/*
 * When placement_feed_tick() is due for the updates.  Repeating the state of
 * idle endpoints is not included: any tick in the next seconds is early enough.
 */
ms_t placement_feed_due(const placement_feed_t *feed);

/* Convert the load of an endpoint to the form used in updates, and back. */
void placement_feed_load_to_update(const slots_utilization_t *load,
				   updates_load_t *news);
void placement_feed_load_from_update(const updates_load_t *news,
				     slots_utilization_t *load);

#endif
