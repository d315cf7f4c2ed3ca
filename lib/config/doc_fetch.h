#ifndef CONFIG_DOC_FETCH_H
#define CONFIG_DOC_FETCH_H

/*
 * Fetches the manifest and the chunks of one generation from a peer or from the
 * key-value service.  If the peer fails, the service is used instead.
 *
 * Every chunk is verified against the hash in its name.
 */

#include <glib.h>

#include "base/clock.h"
#include "config/chunk.h"
#include "kv/kv.h"

typedef struct doc_fetch doc_fetch_t;

typedef struct {
	/* See follower_actions_t; NULL if there are no peers. */
	void (*ask_peer)(void *ctx, const char *peer, const char *name,
			 uint64_t ticket);
	/*
	 * The fetch has ended.  The callee owns the manifest and the complete
	 * table of chunks (names to GBytes); both are NULL on an error.
	 */
	void (*done)(void *ctx, manifest_t *manifest, GHashTable *chunks,
		     const GError *error);
} doc_fetch_events_t;

/* kv may be NULL to fetch from peers only. */
doc_fetch_t *doc_fetch_create(kv_t *kv, const doc_fetch_events_t *events,
			      void *ctx);

/* Destroy the kv_t first: it must not call back afterwards. */
void doc_fetch_destroy(doc_fetch_t *fetch);

gboolean doc_fetch_is_busy(const doc_fetch_t *fetch);

/*
 * Start fetching; must not be busy.  peer may be NULL to use the service.
 * known contains chunks that need not be fetched, and may be NULL.
 */
void doc_fetch_start(doc_fetch_t *fetch, int64_t generation, const char *peer,
		     GHashTable *known, ms_t now);

/* Switch to the key-value service if the peer has timed out. */
void doc_fetch_tick(doc_fetch_t *fetch, ms_t now);

/* data is NULL if the peer doesn't have the part. */
void doc_fetch_peer_answer(doc_fetch_t *fetch, uint64_t ticket,
			   const char *data, size_t size);

#endif
