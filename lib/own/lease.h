#ifndef OWN_LEASE_H
#define OWN_LEASE_H

/*
 * The lease of this instance in the key-value service, and its record
 * `hc/instance/NAME`, which lives as long as the lease.
 *
 * The local expiry time is the time before the grant or renewal call was sent,
 * plus the TTL, minus a margin for clock drift.  So the lease expires locally
 * no later than in the service, even if the process was paused.  Check
 * lease_is_valid() with the current time before each action that depends on the
 * lease.
 *
 * A lease that has expired locally may still exist in the service.  If a
 * renewal succeeds, the lease continues under the same identifier, because no
 * other instance can have taken over in the meantime.  If the service reports
 * that the lease expired, a new one with a new identifier is requested.  A
 * record of this name that belongs to another lease is not overwritten; its
 * expiry is awaited, except after lease_set_single_process().
 *
 * lease_tick() performs the work that is due.  Call it at the time it returned
 * last and after each wake().  This module doesn't read a clock.
 */

#include "kv/kv.h"

typedef struct lease lease_t;

typedef struct {
	const char *instance; /* instance name; copied */
	const char *record;   /* value of the instance's record; copied */
	ms_t ttl;
	ms_t margin;
	ms_t renew_interval;
	ms_t retry_interval;
	/*
	 * Doubled with each failed call, up to this; 0 for no increase.
	 */
	ms_t retry_interval_max;
	/* Requests a call of lease_tick(); called from kv callbacks. */
	void (*wake)(void *ctx);
	void *ctx;
} lease_options_t;

#define LEASE_TTL_MS	10000
#define LEASE_MARGIN_MS 1000
#define LEASE_RENEW_MS	3000
#define LEASE_RETRY_MS	500

/* kv must stay valid while the lease is used. */
lease_t *lease_create(kv_t *kv, const lease_options_t *options);

/*
 * Declares that at most one process of this instance runs at a time.  A record
 * of another lease is then stale and is overwritten instead of awaited.
 */
void lease_set_single_process(lease_t *lease);

/*
 * Frees the lease without revoking it.  No kv call of the lease may be
 * outstanding.
 */
void lease_destroy(lease_t *lease);

/* The service responds again: retries at the next lease_tick(). */
void lease_retry_now(lease_t *lease);

/*
 * The service has come back from an older copy, in which the lease may not
 * exist, or may be another instance's.  It is not valid until the record of
 * this instance shows that it is the same, and it has been renewed.
 */
void lease_begin_history(lease_t *lease);

/* Performs the work that is due.  Returns the time of the next call. */
ms_t lease_tick(lease_t *lease, ms_t now);

/* TRUE while the lease is guaranteed to exist in the service. */
gboolean lease_is_valid(const lease_t *lease, ms_t now);

/* The local expiry time; 0 if there is no lease. */
ms_t lease_valid_until(const lease_t *lease);

/* The identifier, which is never reused; 0 if there is no lease. */
int64_t lease_id(const lease_t *lease);

const char *lease_instance(const lease_t *lease);

/* For a planned stop: revokes the lease and requests no other. */
void lease_release(lease_t *lease);

/*
 * TRUE after lease_release(), once the revocation was answered or if there was
 * no lease to revoke.
 */
gboolean lease_is_released(const lease_t *lease);

/* The key of an instance's record; free with g_free(). */
char *lease_record_key(const char *instance);

#endif
