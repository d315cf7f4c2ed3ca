#ifndef BASE_ERROR_H
#define BASE_ERROR_H

/*
 * Typed errors, carried in GError.
 *
 * Every error of the project has the domain HC_ERROR and an error_kind_t as its
 * code.  The message states what is wrong and how to correct it.
 *
 * A request has one of three outcomes:
 *  - OUTCOME_ANSWERED: the complete response was delivered;
 *  - OUTCOME_NOT_RUN: no endpoint has run or will ever run the request;
 *  - OUTCOME_UNKNOWN: the request was sent on, but its completion was not
 *    observed.
 */

#include <glib.h>

#include "base/clock.h"

typedef enum {
	ERROR_INVALID,	       /* malformed input; the sender must correct it */
	ERROR_TOO_LARGE,       /* input above a size limit */
	ERROR_UNAUTHENTICATED, /* no valid credential */
	ERROR_FORBIDDEN,       /* a valid credential without the right */
	ERROR_NOT_FOUND,       /* no such adapter, path, key or record */
	ERROR_CONFLICT,	       /* based on outdated state; re-read, retry */
	ERROR_OVERLOADED,      /* a queue or budget is full; retry later */
	ERROR_UNAVAILABLE,     /* a dependency is down or unreachable */
	ERROR_TIMEOUT,	       /* no response within the time limit */
	ERROR_PROTOCOL,	       /* a peer violated the protocol */
	ERROR_FENCED,	       /* an order with a stale fencing number */
	ERROR_LOAD_FAILED,     /* the endpoint could not load the adapter */
	ERROR_CANCELLED,       /* the client disconnected or cancelled */
	ERROR_INTERRUPTED,     /* sent, but completion was not observed */
	ERROR_INTERNAL,	       /* a bug in this program */
	ERROR_KIND_COUNT
} error_kind_t;

typedef enum {
	OUTCOME_ANSWERED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_COUNT
} outcome_t;

#define HC_ERROR (error_quark())

GQuark error_quark(void);

/* Returns the name used in JSON, logs and metrics, such as "overloaded". */
const char *error_kind_name(error_kind_t kind);

/* Returns the kind with this name, or ERROR_INTERNAL if there is none. */
error_kind_t error_kind_parse(const char *name);

/* Returns the kind of an error; ERROR_INTERNAL for any other GError domain. */
error_kind_t error_kind(const GError *error);

/* Returns the HTTP status code for this kind. */
int error_http_status(error_kind_t kind);

/* Returns the name used in JSON, such as "not_run". */
const char *outcome_name(outcome_t outcome);

/* Sets *error to a new error of this kind; does nothing if error is NULL. */
void error_set(GError **error, error_kind_t kind, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#endif
