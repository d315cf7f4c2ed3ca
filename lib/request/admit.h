#ifndef REQUEST_ADMIT_H
#define REQUEST_ADMIT_H

/*
 * Admission of requests at one entry: admitted at once or refused at once,
 * never parked.
 *
 * A request is refused, in this order of checks, when
 *  - its caller or its service has used up its rate (a token bucket), its
 *    number of concurrent requests, or of those that still wait;
 *  - the entry holds as many requests as are allowed for its priority.  The
 *    highest priority may fill the whole entry, lower ones leave a reserve, so
 *    that the lowest is refused first.  What runs is never displaced;
 *  - the caller holds more than ADMIT_SHARE times the places that are still
 * free for its priority (a dynamic threshold).  One busy caller alone fills
 * nearly the whole entry; several share it evenly, and a quiet one finds room.
 *
 * Retry-After is the time at which a place is expected: refused requests are
 * given successive places at the rate at which requests have been ending, so
 * that they do not all come back at once.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

#define ADMIT_SHARE 8

/* The longest time that a refused requester is told to wait. */
#define ADMIT_RETRY_AFTER_MAX ((ms_t)30 * 1000)

typedef struct admit admit_t;
typedef struct admit_ticket admit_ticket_t;

/* Zero means no limit in each field. */
typedef struct {
	double rate;	    /* requests a second */
	int64_t burst;	    /* requests; at least 1 is used with a rate */
	int64_t concurrent; /* requests */
	int64_t queued;	    /* requests that no endpoint has begun */
} admit_limit_t;

typedef enum {
	ADMIT_TAKEN,
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
	const char *service; /* a plain service or a base model */
	int priority;	     /* 0 to REQUEST_PRIORITY_MAX; clamped */
} admit_request_t;

/* places is the number of requests that the whole entry holds, at least 1. */
admit_t *admit_create(int64_t places);

/* All tickets must have been released. */
void admit_destroy(admit_t *admit);

/* Set limits of a caller or a service, for requests from now on. */
void admit_limit_caller(admit_t *admit, const char *caller,
			const admit_limit_t *limit);
void admit_limit_service(admit_t *admit, const char *service,
			 const admit_limit_t *limit);

/*
 * Admit or refuse.  A ticket is returned if admitted; else NULL, with *error of
 * kind ERROR_OVERLOADED, *retry_after in milliseconds and the cause in *result
 * (all may be NULL).
 */
admit_ticket_t *admit_acquire(admit_t *admit, const admit_request_t *request,
			      ms_t now, admit_result_t *result,
			      ms_t *retry_after, GError **error);

/* An endpoint has begun the request; more than one call is allowed. */
void admit_started(admit_t *admit, admit_ticket_t *ticket);

/* Give the place back when the request has ended. */
void admit_release(admit_t *admit, admit_ticket_t *ticket, ms_t now);

/* Requests that hold a place. */
int64_t admit_active(const admit_t *admit);

/* The name for metrics, such as "caller_rate". */
const char *admit_result_name(admit_result_t result);

#endif
