#ifndef OWNER_ENDPOINT_H
#define OWNER_ENDPOINT_H

/*
 * One endpoint that this instance owns: its slots, its HTTP client and its
 * runs.
 *
 * Engines have adapter slots.  A plain service is modelled as an engine with
 * one slot that always holds the same placeholder adapter, so that both use the
 * same queue and limits.
 *
 * A requester is the connection of an entry.  When it closes, its idempotent
 * runs are cancelled.  A non-idempotent run continues and its pieces are
 * stored; a repeat with the same request identifier attaches to it and never
 * starts a second run.
 */

#include <glib.h>

#include "base/clock.h"
#include "claim/orphan.h"
#include "http/http_client.h"
#include "owner/endpoint_client.h"
#include "sched/slots.h"
#include "serve/message.h"
#include "trace/span.h"

typedef struct endpoint endpoint_t;

typedef struct {
	/* Sends a message to a requester; the message is not modified. */
	void (*send)(void *ctx, void *requester, const void *message);
	/*
	 * Records the intent to load or unload a slot, before the order is
	 * sent.  endpoint_intent_recorded() passes the result, after this has
	 * returned.
	 */
	void (*record_intent)(void *ctx, endpoint_t *endpoint, int slot,
			      const char *adapter, gboolean is_load);
	/*
	 * Called right before an order is sent.  Returns whether it may be
	 * sent, and sets its fencing number.
	 */
	gboolean (*may_order)(void *ctx, endpoint_t *endpoint, int slot,
			      int64_t *fence);
	/* An order has ended; the slot holds adapter, or is empty if NULL. */
	void (*order_ended)(void *ctx, endpoint_t *endpoint, int slot,
			    const char *adapter);
	/* The result of an order is unknown; the slot is in quarantine. */
	void (*order_lost)(void *ctx, endpoint_t *endpoint, int slot);
	/* The engine reported its slots; the data is from as_of or later. */
	void (*slots_reported)(void *ctx, endpoint_t *endpoint,
			       const load_report_t *report, ms_t as_of);
	/* The engine restarted; all its slots are empty. */
	void (*engine_restarted)(void *ctx, endpoint_t *endpoint);
	/* Requests a load grant from the broker, or updates the request. */
	void (*request_load)(void *ctx, endpoint_t *endpoint,
			     const load_request_t *request_load);
	/* Withdraws a request for a load grant. */
	void (*withdraw_request)(void *ctx, endpoint_t *endpoint,
				 const char *adapter);
	/* Releases a load grant; is_returned if it was not used. */
	void (*load_ended)(void *ctx, endpoint_t *endpoint, const char *adapter,
			   gboolean is_returned);
	/* An adapter became resident, or was removed. */
	void (*residency_changed)(void *ctx, endpoint_t *endpoint,
				  const char *adapter, gboolean is_resident);
	/*
	 * A non-idempotent run has its whole answer, or provably has not run,
	 * and no entry is connected that could write this to the claim.
	 */
	void (*run_orphaned)(void *ctx, endpoint_t *endpoint,
			     const orphan_run_t *end);
	/*
	 * Returns whether requests may be sent to the endpoint now; called for
	 * each.
	 */
	gboolean (*may_serve)(void *ctx, endpoint_t *endpoint);
} endpoint_actions_t;

typedef struct {
	const char *id;
	const char *service;
	const char *address;
	int port;
	gboolean is_engine;
	int slots;
	int concurrency;
	const char *order_token; /* NULL if the engine requires none */
	int64_t epoch;		 /* of the ownership; the fencing number */
} endpoint_options_t;

typedef struct {
	uv_loop_t *loop;
	http_client_t *client;
	ms_clock_t *clock;
	GRand *rand;
	spans_t *spans;
} endpoint_env_t;

/* The environment and the actions outlive the endpoint. */
endpoint_t *endpoint_create(const endpoint_env_t *env,
			    const endpoint_options_t *options,
			    const endpoint_actions_t *actions, void *ctx);

/*
 * Aborts all runs: queued ones are reported as not run, and started ones as
 * failed.
 */
void endpoint_destroy(endpoint_t *endpoint);

/*
 * Queues a run, or attaches the requester to a stored run with the same request
 * identifier.  Takes ownership of message.
 */
void endpoint_run(endpoint_t *endpoint, void *requester,
		  message_run_t *message);
void endpoint_cancel(endpoint_t *endpoint, const message_cancel_t *message);
/* The connection of a requester was closed. */
void endpoint_requester_closed(endpoint_t *endpoint, void *requester);

/* The result of the record_intent action; ok if the intent is recorded. */
void endpoint_intent_recorded(endpoint_t *endpoint, int slot, gboolean ok);

/*
 * Refuses an order from within the record_intent action; takes effect at the
 * next tick.  is_inherited: the former owner may still use the slot, so that no
 * order is tried on it until endpoint_adapter_idle().
 */
void endpoint_refuse_order(endpoint_t *endpoint, int slot,
			   gboolean is_inherited);

/* The broker granted a load; returns FALSE if it is no longer needed. */
gboolean endpoint_grant(endpoint_t *endpoint, const char *adapter);
/* A request is expected soon, with this probability. */
void endpoint_expect(endpoint_t *endpoint, const char *adapter,
		     double probability);
/* The adapter has one replica too many; see slots_demote(). */
void endpoint_demote(endpoint_t *endpoint, const char *adapter);

/*
 * Marks a slot as holding the adapter that a former owner loaded.  The slot
 * counts as serving until endpoint_adapter_idle().
 */
void endpoint_inherit_slot(endpoint_t *endpoint, int slot, const char *adapter);
void endpoint_adapter_idle(endpoint_t *endpoint, const char *adapter);

/*
 * Keeps a slot unused until endpoint_end_quarantine(), as an order with an
 * unknown result may still change it.
 */
void endpoint_quarantine(endpoint_t *endpoint, int slot);
/* Ends the quarantine; the slot holds adapter, or is empty if NULL. */
void endpoint_end_quarantine(endpoint_t *endpoint, int slot,
			     const char *adapter);

/* Sets whether reports are read at the short interval. */
void endpoint_set_report_urgent(endpoint_t *endpoint, gboolean is_urgent);

/* Sends the engine an order to refuse lower fencing numbers from now on. */
void endpoint_fence(endpoint_t *endpoint, int64_t epoch,
		    client_order_done_t done, void *ctx);

/*
 * The endpoint has another owner, or will have: refuses queued requests, sends
 * no more orders, and lets started runs end.
 */
void endpoint_retire(endpoint_t *endpoint);
gboolean endpoint_is_retired(const endpoint_t *endpoint);

/* Stops accepting requests; endpoint_is_idle() shows when all have ended. */
void endpoint_drain(endpoint_t *endpoint);
gboolean endpoint_is_idle(const endpoint_t *endpoint);

void endpoint_tick(endpoint_t *endpoint);

/* Returns whether requests run or are queued. */
gboolean endpoint_is_busy(const endpoint_t *endpoint);

const char *endpoint_id(const endpoint_t *endpoint);
gboolean endpoint_is_engine(const endpoint_t *endpoint);
int endpoint_slot_count(const endpoint_t *endpoint);
const char *endpoint_service(const endpoint_t *endpoint);
int64_t endpoint_epoch(const endpoint_t *endpoint);
slots_t *endpoint_slots(endpoint_t *endpoint);

/* Returns whether a run with this request identifier is active or stored. */
gboolean endpoint_has_run(const endpoint_t *endpoint, const char *request);

#endif
