#include "front/adapters_private.h"

/*
 * Most items in one message, which carries what one poll read: above the number
 * of endpoints and instances together at the target size.
 */
#define UPDATE_ITEMS_MAX 10000

void adapters_receive_updates(adapters_t *adapters, conn_t *conn,
			      codec_reader_t *reader)
{
	GArray *items = kv_items_create();
	store_updates_t updates = {0};
	codec_reader_t rows;

	updates.range.from = codec_read_int(reader, 0, INT64_MAX);
	updates.range.to = codec_read_int(reader, 0, INT64_MAX);
	codec_read_array(reader, &rows);
	while (rows.left && !rows.is_failed && items->len < UPDATE_ITEMS_MAX) {
		kv_item_t item = {0};
		const char *value;

		item.key = codec_read_text(&rows, NAME_MAX_BYTES);
		item.revision = codec_read_int(&rows, 0, INT64_MAX);
		item.lease = codec_read_int(&rows, 0, INT64_MAX);
		if (codec_read_bool(&rows)) {
			value = codec_read_bytes(&rows, &item.size);
			item.value = value ? g_strndup(value, item.size) : NULL;
		}
		if (item.key)
			g_array_append_val(items, item);
	}
	updates.items = (const kv_item_t *)(const void *)items->data;
	updates.count = items->len;
	updates.range.as_of =
		reader->left
			? codec_read_int(reader, RELAY_AGE_UNKNOWN, MS_NEVER)
			: RELAY_AGE_UNKNOWN;
	updates.range.history =
		reader->left ? codec_read_int(reader, RELAY_HISTORY_UNKNOWN,
					      INT64_MAX)
			     : RELAY_HISTORY_UNKNOWN;
	if (rows.is_failed || rows.left || !codec_read_end(reader))
		adapters_log_malformed(conn_peer_instance(conn));
	else
		adapters->events.on_updates(adapters->ctx,
					    conn_peer_instance(conn), &updates);
	g_array_free(items, TRUE);
}

/* Most parts in one message; more are sent in several. */
#define PARTS_MAX 4096

void adapters_receive_parts(adapters_t *adapters, conn_t *conn,
			    codec_reader_t *reader)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(g_free);
	parts_message_t message = {0};
	char *engine;
	codec_reader_t rows;

	message.news =
		(parts_news_t)codec_read_int(reader, 0, PARTS_NEWS_COUNT - 1);
	message.engine = engine = codec_read_text(reader, NAME_MAX_BYTES);
	message.time = codec_read_int(reader, 0, INT64_MAX);
	codec_read_array(reader, &rows);
	while (rows.left && !rows.is_failed && parts->len < PARTS_MAX) {
		char *part = codec_read_text(&rows, NAME_MAX_BYTES);

		if (part)
			g_ptr_array_add(parts, part);
	}
	g_ptr_array_add(parts, NULL);
	message.parts = (const char *const *)parts->pdata;
	if (rows.is_failed || rows.left || !codec_read_end(reader) ||
	    (message.news == PARTS_CRASHED && !engine))
		adapters_log_malformed(conn_peer_instance(conn));
	else
		adapters->events.on_parts(adapters->ctx, &message);
	g_ptr_array_free(parts, TRUE);
	g_free(engine);
}

/* Values per item in a message; the value of an item that exists adds one. */
#define UPDATE_ITEM_FIELDS 4

typedef struct {
	adapters_t *adapters;
	const store_updates_t *updates;
} broadcast_t;

static void send_updates(void *ctx, const char *name, gboolean is_up)
{
	const broadcast_t *broadcast = ctx;
	const store_updates_t *updates = broadcast->updates;
	codec_writer_t writer;
	uint32_t members = 0;
	size_t i;

	if (!is_up)
		return;
	for (i = 0; i < updates->count; i++)
		members +=
			UPDATE_ITEM_FIELDS + (updates->items[i].value != NULL);
	codec_write_init(&writer, MESSAGE_UPDATES, 5);
	codec_write_int(&writer, updates->range.from);
	codec_write_int(&writer, updates->range.to);
	codec_write_array(&writer, members);
	for (i = 0; i < updates->count; i++) {
		const kv_item_t *item = &updates->items[i];

		codec_write_text(&writer, item->key);
		codec_write_int(&writer, item->revision);
		codec_write_int(&writer, item->lease);
		codec_write_bool(&writer, item->value != NULL);
		if (item->value)
			codec_write_bytes(&writer, item->value, item->size);
	}
	codec_write_int(&writer, updates->range.as_of);
	codec_write_int(&writer, updates->range.history);
	peers_send(broadcast->adapters->peers, name, &writer);
}

void adapters_send_updates(adapters_t *adapters, const store_updates_t *updates)
{
	broadcast_t broadcast = {adapters, updates};

	if (adapters->peers)
		peers_foreach(adapters->peers, send_updates, &broadcast);
}

typedef struct {
	adapters_t *adapters;
	const parts_message_t *message;
} parts_broadcast_t;

static void send_parts_message(const parts_broadcast_t *broadcast,
			       const char *name, const char *const *parts,
			       uint32_t count)
{
	const parts_message_t *message = broadcast->message;
	codec_writer_t writer;
	uint32_t i;

	codec_write_init(&writer, MESSAGE_PARTS, 4);
	codec_write_int(&writer, message->news);
	codec_write_text(&writer, message->engine);
	codec_write_int(&writer, message->time);
	codec_write_array(&writer, count);
	for (i = 0; i < count; i++)
		codec_write_text(&writer, parts[i]);
	peers_send(broadcast->adapters->peers, name, &writer);
}

static void send_parts(void *ctx, const char *name, gboolean is_up)
{
	const parts_broadcast_t *broadcast = ctx;
	const char *const *parts = broadcast->message->parts;
	uint32_t left = g_strv_length((char **)parts);

	while (is_up && left) {
		uint32_t count = MIN(left, PARTS_MAX);

		send_parts_message(broadcast, name, parts, count);
		parts += count;
		left -= count;
	}
}

void adapters_send_parts(adapters_t *adapters, const char *instance,
			 const parts_message_t *message)
{
	parts_broadcast_t broadcast = {adapters, message};

	if (!adapters->peers)
		return;
	if (instance)
		send_parts(&broadcast, instance,
			   peers_is_connected(adapters->peers, instance));
	else
		peers_foreach(adapters->peers, send_parts, &broadcast);
}

void adapters_receive_endpoint(adapters_t *adapters, conn_t *conn,
			       codec_reader_t *reader)
{
	endpoint_message_t message = {0};
	char *endpoint;

	message.news = (endpoint_news_t)codec_read_int(reader, 0,
						       ENDPOINT_NEWS_COUNT - 1);
	message.endpoint = endpoint = codec_read_text(reader, NAME_MAX_BYTES);
	message.started_at = codec_read_int(reader, INT64_MIN, INT64_MAX);
	message.value = codec_read_int(reader, 0, INT64_MAX);
	if (!codec_read_end(reader) || !endpoint)
		adapters_log_malformed(conn_peer_instance(conn));
	else
		adapters->events.on_endpoint_news(adapters->ctx, &message);
	g_free(endpoint);
}

typedef struct {
	adapters_t *adapters;
	const endpoint_message_t *message;
} endpoint_broadcast_t;

static void send_endpoint(void *ctx, const char *name, gboolean is_up)
{
	const endpoint_broadcast_t *broadcast = ctx;
	const endpoint_message_t *message = broadcast->message;
	codec_writer_t writer;

	if (!is_up)
		return;
	codec_write_init(&writer, MESSAGE_ENDPOINT, 4);
	codec_write_int(&writer, message->news);
	codec_write_text(&writer, message->endpoint);
	codec_write_int(&writer, message->started_at);
	codec_write_int(&writer, message->value);
	peers_send(broadcast->adapters->peers, name, &writer);
}

void adapters_send_endpoint(adapters_t *adapters, const char *instance,
			    const endpoint_message_t *message)
{
	endpoint_broadcast_t broadcast = {adapters, message};

	if (!adapters->peers)
		return;
	if (instance)
		send_endpoint(&broadcast, instance,
			      peers_is_connected(adapters->peers, instance));
	else
		peers_foreach(adapters->peers, send_endpoint, &broadcast);
}
