#include "member/placement_updates.h"

#include <string.h>
#include <sys/queue.h>

/* Interval between two snapshot requests, and until one is repeated, in ms. */
#define REQUEST_INTERVAL    100
#define REQUEST_RETRY_AFTER 5000

/* An owner that this reader subscribes to. */
typedef struct source {
	TAILQ_ENTRY(source) link; /* in pending, unless is_synced */
	char *owner;
	gboolean is_synced; /* a snapshot and all later changes were received */
	int64_t stream;
	int64_t sequence;
	ms_t heard_at; /* MS_NEVER before the first message */
	ms_t request_at;
} source_t;

struct updates_reader {
	const updates_reader_events_t *events;
	void *ctx;
	GHashTable *sources; /* of source_t by owner */
	TAILQ_HEAD(, source) pending;
	ms_t request_at; /* earliest time of the next request */
};

static void source_free(void *data)
{
	source_t *source = data;

	g_free(source->owner);
	g_free(source);
}

updates_reader_t *updates_reader_create(const updates_reader_events_t *events,
					void *ctx)
{
	updates_reader_t *reader = g_new0(updates_reader_t, 1);

	reader->events = events;
	reader->ctx = ctx;
	reader->sources = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						source_free);
	TAILQ_INIT(&reader->pending);
	return reader;
}

void updates_reader_destroy(updates_reader_t *reader)
{
	if (!reader)
		return;
	g_hash_table_destroy(reader->sources);
	g_free(reader);
}

/* Queue a snapshot request, unless one is pending. */
static void queue_request(updates_reader_t *reader, source_t *source, ms_t now)
{
	if (!source->is_synced)
		return;
	source->is_synced = FALSE;
	source->request_at = now;
	TAILQ_INSERT_HEAD(&reader->pending, source, link);
}

void updates_reader_subscribe(updates_reader_t *reader, const char *owner,
			      ms_t now)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (source)
		return;
	source = g_new0(source_t, 1);
	source->owner = g_strdup(owner);
	source->heard_at = MS_NEVER;
	source->request_at = now;
	g_hash_table_insert(reader->sources, source->owner, source);
	TAILQ_INSERT_HEAD(&reader->pending, source, link);
}

void updates_reader_connected(updates_reader_t *reader, const char *owner,
			      ms_t now)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (source)
		queue_request(reader, source, now);
	else
		updates_reader_subscribe(reader, owner, now);
}

void updates_reader_unsubscribe(updates_reader_t *reader, const char *owner)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (!source)
		return;
	if (!source->is_synced)
		TAILQ_REMOVE(&reader->pending, source, link);
	g_hash_table_remove(reader->sources, owner);
	reader->events->on_reset(reader->ctx, owner);
}

static void deliver(updates_reader_t *reader, const char *owner,
		    const updates_message_t *message)
{
	guint i;

	for (i = 0; i < message->endpoints->len; i++)
		reader->events->on_endpoint(reader->ctx, owner,
					    message->endpoints->pdata[i]);
}

static void apply_snapshot(updates_reader_t *reader, source_t *source,
			   const updates_message_t *message)
{
	/* A late reply to an earlier request. */
	if (source->is_synced && source->stream == message->stream &&
	    message->sequence < source->sequence)
		return;
	if (!source->is_synced)
		TAILQ_REMOVE(&reader->pending, source, link);
	source->is_synced = TRUE;
	source->stream = message->stream;
	source->sequence = message->sequence;
	reader->events->on_reset(reader->ctx, source->owner);
	deliver(reader, source->owner, message);
}

static void apply_changes(updates_reader_t *reader, source_t *source,
			  const updates_message_t *message, ms_t now)
{
	if (!source->is_synced)
		return;
	if (message->stream != source->stream ||
	    message->sequence > source->sequence + 1) {
		queue_request(reader, source, now);
		return;
	}
	if (message->sequence <= source->sequence)
		return;
	source->sequence = message->sequence;
	deliver(reader, source->owner, message);
}

void updates_reader_receive(updates_reader_t *reader, const char *owner,
			    const updates_message_t *message, ms_t now)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (!source)
		return;
	source->heard_at = now;
	if (message->type == UPDATES_SNAPSHOT)
		apply_snapshot(reader, source, message);
	else if (message->type == UPDATES_CHANGES)
		apply_changes(reader, source, message, now);
}

ms_t updates_reader_age(const updates_reader_t *reader, const char *owner,
			ms_t now)
{
	const source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (!source || source->heard_at == MS_NEVER)
		return MS_NEVER;
	return now - source->heard_at;
}

ms_t updates_reader_due(const updates_reader_t *reader)
{
	const source_t *first = TAILQ_FIRST(&reader->pending);

	return first ? MAX(first->request_at, reader->request_at) : MS_NEVER;
}

void updates_reader_tick(updates_reader_t *reader, ms_t now)
{
	source_t *source = TAILQ_FIRST(&reader->pending);

	if (!source || now < updates_reader_due(reader))
		return;
	reader->request_at = now + REQUEST_INTERVAL;
	TAILQ_REMOVE(&reader->pending, source, link);
	source->request_at = now + REQUEST_RETRY_AFTER;
	TAILQ_INSERT_TAIL(&reader->pending, source, link);
	reader->events->ask(reader->ctx, source->owner);
}

gboolean updates_should_subscribe(const char *region,
				  const char *failure_domain,
				  const char *owner_region,
				  const char *owner_domain,
				  int owners_in_region)
{
	if (strcmp(region, owner_region) != 0)
		return FALSE;
	return owners_in_region <= UPDATES_REGION_OWNERS_MAX ||
	       !strcmp(failure_domain, owner_domain);
}
