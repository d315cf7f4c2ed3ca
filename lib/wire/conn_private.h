#ifndef WIRE_CONN_PRIVATE_H
#define WIRE_CONN_PRIVATE_H

/* Declarations shared by conn.c and conn_server.c. */

#include <sys/queue.h>

#include "base/error.h"
#include "wire/conn.h"
#include "wire/frame.h"

typedef enum {
	STATE_CONNECTING,
	STATE_KEY,   /* waiting for the TLS handshake */
	STATE_HELLO, /* waiting for the peer's hello */
	STATE_READY,
	STATE_CLOSED
} conn_state_t;

struct conn {
	const conn_identity_t *identity;
	conn_events_t events;
	void *ctx;
	void *data;
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_timer_t probe_timer;
	uv_connect_t connect_req;
	uv_write_t write_req;
	conn_state_t state;
	conn_server_t *server; /* while in its list pending, else NULL */
	TAILQ_ENTRY(conn) pending;
	gboolean is_accepted;
	gboolean is_writing;
	gboolean answers_probes; /* the peer has answered one */
	gboolean is_probe_late;	 /* the time to answer is over */
	uint64_t received_at;	 /* loop time of the last bytes */
	int handles; /* open libuv handles; closing the last one frees */
	channel_t *channel;
	frame_reader_t *reader;
	GByteArray *send_queue; /* plaintext frames */
	GByteArray *writing;	/* encrypted bytes of the current write */
	char *peer_role;
	char *peer_instance;
};

/* The identity must outlive the connection, which owns the channel. */
conn_t *conn_create(const conn_identity_t *identity, channel_t *channel,
		    const conn_events_t *events, void *ctx);

/* Start reading and send the channel's initial output. */
void conn_start(conn_t *conn);

/* Close with an error: count it, send an alert and call on_close. */
void conn_fail(conn_t *conn, error_kind_t kind, const char *reason);

/* Remove the connection from the pending list of its listener. */
void conn_end_pending(conn_t *conn);

#endif
