#include "config/doc_fetch.h"

#include <string.h>

#include "base/error.h"
#include "config/keys.h"

/* Parts asked for at one time. */
#define PARALLEL_MAX 8

/* With more chunks missing, one read of all is cheaper than one of each. */
#define SINGLE_READS_MAX 24

#define PEER_TIMEOUT_MS 1000

struct gather {
	kv_t *kv;
	gather_events_t events;
	void *ctx;
	gboolean is_busy;
	int64_t generation;
	char *peer; /* NULL: ask the key-value service */
	manifest_t *manifest;
	GHashTable *chunks;
	GQueue missing;	     /* names, owned by the manifest */
	GHashTable *tickets; /* of peers: from ticket to key */
	uint64_t next_ticket;
	ms_t now;
	ms_t last_answer;
	guint reads; /* calls of the key-value service that are open */
	GHashTable *chunk_reads; /* of chunk_read_t, those among them */
	GError *error;
};

/* One read of a chunk. */
typedef struct {
	gather_t *gather;
	const char *name;
} chunk_read_t;

static void advance(gather_t *gather);

static GHashTable *create_chunks(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

gather_t *gather_create(kv_t *kv, const gather_events_t *events, void *ctx)
{
	gather_t *gather = g_new0(gather_t, 1);

	gather->kv = kv;
	gather->events = *events;
	gather->ctx = ctx;
	gather->next_ticket = 1;
	gather->chunk_reads = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	g_queue_init(&gather->missing);
	gather->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	return gather;
}

static void reset(gather_t *gather)
{
	g_clear_pointer(&gather->peer, g_free);
	g_clear_pointer(&gather->manifest, manifest_destroy);
	g_clear_pointer(&gather->chunks, g_hash_table_destroy);
	g_queue_clear(&gather->missing);
	g_hash_table_remove_all(gather->tickets);
	g_clear_error(&gather->error);
	gather->is_busy = FALSE;
}

void gather_destroy(gather_t *gather)
{
	reset(gather);
	g_hash_table_destroy(gather->tickets);
	g_hash_table_destroy(gather->chunk_reads);
	g_free(gather);
}

gboolean gather_is_busy(const gather_t *gather)
{
	return gather->is_busy;
}

static void finish(gather_t *gather)
{
	manifest_t *manifest = g_steal_pointer(&gather->manifest);
	GHashTable *chunks = g_steal_pointer(&gather->chunks);
	GError *error = g_steal_pointer(&gather->error);

	if (error) {
		g_clear_pointer(&manifest, manifest_destroy);
		g_clear_pointer(&chunks, g_hash_table_destroy);
	}
	reset(gather);
	gather->events.done(gather->ctx, manifest, chunks, error);
	g_clear_error(&error);
}

/* Note the first failure; what is still open is waited for. */
static void fail(gather_t *gather, error_kind_t kind, const char *what)
{
	if (gather->error)
		return;
	error_set(&gather->error, kind,
		  "generation %" G_GINT64_FORMAT " can't be read: %s",
		  gather->generation, what);
}

static void list_missing(gather_t *gather)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	g_queue_clear(&gather->missing);
	for (i = 0; i < gather->manifest->chunks->len; i++) {
		char *name = g_ptr_array_index(gather->manifest->chunks, i);

		if (!g_hash_table_contains(gather->chunks, name) &&
		    g_hash_table_add(seen, name))
			g_queue_push_tail(&gather->missing, name);
	}
	g_hash_table_destroy(seen);
}

static gboolean take_manifest(gather_t *gather, const char *data, size_t size)
{
	manifest_t *manifest = manifest_parse(data, size, NULL);

	if (!manifest || !manifest->chunks ||
	    manifest->generation != gather->generation) {
		manifest_destroy(manifest);
		return FALSE;
	}
	gather->manifest = manifest;
	list_missing(gather);
	return TRUE;
}

static gboolean take_chunk(gather_t *gather, const char *name, const char *data,
			   size_t size)
{
	char *content = chunk_name(data, size);
	gboolean ok = !strcmp(content, name);

	if (ok)
		g_hash_table_replace(gather->chunks, content,
				     g_bytes_new(data, size));
	else
		g_free(content);
	return ok;
}

/* Peers. */

/* Takes over the key. */
static void ask_peer(gather_t *gather, char *key)
{
	int64_t *ticket = g_new(int64_t, 1);

	*ticket = (int64_t)gather->next_ticket++;
	g_hash_table_insert(gather->tickets, ticket, key);
	gather->events.ask_peer(gather->ctx, gather->peer, key,
				(uint64_t)*ticket);
}

static void leave_peer(gather_t *gather)
{
	g_clear_pointer(&gather->peer, g_free);
	g_hash_table_remove_all(gather->tickets);
	if (!gather->kv)
		fail(gather, ERROR_UNAVAILABLE, "the peer doesn't have it");
	else if (gather->manifest)
		list_missing(gather);
	advance(gather);
}

void gather_peer_answer(gather_t *gather, uint64_t ticket, const char *data,
			size_t size)
{
	int64_t key = (int64_t)ticket;
	const char *part = g_hash_table_lookup(gather->tickets, &key);
	gboolean ok = FALSE;

	if (!part)
		return;
	gather->last_answer = gather->now;
	if (data && !gather->manifest)
		ok = take_manifest(gather, data, size);
	else if (data)
		ok = take_chunk(gather, part + strlen(KEY_CHUNK), data, size);
	g_hash_table_remove(gather->tickets, &key);
	if (ok)
		advance(gather);
	else
		leave_peer(gather);
}

void gather_tick(gather_t *gather, ms_t now)
{
	gather->now = now;
	if (gather->is_busy && gather->peer &&
	    now - gather->last_answer >= PEER_TIMEOUT_MS)
		leave_peer(gather);
}

/* The key-value service. */

static void on_manifest(void *ctx, kv_status_t status, const kv_item_t *items,
			size_t count, int64_t revision, const GError *error)
{
	gather_t *gather = ctx;

	gather->reads--;
	if (status != KV_DONE)
		fail(gather, ERROR_UNAVAILABLE,
		     "the key-value service doesn't answer; try again");
	else if (!count || !take_manifest(gather, items->value, items->size))
		fail(gather, ERROR_NOT_FOUND,
		     "no such generation is kept; ask for a newer one");
	advance(gather);
}

static void read_manifest(gather_t *gather)
{
	char *key = key_of_generation(KEY_GENERATION, gather->generation);

	gather->reads++;
	kv_read(gather->kv, key, on_manifest, gather);
	g_free(key);
}

static void on_chunk(void *ctx, kv_status_t status, const kv_item_t *items,
		     size_t count, int64_t revision, const GError *error)
{
	chunk_read_t *read = ctx;
	gather_t *gather = read->gather;

	gather->reads--;
	if (status != KV_DONE)
		fail(gather, ERROR_UNAVAILABLE,
		     "the key-value service doesn't answer; try again");
	else if (!count ||
		 !take_chunk(gather, read->name, items->value, items->size))
		fail(gather, ERROR_NOT_FOUND,
		     "a chunk is gone; ask for a newer generation");
	g_hash_table_remove(gather->chunk_reads, read);
	advance(gather);
}

static void read_chunk(gather_t *gather, const char *name)
{
	chunk_read_t *read = g_new0(chunk_read_t, 1);
	char *key = g_strconcat(KEY_CHUNK, name, NULL);

	read->gather = gather;
	read->name = name;
	g_hash_table_add(gather->chunk_reads, read);
	gather->reads++;
	kv_read(gather->kv, key, on_chunk, read);
	g_free(key);
}

static void on_all_chunks(void *ctx, kv_status_t status, const kv_item_t *items,
			  size_t count, int64_t revision, const GError *error)
{
	gather_t *gather = ctx;
	GHashTable *wanted = g_hash_table_new(g_str_hash, g_str_equal);
	GList *at;
	size_t i;

	gather->reads--;
	for (at = gather->missing.head; at; at = at->next)
		g_hash_table_add(wanted, at->data);
	for (i = 0; i < count; i++) {
		const char *name = items[i].key + strlen(KEY_CHUNK);

		if (g_hash_table_contains(wanted, name))
			take_chunk(gather, name, items[i].value, items[i].size);
	}
	g_hash_table_destroy(wanted);
	/* What the list didn't give is read one by one. */
	list_missing(gather);
	while (gather->reads < PARALLEL_MAX &&
	       !g_queue_is_empty(&gather->missing))
		read_chunk(gather, g_queue_pop_head(&gather->missing));
	if (!gather->reads)
		advance(gather);
}

static void read_more(gather_t *gather)
{
	if (!gather->reads && gather->missing.length > SINGLE_READS_MAX) {
		gather->reads++;
		kv_list(gather->kv, KEY_CHUNK, on_all_chunks, gather);
		return;
	}
	while (gather->reads < PARALLEL_MAX &&
	       !g_queue_is_empty(&gather->missing))
		read_chunk(gather, g_queue_pop_head(&gather->missing));
}

static void ask_more(gather_t *gather)
{
	while (g_hash_table_size(gather->tickets) < PARALLEL_MAX &&
	       !g_queue_is_empty(&gather->missing))
		ask_peer(gather,
			 g_strconcat(KEY_CHUNK,
				     g_queue_pop_head(&gather->missing), NULL));
}

static void advance(gather_t *gather)
{
	guint open = gather->reads + g_hash_table_size(gather->tickets);

	if (gather->error) {
		if (!open)
			finish(gather);
	} else if (!gather->manifest) {
		if (gather->peer)
			ask_peer(gather, key_of_generation(KEY_GENERATION,
							   gather->generation));
		else
			read_manifest(gather);
	} else if (!open && g_queue_is_empty(&gather->missing)) {
		finish(gather);
	} else if (gather->peer) {
		ask_more(gather);
	} else {
		read_more(gather);
	}
}

static void copy_known(gather_t *gather, GHashTable *known)
{
	GHashTableIter iter;
	gpointer name;
	gpointer bytes;

	g_hash_table_iter_init(&iter, known);
	while (g_hash_table_iter_next(&iter, &name, &bytes))
		g_hash_table_insert(gather->chunks, g_strdup(name),
				    g_bytes_ref(bytes));
}

void gather_start(gather_t *gather, int64_t generation, const char *peer,
		  GHashTable *known, ms_t now)
{
	g_assert(!gather->is_busy);
	g_assert(peer || gather->kv);
	gather->is_busy = TRUE;
	gather->generation = generation;
	gather->peer = g_strdup(peer);
	gather->now = now;
	gather->last_answer = now;
	gather->chunks = create_chunks();
	if (known)
		copy_known(gather, known);
	advance(gather);
}
