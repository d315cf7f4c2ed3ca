#ifndef REQUEST_ADMIT_H
#define REQUEST_ADMIT_H

/*
 * Admission control of one entry.  A request is admitted or refused at once; it
 * is never queued here.
 *
 * The checks run in this order.  A request is refused if
 *  - its caller or its service has exhausted its rate (a token bucket), its
 *    limit of concurrent requests, or its limit of queued requests;
 *  - the entry is at the capacity for the priority of the request.  The highest
 *    priority may use the whole capacity; each lower one leaves a larger
 *    reserve, so that the lowest is refused first.  Admitted requests are never
 *    preempted;
 *  - the caller holds at least ADMIT_THRESHOLD_FACTOR times the capacity that
 *    is still free for this priority (a dynamic threshold).  A single busy
 *    caller can use nearly the whole entry, several share it evenly, and there
 *    is always capacity left for a caller with few requests.
 *
 * Retry-After estimates when capacity becomes free.  Successive refusals get
 * successive times, spaced by the rate at which requests have been ending, so
 * that the refused requests do not all return at once.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

/* Factor of the dynamic threshold, see above. */
#define ADMIT_THRESHOLD_FACTOR 8

/* Upper bound of Retry-After. */
#define ADMIT_RETRY_AFTER_MAX ((ms_t)30 * 1000)

typedef struct admit admit_t;
typedef struct admit_ticket admit_ticket_t;

/* In each field, 0 means no limit. */
typedef struct {
	double rate;	    /* requests per second */
	int64_t burst;	    /* requests; at least 1 if a rate is set */
	int64_t concurrent; /* requests */
	int64_t queued;	    /* admitted requests that no endpoint has started */
} admit_limit_t;

typedef enum {
	ADMIT_ADMITTED,
	ADMIT_CALLER_RATE,
	ADMIT_CALLER_CONCURRENT,
	ADMIT_CALLER_QUEUED,
	ADMIT_SERVICE_RATE,
	ADMIT_SERVICE_CONCURRENT,
	ADMIT_SERVICE_QUEUED,
	ADMIT_ENTRY_FULL,
	ADMIT_UNFAIR,
	ADMIT_RESULT_COUNT
} admit_result_t;

typedef struct {
	const char *caller;
	const char *service; /* name of a plain service or of a base model */
	int priority;	     /* 0 to REQUEST_PRIORITY_MAX; clamped */
} admit_request_t;

/* capacity is the limit of concurrent requests of the entry, at least 1. */
admit_t *admit_create(int64_t capacity);

/* All tickets must have been released. */
void admit_destroy(admit_t *admit);

/* Set the limits of a caller or a service; they apply to later requests. */
void admit_limit_caller(admit_t *admit, const char *caller,
			const admit_limit_t *limit);
void admit_limit_service(admit_t *admit, const char *service,
			 const admit_limit_t *limit);

/*
 * Admit or refuse a request.  Returns a ticket if it is admitted.  Otherwise
 * returns NULL and sets *error to ERROR_OVERLOADED, *retry_after to a duration
 * in milliseconds and *result to the cause.  Each of these may be NULL.
 */
admit_ticket_t *admit_acquire(admit_t *admit, const admit_request_t *request,
			      ms_t now, admit_result_t *result,
			      ms_t *retry_after, GError **error);

/* Note that an endpoint has started the request.  Idempotent. */
void admit_started(admit_t *admit, admit_ticket_t *ticket);

/* Release the capacity that an ended request held, and free the ticket. */
void admit_release(admit_t *admit, admit_ticket_t *ticket, ms_t now);

/* The number of admitted requests that have not been released. */
int64_t admit_active(const admit_t *admit);

/* The name of a result in metrics, such as "caller_rate". */
const char *admit_result_name(admit_result_t result);

#endif
