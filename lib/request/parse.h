#ifndef REQUEST_PARSE_H
#define REQUEST_PARSE_H

/*
 * Parses an HTTP request of a caller into a request_spec_t.
 *
 * These forms are accepted:
 *  - POST /v1/completions and POST /v1/chat/completions, OpenAI-style JSON
 *    whose field "model" is "name@version";
 *  - GET, HEAD, POST, PUT, PATCH and DELETE of any path outside /v1/, for the
 *    plain service whose path in the document is the longest prefix of it.
 *
 * Headers (all but Authorization are optional):
 *  - Authorization: Bearer TOKEN
 *  - X-Request-Id: identifier of the request, returned in the answer
 *  - X-Priority: 0 (lowest) to 9 (highest); default 5
 *  - X-Deadline-Ms: time limit for the complete answer, in milliseconds
 *  - X-Non-Idempotent: true or false; the default is true for POST and PATCH to
 *    a plain service and false for everything else
 *  - Idempotency-Key: required if the request is non-idempotent
 *  - traceparent: W3C trace context, see trace/traceparent.h
 *
 * Errors: ERROR_UNAUTHENTICATED without a bearer token, ERROR_NOT_FOUND for an
 * unknown path, ERROR_TOO_LARGE for a body above its limit, and ERROR_INVALID
 * for everything else.  Each message names the field and how to correct it.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

#define REQUEST_PRIORITY_MAX	 9
#define REQUEST_PRIORITY_DEFAULT 5
#define REQUEST_DEADLINE_DEFAULT ((ms_t)120 * 1000)
#define REQUEST_DEADLINE_MAX	 ((ms_t)3600 * 1000)
#define REQUEST_TOKENS_DEFAULT	 256
#define REQUEST_TOKENS_MAX	 (1024 * 1024)
#define REQUEST_TEXT_MAX	 256 /* bytes of an identifier, key or name */
#define REQUEST_BODY_MAX	 (2 * 1024 * 1024) /* bytes */
#define REQUEST_ENGINE_PREFIX	 "/v1/"

/* The number of leading bytes of the prompt that prefix_hash covers. */
#define REQUEST_PREFIX_SIZE 256

typedef enum {
	REQUEST_COMPLETION,
	REQUEST_CHAT,
	REQUEST_SERVICE
} request_kind_t;

/* A request as received by the HTTP server; the pointers are borrowed. */
typedef struct {
	const char *method;
	const char *target; /* path and query, as received */
	const char *body;
	size_t body_size;
	/* Returns the value of a header (name in lower case), or NULL. */
	const char *(*header)(void *ctx, const char *name);
	void *ctx;
} request_input_t;

typedef struct {
	request_kind_t kind;
	char *token;	   /* the bearer token */
	char *id;	   /* X-Request-Id, or NULL: the entry generates one */
	char *key;	   /* Idempotency-Key, or NULL */
	char *traceparent; /* as received, or NULL */
	char *method;
	char *path;	    /* as forwarded to the endpoint, with the query */
	char *route;	    /* the decoded path without the query */
	char *content_type; /* of the body, or NULL */
	char *model;	    /* "name@version"; NULL for REQUEST_SERVICE */
	char *adapter;	    /* the part before the '@' */
	char *version;	    /* the part after the '@' */
	GBytes *body;	    /* as received */
	int64_t tokens_max;
	uint64_t prefix_hash; /* of model and start of prompt; 0 for services */
	ms_t deadline;	      /* a duration, from the arrival of the request */
	int priority;
	gboolean is_streamed;
	gboolean is_idempotent;
} request_spec_t;

/* Returns a new spec for request_spec_destroy(), or NULL and sets *error. */
request_spec_t *request_parse(const request_input_t *input, GError **error);

/*
 * Returns the bearer token of an Authorization header, or NULL and sets *error.
 * authorization may be NULL.
 */
const char *request_token(const char *authorization, GError **error);

void request_spec_destroy(request_spec_t *spec);

#endif
