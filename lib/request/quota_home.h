#ifndef REQUEST_QUOTA_HOME_H
#define REQUEST_QUOTA_HOME_H

/*
 * The home of limits: divides each limit among the requesting entries in
 * proportion to their demand.  See request/quota.h.
 *
 * It deals in shares and demand and never sees the limits, so it need not use
 * the same version of the document as the entries.
 */

#include <glib.h>

#include "request/quota.h"

typedef struct quota_home quota_home_t;

quota_home_t *quota_home_create(void);
void quota_home_destroy(quota_home_t *home);

/*
 * Record the demand of an entry and return its share of the limit, in
 * millionths.  entries is the number of all entries, requesting or not.
 */
int64_t quota_home_request_share(quota_home_t *home, ms_t now,
				 const char *limit, const char *entry,
				 int64_t demand, unsigned int entries);

/* Free the state of expired demand; to be called periodically. */
void quota_home_tick(quota_home_t *home, ms_t now);

#endif
