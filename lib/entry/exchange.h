#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

/*
 * One request of a caller, from its HTTP request to its answer.
 *
 * request/track.h makes the decisions; an exchange does the I/O for them.  It
 * destroys itself after the track has ended.
 */

#include <glib.h>

#include "base/clock.h"
#include "config/document.h"
#include "entry/routing.h"
#include "http/http_server.h"
#include "request/admit.h"
#include "request/parse.h"
#include "request/track.h"
#include "serve/message.h"
#include "trace/span.h"

typedef struct exchange exchange_t;

typedef struct {
	/* Send to an owner; FALSE if there is no connection. */
	gboolean (*send)(void *ctx, const char *instance, const void *message);
	/*
	 * Begin the claim.  exchange_handle_claim_result() is called with the
	 * result, but not before this returns.
	 */
	void (*claim)(void *ctx, exchange_t *exchange, gboolean is_known);
	/* Record the outcome; the answer is NULL if it is not stored. */
	void (*settle)(void *ctx, exchange_t *exchange, outcome_t outcome,
		       const char *answer, size_t size);
	/* The exchange is about to be destroyed. */
	void (*ended)(void *ctx, exchange_t *exchange);
} exchange_actions_t;

/* The parts of the entry that an exchange uses; they outlive it. */
typedef struct {
	uv_loop_t *loop;
	ms_clock_t *clock;
	routing_t *routing;
	admit_t *admit;
	retry_t *retry;
	spans_t *spans;
	const exchange_actions_t *actions;
	void *ctx;
} exchange_env_t;

typedef struct {
	http_request_t *http;
	request_spec_t *spec; /* ownership is transferred */
	document_t *document; /* a reference is taken */
	const document_caller_t *caller;
	const document_adapter_t *adapter; /* NULL for a plain service */
	const document_service_t *service;
	admit_ticket_t *ticket; /* ownership is transferred */
	int priority;
} exchange_start_t;

exchange_t *exchange_create(const exchange_env_t *env,
			    const exchange_start_t *start);

/* Handle a STARTED, PIECE, DONE, NOT_RUN or FAILED message of this request. */
void exchange_handle_message(exchange_t *exchange, const void *message);

/* The connection to an owner was lost. */
void exchange_handle_owner_lost(exchange_t *exchange, const char *owner);

/*
 * Handle the result of the claim.  After TRACK_CLAIM_RUNNING the exchange
 * begins the claim again later.
 */
void exchange_handle_claim_result(exchange_t *exchange, track_claim_t claim,
				  const char *answer, size_t size,
				  ms_t retry_after);

/* The request identifier that is sent to owners and engines. */
const char *exchange_id(const exchange_t *exchange);
const char *exchange_caller(const exchange_t *exchange);
const request_spec_t *exchange_spec(const exchange_t *exchange);

#endif
