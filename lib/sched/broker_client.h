#ifndef SCHED_BROKER_CLIENT_H
#define SCHED_BROKER_CLIENT_H

/*
 * An owner's side of the load broker, with a fallback.
 *
 * Wants go to the broker.  When it has said nothing for the silence limit while
 * wants are open, grants are given locally at the rate of the store divided by
 * the number of live members.  When it speaks again, or another instance
 * becomes the broker, all open wants are sent anew.
 */

#include <glib.h>

#include "base/clock.h"
#include "sched/slots.h"

typedef struct broker_client broker_client_t;

typedef struct {
	double rate;	   /* loads a second of the whole deployment */
	int transit_limit; /* of the whole deployment */
	int members;	   /* live instances that order loads */
	ms_t silence;	   /* without a word from the broker */
} broker_client_config_t;

typedef struct {
	/* To the broker. */
	void (*send_want)(void *ctx, const char *endpoint,
			  const load_request_t *want);
	void (*send_withdraw)(void *ctx, const char *endpoint,
			      const char *adapter);
	void (*send_load_ended)(void *ctx, const char *endpoint,
				const char *adapter, gboolean returned);
	/*
	 * To slots_grant() of the endpoint; returns what that returned.  A
	 * grant that was of no use is given back to the broker.
	 */
	gboolean (*grant)(void *ctx, const char *endpoint, const char *adapter);
} broker_client_actions_t;

broker_client_t *broker_client_create(const broker_client_config_t *config,
				      const broker_client_actions_t *actions,
				      void *ctx);
void broker_client_destroy(broker_client_t *client);

/*
 * From slots: the want_load and withdraw_load actions, and ends of loads; a
 * grant that was not used is returned.
 */
void broker_client_request_load(broker_client_t *client, ms_t now,
				const char *endpoint,
				const load_request_t *want);
void broker_client_cancel_request(broker_client_t *client, const char *endpoint,
				  const char *adapter);
void broker_client_load_ended(broker_client_t *client, ms_t now,
			      const char *endpoint, const char *adapter,
			      gboolean is_returned);

/* From the broker: a grant, or any other sign of life. */
void broker_client_granted(broker_client_t *client, ms_t now,
			   const char *endpoint, const char *adapter);
void broker_client_note_broker_active(broker_client_t *client, ms_t now);

/* Another instance is the broker now; open wants are sent to it. */
void broker_client_set_broker_changed(broker_client_t *client, ms_t now);
void broker_client_set_members(broker_client_t *client, int members);

/* Returns the time of the next call, or MS_NEVER. */
ms_t broker_client_tick(broker_client_t *client, ms_t now);

gboolean broker_client_is_local(const broker_client_t *client);

#endif
