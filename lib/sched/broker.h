#ifndef SCHED_BROKER_H
#define SCHED_BROKER_H

/*
 * The load broker of one weight store: grants loads by what they save.
 *
 * Owners say which adapters they want loaded where; the broker grants no more
 * than the store's rate and no more than its limit of loads in transit.  It is
 * soft state: two brokers for a moment cost speed, never correctness.
 *
 * Most grants go to the want that saves most: waiting requests weighed by
 * priority and age.  One grant in BROKER_FAIR_EVERY goes to the oldest want, so
 * that each want is granted within BROKER_FAIR_EVERY * wants / rate seconds.
 * Wants with nobody waiting are granted only when no other want is left.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/slots.h"

#define BROKER_FAIR_EVERY 4

typedef struct broker broker_t;

typedef struct {
	double rate;	   /* loads a second */
	int transit_limit; /* loads in transit at once */
	ms_t transit_time; /* a load not reported ended by then counts so */
	int want_limit;	   /* wants remembered; more are dropped */
	gboolean fifo;	   /* the oldest want always goes first */
} broker_config_t;

void broker_config_init(broker_config_t *config, double rate,
			int transit_limit);

typedef struct {
	void (*grant)(void *ctx, const char *endpoint, const char *adapter);
} broker_actions_t;

broker_t *broker_create(const broker_config_t *config,
			const broker_actions_t *actions, void *ctx);
void broker_destroy(broker_t *broker);

/* Change the limits, as when the number of live members changes. */
void broker_set_limits(broker_t *broker, double rate, int transit_limit);

/* Ask for a load, or replace what was asked.  The names are copied. */
void broker_request_load(broker_t *broker, ms_t now, const char *endpoint,
			 const load_request_t *want);
void broker_cancel_request(broker_t *broker, const char *endpoint,
			   const char *adapter);

/* The load of a grant has ended, well or not. */
void broker_load_ended(broker_t *broker, ms_t now, const char *endpoint,
		       const char *adapter);

/* A grant was not used; its share of the rate goes to another want. */
void broker_return_grant(broker_t *broker, ms_t now, const char *endpoint,
			 const char *adapter);

/* The endpoint has a new owner: forget its wants; loads under way go on. */
void broker_owner_changed(broker_t *broker, const char *endpoint);

/* The endpoint has gone: forget its wants and loads. */
void broker_endpoint_gone(broker_t *broker, const char *endpoint);

/* Grant what may be granted; returns the time of the next call. */
ms_t broker_tick(broker_t *broker, ms_t now);

int broker_in_transit(const broker_t *broker);
int broker_request_count(const broker_t *broker);

#endif
