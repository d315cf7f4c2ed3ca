#include "standin/kv_store.h"

#include <string.h>

/* Number of changes that a watch can replay. */
#define HISTORY_MAX 20000

typedef struct {
	int64_t id;
	ms_t ttl;
	ms_t end;
} lease_entry_t;

struct kv_store {
	GTree *records;	    /* key to kv_record_t */
	GHashTable *leases; /* id to lease_entry_t */
	GQueue history;	    /* kv_record_t of each change, oldest first */
	/*
	 * Revision of the newest change that was dropped from the history; 0 if
	 * none was.
	 */
	int64_t last_dropped_revision;
	int64_t revision;
	int64_t next_lease;
	kv_store_listener_t listener;
	void *ctx;
};

static void record_free(gpointer data)
{
	kv_record_t *record = data;

	g_free(record->key);
	g_free(record->value);
	g_free(record);
}

static kv_record_t *record_copy(const kv_record_t *from)
{
	kv_record_t *record = g_memdup2(from, sizeof(*from));

	record->key = g_strdup(from->key);
	if (from->value)
		record->value = g_memdup2(from->value, from->size + 1);
	return record;
}

static int compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

kv_store_t *kv_store_create(kv_store_listener_t listener, void *ctx)
{
	kv_store_t *store = g_new0(kv_store_t, 1);

	store->records = g_tree_new_full(compare_keys, NULL, NULL, record_free);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	g_queue_init(&store->history);
	store->revision = 1;
	store->next_lease = 1;
	store->listener = listener;
	store->ctx = ctx;
	return store;
}

void kv_store_destroy(kv_store_t *store)
{
	g_tree_destroy(store->records);
	g_hash_table_destroy(store->leases);
	g_queue_clear_full(&store->history, record_free);
	g_free(store);
}

static gboolean copy_record(gpointer key, gpointer value, gpointer ctx)
{
	kv_record_t *record = record_copy(value);

	g_tree_insert(ctx, record->key, record);
	return FALSE;
}

kv_store_t *kv_store_copy(const kv_store_t *store)
{
	kv_store_t *copy = kv_store_create(store->listener, store->ctx);
	GHashTableIter iter;
	gpointer value;
	GList *at;

	copy->last_dropped_revision = store->last_dropped_revision;
	copy->revision = store->revision;
	copy->next_lease = store->next_lease;
	g_tree_foreach(store->records, copy_record, copy->records);
	for (at = store->history.head; at; at = at->next)
		g_queue_push_tail(&copy->history, record_copy(at->data));
	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease_entry_t *lease = g_memdup2(value, sizeof(*lease));

		g_hash_table_insert(copy->leases, &lease->id, lease);
	}
	return copy;
}

void kv_store_delay_leases(kv_store_t *store, ms_t time)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((lease_entry_t *)value)->end += time;
}

int64_t kv_store_revision(const kv_store_t *store)
{
	return store->revision;
}

const kv_record_t *kv_store_get(const kv_store_t *store, const char *key)
{
	return g_tree_lookup(store->records, key);
}

GPtrArray *kv_store_range(const kv_store_t *store, const char *start,
			  const char *end)
{
	GPtrArray *found = g_ptr_array_new();
	GTreeNode *node = g_tree_lower_bound(store->records, start);

	for (; node; node = g_tree_node_next(node)) {
		if (end && strcmp(g_tree_node_key(node), end) >= 0)
			break;
		g_ptr_array_add(found, g_tree_node_value(node));
	}
	return found;
}

char *kv_store_prefix_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t size = strlen(end);

	if (size)
		end[size - 1]++;
	return end;
}

static void add_to_history(kv_store_t *store, const kv_record_t *record)
{
	g_queue_push_tail(&store->history, record_copy(record));
	while (store->history.length > HISTORY_MAX) {
		kv_record_t *oldest = g_queue_pop_head(&store->history);

		store->last_dropped_revision = oldest->revision;
		record_free(oldest);
	}
}

static void put_record(kv_store_t *store, const kv_change_t *change)
{
	const kv_record_t *old = kv_store_get(store, change->key);
	kv_record_t *record = g_new0(kv_record_t, 1);

	record->key = g_strdup(change->key);
	record->value = g_malloc(change->size + 1);
	memcpy(record->value, change->value, change->size);
	record->value[change->size] = '\0';
	record->size = change->size;
	record->create_revision = old ? old->create_revision : store->revision;
	record->version = old ? old->version + 1 : 1;
	record->revision = store->revision;
	record->lease = change->lease;
	add_to_history(store, record);
	g_tree_replace(store->records, record->key, record);
}

static void delete_record(kv_store_t *store, const char *key)
{
	kv_record_t deleted = {(char *)key, NULL, 0, 0, store->revision, 0, 0};

	if (!kv_store_get(store, key))
		return;
	add_to_history(store, &deleted);
	g_tree_remove(store->records, key);
}

static gboolean has_effect(const kv_store_t *store, const kv_change_t *changes,
			   size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (changes[i].value || kv_store_get(store, changes[i].key))
			return TRUE;
	}
	return FALSE;
}

/* The listener may read the store but must not change it. */
static void notify_listener(const kv_store_t *store)
{
	GList *at = store->history.tail;

	if (!store->listener)
		return;
	while (at && ((kv_record_t *)at->data)->revision == store->revision)
		at = at->prev;
	at = at ? at->next : store->history.head;
	for (; at; at = at->next)
		store->listener(store->ctx, at->data);
}

gboolean kv_store_apply(kv_store_t *store, const kv_change_t *changes,
			size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (changes[i].lease &&
		    !kv_store_has_lease(store, changes[i].lease))
			return FALSE;
	}
	if (!has_effect(store, changes, count))
		return TRUE;
	store->revision++;
	for (i = 0; i < count; i++) {
		if (changes[i].value)
			put_record(store, &changes[i]);
		else
			delete_record(store, changes[i].key);
	}
	notify_listener(store);
	return TRUE;
}

int64_t kv_store_lease_grant(kv_store_t *store, ms_t ttl, ms_t now)
{
	lease_entry_t *lease = g_new0(lease_entry_t, 1);

	lease->id = store->next_lease++;
	lease->ttl = ttl;
	lease->end = now + ttl;
	g_hash_table_insert(store->leases, &lease->id, lease);
	return lease->id;
}

ms_t kv_store_lease_renew(kv_store_t *store, int64_t id, ms_t now)
{
	lease_entry_t *lease = g_hash_table_lookup(store->leases, &id);

	if (!lease)
		return 0;
	lease->end = now + lease->ttl;
	return lease->ttl;
}

gboolean kv_store_has_lease(const kv_store_t *store, int64_t lease)
{
	return g_hash_table_contains(store->leases, &lease);
}

gboolean kv_store_lease_revoke(kv_store_t *store, int64_t lease)
{
	GArray *changes;
	GTreeNode *node;

	if (!kv_store_has_lease(store, lease))
		return FALSE;
	changes = g_array_new(FALSE, TRUE, sizeof(kv_change_t));
	for (node = g_tree_node_first(store->records); node;
	     node = g_tree_node_next(node)) {
		const kv_record_t *record = g_tree_node_value(node);
		kv_change_t change = {record->key, NULL, 0, 0};

		if (record->lease == lease)
			g_array_append_val(changes, change);
	}
	g_hash_table_remove(store->leases, &lease);
	kv_store_apply(store, (kv_change_t *)changes->data, changes->len);
	g_array_free(changes, TRUE);
	return TRUE;
}

static const lease_entry_t *first_lease(const kv_store_t *store)
{
	const lease_entry_t *first = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const lease_entry_t *lease = value;

		if (!first || lease->end < first->end ||
		    (lease->end == first->end && lease->id < first->id))
			first = lease;
	}
	return first;
}

void kv_store_expire(kv_store_t *store, ms_t now)
{
	const lease_entry_t *lease = first_lease(store);

	while (lease && lease->end <= now) {
		kv_store_lease_revoke(store, lease->id);
		lease = first_lease(store);
	}
}

ms_t kv_store_next_expiry(const kv_store_t *store)
{
	const lease_entry_t *lease = first_lease(store);

	return lease ? lease->end : MS_NEVER;
}

gboolean kv_store_replay(const kv_store_t *store, int64_t after,
			 kv_store_listener_t listener, void *ctx)
{
	GList *at;

	if (after < store->last_dropped_revision)
		return FALSE;
	for (at = store->history.head; at; at = at->next) {
		const kv_record_t *record = at->data;

		if (record->revision > after)
			listener(ctx, record);
	}
	return TRUE;
}
