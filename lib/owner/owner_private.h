#ifndef OWNER_OWNER_PRIVATE_H
#define OWNER_OWNER_PRIVATE_H

/*
 * The interface between owner.c, which creates and connects the modules of an
 * owner, and owner_messages.c, which handles messages of other processes.
 */

#include "config/document.h"
#include "follow/follow.h"
#include "kv/kv_etcd.h"
#include "member/placement_updates.h"
#include "owner/owned_endpoints.h"
#include "owner/membership.h"
#include "owner/owner.h"
#include "owner/ownership_driver.h"
#include "request/quota_home.h"
#include "sched/home.h"
#include "serve/message.h"
#include "serve/placement_feed.h"
#include "serve/ticker.h"

struct owner {
	process_t *process;
	const process_settings_t *settings;
	http_server_t *status;
	conn_server_t *server;
	endpoint_env_t env;
	kv_t *kv;
	ownership_driver_t *ownership;
	orphans_t *orphans;
	ms_t orphans_due;
	membership_t *membership;
	follow_t *follow;
	owned_endpoints_t *endpoints;
	placement_feed_t *table;
	updates_sender_t *news;
	GHashTable *subscribers; /* of news: "role/instance" to conn_t */
	GHashTable *local_conns; /* conn_t of this instance's entry and admin */
	home_t *home;
	quota_home_t *quota_home;
	document_t *document; /* the one in force, or NULL */
	ticker_t *ticker;
	ms_t home_due;
	ms_t next_load_news;
	ms_t next_quota_tick;
	gboolean is_stopping;
	gboolean is_releasing;
};

ms_t owner_now(const owner_t *owner);
const char *owner_instance(const owner_t *owner);

void owner_send_conn(conn_t *conn, const void *message);

/*
 * Returns whether the endpoint is an engine, and serves the base model of the
 * adapter or the document lacks the adapter.  ctx is the owner.
 */
gboolean owner_is_compatible(void *ctx, const char *endpoint,
			     const char *adapter);

/* Returns FALSE if there is no connection to that owner. */
gboolean owner_send_peer(owner_t *owner, const char *instance,
			 const void *message);

/* Events of the connections that entries, admins and other owners open. */
extern const conn_events_t owner_conn_events;

/* Handles a message received on a connection that this owner opened. */
void owner_receive_peer(void *ctx, const char *instance,
			const msgpack_object *object);

/* Sends the list of live owners to the entry and admin of this instance. */
void owner_view_changed(owner_t *owner);

#endif
