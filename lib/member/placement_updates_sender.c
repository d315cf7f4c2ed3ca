#include "member/placement_updates.h"

#include <string.h>
#include <sys/queue.h>

#include "member/member.h"

/* Capacity of the token bucket, in seconds of the byte rate. */
#define BURST_SECONDS 60

/* Numbers of requests below this count as equal. */
#define REQUESTS_FLOOR 4

/* The state of an endpoint of this owner. */
typedef struct endpoint_state {
	TAILQ_ENTRY(endpoint_state) link; /* in queue, if is_queued */
	char *name;
	int64_t epoch;
	updates_load_t load;
	int sent_requests;
	gboolean sent_has_room; /* has_room() as last sent */
	gboolean is_queued;
	gboolean is_dropped;
	ms_t queued_at;
	GHashTable *resident; /* set of adapters */
	GHashTable *changed;  /* adapters whose residency is to be sent */
} endpoint_state_t;

struct updates_sender {
	updates_options_t options;
	const updates_sender_events_t *events;
	void *ctx;
	GHashTable *endpoints; /* of endpoint_state_t by name */
	TAILQ_HEAD(, endpoint_state) queue;
	GHashTable *followers; /* names of subscribed entries */
	int64_t sequence;
	ms_t flush_at; /* MS_NEVER if nothing is queued */
	double tokens;
	ms_t tokens_at;
	updates_stats_t stats;
};

static void endpoint_state_free(void *data)
{
	endpoint_state_t *state = data;

	g_free(state->name);
	g_hash_table_destroy(state->resident);
	g_hash_table_destroy(state->changed);
	g_free(state);
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
	sender->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  endpoint_state_free);
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

static void queue(updates_sender_t *sender, endpoint_state_t *state, ms_t now)
{
	if (state->is_queued)
		return;
	state->is_queued = TRUE;
	state->queued_at = now;
	TAILQ_INSERT_TAIL(&sender->queue, state, link);
	if (sender->flush_at == MS_NEVER)
		sender->flush_at = now + sender->options.batch;
}

static endpoint_state_t *get_endpoint_state(updates_sender_t *sender,
					    const char *endpoint, int64_t epoch)
{
	endpoint_state_t *state =
		g_hash_table_lookup(sender->endpoints, endpoint);

	if (!state) {
		state = g_new0(endpoint_state_t, 1);
		state->name = g_strdup(endpoint);
		state->resident = new_set();
		state->changed = new_set();
		g_hash_table_insert(sender->endpoints, state->name, state);
	}
	state->epoch = MAX(state->epoch, epoch);
	state->is_dropped = FALSE;
	return state;
}

void updates_sender_set_resident(updates_sender_t *sender, const char *endpoint,
				 int64_t epoch, const char *adapter,
				 gboolean is_resident, ms_t now)
{
	endpoint_state_t *state = get_endpoint_state(sender, endpoint, epoch);

	if (is_resident)
		g_hash_table_add(state->resident, g_strdup(adapter));
	else
		g_hash_table_remove(state->resident, adapter);
	g_hash_table_add(state->changed, g_strdup(adapter));
	queue(sender, state, now);
}

static gboolean has_room(const updates_load_t *load)
{
	return load->free_slots + load->victim_slots > 0;
}

static gboolean is_load_changed(const endpoint_state_t *state,
				const updates_load_t *load)
{
	int requests = MAX(load->running + load->waiting, REQUESTS_FLOOR);
	int sent = MAX(state->sent_requests, REQUESTS_FLOOR);

	return load->is_leaving != state->load.is_leaving ||
	       has_room(load) != state->sent_has_room || requests >= 2 * sent ||
	       2 * requests <= sent;
}

void updates_sender_set_load(updates_sender_t *sender, const char *endpoint,
			     int64_t epoch, const updates_load_t *load,
			     ms_t now)
{
	/* Entries learn of an endpoint by its first update, so send it. */
	gboolean is_new = !g_hash_table_contains(sender->endpoints, endpoint);
	endpoint_state_t *state = get_endpoint_state(sender, endpoint, epoch);
	gboolean is_changed = is_new || is_load_changed(state, load);

	state->load = *load;
	if (is_changed)
		queue(sender, state, now);
}

void updates_sender_drop_endpoint(updates_sender_t *sender,
				  const char *endpoint, ms_t now)
{
	endpoint_state_t *state =
		g_hash_table_lookup(sender->endpoints, endpoint);

	if (!state)
		return;
	state->is_dropped = TRUE;
	g_hash_table_remove_all(state->resident);
	g_hash_table_remove_all(state->changed);
	queue(sender, state, now);
}

static updates_endpoint_t *build_endpoint(const endpoint_state_t *state,
					  GHashTable *adapters)
{
	updates_endpoint_t *endpoint =
		updates_endpoint_new(state->name, state->epoch);
	GHashTableIter iter;
	gpointer adapter;

	endpoint->load = state->load;
	endpoint->is_dropped = state->is_dropped;
	g_hash_table_iter_init(&iter, adapters);
	while (g_hash_table_iter_next(&iter, &adapter, NULL))
		updates_endpoint_add(
			endpoint, adapter,
			g_hash_table_contains(state->resident, adapter));
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
		const endpoint_state_t *state = data;

		if (!state->is_dropped)
			g_ptr_array_add(message->endpoints,
					build_endpoint(state, state->resident));
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
	sender->tokens = MIN(sender->tokens, rate * BURST_SECONDS);
	sender->tokens_at = now;
}

/* Move all queued changes into a message. */
static updates_message_t *drain_queue(updates_sender_t *sender, ms_t now)
{
	updates_message_t *message;
	endpoint_state_t *state;

	sender->sequence++;
	message = message_new(sender, UPDATES_CHANGES);
	while ((state = TAILQ_FIRST(&sender->queue))) {
		ms_t delay = now - state->queued_at;

		TAILQ_REMOVE(&sender->queue, state, link);
		state->is_queued = FALSE;
		g_ptr_array_add(message->endpoints,
				build_endpoint(state, state->changed));
		g_hash_table_remove_all(state->changed);
		state->sent_requests =
			state->load.running + state->load.waiting;
		state->sent_has_room = has_room(&state->load);
		sender->stats.changes_sent++;
		sender->stats.delay_sum += delay;
		sender->stats.delay_max = MAX(sender->stats.delay_max, delay);
		if (state->is_dropped)
			g_hash_table_remove(sender->endpoints, state->name);
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
		double deficit = -sender->tokens * 1000;

		sender->flush_at =
			now + 1 +
			(ms_t)(deficit / sender->options.bytes_per_second);
		return;
	}
	sender->flush_at = MS_NEVER;
	message = drain_queue(sender, now);
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
