#ifndef SCHED_SLOTS_H
#define SCHED_SLOTS_H

/*
 * The adapter slots and the queue of one engine endpoint, run by its owner.
 *
 * Requests, grants and the ends of loads come in with the time; starts,
 * refusals, wants and orders go out through callbacks.  No I/O is done here and
 * no clock is read.  A callback must not call back into the same slots_t, but
 * for the getters, which take it as const.
 *
 * Promises, asserted in this code:
 *  - every submitted request ends exactly once: refuse(), or start() followed
 *    by slots_request_ended();
 *  - a refused request was never started;
 *  - order_unload() is only given for an adapter with nothing in flight,
 *    uncertain, pinned or waiting;
 *  - no more than the concurrency limit is in flight at once.
 *
 * Names of adapters carry their version, as in "name@version"; they are copied.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

typedef struct slots slots_t;

typedef struct {
	uint64_t id; /* unique among requests that have not ended */
	const char *adapter;
	int priority;  /* a higher number goes first */
	ms_t arrival;  /* when the caller's request came in */
	ms_t deadline; /* the latest useful start; MS_NEVER if none */
} slots_request_t;

/* What is asked of the load broker for one adapter. */
typedef struct {
	const char *adapter;
	int waiting;	/* requests that one load would serve */
	int priority;	/* the highest among them */
	ms_t oldest;	/* arrival of the oldest of them */
	gboolean ahead; /* nobody waits yet; a request is expected */
} load_request_t;

typedef struct {
	int slot_count;	   /* adapters resident at once */
	int concurrency;   /* requests in flight at once */
	int queue_limit;   /* requests waiting at once */
	int adapter_limit; /* of these, for one adapter */
	ms_t load_time;	   /* first estimate of the time of a load */
	ms_t grant_time;   /* first estimate of the wait for a grant */
	ms_t service_time; /* first estimate of the time of a request */
	ms_t wait_limit;   /* longest wait of a request in the queue */
	ms_t retry_min;	   /* bounds of the time to come back */
	ms_t retry_max;
	ms_t hold_time;		   /* an adapter used since is not unloaded */
	ms_t recent_half_life;	   /* of the demand of a round */
	ms_t popularity_half_life; /* of the demand of days */
	gboolean recency;	   /* unload the least recently used instead */
} slots_config_t;

/* Sensible values for everything but the sizes of the engine. */
void slots_config_init(slots_config_t *config, int slot_count, int concurrency);

typedef struct {
	/* Hand the request to the engine now; the adapter is resident. */
	void (*start)(void *ctx, uint64_t id, int slot);
	/* The request did not run and will not; come back in retry_after. */
	void (*refuse)(void *ctx, uint64_t id, error_kind_t kind,
		       ms_t retry_after);
	/* Stop a running request; its end is still to be reported. */
	void (*stop)(void *ctx, uint64_t id);
	/* Ask the broker for a load; replaces an earlier want. */
	void (*want_load)(void *ctx, const load_request_t *want);
	void (*withdraw_load)(void *ctx, const char *adapter);
	/* Orders to the engine, each answered by its _ended event. */
	void (*order_load)(void *ctx, int slot, const char *adapter);
	void (*order_unload)(void *ctx, int slot, const char *adapter);
	/* A grant that was taken will not end in a load after all. */
	void (*grant_unused)(void *ctx, const char *adapter);
	/* An adapter became usable here or stopped being so. */
	void (*placed)(void *ctx, const char *adapter, gboolean resident);
} slots_actions_t;

/* What the owner tells the entries and homes of an endpoint. */
typedef struct {
	int running;	    /* requests in flight */
	int waiting;	    /* requests queued */
	int waiting_load;   /* of these, for an adapter not yet resident */
	int concurrency;    /* places of the engine */
	int free_slots;	    /* empty and usable */
	int victim_slots;   /* resident, but free to be unloaded */
	double victim_rate; /* value of the cheapest of them, requests a
			     * second; 0 if a slot is empty */
	gboolean leaving;
} slots_utilization_t;

/* rand is kept by the caller and outlives the object. */
slots_t *slots_create(const slots_config_t *config,
		      const slots_actions_t *actions, void *ctx, GRand *rand);

/* Drops everything without a callback. */
void slots_destroy(slots_t *slots);

/* Take a request, start it, queue it, or refuse it at once. */
void slots_submit(slots_t *slots, ms_t now, const slots_request_t *request);

/* A queued request is refused as cancelled; a running one is stopped. */
void slots_cancel(slots_t *slots, ms_t now, uint64_t id);

/*
 * A started request has ended.  An uncertain end (connection lost, no proof
 * that the engine is done with it) keeps its adapter and its place until
 * slots_uncertain_resolved().
 */
void slots_request_ended(slots_t *slots, ms_t now, uint64_t id,
			 gboolean certain);
void slots_uncertain_resolved(slots_t *slots, ms_t now, uint64_t id);

/*
 * The broker grants one load of an adapter.  FALSE if it is of no use any
 * more, so that the caller can give the grant back.
 */
gboolean slots_grant(slots_t *slots, ms_t now, const char *adapter);

void slots_load_ended(slots_t *slots, ms_t now, int slot, gboolean ok);
void slots_unload_ended(slots_t *slots, ms_t now, int slot, gboolean ok);

/* The load was not ordered.  It counts as no failure and is wanted again. */
void slots_load_not_sent(slots_t *slots, ms_t now, int slot);

/* A pinned adapter is not unloaded; pins are counted. */
void slots_pin(slots_t *slots, const char *adapter);
void slots_unpin(slots_t *slots, ms_t now, const char *adapter);

/*
 * A request for the adapter is expected soon, with this probability: keep it,
 * or load it if a load is to spare.
 */
void slots_expect_request(slots_t *slots, ms_t now, const char *adapter,
			  double probability);

/* One replica too many: for a minute it is the first to be unloaded. */
void slots_demote(slots_t *slots, ms_t now, const char *adapter);

/* The endpoint is leaving: refuse what waits and take no more. */
void slots_start_leaving(slots_t *slots, ms_t now);
gboolean slots_is_idle(const slots_t *slots);

/* A slot that a foreign order may still change is not used until released. */
void slots_quarantine(slots_t *slots, ms_t now, int slot);
void slots_release(slots_t *slots, ms_t now, int slot);

/*
 * The same, with what the slot was seen to hold after its quarantine; adapter
 * is NULL for an empty one.  A second copy of an adapter counts as empty: it is
 * of no use, and the engine may lose it at any time.
 */
void slots_release_as(slots_t *slots, ms_t now, int slot, const char *adapter);

/*
 * An adapter was found resident when this owner took over.  It counts as
 * serving until slots_clear_predecessor_busy().  The slot must be empty.
 */
void slots_add_resident(slots_t *slots, ms_t now, int slot,
			const char *adapter);
void slots_clear_predecessor_busy(slots_t *slots, ms_t now, int slot);

/* Requests of an earlier owner may run with what the slot holds. */
void slots_set_predecessor_busy(slots_t *slots, int slot);

/*
 * The engine restarted and holds nothing; loads and unloads under way are void.
 * Requests in flight are still to be reported ended, and only then free their
 * places.
 */
void slots_engine_restarted(slots_t *slots, ms_t now);

/* Handle what is due; returns the time of the next call, or MS_NEVER. */
ms_t slots_tick(slots_t *slots, ms_t now);

void slots_get_utilization(const slots_t *slots, ms_t now,
			   slots_utilization_t *load);
gboolean slots_has_resident(const slots_t *slots, const char *adapter);

/* Name of the adapter in a slot, or NULL; owned by the object. */
const char *slots_adapter(const slots_t *slots, int slot);

#endif
