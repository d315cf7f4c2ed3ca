#ifndef FRONT_MIRROR_H
#define FRONT_MIRROR_H

/*
 * Copy of the state of all items in the key-value service, kept up to date by
 * one watch.
 *
 * Each item is delivered when it is first read and whenever it changes; an item
 * without a value was deleted.  If the service has dropped the history that the
 * watch needs, all items are read again, and those that are missing are
 * delivered as deleted.  The revisions of a key only increase, also when other
 * instances send items (mirror_apply()): older ones are ignored.
 *
 * If the service comes back from an older copy, revisions are given out again.
 * Then all items are read and delivered again, and some of them may be older
 * than what was delivered before.
 */

#include <uv.h>

#include "kv/kv.h"

/*
 * Delay after a failed read and after a watch that ended too soon; doubled each
 * time, with jitter.  The maximum keeps the delay of a change below the
 * platform's bound of 2 s.
 */
#define MIRROR_RETRY_FIRST_MS 100
#define MIRROR_RETRY_MAX_MS   800

/* A watch that lasts this long resets the delay; it exceeds the longest one. */
#define MIRROR_STABLE_MS 2000

typedef struct mirror mirror_t;

typedef struct {
	void (*on_item)(void *ctx, const kv_item_t *item);
	/* All items have been delivered, at the start or after a new read. */
	void (*on_synced)(void *ctx);
} mirror_events_t;

/* kv, loop and rand must outlive the mirror. */
mirror_t *mirror_create(kv_t *kv, uv_loop_t *loop, GRand *rand,
			const mirror_events_t *events, void *ctx);

/*
 * Must not be called while a read is in progress.  Freed once the loop has
 * closed its timer.
 */
void mirror_destroy(mirror_t *mirror);

gboolean mirror_is_synced(const mirror_t *mirror);

/*
 * The service has come back from an older copy; its watch ends.  Until all
 * items are read, items that are delivered may be older than what was known.
 */
void mirror_begin_history(mirror_t *mirror);
gboolean mirror_is_restoring(const mirror_t *mirror);

/* Applies an item that another instance read. */
void mirror_apply(mirror_t *mirror, const kv_item_t *item);

/* Polls now: another instance knows of items not yet read here. */
void mirror_poll_now(mirror_t *mirror);

/* Returns the newest revision that was read. */
int64_t mirror_revision(const mirror_t *mirror);

#endif
