#ifndef STANDIN_KV_STORE_H
#define STANDIN_KV_STORE_H

/*
 * The state of an etcd-like key-value service in memory: ordered keys with
 * revisions, leases, and the history that a watch can replay.
 *
 * It does no I/O and reads no clock: the stand-in serves it over HTTP, and the
 * fake service of the tests uses it with virtual time.
 */

#include <glib.h>

#include "base/clock.h"

typedef struct kv_store kv_store_t;

typedef struct {
	char *key;
	char *value; /* terminated by a NUL; NULL if deleted */
	size_t size;
	int64_t create_revision;
	int64_t revision; /* of the last write */
	int64_t version;  /* number of writes since creation */
	int64_t lease;	  /* 0 for none */
} kv_record_t;

typedef struct {
	const char *key;
	const char *value; /* NULL deletes */
	size_t size;
	int64_t lease; /* 0 for none */
} kv_change_t;

/* Called for each change, after all changes of its revision are applied. */
typedef void (*kv_store_listener_t)(void *ctx, const kv_record_t *record);

kv_store_t *kv_store_create(kv_store_listener_t listener, void *ctx);
void kv_store_destroy(kv_store_t *store);

/* Returns a copy of the state and the history as they are now. */
kv_store_t *kv_store_copy(const kv_store_t *store);

/* All leases expire later by this time, as if the service had been stopped. */
void kv_store_delay_leases(kv_store_t *store, ms_t time);

/* Returns the revision of the last change. */
int64_t kv_store_revision(const kv_store_t *store);

/* Returns NULL if the key is absent.  The record is valid until a change. */
const kv_record_t *kv_store_get(const kv_store_t *store, const char *key);

/*
 * Returns the records from key start up to, not including, key end (NULL: no
 * end), in order.  Free the array with g_ptr_array_unref(); the store owns the
 * records.
 */
GPtrArray *kv_store_range(const kv_store_t *store, const char *start,
			  const char *end);

/* Returns the first key after all keys with a prefix; free with g_free(). */
char *kv_store_prefix_end(const char *prefix);

/*
 * Applies all changes under one new revision.  Returns FALSE and changes
 * nothing if a change names a lease that does not exist.
 */
gboolean kv_store_apply(kv_store_t *store, const kv_change_t *changes,
			size_t count);

int64_t kv_store_lease_grant(kv_store_t *store, ms_t ttl, ms_t now);

/* Returns the duration of the lease, or 0 if there is no such lease. */
ms_t kv_store_lease_renew(kv_store_t *store, int64_t lease, ms_t now);

/* Deletes a lease and its keys; returns FALSE if there is no such lease. */
gboolean kv_store_lease_revoke(kv_store_t *store, int64_t lease);

gboolean kv_store_has_lease(const kv_store_t *store, int64_t lease);

/* Revokes all leases that have expired by now. */
void kv_store_expire(kv_store_t *store, ms_t now);

/* Returns the time at which the next lease expires, or MS_NEVER. */
ms_t kv_store_next_expiry(const kv_store_t *store);

/*
 * Passes the changes after a revision to the listener, in order.  Returns FALSE
 * if they are no longer in the history.
 */
gboolean kv_store_replay(const kv_store_t *store, int64_t after,
			 kv_store_listener_t listener, void *ctx);

#endif
