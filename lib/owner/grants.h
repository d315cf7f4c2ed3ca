#ifndef OWNER_GRANTS_H
#define OWNER_GRANTS_H

/*
 * Load grants of one weight store: the broker client of this owner, and the
 * broker itself, which is used while this instance is the chosen broker.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/broker_client.h"
#include "serve/message.h"

typedef struct grants grants_t;

typedef struct {
	/* Sends a message to the owner on another instance. */
	void (*send)(void *ctx, const char *instance, const void *message);
	/* Returns whether the owner on that instance is connected. */
	gboolean (*is_up)(void *ctx, const char *instance);
	/*
	 * An endpoint of this instance got a grant; returns FALSE if it is not
	 * used.
	 */
	gboolean (*grant)(void *ctx, const char *endpoint, const char *adapter);
} grants_actions_t;

typedef struct {
	const char *self;  /* this instance; outlives the object */
	double rate;	   /* loads per second */
	int transit_limit; /* loads in progress at once */
} grants_options_t;

grants_t *grants_create(const grants_options_t *options,
			const grants_actions_t *actions, void *ctx, ms_t now);
void grants_destroy(grants_t *grants);

/*
 * Sets the instance that is the broker now (NULL if there is none) and the
 * number of live owners.
 */
void grants_set_broker(grants_t *grants, const char *instance, int members,
		       ms_t now);
void grants_set_limits(grants_t *grants, double rate, int transit_limit);

/* Calls of the endpoints of this instance; they are passed to the broker. */
void grants_request_load(grants_t *grants, const char *endpoint,
			 const load_request_t *want, ms_t now);
void grants_withdraw_request(grants_t *grants, const char *endpoint,
			     const char *adapter);
void grants_load_ended(grants_t *grants, const char *endpoint,
		       const char *adapter, gboolean is_returned, ms_t now);

/*
 * Handles a message of type MESSAGE_LOAD_REQUEST, MESSAGE_LOAD_CANCEL,
 * MESSAGE_LOAD_ENDED or MESSAGE_GRANT that the owner on another instance sent.
 */
void grants_receive(grants_t *grants, const char *from, const void *message,
		    ms_t now);

void grants_tick(grants_t *grants, ms_t now);

/* Returns whether this instance is the broker and loads wait for a grant. */
gboolean grants_is_busy(const grants_t *grants);

#endif
