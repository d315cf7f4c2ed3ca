#ifndef OWN_OWNERSHIP_H
#define OWN_OWNERSHIP_H

/*
 * Ownership of endpoints.  Only the owner of an endpoint sends requests and
 * orders (to load or unload an adapter, or to raise the fence) to it.
 *
 * An instance takes an endpoint by compare-and-swap of the record
 * `hc/endpoint/ID`.  Each take increments the epoch, which is the fencing token
 * of all orders.  A record can be taken if it does not exist yet, if it was
 * released, or if the lease of its owner no longer exists in the service.
 *
 * Before an order is sent, an intent is written to the record: call
 * ownership_record_intent() and, in its callback, ownership_order_epoch(), then
 * send the order.  A new owner puts the slots with open intents in quarantine
 * until no delayed order can change them any more.  It holds the adapters that
 * were resident, that is, it doesn't unload them until the engine reports them
 * idle after the last request of the predecessor can have arrived.
 *
 * docs/design/ownership.md describes what an owner may do while it can't renew
 * its lease, for each kind of engine, and why that is safe.
 *
 * This module reads no clock and does no I/O of its own: the time is passed to
 * each call, actions are callbacks, and the key-value service is reached
 * through the kv_t.  Actions are called from ownership_tick(),
 * ownership_report(), ownership_fence_answered() and ownership_stop().  Of this
 * interface, they may call only ownership_record_intent(),
 * ownership_order_epoch(), ownership_order_ended() and the functions that take
 * a const ownership_t.
 *
 * Asserted invariants: epochs only grow; no order without a valid lease and a
 * recorded intent; no intent for a slot in quarantine or for a slot whose
 * adapter is held.
 */

#include "own/assign.h"
#include "own/lease.h"
#include "own/record.h"

typedef struct ownership ownership_t;

typedef struct {
	const char *id;
	const char *failure_domain;
	guint slot_count;	 /* 0 for a service without adapters */
	gboolean checks_fencing; /* the engine rejects orders of old epochs */
} ownership_endpoint_t;

typedef struct {
	/* Upper bound on the time a request or order takes to an endpoint. */
	ms_t transit_max;
	/*
	 * For an engine that ignores fencing: how long after the local expiry
	 * of the lease requests for resident adapters are still sent; 0 to
	 * disable.
	 */
	ms_t serve_grace;
	/*
	 * For an engine that checks fencing: how long requests are still sent
	 * without a valid lease, counted from the time the last accepted fence
	 * order was sent.
	 */
	ms_t probe_validity;
	/*
	 * Interval between fence orders to such an engine.  They are sent until
	 * one is accepted, and then while the lease expires within
	 * probe_validity or has expired.
	 */
	ms_t probe_interval;
	/*
	 * How long the assignment must prefer another member before the
	 * endpoint is released to it.
	 */
	ms_t handover_delay;
	/*
	 * How long after releasing an endpoint the record is read again, to
	 * take it back if no other instance has taken it.
	 */
	ms_t reclaim_delay;
	/*
	 * Interval between reads of a record whose owner is alive; starts at
	 * poll_min and doubles up to poll_max.
	 */
	ms_t poll_min;
	ms_t poll_max;
	ms_t retry_interval;
	/* How long a changed record is kept unwritten to batch changes. */
	ms_t write_batch_delay;
	/* Interval between checks whether the previous owner has stopped. */
	ms_t predecessor_poll_interval;
	/*
	 * Identifies the place where this process runs.  At most one process
	 * can run at a place at a time.  Written to the endpoint records and,
	 * as "place", to `hc/instance/NAME`.  Empty if unknown; copied.
	 */
	const char *place;
} ownership_options_t;

/* Sets the production defaults. */
void ownership_options_init(ownership_options_t *options);

typedef struct {
	/*
	 * This instance became the owner.  The record is valid only during the
	 * call.
	 */
	void (*owned)(void *ctx, const char *endpoint,
		      const endpoint_record_t *record);
	/*
	 * This instance is no longer the owner: send no more requests or
	 * orders.  Requests in flight need not be cancelled.
	 */
	void (*lost)(void *ctx, const char *endpoint);
	/*
	 * Send an order for slot -1, which raises the engine's fence to this
	 * epoch; report the answer with ownership_fence_answered().
	 */
	void (*send_fence)(void *ctx, const char *endpoint, int64_t epoch);
	/* A slot left quarantine; adapter is NULL if the slot is empty. */
	void (*slot_ready)(void *ctx, const char *endpoint, guint slot,
			   const char *adapter);
	/* An inherited adapter is no longer held. */
	void (*adapter_idle)(void *ctx, const char *endpoint,
			     const char *adapter);
	/* Requests a call of ownership_tick(). */
	void (*wake)(void *ctx);
} ownership_actions_t;

/*
 * kv and lease must stay valid while the object is used.  Call
 * ownership_destroy() after kv_destroy(), so that no kv callback can arrive
 * later.
 */
ownership_t *ownership_create(kv_t *kv, lease_t *lease,
			      const ownership_options_t *options,
			      const ownership_actions_t *actions, void *ctx);
void ownership_destroy(ownership_t *own);

/* Sets the live members, including this instance unless it is leaving. */
void ownership_set_members(ownership_t *own, ms_t now,
			   const assign_member_t *members, size_t count);

/*
 * Sets the configured endpoints.  An owned endpoint that is missing from the
 * list is released.
 */
void ownership_set_endpoints(ownership_t *own, ms_t now,
			     const ownership_endpoint_t *endpoints,
			     size_t count);

/* Performs the work that is due.  Returns the time of the next call. */
ms_t ownership_tick(ownership_t *own, ms_t now);

/* For a planned stop: releases all endpoints and takes no others. */
void ownership_stop(ownership_t *own, ms_t now);

/* TRUE if no endpoint is owned or being taken or released. */
gboolean ownership_is_stopped(const ownership_t *own);

/*
 * TRUE if this instance is the recorded owner, even if its lease has expired.
 * Sets *epoch to the epoch, or to 0 if it is not the owner.
 */
gboolean ownership_is_owner(const ownership_t *own, const char *endpoint,
			    int64_t *epoch);

/* TRUE if requests for resident adapters may be sent now. */
gboolean ownership_may_serve(const ownership_t *own, ms_t now,
			     const char *endpoint);

/* TRUE if the endpoint is owned and the slot is not in quarantine. */
gboolean ownership_is_slot_usable(const ownership_t *own, const char *endpoint,
				  guint slot);

/* The reason why ownership_record_intent() is not allowed for a slot now. */
typedef enum {
	BLOCKER_NONE,
	BLOCKER_NOT_OWNED,
	BLOCKER_QUARANTINE,  /* a delayed order may still change the slot */
	BLOCKER_LEASE,	     /* the lease may have expired */
	BLOCKER_FENCE,	     /* the engine has not accepted the fence yet */
	BLOCKER_INTENT_OPEN, /* the slot has an open intent */
	/* Requests of an earlier owner may still use the slot's adapter. */
	BLOCKER_INHERITED
} change_blocker_t;

change_blocker_t ownership_change_blocker(const ownership_t *own, ms_t now,
					  const char *endpoint, guint slot);
const char *change_blocker_text(change_blocker_t obstacle);

/* TRUE if ownership_record_intent() is allowed for the slot now. */
gboolean ownership_may_change(const ownership_t *own, ms_t now,
			      const char *endpoint, guint slot);

/*
 * Called when the intent was written to the record, or with is_recorded FALSE
 * if no order may be sent because the endpoint was lost or released, the engine
 * restarted, or the lease or fence is not valid; the slot then returns to its
 * state before the intent.
 */
typedef void (*ownership_intent_done_t)(void *ctx, const char *endpoint,
					guint slot, gboolean is_recorded);

/*
 * Records the intent to load an adapter into a slot (INTENT_LOADING; the
 * current adapter is unloaded first) or to unload it (INTENT_UNLOADING).
 * Asserts ownership_may_change().  Intents recorded before the next tick share
 * one write.
 */
void ownership_record_intent(ownership_t *own, ms_t now, const char *endpoint,
			     guint slot, intent_state_t state,
			     const char *adapter, ownership_intent_done_t done,
			     void *ctx);

/*
 * TRUE if the order of a recorded intent may be sent now.  Check this
 * immediately before sending, because the process may have been paused in
 * between.
 */
gboolean ownership_may_order(const ownership_t *own, ms_t now,
			     const char *endpoint, guint slot);

/* Asserts ownership_may_order() and returns the fencing token of the order. */
int64_t ownership_order_epoch(ownership_t *own, ms_t now, const char *endpoint,
			      guint slot);

/* The order ended; adapter is now in the slot, or NULL if it is empty. */
void ownership_order_ended(ownership_t *own, ms_t now, const char *endpoint,
			   guint slot, const char *adapter);

/* The outcome of an order is unknown: puts its slot in quarantine. */
void ownership_order_unknown(ownership_t *own, ms_t now, const char *endpoint,
			     guint slot);

/*
 * Reports the answer to a fence order.  sent_at is a time before the order was
 * sent.
 */
void ownership_fence_answered(ownership_t *own, ms_t now, const char *endpoint,
			      int64_t epoch, gboolean is_accepted,
			      ms_t sent_at);

typedef struct {
	intent_state_t state; /* empty, loading or resident */
	const char *adapter;  /* NULL for an empty slot */
	int running;	      /* its requests, running and queued */
} ownership_slot_report_t;

/*
 * Processes an engine's report about all its slots.  The report reflects the
 * state at as_of or later: the time it was requested, minus the maximum lag of
 * reports.
 */
void ownership_report(ownership_t *own, ms_t now, const char *endpoint,
		      const ownership_slot_report_t *slots, guint count,
		      ms_t as_of);

/* The engine restarted: its slots are empty and its fence is reset. */
void ownership_engine_restarted(ownership_t *own, ms_t now,
				const char *endpoint);

/*
 * The lease of the previous owner while its requests may still arrive;
 * otherwise 0.
 */
int64_t ownership_predecessor_lease(const ownership_t *own,
				    const char *endpoint);

#endif
