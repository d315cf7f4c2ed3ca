#ifndef FRONT_ADAPTERS_PRIVATE_H
#define FRONT_ADAPTERS_PRIVATE_H

/* The parts of adapters.h that its files share. */

#include "base/counter.h"
#include "front/adapters.h"
#include "hold/adapter_cache.h"
#include "hold/holdings.h"
#include "own/lease.h"
#include "serve/peers.h"
#include "serve/ticker.h"

/* An engine that is held here. */
typedef struct {
	adapters_t *adapters;
	char *id;
	fleet_endpoint_t *endpoint; /* the incarnation that the cache is of */
	adapter_cache_t *cache;
	http_call_t *order; /* open calls, or NULL */
	http_call_t *report;
	ms_t ordered_at;
	GHashTable *subscribers; /* adapter to GPtrArray of conn_t or NULL */
} held_engine_t;

struct adapters {
	process_t *process;
	kv_t *kv;
	fleet_t *fleet;
	adapters_options_t options;
	adapters_events_t events;
	void *ctx;
	char *record; /* of this instance: where it listens */
	http_client_t *client;
	lease_t *lease;
	holdings_t *holdings;
	GHashTable *held; /* id to held_engine_t */
	ticker_t *ticker;
	gboolean is_synced;
	gboolean has_key;
	gboolean is_key_asked;
	gboolean is_stopping;
	guint writes_open;
	peers_t *peers;
	conn_server_t *server;
	const conn_identity_t *identity;
	GHashTable *records; /* instance to where it listens */
	GHashTable *used;    /* "engine adapter" told at the next beat */
	ms_t now;	     /* of the present tick */
	uv_timer_t beat;
	counter_t *orders;
	counter_t *reports;
	counter_t *refused;
	histogram_t *order_time;
};

/* adapters_hold.c: engines that are held here. */
void held_engine_begin(adapters_t *adapters, const char *engine);
void held_engine_end(adapters_t *adapters, const char *engine);
void held_engine_destroy(gpointer data);
/* Follow a new incarnation, and do what is due. */
void held_engine_tick(held_engine_t *held, ms_t now);
/* subscriber: a connection, or NULL for this instance. */
void held_engine_want(held_engine_t *held, conn_t *subscriber,
		      const char *adapter, int64_t version);
void held_engine_forget(held_engine_t *held, conn_t *subscriber);

/* adapters_peers.c: talk with the other instances. */
void adapters_peers_begin(adapters_t *adapters, GBytes *key);
void adapters_peers_instance(adapters_t *adapters, const char *instance,
			     const char *record);
gboolean adapters_peers_want(adapters_t *adapters, const char *holder,
			     const char *engine, const char *adapter,
			     int64_t version);
/* kind: what became of the adapter. */
typedef enum {
	NEWS_READY = 1,
	NEWS_DROPPED,
	NEWS_REFUSED,
	NEWS_WANT,
	NEWS_USED
} news_kind_t;
void adapters_tell(adapters_t *adapters, conn_t *subscriber, news_kind_t kind,
		   const char *engine, const char *adapter, int64_t version);
void adapters_peers_flush_used(adapters_t *adapters);

#endif
