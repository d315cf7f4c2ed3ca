#include "config/doc_fetch.h"

#include <string.h>

#include "base/error.h"
#include "config/keys.h"

/* Maximum number of parts requested concurrently. */
#define PARALLEL_MAX 8

/* Above this number of missing chunks, one read of all chunks is cheaper. */
#define SINGLE_READS_MAX 24

#define PEER_TIMEOUT_MS 1000

struct doc_fetch {
	kv_t *kv;
	doc_fetch_events_t events;
	void *ctx;
	gboolean is_busy;
	int64_t generation;
	char *peer; /* NULL: use the key-value service */
	manifest_t *manifest;
	GHashTable *chunks;
	GQueue missing;	     /* names, owned by the manifest */
	GHashTable *tickets; /* outstanding peer requests, from ticket to key */
	uint64_t next_ticket;
	ms_t now;
	ms_t last_answer;
	guint reads; /* outstanding calls to the key-value service */
	GHashTable *chunk_reads; /* of chunk_read_t, a subset of reads */
	GError *error;
};

/* Context of an outstanding read of one chunk. */
typedef struct {
	doc_fetch_t *fetch;
	const char *name;
} chunk_read_t;

static void advance(doc_fetch_t *fetch);

static GHashTable *create_chunks(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

doc_fetch_t *doc_fetch_create(kv_t *kv, const doc_fetch_events_t *events,
			      void *ctx)
{
	doc_fetch_t *fetch = g_new0(doc_fetch_t, 1);

	fetch->kv = kv;
	fetch->events = *events;
	fetch->ctx = ctx;
	fetch->next_ticket = 1;
	fetch->chunk_reads = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	g_queue_init(&fetch->missing);
	fetch->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	return fetch;
}

static void reset(doc_fetch_t *fetch)
{
	g_clear_pointer(&fetch->peer, g_free);
	g_clear_pointer(&fetch->manifest, manifest_destroy);
	g_clear_pointer(&fetch->chunks, g_hash_table_destroy);
	g_queue_clear(&fetch->missing);
	g_hash_table_remove_all(fetch->tickets);
	g_clear_error(&fetch->error);
	fetch->is_busy = FALSE;
}

void doc_fetch_destroy(doc_fetch_t *fetch)
{
	reset(fetch);
	g_hash_table_destroy(fetch->tickets);
	g_hash_table_destroy(fetch->chunk_reads);
	g_free(fetch);
}

gboolean doc_fetch_is_busy(const doc_fetch_t *fetch)
{
	return fetch->is_busy;
}

static void finish(doc_fetch_t *fetch)
{
	manifest_t *manifest = g_steal_pointer(&fetch->manifest);
	GHashTable *chunks = g_steal_pointer(&fetch->chunks);
	GError *error = g_steal_pointer(&fetch->error);

	if (error) {
		g_clear_pointer(&manifest, manifest_destroy);
		g_clear_pointer(&chunks, g_hash_table_destroy);
	}
	reset(fetch);
	fetch->events.done(fetch->ctx, manifest, chunks, error);
	g_clear_error(&error);
}

/* Record the first failure; outstanding calls are still waited for. */
static void fail(doc_fetch_t *fetch, error_kind_t kind, const char *what)
{
	if (fetch->error)
		return;
	error_set(&fetch->error, kind,
		  "generation %" G_GINT64_FORMAT " can't be read: %s",
		  fetch->generation, what);
}

static void list_missing(doc_fetch_t *fetch)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	g_queue_clear(&fetch->missing);
	for (i = 0; i < fetch->manifest->chunks->len; i++) {
		char *name = g_ptr_array_index(fetch->manifest->chunks, i);

		if (!g_hash_table_contains(fetch->chunks, name) &&
		    g_hash_table_add(seen, name))
			g_queue_push_tail(&fetch->missing, name);
	}
	g_hash_table_destroy(seen);
}

static gboolean accept_manifest(doc_fetch_t *fetch, const char *data,
				size_t size)
{
	manifest_t *manifest = manifest_parse(data, size, NULL);

	if (!manifest || !manifest->chunks ||
	    manifest->generation != fetch->generation) {
		manifest_destroy(manifest);
		return FALSE;
	}
	fetch->manifest = manifest;
	list_missing(fetch);
	return TRUE;
}

static gboolean accept_chunk(doc_fetch_t *fetch, const char *name,
			     const char *data, size_t size)
{
	char *content = chunk_name(data, size);
	gboolean ok = !strcmp(content, name);

	if (ok)
		g_hash_table_replace(fetch->chunks, content,
				     g_bytes_new(data, size));
	else
		g_free(content);
	return ok;
}

/* Peers. */

/* Takes ownership of the key. */
static void request_from_peer(doc_fetch_t *fetch, char *key)
{
	int64_t *ticket = g_new(int64_t, 1);

	*ticket = (int64_t)fetch->next_ticket++;
	g_hash_table_insert(fetch->tickets, ticket, key);
	fetch->events.ask_peer(fetch->ctx, fetch->peer, key, (uint64_t)*ticket);
}

static void abandon_peer(doc_fetch_t *fetch)
{
	g_clear_pointer(&fetch->peer, g_free);
	g_hash_table_remove_all(fetch->tickets);
	if (!fetch->kv)
		fail(fetch, ERROR_UNAVAILABLE, "no valid answer from the peer");
	else if (fetch->manifest)
		list_missing(fetch);
	advance(fetch);
}

void doc_fetch_peer_answer(doc_fetch_t *fetch, uint64_t ticket,
			   const char *data, size_t size)
{
	int64_t key = (int64_t)ticket;
	const char *part = g_hash_table_lookup(fetch->tickets, &key);
	gboolean ok = FALSE;

	if (!part)
		return;
	fetch->last_answer = fetch->now;
	if (data && !fetch->manifest)
		ok = accept_manifest(fetch, data, size);
	else if (data)
		ok = accept_chunk(fetch, part + strlen(KEY_CHUNK), data, size);
	g_hash_table_remove(fetch->tickets, &key);
	if (ok)
		advance(fetch);
	else
		abandon_peer(fetch);
}

void doc_fetch_tick(doc_fetch_t *fetch, ms_t now)
{
	fetch->now = now;
	if (fetch->is_busy && fetch->peer &&
	    now - fetch->last_answer >= PEER_TIMEOUT_MS)
		abandon_peer(fetch);
}

/* The key-value service. */

static void on_manifest(void *ctx, kv_status_t status, const kv_item_t *items,
			size_t count, int64_t revision, const GError *error)
{
	doc_fetch_t *fetch = ctx;

	fetch->reads--;
	if (status != KV_DONE)
		fail(fetch, ERROR_UNAVAILABLE,
		     "the key-value service doesn't answer; try again");
	else if (!count || !accept_manifest(fetch, items->value, items->size))
		fail(fetch, ERROR_NOT_FOUND,
		     "no such generation is kept; ask for a newer one");
	advance(fetch);
}

static void read_manifest(doc_fetch_t *fetch)
{
	char *key = key_of_generation(KEY_GENERATION, fetch->generation);

	fetch->reads++;
	kv_read(fetch->kv, key, on_manifest, fetch);
	g_free(key);
}

static void on_chunk(void *ctx, kv_status_t status, const kv_item_t *items,
		     size_t count, int64_t revision, const GError *error)
{
	chunk_read_t *read = ctx;
	doc_fetch_t *fetch = read->fetch;

	fetch->reads--;
	if (status != KV_DONE)
		fail(fetch, ERROR_UNAVAILABLE,
		     "the key-value service doesn't answer; try again");
	else if (!count ||
		 !accept_chunk(fetch, read->name, items->value, items->size))
		fail(fetch, ERROR_NOT_FOUND,
		     "a chunk is missing; request a newer generation");
	g_hash_table_remove(fetch->chunk_reads, read);
	advance(fetch);
}

static void read_chunk(doc_fetch_t *fetch, const char *name)
{
	chunk_read_t *read = g_new0(chunk_read_t, 1);
	char *key = g_strconcat(KEY_CHUNK, name, NULL);

	read->fetch = fetch;
	read->name = name;
	g_hash_table_add(fetch->chunk_reads, read);
	fetch->reads++;
	kv_read(fetch->kv, key, on_chunk, read);
	g_free(key);
}

static void on_all_chunks(void *ctx, kv_status_t status, const kv_item_t *items,
			  size_t count, int64_t revision, const GError *error)
{
	doc_fetch_t *fetch = ctx;
	GHashTable *missing_names = g_hash_table_new(g_str_hash, g_str_equal);
	GList *at;
	size_t i;

	fetch->reads--;
	for (at = fetch->missing.head; at; at = at->next)
		g_hash_table_add(missing_names, at->data);
	for (i = 0; i < count; i++) {
		const char *name = items[i].key + strlen(KEY_CHUNK);

		if (g_hash_table_contains(missing_names, name))
			accept_chunk(fetch, name, items[i].value,
				     items[i].size);
	}
	g_hash_table_destroy(missing_names);
	/* Read the chunks that the list lacked one by one. */
	list_missing(fetch);
	while (fetch->reads < PARALLEL_MAX &&
	       !g_queue_is_empty(&fetch->missing))
		read_chunk(fetch, g_queue_pop_head(&fetch->missing));
	if (!fetch->reads)
		advance(fetch);
}

static void read_chunks(doc_fetch_t *fetch)
{
	if (!fetch->reads && fetch->missing.length > SINGLE_READS_MAX) {
		fetch->reads++;
		kv_list(fetch->kv, KEY_CHUNK, on_all_chunks, fetch);
		return;
	}
	while (fetch->reads < PARALLEL_MAX &&
	       !g_queue_is_empty(&fetch->missing))
		read_chunk(fetch, g_queue_pop_head(&fetch->missing));
}

static void request_chunks(doc_fetch_t *fetch)
{
	while (g_hash_table_size(fetch->tickets) < PARALLEL_MAX &&
	       !g_queue_is_empty(&fetch->missing))
		request_from_peer(fetch,
				  g_strconcat(KEY_CHUNK,
					      g_queue_pop_head(&fetch->missing),
					      NULL));
}

static void advance(doc_fetch_t *fetch)
{
	guint open = fetch->reads + g_hash_table_size(fetch->tickets);

	if (fetch->error) {
		if (!open)
			finish(fetch);
	} else if (!fetch->manifest) {
		if (fetch->peer)
			request_from_peer(fetch,
					  key_of_generation(KEY_GENERATION,
							    fetch->generation));
		else
			read_manifest(fetch);
	} else if (!open && g_queue_is_empty(&fetch->missing)) {
		finish(fetch);
	} else if (fetch->peer) {
		request_chunks(fetch);
	} else {
		read_chunks(fetch);
	}
}

static void copy_known(doc_fetch_t *fetch, GHashTable *known)
{
	GHashTableIter iter;
	gpointer name;
	gpointer bytes;

	g_hash_table_iter_init(&iter, known);
	while (g_hash_table_iter_next(&iter, &name, &bytes))
		g_hash_table_insert(fetch->chunks, g_strdup(name),
				    g_bytes_ref(bytes));
}

void doc_fetch_start(doc_fetch_t *fetch, int64_t generation, const char *peer,
		     GHashTable *known, ms_t now)
{
	g_assert(!fetch->is_busy);
	g_assert(peer || fetch->kv);
	fetch->is_busy = TRUE;
	fetch->generation = generation;
	fetch->peer = g_strdup(peer);
	fetch->now = now;
	fetch->last_answer = now;
	fetch->chunks = create_chunks();
	if (known)
		copy_known(fetch, known);
	advance(fetch);
}
