#ifndef ENTRY_ANSWER_H
#define ENTRY_ANSWER_H

/*
 * The HTTP answer to a caller, assembled from the pieces that an endpoint
 * sends.
 *
 * It has one of three forms: a stream of server-sent events that ends with
 * [DONE], one JSON object in the OpenAI format, or the unchanged answer of a
 * plain service.  A stream that fails ends with an event that holds the typed
 * error, without [DONE], and its transfer is aborted, so that a client can't
 * take it for a complete answer.
 */

#include <glib.h>

#include "base/error.h"
#include "http/http_server.h"
#include "request/parse.h"

/* The largest answer, in bytes, that is stored with a claim. */
#define ANSWER_STORED_MAX (512 * 1024)

typedef struct answer answer_t;

typedef struct {
	request_kind_t kind;
	gboolean is_streamed;
	const char *id; /* sent as X-Request-Id */
	const char *model;
	const char *traceparent;
	gboolean is_stored; /* collect it for answer_stored_form() */
} answer_options_t;

/* Copies the strings in options. */
answer_t *answer_create(const answer_options_t *options);
void answer_destroy(answer_t *answer);

/*
 * Append the next piece, in order.  http is NULL if the caller has
 * disconnected.
 */
void answer_append(answer_t *answer, http_request_t *http, const char *data,
		   size_t size);

/* Drop all pieces, before the request is run again. */
void answer_reset(answer_t *answer);

/*
 * Set the HTTP status and the content type of a plain service's answer; type
 * may be NULL.
 */
void answer_set_head(answer_t *answer, int status, const char *type);

/* The next answer_append() passes the stored form of an earlier answer. */
void answer_set_replayed(answer_t *answer);

/* Complete the HTTP request with the whole answer. */
void answer_end(answer_t *answer, http_request_t *http);

/* Complete the HTTP request with an error. */
void answer_fail(answer_t *answer, http_request_t *http, const GError *error,
		 outcome_t outcome, ms_t retry_after);

/*
 * The form that is stored with the claim and can be replayed by any entry, or
 * NULL if the answer is larger than ANSWER_STORED_MAX.  Owned by the answer.
 */
const char *answer_stored_form(answer_t *answer, size_t *size);

#endif
