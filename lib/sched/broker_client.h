#ifndef SCHED_BROKER_CLIENT_H
#define SCHED_BROKER_CLIENT_H

/*
 * The client of the load broker, used by endpoint owners.
 *
 * Load requests are sent to the broker.  If the broker sends nothing for
 * silence_limit while load requests are open, the client falls back to local
 * grants, at the rate of the store divided by the number of live members.  When
 * the broker responds again, or another instance becomes the broker, all open
 * load requests are sent again.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/slots.h"

typedef struct broker_client broker_client_t;

typedef struct {
	double rate;	    /* loads per second of the whole deployment */
	int transit_limit;  /* loads in transit of the whole deployment */
	int members;	    /* live instances that order loads */
	ms_t silence_limit; /* broker silence that starts the fallback */
} broker_client_config_t;

typedef struct {
	/* Send a message to the broker. */
	void (*send_want)(void *ctx, const char *endpoint,
			  const load_request_t *params);
	void (*send_withdraw)(void *ctx, const char *endpoint,
			      const char *adapter);
	void (*send_load_ended)(void *ctx, const char *endpoint,
				const char *adapter, gboolean returned);
	/*
	 * Pass a grant to slots_grant() of the endpoint and return its result.
	 * A grant that is not accepted is returned to the broker.
	 */
	gboolean (*grant)(void *ctx, const char *endpoint, const char *adapter);
} broker_client_actions_t;

broker_client_t *broker_client_create(const broker_client_config_t *config,
				      const broker_client_actions_t *actions,
				      void *ctx);
void broker_client_destroy(broker_client_t *client);

/*
 * Events of an endpoint: the want_load and withdraw_load actions of slots.h,
 * and the end of a granted load.  is_returned means that the grant was not
 * used.
 */
void broker_client_request_load(broker_client_t *client, ms_t now,
				const char *endpoint,
				const load_request_t *params);
void broker_client_cancel_request(broker_client_t *client, const char *endpoint,
				  const char *adapter);
void broker_client_load_ended(broker_client_t *client, ms_t now,
			      const char *endpoint, const char *adapter,
			      gboolean is_returned);

/* Messages from the broker: a grant, or any other message. */
void broker_client_granted(broker_client_t *client, ms_t now,
			   const char *endpoint, const char *adapter);
void broker_client_note_broker_active(broker_client_t *client, ms_t now);

/* Another instance became the broker; open load requests are sent to it. */
void broker_client_set_broker_changed(broker_client_t *client, ms_t now);

/* Change the number of live members that share the limits of the store. */
void broker_client_set_members(broker_client_t *client, int members);

/*
 * Start the fallback or grant local loads when due.  Returns the time of the
 * next call, or MS_NEVER.
 */
ms_t broker_client_tick(broker_client_t *client, ms_t now);

/* TRUE during the fallback to local grants. */
gboolean broker_client_is_local(const broker_client_t *client);

#endif
