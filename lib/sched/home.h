#ifndef SCHED_HOME_H
#define SCHED_HOME_H

/*
 * The homes of adapters: who gathers the demand of one adapter from all entries
 * and picks the endpoint for a miss.
 *
 * A placement that was answered is remembered until the load is seen in the
 * placement table, so that one load serves all who wait.  A hot adapter gets a
 * further replica after it was crowded for some time, and loses one after it
 * was quiet for a longer time; the gap between the two keeps an adapter from
 * moving back and forth.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/placement.h"

typedef struct home home_t;

typedef struct {
	ms_t pending_time;   /* a placement not seen by then is redone */
	int replica_limit;   /* endpoints for one adapter */
	double crowded_load; /* requests per place that ask for more */
	double quiet_load;   /* requests per place that need fewer */
	ms_t crowded_time;   /* crowded this long adds a replica */
	ms_t quiet_time;     /* quiet this long drops one */
	unsigned int sample; /* endpoints looked at; 0 for all */
	double stall_weight; /* 0 favours full batches, 1 short stalls */
} home_config_t;

void home_config_init(home_config_t *config);

typedef struct {
	/* The owner of the endpoint is told to demote the adapter. */
	void (*drop)(void *ctx, const char *endpoint, const char *adapter);
	/*
	 * Whether the endpoint is an engine whose base model the adapter is
	 * for; the placement table holds the endpoints of all services.  NULL
	 * if all are.
	 */
	gboolean (*may_hold)(void *ctx, const char *endpoint,
			     const char *adapter);
} home_actions_t;

typedef enum {
	HOME_RESIDENT,	 /* the endpoint holds it already */
	HOME_PENDING,	 /* a load there is under way or asked for */
	HOME_CHOSEN,	 /* a load there is now asked for */
	HOME_NO_ENDPOINT /* no endpoint can take it */
} home_result_t;

typedef struct {
	const char *endpoint; /* valid until the placement table changes */
	const char *owner;
} home_choice_t;

/* The placement table and rand outlive the object. */
home_t *home_create(const home_config_t *config, placement_t *placement,
		    const home_actions_t *actions, void *ctx, GRand *rand);
void home_destroy(home_t *home);

/* Take the weight of a newer document. */
void home_set_stall_weight(home_t *home, double weight);

/*
 * An entry asks where to send a request: its table had no endpoint (a miss),
 * or all that hold the adapter are crowded.
 */
home_result_t home_place(home_t *home, ms_t now, const char *adapter,
			 gboolean crowded, home_choice_t *choice);

/*
 * The load failed there, or the endpoint is leaving or gone: choose another.
 * Not for a refusal for overload, which another endpoint would not mend.
 */
void home_load_failed(home_t *home, ms_t now, const char *adapter,
		      const char *endpoint);

/* Returns the time of the next call. */
ms_t home_tick(home_t *home, ms_t now);

unsigned int home_adapter_count(const home_t *home);

#endif
