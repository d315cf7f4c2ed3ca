#ifndef CONFIG_DOC_FETCH_H
#define CONFIG_DOC_FETCH_H

/*
 * Gathers the manifest and the chunks of one generation, from a peer or from
 * the key-value service; a peer that fails is replaced by the service.
 *
 * Every part is checked against the hash that names it.
 */

#include <glib.h>

#include "base/clock.h"
#include "config/chunk.h"
#include "kv/kv.h"

typedef struct gather gather_t;

typedef struct {
	/* As in follower_actions_t; NULL if there are no peers. */
	void (*ask_peer)(void *ctx, const char *peer, const char *name,
			 uint64_t ticket);
	/*
	 * The end.  The callee owns manifest and chunks (names to GBytes), of
	 * which all are there; on an error both are NULL.
	 */
	void (*done)(void *ctx, manifest_t *manifest, GHashTable *chunks,
		     const GError *error);
} gather_events_t;

/* kv may be NULL: peers only. */
gather_t *gather_create(kv_t *kv, const gather_events_t *events, void *ctx);

/* No answer may come any more: the kv_t is destroyed before. */
void gather_destroy(gather_t *gather);

gboolean gather_is_busy(const gather_t *gather);

/*
 * Begin, when not busy.  peer may be NULL; known holds chunks that need not be
 * fetched and may be NULL.
 */
void gather_start(gather_t *gather, int64_t generation, const char *peer,
		  GHashTable *known, ms_t now);

/* Give up on a silent peer. */
void gather_tick(gather_t *gather, ms_t now);

/* data is NULL if the peer doesn't have it. */
void gather_peer_answer(gather_t *gather, uint64_t ticket, const char *data,
			size_t size);

#endif
