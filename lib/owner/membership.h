#ifndef OWNER_MEMBERSHIP_H
#define OWNER_MEMBERSHIP_H

/*
 * Fleet membership of this instance.  It runs the membership protocol of
 * member/member.h over connections to the other owners, and finds them in the
 * platform's instance list and in the instance records of the key-value
 * service.
 */

#include <glib.h>

#include "kv/kv.h"
#include "serve/peers.h"
#include "serve/process.h"
#include "serve/live_owners.h"

typedef struct membership membership_t;

typedef struct {
	/* The set of live owners, or the data of one, has changed. */
	void (*on_view)(void *ctx);
	/* A connection to another owner was established, or closed. */
	void (*on_up)(void *ctx, const char *instance);
	void (*on_down)(void *ctx, const char *instance);
	/* Another owner sent a message that is not about membership. */
	void (*on_message)(void *ctx, const char *instance,
			   const msgpack_object *message);
	/* A peer has a newer document in force. */
	void (*on_generation)(void *ctx, const char *instance,
			      int64_t generation);
	/* The platform lists an endpoint as leaving, or no longer so. */
	void (*on_endpoint)(void *ctx, const char *endpoint,
			    gboolean is_leaving);
	/* The platform or a peer requested a planned stop of this instance. */
	void (*on_leave_requested)(void *ctx);
} membership_events_t;

/*
 * kv may be NULL; no instance records are read then.  The arguments outlive the
 * object.
 */
membership_t *membership_create(process_t *process, kv_t *kv,
				const membership_events_t *events, void *ctx,
				GError **error);

/* Returns whether a message is one that membership_receive() handles. */
gboolean membership_is_message(const msgpack_object *message);
void membership_receive(membership_t *membership,
			const msgpack_object *message);

void membership_tick(membership_t *membership);

/* Returns when the protocol's next tick is due; record reads don't count. */
ms_t membership_due(const membership_t *membership);

/* Announces the generation of the document in force here to the peers. */
void membership_set_generation(membership_t *membership, int64_t generation);

/*
 * membership_leave() announces that this instance is leaving, and
 * membership_left() that it has left.
 */
void membership_leave(membership_t *membership);
void membership_left(membership_t *membership);

/* Returns the live owners, including this instance. */
const live_owners_t *membership_view(const membership_t *membership);

/* Returns FALSE if there is no connection to that owner. */
gboolean membership_send(membership_t *membership, const char *instance,
			 codec_writer_t *message);

gboolean membership_is_up(const membership_t *membership, const char *instance);

gboolean membership_endpoint_is_leaving(const membership_t *membership,
					const char *endpoint);

#endif
