#ifndef SERVE_TABLE_H
#define SERVE_TABLE_H

/*
 * Keeps the placement table of one process up to date, from the placement news
 * of the owners that it follows and, in an owner, from its own endpoints.
 *
 * While there is a connection to an owner, its last news stay valid, however
 * old they are.  Once the connection is lost they age, and the placement table
 * ignores them after a time.
 */

#include <glib.h>

#include "member/news.h"
#include "sched/placement.h"
#include "serve/view.h"

typedef struct placement_feed table_t;

typedef struct {
	/* Request the complete state of an owner. */
	void (*ask)(void *ctx, const char *owner);
	/* Whether there is a connection to an owner now. */
	gboolean (*is_up)(void *ctx, const char *owner);
} table_actions_t;

/*
 * region and failure_domain are those of this instance.  All arguments but
 * actions, which is copied, must outlive the feed.
 */
table_t *table_create(GRand *rand, const char *region,
		      const char *failure_domain,
		      const table_actions_t *actions, void *ctx);
void table_destroy(table_t *feed);

/* The placement table itself, for lookups; owned by the table_t. */
placement_t *table_placement(table_t *feed);

/* Follow an owner of the view if news_should_follow() selects it. */
void table_follow(table_t *feed, const view_t *view, const char *owner,
		  ms_t now);

/*
 * Follow an owner over a new connection, which requests its complete state
 * again.
 */
void table_connected(table_t *feed, const view_t *view, const char *owner,
		     ms_t now);
void table_unfollow(table_t *feed, const char *owner);
void table_receive(table_t *feed, const char *owner,
		   const news_message_t *message, ms_t now);

/*
 * Update an endpoint of this process: its load, and one adapter that was added
 * or removed; both may be NULL.
 */
void table_local(table_t *feed, const char *endpoint, const char *owner,
		 int64_t epoch, const char *added, const char *removed,
		 const slots_utilization_t *load, ms_t now);
void table_local_gone(table_t *feed, const char *endpoint);

void table_tick(table_t *feed, ms_t now);

/*
 * When table_tick() is due for the news.  Repeating the state of idle endpoints
 * is not included: any tick in the next seconds is early enough.
 */
ms_t table_due(const table_t *feed);

/* Convert the load of an endpoint to the form used in news, and back. */
void table_load_to_news(const slots_utilization_t *load, news_load_t *news);
void table_load_from_news(const news_load_t *news, slots_utilization_t *load);

#endif
