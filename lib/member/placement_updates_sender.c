#include "member/placement_updates.h"

#include <string.h>
#include <sys/queue.h>

#include "member/member.h"

/* The rate may be saved up for this many seconds. */
#define TOKEN_SECONDS 60

/* Requests below this many don't make a difference of load. */
#define LOAD_FLOOR 4

/* An endpoint of ours. */
typedef struct held {
	TAILQ_ENTRY(held) link; /* in the queue of what is to be sent */
	char *name;
	int64_t epoch;
	updates_load_t load;
	int sent_requests;
	gboolean sent_has_room; /* for another adapter */
	gboolean is_queued;
	gboolean is_dropped;
	ms_t queued_at;
	GHashTable *resident; /* set of adapters */
	GHashTable *changed;  /* adapters whose residence is to be told */
} held_t;

struct updates_sender {
	updates_options_t options;
	const updates_sender_events_t *events;
	void *ctx;
	GHashTable *endpoints; /* of held_t by name */
	TAILQ_HEAD(, held) queue;
	GHashTable *followers; /* set of names */
	int64_t sequence;
	ms_t flush_at; /* MS_NEVER if nothing is queued */
	double tokens;
	ms_t tokens_at;
	updates_stats_t stats;
};

static void held_free(void *data)
{
	held_t *held = data;

	g_free(held->name);
	g_hash_table_destroy(held->resident);
	g_hash_table_destroy(held->changed);
	g_free(held);
}

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

updates_sender_t *updates_sender_create(const updates_options_t *options,
					const updates_sender_events_t *events,
					void *ctx)
{
	updates_sender_t *sender = g_new0(updates_sender_t, 1);

	sender->options = *options;
	if (!sender->options.bytes_per_second)
		sender->options.bytes_per_second = UPDATES_BYTES_PER_SECOND;
	if (!sender->options.batch)
		sender->options.batch = UPDATES_BATCH_DELAY;
	sender->events = events;
	sender->ctx = ctx;
	sender->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, held_free);
	TAILQ_INIT(&sender->queue);
	sender->followers = new_set();
	sender->flush_at = MS_NEVER;
	sender->tokens = sender->options.bytes_per_second;
	return sender;
}

void updates_sender_destroy(updates_sender_t *sender)
{
	if (!sender)
		return;
	g_hash_table_destroy(sender->endpoints);
	g_hash_table_destroy(sender->followers);
	g_free(sender);
}

static void queue(updates_sender_t *sender, held_t *held, ms_t now)
{
	if (held->is_queued)
		return;
	held->is_queued = TRUE;
	held->queued_at = now;
	TAILQ_INSERT_TAIL(&sender->queue, held, link);
	if (sender->flush_at == MS_NEVER)
		sender->flush_at = now + sender->options.batch;
}

static held_t *get_held(updates_sender_t *sender, const char *endpoint,
			int64_t epoch)
{
	held_t *held = g_hash_table_lookup(sender->endpoints, endpoint);

	if (!held) {
		held = g_new0(held_t, 1);
		held->name = g_strdup(endpoint);
		held->resident = new_set();
		held->changed = new_set();
		g_hash_table_insert(sender->endpoints, held->name, held);
	}
	held->epoch = MAX(held->epoch, epoch);
	held->is_dropped = FALSE;
	return held;
}

void updates_sender_set_resident(updates_sender_t *sender, const char *endpoint,
				 int64_t epoch, const char *adapter,
				 gboolean is_resident, ms_t now)
{
	held_t *held = get_held(sender, endpoint, epoch);

	if (is_resident)
		g_hash_table_add(held->resident, g_strdup(adapter));
	else
		g_hash_table_remove(held->resident, adapter);
	g_hash_table_add(held->changed, g_strdup(adapter));
	queue(sender, held, now);
}

static gboolean has_room(const updates_load_t *load)
{
	return load->free_slots + load->victim_slots > 0;
}

static gboolean is_load_news(const held_t *held, const updates_load_t *load)
{
	int requests = MAX(load->running + load->waiting, LOAD_FLOOR);
	int sent = MAX(held->sent_requests, LOAD_FLOOR);

	return load->is_leaving != held->load.is_leaving ||
	       has_room(load) != held->sent_has_room || requests >= 2 * sent ||
	       2 * requests <= sent;
}

void updates_sender_set_load(updates_sender_t *sender, const char *endpoint,
			     int64_t epoch, const updates_load_t *load,
			     ms_t now)
{
	/* Entries know an endpoint only by its news, so the first goes out. */
	gboolean is_new = !g_hash_table_contains(sender->endpoints, endpoint);
	held_t *held = get_held(sender, endpoint, epoch);
	gboolean is_news = is_new || is_load_news(held, load);

	held->load = *load;
	if (is_news)
		queue(sender, held, now);
}

void updates_sender_drop_endpoint(updates_sender_t *sender,
				  const char *endpoint, ms_t now)
{
	held_t *held = g_hash_table_lookup(sender->endpoints, endpoint);

	if (!held)
		return;
	held->is_dropped = TRUE;
	g_hash_table_remove_all(held->resident);
	g_hash_table_remove_all(held->changed);
	queue(sender, held, now);
}

static updates_endpoint_t *tell(const held_t *held, GHashTable *adapters)
{
	updates_endpoint_t *endpoint =
		updates_endpoint_new(held->name, held->epoch);
	GHashTableIter iter;
	gpointer adapter;

	endpoint->load = held->load;
	endpoint->is_dropped = held->is_dropped;
	g_hash_table_iter_init(&iter, adapters);
	while (g_hash_table_iter_next(&iter, &adapter, NULL))
		updates_endpoint_add(
			endpoint, adapter,
			g_hash_table_contains(held->resident, adapter));
	return endpoint;
}

static updates_message_t *message_new(const updates_sender_t *sender,
				      updates_type_t type)
{
	updates_message_t *message = updates_message_new(type);

	message->stream = sender->options.stream;
	message->sequence = sender->sequence;
	return message;
}

static size_t message_size(const updates_message_t *message)
{
	codec_writer_t writer;
	size_t size;

	updates_message_write(message, &writer);
	size = writer.buffer.size + MEMBER_MESSAGE_OVERHEAD;
	codec_write_release(&writer);
	return size;
}

void updates_sender_subscribe(updates_sender_t *sender, const char *entry,
			      ms_t now)
{
	updates_message_t *message = message_new(sender, UPDATES_SNAPSHOT);
	GHashTableIter iter;
	gpointer data;

	g_hash_table_add(sender->followers, g_strdup(entry));
	g_hash_table_iter_init(&iter, sender->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const held_t *held = data;

		if (!held->is_dropped)
			g_ptr_array_add(message->endpoints,
					tell(held, held->resident));
	}
	sender->stats.messages_sent++;
	sender->stats.bytes_sent += (int64_t)message_size(message);
	sender->events->send(sender->ctx, entry, message);
	updates_message_free(message);
}

void updates_sender_unsubscribe(updates_sender_t *sender, const char *entry)
{
	g_hash_table_remove(sender->followers, entry);
}

ms_t updates_sender_due(const updates_sender_t *sender)
{
	return sender->flush_at;
}

static void refill(updates_sender_t *sender, ms_t now)
{
	double rate = sender->options.bytes_per_second;
	double elapsed = (double)(now - sender->tokens_at) / 1000;

	sender->tokens += elapsed * rate;
	sender->tokens = MIN(sender->tokens, rate * TOKEN_SECONDS);
	sender->tokens_at = now;
}

/* Move what is queued into a message. */
static updates_message_t *take_queue(updates_sender_t *sender, ms_t now)
{
	updates_message_t *message;
	held_t *held;

	sender->sequence++;
	message = message_new(sender, UPDATES_CHANGES);
	while ((held = TAILQ_FIRST(&sender->queue))) {
		ms_t delay = now - held->queued_at;

		TAILQ_REMOVE(&sender->queue, held, link);
		held->is_queued = FALSE;
		g_ptr_array_add(message->endpoints, tell(held, held->changed));
		g_hash_table_remove_all(held->changed);
		held->sent_requests = held->load.running + held->load.waiting;
		held->sent_has_room = has_room(&held->load);
		sender->stats.changes_sent++;
		sender->stats.delay_sum += delay;
		sender->stats.delay_max = MAX(sender->stats.delay_max, delay);
		if (held->is_dropped)
			g_hash_table_remove(sender->endpoints, held->name);
	}
	return message;
}

void updates_sender_tick(updates_sender_t *sender, ms_t now)
{
	updates_message_t *message;
	GHashTableIter iter;
	gpointer entry;
	size_t size;

	if (now < sender->flush_at)
		return;
	refill(sender, now);
	if (sender->tokens < 0) {
		double lacking = -sender->tokens * 1000;

		sender->flush_at =
			now + 1 +
			(ms_t)(lacking / sender->options.bytes_per_second);
		return;
	}
	sender->flush_at = MS_NEVER;
	message = take_queue(sender, now);
	size = message_size(message);
	g_hash_table_iter_init(&iter, sender->followers);
	while (g_hash_table_iter_next(&iter, &entry, NULL)) {
		sender->tokens -= (double)size;
		sender->stats.messages_sent++;
		sender->stats.bytes_sent += (int64_t)size;
		sender->events->send(sender->ctx, entry, message);
	}
	updates_message_free(message);
}

void updates_sender_stats(const updates_sender_t *sender,
			  updates_stats_t *stats)
{
	*stats = sender->stats;
	stats->followers = (int)g_hash_table_size(sender->followers);
}
