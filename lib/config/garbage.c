#include "config/garbage.h"

#include <string.h>

#include "config/keys.h"

typedef struct {
	GHashTable *needed; /* names of chunks, not owned */
	GHashTable *deleted;
	size_t room;
	writes_t *writes;
} collector_t;

void writes_init(writes_t *writes)
{
	writes->list = g_array_new(FALSE, TRUE, sizeof(kv_write_t));
	writes->strings = g_ptr_array_new_with_free_func(g_free);
	writes->bytes = 0;
}

void writes_release(writes_t *writes)
{
	g_array_free(writes->list, TRUE);
	g_ptr_array_free(writes->strings, TRUE);
}

void writes_add(writes_t *writes, char *key, int64_t expected, char *value,
		size_t size)
{
	kv_write_t write = {0};

	write.key = key;
	write.expected = expected;
	write.value = value;
	write.size = size;
	g_array_append_val(writes->list, write);
	g_ptr_array_add(writes->strings, key);
	if (value)
		g_ptr_array_add(writes->strings, value);
	writes->bytes += size;
}

static void need_all(GHashTable *needed, const GPtrArray *names)
{
	guint i;

	for (i = 0; names && i < names->len; i++)
		g_hash_table_add(needed, g_ptr_array_index(names, i));
}

/* Delete unneeded chunks while there is room; what is left over. */
static GPtrArray *delete_chunks(collector_t *collector, const GPtrArray *names)
{
	GPtrArray *left = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; names && i < names->len; i++) {
		char *name = g_ptr_array_index(names, i);

		if (g_hash_table_contains(collector->needed, name) ||
		    g_hash_table_contains(collector->deleted, name))
			continue;
		if (!collector->room) {
			g_ptr_array_add(left, g_strdup(name));
			continue;
		}
		collector->room--;
		g_hash_table_add(collector->deleted, name);
		writes_add(collector->writes,
			   g_strconcat(KEY_CHUNK, name, NULL), KV_REVISION_ANY,
			   NULL, 0);
	}
	return left;
}

static void delete_key(collector_t *collector, char *key)
{
	collector->room--;
	writes_add(collector->writes, key, KV_REVISION_ANY, NULL, 0);
}

/* Write a record anew with the chunks that are still to be deleted. */
static void keep_rest(collector_t *collector, char *key,
		      const manifest_t *record, GPtrArray *replaced,
		      GPtrArray *chunks)
{
	manifest_t shortened = *record;
	char *text;

	if (replaced)
		shortened.replaced = replaced;
	if (chunks)
		shortened.chunks = chunks;
	text = manifest_render(&shortened);
	writes_add(collector->writes, key, KV_REVISION_ANY, text, strlen(text));
}

/* Drop one generation; TRUE if nothing of it is left. */
static gboolean drop_generation(collector_t *collector,
				const manifest_t *oldest,
				const manifest_t *next)
{
	GPtrArray *left;
	gboolean ok;

	if (collector->room < 3)
		return FALSE;
	collector->room -= 2; /* for its two keys, or for the rest */
	left = delete_chunks(collector, next->replaced);
	collector->room += 2;
	ok = !left->len;
	if (ok) {
		delete_key(collector,
			   key_of_generation(KEY_HISTORY, oldest->generation));
		delete_key(collector, key_of_generation(KEY_GENERATION,
							oldest->generation));
	} else {
		collector->room--;
		keep_rest(collector,
			  key_of_generation(KEY_HISTORY, next->generation),
			  next, left, NULL);
	}
	g_ptr_array_free(left, TRUE);
	return ok;
}

/* Chunks of a commit that can't be accepted any more. */
static void drop_pending(collector_t *collector, const manifest_t *pending)
{
	char *key = g_strconcat(KEY_PENDING, pending->commit, NULL);
	GPtrArray *left;

	if (collector->room < 2) {
		g_free(key);
		return;
	}
	collector->room--;
	left = delete_chunks(collector, pending->chunks);
	if (left->len)
		keep_rest(collector, key, pending, NULL, left);
	else
		writes_add(collector->writes, key, KV_REVISION_ANY, NULL, 0);
	g_ptr_array_free(left, TRUE);
}

/*
 * What the generations after an index use: a chunk is in use if the accepted
 * generation holds it, or if a later record says that it was replaced there.
 */
static void find_needed(const collect_input_t *input, guint after,
			GHashTable *needed)
{
	guint i;

	g_hash_table_remove_all(needed);
	need_all(needed, input->accepted->chunks);
	need_all(needed, input->accepted->replaced);
	for (i = after + 1; i < input->history->len; i++) {
		const manifest_t *record = g_ptr_array_index(input->history, i);

		need_all(needed, record->replaced);
	}
}

static void drop_generations(const collect_input_t *input,
			     collector_t *collector)
{
	guint i;

	for (i = 0; input->history->len - i + 1 > input->kept; i++) {
		find_needed(input, i + 1, collector->needed);
		if (!drop_generation(collector,
				     g_ptr_array_index(input->history, i),
				     g_ptr_array_index(input->history, i + 1)))
			return;
	}
}

static void drop_pendings(const collect_input_t *input, collector_t *collector)
{
	guint i;

	find_needed(input, 0, collector->needed);
	if (input->history->len) {
		const manifest_t *first = g_ptr_array_index(input->history, 0);

		need_all(collector->needed, first->replaced);
	}
	for (i = 0; i < input->pending->len; i++) {
		const manifest_t *pending =
			g_ptr_array_index(input->pending, i);

		/* One of the same base may yet win against this commit. */
		if (pending->generation < input->base)
			drop_pending(collector, pending);
	}
}

void collect(const collect_input_t *input, size_t room, writes_t *writes)
{
	collector_t collector = {0};

	g_assert(input->kept >= 2);
	collector.needed = g_hash_table_new(g_str_hash, g_str_equal);
	collector.deleted = g_hash_table_new(g_str_hash, g_str_equal);
	collector.room = room;
	collector.writes = writes;
	drop_generations(input, &collector);
	drop_pendings(input, &collector);
	g_hash_table_destroy(collector.needed);
	g_hash_table_destroy(collector.deleted);
}
