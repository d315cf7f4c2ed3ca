#ifndef OWNER_OWNER_PRIVATE_H
#define OWNER_OWNER_PRIVATE_H

/*
 * What owner.c (the parts and how they are joined) and owner_messages.c (what
 * other processes ask) share.
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
	tenure_t *tenure;
	orphans_t *orphans;
	ms_t orphans_due;
	membership_t *membership;
	follow_t *follow;
	hosting_t *hosting;
	placement_feed_t *table;
	updates_sender_t *news;
	GHashTable *followers; /* of news: "role/instance" to conn_t */
	GHashTable *locals;    /* conn_t of entry and admin of this instance */
	home_t *home;
	quota_home_t *quota_home;
	document_t *document; /* in force, or NULL */
	ticker_t *ticker;
	ms_t home_due;
	ms_t next_load_news;
	ms_t next_quota_tick;
	gboolean is_stopping;
	gboolean is_released;
};

ms_t owner_now(const owner_t *owner);
const char *owner_self(const owner_t *owner);

void owner_send_conn(conn_t *conn, const void *message);

/*
 * Whether an endpoint is an engine whose base model the adapter is for; ctx is
 * the owner.
 */
gboolean owner_may_hold(void *ctx, const char *endpoint, const char *adapter);

/* FALSE if there is no connection to that owner. */
gboolean owner_send_peer(owner_t *owner, const char *instance,
			 const void *message);

/* For the connections of entries, admins and other owners. */
extern const conn_events_t owner_conn_events;

/* A message that came on a connection which this owner made. */
void owner_take_peer(void *ctx, const char *instance,
		     const msgpack_object *object);

/* Tell the processes of this instance which owners are live. */
void owner_view_changed(owner_t *owner);

#endif
