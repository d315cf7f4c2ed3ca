#ifndef REQUEST_QUOTA_H
#define REQUEST_QUOTA_H

/*
 * Enforces the limits of callers and services across all entries.
 *
 * Each entry admits requests under a share of a declared limit
 * (request/admit.h).  An entry with little demand from a caller uses a small
 * reserved share.  An entry with more demand requests a share from the home of
 * the limit, the one instance that divides this limit among the entries in
 * proportion to their demand (request/quota_home.h).  The home keeps soft state
 * only: if two instances act as the home of a limit for a moment, too many
 * requests may be admitted, but none is lost.
 *
 *  - The shares add up to at most the whole limit, except while they change:
 *    then more may be admitted, for one request period.
 *  - Each entry can always admit at least one request, and an even share of the
 *    burst.  The limits of concurrent and of queued requests are rounded, and
 *    each entry applies them in full until the home has answered.
 *  - If the home is unreachable or does not answer, each entry uses an even
 *    share.
 *
 * This code does no I/O and reads no clock.
 */

#include <glib.h>

#include "base/clock.h"
#include "request/admit.h"

/* A share of the whole limit; shares are in millionths of a limit. */
#define QUOTA_FULL_SHARE ((int64_t)1000 * 1000)

/* The sum of the reserved shares, which are equal for all entries. */
#define QUOTA_RESERVED_SHARE (QUOTA_FULL_SHARE / 8)

/* The minimum time between two requests for a share of one limit. */
#define QUOTA_PERIOD_MIN ((ms_t)1000)

/* The period grows with the number of entries, to bound the load of a home. */
#define QUOTA_PERIOD_PER_ENTRY ((ms_t)50)

/* The number of periods for which a share and an entry's demand are valid. */
#define QUOTA_VALID_PERIODS 3

typedef enum { QUOTA_CALLER, QUOTA_SERVICE, QUOTA_KIND_COUNT } quota_kind_t;

typedef struct quota quota_t;

typedef struct {
	/*
	 * Request a share from the home of a limit; demand is in thousandths of
	 * a request per second.  Returns FALSE if the home is unreachable.
	 */
	gboolean (*ask)(void *ctx, const char *limit, int64_t demand);
	/* Set the limit that this entry enforces from now on. */
	void (*apply)(void *ctx, quota_kind_t kind, const char *name,
		      const admit_limit_t *limit);
} quota_actions_t;

/* The actions must remain valid until quota_destroy(). */
quota_t *quota_create(const quota_actions_t *actions, void *ctx);
void quota_destroy(quota_t *quota);

/* Set the limit that the document declares; all fields are 0 for no limit. */
void quota_set_limit(quota_t *quota, ms_t now, quota_kind_t kind,
		     const char *name, const admit_limit_t *limit);

/* Set the number of entries that share the limits, including this one. */
void quota_set_entries(quota_t *quota, ms_t now, unsigned int entries);

/* Count a request of this caller or for this service, admitted or refused. */
void quota_count_request(quota_t *quota, ms_t now, quota_kind_t kind,
			 const char *name);

/* Handle the answer to the action ask; share is in millionths of the limit. */
void quota_set_share(quota_t *quota, ms_t now, const char *limit,
		     int64_t share);

/*
 * Expire shares and detect a home that does not answer.  Returns the time of
 * the next call, or MS_NEVER.  Must also be called after every call of another
 * function of this module.
 */
ms_t quota_tick(quota_t *quota, ms_t now);

/* The time between two requests for a share, for this number of entries. */
ms_t quota_request_period(unsigned int entries);

#endif
