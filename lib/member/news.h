#ifndef MEMBER_NEWS_H
#define MEMBER_NEWS_H

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

#define NEWS_TYPE_FIRST 80

typedef enum {
	NEWS_WHOLE = NEWS_TYPE_FIRST, /* snapshot of the owner's full state */
	NEWS_CHANGES,		      /* changes since the previous sequence */
	NEWS_ASK, /* entry to owner: subscribe and request a snapshot */
	NEWS_TYPE_END
} news_type_t;

typedef struct {
	char *adapter; /* name@version */
	gboolean is_resident;
} news_change_t;

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
} news_load_t;

typedef struct {
	char *endpoint;
	int64_t epoch;
	news_load_t load;
	gboolean is_dropped; /* the owner no longer owns it */
	GPtrArray *changes;  /* of news_change_t */
} news_endpoint_t;

typedef struct {
	news_type_t type;
	/* Identifies the sending process; sequences are comparable only within
	 * one stream. */
	int64_t stream;
	int64_t sequence;
	GPtrArray *endpoints; /* of news_endpoint_t */
} news_message_t;

news_endpoint_t *news_endpoint_new(const char *name, int64_t epoch);
void news_endpoint_free(news_endpoint_t *endpoint);
void news_endpoint_add(news_endpoint_t *endpoint, const char *adapter,
		       gboolean is_resident);

news_message_t *news_message_new(news_type_t type);
void news_message_free(news_message_t *message);
void news_message_write(const news_message_t *message, codec_writer_t *writer);
/* Decode a message; returns NULL and ERROR_PROTOCOL if it is malformed. */
news_message_t *news_message_read(const msgpack_object *object, GError **error);

/* The sending side, in hc-owner. */

typedef struct news_sender news_sender_t;

typedef struct {
	void (*send)(void *ctx, const char *entry,
		     const news_message_t *message);
} news_sender_events_t;

typedef struct {
	int64_t stream;	      /* a random number for each process */
	int bytes_per_second; /* changes to all entries; 0: the default */
	ms_t batch;	      /* delay that batches changes; 0: the default */
} news_options_t;

#define NEWS_BYTES_SENT 1000 /* a second */
#define NEWS_BATCH	100  /* milliseconds */

news_sender_t *news_sender_create(const news_options_t *options,
				  const news_sender_events_t *events,
				  void *ctx);
void news_sender_destroy(news_sender_t *sender);

/* An adapter version became resident on an endpoint, or was unloaded. */
void news_sender_change(news_sender_t *sender, const char *endpoint,
			int64_t epoch, const char *adapter,
			gboolean is_resident, ms_t now);
/*
 * Set the load of an endpoint.  It is sent with the next change of the
 * endpoint.  It is sent on its own only if the number of requests doubled or
 * halved since it was last sent, if is_leaving changed, or if the endpoint
 * gained or lost room for another adapter.
 */
void news_sender_load(news_sender_t *sender, const char *endpoint,
		      int64_t epoch, const news_load_t *load, ms_t now);
/* This owner no longer owns the endpoint. */
void news_sender_drop(news_sender_t *sender, const char *endpoint, ms_t now);

/* Handle NEWS_ASK: subscribe the entry and send it a snapshot. */
void news_sender_asked(news_sender_t *sender, const char *entry, ms_t now);
/* Unsubscribe an entry whose connection closed. */
void news_sender_forget(news_sender_t *sender, const char *entry);

ms_t news_sender_due(const news_sender_t *sender);
void news_sender_tick(news_sender_t *sender, ms_t now);

typedef struct {
	int followers;
	int64_t messages_sent;
	int64_t bytes_sent;
	int64_t delay_sum; /* milliseconds from change to send, summed */
	int64_t delay_max;
	int64_t changes_sent; /* counted once, not per entry */
} news_stats_t;

void news_sender_stats(const news_sender_t *sender, news_stats_t *stats);

/* The reading side, in hc-entry. */

typedef struct news_reader news_reader_t;

typedef struct {
	/* Send NEWS_ASK to an owner. */
	void (*ask)(void *ctx, const char *owner);
	/* Discard all state received from an owner. */
	void (*on_reset)(void *ctx, const char *owner);
	/* endpoint->changes holds the changes or, after on_reset, all resident
	 * adapters. */
	void (*on_endpoint)(void *ctx, const char *owner,
			    const news_endpoint_t *endpoint);
} news_reader_events_t;

news_reader_t *news_reader_create(const news_reader_events_t *events,
				  void *ctx);
void news_reader_destroy(news_reader_t *reader);

/* Subscribe to an owner; the snapshot request is rate-limited. */
void news_reader_follow(news_reader_t *reader, const char *owner, ms_t now);

/*
 * A new connection to the owner is open: subscribe, and request a snapshot even
 * if the state was complete.  The subscription ended with the former
 * connection, and the owner may be a new process that does not know this
 * reader, so no later message would reveal the gap.
 */
void news_reader_connected(news_reader_t *reader, const char *owner, ms_t now);
/* Unsubscribe from an owner; calls on_reset. */
void news_reader_unfollow(news_reader_t *reader, const char *owner);
void news_reader_receive(news_reader_t *reader, const char *owner,
			 const news_message_t *message, ms_t now);
/* Milliseconds since the last message of an owner; MS_NEVER if none came. */
ms_t news_reader_age(const news_reader_t *reader, const char *owner, ms_t now);

ms_t news_reader_due(const news_reader_t *reader);
void news_reader_tick(news_reader_t *reader, ms_t now);

/*
 * Whether an entry subscribes to an owner: to all owners of its region while
 * there are at most NEWS_REGION_OWNERS_MAX, else only to those of its failure
 * domain.
 */
gboolean news_should_follow(const char *region, const char *failure_domain,
			    const char *owner_region, const char *owner_domain,
			    int owners_in_region);

/* The largest region, in owners, whose entries subscribe to all of them. */
#define NEWS_REGION_OWNERS_MAX 100

#endif
