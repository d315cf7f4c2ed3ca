#ifndef SCHED_HOME_H
#define SCHED_HOME_H

/*
 * Placement of adapters on endpoints.  Each adapter has a home: the instance
 * that receives the placement queries of all entries for this adapter, and
 * chooses the endpoint to load it on when it is not resident.
 *
 * A chosen endpoint is kept as pending until the adapter appears in the
 * placement table, so that all waiting requests share one load.
 *
 * An adapter is crowded while entries report replicas with a load of at least
 * crowded_load, where load is the number of running and waiting requests
 * divided by the concurrency limit.  It gets another replica if it is crowded
 * for crowded_time, and loses one if the mean load of its replicas stays below
 * quiet_load for quiet_time.  The difference between the two thresholds is a
 * hysteresis against repeatedly adding and dropping replicas.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/placement.h"

typedef struct home home_t;

typedef struct {
	ms_t pending_time;   /* after this a missing load is placed again */
	int replica_limit;   /* maximum number of replicas of an adapter */
	double crowded_load; /* minimum load for another replica */
	double quiet_load;   /* maximum mean load for dropping a replica */
	ms_t crowded_time;   /* crowded for this long adds a replica */
	ms_t quiet_time;     /* quiet for this long drops a replica */
	unsigned int sample; /* endpoints to compare per choice; 0 for all */
	double stall_weight; /* 0 favours full batches, 1 short stalls */
} home_config_t;

void home_config_init(home_config_t *config);

typedef struct {
	/* Send the owner of the endpoint a request to demote the adapter. */
	void (*drop)(void *ctx, const char *endpoint, const char *adapter);
	/*
	 * Return TRUE if the endpoint is an engine with the base model of the
	 * adapter; the placement table contains the endpoints of all services.
	 * NULL if every endpoint can hold every adapter.
	 */
	gboolean (*may_hold)(void *ctx, const char *endpoint,
			     const char *adapter);
} home_actions_t;

typedef enum {
	HOME_RESIDENT,	   /* the adapter is resident on the endpoint */
	HOME_LOAD_PENDING, /* a load was requested there before */
	HOME_NEW_LOAD,	   /* the endpoint was chosen for a new load */
	HOME_NO_ENDPOINT   /* no endpoint can load the adapter */
} home_result_t;

typedef struct {
	const char *endpoint; /* valid until the placement table changes */
	const char *owner;
} home_choice_t;

/* The placement table and rand must outlive the object. */
home_t *home_create(const home_config_t *config, placement_t *placement,
		    const home_actions_t *actions, void *ctx, GRand *rand);
void home_destroy(home_t *home);

/* Set stall_weight from an updated configuration document. */
void home_set_stall_weight(home_t *home, double weight);

/*
 * Answer a placement query of an entry: choose an endpoint for a request whose
 * adapter is resident nowhere (a miss), or whose chosen replica is crowded.
 */
home_result_t home_place(home_t *home, ms_t now, const char *adapter,
			 gboolean crowded, home_choice_t *choice);

/*
 * Report that the load failed on the endpoint, or that the endpoint is leaving
 * or gone.  The next query avoids it.  Must not be called for a refusal due to
 * overload, because another endpoint would not help.
 */
void home_load_failed(home_t *home, ms_t now, const char *adapter,
		      const char *endpoint);

/*
 * Expire pending loads and drop surplus replicas.  Returns the time of the next
 * call.
 */
ms_t home_tick(home_t *home, ms_t now);

/* The number of adapters for which state is kept. */
unsigned int home_adapter_count(const home_t *home);

#endif
