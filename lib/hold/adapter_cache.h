#ifndef HOLD_ADAPTER_CACHE_H
#define HOLD_ADAPTER_CACHE_H

/*
 * The adapters that are resident in one engine, as managed by the instance that
 * holds the engine.
 *
 * All instances request adapters here.  The cache sends load and unload orders
 * to the engine, one at a time.  Each order carries a sequence number: the
 * number of orders that the engine has accepted before.  The engine accepts an
 * order only if that number matches its own.  An order without an answer may
 * still be executed seconds later, but only while its number matches.  So it is
 * sent again with the same number until its outcome is known, and no other
 * order is sent before.
 *
 * Invariants, asserted in the code:
 *  - at most one order is open;
 *  - adapters that are resident, loading, or possibly loading never exceed the
 *    slots of the engine;
 *  - dropped() is called before each order that removes a usable adapter.
 *
 * The least recently used adapter that is not in use is evicted.  If there is
 * none, requests wait for the first slot whose adapter is no longer in use, the
 * oldest request first.  The wait is estimated from how long adapters are in
 * use without a break.
 *
 * Reports of the engine are some hundred ms old.  So an adapter is presumed to
 * be usable once the expected time of its load has passed;
 * adapter_cache_note_missing() corrects that if the engine disagrees.
 *
 * Concurrent loads share the weight store with those of all other engines,
 * whose loads are not visible here.  The contention they cause is estimated, at
 * first as none.  A load that is late raises the estimate, and one that a
 * report shows complete before its expected time lowers it.
 *
 * No I/O and no clock: the time is an argument of each call, and actions are
 * callbacks, which must not call back into the cache.  Adapter names are
 * copied.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* The platform's limit on concurrent adapter loads of one engine. */
#define CACHE_LOADS_MAX 4

/* A request is refused after this time: callers do not wait longer. */
#define CACHE_REQUEST_TIMEOUT_MS 4000

/*
 * Interval of reports while orders are in progress or have an unknown outcome.
 * A load takes about two intervals.  Each report has a cost, so the interval
 * should not be shorter than needed.
 */
#define CACHE_BUSY_REPORT_MS 150

/* The greatest age of the data in a report. */
#define CACHE_REPORT_LAG_MS 400

/* Delay before an order with an unknown outcome is sent again. */
#define CACHE_RESEND_MS 20

/*
 * Number of unloaded adapters that an engine is assumed to reload fast.
 * Engines do not report this number.  If it is too large, a load from the store
 * is taken for a fast reload.
 */
#define CACHE_RECENT_MAX 150

/*
 * Delay until a load that is not complete at its expected time is checked
 * again.  The expected time is raised by a quarter of this delay.
 */
#define CACHE_LATE_RECHECK_MS 60

/* Interval of reports while the engine is idle; each report has a cost. */
#define CACHE_IDLE_REPORT_MS 5000

/* Delay until the next order after the engine has refused one. */
#define CACHE_REFUSED_RETRY_MS 150

/*
 * The contention estimate (0 to 1) is multiplied by the first factor when a
 * load completes early, and raised by the second when a load is late.  Four
 * loads of a burst are enough to move it either way.
 */
#define CACHE_CONTENTION_DECAY 0.7
#define CACHE_CONTENTION_STEP  0.25

/* The initial estimate of how long an adapter is in use without a break. */
#define CACHE_INITIAL_USE_MS 1500

typedef struct adapter_cache adapter_cache_t;

typedef enum {
	CACHE_ORDER_LOAD_MODEL, /* the base model; adapter is NULL */
	CACHE_ORDER_LOAD,
	CACHE_ORDER_UNLOAD
} cache_order_kind_t;

typedef struct {
	cache_order_kind_t kind;
	const char *adapter;
	int64_t sequence; /* orders that the engine accepted before this one */
} cache_order_t;

typedef enum {
	CACHE_ANSWER_ACCEPTED, /* being executed */
	CACHE_ANSWER_DONE,     /* the requested state is already reached */
	CACHE_ANSWER_STALE,    /* sequence mismatch, or another order is open */
	CACHE_ANSWER_REFUSED,  /* will not be executed */
	CACHE_ANSWER_UNKNOWN   /* no answer: may be executed later */
} cache_answer_t;

typedef struct {
	const char *adapter;
	int64_t version;    /* 0 if the engine does not report it */
	gboolean is_coming; /* loading, not yet usable */
} cache_resident_t;

/* The state that an engine reports. */
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
	/* The adapter is usable in this version. */
	void (*ready)(void *ctx, const char *adapter, int64_t version);
	/* The adapter must no longer be used. */
	void (*dropped)(void *ctx, const char *adapter);
	/* The adapter cannot be loaded now. */
	void (*refused)(void *ctx, const char *adapter);
} cache_actions_t;

typedef struct {
	int slot_count;	 /* adapters that the engine can hold at once */
	ms_t load_time;	 /* of a load from the weight store */
	ms_t again_time; /* of a reload of a recently unloaded adapter */
	/* Concurrent loads per engine that the store serves at full speed. */
	double loads_per_engine;
} cache_options_t;

adapter_cache_t *adapter_cache_create(const cache_options_t *options,
				      const cache_actions_t *actions,
				      void *ctx);
void adapter_cache_destroy(adapter_cache_t *cache);

/* Applies the slot count of a newer configuration. */
void adapter_cache_set_options(adapter_cache_t *cache,
			       const cache_options_t *options);

/*
 * Requests the adapter in this version or a newer one.  Returns TRUE and sets
 * *resident to its version if it is usable now.  Otherwise ready() or refused()
 * follows.
 */
gboolean adapter_cache_request(adapter_cache_t *cache, ms_t now,
			       const char *adapter, int64_t version,
			       int64_t *resident);

/* Cancels the request: no instance waits for the adapter any more. */
void adapter_cache_cancel(adapter_cache_t *cache, const char *adapter);

/*
 * Estimates the time until a slot is available for the adapter; 0 if one is, or
 * if the adapter has its slot.
 */
ms_t adapter_cache_estimate_slot_wait(const adapter_cache_t *cache,
				      const char *adapter);

/*
 * Estimates the time that a load of the adapter, requested now, takes once
 * there is a slot: its place in the queue and the load itself.
 */
ms_t adapter_cache_estimate_load_wait(const adapter_cache_t *cache,
				      const char *adapter);

/* Returns the time of a load of the adapter with no other load beside it. */
ms_t adapter_cache_load_time(const adapter_cache_t *cache, const char *adapter);

/* Returns the version that is usable now, or 0. */
int64_t adapter_cache_version(const adapter_cache_t *cache,
			      const char *adapter);

/* Marks the adapter as used by a request, until adapter_cache_release(). */
void adapter_cache_use(adapter_cache_t *cache, ms_t now, const char *adapter);
void adapter_cache_release(adapter_cache_t *cache, ms_t now,
			   const char *adapter);

/* The engine rejected a request because the adapter is not resident. */
void adapter_cache_note_missing(adapter_cache_t *cache, ms_t now,
				const char *adapter);

/* A newer version was declared; an older resident version is replaced. */
void adapter_cache_require_version(adapter_cache_t *cache, ms_t now,
				   const char *adapter, int64_t version);

/* Handles the answer to the open order. */
void adapter_cache_handle_answer(adapter_cache_t *cache, ms_t now,
				 cache_answer_t answer);

/* Handles the answer to ask_report(); report is NULL if there was none. */
void adapter_cache_handle_report(adapter_cache_t *cache, ms_t now,
				 const cache_report_t *report);

/* Asks for no report before this time. */
void adapter_cache_delay_report(adapter_cache_t *cache, ms_t until);

/*
 * Performs the actions that are due.  may_order says whether orders may be sent
 * now.  If not, requests without an order in progress are refused.
 */
void adapter_cache_tick(adapter_cache_t *cache, ms_t now, gboolean may_order);

/* Returns the number of usable adapters. */
guint adapter_cache_count(const adapter_cache_t *cache);

#endif
