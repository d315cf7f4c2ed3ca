#ifndef SCHED_SLOTS_H
#define SCHED_SLOTS_H

/*
 * The adapter slots and the request queue of one engine endpoint.  The instance
 * that owns the endpoint runs them.
 *
 * This is a pure state machine: it does no I/O and reads no clock.  Requests,
 * load grants and completed loads are passed in with the current time; request
 * starts, refusals, load requests and engine orders leave through callbacks.  A
 * callback may call only the getters that take a const slots_t.
 *
 * Invariants, checked by assertions:
 *  - every submitted request ends exactly once: with refuse(), or with start()
 *    followed by slots_request_ended();
 *  - a refused request was never started;
 *  - order_unload() is called only for an adapter that has no running,
 *    uncertain or waiting requests and is not pinned;
 *  - the requests in flight never exceed the concurrency limit.
 *
 * Adapter names include the version, as in "name@version", and are copied.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

typedef struct slots slots_t;

typedef struct {
	uint64_t id; /* unique among requests that have not ended */
	const char *adapter;
	int priority;  /* higher values are served first */
	ms_t arrival;  /* when the caller's request was received */
	ms_t deadline; /* latest time at which a start is useful, or MS_NEVER */
} slots_request_t;

/* A request to the load broker to grant the load of one adapter. */
typedef struct {
	const char *adapter;
	int waiting;	/* queued requests that the load would serve */
	int priority;	/* highest priority of these requests */
	ms_t oldest;	/* earliest arrival of these requests */
	gboolean ahead; /* prefetch: a request is expected, none is queued */
} load_request_t;

typedef struct {
	int slot_count;	   /* maximum number of resident adapters */
	int concurrency;   /* maximum number of requests in flight */
	int queue_limit;   /* maximum number of queued requests */
	int adapter_limit; /* maximum number of queued requests per adapter */
	ms_t load_time;	   /* initial estimate of the duration of a load */
	ms_t grant_time;   /* initial estimate of the wait for a grant */
	ms_t service_time; /* initial estimate of the duration of a request */
	ms_t wait_limit;   /* maximum time of a request in the queue */
	ms_t retry_min;	   /* bounds of the retry_after of a refusal */
	ms_t retry_max;
	ms_t hold_time;	       /* no eviction for this long after a use */
	ms_t recent_half_life; /* decay of the request rate within a round */
	ms_t popularity_half_life; /* decay of the request rate over days */
	gboolean recency;	   /* evict by LRU instead of request rate */
} slots_config_t;

/* Set defaults for everything but the dimensions of the engine. */
void slots_config_init(slots_config_t *config, int slot_count, int concurrency);

typedef struct {
	/* Send the request to the engine; its adapter is resident. */
	void (*start)(void *ctx, uint64_t id, int slot);
	/*
	 * Refuse a request that was not started.  The caller may retry after
	 * retry_after.
	 */
	void (*refuse)(void *ctx, uint64_t id, error_kind_t kind,
		       ms_t retry_after);
	/* Stop a running request; slots_request_ended() must still follow. */
	void (*stop)(void *ctx, uint64_t id);
	/*
	 * Send a load request to the broker, replacing an earlier one for the
	 * same adapter, or cancel it.
	 */
	void (*want_load)(void *ctx, const load_request_t *params);
	void (*withdraw_load)(void *ctx, const char *adapter);
	/*
	 * Order the engine to load or unload an adapter.  The result is
	 * reported with slots_load_ended() or slots_unload_ended().
	 */
	void (*order_load)(void *ctx, int slot, const char *adapter);
	void (*order_unload)(void *ctx, int slot, const char *adapter);
	/* Return an accepted grant whose load did not take place. */
	void (*grant_unused)(void *ctx, const char *adapter);
	/* The adapter became usable on this endpoint, or stopped being so. */
	void (*placed)(void *ctx, const char *adapter, gboolean resident);
} slots_actions_t;

/* The utilization of an endpoint, reported by its owner to other instances. */
typedef struct {
	int running;	    /* requests in flight */
	int waiting;	    /* requests queued */
	int waiting_load;   /* queued requests whose adapter is not resident */
	int concurrency;    /* maximum number of requests in flight */
	int free_slots;	    /* empty slots that are not quarantined */
	int victim_slots;   /* slots whose adapter may be evicted */
	double victim_rate; /* lowest value of an evictable adapter, in requests
			     * per second; 0 if a slot is empty */
	gboolean leaving;   /* the endpoint accepts no new requests */
} slots_utilization_t;

/* rand is not copied and must outlive the object. */
slots_t *slots_create(const slots_config_t *config,
		      const slots_actions_t *actions, void *ctx, GRand *rand);

/* Free the object and all its requests without calling any callback. */
void slots_destroy(slots_t *slots);

/* Start a new request, queue it, or refuse it. */
void slots_submit(slots_t *slots, ms_t now, const slots_request_t *request);

/* Refuse a queued request with ERROR_CANCELLED, or stop a running one. */
void slots_cancel(slots_t *slots, ms_t now, uint64_t id);

/*
 * Report the end of a started request.  If the end is not certain (the
 * connection was lost and the engine may still be running the request), the
 * request keeps its adapter resident and counts as in flight until
 * slots_uncertain_resolved().
 */
void slots_request_ended(slots_t *slots, ms_t now, uint64_t id,
			 gboolean certain);
void slots_uncertain_resolved(slots_t *slots, ms_t now, uint64_t id);

/*
 * Accept a grant of the broker for one load of the adapter.  Returns FALSE if
 * the load is no longer needed or no slot is available; the grant must then be
 * returned to the broker.
 */
gboolean slots_grant(slots_t *slots, ms_t now, const char *adapter);

/* Report the result of order_load() or order_unload(). */
void slots_load_ended(slots_t *slots, ms_t now, int slot, gboolean ok);
void slots_unload_ended(slots_t *slots, ms_t now, int slot, gboolean ok);

/*
 * Report that the load of order_load() was not sent to the engine.  It does not
 * count as a failed load and is requested again.
 */
void slots_load_not_sent(slots_t *slots, ms_t now, int slot);

/* Protect an adapter from eviction.  Pins are counted. */
void slots_pin(slots_t *slots, const char *adapter);
void slots_unpin(slots_t *slots, ms_t now, const char *adapter);

/*
 * Announce that a request for the adapter is expected soon, with the given
 * probability.  Raises the retention value of the adapter, or requests a
 * prefetch if it is not resident.
 */
void slots_expect_request(slots_t *slots, ms_t now, const char *adapter,
			  double probability);

/*
 * Make a surplus replica the first candidate for eviction, for the next 60
 * seconds.
 */
void slots_demote(slots_t *slots, ms_t now, const char *adapter);

/* Refuse all queued requests and accept no new ones. */
void slots_start_leaving(slots_t *slots, ms_t now);

/* TRUE if no request is running, uncertain or queued. */
gboolean slots_is_idle(const slots_t *slots);

/*
 * Do not use a slot that a pending order of another owner may still change,
 * until it is released.
 */
void slots_quarantine(slots_t *slots, ms_t now, int slot);
void slots_release(slots_t *slots, ms_t now, int slot);

/*
 * Release a slot whose content was read from the engine after the quarantine
 * began; adapter is NULL if the slot is empty.  A second copy of an adapter
 * counts as empty, because requests never use it and the engine may drop it at
 * any time.
 */
void slots_release_as(slots_t *slots, ms_t now, int slot, const char *adapter);

/*
 * Register an adapter that was resident when this owner took over.  Requests of
 * the previous owner may still use it, so that it is not evicted before
 * slots_clear_predecessor_busy().  The slot must be empty.
 */
void slots_add_resident(slots_t *slots, ms_t now, int slot,
			const char *adapter);
void slots_clear_predecessor_busy(slots_t *slots, ms_t now, int slot);

/* Requests of a previous owner may still use the adapter in this slot. */
void slots_set_predecessor_busy(slots_t *slots, int slot);

/*
 * Report that the engine restarted.  All slots become empty, and pending loads
 * and unloads are discarded.  Requests in flight count against the concurrency
 * limit until their end is reported.
 */
void slots_engine_restarted(slots_t *slots, ms_t now);

/* Process timeouts.  Returns the time of the next call, or MS_NEVER. */
ms_t slots_tick(slots_t *slots, ms_t now);

/* Compute the utilization of the endpoint. */
void slots_get_utilization(const slots_t *slots, ms_t now,
			   slots_utilization_t *load);

/* TRUE if the adapter is resident and can serve requests. */
gboolean slots_has_resident(const slots_t *slots, const char *adapter);

/*
 * The name of the adapter that is resident, loading or unloading in a slot, or
 * NULL.  Owned by the object.
 */
const char *slots_adapter(const slots_t *slots, int slot);

#endif
