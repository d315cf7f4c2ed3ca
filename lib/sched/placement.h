#ifndef SCHED_PLACEMENT_H
#define SCHED_PLACEMENT_H

/*
 * The placement table: which adapter versions are resident on which endpoint,
 * the utilization of each endpoint, and the instance that owns it.
 *
 * The table is soft state, built from the numbered updates of the owners, and
 * may be stale; the owner of an endpoint is authoritative.  Only resident
 * adapters are stored, so that memory grows with the number of slots in the
 * deployment, not with the number of adapters.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "sched/slots.h"

typedef struct placement placement_t;

typedef enum {
	PLACEMENT_APPLIED,
	PLACEMENT_OUTDATED, /* earlier epoch or repeated sequence; ignored */
	PLACEMENT_GAP /* an update is missing; a snapshot must be requested */
} placement_result_t;

/*
 * A state update of one endpoint.  The strings need to be valid only during
 * placement_apply().
 */
typedef struct {
	const char *endpoint;
	const char *owner;
	uint64_t epoch;	   /* increases with each change of the owner */
	uint64_t sequence; /* number of the update in its epoch, from 1 */
	gboolean snapshot; /* added lists all resident adapters */
	const char *const *added;   /* NULL-terminated array, or NULL */
	const char *const *removed; /* like added; NULL in a snapshot */
	slots_utilization_t load;
} placement_update_t;

typedef struct {
	const char *endpoint; /* owned by the table, valid until it changes */
	const char *owner;
	double load;	   /* running and waiting requests / concurrency */
	int replicas;	   /* endpoints on which the adapter is resident */
	ms_t age;	   /* time since the last update of the endpoint */
	gboolean affinity; /* chosen because of its cached prompt prefix */
} placement_choice_t;

typedef struct {
	/* Maximum additional load accepted for a prefix cache hit. */
	double affinity_slack;
	/* Endpoints without an update for this long are not chosen. */
	ms_t stale_after;
	/* Number of prompt prefixes whose last endpoint is remembered. */
	unsigned int prefix_limit;
} placement_config_t;

void placement_config_init(placement_config_t *config);

/* rand is not copied and must outlive the table. */
placement_t *placement_create(const placement_config_t *config, GRand *rand);
void placement_destroy(placement_t *placement);

/* Apply an update, unless it is outdated or an earlier one is missing. */
placement_result_t placement_apply(placement_t *placement, ms_t now,
				   const placement_update_t *update);
void placement_remove_endpoint(placement_t *placement, const char *endpoint);

/* Remove an adapter after its owner reported that it is not resident. */
void placement_remove_adapter(placement_t *placement, const char *endpoint,
			      const char *adapter);

/*
 * Choose an endpoint on which the adapter is resident: the less loaded of two
 * random ones, or the one that last ran this prompt prefix if its load is at
 * most affinity_slack higher.  prefix is a hash of the start of the prompt, or
 * 0.  Returns FALSE if the adapter is not resident on any usable endpoint.
 */
gboolean placement_choose(placement_t *placement, ms_t now, const char *adapter,
			  uint64_t prefix, placement_choice_t *choice);

/*
 * Record that a request was sent to the endpoint.  It counts as load until the
 * next update of the endpoint.
 */
void placement_record_sent(placement_t *placement, const char *endpoint,
			   uint64_t prefix);

/*
 * Call visit for each endpoint that is not stale and not leaving, in no
 * particular order.  holds is TRUE if the adapter is resident there; adapter
 * may be NULL.
 */
typedef void (*placement_visit_t)(void *ctx, const char *endpoint,
				  const char *owner,
				  const slots_utilization_t *load,
				  gboolean holds);
void placement_foreach(const placement_t *placement, ms_t now,
		       const char *adapter, placement_visit_t visit, void *ctx);

gboolean placement_is_resident(const placement_t *placement,
			       const char *endpoint, const char *adapter);

/* The number of endpoints on which the adapter is resident. */
int placement_replicas(const placement_t *placement, const char *adapter);
const char *placement_owner(const placement_t *placement, const char *endpoint);
unsigned int placement_endpoint_count(const placement_t *placement);
unsigned int placement_adapter_count(const placement_t *placement);

#endif
