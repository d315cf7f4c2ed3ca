#ifndef FRONT_ADAPTERS_H
#define FRONT_ADAPTERS_H

/*
 * Admission of requests to engines, and the adapters there: this instance's
 * part as a holder of engines, and its part as one that asks the holders.
 *
 * What hold/holdings.h, hold/adapter_cache.h and hold/gate.h decide is carried
 * out here: records are written, engines are ordered and asked for reports.
 * Instances talk by frames (wire/conn.h).  Each request for an engine is asked
 * for at the engine's holder, which brings the adapter, waits for a place, and
 * lets the request through.
 */

#include <glib.h>

#include "hold/admission_queue.h"
#include "kv/kv.h"
#include "route/fleet.h"
#include "route/route_table.h"
#include "serve/process.h"

/* How long a silent holder is not asked; its lease ends in about that time. */
#define SILENT_MS 1500

typedef struct adapters adapters_t;

/* Items of the key-value service: all that came after from and until to. */
typedef struct {
	int64_t from;
	int64_t to;
	const kv_item_t *items;
	size_t count;
} news_t;

/* Why a request is not let through. */
typedef enum {
	REFUSAL_NOT_HELD, /* the engine's holder is not known or not reached */
	REFUSAL_UNREACHABLE, /* the holder can't reach the engine */
	REFUSAL_NO_ORDERS,   /* the holder may not order yet, or any more */
	REFUSAL_NO_PLACE,    /* it would wait too long for a place */
	REFUSAL_NO_SLOT,     /* all adapters there are in use */
	REFUSAL_LOADS_AHEAD, /* too many loads are ahead, at all engines */
	REFUSAL_SILENT,	     /* the holder does not answer */
	REFUSAL_COUNT
} refusal_t;

const char *refusal_name(refusal_t refusal);

/* Names a question in later calls; never 0. */
typedef int64_t ask_id_t;

typedef struct {
	/* The request may be sent now; the adapter has this version there. */
	void (*on_go)(void *ctx, ask_id_t ask, int64_t version);
	/* What a holder tells of its engine with an answer. */
	void (*on_load)(void *ctx, const char *engine, int running,
			int waiting);
	/* The holder has the question, and the request has to wait. */
	void (*on_wait)(void *ctx, ask_id_t ask);
	/* Not there; worth another question after this time.  The id is void.
	 */
	void (*on_refused)(void *ctx, ask_id_t ask, refusal_t refusal,
			   ms_t retry_after);
	/* An adapter is no longer usable at an engine. */
	void (*on_dropped)(void *ctx, const char *engine, const char *adapter);
	/* An instance that polls for all tells of items; maybe of none. */
	void (*on_news)(void *ctx, const news_t *news);
	/* An instance came, or is gone. */
	void (*on_instance)(void *ctx, const char *instance, gboolean is_alive);
	/* The service of an engine, or NULL while it is not known. */
	const service_t *(*service)(void *ctx, const fleet_endpoint_t *engine);
	/* The version of an adapter that was declared last; 0 for none. */
	int64_t (*declared)(void *ctx, const char *adapter);
} adapters_events_t;

typedef struct {
	const char *listen_address; /* for the other instances */
	int listen_port;
	const char *peer_address; /* "IP:PORT" told to them; "": the above */
	ms_t order_gap;		  /* between orders of two holders */
	ms_t lease_ttl;
	ms_t load_time;		 /* of an adapter from the store of weights */
	ms_t again_time;	 /* of one that the engine held recently */
	double loads_per_engine; /* at full speed, at once */
	double prefill_per_ms;	 /* prompt tokens that an engine reads */
} adapters_options_t;

typedef struct {
	const char *engine;
	const char *adapter; /* NULL for the base model alone */
	int64_t version;     /* the oldest that will do */
	gboolean is_missing; /* the engine refused it as not resident */
	ms_t load_max;	     /* how long it may wait for its adapter */
	admission_queue_request_t request;
} ask_t;

/* All but the options outlive the object. */
adapters_t *adapters_create(process_t *process, kv_t *kv, fleet_t *fleet,
			    const adapters_options_t *options,
			    const adapters_events_t *events, void *ctx);

/* Planned stop: give the engines back and release the lease. */
void adapters_stop(adapters_t *adapters);
gboolean adapters_is_stopped(const adapters_t *adapters);

/* An item of this project in the key-value service; no value: it is gone. */
void adapters_on_item(adapters_t *adapters, const kv_item_t *item);

/* All items were read once. */
void adapters_on_synced(adapters_t *adapters);

/* An engine is listed, or no longer. */
void adapters_set_engine(adapters_t *adapters, const char *engine,
			 gboolean is_listed);

/* A newer version of an adapter was declared. */
void adapters_declare(adapters_t *adapters, const char *adapter,
		      int64_t version);

/* Whether a question would reach the engine's holder. */
gboolean adapters_can_ask(const adapters_t *adapters, const char *engine);

/* Never calls back before it returns. */
ask_id_t adapters_ask(adapters_t *adapters, const ask_t *ask);

/*
 * The holder has not answered in time: it is left out until something is heard
 * of it, or for SILENT_MS.  on_refused() is called at once for the other
 * questions that wait there.
 */
void adapters_note_silent(adapters_t *adapters, ask_id_t ask);

/* The request has ended, or is not to be sent after all. */
void adapters_done(adapters_t *adapters, ask_id_t ask, gboolean has_run);

/* Bring an adapter there; no answer follows. */
void adapters_want(adapters_t *adapters, const char *engine,
		   const char *adapter, int64_t version);

/* Tell all other instances. */
void adapters_tell_news(adapters_t *adapters, const news_t *news);

/* Instances that are known to be alive, this one counted; at least 1. */
guint adapters_instance_count(const adapters_t *adapters);

/* Members of a JSON object for /status. */
void adapters_status(const adapters_t *adapters, GString *json);

#endif
