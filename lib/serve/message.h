#ifndef SERVE_MESSAGE_H
#define SERVE_MESSAGE_H

/*
 * Messages between entries and owners, and between owners.
 *
 * Each message is a structure whose first member is its type.  A message from
 * message_read() owns its strings and bytes and is released by message_free();
 * one that is only written may refer to strings of its sender.
 *
 * An attempt is one hand-over of a request to an owner (see request/track.h).
 * The fields request and attempt together identify it.  The entry generates the
 * request identifier, which is unique and is sent to engines as X-Request-Id.
 *
 * A ticket is a number that the sender of a question chooses and the answer
 * repeats.
 */

#include <glib.h>
#include <stdint.h>

#include "base/error.h"
#include "wire/codec.h"

#define MESSAGE_TYPE_FIRST 100

typedef enum {
	/* Entry to owner. */
	MESSAGE_RUN = MESSAGE_TYPE_FIRST,
	MESSAGE_CANCEL,
	/* Owner to entry. */
	MESSAGE_STARTED,
	MESSAGE_PIECE,
	MESSAGE_DONE,
	MESSAGE_NOT_RUN,
	MESSAGE_FAILED,
	/* Entry to the home of an adapter, and the answer. */
	MESSAGE_PLACE,
	MESSAGE_PLACED,
	MESSAGE_PLACE_FAILED, /* not sent; keeps the numbers of the next */
	/* Owner to owner: from a home, and between an owner and a broker. */
	MESSAGE_DEMOTE,
	MESSAGE_LOAD_REQUEST,
	MESSAGE_LOAD_CANCEL,
	MESSAGE_LOAD_ENDED,
	MESSAGE_GRANT,
	/* Any process to a peer: parts of the configuration document. */
	MESSAGE_PART_REQUEST,
	MESSAGE_PART,
	/* Owner to the processes of its own instance. */
	MESSAGE_LIVE_OWNER,
	/* Entry to the home of a limit, and the answer. */
	MESSAGE_SHARE_REQUEST,
	MESSAGE_SHARE,
	/* Entry to the home of an adapter or to the owner of an endpoint. */
	MESSAGE_EXPECT,
	MESSAGE_TYPE_END
} message_type_t;

/* Maximum bytes of a piece, a body or a part of the configuration document. */
#define MESSAGE_BYTES_MAX (3 * 1024 * 1024)
#define MESSAGE_TEXT_MAX  4096

/* Run a request, or resume it at the piece with number first. */
typedef struct {
	int type;
	char *request;
	int64_t attempt;
	int64_t first;
	char *traceparent;
	char *caller;
	char *endpoint;
	char *adapter; /* name@version; empty for a plain service */
	int64_t priority;
	int64_t deadline; /* remaining time in milliseconds */
	gboolean is_idempotent;
	int64_t tokens;
	char *method;
	char *path;
	char *key;	    /* Idempotency-Key, or NULL */
	char *content_type; /* of the body, or NULL */
	GBytes *body;
} message_run_t;

typedef struct {
	int type;
	char *request;
	int64_t attempt;
} message_cancel_t;

/* The endpoint has accepted the request. */
typedef struct {
	int type;
	char *request;
	int64_t attempt;
	gboolean is_resumable;
} message_started_t;

typedef struct {
	int type;
	char *request;
	int64_t attempt;
	int64_t number;
	GBytes *data;
} message_piece_t;

/* The attempt has ended; its complete answer has count pieces. */
typedef struct {
	int type;
	char *request;
	int64_t attempt;
	int64_t count;
	int64_t status; /* HTTP status of the endpoint */
	char *content_type;
} message_done_t;

/* It is proved that the endpoint has not run this attempt and never will. */
typedef struct {
	int type;
	char *request;
	int64_t attempt;
	int64_t kind; /* error_kind_t */
	char *reason;
	int64_t retry_after; /* milliseconds; 0 if unknown */
} message_not_run_t;

/* The attempt was interrupted; whether the endpoint completed it is unknown. */
typedef struct {
	int type;
	char *request;
	int64_t attempt;
	int64_t kind;
	char *reason;
} message_failed_t;

/* Asks the home for an endpoint for a request for this adapter. */
typedef struct {
	int type;
	int64_t ticket;
	char *adapter;
	gboolean is_crowded; /* it is resident, but its endpoint is loaded */
	char *avoid;	     /* an endpoint that refused, or NULL */
} message_place_t;

/* The answer of the home to MESSAGE_PLACE. */
typedef struct {
	int type;
	int64_t ticket;
	char *endpoint; /* NULL if none can take the adapter */
	char *owner;
	int64_t retry_after; /* milliseconds */
} message_placed_t;

/* The endpoint that the home had chosen refused the request. */
typedef struct {
	int type;
	char *adapter;
	char *endpoint;
} message_place_failed_t;

/* The adapter no longer needs to stay resident on this endpoint. */
typedef struct {
	int type;
	char *endpoint;
	char *adapter;
} message_demote_t;

/* Asks the broker for a grant to load an adapter. */
typedef struct {
	int type;
	char *endpoint;
	char *adapter;
	int64_t waiting; /* requests */
	int64_t priority;
	int64_t age;	   /* of the oldest waiting request, milliseconds */
	gboolean is_ahead; /* for requests that are only expected */
} message_load_request_t;

/* Cancels the request for a grant. */
typedef struct {
	int type;
	char *endpoint;
	char *adapter;
} message_load_cancel_t;

/* The load has ended, so that its grant is free again. */
typedef struct {
	int type;
	char *endpoint;
	char *adapter;
	gboolean is_returned; /* the grant was returned unused */
} message_load_ended_t;

/* The broker permits the load. */
typedef struct {
	int type;
	char *endpoint;
	char *adapter;
} message_grant_t;

/* Asks a peer for a part of the configuration document by name. */
typedef struct {
	int type;
	int64_t ticket;
	char *name;
} message_part_request_t;

typedef struct {
	int type;
	int64_t ticket;
	gboolean is_here; /* the peer has the part */
	GBytes *data;
} message_part_t;

/*
 * One live owner, as seen by the owner that sends this.  A message without an
 * instance ends the list of all live owners.
 */
typedef struct {
	int type;
	char *instance; /* NULL in the last message of a list */
	char *address;
	int64_t owner_port;
	char *region;
	char *failure_domain;
	gboolean is_leaving;
	int64_t generation; /* of the configuration in force there */
} message_live_owner_t;

/* Asks the home for a share of a limit; see request/quota.h. */
typedef struct {
	int type;
	char *limit;
	int64_t demand; /* in thousandths of a request per second */
} message_share_request_t;

typedef struct {
	int type;
	char *limit;
	int64_t share; /* in millionths */
} message_share_t;

/* A request for the adapter is likely soon. */
typedef struct {
	int type;
	char *endpoint; /* NULL if the home is to choose it */
	char *adapter;
	int64_t likelihood; /* in millionths */
} message_expect_t;

#define MESSAGE_LIKELIHOOD_MAX 1000000

/*
 * Encode a message.  The writer is initialised here and released by
 * conn_send().
 */
void message_write(codec_writer_t *writer, const void *message);

/* Decode a message; NULL and ERROR_PROTOCOL if it is malformed. */
void *message_read(const msgpack_object *object, GError **error);

void message_free(void *message);

static inline int message_type(const void *message)
{
	return *(const int *)message;
}

#endif
