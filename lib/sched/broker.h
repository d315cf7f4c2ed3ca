#ifndef SCHED_BROKER_H
#define SCHED_BROKER_H

/*
 * The load broker of one weight store: limits and prioritizes adapter loads.
 *
 * Endpoint owners send load requests, and the broker grants them within the
 * load rate of the store and its limit of loads in transit, that is, granted
 * and not yet reported as ended.  The broker holds only soft state: if two
 * brokers are active for a short time, loads become slower, but correctness is
 * not affected.
 *
 * Most grants go to the load request with the highest benefit, computed from
 * the number, priority and age of the waiting requests.  One grant in
 * BROKER_OLDEST_FIRST_INTERVAL goes to the oldest load request, so that each is
 * granted within BROKER_OLDEST_FIRST_INTERVAL * count / rate seconds, where
 * count is the number of load requests.  Prefetches are granted only when no
 * other load request is left.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/slots.h"

#define BROKER_OLDEST_FIRST_INTERVAL 4

typedef struct broker broker_t;

typedef struct {
	double rate;	      /* loads per second */
	int transit_limit;    /* maximum number of loads in transit */
	ms_t transit_timeout; /* a load in transit for longer counts as ended */
	int request_limit;    /* further load requests are dropped */
	gboolean fifo;	      /* always grant the oldest load request */
} broker_config_t;

void broker_config_init(broker_config_t *config, double rate,
			int transit_limit);

typedef struct {
	void (*grant)(void *ctx, const char *endpoint, const char *adapter);
} broker_actions_t;

broker_t *broker_create(const broker_config_t *config,
			const broker_actions_t *actions, void *ctx);
void broker_destroy(broker_t *broker);

/* Change the limits, for example when the number of live members changes. */
void broker_set_limits(broker_t *broker, double rate, int transit_limit);

/*
 * Add a load request, or replace an earlier one for the same endpoint and
 * adapter.  The names are copied.
 */
void broker_request_load(broker_t *broker, ms_t now, const char *endpoint,
			 const load_request_t *params);
void broker_cancel_request(broker_t *broker, const char *endpoint,
			   const char *adapter);

/* Report that a granted load has ended, successfully or not. */
void broker_load_ended(broker_t *broker, ms_t now, const char *endpoint,
		       const char *adapter);

/* Return an unused grant; another load may be granted in its place. */
void broker_return_grant(broker_t *broker, ms_t now, const char *endpoint,
			 const char *adapter);

/*
 * The endpoint has a new owner: remove its load requests, but keep its loads in
 * transit.
 */
void broker_owner_changed(broker_t *broker, const char *endpoint);

/* The endpoint was removed: remove its load requests and loads in transit. */
void broker_endpoint_gone(broker_t *broker, const char *endpoint);

/*
 * Grant loads within the limits.  Returns the time of the next call, or
 * MS_NEVER.
 */
ms_t broker_tick(broker_t *broker, ms_t now);

/* The number of loads in transit. */
int broker_in_transit(const broker_t *broker);

/* The number of load requests that were not granted yet. */
int broker_request_count(const broker_t *broker);

#endif
