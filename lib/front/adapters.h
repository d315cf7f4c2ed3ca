#ifndef FRONT_ADAPTERS_H
#define FRONT_ADAPTERS_H

/*
 * Admission of requests to engines and placement of adapters there.  An
 * instance does both parts: it holds some engines, and it requests admission
 * from the holders of the others.
 *
 * Carries out the decisions of hold/engine_locks.h, hold/adapter_cache.h and
 * hold/admission_queue.h: writes ownership records to the key-value service,
 * sends orders to engines and polls their reports.  Instances exchange frames
 * (wire/conn.h).  Every request for an engine needs admission by the engine's
 * holder, which loads the adapter, queues the request until the engine has a
 * free place, and then admits it.
 */

#include <glib.h>

#include "credit/credit_client.h"
#include "hold/admission_queue.h"
#include "hold/relay.h"
#include "kv/kv.h"
#include "platform/headers.h"
#include "route/fleet.h"
#include "route/route_table.h"
#include "serve/process.h"

/*
 * How long a holder that did not reply in time is left out; its lease expires
 * in about that time.
 */
#define HOLDER_BACKOFF_MS 1500

typedef struct adapters adapters_t;

/* Changes of the key-value service. */
typedef struct {
	relay_range_t range;
	const kv_item_t *items;
	size_t count;
} store_updates_t;

/* Why a holder refuses a request. */
typedef enum {
	REFUSAL_NOT_HELD,	  /* the holder is unknown or not connected */
	REFUSAL_UNREACHABLE,	  /* the holder can't connect to the engine */
	REFUSAL_ORDERS_FORBIDDEN, /* the holder may not send orders to the
				     engine now */
	REFUSAL_NO_PLACE, /* the wait for a place would exceed wait_max */
	REFUSAL_NO_SLOT,  /* every adapter slot of the engine is in use */
	REFUSAL_LOAD_QUEUE_FULL, /* the wait for the adapter would exceed
				    load_max */
	REFUSAL_HOLDER_TIMEOUT,	 /* the holder did not reply in time */
	REFUSAL_COUNT
} refusal_t;

const char *refusal_text(refusal_t refusal);

/* Identifies an admission in later calls; never 0. */
typedef int64_t admission_id_t;

/* What has been learned about parts of prompts; see route/quarantine.h. */
typedef enum {
	PARTS_CRASHED,	/* an engine crashed that processed them */
	PARTS_ANSWERED, /* requests with them were answered in full */
	PARTS_HELD,	/* requests with them are not sent */
	PARTS_NEWS_COUNT
} parts_news_t;

typedef struct {
	parts_news_t news;
	const char *engine; /* of PARTS_CRASHED, else NULL */
	/*
	 * Of PARTS_HELD, the time left; of PARTS_CRASHED, how long ago the
	 * newest request was sent that ran there; 0 from an older
	 * version.
	 */
	ms_t time;
	const char *const *parts; /* NULL-terminated */
} parts_message_t;

/* What an endpoint has said about itself in an answer. */
typedef enum {
	ENDPOINT_LIMITED,   /* value: its request limit, in 1/1000 per second */
	ENDPOINT_UNLIMITED, /* it names no limit any more; value: 0 */
	ENDPOINT_LEAVING,   /* value: 0 */
	/*
	 * A plain endpoint's work takes longer or shorter than it did; value:
	 * how long, 100 as usual.  Older versions log it as unreadable.
	 */
	ENDPOINT_WORK,
	ENDPOINT_NEWS_COUNT
} endpoint_news_t;

typedef struct {
	endpoint_news_t news;
	const char *endpoint;
	int64_t started_at; /* of the incarnation that said so */
	int64_t value;
} endpoint_message_t;

typedef struct {
	/*
	 * The request may be sent; the engine has this version of the adapter.
	 */
	void (*on_admitted)(void *ctx, admission_id_t admission,
			    int64_t version);
	/* Load of an engine, as its holder reported it with a reply. */
	void (*on_engine_load)(void *ctx, const char *engine,
			       const endpoint_load_t *load);
	/* The holder has queued the request. */
	void (*on_queued)(void *ctx, admission_id_t admission);
	/*
	 * The holder refused the request; it may be worth trying again after
	 * retry_after.  The id is no longer valid.
	 */
	void (*on_refused)(void *ctx, admission_id_t admission,
			   refusal_t refusal, ms_t retry_after);
	/* An engine is about to unload an adapter, or has lost it. */
	void (*on_adapter_unloaded)(void *ctx, const char *engine,
				    const char *adapter);
	/*
	 * The instance that polls the key-value service for all has sent the
	 * changes it read; there may be none.
	 */
	void (*on_updates)(void *ctx, const char *sender,
			   const store_updates_t *updates);
	/* Another instance has learned something about parts of prompts. */
	void (*on_parts)(void *ctx, const parts_message_t *message);
	/* An engine said something about itself in an answer to a call. */
	void (*on_notice)(void *ctx, fleet_endpoint_t *engine,
			  const endpoint_notice_t *notice, ms_t sent_at);
	/* Another instance has heard something from an endpoint. */
	void (*on_endpoint_news)(void *ctx, const endpoint_message_t *message);
	/* This instance has connected to another. */
	void (*on_peer)(void *ctx, const char *instance);
	/* An instance was registered, or its record is gone. */
	void (*on_instance)(void *ctx, const char *instance, gboolean is_alive);
	/* Returns the service of an engine, or NULL while it is unknown. */
	const service_t *(*service)(void *ctx, const fleet_endpoint_t *engine);
	/* Whether the configuration has organisations. */
	gboolean (*has_organisations)(void *ctx);
	/* Returns the newest declared version of an adapter; 0 for none. */
	int64_t (*declared)(void *ctx, const char *adapter);
	/* The answer to a credit request that was pending. */
	void (*on_credit)(void *ctx, credit_id_t id,
			  const credit_result_t *result);
	/* Stores the limit of an organisation; FALSE if it has none. */
	gboolean (*limit)(void *ctx, const char *organisation,
			  credit_limit_t *limit);
} adapters_events_t;

typedef struct {
	const char *listen_address; /* where the other instances connect */
	int listen_port;
	/*
	 * "IP:PORT" that is published to the other instances; "" publishes the
	 * listen address.
	 */
	const char *peer_address;
	/* Minimum time between the orders of two holders to one engine. */
	ms_t order_gap;
	ms_t lease_ttl;
	/* Time to load an adapter from the weight store. */
	ms_t load_time;
	/* Time to load an adapter that the engine held recently. */
	ms_t again_time;
	/*
	 * Loads in progress, per engine, that the weight store serves at full
	 * speed.
	 */
	double loads_per_engine;
	double prefill_per_ms; /* prompt tokens an engine processes */
	/* What organisations may use beyond their limits, for all instances. */
	double quota_slack;
} adapters_options_t;

typedef struct {
	const char *engine;
	const char *adapter; /* NULL for the base model */
	int64_t version;     /* oldest acceptable version */
	/* The engine answered that the adapter is not resident. */
	gboolean is_missing;
	ms_t load_max;	/* longest wait for the adapter */
	ms_t load_goal; /* that with which the answer is still in time */
	admission_queue_request_t request;
} admission_t;

/* How a request ended that was admitted, or waited for that. */
typedef struct {
	gboolean has_run;
	/* What the engine stated with its answer; 0 for nothing. */
	int work_percent;
	/*
	 * Longest pause of the stream, in percent of what its route allows; 0
	 * if it is no stream or nobody needs to know.
	 */
	int pause_percent;
} admission_end_t;

/* All arguments except options must outlive the object. */
adapters_t *adapters_create(process_t *process, kv_t *kv, fleet_t *fleet,
			    const adapters_options_t *options,
			    const adapters_events_t *events, void *ctx);

/* Planned stop: releases the engines and the lease. */
void adapters_stop(adapters_t *adapters);
gboolean adapters_is_stopped(const adapters_t *adapters);

/*
 * Applies an instance record, an engine record or the membership key; an item
 * without a value was deleted.
 */
void adapters_on_item(adapters_t *adapters, const kv_item_t *item);

/* Must be called once all items have been read for the first time. */
void adapters_on_synced(adapters_t *adapters);

/*
 * The key-value service has the history with this number; is_other: it came
 * back from an older copy, and all items will be applied again.
 */
void adapters_begin_history(adapters_t *adapters, int64_t history,
			    gboolean is_other);

/* Must be called when the key-value service responds again. */
void adapters_on_store_regained(adapters_t *adapters);

/* Adds an engine to the known ones, or removes it. */
void adapters_set_engine(adapters_t *adapters, const char *engine,
			 gboolean is_listed);

/* Must be called when a newer version of an adapter is declared. */
void adapters_declare(adapters_t *adapters, const char *adapter,
		      int64_t version);

/* Returns whether an admission request would reach the engine's holder. */
gboolean adapters_can_reach_holder(const adapters_t *adapters,
				   const char *engine);

/*
 * Requests admission at the engine's holder.  Never calls back before it
 * returns.
 */
admission_id_t adapters_request_admission(adapters_t *adapters,
					  const admission_t *admission);

/*
 * The holder has not replied in time: leaves it out until it sends a message,
 * or for HOLDER_BACKOFF_MS. Calls on_refused() at once for the other admissions
 * that wait for this holder.
 */
void adapters_note_holder_timeout(adapters_t *adapters,
				  admission_id_t admission);

/* Ends an admission: the request has ended, or will not be sent. */
void adapters_release(adapters_t *adapters, admission_id_t admission,
		      const admission_end_t *end);

/*
 * An engine stated how long work takes there, in an answer to this instance.
 * Other holders are told with adapters_release().
 */
void adapters_note_work(adapters_t *adapters, const char *engine,
			int work_percent);

/* Asks the holder to load an adapter; there is no reply. */
void adapters_prefetch(adapters_t *adapters, const char *engine,
		       const char *adapter, int64_t version);

/*
 * Asks for the credit of an organisation's request; see credit_client.h.  An id
 * that is not refused must be ended once.
 */
credit_id_t adapters_request_credit(adapters_t *adapters,
				    const credit_request_t *request,
				    credit_result_t *result);
/* The request has ended; has_run: or may have, so that nothing is returned. */
void adapters_end_credit(adapters_t *adapters, credit_id_t credit,
			 gboolean has_run);

/* Sends changes of the key-value service to all other instances. */
void adapters_send_updates(adapters_t *adapters,
			   const store_updates_t *updates);

/* Number of instances known to be alive, including this one; at least 1. */
guint adapters_instance_count(const adapters_t *adapters);

/* Appends members to the JSON object of /status. */
void adapters_status(const adapters_t *adapters, GString *json);

/* Sends what was learned about parts of prompts to an instance; NULL for all.
 */
void adapters_send_parts(adapters_t *adapters, const char *instance,
			 const parts_message_t *message);

/* Sends what an endpoint said to an instance; NULL for all. */
void adapters_send_endpoint(adapters_t *adapters, const char *instance,
			    const endpoint_message_t *message);

#endif
