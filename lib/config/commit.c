#include "config/commit.h"

#include <string.h>

#include "base/error.h"
#include "config/garbage.h"
#include "config/keys.h"

#define RETRY_MS 200

/* What one transaction holds beside the head, manifest, history, pending. */
#define INLINE_CHUNKS_MAX 40
#define COLLECT_MAX	  50
#define BATCH_CHUNKS_MAX  90
#define BATCH_BYTES_MAX	  (700 * 1000)

#define TRANSACTION_BYTES_MAX (900 * 1000)

/* Bytes of a chunk's name in a manifest. */
#define NAME_SIZE (CHUNK_NAME_LENGTH + 3)

typedef void (*step_t)(commit_t *commit);

struct commit {
	kv_t *kv;
	int64_t kept;
	commit_end_t end;
	void *ctx;
	char *text;
	size_t size;
	int64_t base_generation;
	manifest_t *manifest; /* to be accepted, with added and replaced */
	GHashTable *chunks;   /* from name to GBytes */
	manifest_t *base;     /* NULL if there is none */
	int64_t head_revision;
	GPtrArray *history; /* of manifest_t, the oldest first */
	GPtrArray *others;  /* pending commits, of manifest_t */
	int64_t pending_revision;
	guint sent;	      /* added chunks that are written */
	guint batch;	      /* chunks in the open write */
	gboolean is_sent;     /* the transaction may have reached the service */
	gboolean is_refused;  /* its last answer was a conflict */
	gboolean is_moved;    /* the head is of a newer generation */
	size_t bytes_written; /* by the commit as a whole */
	size_t batch_bytes;
	ms_t now;
	ms_t deadline;
	ms_t retry_at;
	step_t retry; /* NULL while a call is open */
};

static void step_read_head(commit_t *commit);
static void step_read_back(commit_t *commit);
static void step_send(commit_t *commit);

static void finish(commit_t *commit, error_kind_t kind, const char *message)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", message);
	commit->end(commit->ctx, commit, error);
	g_error_free(error);
}

static void finish_uncertain(commit_t *commit)
{
	finish(commit, ERROR_INTERRUPTED,
	       "the key-value service lost the answer: the commit may have "
	       "been accepted; look for it in the history");
}

static void finish_conflict(commit_t *commit)
{
	finish(commit, ERROR_CONFLICT,
	       "another document was accepted meanwhile; look at what differs "
	       "and commit on the newer generation");
}

static void retry(commit_t *commit, step_t step)
{
	commit->retry = step;
	commit->retry_at = commit->now + RETRY_MS;
}

void commit_tick(commit_t *commit, ms_t now)
{
	step_t step = commit->retry;

	commit->now = now;
	if (!step || now < commit->retry_at)
		return;
	commit->retry = NULL;
	if (now < commit->deadline)
		step(commit);
	else if (commit->is_sent)
		finish_uncertain(commit);
	else
		finish(commit, ERROR_UNAVAILABLE,
		       "the key-value service doesn't answer: nothing was "
		       "committed; try again later");
}

/* The last step: the transaction that accepts the document. */

static void on_accepted(void *ctx, kv_status_t status, int64_t revision,
			const GError *error)
{
	commit_t *commit = ctx;

	commit->is_refused = status == KV_CONFLICT;
	switch (status) {
	case KV_DONE:
		commit->end(commit->ctx, commit, NULL);
		return;
	case KV_CONFLICT:
		step_read_back(commit);
		return;
	case KV_FAILED:
		/* Sure not to have taken effect, but an earlier one may. */
		retry(commit, step_read_back);
		return;
	case KV_UNKNOWN:
		commit->is_sent = TRUE;
		retry(commit, step_read_back);
		return;
	}
}

static void add_chunks(commit_t *commit, writes_t *writes, guint from,
		       guint chunk_count)
{
	guint i;

	for (i = from; i < from + chunk_count; i++) {
		const char *name =
			g_ptr_array_index(commit->manifest->added, i);
		GBytes *bytes = g_hash_table_lookup(commit->chunks, name);
		gsize size;
		const char *data = g_bytes_get_data(bytes, &size);

		writes_add(writes, g_strconcat(KEY_CHUNK, name, NULL),
			   KV_REVISION_ANY, g_memdup2(data, size), size);
	}
}

static void add_manifests(commit_t *commit, writes_t *writes)
{
	const manifest_t *manifest = commit->manifest;
	char *head = manifest_render_form(manifest, FALSE, FALSE);
	char *full = manifest_render_form(manifest, TRUE, FALSE);
	char *record = manifest_render_form(manifest, FALSE, TRUE);

	writes_add(writes, g_strdup(KEY_HEAD), commit->head_revision, head,
		   strlen(head));
	writes_add(writes,
		   key_of_generation(KEY_GENERATION, manifest->generation),
		   KV_REVISION_ANY, full, strlen(full));
	writes_add(writes, key_of_generation(KEY_HISTORY, manifest->generation),
		   KV_REVISION_ANY, record, strlen(record));
}

static char *pending_key(const commit_t *commit)
{
	return g_strconcat(KEY_PENDING, commit->manifest->commit, NULL);
}

static void step_accept(commit_t *commit)
{
	const collect_input_t input = {commit->history, commit->others,
				       commit->manifest,
				       commit->base_generation, commit->kept};
	writes_t writes;

	writes_init(&writes);
	add_manifests(commit, &writes);
	add_chunks(commit, &writes, commit->sent,
		   commit->manifest->added->len - commit->sent);
	if (commit->pending_revision)
		writes_add(&writes, pending_key(commit),
			   commit->pending_revision, NULL, 0);
	collect(&input, COLLECT_MAX, &writes);
	commit->batch_bytes = writes.bytes;
	kv_write(commit->kv, (kv_write_t *)(gpointer)writes.list->data,
		 writes.list->len, on_accepted, commit);
	writes_release(&writes);
}

/* How did it end?  The record of the generation tells whose it is. */

static void on_record(void *ctx, kv_status_t status, const kv_item_t *items,
		      size_t count, int64_t revision, const GError *error)
{
	commit_t *commit = ctx;
	manifest_t *record = NULL;

	if (status != KV_DONE) {
		retry(commit, step_read_back);
		return;
	}
	if (count)
		record = manifest_parse(items->value, items->size, NULL);
	if (record && !strcmp(record->commit, commit->manifest->commit))
		commit->end(commit->ctx, commit, NULL);
	else if (record)
		finish_conflict(commit);
	else if (commit->is_moved)
		/* So many generations later that the record is dropped. */
		finish_uncertain(commit);
	else if (commit->is_refused)
		retry(commit, step_read_head);
	else
		step_accept(commit);
	manifest_destroy(record);
}

static void step_read_back(commit_t *commit)
{
	char *key =
		key_of_generation(KEY_HISTORY, commit->manifest->generation);

	kv_read(commit->kv, key, on_record, commit);
	g_free(key);
}

/* Chunks that don't fit into the transaction are written before it. */

static char *render_pending(const commit_t *commit)
{
	manifest_t form = *commit->manifest;

	form.generation = commit->base_generation;
	form.chunks = form.added;
	form.added = NULL;
	form.replaced = NULL;
	return manifest_render(&form);
}

static void on_pending_read(void *ctx, kv_status_t status,
			    const kv_item_t *items, size_t count,
			    int64_t revision, const GError *error)
{
	commit_t *commit = ctx;

	if (status != KV_DONE) {
		commit->batch = 0;
		retry(commit, step_send);
		return;
	}
	/* Gone: a newer commit has swept it away. */
	if (!count && commit->pending_revision) {
		retry(commit, step_read_head);
		return;
	}
	commit->pending_revision = count ? items->revision : KV_REVISION_ABSENT;
	step_send(commit);
}

static void step_read_pending(commit_t *commit)
{
	char *key = pending_key(commit);

	kv_read(commit->kv, key, on_pending_read, commit);
	g_free(key);
}

static void on_sent(void *ctx, kv_status_t status, int64_t revision,
		    const GError *error)
{
	commit_t *commit = ctx;

	switch (status) {
	case KV_DONE:
		commit->pending_revision = revision;
		commit->sent += commit->batch;
		commit->bytes_written += commit->batch_bytes;
		step_send(commit);
		return;
	case KV_FAILED:
		retry(commit, step_send);
		return;
	case KV_CONFLICT:
	case KV_UNKNOWN:
		/* The same chunks may be written twice without harm. */
		retry(commit, step_read_pending);
		return;
	}
}

/* How many of the added chunks, from sent on, fit into one transaction. */
static guint measure_batch(const commit_t *commit, guint max, size_t *bytes)
{
	const GPtrArray *added = commit->manifest->added;
	guint fitting = 0;

	*bytes = 0;
	while (fitting < max && commit->sent + fitting < added->len) {
		GBytes *bytes_of = g_hash_table_lookup(
			commit->chunks,
			g_ptr_array_index(added, commit->sent + fitting));
		size_t size = g_bytes_get_size(bytes_of);

		if (*bytes + size > BATCH_BYTES_MAX)
			break;
		*bytes += size;
		fitting++;
	}
	return fitting;
}

/* Whether the rest of the chunks fits beside the manifests. */
static gboolean fits_transaction(const commit_t *commit)
{
	const manifest_t *manifest = commit->manifest;
	size_t names = manifest->chunks->len + manifest->added->len +
		       manifest->replaced->len;
	guint left = manifest->added->len - commit->sent;
	size_t bytes;

	if (measure_batch(commit, INLINE_CHUNKS_MAX, &bytes) < left)
		return FALSE;
	return !left || bytes + names * NAME_SIZE <= TRANSACTION_BYTES_MAX;
}

/* Send the next chunks, or, when the rest fits there, the last transaction. */
static void step_send(commit_t *commit)
{
	writes_t writes;
	size_t bytes;
	char *text;

	if (fits_transaction(commit)) {
		step_accept(commit);
		return;
	}
	commit->batch = measure_batch(commit, BATCH_CHUNKS_MAX, &bytes);
	text = render_pending(commit);
	writes_init(&writes);
	writes_add(&writes, pending_key(commit), commit->pending_revision, text,
		   strlen(text));
	add_chunks(commit, &writes, commit->sent, commit->batch);
	commit->batch_bytes = writes.bytes;
	kv_write(commit->kv, (kv_write_t *)(gpointer)writes.list->data,
		 writes.list->len, on_sent, commit);
	writes_release(&writes);
}

/* What was there before. */

static void forget(commit_t *commit)
{
	g_clear_pointer(&commit->base, manifest_destroy);
	g_ptr_array_set_size(commit->history, 0);
	g_ptr_array_set_size(commit->others, 0);
}

static void parse_all(const kv_item_t *items, size_t count, GPtrArray *out)
{
	size_t i;

	for (i = 0; i < count; i++) {
		manifest_t *manifest =
			manifest_parse(items[i].value, items[i].size, NULL);

		if (manifest)
			g_ptr_array_add(out, manifest);
	}
}

static gboolean is_too_large(const manifest_t *manifest)
{
	guint names = MAX(manifest->chunks->len,
			  manifest->added->len + manifest->replaced->len);

	return names * NAME_SIZE > TRANSACTION_BYTES_MAX;
}

static void on_pendings(void *ctx, kv_status_t status, const kv_item_t *items,
			size_t count, int64_t revision, const GError *error)
{
	commit_t *commit = ctx;
	const GPtrArray *before = commit->base ? commit->base->chunks : NULL;

	if (status != KV_DONE) {
		retry(commit, step_read_head);
		return;
	}
	parse_all(items, count, commit->others);
	manifest_compare(commit->manifest, before);
	if (is_too_large(commit->manifest))
		finish(commit, ERROR_TOO_LARGE,
		       "the document has too many chunks; declare adapters by "
		       "ranges such as \"name-{1..9}\"");
	else
		step_send(commit);
}

static void on_history(void *ctx, kv_status_t status, const kv_item_t *items,
		       size_t count, int64_t revision, const GError *error)
{
	commit_t *commit = ctx;

	if (status != KV_DONE) {
		retry(commit, step_read_head);
		return;
	}
	parse_all(items, count, commit->history);
	kv_list(commit->kv, KEY_PENDING, on_pendings, commit);
}

static void on_base(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	commit_t *commit = ctx;

	if (status == KV_DONE && count)
		commit->base = manifest_parse(items->value, items->size, NULL);
	if (!commit->base || !commit->base->chunks) {
		retry(commit, step_read_head);
		return;
	}
	kv_list(commit->kv, KEY_HISTORY, on_history, commit);
}

static void step_read_base(commit_t *commit)
{
	char *key = key_of_generation(KEY_GENERATION, commit->base_generation);

	if (commit->base_generation)
		kv_read(commit->kv, key, on_base, commit);
	else
		kv_list(commit->kv, KEY_HISTORY, on_history, commit);
	g_free(key);
}

static void on_head(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	commit_t *commit = ctx;
	manifest_t *head = NULL;
	int64_t generation;

	if (status != KV_DONE) {
		retry(commit, step_read_head);
		return;
	}
	if (count)
		head = manifest_parse(items->value, items->size, NULL);
	generation = head ? head->generation : 0;
	manifest_destroy(head);
	commit->head_revision = count ? items->revision : KV_REVISION_ABSENT;
	commit->is_moved = generation != commit->base_generation;
	if (!commit->is_moved)
		step_read_base(commit);
	else if (commit->is_sent)
		step_read_back(commit);
	else
		finish_conflict(commit);
}

static void step_read_head(commit_t *commit)
{
	forget(commit);
	kv_read(commit->kv, KEY_HEAD, on_head, commit);
}

static void free_manifest(gpointer manifest)
{
	manifest_destroy(manifest);
}

commit_t *commit_start(kv_t *kv, int64_t kept, const store_change_t *change,
		       ms_t now, commit_end_t end, void *ctx)
{
	commit_t *commit = g_new0(commit_t, 1);
	manifest_t *manifest = manifest_create(change->text, change->size);

	manifest->generation = MAX(change->base, change->floor) + 1;
	manifest->commit = g_strdup(change->commit);
	manifest->author = g_strdup(change->author);
	manifest->note = g_strdup(change->note ? change->note : "");
	manifest->time = change->wall_time;
	manifest->added = g_ptr_array_new_with_free_func(g_free);
	manifest->replaced = g_ptr_array_new_with_free_func(g_free);
	commit->kv = kv;
	commit->kept = kept;
	commit->end = end;
	commit->ctx = ctx;
	commit->text = g_memdup2(change->text, change->size);
	commit->size = change->size;
	commit->base_generation = change->base;
	commit->manifest = manifest;
	commit->chunks = chunk_split(change->text, change->size);
	commit->history = g_ptr_array_new_with_free_func(free_manifest);
	commit->others = g_ptr_array_new_with_free_func(free_manifest);
	commit->now = now;
	commit->deadline = now + STORE_TIMEOUT_MS;
	step_read_head(commit);
	return commit;
}

void commit_destroy(commit_t *commit)
{
	manifest_destroy(commit->manifest);
	manifest_destroy(commit->base);
	g_hash_table_destroy(commit->chunks);
	g_ptr_array_free(commit->history, TRUE);
	g_ptr_array_free(commit->others, TRUE);
	g_free(commit->text);
	g_free(commit);
}

const char *commit_text(const commit_t *commit, size_t *size)
{
	*size = commit->size;
	return commit->text;
}

void commit_fill_result(const commit_t *commit, store_result_t *result)
{
	result->generation = commit->manifest->generation;
	result->chunks_written = commit->manifest->added->len;
	result->bytes_written = commit->bytes_written + commit->batch_bytes;
}
