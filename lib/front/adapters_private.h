#ifndef FRONT_ADAPTERS_PRIVATE_H
#define FRONT_ADAPTERS_PRIVATE_H

/* The parts of adapters.h that its files share. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/adapters.h"
#include "hold/adapter_cache.h"
#include "hold/holdings.h"
#include "own/lease.h"
#include "serve/peers.h"
#include "serve/ticker.h"

/* Messages of an instance that asks, then of the holder. */
typedef enum {
	MESSAGE_ADMIT = 1,
	MESSAGE_RELEASE,
	MESSAGE_PREFETCH,
	MESSAGE_UPDATES,
	MESSAGE_ADMITTED,
	MESSAGE_QUEUED,
	MESSAGE_REFUSED,
	MESSAGE_UNLOADED
} message_type_t;

/* What a holder answers. */
typedef struct {
	message_type_t type;
	admission_id_t admission;
	int64_t version;     /* of GO */
	int running;	     /* of GO and REFUSED: requests at the engine */
	int waiting;	     /* likewise, at its holder */
	ms_t retry_after;    /* of REFUSED */
	refusal_t refusal;   /* of REFUSED */
	const char *engine;  /* of DROPPED */
	const char *adapter; /* of DROPPED */
} holder_reply_t;

/* A request that the holder was asked for. */
typedef struct held_admission {
	TAILQ_ENTRY(held_admission) link;
	conn_t *requester; /* NULL for this instance */
	admission_id_t id;
	char *adapter; /* NULL for the base model alone */
	gate_request_t request;
	ms_t since;
	ms_t load_max;
	ticket_t *ticket;    /* NULL while it waits for its adapter */
	gboolean is_refused; /* by the adapters of the engine */
} held_admission_t;

TAILQ_HEAD(held_admission_list, held_admission);

/* An engine that is held here. */
typedef struct {
	adapters_t *adapters;
	char *id;
	fleet_endpoint_t *endpoint; /* the incarnation that the cache is of */
	adapter_cache_t *cache;
	gate_t *gate;
	http_call_t *order; /* open calls, or NULL */
	http_call_t *report;
	ms_t ordered_at;
	gboolean is_down;  /* it can't be reached from here */
	ms_t next_call_at; /* no call before */
	struct held_admission_list admissions;
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
	holdings_t *holdings;
	GHashTable *held; /* id to held_engine_t */
	ticker_t *ticker;
	gboolean is_synced;
	gboolean has_key;
	gboolean is_key_requested;
	gboolean is_stopping;
	guint pending_writes;
	peers_t *peers;
	conn_server_t *server;
	const conn_identity_t *identity;
	GHashTable *records; /* instance to where it listens */
	ms_t now;	     /* of the present tick */
	admission_id_t last_admission;
	GHashTable *unresponsive_holders; /* holders that did not answer: name
					     to time */
	GHashTable *sent_admissions;	  /* questions of this instance: id to
					     sent_admission_t */
	uv_timer_t self_timer;
	GQueue *self_replies; /* answers of this instance to itself */
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
void held_engine_admit(held_engine_t *held, conn_t *requester,
		       admission_id_t id, const admission_t *admission);
void held_engine_release(held_engine_t *held, conn_t *requester,
			 admission_id_t id, gboolean has_run);
void held_engine_prefetch(held_engine_t *held, const char *adapter,
			  int64_t version);
/* The connection of an asker is gone. */
void held_engine_drop_requester(held_engine_t *held, conn_t *requester);

/* adapters_peers.c: talk with the other instances. */
void adapters_peers_start(adapters_t *adapters, GBytes *key);
void adapters_peers_set_instance(adapters_t *adapters, const char *instance,
				 const char *record);
void sent_admission_free(gpointer data);
/* asker: a connection, or NULL for this instance. */
void adapters_reply(adapters_t *adapters, conn_t *requester,
		    const holder_reply_t *reply);

#endif
