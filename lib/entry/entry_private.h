#ifndef ENTRY_ENTRY_PRIVATE_H
#define ENTRY_ENTRY_PRIVATE_H

/*
 * What entry.c (the parts and how they are joined), entry_request.c (what
 * callers ask) and entry_messages.c (what owners say) share.
 */

#include "config/document.h"
#include "entry/entry_claims.h"
#include "entry/entry.h"
#include "entry/exchange.h"
#include "entry/routing.h"
#include "follow/follow.h"
#include "request/quota.h"
#include "serve/message.h"
#include "serve/peers.h"
#include "serve/placement_feed.h"
#include "serve/ticker.h"
#include "serve/live_owners.h"

struct entry {
	process_t *process;
	const process_settings_t *settings;
	int64_t places;
	setting_t extra[2];
	http_server_t *server;
	http_server_t *status;
	live_owners_t *view;
	peers_t *peers;
	GHashTable *seen; /* owners of the view that is being received */
	placement_feed_t *table;
	kv_t *kv;
	follow_t *follow;
	claiming_t *claiming;
	routing_t *routing;
	admit_t *admit;
	quota_t *quota;
	ms_t quota_due;
	retry_t *retry;
	document_t *document;
	exchange_env_t env;
	GHashTable *exchanges; /* request identifier to exchange_t */
	ticker_t *ticker;
	uv_prepare_t ready;
	gboolean is_stopping;
	gboolean is_released;
};

ms_t entry_now(const entry_t *entry);

/* FALSE if there is no connection to that owner. */
gboolean entry_send_owner(void *ctx, const char *instance, const void *message);

/* Refuses a stranger's request before its body has come. */
GError *entry_guard(void *ctx, const char *authorization);

/* The handler of all paths of callers. */
void entry_take_request(void *ctx, http_request_t *http);

/* Admit by the limits of a document from now on. */
void entry_set_limits(entry_t *entry, document_t *document);

/* For the connections to owners. */
extern const peers_events_t entry_peers_events;

#endif
