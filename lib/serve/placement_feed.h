#ifndef SERVE_PLACEMENT_FEED_H
#define SERVE_PLACEMENT_FEED_H

/*
 * The placement table of one process, fed by the news of the owners it follows
 * and, in an owner, by its own endpoints.
 *
 * An owner that is quiet is not stale: as long as it is in reach, what it told
 * last is taken as true.  Once it is out of reach its news grow old, and the
 * table stops counting them.
 */

#include <glib.h>

#include "member/placement_updates.h"
#include "sched/placement.h"
#include "serve/live_owners.h"

typedef struct table placement_feed_t;

typedef struct {
	/* Ask an owner for its whole state. */
	void (*ask)(void *ctx, const char *owner);
	/* Whether an owner is in reach now. */
	gboolean (*is_up)(void *ctx, const char *owner);
} placement_feed_actions_t;

/*
 * The region and the failure domain are those of this instance; they, rand and
 * the actions outlive the table.
 */
placement_feed_t *placement_feed_create(GRand *rand, const char *region,
					const char *failure_domain,
					const placement_feed_actions_t *actions,
					void *ctx);
void placement_feed_destroy(placement_feed_t *table);

/* For the questions of sched/placement.h; owned by the table. */
placement_t *placement_feed_table(placement_feed_t *table);

/* Follow an owner of the view, if the rule of updates_should_subscribe() says
 * so. */
void placement_feed_follow(placement_feed_t *table, const live_owners_t *view,
			   const char *owner, ms_t now);

/* The same, over a new connection to the owner: its state is asked for anew. */
void placement_feed_follow_connected(placement_feed_t *table,
				     const live_owners_t *view,
				     const char *owner, ms_t now);
void placement_feed_unfollow(placement_feed_t *table, const char *owner);
void placement_feed_handle_message(placement_feed_t *table, const char *owner,
				   const updates_message_t *message, ms_t now);

/*
 * An endpoint of this process: one adapter that became resident or is gone
 * (both may be NULL), and its load.
 */
void placement_feed_update_local(placement_feed_t *table, const char *endpoint,
				 const char *owner, int64_t epoch,
				 const char *added, const char *removed,
				 const slots_utilization_t *load, ms_t now);
void placement_feed_remove_local(placement_feed_t *table, const char *endpoint);

void placement_feed_tick(placement_feed_t *table, ms_t now);

/* Without what has seconds to wait. */
ms_t placement_feed_due(const placement_feed_t *table);

/* The load as it is told in news, and back. */
void placement_feed_load_to_update(const slots_utilization_t *load,
				   updates_load_t *news);
void placement_feed_load_from_update(const updates_load_t *news,
				     slots_utilization_t *load);

#endif
