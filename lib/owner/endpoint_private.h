#ifndef OWNER_ENDPOINT_PRIVATE_H
#define OWNER_ENDPOINT_PRIVATE_H

/*
 * The interface between the files of an endpoint: its slots (endpoint.c), its
 * runs (endpoint_run.c), its orders and reports (endpoint_order.c), and the
 * runs that are deferred until the ownership is certain.
 */

#include "owner/endpoint.h"
#include "owner/run.h"

/* The placeholder adapter in the one slot of a plain service. */
#define SERVICE_ADAPTER "service@0"

typedef enum {
	ORDER_NONE,
	ORDER_INTENDED,
	ORDER_REFUSED, /* ended by the next tick */
	ORDER_SENT
} order_state_t;

/* The load or unload order of one slot. */
typedef struct {
	endpoint_t *endpoint;
	int slot;
	order_state_t state;
	gboolean is_load;
	gboolean is_inherited; /* not used until endpoint_adapter_idle() */
	char *adapter;
	client_task_t *task; /* while the state is ORDER_SENT */
} slot_order_t;

/* A run that the engine may still be executing. */
typedef struct {
	uint64_t id;
	char *adapter;
	ms_t since;
} uncertain_run_t;

/* A run received before requests may be sent to the endpoint. */
typedef struct {
	void *requester;
	message_run_t *message;
	ms_t since;
} deferred_run_t;

struct endpoint {
	const endpoint_env_t *env;
	const endpoint_actions_t *actions;
	void *ctx;
	char *id;
	char *service;
	gboolean is_engine;
	int64_t epoch;
	int slot_count;
	slot_order_t *orders;
	slots_t *slots;
	endpoint_client_t *client;
	GHashTable *by_id;	/* run_t.id to run_t */
	GHashTable *by_request; /* request identifier to run_t */
	GHashTable *uncertain;	/* run_t.id to uncertain_run_t */
	GQueue deferred;	/* deferred_run_t, oldest first */
	uint64_t next_id;
	gboolean is_retired;
	gboolean is_report_urgent; /* a slot is inherited or in quarantine */
	gboolean is_report_pending;
	ms_t report_requested_at;
	ms_t report_due;
};

ms_t endpoint_now(const endpoint_t *endpoint);

/* Actions of the slots: send a run to the endpoint, or refuse it. */
void endpoint_start_run(void *ctx, uint64_t id, int slot);
void endpoint_refuse_run(void *ctx, uint64_t id, error_kind_t kind,
			 ms_t retry_after);

/* Frees ended runs whose answer was stored for ENDED_RUN_TTL_MS. */
void endpoint_drop_old_runs(endpoint_t *endpoint, ms_t now);

/* Ends all runs because the endpoint has another owner, and frees them. */
void endpoint_fail_runs(endpoint_t *endpoint);

/* Starts an order of the slots: records the intent, then sends the order. */
void endpoint_begin_order(endpoint_t *endpoint, int slot, const char *adapter,
			  gboolean is_load);

/* Defers a run until the ownership is certain, for DEFERRED_WAIT_MAX_MS. */
void endpoint_defer_run(endpoint_t *endpoint, void *requester,
			message_run_t *message);
/* Starts the deferred runs, or refuses those that waited too long. */
void endpoint_deferred_tick(endpoint_t *endpoint);

/*
 * Frees the deferred runs of a requester and a request identifier, without a
 * message; NULL matches all.
 */
void endpoint_drop_deferred(endpoint_t *endpoint, const void *requester,
			    const char *request);

/* Refuses all deferred runs. */
void endpoint_refuse_deferred(endpoint_t *endpoint, const char *reason);

/* Ends the orders in state ORDER_REFUSED. */
void endpoint_order_tick(endpoint_t *endpoint);

/* Counts a run as active until a report shows that it has ended. */
void endpoint_mark_uncertain(endpoint_t *endpoint, const run_t *run);
void endpoint_uncertain_free(gpointer data);

/* Resets the state of all slots and orders: the engine holds no adapters. */
void endpoint_engine_restarted(endpoint_t *endpoint);

/* Requests a report if one is due. */
void endpoint_report_tick(endpoint_t *endpoint, ms_t now);

#endif
