#ifndef KV_ETCD_WATCH_H
#define KV_ETCD_WATCH_H

/*
 * Watches over the etcd v3 JSON gateway.  Each is one streaming HTTP call whose
 * response body has a JSON object per line.
 *
 * A malformed (ERROR_PROTOCOL) or overlong (ERROR_TOO_LARGE) line ends the
 * watch, as does a broken or silent connection.
 */

#include "http/http_client.h"
#include "kv/kv.h"

typedef struct {
	char host[64];
	int port;
} etcd_address_t;

typedef struct etcd_watches etcd_watches_t;

/*
 * client, addresses (of etcd_address_t) and current (index of the address in
 * use) are not owned and must outlive the watches.  A watch that gets no HTTP
 * response tries the other addresses in turn before it ends.
 */
etcd_watches_t *etcd_watches_create(http_client_t *client,
				    const GArray *addresses, guint *current);

/* Stop all watches; no callbacks run afterwards. */
void etcd_watches_destroy(etcd_watches_t *watches);

kv_watch_t *etcd_watch_start(etcd_watches_t *watches, const char *prefix,
			     int64_t after, kv_watch_event_t on_event,
			     kv_watch_end_t on_end, void *ctx);

/* Stop one watch; no callbacks run afterwards. */
void etcd_watch_stop(kv_watch_t *watch);

#endif
