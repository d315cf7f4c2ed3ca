#ifndef FRONT_MIRROR_H
#define FRONT_MIRROR_H

/*
 * All items of the key-value service, followed by one watch.
 *
 * Each item is handed out when it is first read and whenever it changes; an
 * item without a value is gone.  When the service has dropped the history that
 * the watch needs, all items are read anew, and those that are missing are
 * handed out as gone.  Revisions of one key only grow, also when other
 * instances tell of items (mirror_apply()): what is older is passed over.
 */

#include <uv.h>

#include "kv/kv.h"

/*
 * Delays after a failed read and after a watch that ended too soon, doubled
 * each time, with jitter; chosen so that news stays below the platform's 2 s.
 */
#define MIRROR_RETRY_FIRST_MS 100
#define MIRROR_RETRY_MAX_MS   800

/* A watch that lasts as long ends the run of delays; above each of them. */
#define MIRROR_STABLE_MS 2000

typedef struct mirror mirror_t;

typedef struct {
	void (*on_item)(void *ctx, const kv_item_t *item);
	/* All items were handed out for the first time, or anew. */
	void (*on_synced)(void *ctx);
} mirror_events_t;

/* The kv_t and rand outlive the mirror. */
mirror_t *mirror_create(kv_t *kv, uv_loop_t *loop, GRand *rand,
			const mirror_events_t *events, void *ctx);

/* While no reading is under way; it is gone once the loop has closed its timer.
 */
void mirror_destroy(mirror_t *mirror);

gboolean mirror_is_synced(const mirror_t *mirror);

/* An item that another instance read. */
void mirror_apply(mirror_t *mirror, const kv_item_t *item);

/* Another instance knows of items that were not read here. */
void mirror_poll_now(mirror_t *mirror);

/* The newest revision of the service that was read. */
int64_t mirror_revision(const mirror_t *mirror);

#endif
