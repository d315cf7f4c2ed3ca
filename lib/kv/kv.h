#ifndef KV_KV_H
#define KV_KV_H

/*
 * Interface to the platform's key-value service.
 *
 * kv_t is opaque.  kv_etcd.h implements it over the etcd v3 JSON gateway; tests
 * use an in-memory implementation (kv_create() with its own kv_calls_t).  All
 * calls are asynchronous: the callback runs exactly once, and never before the
 * call returns.
 *
 * A write ends with one of four statuses.  KV_UNKNOWN means that it may have
 * taken effect; read the keys back before assuming either outcome.
 */

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/* Maximum size of a value in bytes. */
#define KV_VALUE_MAX (1000 * 1000)

/* Maximum number of writes in one transaction. */
#define KV_WRITES_MAX 100

typedef enum {
	KV_DONE,     /* took effect; a read was answered */
	KV_CONFLICT, /* a condition did not hold; nothing was written */
	KV_FAILED,   /* definitely did not take effect */
	KV_UNKNOWN   /* outcome unknown: may have taken effect */
} kv_status_t;

typedef struct {
	char *key;
	char *value; /* followed by a NUL byte */
	size_t size;
	int64_t revision; /* of the last write of this key */
	int64_t lease;	  /* 0 for none */
} kv_item_t;

/* Free the key and value of a kv_item_t. */
void kv_item_release(void *item);

/* Create an array of kv_item_t that releases its elements. */
GArray *kv_items_create(void);

/* Special values for the expected revision of a key. */
#define KV_REVISION_ANY	   (-1)
#define KV_REVISION_ABSENT 0

typedef struct {
	const char *key;
	int64_t expected;  /* a revision, KV_REVISION_ANY or _ABSENT */
	const char *value; /* NULL deletes the key */
	size_t size;
	int64_t lease; /* 0 for none */
} kv_write_t;

/* items are valid during the callback; revision is the store revision. */
typedef void (*kv_read_done_t)(void *ctx, kv_status_t status,
			       const kv_item_t *items, size_t count,
			       int64_t revision, const GError *error);

/* revision is that of the write if status is KV_DONE. */
typedef void (*kv_write_done_t)(void *ctx, kv_status_t status, int64_t revision,
				const GError *error);

/* lease is the id of the granted lease. */
typedef void (*kv_lease_done_t)(void *ctx, kv_status_t status, int64_t lease,
				const GError *error);

/* item->value is NULL for a deleted key. */
typedef void (*kv_watch_event_t)(void *ctx, const kv_item_t *item);

/* The watch ended; its owner must read the keys and start a new watch. */
typedef void (*kv_watch_end_t)(void *ctx, const GError *error);

typedef struct kv_watch kv_watch_t;

/* Operations of an implementation; ctx is its state. */
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
	/* NULL if the implementation streams events instead of polling. */
	void (*watch_hasten)(void *ctx, kv_watch_t *watch);
	void (*destroy)(void *ctx);
} kv_calls_t;

typedef struct kv kv_t;

kv_t *kv_create(const kv_calls_t *calls, void *ctx);
void kv_destroy(kv_t *kv);

/* Read one key (count is 0 or 1) or all keys with a prefix, in order. */
void kv_read(kv_t *kv, const char *key, kv_read_done_t done, void *ctx);
void kv_list(kv_t *kv, const char *prefix, kv_read_done_t done, void *ctx);

/* Write atomically if every key has its expected revision. */
void kv_write(kv_t *kv, const kv_write_t *writes, size_t count,
	      kv_write_done_t done, void *ctx);

/* A renewal ends with KV_CONFLICT if the lease has expired. */
void kv_lease_grant(kv_t *kv, ms_t ttl, kv_lease_done_t done, void *ctx);
void kv_lease_renew(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx);
void kv_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx);

/* Watch the keys with a prefix for changes after a store revision. */
kv_watch_t *kv_watch(kv_t *kv, const char *prefix, int64_t after,
		     kv_watch_event_t on_event, kv_watch_end_t on_end,
		     void *ctx);
void kv_watch_cancel(kv_t *kv, kv_watch_t *watch);

/*
 * Hint that the service has events which this watch has not delivered.  A watch
 * that polls sends a new request if its current one isn't answered soon.
 */
void kv_watch_hasten(kv_t *kv, kv_watch_t *watch);

#endif
