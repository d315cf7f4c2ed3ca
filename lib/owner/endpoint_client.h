#ifndef OWNER_LINK_H
#define OWNER_LINK_H

/*
 * The HTTP side of one endpoint: runs, orders and reports.
 *
 * A run ends in exactly one of three ways.  LINK_NOT_RUN is a proof: nothing
 * was sent, or the endpoint refused before it began.  LINK_BROKEN says nothing
 * about whether the endpoint ran the request.
 *
 * Engines stream server-sent events, and each event but the closing [DONE] is a
 * piece.  A plain service answers as a whole, in one piece; any HTTP answer of
 * a plain service counts as its answer.
 *
 * No callback is made before the call that asked for it returns.
 */

#include <glib.h>

#include "http/http_client.h"
#include "serve/message.h"

typedef struct link link_t;
typedef struct link_run link_run_t;

typedef enum { LINK_DONE, LINK_NOT_RUN, LINK_BROKEN } link_result_t;

typedef struct {
	link_result_t result;
	int64_t count; /* pieces of the whole answer, for LINK_DONE */
	int status;    /* HTTP status, for LINK_DONE */
	const char *content_type;
	error_kind_t kind; /* for the others */
	const char *reason;
	ms_t retry_after;
} link_end_t;

typedef struct {
	void (*on_started)(void *ctx);
	void (*on_piece)(void *ctx, int64_t number, const char *data,
			 size_t size);
	void (*on_end)(void *ctx, const link_end_t *end);
} link_events_t;

typedef struct {
	const char *address;
	int port;
	gboolean is_engine;
	const char *order_token; /* NULL if the engine asks for none */
} link_options_t;

/* The client outlives the link; the options are copied. */
link_t *link_create(http_client_t *client, const link_options_t *options);

/* Runs, orders and reports that are open are dropped without a callback. */
void link_destroy(link_t *link);

link_run_t *link_run_start(link_t *link, const message_run_t *run,
			   const link_events_t *events, void *ctx);

/* Stop without a callback; an engine is told to cancel the request. */
void link_run_cancel(link_run_t *run);

/* error is NULL when the order took effect. */
typedef void (*link_order_done_t)(void *ctx, const GError *error);

typedef struct link_task link_task_t;

typedef enum { LINK_LOAD, LINK_UNLOAD, LINK_FENCE } link_order_t;

/* An order with a fencing number; slot and adapter are unused for a fence. */
link_task_t *link_order(link_t *link, link_order_t order, int slot,
			const char *adapter, int64_t fence,
			link_order_done_t done, void *ctx);

/* Give an order up: whether it takes effect is not known; no callback. */
void link_order_cancel(link_task_t *task);

typedef struct {
	char *adapter; /* empty for none */
	gboolean is_resident;
	gboolean is_loading;
	int running;
} link_slot_t;

typedef struct {
	int running;
	int waiting;
	int slot_count;
	link_slot_t *slots;
} link_report_t;

/* report is NULL if it could not be had. */
typedef void (*link_report_done_t)(void *ctx, const link_report_t *report);

void link_ask_report(link_t *link, link_report_done_t done, void *ctx);

#endif
