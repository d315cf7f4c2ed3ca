#ifndef OWN_LEASE_H
#define OWN_LEASE_H

/*
 * The lease of this instance in the key-value service, and its record
 * `hc/instance/NAME`, which lives as long as the lease.
 *
 * The lease counts from before the call that granted or renewed it was sent,
 * by the local clock, less a margin for clocks that run apart.  So it ends here
 * no later than in the service, also for a process that was paused: whoever
 * acts asks lease_is_valid() with the present time first.
 *
 * A lease that is no longer valid here may still live in the service.  If a
 * renewal succeeds it goes on under the same identifier: nobody can have taken
 * anything in between.  If the service says that it lapsed, a new one with a
 * new identifier is made.  A record of this name that belongs to another lease
 * is waited for; it is never overwritten, but after lease_set_single_process().
 *
 * lease_tick() does what is due; call it at the time it returns and when wake()
 * asks for it.  No clock is read here.
 */

#include "kv/kv.h"

typedef struct lease lease_t;

typedef struct {
	const char *instance; /* its name; copied */
	const char *record;   /* value of its record; copied */
	ms_t ttl;
	ms_t margin;
	ms_t renew_interval;
	ms_t retry_interval;
	/* Asks for lease_tick() soon; called from within callbacks. */
	void (*wake)(void *ctx);
	void *ctx;
} lease_options_t;

#define LEASE_TTL_MS	10000
#define LEASE_MARGIN_MS 1000
#define LEASE_RENEW_MS	3000
#define LEASE_RETRY_MS	500

/* The kv_t outlives the lease. */
lease_t *lease_create(kv_t *kv, const lease_options_t *options);

/*
 * The machine runs one process of this instance at a time: a record of another
 * lease is left over from a process that has ended, and is replaced.
 */
void lease_set_single_process(lease_t *lease);

/* Forget it without a call; callbacks of open calls must have ended. */
void lease_destroy(lease_t *lease);

/* Returns the time of the next call. */
ms_t lease_tick(lease_t *lease, ms_t now);

/* TRUE while the service certainly holds the lease. */
gboolean lease_is_valid(const lease_t *lease, ms_t now);

/* When it stops to be valid unless it is renewed; 0 if there is none. */
ms_t lease_valid_until(const lease_t *lease);

/* The identifier, which no other lease ever has; 0 if there is none. */
int64_t lease_id(const lease_t *lease);

const char *lease_instance(const lease_t *lease);

/* Planned stop: revoke the lease and make no other. */
void lease_release(lease_t *lease);

/* TRUE once the revocation was answered, or there was nothing to revoke. */
gboolean lease_is_released(const lease_t *lease);

/* The key of an instance's record; free with g_free(). */
char *lease_record_key(const char *instance);

#endif
