#ifndef REQUEST_QUOTA_H
#define REQUEST_QUOTA_H

/*
 * Limits of callers and services hold for all entries together.
 *
 * Each entry admits under a share of a declared limit (request/admit.h).  An
 * entry that sees little of a caller keeps a small share of its own.  One that
 * sees more asks the home of the limit, which divides it by what the entries
 * are asked for (request/quota_home.h).  The home is soft state: two of them
 * for a moment let too much through, never lose a request.
 *
 *  - The shares add up to the whole limit or less, but while shares change: for
 *    one period of asking, more may pass.
 *  - Each entry always admits one request at once, and its even part of the
 *    burst; numbers of requests are rounded, and whole until the home has
 *    answered.
 *  - A home that is silent, or out of reach, leaves each entry its even part.
 *
 * Decision code: no I/O and no clock of its own.
 */

#include <glib.h>

#include "base/clock.h"
#include "request/admit.h"

/* Shares are counted in millionths of a limit. */
#define QUOTA_WHOLE ((int64_t)1000 * 1000)

/* What all entries that do not ask keep together, each the same. */
#define QUOTA_RESERVE (QUOTA_WHOLE / 8)

/* The least time between two questions about one limit. */
#define QUOTA_PERIOD_MIN ((ms_t)1000)

/* The period grows with the entries, so that a home can answer all of them. */
#define QUOTA_PERIOD_PER_ENTRY ((ms_t)50)

/* A share holds for so many periods; so does the memory of a home. */
#define QUOTA_PERIODS_VALID 3

typedef enum { QUOTA_CALLER, QUOTA_SERVICE, QUOTA_KIND_COUNT } quota_kind_t;

typedef struct quota quota_t;

typedef struct {
	/*
	 * Ask the home of a limit for a share; demand is in thousandths of a
	 * request a second.  FALSE if it is out of reach.
	 */
	gboolean (*ask)(void *ctx, const char *limit, int64_t demand);
	/* What this entry admits from now on. */
	void (*apply)(void *ctx, quota_kind_t kind, const char *name,
		      const admit_limit_t *limit);
} quota_actions_t;

/* The actions outlive the object. */
quota_t *quota_create(const quota_actions_t *actions, void *ctx);
void quota_destroy(quota_t *quota);

/* The limit that the document declares, all zero for none. */
void quota_set_limit(quota_t *quota, ms_t now, quota_kind_t kind,
		     const char *name, const admit_limit_t *limit);

/* How many entries share the limits, this one included; at least 1. */
void quota_set_entries(quota_t *quota, ms_t now, unsigned int entries);

/* A request of this caller, or for this service, came; admitted or not. */
void quota_count_request(quota_t *quota, ms_t now, quota_kind_t kind,
			 const char *name);

/* The answer to ask, in millionths of the limit. */
void quota_set_share(quota_t *quota, ms_t now, const char *limit,
		     int64_t share);

/*
 * Do what is due; returns the time of the next call, or MS_NEVER.  After each
 * other call it is due at once.
 */
ms_t quota_tick(quota_t *quota, ms_t now);

/* The time between two questions, for so many entries. */
ms_t quota_period(unsigned int entries);

#endif
