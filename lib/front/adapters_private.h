#ifndef FRONT_ADAPTERS_PRIVATE_H
#define FRONT_ADAPTERS_PRIVATE_H

/* The parts of adapters.h that its files share. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/adapters.h"
#include "hold/adapter_cache.h"
#include "hold/engine_locks.h"
#include "own/lease.h"
#include "serve/peers.h"
#include "serve/ticker.h"

/* Messages of an instance that asks, then of the holder. */
typedef enum {
	MESSAGE_ASK = 1,
	MESSAGE_DONE,
	MESSAGE_LOAD_REQUEST,
	MESSAGE_NEWS,
	MESSAGE_GO,
	MESSAGE_WAIT,
	MESSAGE_REFUSED,
	MESSAGE_DROPPED
} message_type_t;

/* What a holder answers. */
typedef struct {
	message_type_t type;
	ask_id_t ask;
	int64_t version;     /* of GO */
	int running;	     /* of GO and REFUSED: requests at the engine */
	int waiting;	     /* likewise, at its holder */
	ms_t retry_after;    /* of REFUSED */
	refusal_t refusal;   /* of REFUSED */
	const char *engine;  /* of DROPPED */
	const char *adapter; /* of DROPPED */
} holder_news_t;

/* A request that the holder was asked for. */
typedef struct held_ask {
	TAILQ_ENTRY(held_ask) link;
	conn_t *asker; /* NULL for this instance */
	ask_id_t id;
	char *adapter; /* NULL for the base model alone */
	admission_queue_request_t request;
	ms_t since;
	ms_t load_max;
	ticket_t *ticket;    /* NULL while it waits for its adapter */
	gboolean is_refused; /* by the adapters of the engine */
} held_ask_t;

TAILQ_HEAD(held_ask_list, held_ask);

/* An engine that is held here. */
typedef struct {
	adapters_t *adapters;
	char *id;
	fleet_endpoint_t *endpoint; /* the incarnation that the cache is of */
	adapter_cache_t *cache;
	admission_queue_t *admission_queue;
	http_call_t *order; /* open calls, or NULL */
	http_call_t *report;
	ms_t ordered_at;
	gboolean is_down; /* it can't be reached from here */
	ms_t call_at;	  /* no call before */
	struct held_ask_list asks;
	GHashTable *users; /* adapter to GPtrArray of conn_t or NULL */
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
	engine_locks_t *engine_locks;
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
	ms_t now;	     /* of the present tick */
	ask_id_t last_ask;
	GHashTable *silent; /* holders that did not answer: name to time */
	GHashTable *asked;  /* questions of this instance: id to asked_t */
	uv_timer_t self_timer;
	GQueue *self_news; /* answers of this instance to itself */
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
void held_engine_ask(held_engine_t *held, conn_t *asker, ask_id_t id,
		     const ask_t *ask);
void held_engine_done(held_engine_t *held, conn_t *asker, ask_id_t id,
		      gboolean has_run);
void held_engine_want(held_engine_t *held, const char *adapter,
		      int64_t version);
/* The connection of an asker is gone. */
void held_engine_forget(held_engine_t *held, conn_t *asker);

/* adapters_peers.c: talk with the other instances. */
void adapters_peers_begin(adapters_t *adapters, GBytes *key);
void adapters_peers_instance(adapters_t *adapters, const char *instance,
			     const char *record);
void asked_free(gpointer data);
/* asker: a connection, or NULL for this instance. */
void adapters_answer(adapters_t *adapters, conn_t *asker,
		     const holder_news_t *news);

#endif
