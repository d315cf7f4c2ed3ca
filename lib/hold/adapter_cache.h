#ifndef HOLD_ADAPTER_CACHE_H
#define HOLD_ADAPTER_CACHE_H

/*
 * The adapters of one engine, as the instance that holds the engine orders
 * them.
 *
 * Wants come in from all instances; orders to load and unload go out, one at a
 * time, each naming the number of orders that the engine has accepted so far.
 * An order that was not answered may still be carried out seconds later, but
 * only while that number stands; so it is sent again with the same number until
 * its effect is seen, and no other order is sent before.
 *
 * Promises, asserted in this code:
 *  - at most one order is open;
 *  - adapters that are resident, on their way, or may be on their way never
 *    exceed the slots of the engine;
 *  - dropped() precedes each order that takes a resident adapter away.
 *
 * The least recently used adapter makes room; one that is in use stays.  A want
 * that finds no room is refused.
 *
 * Reports are some hundred ms old.  So an adapter is presumed usable once the
 * usual time of a load has passed; adapter_cache_note_missing() says that it
 * was not.
 *
 * Loads beside each other share the store of weights with those of all other
 * engines, which nobody here sees.  How crowded the store is, is learned: at
 * first the others are taken to be as busy as this engine; loads that a report
 * shows done before their time lower that, those that are late raise it.
 *
 * Decision code: the time comes in with each call, actions go out through
 * callbacks, which must not call back.  Names of adapters are copied.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* Adapters on their way to one engine at a time, from the platform's pages. */
#define CACHE_COMING_MAX 4

/* A want that was not met by then is refused; chosen: the time a caller has. */
#define CACHE_REQUEST_TIMEOUT_MS 4000

/*
 * Between reports while orders are under way or in doubt; chosen: a load takes
 * about two of them, and each report is priced.
 */
#define CACHE_POLL_MS 150

/* How old a report may be. */
#define CACHE_REPORT_LAG_MS 400

/* After an order without an answer, until it is sent again; chosen. */
#define CACHE_AGAIN_MS 20

/*
 * Adapters that an engine keeps at hand after they were unloaded; chosen, since
 * engines do not tell: too many costs a load that is taken to be short.
 */
#define CACHE_AT_HAND_MAX 150

/*
 * A load that was not done by its usual time: looked at again so much later,
 * and the usual time is taken to be a quarter of it longer.
 */
#define CACHE_LATE_MS 60

/* Between reports while nothing is under way; chosen: each is priced. */
#define CACHE_IDLE_REPORT_MS 5000

/* After an engine's refusal of an order that names no reason to wait; chosen.
 */
#define CACHE_RETRY_MS 150

/*
 * How much of the crowding that was supposed is left when a load was done
 * before its time, and what a late one adds, of 1; chosen: four loads of a wave
 * are enough to see either.
 */
#define CACHE_CROWDING_KEPT  0.7
#define CACHE_CROWDING_ADDED 0.25

typedef struct adapter_cache adapter_cache_t;

typedef enum {
	CACHE_ORDER_LOAD_MODEL, /* the base model; adapter is NULL */
	CACHE_ORDER_LOAD,
	CACHE_ORDER_UNLOAD
} cache_order_kind_t;

typedef struct {
	cache_order_kind_t kind;
	const char *adapter;
	int64_t sequence; /* orders that the engine accepted before */
} cache_order_t;

typedef enum {
	CACHE_ANSWER_ACCEPTED, /* it is being carried out */
	CACHE_ANSWER_DONE,     /* it holds already */
	CACHE_ANSWER_STALE,    /* another number, or another order is open */
	CACHE_ANSWER_REFUSED,  /* it will not be carried out */
	CACHE_ANSWER_UNKNOWN   /* no answer: it may be carried out later */
} cache_answer_t;

typedef struct {
	const char *adapter;
	int64_t version;    /* 0 if the engine doesn't tell */
	gboolean is_coming; /* on its way, not yet usable */
} cache_resident_t;

/* What an engine reports. */
typedef struct {
	int64_t sequence;
	gboolean has_model;
	gboolean is_busy; /* an order for a base model is open */
	const cache_resident_t *residents;
	guint count;
} cache_report_t;

typedef struct {
	void (*send_order)(void *ctx, const cache_order_t *order);
	void (*ask_report)(void *ctx);
	/* The adapter can be used now in this version. */
	void (*ready)(void *ctx, const char *adapter, int64_t version);
	/* It must not be used any more. */
	void (*dropped)(void *ctx, const char *adapter);
	/* It can't be brought here now. */
	void (*refused)(void *ctx, const char *adapter);
} cache_actions_t;

typedef struct {
	int slot_count;	 /* adapters that the engine holds at once */
	ms_t load_time;	 /* of an adapter from the store of weights */
	ms_t again_time; /* of one that the engine held recently */
	/* Loads that the store carries at full speed for each engine. */
	double loads_per_engine;
} cache_options_t;

adapter_cache_t *adapter_cache_create(const cache_options_t *options,
				      const cache_actions_t *actions,
				      void *ctx);
void adapter_cache_destroy(adapter_cache_t *cache);

/* Those of a newer configuration. */
void adapter_cache_set_options(adapter_cache_t *cache,
			       const cache_options_t *options);

/*
 * An instance wants the adapter in this version or a newer one.  TRUE if it is
 * usable now; *resident is then its version.  Else ready() or refused()
 * follows.
 */
gboolean adapter_cache_request(adapter_cache_t *cache, ms_t now,
			       const char *adapter, int64_t version,
			       int64_t *resident);

/* Nobody waits for the adapter any more. */
void adapter_cache_cancel(adapter_cache_t *cache, const char *adapter);

/* How long a further adapter would have to wait for its load, and the load. */
ms_t adapter_cache_estimate_load_wait(const adapter_cache_t *cache,
				      const char *adapter);

/* The version that is usable now, or 0. */
int64_t adapter_cache_version(const adapter_cache_t *cache,
			      const char *adapter);

/* A request uses the adapter until adapter_cache_release(). */
void adapter_cache_use(adapter_cache_t *cache, ms_t now, const char *adapter);
void adapter_cache_release(adapter_cache_t *cache, ms_t now,
			   const char *adapter);

/* The engine refused a request, as the adapter is not there. */
void adapter_cache_note_missing(adapter_cache_t *cache, ms_t now,
				const char *adapter);

/* A newer version was declared; an older one that is resident is replaced. */
void adapter_cache_require_version(adapter_cache_t *cache, ms_t now,
				   const char *adapter, int64_t version);

/* The answer to the open order. */
void adapter_cache_handle_answer(adapter_cache_t *cache, ms_t now,
				 cache_answer_t answer);

/* The answer to ask_report(); NULL if there was none. */
void adapter_cache_handle_report(adapter_cache_t *cache, ms_t now,
				 const cache_report_t *report);

/*
 * Do what is due; may_order tells whether orders may be sent now.  If not,
 * wants for which no order is under way are refused.
 */
void adapter_cache_tick(adapter_cache_t *cache, ms_t now, gboolean may_order);

/* Adapters that are usable. */
guint adapter_cache_count(const adapter_cache_t *cache);

#endif
