#ifndef MEMBER_PLACEMENT_UPDATES_H
#define MEMBER_PLACEMENT_UPDATES_H

/*
 * Placement updates: owners publish which adapters are resident on which
 * endpoints.  An instance subscribes through its own hc-owner, which forwards
 * the updates to the other programs of the instance, so that each update
 * crosses the network once.
 *
 * The sender, in the owner, keeps the full state of its endpoints and a queue
 * of changes.  It batches the changes of a short interval into one message to
 * all subscribed entries.  While its byte rate is exhausted, changes wait and
 * are merged.  The reader, in the entry, subscribes to owners.  Messages are
 * numbered; on a gap the reader requests a snapshot of the full state.
 *
 * Updates may be late.  An entry that acts on a stale one is refused by the
 * owner ("not here, not run"), or gets no result from the adapter's home.  A
 * late update costs one more hop, never correctness.
 *
 * Does no I/O.
 */

#include <glib.h>

#include "base/clock.h"
#include "wire/codec.h"

#define UPDATES_TYPE_FIRST 80

typedef enum {
	UPDATES_SNAPSHOT =
		UPDATES_TYPE_FIRST, /* snapshot of the owner's full state */
	UPDATES_CHANGES,	    /* changes since the previous sequence */
	UPDATES_SUBSCRIBE, /* entry to owner: subscribe and request a snapshot
			    */
	UPDATES_TYPE_END
} updates_type_t;

typedef struct {
	char *adapter; /* name@version */
	gboolean is_resident;
} updates_change_t;

/* The load of an endpoint. */
typedef struct {
	int running;	  /* requests in flight */
	int waiting;	  /* requests queued */
	int waiting_load; /* queued requests whose adapter is not resident */
	int concurrency;  /* requests that the engine runs at once */
	int free_slots;	  /* empty adapter slots that can be used */
	int victim_slots; /* slots whose adapter may be evicted */
	int victim_rate;  /* rate of the cheapest victim, in requests per 1000 s
			   */
	gboolean is_leaving;
} updates_load_t;

typedef struct {
	char *endpoint;
	int64_t epoch;
	updates_load_t load;
	gboolean is_dropped; /* the owner no longer owns it */
	GPtrArray *changes;  /* of updates_change_t */
} updates_endpoint_t;

typedef struct {
	updates_type_t type;
	/* Identifies the sending process; sequences are comparable only within
	 * one stream. */
	int64_t stream;
	int64_t sequence;
	GPtrArray *endpoints; /* of updates_endpoint_t */
} updates_message_t;

updates_endpoint_t *updates_endpoint_new(const char *name, int64_t epoch);
void updates_endpoint_free(updates_endpoint_t *endpoint);
void updates_endpoint_add(updates_endpoint_t *endpoint, const char *adapter,
			  gboolean is_resident);

updates_message_t *updates_message_new(updates_type_t type);
void updates_message_free(updates_message_t *message);
void updates_message_write(const updates_message_t *message,
			   codec_writer_t *writer);
/* Decode a message; returns NULL and ERROR_PROTOCOL if it is malformed. */
updates_message_t *updates_message_read(const msgpack_object *object,
					GError **error);

/* The sending side, in hc-owner. */

typedef struct updates_sender updates_sender_t;

typedef struct {
	void (*send)(void *ctx, const char *entry,
		     const updates_message_t *message);
} updates_sender_events_t;

typedef struct {
	int64_t stream;	      /* a random number for each process */
	int bytes_per_second; /* changes to all entries; 0: the default */
	ms_t batch;	      /* delay that batches changes; 0: the default */
} updates_options_t;

#define UPDATES_BYTES_PER_SECOND 1000 /* a second */
#define UPDATES_BATCH_DELAY	 100  /* milliseconds */

updates_sender_t *updates_sender_create(const updates_options_t *options,
					const updates_sender_events_t *events,
					void *ctx);
void updates_sender_destroy(updates_sender_t *sender);

/* An adapter version became resident on an endpoint, or was unloaded. */
void updates_sender_set_resident(updates_sender_t *sender, const char *endpoint,
				 int64_t epoch, const char *adapter,
				 gboolean is_resident, ms_t now);
/*
 * Set the load of an endpoint.  It is sent with the next change of the
 * endpoint.  It is sent on its own only if the number of requests doubled or
 * halved since it was last sent, if is_leaving changed, or if the endpoint
 * gained or lost room for another adapter.
 */
void updates_sender_set_load(updates_sender_t *sender, const char *endpoint,
			     int64_t epoch, const updates_load_t *load,
			     ms_t now);
/* This owner no longer owns the endpoint. */
void updates_sender_drop_endpoint(updates_sender_t *sender,
				  const char *endpoint, ms_t now);

/* Handle UPDATES_SUBSCRIBE: subscribe the entry and send it a snapshot. */
void updates_sender_subscribe(updates_sender_t *sender, const char *entry,
			      ms_t now);
/* Unsubscribe an entry whose connection closed. */
void updates_sender_unsubscribe(updates_sender_t *sender, const char *entry);

ms_t updates_sender_due(const updates_sender_t *sender);
void updates_sender_tick(updates_sender_t *sender, ms_t now);

typedef struct {
	int followers;
	int64_t messages_sent;
	int64_t bytes_sent;
	int64_t delay_sum; /* milliseconds from change to send, summed */
	int64_t delay_max;
	int64_t changes_sent; /* counted once, not per entry */
} updates_stats_t;

void updates_sender_stats(const updates_sender_t *sender,
			  updates_stats_t *stats);

/* The reading side, in hc-entry. */

typedef struct updates_reader updates_reader_t;

typedef struct {
	/* Send UPDATES_SUBSCRIBE to an owner. */
	void (*ask)(void *ctx, const char *owner);
	/* Discard all state received from an owner. */
	void (*on_reset)(void *ctx, const char *owner);
	/* endpoint->changes holds the changes or, after on_reset, all resident
	 * adapters. */
	void (*on_endpoint)(void *ctx, const char *owner,
			    const updates_endpoint_t *endpoint);
} updates_reader_events_t;

updates_reader_t *updates_reader_create(const updates_reader_events_t *events,
					void *ctx);
void updates_reader_destroy(updates_reader_t *reader);

/* Subscribe to an owner; the snapshot request is rate-limited. */
void updates_reader_subscribe(updates_reader_t *reader, const char *owner,
			      ms_t now);

/*
 * A new connection to the owner is open: subscribe, and request a snapshot even
 * if the state was complete.  The subscription ended with the former
 * connection, and the owner may be a new process that does not know this
 * reader, so no later message would reveal the gap.
 */
void updates_reader_connected(updates_reader_t *reader, const char *owner,
			      ms_t now);
/* Unsubscribe from an owner; calls on_reset. */
void updates_reader_unsubscribe(updates_reader_t *reader, const char *owner);
void updates_reader_receive(updates_reader_t *reader, const char *owner,
			    const updates_message_t *message, ms_t now);
/* Milliseconds since the last message of an owner; MS_NEVER if none came. */
ms_t updates_reader_age(const updates_reader_t *reader, const char *owner,
			ms_t now);

ms_t updates_reader_due(const updates_reader_t *reader);
void updates_reader_tick(updates_reader_t *reader, ms_t now);

/*
 * Whether an entry subscribes to an owner: to all owners of its region while
 * there are at most UPDATES_REGION_OWNERS_MAX, else only to those of its
 * failure domain.
 */
gboolean updates_should_subscribe(const char *region,
				  const char *failure_domain,
				  const char *owner_region,
				  const char *owner_domain,
				  int owners_in_region);

/* The largest region, in owners, whose entries subscribe to all of them. */
#define UPDATES_REGION_OWNERS_MAX 100

#endif
