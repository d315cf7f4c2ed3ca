#ifndef OWNER_ENDPOINT_CLIENT_H
#define OWNER_ENDPOINT_CLIENT_H

/*
 * The HTTP client of one endpoint: sends requests and load, unload and fence
 * orders to it, and reads its load report.
 *
 * A run has one of three results.  CLIENT_NOT_RUN proves that the endpoint did
 * not run the request: nothing was sent, or the endpoint refused the request
 * before it started.  After CLIENT_BROKEN, the endpoint may or may not have run
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

typedef struct endpoint_client endpoint_client_t;
typedef struct client_run client_run_t;

typedef enum { CLIENT_DONE, CLIENT_NOT_RUN, CLIENT_BROKEN } client_run_result_t;

typedef struct {
	client_run_result_t result;
	int64_t count;		  /* CLIENT_DONE: pieces of the whole answer */
	int status;		  /* CLIENT_DONE: HTTP status */
	const char *content_type; /* CLIENT_DONE: of a plain service, or NULL */
	error_kind_t kind;	  /* for the other results */
	const char *reason;
	ms_t retry_after;
} client_run_end_t;

typedef struct {
	void (*on_started)(void *ctx);
	void (*on_piece)(void *ctx, int64_t number, const char *data,
			 size_t size);
	void (*on_end)(void *ctx, const client_run_end_t *end);
} client_run_events_t;

typedef struct {
	const char *address;
	int port;
	gboolean is_engine;
	const char *order_token; /* NULL if the engine requires none */
} client_options_t;

/* http outlives the client; the options are copied. */
endpoint_client_t *endpoint_client_create(http_client_t *http,
					  const client_options_t *options);

/* Aborts open runs, orders and report reads without a callback. */
void endpoint_client_destroy(endpoint_client_t *client);

client_run_t *endpoint_client_run(endpoint_client_t *client,
				  const message_run_t *run,
				  const client_run_events_t *events, void *ctx);

/* Aborts a run without a callback, and sends a cancel request to an engine. */
void client_run_cancel(client_run_t *run);

/* error is NULL if the endpoint carried the order out. */
typedef void (*client_order_done_t)(void *ctx, const GError *error);

typedef struct client_task client_task_t;

typedef enum {
	CLIENT_ORDER_LOAD,
	CLIENT_ORDER_UNLOAD,
	CLIENT_ORDER_FENCE
} client_order_t;

/* Sends an order with a fencing number; a fence ignores slot and adapter. */
client_task_t *endpoint_client_order(endpoint_client_t *client,
				     client_order_t order, int slot,
				     const char *adapter, int64_t fence,
				     client_order_done_t done, void *ctx);

/* Aborts an order without a callback; the endpoint may still carry it out. */
void client_order_cancel(client_task_t *task);

typedef struct {
	char *adapter; /* empty if the slot has none */
	gboolean is_resident;
	gboolean is_loading;
	int running;
} load_report_slot_t;

typedef struct {
	int running;
	int waiting;
	int slot_count;
	load_report_slot_t *slots;
} load_report_t;

/* report is NULL if the report could not be read. */
typedef void (*load_report_done_t)(void *ctx, const load_report_t *report);

void endpoint_client_read_report(endpoint_client_t *client,
				 load_report_done_t done, void *ctx);

#endif
