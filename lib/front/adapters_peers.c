#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "wire/codec.h"

/* The longest name of an engine or adapter in a message. */
#define NAME_MAX_BYTES 256

/* Of these connections in their greeting. */
#define ROLE "front"

/* What this instance is told by itself waits until the caller is done. */
typedef struct {
	news_kind_t kind;
	char *engine;
	char *adapter;
	int64_t version;
} local_news_t;

static void news_arrived(adapters_t *adapters, news_kind_t kind,
			 const char *engine, const char *adapter,
			 int64_t version)
{
	if (kind == NEWS_REFUSED)
		adapters->events.on_refused(adapters->ctx, engine, adapter);
	else
		adapters->events.on_adapter(adapters->ctx, engine, adapter,
					    kind == NEWS_READY ? version : 0);
}

static void on_local_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void on_local(uv_timer_t *timer)
{
	void **at = timer->data;
	adapters_t *adapters = at[0];
	local_news_t *news = at[1];

	news_arrived(adapters, news->kind, news->engine, news->adapter,
		     news->version);
	g_free(news->engine);
	g_free(news->adapter);
	g_free(news);
	g_free(at);
	uv_close((uv_handle_t *)timer, on_local_closed);
}

static void tell_self(adapters_t *adapters, news_kind_t kind,
		      const char *engine, const char *adapter, int64_t version)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);
	local_news_t *news = g_new0(local_news_t, 1);
	void **at = g_new(void *, 2);

	news->kind = kind;
	news->engine = g_strdup(engine);
	news->adapter = g_strdup(adapter);
	news->version = version;
	at[0] = adapters;
	at[1] = news;
	uv_timer_init(process_loop(adapters->process), timer);
	timer->data = at;
	uv_timer_start(timer, on_local, 0, 0);
}

static void write_news(codec_writer_t *writer, news_kind_t kind,
		       const char *engine, const char *adapter, int64_t version)
{
	codec_write_init(writer, kind, 3);
	codec_write_text(writer, engine);
	codec_write_text(writer, adapter);
	codec_write_int(writer, version);
}

void adapters_tell(adapters_t *adapters, conn_t *subscriber, news_kind_t kind,
		   const char *engine, const char *adapter, int64_t version)
{
	codec_writer_t writer;

	if (!subscriber) {
		tell_self(adapters, kind, engine, adapter, version);
		return;
	}
	write_news(&writer, kind, engine, adapter, version);
	conn_send(subscriber, &writer);
}

static gboolean read_news(codec_reader_t *reader, char **engine, char **adapter,
			  int64_t *version)
{
	*engine = codec_read_text(reader, NAME_MAX_BYTES);
	*adapter = codec_read_text(reader, NAME_MAX_BYTES);
	*version = codec_read_int(reader, 0, INT64_MAX);
	return codec_read_end(reader) && *engine && *adapter;
}

static void log_unreadable(const char *peer)
{
	log_warn("message of a peer unreadable", "peer", peer, NULL);
}

static void take_used(adapters_t *adapters, codec_reader_t *reader)
{
	ms_t now = ms_clock_now(process_clock(adapters->process));
	char *engine = codec_read_text(reader, NAME_MAX_BYTES);
	held_engine_t *held =
		engine ? g_hash_table_lookup(adapters->held, engine) : NULL;
	codec_reader_t names;

	codec_read_array(reader, &names);
	while (names.left && !names.is_failed) {
		char *adapter = codec_read_text(&names, NAME_MAX_BYTES);

		if (adapter && held && held->cache)
			adapter_cache_touch(held->cache, now, adapter);
		g_free(adapter);
	}
	g_free(engine);
}

/* A message of an instance that connected here. */
static void on_request(void *ctx, conn_t *conn, const msgpack_object *message)
{
	adapters_t *adapters = ctx;
	codec_reader_t reader;
	held_engine_t *held;
	char *engine = NULL;
	char *adapter = NULL;
	int64_t version;
	int type;

	codec_read_init(&reader, message, &type);
	if (type == NEWS_USED) {
		take_used(adapters, &reader);
		return;
	}
	if (type != NEWS_WANT ||
	    !read_news(&reader, &engine, &adapter, &version)) {
		log_unreadable(conn_peer_instance(conn));
	} else {
		held = g_hash_table_lookup(adapters->held, engine);
		if (held)
			held_engine_want(held, conn, adapter, version);
		else
			adapters_tell(adapters, conn, NEWS_REFUSED, engine,
				      adapter, 0);
	}
	g_free(engine);
	g_free(adapter);
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
	codec_reader_t reader;
	char *engine = NULL;
	char *adapter = NULL;
	int64_t version;
	int type;

	codec_read_init(&reader, message, &type);
	if (type < NEWS_READY || type > NEWS_REFUSED ||
	    !read_news(&reader, &engine, &adapter, &version))
		log_unreadable(name);
	else
		news_arrived(adapters, (news_kind_t)type, engine, adapter,
			     version);
	g_free(engine);
	g_free(adapter);
}

static void on_up(void *ctx, const char *name)
{
	log_info("peer connected", "peer", name, NULL);
}

typedef struct {
	adapters_t *adapters;
	const char *holder;
} lost_holder_t;

/* Who waits for an adapter there is told; news may have been lost. */
static void refuse_engine(void *ctx, fleet_endpoint_t *endpoint)
{
	const lost_holder_t *lost = ctx;
	adapters_t *adapters = lost->adapters;
	const char *holder = holdings_holder(adapters->holdings,
					     fleet_endpoint_id(endpoint));

	if (holder && !strcmp(holder, lost->holder))
		adapters->events.on_refused(adapters->ctx,
					    fleet_endpoint_id(endpoint), NULL);
}

static void on_down(void *ctx, const char *name)
{
	adapters_t *adapters = ctx;
	lost_holder_t lost = {adapters, name};

	log_info("peer lost", "peer", name, NULL);
	fleet_each(adapters->fleet, refuse_engine, &lost);
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
		peers_keep(adapters->peers, instance, address, port);
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
		peers_forget(adapters->peers, instance);
}

gboolean adapters_peers_want(adapters_t *adapters, const char *holder,
			     const char *engine, const char *adapter,
			     int64_t version)
{
	codec_writer_t writer;

	if (!adapters->peers || !peers_is_up(adapters->peers, holder))
		return FALSE;
	write_news(&writer, NEWS_WANT, engine, adapter, version);
	return peers_send(adapters->peers, holder, &writer);
}

static void tell_used(adapters_t *adapters, const char *engine,
		      GPtrArray *names)
{
	const char *holder = holdings_holder(adapters->holdings, engine);
	held_engine_t *held = g_hash_table_lookup(adapters->held, engine);
	ms_t now = ms_clock_now(process_clock(adapters->process));
	codec_writer_t writer;
	guint i;

	if (held) {
		for (i = 0; held->cache && i < names->len; i++)
			adapter_cache_touch(held->cache, now, names->pdata[i]);
		return;
	}
	if (!holder || !adapters->peers ||
	    !peers_is_up(adapters->peers, holder))
		return;
	codec_write_init(&writer, NEWS_USED, 2);
	codec_write_text(&writer, engine);
	codec_write_array(&writer, names->len);
	for (i = 0; i < names->len; i++)
		codec_write_text(&writer, names->pdata[i]);
	peers_send(adapters->peers, holder, &writer);
}

void adapters_peers_flush_used(adapters_t *adapters)
{
	GHashTable *engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	GHashTableIter iter;
	gpointer key;
	gpointer names;

	g_hash_table_iter_init(&iter, adapters->used);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const char *space = strchr(key, ' ');
		char *engine = g_strndup(key, (gsize)(space - (char *)key));

		names = g_hash_table_lookup(engines, engine);
		if (!names) {
			names = g_ptr_array_new();
			g_hash_table_insert(engines, g_strdup(engine), names);
		}
		g_ptr_array_add(names, (gpointer)(space + 1));
		g_free(engine);
	}
	g_hash_table_iter_init(&iter, engines);
	while (g_hash_table_iter_next(&iter, &key, &names))
		tell_used(adapters, key, names);
	g_hash_table_destroy(engines);
	g_hash_table_remove_all(adapters->used);
}
