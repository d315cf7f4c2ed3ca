#ifndef BENCH_POLICY_H
#define BENCH_POLICY_H

/*
 * The policies under comparison: baselines, the project's own ("ours"), and
 * variants of it that change one mechanism or setting.
 */

#include <glib.h>

#include "base/clock.h"

typedef enum {
	ROUTE_HOME,	  /* placement table and homes */
	ROUTE_FLEET,	  /* route/fleet.h, as in hc-front */
	ROUTE_LEAST_LOAD, /* the endpoint with the least load */
	ROUTE_HASH	  /* rendezvous hash of the adapter */
} routing_t;

typedef enum {
	GRANT_BROKER,
	GRANT_FIFO,  /* by the broker, in order of request */
	GRANT_DIRECT /* without a broker, at once */
} granting_t;

typedef struct {
	const char *name;
	ms_t news_interval; /* between news of the same endpoint */
	ms_t load_lag; /* minimum time between updates of the load in news */
	routing_t routing;
	granting_t granting;
	gboolean lru;	  /* evict the least recently used adapter */
	gboolean no_hold; /* recently used adapters may be evicted at once */
	gboolean no_replicas;
	gboolean no_memory; /* homes do not track pending placements */
	gboolean no_affinity;
	gboolean no_priorities;
	gboolean declare_next; /* announce the likely next adapter of a round */
	gboolean full_view;    /* homes consider all endpoints */
	gboolean blind_entry;  /* one entry receives no news for a minute */
	unsigned int sample;   /* endpoints that a home considers; 0: default */
} policy_t;

extern const policy_t policies[];
extern const int policy_count;

/* Returns NULL if there is no policy of this name. */
const policy_t *policy_find(const char *name);

#endif
