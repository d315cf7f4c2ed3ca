#ifndef OWNER_MEMBERSHIP_H
#define OWNER_MEMBERSHIP_H

/*
 * This instance among the others: the decisions of member/member.h joined with
 * connections to the other owners, the platform's instance list, and the
 * records of instances in the key-value service.
 */

#include <glib.h>

#include "kv/kv.h"
#include "serve/peers.h"
#include "serve/process.h"
#include "serve/live_owners.h"

typedef struct membership membership_t;

typedef struct {
	/* The live owners have changed. */
	void (*on_view)(void *ctx);
	/* A connection to another owner came up, or broke. */
	void (*on_up)(void *ctx, const char *instance);
	void (*on_down)(void *ctx, const char *instance);
	/* A message of another owner that is not about membership. */
	void (*on_message)(void *ctx, const char *instance,
			   const msgpack_object *message);
	/* A peer has a newer document in force. */
	void (*on_generation)(void *ctx, const char *instance,
			      int64_t generation);
	/* The platform says that an endpoint is leaving, or is back. */
	void (*on_endpoint)(void *ctx, const char *endpoint,
			    gboolean is_leaving);
	/* The platform or a peer wants this instance to leave. */
	void (*on_told_to_leave)(void *ctx);
} membership_events_t;

/* kv may be NULL after its destruction; the others outlive the object. */
membership_t *membership_create(process_t *process, kv_t *kv,
				const membership_events_t *events, void *ctx,
				GError **error);

/* Whether a message is for membership_receive(). */
gboolean membership_is_message(const msgpack_object *message);
void membership_receive(membership_t *membership,
			const msgpack_object *message);

void membership_tick(membership_t *membership);

/* Without the reads of records. */
ms_t membership_due(const membership_t *membership);

/* The document in force here, to be told to the others. */
void membership_set_generation(membership_t *membership, int64_t generation);

/* Begin the planned stop; membership_left() ends it. */
void membership_leave(membership_t *membership);
void membership_left(membership_t *membership);

/* The owners that are alive, this instance among them. */
const live_owners_t *membership_view(const membership_t *membership);

/* FALSE if there is no connection to that owner. */
gboolean membership_send(membership_t *membership, const char *instance,
			 codec_writer_t *message);

gboolean membership_is_up(const membership_t *membership, const char *instance);

gboolean membership_endpoint_is_leaving(const membership_t *membership,
					const char *endpoint);

#endif
