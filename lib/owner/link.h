#ifndef OWNER_LINK_H
#define OWNER_LINK_H

/*
 * The HTTP client of one endpoint: sends requests and load, unload and fence
 * orders to it, and reads its load report.
 *
 * A run has one of three results.  LINK_NOT_RUN proves that the endpoint did
 * not run the request: nothing was sent, or the endpoint refused the request
 * before it started.  After LINK_BROKEN, the endpoint may or may not have run
 * it.
 *
 * Engines stream server-sent events, and each event but the final [DONE] is a
 * piece.  The body of a plain service's answer is one piece, whatever its HTTP
 * status.
 *
 * No callback runs before the function that registered it has returned.
 */

#include <glib.h>

#include "http/http_client.h"
#include "serve/message.h"

typedef struct link link_t;
typedef struct link_run link_run_t;

typedef enum { LINK_DONE, LINK_NOT_RUN, LINK_BROKEN } link_result_t;

typedef struct {
	link_result_t result;
	int64_t count;		  /* LINK_DONE: pieces of the whole answer */
	int status;		  /* LINK_DONE: HTTP status */
	const char *content_type; /* LINK_DONE: of a plain service, or NULL */
	error_kind_t kind;	  /* for the other results */
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
	const char *order_token; /* NULL if the engine requires none */
} link_options_t;

/* The client outlives the link; the options are copied. */
link_t *link_create(http_client_t *client, const link_options_t *options);

/* Aborts open runs, orders and report reads without a callback. */
void link_destroy(link_t *link);

link_run_t *link_run_start(link_t *link, const message_run_t *run,
			   const link_events_t *events, void *ctx);

/* Aborts a run without a callback, and sends a cancel request to an engine. */
void link_run_cancel(link_run_t *run);

/* error is NULL if the endpoint carried the order out. */
typedef void (*link_order_done_t)(void *ctx, const GError *error);

typedef struct link_task link_task_t;

typedef enum { LINK_LOAD, LINK_UNLOAD, LINK_FENCE } link_order_t;

/* Sends an order with a fencing number; LINK_FENCE ignores slot and adapter. */
link_task_t *link_order(link_t *link, link_order_t order, int slot,
			const char *adapter, int64_t fence,
			link_order_done_t done, void *ctx);

/* Aborts an order without a callback; the endpoint may still carry it out. */
void link_order_cancel(link_task_t *task);

typedef struct {
	char *adapter; /* empty if the slot has none */
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

/* report is NULL if the report could not be read. */
typedef void (*link_report_done_t)(void *ctx, const link_report_t *report);

void link_ask_report(link_t *link, link_report_done_t done, void *ctx);

#endif
