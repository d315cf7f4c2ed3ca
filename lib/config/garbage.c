#include "config/garbage.h"

#include <string.h>

#include "config/keys.h"

typedef struct {
	GHashTable *needed; /* names of chunks, not owned */
	GHashTable *deleted;
	size_t writes_left;
	writes_t *writes;
} garbage_collector_t;

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

static void mark_needed(GHashTable *needed, const GPtrArray *names)
{
	guint i;

	for (i = 0; names && i < names->len; i++)
		g_hash_table_add(needed, g_ptr_array_index(names, i));
}

/* Delete unneeded chunks up to the write limit; returns those not deleted. */
static GPtrArray *delete_chunks(garbage_collector_t *collector,
				const GPtrArray *names)
{
	GPtrArray *left = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; names && i < names->len; i++) {
		char *name = g_ptr_array_index(names, i);

		if (g_hash_table_contains(collector->needed, name) ||
		    g_hash_table_contains(collector->deleted, name))
			continue;
		if (!collector->writes_left) {
			g_ptr_array_add(left, g_strdup(name));
			continue;
		}
		collector->writes_left--;
		g_hash_table_add(collector->deleted, name);
		writes_add(collector->writes,
			   g_strconcat(KEY_CHUNK, name, NULL), KV_REVISION_ANY,
			   NULL, 0);
	}
	return left;
}

static void delete_key(garbage_collector_t *collector, char *key)
{
	collector->writes_left--;
	writes_add(collector->writes, key, KV_REVISION_ANY, NULL, 0);
}

/* Rewrite a record so that it lists only the chunks still to be deleted. */
static void rewrite_record(garbage_collector_t *collector, char *key,
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

/* Delete one generation; TRUE if it was deleted completely. */
static gboolean drop_generation(garbage_collector_t *collector,
				const manifest_t *oldest,
				const manifest_t *next)
{
	GPtrArray *left;
	gboolean ok;

	if (collector->writes_left < 3)
		return FALSE;
	/* Reserve two writes: its two keys, or the rewritten record. */
	collector->writes_left -= 2;
	left = delete_chunks(collector, next->replaced);
	collector->writes_left += 2;
	ok = !left->len;
	if (ok) {
		delete_key(collector,
			   key_of_generation(KEY_HISTORY, oldest->generation));
		delete_key(collector, key_of_generation(KEY_GENERATION,
							oldest->generation));
	} else {
		collector->writes_left--;
		rewrite_record(collector,
			       key_of_generation(KEY_HISTORY, next->generation),
			       next, left, NULL);
	}
	g_ptr_array_free(left, TRUE);
	return ok;
}

/* Delete the chunks of a commit that can no longer be accepted. */
static void drop_pending_record(garbage_collector_t *collector,
				const manifest_t *pending)
{
	char *key = g_strconcat(KEY_PENDING, pending->commit, NULL);
	GPtrArray *left;

	if (collector->writes_left < 2) {
		g_free(key);
		return;
	}
	collector->writes_left--;
	left = delete_chunks(collector, pending->chunks);
	if (left->len)
		rewrite_record(collector, key, pending, NULL, left);
	else
		writes_add(collector->writes, key, KV_REVISION_ANY, NULL, 0);
	g_ptr_array_free(left, TRUE);
}

/*
 * Find the chunks used by the generations after an index: those that the
 * accepted generation contains, and those that a later record lists as
 * replaced.
 */
static void find_needed(const garbage_input_t *input, guint after,
			GHashTable *needed)
{
	guint i;

	g_hash_table_remove_all(needed);
	mark_needed(needed, input->accepted->chunks);
	mark_needed(needed, input->accepted->replaced);
	for (i = after + 1; i < input->history->len; i++) {
		const manifest_t *record = g_ptr_array_index(input->history, i);

		mark_needed(needed, record->replaced);
	}
}

static void drop_generations(const garbage_input_t *input,
			     garbage_collector_t *collector)
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

static void drop_pending_records(const garbage_input_t *input,
				 garbage_collector_t *collector)
{
	guint i;

	find_needed(input, 0, collector->needed);
	if (input->history->len) {
		const manifest_t *first = g_ptr_array_index(input->history, 0);

		mark_needed(collector->needed, first->replaced);
	}
	for (i = 0; i < input->pending->len; i++) {
		const manifest_t *pending =
			g_ptr_array_index(input->pending, i);

		/* A commit with the same base may still be accepted instead. */
		if (pending->generation < input->base)
			drop_pending_record(collector, pending);
	}
}

void collect_garbage(const garbage_input_t *input, size_t max_writes,
		     writes_t *writes)
{
	garbage_collector_t collector = {0};

	g_assert(input->kept >= 2);
	collector.needed = g_hash_table_new(g_str_hash, g_str_equal);
	collector.deleted = g_hash_table_new(g_str_hash, g_str_equal);
	collector.writes_left = max_writes;
	collector.writes = writes;
	drop_generations(input, &collector);
	drop_pending_records(input, &collector);
	g_hash_table_destroy(collector.needed);
	g_hash_table_destroy(collector.deleted);
}
