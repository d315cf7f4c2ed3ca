#ifndef OWNER_ENDPOINT_PRIVATE_H
#define OWNER_ENDPOINT_PRIVATE_H

/*
 * What the files of an endpoint share: endpoint.c (slots), endpoint_run.c
 * (runs), endpoint_early.c (runs that came too early) and endpoint_order.c
 * (orders and reports).
 */

#include "owner/endpoint.h"
#include "owner/run.h"

/* The adapter that stands for a plain service. */
#define SERVICE_ADAPTER "service@0"

typedef enum {
	ORDER_NONE,
	ORDER_INTENDED,
	ORDER_REFUSED, /* ends with the next tick */
	ORDER_SENT
} order_state_t;

/* The order under way for one slot. */
typedef struct {
	endpoint_t *endpoint;
	int slot;
	order_state_t state;
	gboolean is_load;
	gboolean is_inherited; /* left alone until endpoint_idle() */
	char *adapter;
	link_task_t *task; /* while sent */
} slot_order_t;

/* A run whose end was not seen. */
typedef struct {
	uint64_t id;
	char *adapter;
	ms_t since;
} uncertain_t;

/* A run that came before this owner may hand work to the endpoint. */
typedef struct {
	void *requester;
	message_run_t *message;
	ms_t since;
} early_run_t;

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
	link_t *link;
	GHashTable *by_id;	/* slots identifier to run_t */
	GHashTable *by_request; /* request identifier to run_t */
	GHashTable *uncertain;	/* slots identifier to uncertain_t */
	GQueue early;		/* early_run_t, oldest first */
	uint64_t next_id;
	gboolean is_retired;
	gboolean is_watched; /* adopted or quarantined slots are left */
	gboolean is_report_open;
	ms_t report_asked_at;
	ms_t next_report;
};

ms_t endpoint_now(const endpoint_t *endpoint);

/* Actions of the slots: hand a run to the endpoint, or refuse it. */
void endpoint_start_run(void *ctx, uint64_t id, int slot);
void endpoint_refuse_run(void *ctx, uint64_t id, error_kind_t kind,
			 ms_t retry_after);

/* Forget answers that were kept long enough. */
void endpoint_drop_old_runs(endpoint_t *endpoint, ms_t now);

/* Tell all requesters that the endpoint has another owner; free the runs. */
void endpoint_fail_runs(endpoint_t *endpoint);

/* Begin an order of the slots: record the intent, then send it. */
void endpoint_begin_order(endpoint_t *endpoint, int slot, const char *adapter,
			  gboolean is_load);

/* Keep a run until the ownership is certain, for a bounded time. */
void endpoint_keep_early(endpoint_t *endpoint, void *requester,
			 message_run_t *message);
void endpoint_early_tick(endpoint_t *endpoint);

/* Drop the early runs of a requester, or of one request; NULL matches all. */
void endpoint_drop_early(endpoint_t *endpoint, const void *requester,
			 const char *request);

/* Refuse all early runs. */
void endpoint_refuse_early(endpoint_t *endpoint, const char *reason);

/* End the orders that were refused. */
void endpoint_order_tick(endpoint_t *endpoint);

/* Count a run as serving until a report shows that it has ended. */
void endpoint_mark_uncertain(endpoint_t *endpoint, const run_t *run);
void endpoint_uncertain_free(gpointer data);

/* The engine lost its adapters: nothing that was known of it holds. */
void endpoint_engine_restarted(endpoint_t *endpoint);

/* Ask for a report if one is due. */
void endpoint_report_tick(endpoint_t *endpoint, ms_t now);

#endif
