#ifndef ROUTE_REMOVALS_H
#define ROUTE_REMOVALS_H

/*
 * When an endpoint whose record was removed counts as gone.
 *
 * The platform removes the record of an endpoint that has left, and of one that
 * was not heard of for some heartbeats.  Endpoints can't renew their records
 * while the key-value service is away, so after an absence of some heartbeats
 * removals are deferred: sound endpoints are listed again soon after its
 * return.  A shorter absence, such as one failed call, lets no record expire:
 * an endpoint that is removed then has left, and counts as gone at once.
 *
 * No removal is deferred for longer than the drain time, after which a leaving
 * endpoint may end.
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>

#include "base/clock.h"

/* Records that expired in an absence are back this long after it. */
#define REMOVALS_REAPPEAR_MS 2000

/*
 * Shortest absence of the service in which a record can expire, in percent of a
 * heartbeat interval.  A record expires after three intervals without a
 * heartbeat, the first of which may have begun before the absence; intervals
 * are approximate.
 */
#define REMOVALS_ABSENCE_PERCENT 150

typedef struct removals removals_t;

/*
 * heartbeat: the time between two heartbeats of an endpoint; drain: how long a
 * leaving endpoint serves on.
 */
removals_t *removals_create(ms_t heartbeat, ms_t drain);
void removals_destroy(removals_t *removals);

/*
 * The service answers again; its last answer before came this long ago. Returns
 * whether records may have expired meanwhile.
 */
gboolean removals_note_return(removals_t *removals, ms_t now, ms_t absence);

/* The service came back without records that it had. */
void removals_note_restored(removals_t *removals, ms_t now);

/*
 * The record of an endpoint was removed.  Returns FALSE if the endpoint counts
 * as gone now; otherwise the removal is deferred.
 */
gboolean removals_defer(removals_t *removals, ms_t now, const char *id);

/* The record is back. */
void removals_cancel(removals_t *removals, const char *id);

/* Returns the time at which the next deferred removal is due, or MS_NEVER. */
ms_t removals_next(const removals_t *removals);

/* Returns an endpoint whose removal is due, or NULL.  Free with g_free(). */
char *removals_take_due(removals_t *removals, ms_t now);

#endif
