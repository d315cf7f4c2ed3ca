#ifndef WIRE_CONN_H
#define WIRE_CONN_H

/*
 * Connections between the processes of hawthorncross, on libuv.
 *
 * All bytes travel in a channel (channel.h), which authenticates both sides by
 * a membership key, so that a peer without a key can neither send messages nor
 * read them.  After the TLS handshake both sides send a hello message (protocol
 * version, role, instance); other messages follow in frames (frame.h).
 *
 * A connection may go silent without a reset.  If the identity has a keepalive
 * time, a connection over which something is sent, and nothing has been
 * received for that time, is probed; if no answer arrives within the same time
 * again, it ends with ERROR_TIMEOUT.  An idle connection costs nothing.  Peers
 * always answer probes; one that never has, an older version, is not held to
 * it.
 *
 * on_ready is called once the peer's hello was accepted.  on_close is called
 * once when the connection ends for any reason except conn_close(); the
 * connection must not be used after on_close returns.
 *
 * Errors passed to on_close: ERROR_UNAVAILABLE (cannot connect, or closed by
 * the peer), ERROR_TIMEOUT (no hello in time, or a silent peer),
 * ERROR_UNAUTHENTICATED (the peer has none of our keys), ERROR_PROTOCOL
 * (another protocol version, or a malformed frame), ERROR_TOO_LARGE (a frame
 * above the limit), ERROR_OVERLOADED (the peer reads too slowly, or it is the
 * oldest of CONN_PENDING_MAX accepted connections without a hello when another
 * arrives), ERROR_INTERNAL (encryption failed).
 *
 * hc_conn_closed_total counts every such end. hc_conn_refused_total{kind="..."}
 * also counts those with an error other than ERROR_UNAVAILABLE, and those of
 * accepted connections before the peer's hello.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "wire/channel.h"
#include "wire/codec.h"

#define CONN_VERSION 2

/*
 * Accepted connections without a hello, per listener.  It leaves room for two
 * programs of each of 350 instances at once.
 */
#define CONN_PENDING_MAX 768

typedef struct conn conn_t;
typedef struct conn_server conn_server_t;

typedef struct {
	uv_loop_t *loop;
	const char *instance; /* the local instance */
	const char *role;     /* such as "entry" */
	const channel_keys_t *keys;
	int pending_max; /* 0 for CONN_PENDING_MAX */
	ms_t keepalive;	 /* 0 for none */
} conn_identity_t;

typedef struct {
	void (*on_ready)(void *ctx, conn_t *conn);
	void (*on_message)(void *ctx, conn_t *conn,
			   const msgpack_object *message);
	void (*on_close)(void *ctx, conn_t *conn, const GError *reason);
} conn_events_t;

/*
 * Connect and authenticate by the given key.  The identity is not copied and
 * must outlive the connection; ctx is passed to each event.
 */
conn_t *conn_connect(const conn_identity_t *identity, channel_key_t key,
		     const char *host, int port, const conn_events_t *events,
		     void *ctx);

/* Listen; returns NULL and ERROR_UNAVAILABLE if the address can't be used. */
conn_server_t *conn_listen(const conn_identity_t *identity, const char *host,
			   int port, const conn_events_t *events, void *ctx,
			   GError **error);
int conn_server_port(const conn_server_t *server);
/* Stop listening; accepted connections stay open. */
void conn_server_close(conn_server_t *server);

/* Send a message and release its writer; allowed after on_ready. */
void conn_send(conn_t *conn, codec_writer_t *message);

/* Close without calling on_close. */
void conn_close(conn_t *conn);

/* From the peer's hello; valid once on_ready was called. */
const char *conn_peer_instance(const conn_t *conn);
const char *conn_peer_role(const conn_t *conn);

/* User data attached to the connection. */
void conn_set_data(conn_t *conn, void *data);
void *conn_data(const conn_t *conn);

#endif
