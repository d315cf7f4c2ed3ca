#ifndef ENTRY_ENTRY_PRIVATE_H
#define ENTRY_ENTRY_PRIVATE_H

/*
 * Shared by entry.c (start, stop and the connections between the parts),
 * entry_request.c (requests of callers) and entry_messages.c (messages of
 * owners).
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
	GHashTable *received_owners; /* names in the view being received */
	placement_feed_t *placement_feed;
	kv_t *kv;
	follow_t *follow;
	entry_claims_t *claims;
	routing_t *routing;
	admit_t *admit;
	quota_t *quota;
	ms_t quota_due;
	retry_t *retry;
	document_t *document;
	exchange_env_t env;
	GHashTable *exchanges; /* request identifier to exchange_t */
	ticker_t *ticker;
	uv_prepare_t prepare;
	gboolean is_stopping;
	gboolean is_released; /* entry_claims_release() was called */
};

ms_t entry_now(const entry_t *entry);

/* Send to the owner of an instance; FALSE if there is no connection to it. */
gboolean entry_send_to_owner(void *ctx, const char *instance,
			     const void *message);

/* Refuse a request with an unknown token before its body is received. */
GError *entry_check_token(void *ctx, const char *authorization);

/* The HTTP handler of all paths that callers use. */
void entry_handle_request(void *ctx, http_request_t *http);

/* Apply the limits of a configuration document to admission. */
void entry_set_limits(entry_t *entry, document_t *document);

/* Events of the connections to owners. */
extern const peers_events_t entry_peers_events;

#endif
