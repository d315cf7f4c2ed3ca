#ifndef KV_KV_H
#define KV_KV_H

/*
 * The platform's key-value service, seen through a narrow interface.
 *
 * kv_t is opaque; kv_etcd.h makes one that speaks the etcd v3 JSON gateway, and
 * the tests make one that lives in memory (kv_create() with its own calls).
 * All calls are asynchronous: the callback is called exactly once, never before
 * the call returns.
 *
 * A write ends in one of four ways.  KV_UNKNOWN means that the write may have
 * taken effect: read the keys back before acting on either assumption.
 */

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/* The largest value that the service holds, in bytes. */
#define KV_VALUE_MAX (1000 * 1000)

/* Writes that one transaction may hold. */
#define KV_WRITES_MAX 100

typedef enum {
	KV_DONE,     /* took effect; for reads: answered */
	KV_CONFLICT, /* a condition did not hold; nothing was written */
	KV_FAILED,   /* certainly did not take effect */
	KV_UNKNOWN   /* no answer: may have taken effect */
} kv_status_t;

typedef struct {
	char *key;
	char *value; /* a NUL follows the last byte */
	size_t size;
	int64_t revision; /* of the last write of this key */
	int64_t lease;	  /* 0 for none */
} kv_item_t;

/* Free the key and the value of an item. */
void kv_item_release(void *item);

/* An array of kv_item_t that releases its items. */
GArray *kv_items_create(void);

/* What a write expects of the key's revision. */
#define KV_REVISION_ANY	   (-1)
#define KV_REVISION_ABSENT 0

typedef struct {
	const char *key;
	int64_t expected;  /* a revision, KV_REVISION_ANY or _ABSENT */
	const char *value; /* NULL deletes the key */
	size_t size;
	int64_t lease; /* 0 for none */
} kv_write_t;

/* items are valid during the call only; revision is that of the store. */
typedef void (*kv_read_done_t)(void *ctx, kv_status_t status,
			       const kv_item_t *items, size_t count,
			       int64_t revision, const GError *error);

/* revision is that of the write, if status is KV_DONE. */
typedef void (*kv_write_done_t)(void *ctx, kv_status_t status, int64_t revision,
				const GError *error);

/* lease is the identifier of the granted lease. */
typedef void (*kv_lease_done_t)(void *ctx, kv_status_t status, int64_t lease,
				const GError *error);

/* item->value is NULL for a deleted key. */
typedef void (*kv_watch_event_t)(void *ctx, const kv_item_t *item);

/* The watch ended; the owner of the watch reads anew and watches again. */
typedef void (*kv_watch_end_t)(void *ctx, const GError *error);

typedef struct kv_watch kv_watch_t;

/* What an implementation provides; ctx is its own state. */
typedef struct {
	void (*read)(void *ctx, const char *key, gboolean is_prefix,
		     kv_read_done_t done, void *done_ctx);
	void (*write)(void *ctx, const kv_write_t *writes, size_t count,
		      kv_write_done_t done, void *done_ctx);
	void (*lease_grant)(void *ctx, ms_t ttl, kv_lease_done_t done,
			    void *done_ctx);
	void (*lease_renew)(void *ctx, int64_t lease, kv_lease_done_t done,
			    void *done_ctx);
	void (*lease_revoke)(void *ctx, int64_t lease, kv_lease_done_t done,
			     void *done_ctx);
	kv_watch_t *(*watch)(void *ctx, const char *prefix, int64_t after,
			     kv_watch_event_t on_event, kv_watch_end_t on_end,
			     void *watch_ctx);
	void (*watch_cancel)(void *ctx, kv_watch_t *watch);
	/* NULL if a watch never waits for an answer. */
	void (*watch_hasten)(void *ctx, kv_watch_t *watch);
	void (*destroy)(void *ctx);
} kv_calls_t;

typedef struct kv kv_t;

kv_t *kv_create(const kv_calls_t *calls, void *ctx);
void kv_destroy(kv_t *kv);

/* Read one key (count is 0 or 1) or all keys with a prefix, in order. */
void kv_read(kv_t *kv, const char *key, kv_read_done_t done, void *ctx);
void kv_list(kv_t *kv, const char *prefix, kv_read_done_t done, void *ctx);

/* Write all or nothing, on condition that each expectation holds. */
void kv_write(kv_t *kv, const kv_write_t *writes, size_t count,
	      kv_write_done_t done, void *ctx);

/* KV_CONFLICT from a renewal means that the lease has lapsed. */
void kv_lease_grant(kv_t *kv, ms_t ttl, kv_lease_done_t done, void *ctx);
void kv_lease_renew(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx);
void kv_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx);

/* Events of keys with a prefix, after a revision of the store. */
kv_watch_t *kv_watch(kv_t *kv, const char *prefix, int64_t after,
		     kv_watch_event_t on_event, kv_watch_end_t on_end,
		     void *ctx);
void kv_watch_cancel(kv_t *kv, kv_watch_t *watch);

/*
 * The service is known to have events that this watch has not brought.  If it
 * waits for an answer, and that does not come soon, it asks again.
 */
void kv_watch_hasten(kv_t *kv, kv_watch_t *watch);

#endif
