#ifndef SERVE_PEERS_H
#define SERVE_PEERS_H

/*
 * Kept connections to the owners of other instances, by name.
 *
 * A connection that breaks is made anew with a growing delay.  A peer that
 * refuses the current membership key is offered the previous one next.  What is
 * sent to a peer without a connection is dropped and FALSE is returned: the
 * sender knows at once that nothing left.  After TRUE the message may still be
 * lost; on_down tells.
 */

#include <glib.h>

#include "base/clock.h"
#include "wire/conn.h"

typedef struct peers peers_t;

typedef struct {
	void (*on_up)(void *ctx, const char *name);
	void (*on_down)(void *ctx, const char *name);
	void (*on_message)(void *ctx, const char *name,
			   const msgpack_object *message);
} peers_events_t;

/* The identity outlives the peers. */
peers_t *peers_create(const conn_identity_t *identity,
		      const peers_events_t *events, void *ctx);
void peers_destroy(peers_t *peers);

/* Keep a connection to this peer; a changed address replaces the old one. */
void peers_add(peers_t *peers, const char *name, const char *address, int port);

/* Close it; no on_down follows. */
void peers_remove(peers_t *peers, const char *name);

gboolean peers_is_connected(const peers_t *peers, const char *name);

/* Send and release the message; FALSE if there is no connection. */
gboolean peers_send(peers_t *peers, const char *name, codec_writer_t *message);

/* Visit the names of all kept peers. */
void peers_foreach(const peers_t *peers,
		   void (*visit)(void *ctx, const char *name, gboolean is_up),
		   void *ctx);

#endif
