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

/* How often the head is read, beside the watch and without it. */
#define WATCHING_READ_MS 2000
#define QUIET_READ_MS	 30000

/* After a failed read, watch or fetch. */
#define RETRY_MS 500

/* A manifest with as many chunks as one may name. */
#define PART_SIZE_MAX (1024 * 1024)

struct follower_parse {
	follower_t *follower; /* NULL once it is destroyed */
	manifest_t *manifest;
	GHashTable *chunks; /* also those of before */
	document_t *before; /* in force, or NULL */
	GPtrArray *before_chunks;
	gboolean is_revised; /* made of the one before */
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
	/* The newest generation heard of, and who has it. */
	int64_t wanted;
	char *wanted_peer; /* NULL: the key-value service */
	int64_t refused;   /* this program can't read it */
	gather_t *gather;
	follower_parse_t *parse; /* under way, or NULL */
	ms_t gather_at;		 /* not before */
	gboolean is_watching;
	kv_watch_t *watch;
	gboolean is_reading;
	ms_t read_at; /* the next read of the head */
};

static void seek(follower_t *follower);

static void count(const char *what)
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
 * The generation in force never falls: whatever a lagging watch, a restarted
 * peer or a service restored from a copy may say.
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

/* Forget the chunks of the generation before that are in no use any more. */
static void prune(const manifest_t *manifest, GHashTable *chunks)
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

static void refuse(follower_t *follower, int64_t generation,
		   const GError *error)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, generation);
	log_error("document refused", "generation", text, "cause",
		  error->message, NULL);
	count("refused");
	follower->refused = MAX(follower->refused, generation);
}

/* What the document in force can be made into; NULL: it can't. */
static document_t *revise(follower_parse_t *parse, const char *text,
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
	parse->document = revise(parse, text, size);
	parse->is_revised = parse->document != NULL;
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
		refuse(follower, parse->manifest->generation, parse->error);
	} else if (parse->manifest->generation > follower->generation) {
		count(parse->is_revised ? "revised" : "parsed");
		prune(parse->manifest, parse->chunks);
		put_in_force(follower, g_steal_pointer(&parse->manifest),
			     g_steal_pointer(&parse->chunks),
			     g_steal_pointer(&parse->document));
	}
	parse_free(parse);
	seek(follower);
}

static void on_gathered(void *ctx, manifest_t *manifest, GHashTable *chunks,
			const GError *error)
{
	follower_t *follower = ctx;
	follower_parse_t *parse;

	if (error) {
		log_warn("document not fetched", "cause", error->message, NULL);
		count("failed");
		follower->gather_at = follower->now + RETRY_MS;
		/* A newer one may have taken the place of what was sought. */
		follower->read_at = MIN(follower->read_at, follower->gather_at);
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

static gboolean has_news(const follower_t *follower)
{
	return follower->wanted > follower->generation &&
	       follower->wanted > follower->refused;
}

/* Fetch what is wanted, unless a fetch is under way or it is too early. */
static void seek(follower_t *follower)
{
	if (!has_news(follower) || gather_is_busy(follower->gather) ||
	    follower->parse || follower->now < follower->gather_at)
		return;
	if (!follower->kv && !follower->wanted_peer)
		return;
	gather_start(follower->gather, follower->wanted, follower->wanted_peer,
		     follower->chunks, follower->now);
	/* The next try asks the service, or a peer that offers it again. */
	g_clear_pointer(&follower->wanted_peer, g_free);
}

static void on_news(follower_t *follower, int64_t generation, const char *peer)
{
	if (generation < follower->generation) {
		count("older");
		return;
	}
	if (generation < follower->wanted)
		return;
	if (generation > follower->wanted) {
		follower->wanted = generation;
		g_clear_pointer(&follower->wanted_peer, g_free);
		follower->gather_at = follower->now;
	}
	if (peer && !follower->wanted_peer)
		follower->wanted_peer = g_strdup(peer);
	seek(follower);
}

static void on_head_item(follower_t *follower, const kv_item_t *item)
{
	manifest_t *head;

	if (!item->value || strcmp(item->key, KEY_HEAD) != 0)
		return;
	head = manifest_parse(item->value, item->size, NULL);
	if (!head) {
		count("malformed");
		return;
	}
	on_news(follower, head->generation, NULL);
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
	ms_t pause = follower->is_watching ? WATCHING_READ_MS : QUIET_READ_MS;

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
	const gather_events_t events = {on_ask_peer, on_gathered};
	follower_t *follower = g_new0(follower_t, 1);

	follower->kv = kv;
	follower->actions = *actions;
	follower->ctx = ctx;
	follower->now = now;
	follower->read_at = now;
	follower->is_watching = TRUE;
	follower->gather = gather_create(kv, &events, follower);
	return follower;
}

void follower_destroy(follower_t *follower)
{
	gather_destroy(follower->gather);
	if (follower->parse)
		follower->parse->follower = NULL;
	document_unref(follower->document);
	manifest_destroy(follower->manifest);
	if (follower->chunks)
		g_hash_table_destroy(follower->chunks);
	g_free(follower->wanted_peer);
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
	gather_tick(follower->gather, now);
	read_head(follower);
	seek(follower);
}

void follower_offer(follower_t *follower, int64_t generation, const char *peer)
{
	if (follower->actions.ask_peer)
		on_news(follower, generation, peer);
}

void follower_peer_answer(follower_t *follower, uint64_t ticket,
			  const char *data, size_t size)
{
	GBytes *part;

	if (!data || !pack_is_packed(data, size)) {
		gather_peer_answer(follower->gather, ticket, data, size);
		return;
	}
	part = unpack(data, size, PART_SIZE_MAX);
	if (!part) {
		gather_peer_answer(follower->gather, ticket, NULL, 0);
		return;
	}
	data = g_bytes_get_data(part, &size);
	gather_peer_answer(follower->gather, ticket, data, size);
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
