#include "member/placement_updates.h"

#include <string.h>
#include <sys/queue.h>

/* The time between two questions, and until one is asked again. */
#define ASK_PERIOD	100
#define ASK_AGAIN_AFTER 5000

/* An owner that is followed. */
typedef struct source {
	TAILQ_ENTRY(source) link; /* in the order of asking */
	char *owner;
	gboolean is_whole; /* nothing is missing */
	int64_t stream;
	int64_t sequence;
	ms_t heard_at; /* MS_NEVER before the first message */
	ms_t ask_at;
} source_t;

struct updates_reader {
	const updates_reader_events_t *events;
	void *ctx;
	GHashTable *sources; /* of source_t by owner */
	TAILQ_HEAD(, source) asking;
	ms_t ask_at; /* not before */
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
	TAILQ_INIT(&reader->asking);
	return reader;
}

void updates_reader_destroy(updates_reader_t *reader)
{
	if (!reader)
		return;
	g_hash_table_destroy(reader->sources);
	g_free(reader);
}

/* Sources that wait for a whole state are in the queue of asking. */
static void want_whole(updates_reader_t *reader, source_t *source, ms_t now)
{
	if (!source->is_whole)
		return;
	source->is_whole = FALSE;
	source->ask_at = now;
	TAILQ_INSERT_HEAD(&reader->asking, source, link);
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
	source->ask_at = now;
	g_hash_table_insert(reader->sources, source->owner, source);
	TAILQ_INSERT_HEAD(&reader->asking, source, link);
}

void updates_reader_connected(updates_reader_t *reader, const char *owner,
			      ms_t now)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (source)
		want_whole(reader, source, now);
	else
		updates_reader_subscribe(reader, owner, now);
}

void updates_reader_unsubscribe(updates_reader_t *reader, const char *owner)
{
	source_t *source = g_hash_table_lookup(reader->sources, owner);

	if (!source)
		return;
	if (!source->is_whole)
		TAILQ_REMOVE(&reader->asking, source, link);
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

static void take_whole(updates_reader_t *reader, source_t *source,
		       const updates_message_t *message)
{
	/* A late answer to an earlier question. */
	if (source->is_whole && source->stream == message->stream &&
	    message->sequence < source->sequence)
		return;
	if (!source->is_whole)
		TAILQ_REMOVE(&reader->asking, source, link);
	source->is_whole = TRUE;
	source->stream = message->stream;
	source->sequence = message->sequence;
	reader->events->on_reset(reader->ctx, source->owner);
	deliver(reader, source->owner, message);
}

static void take_changes(updates_reader_t *reader, source_t *source,
			 const updates_message_t *message, ms_t now)
{
	if (!source->is_whole)
		return;
	if (message->stream != source->stream ||
	    message->sequence > source->sequence + 1) {
		want_whole(reader, source, now);
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
		take_whole(reader, source, message);
	else if (message->type == UPDATES_CHANGES)
		take_changes(reader, source, message, now);
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
	const source_t *first = TAILQ_FIRST(&reader->asking);

	return first ? MAX(first->ask_at, reader->ask_at) : MS_NEVER;
}

void updates_reader_tick(updates_reader_t *reader, ms_t now)
{
	source_t *source = TAILQ_FIRST(&reader->asking);

	if (!source || now < updates_reader_due(reader))
		return;
	reader->ask_at = now + ASK_PERIOD;
	TAILQ_REMOVE(&reader->asking, source, link);
	source->ask_at = now + ASK_AGAIN_AFTER;
	TAILQ_INSERT_TAIL(&reader->asking, source, link);
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
