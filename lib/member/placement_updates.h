#ifndef MEMBER_PLACEMENT_UPDATES_H
#define MEMBER_PLACEMENT_UPDATES_H

/*
 * Placement news: owners tell other instances which adapters are resident
 * where.  An instance follows through its own hc-owner, which passes the news
 * on to the programs beside it, so that news crosses the network once.
 *
 * A sender, in the owner, keeps the whole state of its endpoints and a queue of
 * changes.  It sends the changes of a short while as one message to all entries
 * that follow it, and holds them back while its rate of bytes is used up; what
 * waits is merged.  A reader, in the entry, follows owners.  Each message is
 * numbered; on a gap the reader asks for the whole state.
 *
 * News may be late: an entry that acts on old news is answered "not here, not
 * run" by the owner, or asks the adapter's home in vain.  Lateness costs one
 * more hop and never correctness.
 *
 * Does no I/O.
 */

#include <glib.h>

#include "base/clock.h"
#include "wire/codec.h"

#define UPDATES_TYPE_FIRST 80

typedef enum {
	UPDATES_SNAPSHOT =
		UPDATES_TYPE_FIRST, /* the whole state of the owner */
	UPDATES_CHANGES,	    /* what changed since the last sequence */
	UPDATES_SUBSCRIBE, /* entry to owner: follow, and send the whole state
			    */
	UPDATES_TYPE_END
} updates_type_t;

typedef struct {
	char *adapter; /* name@version */
	gboolean is_resident;
} updates_change_t;

/* How loaded an endpoint is. */
typedef struct {
	int running;	  /* requests in flight */
	int waiting;	  /* requests queued */
	int waiting_load; /* of these, for an adapter not yet resident */
	int concurrency;  /* places of the engine */
	int free_slots;	  /* empty and usable */
	int victim_slots; /* resident, but free to be unloaded */
	int victim_rate;  /* value of the cheapest, requests in 1000 s */
	gboolean is_leaving;
} updates_load_t;

typedef struct {
	char *endpoint;
	int64_t epoch;
	updates_load_t load;
	gboolean is_dropped; /* the owner has given it up */
	GPtrArray *changes;  /* of updates_change_t */
} updates_endpoint_t;

typedef struct {
	updates_type_t type;
	/* Identifies the life of the sender; sequences of others don't join. */
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
/* NULL and ERROR_PROTOCOL for anything malformed. */
updates_message_t *updates_message_read(const msgpack_object *object,
					GError **error);

/* The sending side, in hc-owner. */

typedef struct updates_sender updates_sender_t;

typedef struct {
	void (*send)(void *ctx, const char *entry,
		     const updates_message_t *message);
} updates_sender_events_t;

typedef struct {
	int64_t stream;	      /* differs for each process: a random number */
	int bytes_per_second; /* of changes, to all entries; 0: the default */
	ms_t batch;	      /* changes wait this long; 0: the default */
} updates_options_t;

#define UPDATES_BYTES_PER_SECOND 1000 /* a second */
#define UPDATES_BATCH_DELAY	 100  /* milliseconds */

updates_sender_t *updates_sender_create(const updates_options_t *options,
					const updates_sender_events_t *events,
					void *ctx);
void updates_sender_destroy(updates_sender_t *sender);

/* An adapter version became resident on an endpoint, or is gone from it. */
void updates_sender_set_resident(updates_sender_t *sender, const char *endpoint,
				 int64_t epoch, const char *adapter,
				 gboolean is_resident, ms_t now);
/*
 * The load of an endpoint.  It goes out with the next change of the endpoint;
 * by itself only if requests doubled or halved since it was last sent, if the
 * endpoint began to leave, or if it has or lacks room for an adapter now.
 */
void updates_sender_set_load(updates_sender_t *sender, const char *endpoint,
			     int64_t epoch, const updates_load_t *load,
			     ms_t now);
/* This owner has given the endpoint up. */
void updates_sender_drop_endpoint(updates_sender_t *sender,
				  const char *endpoint, ms_t now);

/* An entry asked (UPDATES_SUBSCRIBE): it follows from now on. */
void updates_sender_subscribe(updates_sender_t *sender, const char *entry,
			      ms_t now);
/* An entry is gone. */
void updates_sender_unsubscribe(updates_sender_t *sender, const char *entry);

ms_t updates_sender_due(const updates_sender_t *sender);
void updates_sender_tick(updates_sender_t *sender, ms_t now);

typedef struct {
	int followers;
	int64_t messages_sent;
	int64_t bytes_sent;
	int64_t delay_sum; /* milliseconds that sent changes waited, summed */
	int64_t delay_max;
	int64_t changes_sent; /* each counted once, not for each entry */
} updates_stats_t;

void updates_sender_stats(const updates_sender_t *sender,
			  updates_stats_t *stats);

/* The reading side, in hc-entry. */

typedef struct updates_reader updates_reader_t;

typedef struct {
	/* Send UPDATES_SUBSCRIBE to an owner. */
	void (*ask)(void *ctx, const char *owner);
	/* Forget all that was told by an owner; its whole state follows. */
	void (*on_reset)(void *ctx, const char *owner);
	/* endpoint->changes is what changed, or all that is resident. */
	void (*on_endpoint)(void *ctx, const char *owner,
			    const updates_endpoint_t *endpoint);
} updates_reader_events_t;

updates_reader_t *updates_reader_create(const updates_reader_events_t *events,
					void *ctx);
void updates_reader_destroy(updates_reader_t *reader);

/* Follow an owner: ask for its state as soon as the rate of asking allows. */
void updates_reader_subscribe(updates_reader_t *reader, const char *owner,
			      ms_t now);

/*
 * There is a new connection to the owner: follow it, and ask for its state even
 * if it was whole.  The former connection took the question with it, and the
 * owner's process may be another one, so that nothing would tell of what is
 * missing.
 */
void updates_reader_connected(updates_reader_t *reader, const char *owner,
			      ms_t now);
/* Follow it no more; on_reset is called. */
void updates_reader_unsubscribe(updates_reader_t *reader, const char *owner);
void updates_reader_receive(updates_reader_t *reader, const char *owner,
			    const updates_message_t *message, ms_t now);
/* Milliseconds since an owner was last heard from; MS_NEVER for never. */
ms_t updates_reader_age(const updates_reader_t *reader, const char *owner,
			ms_t now);

ms_t updates_reader_due(const updates_reader_t *reader);
void updates_reader_tick(updates_reader_t *reader, ms_t now);

/*
 * Whether an entry should follow an owner: all owners of its region while the
 * region is small, beyond that those of its failure domain only.
 */
gboolean updates_should_subscribe(const char *region,
				  const char *failure_domain,
				  const char *owner_region,
				  const char *owner_domain,
				  int owners_in_region);

/* Owners in a region up to which entries follow all of them. */
#define UPDATES_REGION_OWNERS_MAX 100

#endif
