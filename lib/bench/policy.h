#ifndef BENCH_POLICY_H
#define BENCH_POLICY_H

/*
 * The policies that are compared: baselines, ours, and ours with one mechanism
 * off at a time.
 */

#include <glib.h>

#include "base/clock.h"

typedef enum {
	ROUTE_HOME,	  /* placement table and homes */
	ROUTE_FLEET,	  /* route/fleet.h, as hc-front chooses engines */
	ROUTE_LEAST_LOAD, /* any endpoint with least load */
	ROUTE_HASH	  /* fixed hash of the adapter */
} routing_t;

typedef enum {
	GRANT_BROKER,
	GRANT_FIFO,  /* brokered, the oldest first */
	GRANT_DIRECT /* every load is ordered at once */
} granting_t;

typedef struct {
	const char *name;
	ms_t news;     /* between two news of one endpoint */
	ms_t load_lag; /* age of the load in them */
	routing_t routing;
	granting_t granting;
	gboolean recency; /* least recently used is unloaded */
	gboolean no_hold; /* an adapter just used may be unloaded */
	gboolean no_replicas;
	gboolean no_memory; /* homes forget what they have just placed */
	gboolean no_affinity;
	gboolean no_priorities;
	gboolean ahead;	     /* the next adapter of a round is declared */
	gboolean full_view;  /* homes look at all endpoints */
	gboolean blind;	     /* one entry sees no news for a minute */
	unsigned int sample; /* endpoints a home looks at; 0 as usual */
} policy_t;

extern const policy_t policies[];
extern const int policy_count;

/* The policy of this name, or NULL. */
const policy_t *policy_find(const char *name);

#endif
