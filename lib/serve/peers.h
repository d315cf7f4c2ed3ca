#ifndef SERVE_PEERS_H
#define SERVE_PEERS_H

/*
 * Persistent connections to owners, by the name of their instance.
 *
 * A lost connection is re-established with exponential backoff.  After a peer
 * has refused the current membership key, the next attempt offers the previous
 * one.  A message to a peer without a connection is dropped and peers_send()
 * returns FALSE, so that the sender knows that it was not sent.  After TRUE it
 * may still be lost; on_down is called then.
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

/* The identity must outlive the peers. */
peers_t *peers_create(const conn_identity_t *identity,
		      const peers_events_t *events, void *ctx);
void peers_destroy(peers_t *peers);

/*
 * Keep a connection to this peer.  If its address has changed, the old
 * connection is closed.
 */
void peers_add(peers_t *peers, const char *name, const char *address, int port);

/* Close the connection to this peer; on_down is not called. */
void peers_remove(peers_t *peers, const char *name);

gboolean peers_is_connected(const peers_t *peers, const char *name);

/* Send a message and release it; FALSE if there is no connection. */
gboolean peers_send(peers_t *peers, const char *name, codec_writer_t *message);

/* Call visit for each peer. */
void peers_foreach(const peers_t *peers,
		   void (*visit)(void *ctx, const char *name, gboolean is_up),
		   void *ctx);

#endif
