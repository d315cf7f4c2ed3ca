#ifndef OWNER_ENDPOINT_H
#define OWNER_ENDPOINT_H

/*
 * One endpoint that this instance owns: its slots, its link, its runs.
 *
 * Engines have adapter slots; a plain service is treated as an engine whose one
 * slot always holds the same nameless adapter, so that its queue and limits are
 * the same code.
 *
 * A requester is the connection of an entry.  When it goes away, its idempotent
 * runs are cancelled; a non-idempotent run goes on, its pieces are kept, and
 * whoever sends the same request identifier is attached to it, never given a
 * second run.
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
	/* Send a message to a requester; the message is only read. */
	void (*send)(void *ctx, void *requester, const void *message);
	/*
	 * Record that a slot is about to be loaded or unloaded, before the
	 * order goes out; endpoint_intended() answers, not before it returns.
	 */
	void (*intend)(void *ctx, endpoint_t *endpoint, int slot,
		       const char *adapter, gboolean is_load);
	/* Asked right before an order is sent; gives its fencing number. */
	gboolean (*may_order)(void *ctx, endpoint_t *endpoint, int slot,
			      int64_t *fence);
	/* The order has ended; the slot holds adapter, or NULL for nothing. */
	void (*settled)(void *ctx, endpoint_t *endpoint, int slot,
			const char *adapter);
	/* The end of the order was not seen: the slot is in quarantine. */
	void (*order_lost)(void *ctx, endpoint_t *endpoint, int slot);
	/* The engine's report, true at as_of or later. */
	void (*reported)(void *ctx, endpoint_t *endpoint,
			 const link_report_t *report, ms_t as_of);
	/* The engine restarted and holds nothing. */
	void (*restarted)(void *ctx, endpoint_t *endpoint);
	/* To the load broker. */
	void (*want)(void *ctx, endpoint_t *endpoint,
		     const load_request_t *want);
	void (*withdraw)(void *ctx, endpoint_t *endpoint, const char *adapter);
	/* is_returned: the grant was not used. */
	void (*load_ended)(void *ctx, endpoint_t *endpoint, const char *adapter,
			   gboolean is_returned);
	/* Placement news. */
	void (*placed)(void *ctx, endpoint_t *endpoint, const char *adapter,
		       gboolean is_resident);
	/*
	 * A non-idempotent run has its whole answer, or is proved not to have
	 * run, and no entry is there that could write it into the claim.
	 */
	void (*orphaned)(void *ctx, endpoint_t *endpoint,
			 const orphan_run_t *end);
	/* May work be handed to the endpoint now?  Asked before each. */
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
	const char *order_token; /* NULL if none is asked for */
	int64_t epoch;		 /* of the ownership: the fencing number */
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

/* Drop everything: its runs end as failed towards their requesters. */
void endpoint_destroy(endpoint_t *endpoint);

/* Take a run, or attach to the one that has this identifier; takes message. */
void endpoint_run(endpoint_t *endpoint, void *requester,
		  message_run_t *message);
void endpoint_cancel(endpoint_t *endpoint, const message_cancel_t *message);
void endpoint_requester_gone(endpoint_t *endpoint, void *requester);

/* The answer to the intend action. */
void endpoint_intended(endpoint_t *endpoint, int slot, gboolean ok);

/*
 * The same for "no" from within the intend action; takes effect later.  What an
 * earlier owner may still use is left alone until endpoint_idle().
 */
void endpoint_refuse_order(endpoint_t *endpoint, int slot,
			   gboolean is_inherited);

/* A grant of the broker; FALSE if it is of no use. */
gboolean endpoint_grant(endpoint_t *endpoint, const char *adapter);
/* A request is expected soon, with this probability. */
void endpoint_expect(endpoint_t *endpoint, const char *adapter,
		     double probability);
void endpoint_demote(endpoint_t *endpoint, const char *adapter);

/* What a former owner left: counted as serving until endpoint_idle(). */
void endpoint_adopt(endpoint_t *endpoint, int slot, const char *adapter);
void endpoint_idle(endpoint_t *endpoint, const char *adapter);

/* A slot that an order may still change, until endpoint_slot_ready(). */
void endpoint_quarantine(endpoint_t *endpoint, int slot);
/* What the slot was seen to hold in the end; NULL for nothing. */
void endpoint_slot_ready(endpoint_t *endpoint, int slot, const char *adapter);

/* Whether reports are asked for often, because something hangs on them. */
void endpoint_set_watched(endpoint_t *endpoint, gboolean is_watched);

/* Order the engine to refuse lower fencing numbers. */
void endpoint_fence(endpoint_t *endpoint, int64_t epoch, link_order_done_t done,
		    void *ctx);

/*
 * The endpoint has another owner now, or will have: refuse what waits, give no
 * more orders, and let what was handed over come to its end.
 */
void endpoint_retire(endpoint_t *endpoint);
gboolean endpoint_is_retired(const endpoint_t *endpoint);

/* Take no new work; endpoint_is_idle() tells when the rest has ended. */
void endpoint_leave(endpoint_t *endpoint);
gboolean endpoint_is_idle(const endpoint_t *endpoint);

void endpoint_tick(endpoint_t *endpoint);

/* Whether requests run or wait. */
gboolean endpoint_is_busy(const endpoint_t *endpoint);

const char *endpoint_id(const endpoint_t *endpoint);
gboolean endpoint_is_engine(const endpoint_t *endpoint);
int endpoint_slot_count(const endpoint_t *endpoint);
const char *endpoint_service(const endpoint_t *endpoint);
int64_t endpoint_epoch(const endpoint_t *endpoint);
slots_t *endpoint_slots(endpoint_t *endpoint);

/* Runs in flight or kept, with this identifier. */
gboolean endpoint_knows(const endpoint_t *endpoint, const char *request);

#endif
