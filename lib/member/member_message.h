#ifndef MEMBER_MEMBER_MESSAGE_H
#define MEMBER_MEMBER_MESSAGE_H

/*
 * Messages of the membership protocol between instances.
 *
 * Every message carries the name, the incarnation and the document generation
 * of its sender, and a bounded number of updates of instances and endpoints.
 *
 * Type numbers start at MEMBER_TYPE_FIRST, so that these messages can share a
 * connection with messages of other protocols.
 */

#include <glib.h>
#include <stdint.h>

#include "wire/codec.h"

#define MEMBER_TYPE_FIRST 64

/* Maximum bytes in the name of an instance, endpoint, region or domain. */
#define MEMBER_NAME_MAX 128

/* Maximum number of updates in a message. */
#define MEMBER_UPDATES_MAX 64

typedef enum {
	MEMBER_PING = MEMBER_TYPE_FIRST, /* the receiver replies with ACK */
	MEMBER_ACK, /* sequence is that of the PING; target is the probed
		  instance if it was probed for the receiver */
	MEMBER_PING_REQUEST, /* ping target and forward its ACK to the sender */
	MEMBER_GOSSIP,	     /* updates only; no reply */
	MEMBER_TABLE_REQUEST, /* request up to sequence instances, from the
				 name target on */
	MEMBER_TABLE, /* instances by name; target is the first name of the next
			 page, or NULL */
	MEMBER_TYPE_END
} member_type_t;

typedef enum {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* missed a probe; failed unless it refutes in time */
	MEMBER_FAILED,	/* did not refute in time; probed at a low rate */
	MEMBER_LEAVING, /* in a planned stop; takes no new work */
	MEMBER_LEFT,	/* completed its planned stop */
	MEMBER_STATE_COUNT
} member_state_t;

/* Addresses and location of an instance; owns its strings. */
typedef struct {
	char *address; /* an IP address */
	int entry_port;
	int owner_port; /* receives membership messages */
	int admin_port;
	char *region;
	char *failure_domain;
} member_place_t;

typedef enum { MEMBER_UPDATE_INSTANCE, MEMBER_UPDATE_ENDPOINT } member_kind_t;

typedef struct {
	member_kind_t kind;
	char *name;
	int64_t incarnation; /* of the instance, or the endpoint's revision */
	member_state_t state;
	gboolean is_leaving;   /* separate, as a suspect may be leaving too */
	member_place_t *place; /* NULL if not included */
} member_update_t;

typedef struct {
	member_type_t type;
	char *from;
	int64_t incarnation;  /* of the sender */
	member_state_t state; /* of the sender: ALIVE, LEAVING or LEFT */
	int64_t generation;   /* of the sender's document */
	int64_t digest;	      /* of the alive instances at the sender */
	int64_t sequence;
	char *target;	    /* meaning depends on type; NULL for none */
	GPtrArray *updates; /* of member_update_t */
} member_message_t;

member_place_t *member_place_copy(const member_place_t *place);
gboolean member_place_equal(const member_place_t *a, const member_place_t *b);
void member_place_free(member_place_t *place);

member_update_t *member_update_new(member_kind_t kind, const char *name,
				   int64_t incarnation, member_state_t state);
void member_update_free(member_update_t *update);

/* Create a message without updates. */
member_message_t *member_message_new(member_type_t type, const char *from);
void member_message_free(member_message_t *message);

/* Encode a message.  Initializes the writer; the caller releases it. */
void member_message_write(const member_message_t *message,
			  codec_writer_t *writer);

/* Decode a message; returns NULL and ERROR_PROTOCOL if it is malformed. */
member_message_t *member_message_read(const msgpack_object *object,
				      GError **error);

/* Upper bound on the encoded size of an update, in bytes. */
size_t member_update_size(const member_update_t *update);

/* The name of a state in JSON and logs, such as "suspect". */
const char *member_state_name(member_state_t state);

#endif
