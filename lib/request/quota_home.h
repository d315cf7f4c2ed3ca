#ifndef REQUEST_QUOTA_HOME_H
#define REQUEST_QUOTA_HOME_H

/*
 * The home of limits: divides each among the entries that ask, by what they are
 * asked for.  See request/quota.h.
 *
 * It knows no limits, only demand, so that a document in force a little later
 * here than elsewhere does no harm.
 */

#include <glib.h>

#include "request/quota.h"

typedef struct quota_home quota_home_t;

quota_home_t *quota_home_create(void);
void quota_home_destroy(quota_home_t *home);

/*
 * An entry asks for its share of a limit, of which entries hold a part; returns
 * the share in millionths.
 */
int64_t quota_home_request_share(quota_home_t *home, ms_t now,
				 const char *limit, const char *entry,
				 int64_t demand, unsigned int entries);

/* Forget who has not asked for long; call it now and then. */
void quota_home_tick(quota_home_t *home, ms_t now);

#endif
