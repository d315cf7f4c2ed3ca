#ifndef CONFIG_FOLLOWER_H
#define CONFIG_FOLLOWER_H

/*
 * Keeps the newest accepted document in force in one process.
 *
 * The follower learns of a generation in three ways: from a watch on the head,
 * from periodic reads of the head in case the watch misses a change, and from
 * offers of peers.  Only a newer generation is put in force; an assertion
 * guards that the generation never decreases.  Chunks that the process already
 * has are not fetched again.  Missing ones are requested from the peer that
 * offered the generation and, if that fails, from the key-value service.
 *
 * A process that does not watch relies on offers and infrequent reads, so the
 * load on the key-value service need not grow with the number of processes.
 *
 * The follower uses no sockets and no clock: its owner calls follower_tick()
 * several times a second, and carries the messages between peers:
 *
 *	peer A: follower_offer() <- generation from a greeting or heartbeat of B
 *	peer A: actions.ask_peer("B", name, ticket) -> message to B
 *	peer B: follower_serve(name) -> message with the bytes, or none
 *	peer A: follower_peer_answer(ticket, bytes)
 */

#include <glib.h>

#include "base/clock.h"
#include "config/document.h"
#include "kv/kv.h"

typedef struct follower follower_t;

/* A parse in progress. */
typedef struct follower_parse follower_parse_t;

typedef struct {
	/*
	 * A newer document is in force.  The follower holds a reference to it
	 * until the next one; take another to keep it longer.
	 */
	void (*on_document)(void *ctx, document_t *document);
	/*
	 * Request a named part (manifest or chunk) from a peer; NULL if there
	 * are no peers.  Deliver the answer with follower_peer_answer(), but
	 * not before this returns.  A peer that sends nothing for a second is
	 * abandoned.
	 */
	void (*ask_peer)(void *ctx, const char *peer, const char *name,
			 uint64_t ticket);
	/*
	 * Parse outside the event loop, as a large document takes long: call
	 * follower_parse_run() on another thread, then follower_parse_end() on
	 * this one.  If NULL, documents are parsed synchronously.
	 */
	void (*parse)(void *ctx, follower_parse_t *parse);
} follower_actions_t;

/* Accesses only the parse itself, so it may run on any thread. */
void follower_parse_run(follower_parse_t *parse);

/* Call once after follower_parse_run(), even after follower_destroy(). */
void follower_parse_end(follower_parse_t *parse);

/*
 * kv is not owned and may be NULL (peers only).  It must not call back after
 * follower_destroy(): destroy the kv_t first.
 */
follower_t *follower_create(kv_t *kv, const follower_actions_t *actions,
			    void *ctx, ms_t now);
void follower_destroy(follower_t *follower);

/* Enable or disable the watch on the head; enabled after creation. */
void follower_set_watching(follower_t *follower, gboolean is_watching);

void follower_tick(follower_t *follower, ms_t now);

/* A peer has announced the generation that it has in force. */
void follower_offer(follower_t *follower, int64_t generation, const char *peer);

/*
 * Deliver the answer to ask_peer(); data is NULL if the peer doesn't have the
 * part or has disconnected.  The ticket of an abandoned request is ignored.
 */
void follower_peer_answer(follower_t *follower, uint64_t ticket,
			  const char *data, size_t size);

/*
 * Returns the part that a peer requested by name, compressed if that makes it
 * smaller (pack.h), or NULL if this process doesn't have it.  The caller unrefs
 * it.  Names are shorter than FOLLOWER_NAME_MAX bytes.
 */
GBytes *follower_serve(follower_t *follower, const char *name);

#define FOLLOWER_NAME_MAX 80

/* Returns the generation in force; 0 if there is none yet. */
int64_t follower_generation(const follower_t *follower);

/* Returns the document in force, or NULL; owned by the follower. */
document_t *follower_document(const follower_t *follower);

/* Returns the text of the document in force, or NULL; free with g_free(). */
char *follower_text(const follower_t *follower, size_t *size);

#endif
