#ifndef OWNER_GRANTS_H
#define OWNER_GRANTS_H

/*
 * Load grants of one weight store, on both sides: this owner's client of the
 * broker, and the broker itself when this instance is the one chosen for it.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/broker_client.h"
#include "serve/message.h"

typedef struct grants grants_t;

typedef struct {
	/* Send a message to the owner on another instance. */
	void (*send)(void *ctx, const char *instance, const void *message);
	/* Whether the owner on that instance is in reach. */
	gboolean (*is_up)(void *ctx, const char *instance);
	/* A grant for an endpoint of this instance. */
	gboolean (*grant)(void *ctx, const char *endpoint, const char *adapter);
} grants_actions_t;

typedef struct {
	const char *self; /* this instance; outlives the object */
	double rate;	  /* loads a second */
	int transit_limit;
} grants_options_t;

grants_t *grants_create(const grants_options_t *options,
			const grants_actions_t *actions, void *ctx, ms_t now);
void grants_destroy(grants_t *grants);

/* Who is the broker now, and among how many live owners. */
void grants_set_broker(grants_t *grants, const char *instance, int members,
		       ms_t now);
void grants_set_limits(grants_t *grants, double rate, int transit_limit);

/* From the endpoints of this instance. */
void grants_want(grants_t *grants, const char *endpoint,
		 const load_request_t *want, ms_t now);
void grants_withdraw(grants_t *grants, const char *endpoint,
		     const char *adapter);
void grants_load_ended(grants_t *grants, const char *endpoint,
		       const char *adapter, gboolean is_returned, ms_t now);

/* From other owners: WANT, WITHDRAW, LOAD_ENDED and GRANT. */
void grants_receive(grants_t *grants, const char *from, const void *message,
		    ms_t now);

void grants_tick(grants_t *grants, ms_t now);

/* Whether a load that was asked for here waits for a grant. */
gboolean grants_is_busy(const grants_t *grants);

#endif
