#include "config/follower.h"

#include <string.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "config/chunk.h"
#include "config/doc_fetch.h"
#include "config/keys.h"
#include "config/pack.h"
#include "config/parse_incremental.h"

/* Interval between reads of the head, with and without a watch. */
#define WATCHED_READ_MS	  2000
#define UNWATCHED_READ_MS 30000

/* Delay after a failed read, watch or fetch. */
#define RETRY_MS 500

/* Fits a manifest with the maximum number of chunk names. */
#define PART_SIZE_MAX (1024 * 1024)

struct follower_parse {
	follower_t *follower; /* NULL once it is destroyed */
	manifest_t *manifest;
	GHashTable *chunks; /* including those of before */
	document_t *before; /* the document in force, or NULL */
	GPtrArray *before_chunks;
	gboolean is_incremental; /* parsed incrementally from before */
	document_t *document;
	GError *error;
};

struct follower {
	kv_t *kv;
	follower_actions_t actions;
	void *ctx;
	ms_t now;
	/* In force. */
	int64_t generation;
	document_t *document;
	manifest_t *manifest;
	GHashTable *chunks; /* from name to GBytes */
	/* The newest known generation, and the peer that has it. */
	int64_t target;
	char *target_peer; /* NULL: the key-value service */
	int64_t rejected;  /* newest generation that failed to parse */
	doc_fetch_t *fetch;
	follower_parse_t *parse; /* in progress, or NULL */
	ms_t fetch_at;		 /* earliest time of the next fetch */
	gboolean is_watching;
	kv_watch_t *watch;
	gboolean is_reading;
	ms_t read_at; /* time of the next read of the head */
};

static void start_fetch(follower_t *follower);

static void count_news(const char *what)
{
	char *name = g_strdup_printf("hc_config_news_total{kind=\"%s\"}", what);

	counter_add(counter_get(name), 1);
	g_free(name);
}

static void log_generation(const char *event, int64_t generation,
			   const char *cause)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, generation);
	log_info(event, "generation", text, "cause", cause, NULL);
}

/*
 * The generation in force never decreases, even if a lagging watch, a restarted
 * peer or a key-value service restored from a backup reports an older one.
 */
static void put_in_force(follower_t *follower, manifest_t *manifest,
			 GHashTable *chunks, document_t *document)
{
	g_assert(manifest->generation > follower->generation);
	g_assert(document_generation(document) == manifest->generation);
	document_unref(follower->document);
	manifest_destroy(follower->manifest);
	g_clear_pointer(&follower->chunks, g_hash_table_destroy);
	follower->document = document;
	follower->manifest = manifest;
	follower->chunks = chunks;
	follower->generation = manifest->generation;
	counter_set(counter_get("hc_config_generation"), follower->generation);
	log_generation("document in force", follower->generation, NULL);
	follower->actions.on_document(follower->ctx, document);
}

static gboolean is_in_manifest(const manifest_t *manifest, const char *name)
{
	return g_ptr_array_find_with_equal_func(manifest->chunks, name,
						g_str_equal, NULL);
}

/* Remove chunks of the previous generation that are no longer used. */
static void remove_unused_chunks(const manifest_t *manifest, GHashTable *chunks)
{
	GHashTableIter iter;
	gpointer name;

	if (g_hash_table_size(chunks) <= manifest->chunks->len)
		return;
	g_hash_table_iter_init(&iter, chunks);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!is_in_manifest(manifest, name))
			g_hash_table_iter_remove(&iter);
	}
}

static void reject(follower_t *follower, int64_t generation,
		   const GError *error)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, generation);
	log_error("document refused", "generation", text, "cause",
		  error->message, NULL);
	count_news("refused");
	follower->rejected = MAX(follower->rejected, generation);
}

/* Parse incrementally from the document in force; NULL if not possible. */
static document_t *parse_incremental(follower_parse_t *parse, const char *text,
				     size_t size)
{
	size_t before_size;
	char *before;
	document_t *document;

	if (!parse->before)
		return NULL;
	before = chunk_concat(parse->before_chunks, parse->chunks, &before_size,
			      NULL);
	if (!before)
		return NULL;
	document = document_parse_incremental(parse->before, before,
					      before_size, text, size,
					      parse->manifest->generation);
	g_free(before);
	return document;
}

void follower_parse_run(follower_parse_t *parse)
{
	size_t size;
	char *text = chunk_join(parse->manifest, parse->chunks, &size,
				&parse->error);

	if (!text)
		return;
	parse->document = parse_incremental(parse, text, size);
	parse->is_incremental = parse->document != NULL;
	if (!parse->document)
		parse->document = document_parse(
			text, size, parse->manifest->generation, &parse->error);
	g_free(text);
}

static void parse_free(follower_parse_t *parse)
{
	document_unref(parse->document);
	document_unref(parse->before);
	if (parse->before_chunks)
		g_ptr_array_unref(parse->before_chunks);
	manifest_destroy(parse->manifest);
	if (parse->chunks)
		g_hash_table_destroy(parse->chunks);
	g_clear_error(&parse->error);
	g_free(parse);
}

void follower_parse_end(follower_parse_t *parse)
{
	follower_t *follower = parse->follower;

	if (!follower) {
		parse_free(parse);
		return;
	}
	follower->parse = NULL;
	if (parse->error) {
		reject(follower, parse->manifest->generation, parse->error);
	} else if (parse->manifest->generation > follower->generation) {
		count_news(parse->is_incremental ? "revised" : "parsed");
		remove_unused_chunks(parse->manifest, parse->chunks);
		put_in_force(follower, g_steal_pointer(&parse->manifest),
			     g_steal_pointer(&parse->chunks),
			     g_steal_pointer(&parse->document));
	}
	parse_free(parse);
	start_fetch(follower);
}

static void on_fetched(void *ctx, manifest_t *manifest, GHashTable *chunks,
		       const GError *error)
{
	follower_t *follower = ctx;
	follower_parse_t *parse;

	if (error) {
		log_warn("document not fetched", "cause", error->message, NULL);
		count_news("failed");
		follower->fetch_at = follower->now + RETRY_MS;
		/* It may have been deleted after a newer commit. */
		follower->read_at = MIN(follower->read_at, follower->fetch_at);
		return;
	}
	parse = g_new0(follower_parse_t, 1);
	parse->follower = follower;
	parse->manifest = manifest;
	parse->chunks = chunks;
	if (follower->document) {
		parse->before = document_ref(follower->document);
		parse->before_chunks =
			g_ptr_array_ref(follower->manifest->chunks);
	}
	follower->parse = parse;
	if (follower->actions.parse) {
		follower->actions.parse(follower->ctx, parse);
	} else {
		follower_parse_run(parse);
		follower_parse_end(parse);
	}
}

static gboolean has_newer_generation(const follower_t *follower)
{
	return follower->target > follower->generation &&
	       follower->target > follower->rejected;
}

/* Fetch the newest known generation unless busy or before the retry time. */
static void start_fetch(follower_t *follower)
{
	if (!has_newer_generation(follower) ||
	    doc_fetch_is_busy(follower->fetch) || follower->parse ||
	    follower->now < follower->fetch_at)
		return;
	if (!follower->kv && !follower->target_peer)
		return;
	doc_fetch_start(follower->fetch, follower->target,
			follower->target_peer, follower->chunks, follower->now);
	/* A retry uses the service, or a peer that offers it again. */
	g_clear_pointer(&follower->target_peer, g_free);
}

static void on_generation(follower_t *follower, int64_t generation,
			  const char *peer)
{
	if (generation < follower->generation) {
		count_news("older");
		return;
	}
	if (generation < follower->target)
		return;
	if (generation > follower->target) {
		follower->target = generation;
		g_clear_pointer(&follower->target_peer, g_free);
		follower->fetch_at = follower->now;
	}
	if (peer && !follower->target_peer)
		follower->target_peer = g_strdup(peer);
	start_fetch(follower);
}

static void on_head_item(follower_t *follower, const kv_item_t *item)
{
	manifest_t *head;

	if (!item->value || strcmp(item->key, KEY_HEAD) != 0)
		return;
	head = manifest_parse(item->value, item->size, NULL);
	if (!head) {
		count_news("malformed");
		return;
	}
	on_generation(follower, head->generation, NULL);
	manifest_destroy(head);
}

static void on_watch_event(void *ctx, const kv_item_t *item)
{
	on_head_item(ctx, item);
}

static void on_watch_end(void *ctx, const GError *error)
{
	follower_t *follower = ctx;

	follower->watch = NULL;
	follower->read_at = follower->now + RETRY_MS;
}

static void on_head(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t item_count, int64_t revision, const GError *error)
{
	follower_t *follower = ctx;
	ms_t pause =
		follower->is_watching ? WATCHED_READ_MS : UNWATCHED_READ_MS;

	follower->is_reading = FALSE;
	if (status != KV_DONE) {
		follower->read_at = follower->now + RETRY_MS;
		return;
	}
	follower->read_at = follower->now + pause;
	if (follower->is_watching && !follower->watch)
		follower->watch =
			kv_watch(follower->kv, KEY_HEAD, revision,
				 on_watch_event, on_watch_end, follower);
	if (item_count)
		on_head_item(follower, items);
}

static void read_head(follower_t *follower)
{
	if (!follower->kv || follower->is_reading ||
	    follower->now < follower->read_at)
		return;
	follower->is_reading = TRUE;
	kv_read(follower->kv, KEY_HEAD, on_head, follower);
}

static void on_ask_peer(void *ctx, const char *peer, const char *name,
			uint64_t ticket)
{
	follower_t *follower = ctx;

	follower->actions.ask_peer(follower->ctx, peer, name, ticket);
}

follower_t *follower_create(kv_t *kv, const follower_actions_t *actions,
			    void *ctx, ms_t now)
{
	const doc_fetch_events_t events = {on_ask_peer, on_fetched};
	follower_t *follower = g_new0(follower_t, 1);

	follower->kv = kv;
	follower->actions = *actions;
	follower->ctx = ctx;
	follower->now = now;
	follower->read_at = now;
	follower->is_watching = TRUE;
	follower->fetch = doc_fetch_create(kv, &events, follower);
	return follower;
}

void follower_destroy(follower_t *follower)
{
	doc_fetch_destroy(follower->fetch);
	if (follower->parse)
		follower->parse->follower = NULL;
	document_unref(follower->document);
	manifest_destroy(follower->manifest);
	if (follower->chunks)
		g_hash_table_destroy(follower->chunks);
	g_free(follower->target_peer);
	g_free(follower);
}

void follower_set_watching(follower_t *follower, gboolean is_watching)
{
	if (follower->is_watching == is_watching)
		return;
	follower->is_watching = is_watching;
	if (is_watching) {
		follower->read_at = follower->now;
	} else if (follower->watch) {
		kv_watch_cancel(follower->kv, follower->watch);
		follower->watch = NULL;
	}
}

void follower_tick(follower_t *follower, ms_t now)
{
	follower->now = now;
	doc_fetch_tick(follower->fetch, now);
	read_head(follower);
	start_fetch(follower);
}

void follower_offer(follower_t *follower, int64_t generation, const char *peer)
{
	if (follower->actions.ask_peer)
		on_generation(follower, generation, peer);
}

void follower_peer_answer(follower_t *follower, uint64_t ticket,
			  const char *data, size_t size)
{
	GBytes *part;

	if (!data || !pack_is_packed(data, size)) {
		doc_fetch_peer_answer(follower->fetch, ticket, data, size);
		return;
	}
	part = unpack(data, size, PART_SIZE_MAX);
	if (!part) {
		doc_fetch_peer_answer(follower->fetch, ticket, NULL, 0);
		return;
	}
	data = g_bytes_get_data(part, &size);
	doc_fetch_peer_answer(follower->fetch, ticket, data, size);
	g_bytes_unref(part);
}

static GBytes *find_part(follower_t *follower, const char *name)
{
	GBytes *found = NULL;
	char *key;
	char *text;

	if (!follower->manifest)
		return NULL;
	if (g_str_has_prefix(name, KEY_CHUNK)) {
		found = g_hash_table_lookup(follower->chunks,
					    name + strlen(KEY_CHUNK));
		return found ? g_bytes_ref(found) : NULL;
	}
	key = key_of_generation(KEY_GENERATION, follower->generation);
	if (!strcmp(key, name)) {
		text = manifest_render(follower->manifest);
		found = g_bytes_new_take(text, strlen(text));
	}
	g_free(key);
	return found;
}

GBytes *follower_serve(follower_t *follower, const char *name)
{
	GBytes *part = find_part(follower, name);
	GBytes *packed = part ? pack(part) : NULL;

	if (!packed)
		return part;
	g_bytes_unref(part);
	return packed;
}

int64_t follower_generation(const follower_t *follower)
{
	return follower->generation;
}

document_t *follower_document(const follower_t *follower)
{
	return follower->document;
}

char *follower_text(const follower_t *follower, size_t *size)
{
	if (!follower->manifest)
		return NULL;
	return chunk_join(follower->manifest, follower->chunks, size, NULL);
}
