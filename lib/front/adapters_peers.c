#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "wire/codec.h"

/* The longest name of an engine or adapter in a message; chosen. */
#define NAME_MAX_BYTES 256

/* Of these connections in their greeting. */
#define ROLE "front"

/* A question of this instance. */
typedef struct {
	char *engine;
	char *holder; /* NULL: this instance */
	gboolean is_let_through;
} asked_t;

void asked_free(gpointer data)
{
	asked_t *asked = data;

	g_free(asked->engine);
	g_free(asked->holder);
	g_free(asked);
}

const char *refusal_name(refusal_t refusal)
{
	static const char *const names[] = {
		[REFUSAL_NOT_HELD] = "no holder of the engine in reach",
		[REFUSAL_UNREACHABLE] = "the holder can't reach the engine",
		[REFUSAL_NO_ORDERS] = "the holder may not order now",
		[REFUSAL_NO_PLACE] = "no place at the engine in time",
		[REFUSAL_NO_SLOT] = "all adapters of the engine are in use",
		[REFUSAL_LOADS_AHEAD] = "too many loads are ahead",
		[REFUSAL_SILENT] = "the engine's holder is silent",
	};

	return names[refusal];
}

static void forget_asked(adapters_t *adapters, ask_id_t id)
{
	g_hash_table_remove(adapters->asked, &id);
}

static void news_arrived(adapters_t *adapters, const holder_news_t *news)
{
	asked_t *asked;

	if (news->type == MESSAGE_DROPPED) {
		adapters->events.on_dropped(adapters->ctx, news->engine,
					    news->adapter);
		return;
	}
	/* The request may have ended since it was asked. */
	asked = g_hash_table_lookup(adapters->asked, &news->ask);
	if (!asked)
		return;
	if (news->type == MESSAGE_WAIT) {
		adapters->events.on_wait(adapters->ctx, news->ask);
	} else if (news->type == MESSAGE_GO) {
		asked->is_let_through = TRUE;
		adapters->events.on_load(adapters->ctx, asked->engine,
					 news->running, news->waiting);
		adapters->events.on_go(adapters->ctx, news->ask, news->version);
	} else {
		if (news->running || news->waiting)
			adapters->events.on_load(adapters->ctx, asked->engine,
						 news->running, news->waiting);
		forget_asked(adapters, news->ask);
		adapters->events.on_refused(adapters->ctx, news->ask,
					    news->refusal, news->retry_after);
	}
}

static void on_self_news(uv_timer_t *timer)
{
	adapters_t *adapters = timer->data;
	GQueue *queue = adapters->self_news;
	holder_news_t *news;

	adapters->self_news = g_queue_new();
	while ((news = g_queue_pop_head(queue))) {
		news_arrived(adapters, news);
		g_free((char *)news->engine);
		g_free((char *)news->adapter);
		g_free(news);
	}
	g_queue_free(queue);
}

/* What this instance tells itself waits until the present event is over. */
static void tell_self(adapters_t *adapters, const holder_news_t *news)
{
	holder_news_t *copy = g_memdup2(news, sizeof(*news));

	copy->engine = g_strdup(news->engine);
	copy->adapter = g_strdup(news->adapter);
	g_queue_push_tail(adapters->self_news, copy);
	adapters->self_timer.data = adapters;
	uv_timer_start(&adapters->self_timer, on_self_news, 0, 0);
}

void adapters_answer(adapters_t *adapters, conn_t *asker,
		     const holder_news_t *news)
{
	codec_writer_t writer;

	if (!asker) {
		tell_self(adapters, news);
		return;
	}
	if (news->type == MESSAGE_DROPPED) {
		codec_write_init(&writer, news->type, 2);
		codec_write_text(&writer, news->engine);
		codec_write_text(&writer, news->adapter);
	} else {
		codec_write_init(&writer, news->type, 6);
		codec_write_int(&writer, news->ask);
		codec_write_int(&writer, news->version);
		codec_write_int(&writer, news->running);
		codec_write_int(&writer, news->waiting);
		codec_write_int(&writer, news->retry_after);
		codec_write_int(&writer, news->refusal);
	}
	conn_send(asker, &writer);
}

static void log_unreadable(const char *peer)
{
	log_warn("message of a peer unreadable", "peer", peer, NULL);
}

static void take_ask(adapters_t *adapters, conn_t *conn, codec_reader_t *reader)
{
	holder_news_t refusal = {.type = MESSAGE_REFUSED};
	char *engine = codec_read_text(reader, NAME_MAX_BYTES);
	char *adapter = codec_read_text(reader, NAME_MAX_BYTES);
	ask_t ask = {.engine = engine, .adapter = adapter};
	held_engine_t *held;

	refusal.ask = codec_read_int(reader, 1, INT64_MAX);
	ask.version = codec_read_int(reader, 0, INT64_MAX);
	ask.is_missing = codec_read_bool(reader);
	ask.request.prompt = codec_read_int(reader, 0, INT64_MAX);
	ask.request.priority = (int)codec_read_int(reader, 0, G_MAXINT);
	ask.request.wait_max = codec_read_int(reader, 0, INT64_MAX);
	ask.load_max = codec_read_int(reader, 0, INT64_MAX);
	if (!codec_read_end(reader) || !engine) {
		log_unreadable(conn_peer_instance(conn));
	} else {
		held = g_hash_table_lookup(adapters->held, engine);
		if (held)
			held_engine_ask(held, conn, refusal.ask, &ask);
		else
			adapters_answer(adapters, conn, &refusal);
	}
	g_free(engine);
	g_free(adapter);
}

static void take_done(adapters_t *adapters, conn_t *conn,
		      codec_reader_t *reader)
{
	char *engine = codec_read_text(reader, NAME_MAX_BYTES);
	ask_id_t id = codec_read_int(reader, 1, INT64_MAX);
	gboolean has_run = codec_read_bool(reader);
	held_engine_t *held =
		engine ? g_hash_table_lookup(adapters->held, engine) : NULL;

	if (!codec_read_end(reader))
		log_unreadable(conn_peer_instance(conn));
	else if (held)
		held_engine_done(held, conn, id, has_run);
	g_free(engine);
}

static void take_want(adapters_t *adapters, conn_t *conn,
		      codec_reader_t *reader)
{
	char *engine = codec_read_text(reader, NAME_MAX_BYTES);
	char *adapter = codec_read_text(reader, NAME_MAX_BYTES);
	int64_t version = codec_read_int(reader, 0, INT64_MAX);
	held_engine_t *held =
		engine ? g_hash_table_lookup(adapters->held, engine) : NULL;

	if (!codec_read_end(reader) || !adapter)
		log_unreadable(conn_peer_instance(conn));
	else if (held)
		held_engine_want(held, adapter, version);
	g_free(engine);
	g_free(adapter);
}

/*
 * Items of one message; a watcher sends what one poll brought.  Chosen: above
 * the endpoints and instances of the target size together.
 */
#define NEWS_ITEMS_MAX 10000

static void take_news(adapters_t *adapters, conn_t *conn,
		      codec_reader_t *reader)
{
	GArray *items = kv_items_create();
	news_t news = {0};
	codec_reader_t rows;

	news.from = codec_read_int(reader, 0, INT64_MAX);
	news.to = codec_read_int(reader, 0, INT64_MAX);
	codec_read_array(reader, &rows);
	while (rows.left && !rows.is_failed && items->len < NEWS_ITEMS_MAX) {
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
	news.items = (const kv_item_t *)(const void *)items->data;
	news.count = items->len;
	if (rows.is_failed || rows.left || !codec_read_end(reader))
		log_unreadable(conn_peer_instance(conn));
	else
		adapters->events.on_news(adapters->ctx, &news);
	g_array_free(items, TRUE);
}

/* A message of an instance that connected here. */
static void on_request(void *ctx, conn_t *conn, const msgpack_object *message)
{
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	if (type == MESSAGE_ASK)
		take_ask(ctx, conn, &reader);
	else if (type == MESSAGE_DONE)
		take_done(ctx, conn, &reader);
	else if (type == MESSAGE_LOAD_REQUEST)
		take_want(ctx, conn, &reader);
	else if (type == MESSAGE_NEWS)
		take_news(ctx, conn, &reader);
	else
		log_unreadable(conn_peer_instance(conn));
}

static void on_request_ready(void *ctx, conn_t *conn)
{
}

static void on_request_close(void *ctx, conn_t *conn, const GError *reason)
{
	adapters_t *adapters = ctx;
	GHashTableIter iter;
	gpointer held;

	g_hash_table_iter_init(&iter, adapters->held);
	while (g_hash_table_iter_next(&iter, NULL, &held))
		held_engine_forget(held, conn);
}

/* A message of a holder to which this instance connected. */
static void on_news(void *ctx, const char *name, const msgpack_object *message)
{
	adapters_t *adapters = ctx;
	holder_news_t news = {0};
	codec_reader_t reader;
	char *engine = NULL;
	char *adapter = NULL;
	int type;

	g_hash_table_remove(adapters->silent, name);
	codec_read_init(&reader, message, &type);
	news.type = (message_type_t)type;
	if (type == MESSAGE_DROPPED) {
		engine = codec_read_text(&reader, NAME_MAX_BYTES);
		adapter = codec_read_text(&reader, NAME_MAX_BYTES);
		news.engine = engine;
		news.adapter = adapter;
	} else {
		news.ask = codec_read_int(&reader, 1, INT64_MAX);
		news.version = codec_read_int(&reader, 0, INT64_MAX);
		news.running = (int)codec_read_int(&reader, 0, G_MAXINT);
		news.waiting = (int)codec_read_int(&reader, 0, G_MAXINT);
		news.retry_after = codec_read_int(&reader, 0, INT64_MAX);
		news.refusal = (refusal_t)codec_read_int(&reader, 0,
							 REFUSAL_COUNT - 1);
	}
	if (type < MESSAGE_GO || type > MESSAGE_DROPPED ||
	    !codec_read_end(&reader))
		log_unreadable(name);
	else
		news_arrived(adapters, &news);
	g_free(engine);
	g_free(adapter);
}

static void on_up(void *ctx, const char *name)
{
	log_info("peer connected", "peer", name, NULL);
}

/* Questions that the holder has not let through are void, all but one. */
static void give_up_holder(adapters_t *adapters, const char *name, ask_id_t but,
			   refusal_t refusal)
{
	GArray *lost = g_array_new(FALSE, FALSE, sizeof(ask_id_t));
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, adapters->asked);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const asked_t *asked = value;

		if (*(ask_id_t *)id != but && !asked->is_let_through &&
		    !g_strcmp0(asked->holder, name))
			g_array_append_val(lost, *(ask_id_t *)id);
	}
	for (i = 0; i < lost->len; i++) {
		ask_id_t ask = g_array_index(lost, ask_id_t, i);

		/* The holder hears of it, should it go on. */
		adapters_done(adapters, ask, FALSE);
		adapters->events.on_refused(adapters->ctx, ask, refusal, 0);
	}
	g_array_free(lost, TRUE);
}

static void on_down(void *ctx, const char *name)
{
	log_info("peer lost", "peer", name, NULL);
	give_up_holder(ctx, name, 0, REFUSAL_NOT_HELD);
}

static void keep_peer(adapters_t *adapters, const char *instance,
		      const char *record)
{
	const char *own = process_settings(adapters->process)->instance;
	char *address = NULL;
	int port;
	GError *error = NULL;

	if (!strcmp(instance, own))
		return;
	if (process_split_address(record, &address, &port, &error)) {
		peers_add(adapters->peers, instance, address, port);
		g_free(address);
		return;
	}
	log_warn("record of an instance unreadable", "instance", instance,
		 "error", error->message, NULL);
	g_clear_error(&error);
}

void adapters_peers_begin(adapters_t *adapters, GBytes *key)
{
	static const peers_events_t peers_events = {on_up, on_down, on_news};
	static const conn_events_t server_events = {
		on_request_ready, on_request, on_request_close};
	GHashTableIter iter;
	gpointer instance;
	gpointer record;
	GError *error = NULL;

	process_set_keys(adapters->process, channel_keys_create(key, NULL));
	adapters->identity = process_identity(adapters->process, ROLE);
	adapters->peers =
		peers_create(adapters->identity, &peers_events, adapters);
	adapters->server = conn_listen(adapters->identity,
				       adapters->options.listen_address,
				       adapters->options.listen_port,
				       &server_events, adapters, &error);
	if (!adapters->server)
		log_error("other instances can't connect", "error",
			  error->message, NULL);
	g_clear_error(&error);
	g_hash_table_iter_init(&iter, adapters->records);
	while (g_hash_table_iter_next(&iter, &instance, &record))
		keep_peer(adapters, instance, record);
}

void adapters_peers_instance(adapters_t *adapters, const char *instance,
			     const char *record)
{
	if (record)
		g_hash_table_insert(adapters->records, g_strdup(instance),
				    g_strdup(record));
	else
		g_hash_table_remove(adapters->records, instance);
	if (!adapters->peers)
		return;
	if (record)
		keep_peer(adapters, instance, record);
	else
		peers_remove(adapters->peers, instance);
}

static void send_ask(adapters_t *adapters, const char *holder, ask_id_t id,
		     const ask_t *ask)
{
	codec_writer_t writer;

	codec_write_init(&writer, MESSAGE_ASK, 9);
	codec_write_text(&writer, ask->engine);
	codec_write_text(&writer, ask->adapter);
	codec_write_int(&writer, id);
	codec_write_int(&writer, ask->version);
	codec_write_bool(&writer, ask->is_missing);
	codec_write_int(&writer, ask->request.prompt);
	codec_write_int(&writer, ask->request.priority);
	codec_write_int(&writer, ask->request.wait_max);
	codec_write_int(&writer, ask->load_max);
	peers_send(adapters->peers, holder, &writer);
}

ask_id_t adapters_ask(adapters_t *adapters, const ask_t *ask)
{
	held_engine_t *held = g_hash_table_lookup(adapters->held, ask->engine);
	const char *holder =
		engine_locks_holder(adapters->engine_locks, ask->engine);
	holder_news_t refusal = {.type = MESSAGE_REFUSED};
	ask_id_t id = ++adapters->last_ask;
	asked_t *asked = g_new0(asked_t, 1);

	asked->engine = g_strdup(ask->engine);
	asked->holder = held ? NULL : g_strdup(holder);
	g_hash_table_insert(adapters->asked, g_memdup2(&id, sizeof(id)), asked);
	if (held) {
		held_engine_ask(held, NULL, id, ask);
	} else if (holder && adapters->peers &&
		   peers_is_connected(adapters->peers, holder)) {
		send_ask(adapters, holder, id, ask);
	} else {
		refusal.ask = id;
		adapters_answer(adapters, NULL, &refusal);
	}
	return id;
}

void adapters_note_silent(adapters_t *adapters, ask_id_t id)
{
	const asked_t *asked = g_hash_table_lookup(adapters->asked, &id);
	ms_t now = ms_clock_now(process_clock(adapters->process));
	char *holder;

	if (!asked || !asked->holder)
		return;
	log_info("holder silent", "peer", asked->holder, "endpoint",
		 asked->engine, NULL);
	holder = g_strdup(asked->holder);
	g_hash_table_insert(adapters->silent, g_strdup(holder),
			    g_memdup2(&now, sizeof(now)));
	give_up_holder(adapters, holder, id, REFUSAL_SILENT);
	g_free(holder);
}

void adapters_done(adapters_t *adapters, ask_id_t id, gboolean has_run)
{
	asked_t *asked = g_hash_table_lookup(adapters->asked, &id);
	held_engine_t *held;
	codec_writer_t writer;

	if (!asked)
		return;
	held = g_hash_table_lookup(adapters->held, asked->engine);
	if (!asked->holder) {
		if (held)
			held_engine_done(held, NULL, id, has_run);
	} else if (peers_is_connected(adapters->peers, asked->holder)) {
		codec_write_init(&writer, MESSAGE_DONE, 3);
		codec_write_text(&writer, asked->engine);
		codec_write_int(&writer, id);
		codec_write_bool(&writer, has_run);
		peers_send(adapters->peers, asked->holder, &writer);
	}
	forget_asked(adapters, id);
}

void adapters_want(adapters_t *adapters, const char *engine,
		   const char *adapter, int64_t version)
{
	held_engine_t *held = g_hash_table_lookup(adapters->held, engine);
	const char *holder =
		engine_locks_holder(adapters->engine_locks, engine);
	codec_writer_t writer;

	if (held) {
		held_engine_want(held, adapter, version);
		return;
	}
	if (!holder || !adapters->peers ||
	    !peers_is_connected(adapters->peers, holder))
		return;
	codec_write_init(&writer, MESSAGE_LOAD_REQUEST, 3);
	codec_write_text(&writer, engine);
	codec_write_text(&writer, adapter);
	codec_write_int(&writer, version);
	peers_send(adapters->peers, holder, &writer);
}

/* Members of an item in a message, but for a value that is gone. */
#define NEWS_MEMBERS 4

typedef struct {
	adapters_t *adapters;
	const news_t *news;
} telling_t;

static void tell_peer(void *ctx, const char *name, gboolean is_up)
{
	const telling_t *at = ctx;
	const news_t *news = at->news;
	codec_writer_t writer;
	uint32_t members = 0;
	size_t i;

	if (!is_up)
		return;
	for (i = 0; i < news->count; i++)
		members += NEWS_MEMBERS + (news->items[i].value != NULL);
	codec_write_init(&writer, MESSAGE_NEWS, 3);
	codec_write_int(&writer, news->from);
	codec_write_int(&writer, news->to);
	codec_write_array(&writer, members);
	for (i = 0; i < news->count; i++) {
		const kv_item_t *item = &news->items[i];

		codec_write_text(&writer, item->key);
		codec_write_int(&writer, item->revision);
		codec_write_int(&writer, item->lease);
		codec_write_bool(&writer, item->value != NULL);
		if (item->value)
			codec_write_bytes(&writer, item->value, item->size);
	}
	peers_send(at->adapters->peers, name, &writer);
}

void adapters_tell_news(adapters_t *adapters, const news_t *news)
{
	telling_t at = {adapters, news};

	if (adapters->peers)
		peers_foreach(adapters->peers, tell_peer, &at);
}
