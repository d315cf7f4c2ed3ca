#include "config/store.h"

#include <string.h>
#include <sys/queue.h>

#include "base/error.h"
#include "config/commit.h"
#include "config/diff.h"
#include "config/doc_fetch.h"
#include "config/keys.h"

/* A commit of a caller, then its report. */
typedef struct store_task {
	TAILQ_ENTRY(store_task) link;
	config_store_t *store;
	commit_t *commit;
	GError *error;
	store_commit_done_t done;
	void *ctx;
} store_task_t;

/* A read of a generation. */
typedef struct store_read {
	TAILQ_ENTRY(store_read) link;
	config_store_t *store;
	gather_t *gather;
	store_read_done_t done;
	void *ctx;
} store_read_t;

typedef struct {
	config_store_t *store;
	store_history_done_t done;
	void *ctx;
} history_read_t;

struct config_store {
	kv_t *kv;
	int64_t kept;
	ms_t now;
	TAILQ_HEAD(, store_task) tasks;
	TAILQ_HEAD(, store_read) reads;
	GHashTable *history_reads; /* of history_read_t */
};

config_store_t *config_store_create(kv_t *kv, int64_t kept, ms_t now)
{
	config_store_t *store = g_new0(config_store_t, 1);

	g_assert(kept >= 2);
	store->kv = kv;
	store->kept = kept;
	store->now = now;
	TAILQ_INIT(&store->tasks);
	TAILQ_INIT(&store->reads);
	store->history_reads = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	return store;
}

static void task_free(store_task_t *task)
{
	TAILQ_REMOVE(&task->store->tasks, task, link);
	commit_destroy(task->commit);
	g_clear_error(&task->error);
	g_free(task);
}

static void read_free(store_read_t *read)
{
	TAILQ_REMOVE(&read->store->reads, read, link);
	gather_destroy(read->gather);
	g_free(read);
}

void config_store_destroy(config_store_t *store)
{
	store_task_t *task = TAILQ_FIRST(&store->tasks);
	store_read_t *read = TAILQ_FIRST(&store->reads);

	while (task) {
		store_task_t *next = TAILQ_NEXT(task, link);

		task_free(task);
		task = next;
	}
	while (read) {
		store_read_t *next = TAILQ_NEXT(read, link);

		read_free(read);
		read = next;
	}
	g_hash_table_destroy(store->history_reads);
	g_free(store);
}

void config_store_tick(config_store_t *store, ms_t now)
{
	store_task_t *task = TAILQ_FIRST(&store->tasks);
	store_read_t *read;

	store->now = now;
	while (task) {
		store_task_t *next = TAILQ_NEXT(task, link);

		commit_tick(task->commit, now);
		task = next;
	}
	TAILQ_FOREACH (read, &store->reads, link)
		gather_tick(read->gather, now);
}

/* Tell the loser what differs; without the newest text, no more than that. */
static void on_newest(void *ctx, const manifest_t *newest, const char *text,
		      size_t size, const GError *error)
{
	store_task_t *task = ctx;
	store_result_t result = {0};
	GPtrArray *differences = NULL;
	const char *refused;
	size_t refused_size;

	if (newest) {
		refused = commit_text(task->commit, &refused_size);
		differences =
			diff_texts(text, size, refused, refused_size, NULL);
		result.generation = newest->generation;
		result.author = newest->author;
		result.differences = differences;
	}
	task->done(task->ctx, &result, task->error);
	if (differences)
		g_ptr_array_free(differences, TRUE);
	task_free(task);
}

static void on_commit_end(void *ctx, commit_t *commit, const GError *error)
{
	store_task_t *task = ctx;
	store_result_t result = {0};

	if (error && error_kind(error) == ERROR_CONFLICT) {
		task->error = g_error_copy(error);
		config_store_read(task->store, 0, on_newest, task);
		return;
	}
	if (!error)
		commit_fill_result(commit, &result);
	task->done(task->ctx, &result, error);
	task_free(task);
}

void config_store_commit(config_store_t *store, const store_change_t *change,
			 store_commit_done_t done, void *ctx)
{
	store_task_t *task = g_new0(store_task_t, 1);

	task->store = store;
	task->done = done;
	task->ctx = ctx;
	TAILQ_INSERT_TAIL(&store->tasks, task, link);
	task->commit = commit_start(store->kv, store->kept, change, store->now,
				    on_commit_end, task);
}

static void on_read(void *ctx, manifest_t *manifest, GHashTable *chunks,
		    const GError *error)
{
	store_read_t *read = ctx;
	GError *cause = NULL;
	char *text = NULL;
	size_t size = 0;

	if (manifest)
		text = chunk_join(manifest, chunks, &size, &cause);
	if (text)
		read->done(read->ctx, manifest, text, size, NULL);
	else
		read->done(read->ctx, NULL, NULL, 0, error ? error : cause);
	g_free(text);
	g_clear_error(&cause);
	manifest_destroy(manifest);
	if (chunks)
		g_hash_table_destroy(chunks);
	read_free(read);
}

static void refuse_read(store_read_t *read, error_kind_t kind,
			const char *message)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", message);
	read->done(read->ctx, NULL, NULL, 0, error);
	g_error_free(error);
	read_free(read);
}

static void on_read_head(void *ctx, kv_status_t status, const kv_item_t *items,
			 size_t count, int64_t revision, const GError *error)
{
	store_read_t *read = ctx;
	manifest_t *head = NULL;

	if (status != KV_DONE) {
		refuse_read(read, ERROR_UNAVAILABLE,
			    "the key-value service doesn't answer; try again "
			    "later");
		return;
	}
	if (count)
		head = manifest_parse(items->value, items->size, NULL);
	if (head)
		gather_start(read->gather, head->generation, NULL, NULL,
			     read->store->now);
	else
		refuse_read(read, ERROR_NOT_FOUND,
			    "no document is committed yet; commit one on "
			    "generation 0");
	manifest_destroy(head);
}

void config_store_read(config_store_t *store, int64_t generation,
		       store_read_done_t done, void *ctx)
{
	const gather_events_t events = {NULL, on_read};
	store_read_t *read = g_new0(store_read_t, 1);

	read->store = store;
	read->done = done;
	read->ctx = ctx;
	read->gather = gather_create(store->kv, &events, read);
	TAILQ_INSERT_TAIL(&store->reads, read, link);
	if (generation)
		gather_start(read->gather, generation, NULL, NULL, store->now);
	else
		kv_read(store->kv, KEY_HEAD, on_read_head, read);
}

static void free_manifest(gpointer manifest)
{
	manifest_destroy(manifest);
}

static void on_history(void *ctx, kv_status_t status, const kv_item_t *items,
		       size_t count, int64_t revision, const GError *error)
{
	history_read_t *read = ctx;
	GPtrArray *records = g_ptr_array_new_with_free_func(free_manifest);
	GError *cause = NULL;
	size_t i;

	if (status != KV_DONE)
		error_set(&cause, ERROR_UNAVAILABLE,
			  "the key-value service doesn't answer; try again "
			  "later");
	for (i = count; status == KV_DONE && i > 0; i--) {
		manifest_t *record = manifest_parse(items[i - 1].value,
						    items[i - 1].size, NULL);

		if (record)
			g_ptr_array_add(records, record);
	}
	read->done(read->ctx, (const manifest_t *const *)records->pdata,
		   records->len, cause);
	g_clear_error(&cause);
	g_ptr_array_free(records, TRUE);
	g_hash_table_remove(read->store->history_reads, read);
}

void config_store_history(config_store_t *store, store_history_done_t done,
			  void *ctx)
{
	history_read_t *read = g_new0(history_read_t, 1);

	read->store = store;
	read->done = done;
	read->ctx = ctx;
	g_hash_table_add(store->history_reads, read);
	kv_list(store->kv, KEY_HISTORY, on_history, read);
}
