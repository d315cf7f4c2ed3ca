#ifndef OWN_OWNERSHIP_H
#define OWN_OWNERSHIP_H

/*
 * Ownership of endpoints: who may send work and orders to which endpoint.
 *
 * The record `hc/endpoint/ID` is taken by compare-and-swap; each take raises
 * its epoch, which is the fencing number of every order.  A record is taken
 * when it is new, when it was released, or when the lease of its owner is gone
 * from the service.
 *
 * An order is preceded by an intent in the record: ownership_record_intent(),
 * then, in its callback, ownership_order_epoch() and the order itself.  A
 * successor finds the open intents: their slots stay in quarantine until no
 * late order can change them.  Adapters that were resident count as serving
 * until the engine reports them idle after the last request of the predecessor
 * can have arrived.
 *
 * docs/design/ownership.md says what an owner may do while it can't renew its
 * lease, for each kind of engine, and why that is safe.
 *
 * Decision code: the time comes in with each call, actions go out through
 * callbacks, calls of the key-value service go through the kv_t.  Actions are
 * called from ownership_tick(), ownership_report(), ownership_fence_answered()
 * and ownership_stop(); they may call ownership_record_intent(),
 * ownership_order_epoch(), ownership_order_ended() and the questions, and
 * nothing else of this interface.
 *
 * Asserted: epochs only grow; no order without a valid lease and a recorded
 * intent; no intent for a slot in quarantine, nor against an adapter that still
 * counts as serving.
 */

#include "own/assign.h"
#include "own/lease.h"
#include "own/record.h"

typedef struct ownership ownership_t;

typedef struct {
	const char *id;
	const char *failure_domain;
	guint slot_count;	 /* 0 for a plain service */
	gboolean checks_fencing; /* the engine refuses old epochs */
} ownership_endpoint_t;

typedef struct {
	/* The longest time a request or an order is under way to an endpoint.
	 */
	ms_t transit_max;
	/*
	 * How long resident adapters of an engine that ignores fencing are
	 * served after the lease ended here; 0 for not at all.
	 */
	ms_t serve_grace;
	/* The same after the last probe that a checking engine accepted. */
	ms_t probe_bound;
	ms_t probe_interval;
	/* How long another member has to be preferred before a handover. */
	ms_t handover_delay;
	/* Until a released record that nobody took is taken back. */
	ms_t orphan_delay;
	/* Between looks at a record that a live instance holds. */
	ms_t poll_min;
	ms_t poll_max;
	ms_t retry_interval;
	/* How long a settled slot waits to be written along with others. */
	ms_t settle_delay;
	/*
	 * Between looks whether the process that owned an endpoint before has
	 * stopped.
	 */
	ms_t look_interval;
	/*
	 * Where this process is: no other process can be there as long as it
	 * exists.  It is written to the records of endpoints, and `hc/instance`
	 * has it as "place".  Empty if that can't be said; copied.
	 */
	const char *place;
} ownership_options_t;

/* The values that the programs use. */
void ownership_options_init(ownership_options_t *options);

typedef struct {
	/* This instance owns the endpoint; the record is valid for the call. */
	void (*owned)(void *ctx, const char *endpoint,
		      const endpoint_record_t *record);
	/* Stop sending; what is in flight ends by itself. */
	void (*lost)(void *ctx, const char *endpoint);
	/* Send an order for slot -1; answer by ownership_fence_answered(). */
	void (*send_fence)(void *ctx, const char *endpoint, int64_t epoch);
	/* A slot left quarantine; adapter is NULL if it is empty. */
	void (*slot_ready)(void *ctx, const char *endpoint, guint slot,
			   const char *adapter);
	/* An inherited adapter no longer counts as serving a predecessor. */
	void (*adapter_idle)(void *ctx, const char *endpoint,
			     const char *adapter);
	/* Call ownership_tick() soon. */
	void (*wake)(void *ctx);
} ownership_actions_t;

/* The kv_t and the lease outlive the object; destroy it after the kv_t. */
ownership_t *ownership_create(kv_t *kv, lease_t *lease,
			      const ownership_options_t *options,
			      const ownership_actions_t *actions, void *ctx);
void ownership_destroy(ownership_t *own);

/* The live members, this instance among them unless it is leaving. */
void ownership_set_members(ownership_t *own, ms_t now,
			   const assign_member_t *members, size_t count);

/* The endpoints of the document; one that is left out is released. */
void ownership_set_endpoints(ownership_t *own, ms_t now,
			     const ownership_endpoint_t *endpoints,
			     size_t count);

/* Do what is due; returns the time of the next call. */
ms_t ownership_tick(ownership_t *own, ms_t now);

/* Planned stop: release every endpoint and take no other. */
void ownership_stop(ownership_t *own, ms_t now);

/* TRUE when nothing is owned and no release is under way. */
gboolean ownership_is_stopped(const ownership_t *own);

/* TRUE if the endpoint is owned, be the lease valid or not; else 0 epoch. */
gboolean ownership_has(const ownership_t *own, const char *endpoint,
		       int64_t *epoch);

/* May requests for resident adapters be sent now? */
gboolean ownership_may_serve(const ownership_t *own, ms_t now,
			     const char *endpoint);

/* May the slot be used, that is, is it out of quarantine? */
gboolean ownership_is_slot_usable(const ownership_t *own, const char *endpoint,
				  guint slot);

/* Why no intent may be given for a slot now. */
typedef enum {
	BLOCKER_NONE,
	BLOCKER_NOT_OWNED,
	BLOCKER_QUARANTINE,  /* an order of before may still change the slot */
	BLOCKER_LEASE,	     /* it is not certain any more */
	BLOCKER_FENCE,	     /* the engine has not accepted it yet */
	BLOCKER_INTENT_OPEN, /* an order for the slot is under way */
	/* Requests of an earlier owner may run with what the slot holds. */
	BLOCKER_INHERITED
} change_blocker_t;

change_blocker_t ownership_change_blocker(const ownership_t *own, ms_t now,
					  const char *endpoint, guint slot);
const char *change_blocker_text(change_blocker_t obstacle);

/* May an intent be given to replace or unload what the slot holds? */
gboolean ownership_may_change(const ownership_t *own, ms_t now,
			      const char *endpoint, guint slot);

/*
 * is_recorded is FALSE if the intent can't be acted on: the endpoint was lost,
 * or the lease ended meanwhile; the slot is then as it was before.
 */
typedef void (*ownership_intent_done_t)(void *ctx, const char *endpoint,
					guint slot, gboolean is_recorded);

/*
 * Record that an adapter is to be loaded into a slot (INTENT_LOADING; what the
 * slot holds is unloaded first) or unloaded (INTENT_UNLOADING).  Asserts
 * ownership_may_change().  Intents given before the next tick share one write.
 */
void ownership_record_intent(ownership_t *own, ms_t now, const char *endpoint,
			     guint slot, intent_state_t state,
			     const char *adapter, ownership_intent_done_t done,
			     void *ctx);

/* Ask right before an order is sent, also after every pause. */
gboolean ownership_may_order(const ownership_t *own, ms_t now,
			     const char *endpoint, guint slot);

/* Assert ownership_may_order(); returns the fencing number of the order. */
int64_t ownership_order_epoch(ownership_t *own, ms_t now, const char *endpoint,
			      guint slot);

/* The order ended: the slot holds an adapter, or NULL for none. */
void ownership_order_ended(ownership_t *own, ms_t now, const char *endpoint,
			   guint slot, const char *adapter);

/* The end of an order was not seen: quarantine its slot. */
void ownership_order_unknown(ownership_t *own, ms_t now, const char *endpoint,
			     guint slot);

/* sent_at is the time before the fence order was sent. */
void ownership_fence_answered(ownership_t *own, ms_t now, const char *endpoint,
			      int64_t epoch, gboolean is_accepted,
			      ms_t sent_at);

typedef struct {
	intent_state_t state; /* empty, loading or resident */
	const char *adapter;  /* NULL for an empty slot */
	int running;	      /* requests on it, waiting ones counted */
} ownership_slot_report_t;

/*
 * A report of an engine about all its slots.  as_of is a time at or after which
 * it was true: when it was asked for, less the known lag of reports.
 */
void ownership_report(ownership_t *own, ms_t now, const char *endpoint,
		      const ownership_slot_report_t *slots, guint count,
		      ms_t as_of);

/* The engine restarted and holds nothing; it has forgotten the fence. */
void ownership_engine_restarted(ownership_t *own, ms_t now,
				const char *endpoint);

/* Whose requests may still arrive; 0 for nobody's. */
int64_t ownership_predecessor_lease(const ownership_t *own,
				    const char *endpoint);

#endif
