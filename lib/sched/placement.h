#ifndef SCHED_PLACEMENT_H
#define SCHED_PLACEMENT_H

/*
 * The placement table: which adapter versions are resident on which endpoint,
 * how loaded each endpoint is, and who owns it.
 *
 * It is soft state, fed by the owners' numbered deltas, and may be stale: the
 * owner has the last word.  Only resident adapters take memory, so the size
 * follows the slots of the deployment and not the number of adapters.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "sched/slots.h"

typedef struct placement placement_t;

typedef enum {
	PLACEMENT_APPLIED,
	PLACEMENT_OLD, /* of an earlier epoch or number; ignored */
	PLACEMENT_GAP  /* deltas are missing; ask for a snapshot */
} placement_result_t;

/* News of one endpoint.  Strings are only read during the call. */
typedef struct {
	const char *endpoint;
	const char *owner;
	uint64_t epoch;		    /* of the ownership */
	uint64_t sequence;	    /* counts the news of one epoch from 1 */
	gboolean snapshot;	    /* added is all that is resident */
	const char *const *added;   /* NULL-terminated, or NULL */
	const char *const *removed; /* likewise; NULL in a snapshot */
	slots_utilization_t load;
} placement_update_t;

typedef struct {
	const char *endpoint; /* owned by the table, valid until it changes */
	const char *owner;
	double load;	   /* requests per place, running and waiting */
	int replicas;	   /* endpoints known to hold the adapter */
	ms_t age;	   /* since the last news of the endpoint */
	gboolean affinity; /* chosen for a likely prefix hit */
} placement_choice_t;

typedef struct {
	/* A prefix hit may cost this much more load. */
	double affinity_slack;
	/* News older than this no longer counts. */
	ms_t stale_after;
	/* Prefixes remembered. */
	unsigned int prefix_limit;
} placement_config_t;

void placement_config_init(placement_config_t *config);

/* rand breaks ties; it is kept by the caller and outlives the table. */
placement_t *placement_create(const placement_config_t *config, GRand *rand);
void placement_destroy(placement_t *placement);

placement_result_t placement_apply(placement_t *placement, ms_t now,
				   const placement_update_t *news);
void placement_remove_endpoint(placement_t *placement, const char *endpoint);

/* An owner answered that the adapter is not there. */
void placement_remove_adapter(placement_t *placement, const char *endpoint,
			      const char *adapter);

/*
 * Choose the endpoint for a hit: the less loaded of two random ones that hold
 * the adapter, or the one that ran this prefix last if that costs little more.
 * prefix is a hash of the prompt's beginning, 0 for none.  FALSE for a miss.
 */
gboolean placement_choose(placement_t *placement, ms_t now, const char *adapter,
			  uint64_t prefix, placement_choice_t *choice);

/* Requests sent since the last news count into the load. */
void placement_record_sent(placement_t *placement, const char *endpoint,
			   uint64_t prefix);

/*
 * Visit the endpoints that have fresh news and are not leaving, in no order.
 * holds tells whether the adapter, which may be NULL, is resident there.
 */
typedef void (*placement_visit_t)(void *ctx, const char *endpoint,
				  const char *owner,
				  const slots_utilization_t *load,
				  gboolean holds);
void placement_foreach(const placement_t *placement, ms_t now,
		       const char *adapter, placement_visit_t visit, void *ctx);

gboolean placement_is_resident(const placement_t *placement,
			       const char *endpoint, const char *adapter);

/* Endpoints known to hold the adapter. */
int placement_replicas(const placement_t *placement, const char *adapter);
const char *placement_owner(const placement_t *placement, const char *endpoint);
unsigned int placement_endpoint_count(const placement_t *placement);
unsigned int placement_adapter_count(const placement_t *placement);

#endif
