#ifndef FRONT_ADAPTERS_PRIVATE_H
#define FRONT_ADAPTERS_PRIVATE_H

/* Declarations shared by the files that implement adapters.h. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/adapters.h"
#include "hold/adapter_cache.h"
#include "hold/engine_locks.h"
#include "hold/engine_pace.h"
#include "hold/patience.h"
#include "own/lease.h"
#include "serve/peers.h"
#include "serve/ticker.h"
#include "wire/codec.h"

/* Longest name of an engine, adapter or part in a message. */
#define NAME_MAX_BYTES 256

/* Messages of the requesting instance, then those of the holder. */
typedef enum {
	MESSAGE_ADMIT = 1,
	MESSAGE_RELEASE,
	MESSAGE_PREFETCH,
	MESSAGE_UPDATES,
	MESSAGE_ADMITTED,
	MESSAGE_QUEUED,
	MESSAGE_REFUSED,
	MESSAGE_UNLOADED,
	/* Of any instance to all others, or to one that has just started. */
	MESSAGE_PARTS,
	MESSAGE_ENDPOINT,
	/*
	 * Of a requester, and the holder's reply: it understands the optional
	 * last fields.  A peer that doesn't takes such a message for malformed,
	 * and this one as well, which it only logs.
	 */
	MESSAGE_EXTENDED,
	/* Of an instance to a home of organisations, and its answer. */
	MESSAGE_CREDIT_ASK,
	MESSAGE_CREDIT_RETURN,
	MESSAGE_CREDIT_ANSWER,
	/* Of a home to all others, and their answer. */
	MESSAGE_CREDIT_PROBE,
	MESSAGE_CREDIT_ALIVE
} message_type_t;

/* A message of a holder. */
typedef struct {
	message_type_t type;
	admission_id_t admission;
	int64_t version; /* of ADMITTED */
	int running;	 /* of ADMITTED and REFUSED: running at the engine */
	int waiting;	 /* likewise: queued at its holder */
	/* Likewise: how long work takes at the engine; 0 if unknown. */
	int work_percent;
	ms_t retry_after;    /* of REFUSED */
	refusal_t refusal;   /* of REFUSED */
	const char *engine;  /* of UNLOADED */
	const char *adapter; /* of UNLOADED */
} holder_reply_t;

/* An admission request at the holder. */
typedef struct held_admission {
	TAILQ_ENTRY(held_admission) link;
	conn_t *requester; /* NULL if this instance requested it itself */
	admission_id_t id;
	char *adapter; /* NULL for the base model */
	char *flow;    /* the organisation, or NULL */
	admission_queue_request_t request;
	ms_t since;
	ms_t submitted_at; /* to the admission queue */
	ms_t load_max;
	ticket_t *ticket;    /* NULL while the adapter is not resident */
	gboolean is_refused; /* by the adapter cache */
} held_admission_t;

TAILQ_HEAD(held_admission_list, held_admission);

/* An engine held by this instance. */
typedef struct {
	adapters_t *adapters;
	char *id;
	/* The incarnation that the cache describes. */
	fleet_endpoint_t *endpoint;
	adapter_cache_t *cache;
	admission_queue_t *admission_queue;
	patience_t patience; /* of requests that wait for an adapter */
	engine_pace_t pace;
	int logged_pace;	  /* the last one in the log, in percent */
	gboolean has_stated_pace; /* this incarnation */
	http_call_t *order;	  /* call in progress, or NULL */
	http_call_t *report;
	endpoint_notice_t order_notice;	 /* of the newest answer */
	endpoint_notice_t report_notice; /* likewise */
	ms_t ordered_at;
	ms_t reported_at;
	gboolean is_down; /* this instance can't connect to it */
	/* Earliest time of the next call, after a failed connection. */
	ms_t next_call_at;
	struct held_admission_list admissions;
	/*
	 * Adapter to GPtrArray of the connections (NULL: this instance) that
	 * are to be notified when it is unloaded.
	 */
	GHashTable *users;
} held_engine_t;

struct adapters {
	process_t *process;
	kv_t *kv;
	fleet_t *fleet;
	adapters_options_t options;
	adapters_events_t events;
	void *ctx;
	/* Address published in the record of this instance. */
	char *record;
	http_client_t *client;
	lease_t *lease;
	engine_locks_t *engine_locks;
	GHashTable *held; /* engine id to held_engine_t */
	ticker_t *ticker;
	gboolean is_synced;
	char *key; /* that the instances share, or NULL */
	gboolean is_key_stored;
	gboolean is_key_requested;
	gboolean is_stopping;
	guint pending_writes;
	peers_t *peers;
	conn_server_t *server;
	const conn_identity_t *identity;
	GHashTable *records;	/* instance to its published address */
	GHashTable *requesters; /* instance to its connection here */
	/* Connections of requesters, and names of holders: MESSAGE_EXTENDED. */
	GHashTable *extended_requesters;
	GHashTable *extended_holders;
	ms_t now; /* time of the current tick */
	admission_id_t last_admission;
	/* Holders that did not reply in time: name to the time of that. */
	GHashTable *unresponsive_holders;
	/* Admissions that this instance requested: id to sent_admission_t. */
	GHashTable *sent_admissions;
	uv_timer_t self_timer;
	/* Replies of this instance as holder to itself. */
	GQueue *self_replies;
	counter_t *orders;
	counter_t *reports;
	counter_t *refused;
	counter_t *pace;   /* gauge of slowest_pace */
	int slowest_pace;  /* of the held engines, in percent; 0 for none */
	counter_t *pauses; /* of streams, over what their routes allow */
	counter_t *admitted_by_priority[ADMISSION_PRIORITIES];
	counter_t *refused_by_priority[ADMISSION_PRIORITIES];
	counter_t *flow_spread; /* gauge of widest_spread */
	int64_t widest_spread;	/* of the held engines, in tokens */
	histogram_t *predicted_wait;
	histogram_t *place_wait;
	histogram_t *order_time;
	credit_home_t *credit_home;
	credit_client_t *credit_client;
	uv_timer_t credit_timer;
	counter_t *credit_granted;
	counter_t *credit_refused;
	counter_t *credit_returned;
	counter_t *credit_fallback;
	histogram_t *credit_wait;
};

/* adapters_hold.c: engines held by this instance. */
void held_engine_begin(adapters_t *adapters, const char *engine);
void held_engine_end(adapters_t *adapters, const char *engine);
void held_engine_destroy(gpointer data);
/* Adapts to a new incarnation of the engine and does the work that is due. */
void held_engine_tick(held_engine_t *held, ms_t now);
void held_engine_admit(held_engine_t *held, conn_t *requester,
		       admission_id_t id, const admission_t *admission);
void held_engine_release(held_engine_t *held, conn_t *requester,
			 admission_id_t id, const admission_end_t *end);
void held_engine_prefetch(held_engine_t *held, const char *adapter,
			  int64_t version);
/* The connection of a requester was closed. */
void held_engine_drop_requester(held_engine_t *held, conn_t *requester);
/*
 * Submits the admissions whose adapter is resident to the queue, and refuses
 * those that can't be served.
 */
void held_engine_advance(held_engine_t *held, ms_t now);

/* adapters_overload.c: a held engine's pace, pauses and overload policy. */

/* Applies what is known of the engine now to its admission queue. */
void held_engine_apply_pace(held_engine_t *held, ms_t now);
/* The engine stated how long work takes there; 0 if it did not. */
void held_engine_note_work(held_engine_t *held, int work_percent);
/* Count the reply to an admission request by its priority. */
void held_engine_count_admitted(held_engine_t *held,
				const held_admission_t *admission, ms_t now);
void held_engine_count_refused(held_engine_t *held,
			       const held_admission_t *admission);
/* Creates the metrics of adapters_overload.c. */
void adapters_create_overload_metrics(adapters_t *adapters);
/* Sets its gauges, after a tick of the held engines. */
void adapters_set_overload_gauges(adapters_t *adapters);
/* A stream has ended; its longest pause in percent of what is allowed. */
void held_engine_note_pause(held_engine_t *held, int pause_percent);

/*
 * adapters_calls.c: orders to an engine held by this instance, and its reports.
 * ctx is the held_engine_t.
 */
void held_engine_send_order(void *ctx, const cache_order_t *order);
void held_engine_ask_report(void *ctx);
/* When the engine takes the next report; in the past if it names no time. */
ms_t held_engine_next_report(const held_engine_t *held, ms_t now);
void held_engine_cancel_calls(held_engine_t *held);

/* adapters_peers.c: messages to and from the other instances. */
void adapters_peers_start(adapters_t *adapters, GBytes *key);
void adapters_peers_set_instance(adapters_t *adapters, const char *instance,
				 const char *record);
void sent_admission_free(gpointer data);
/* requester: a connection, or NULL for this instance. */
void adapters_reply(adapters_t *adapters, conn_t *requester,
		    const holder_reply_t *reply);
void adapters_log_malformed(const char *peer);

/*
 * adapters_messages.c: the messages between a requester and a holder.  The
 * functions that read return FALSE for a message that is malformed.
 *
 * A last field that older versions don't know is written only if it says
 * something, and may be missing.
 */

/* ADMIT; the caller frees engine, adapter and flow of the admission. */
void message_write_admit(codec_writer_t *writer, admission_id_t id,
			 const admission_t *admission);
gboolean message_read_admit(codec_reader_t *reader, admission_id_t *id,
			    admission_t *admission);
/* RELEASE; the caller frees the engine. */
void message_write_release(codec_writer_t *writer, const char *engine,
			   admission_id_t id, const admission_end_t *end);
gboolean message_read_release(codec_reader_t *reader, char **engine,
			      admission_id_t *id, admission_end_t *end);
/* A reply; the caller frees its engine and adapter. */
void message_write_reply(codec_writer_t *writer, const holder_reply_t *reply);
gboolean message_read_reply(codec_reader_t *reader, int type,
			    holder_reply_t *reply);

/*
 * adapters_broadcast.c: messages that say the same to all other instances;
 * these functions handle one that has arrived.
 */
void adapters_receive_updates(adapters_t *adapters, conn_t *conn,
			      codec_reader_t *reader);
void adapters_receive_parts(adapters_t *adapters, conn_t *conn,
			    codec_reader_t *reader);
void adapters_receive_endpoint(adapters_t *adapters, conn_t *conn,
			       codec_reader_t *reader);

/* adapters_credit.c: credit for the requests of organisations. */
void adapters_credit_create(adapters_t *adapters);
void adapters_credit_tick(adapters_t *adapters, ms_t now);
void adapters_credit_set_connected(adapters_t *adapters, const char *instance,
				   gboolean is_connected);
/* The record of the instance is gone. */
void adapters_credit_forget(adapters_t *adapters, const char *instance);
/* Handle a message of a requester, and one of a holder. */
void adapters_receive_credit(adapters_t *adapters, conn_t *conn, int type,
			     codec_reader_t *reader);
void adapters_receive_credit_reply(adapters_t *adapters, const char *name,
				   int type, codec_reader_t *reader);

#endif
