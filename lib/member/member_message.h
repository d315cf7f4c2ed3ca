#ifndef MEMBER_MEMBER_MESSAGE_H
#define MEMBER_MEMBER_MESSAGE_H

/*
 * Messages of the membership protocol between instances.
 *
 * Every message carries its sender, the sender's incarnation, the generation
 * of the document that is in force there, and a bounded number of updates about
 * instances and endpoints.
 *
 * Type numbers start at MEMBER_TYPE_FIRST, so that they share connections with
 * other messages.
 */

#include <glib.h>
#include <stdint.h>

#include "wire/codec.h"

#define MEMBER_TYPE_FIRST 64

/* Bytes of the longest name of an instance, endpoint, region or domain. */
#define MEMBER_NAME_MAX 128

/* Updates that one message may hold. */
#define MEMBER_UPDATES_MAX 64

typedef enum {
	MEMBER_PING = MEMBER_TYPE_FIRST, /* answer with ACK */
	MEMBER_ACK,	     /* target is alive; sequence is that of the PING */
	MEMBER_PING_REQUEST, /* probe target for me, and pass its ACK on */
	MEMBER_GOSSIP,	     /* updates alone; no answer */
	MEMBER_TABLE_REQUEST, /* send sequence members, from target on by name
			       */
	MEMBER_TABLE, /* members in order; target is the last, or NULL */
	MEMBER_TYPE_END
} member_type_t;

typedef enum {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent; failed unless it answers in time */
	MEMBER_FAILED,	/* silent for long; retried at a low rate */
	MEMBER_LEAVING, /* in its planned stop; takes no new work */
	MEMBER_LEFT,	/* ended its planned stop */
	MEMBER_STATE_COUNT
} member_state_t;

/* Where an instance is; all strings are owned by the structure. */
typedef struct {
	char *address; /* an IP number */
	int entry_port;
	int owner_port; /* membership messages go here */
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
	gboolean is_leaving;   /* kept apart: a suspect may be leaving too */
	member_place_t *place; /* NULL if the receiver should know it */
} member_update_t;

typedef struct {
	member_type_t type;
	char *from;
	int64_t incarnation;  /* of the sender */
	member_state_t state; /* of the sender: ALIVE, LEAVING or LEFT */
	int64_t generation;   /* of the document in force at the sender */
	int64_t digest;	      /* of what the sender holds; see member.h */
	int64_t sequence;
	char *target;	    /* meaning by type; NULL for none */
	GPtrArray *updates; /* of member_update_t */
} member_message_t;

member_place_t *member_place_copy(const member_place_t *place);
gboolean member_place_equal(const member_place_t *a, const member_place_t *b);
void member_place_free(member_place_t *place);

member_update_t *member_update_new(member_kind_t kind, const char *name,
				   int64_t incarnation, member_state_t state);
void member_update_free(member_update_t *update);

/* A message without updates. */
member_message_t *member_message_new(member_type_t type, const char *from);
void member_message_free(member_message_t *message);

/* Encode; the writer is initialised here and released by the caller. */
void member_message_write(const member_message_t *message,
			  codec_writer_t *writer);

/* Decode; NULL and ERROR_PROTOCOL for anything malformed. */
member_message_t *member_message_read(const msgpack_object *object,
				      GError **error);

/* Bytes that an update takes in an encoded message, at most. */
size_t member_update_size(const member_update_t *update);

/* The name used in JSON and logs, such as "suspect". */
const char *member_state_name(member_state_t state);

#endif
