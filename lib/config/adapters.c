#include "config/adapters.h"

#include <string.h>

#define BUCKETS_MIN 64

/* Mean number of adapters per bucket above which the table grows. */
#define BUCKET_FILL_MAX 16
#define BUCKETS_GROWTH	4

/* The adapter is the first member, so its address is that of the entry. */
typedef struct {
	document_adapter_t adapter;
	gint ref_count; /* atomic */
	guint hash;	/* of the id */
	char text[];	/* the id and the name, each NUL-terminated */
} entry_t;

typedef struct {
	gint ref_count; /* atomic */
	guint count;
	entry_t *entries[];
} bucket_t;

struct adapter_set {
	gint ref_count; /* atomic */
	size_t size;
	guint bucket_count; /* a power of 2 */
	bucket_t **buckets; /* NULL for an empty bucket */
};

const document_adapter_t *adapter_create(const char *name, const char *version,
					 char *base_model)
{
	size_t name_size = strlen(name) + 1;
	size_t version_size = strlen(version) + 1;
	size_t id_size = name_size + version_size;
	entry_t *entry = g_malloc(sizeof(*entry) + id_size + name_size);
	char *id = entry->text;

	memcpy(id, name, name_size);
	id[name_size - 1] = '@';
	memcpy(id + name_size, version, version_size);
	memcpy(id + id_size, name, name_size);
	entry->adapter.id = id;
	entry->adapter.name = id + id_size;
	entry->adapter.version = id + name_size;
	entry->adapter.base_model = g_ref_string_acquire(base_model);
	entry->ref_count = 1;
	entry->hash = g_str_hash(id);
	return &entry->adapter;
}

static void entry_unref(entry_t *entry)
{
	if (!g_atomic_int_dec_and_test(&entry->ref_count))
		return;
	g_ref_string_release((char *)entry->adapter.base_model);
	g_free(entry);
}

void adapter_unref(const document_adapter_t *adapter)
{
	entry_unref((entry_t *)adapter);
}

static void bucket_unref(bucket_t *bucket)
{
	guint i;

	if (!bucket || !g_atomic_int_dec_and_test(&bucket->ref_count))
		return;
	for (i = 0; i < bucket->count; i++)
		entry_unref(bucket->entries[i]);
	g_free(bucket);
}

static size_t bucket_bytes(guint count)
{
	return sizeof(bucket_t) + count * sizeof(entry_t *);
}

static bucket_t *bucket_copy(const bucket_t *bucket)
{
	bucket_t *copy = g_memdup2(bucket, bucket_bytes(bucket->count));
	guint i;

	copy->ref_count = 1;
	for (i = 0; i < copy->count; i++)
		g_atomic_int_inc(&copy->entries[i]->ref_count);
	return copy;
}

adapter_set_t *adapter_set_create(void)
{
	adapter_set_t *set = g_new0(adapter_set_t, 1);

	set->ref_count = 1;
	set->bucket_count = BUCKETS_MIN;
	set->buckets = g_new0(bucket_t *, BUCKETS_MIN);
	return set;
}

adapter_set_t *adapter_set_copy(const adapter_set_t *set)
{
	adapter_set_t *copy = g_memdup2(set, sizeof(*set));
	guint i;

	copy->ref_count = 1;
	copy->buckets =
		g_memdup2(set->buckets, set->bucket_count * sizeof(bucket_t *));
	for (i = 0; i < copy->bucket_count; i++) {
		if (copy->buckets[i])
			g_atomic_int_inc(&copy->buckets[i]->ref_count);
	}
	return copy;
}

adapter_set_t *adapter_set_ref(adapter_set_t *set)
{
	g_atomic_int_inc(&set->ref_count);
	return set;
}

static void free_buckets(bucket_t **buckets, guint count)
{
	guint i;

	for (i = 0; i < count; i++)
		bucket_unref(buckets[i]);
	g_free(buckets);
}

void adapter_set_unref(adapter_set_t *set)
{
	if (!g_atomic_int_dec_and_test(&set->ref_count))
		return;
	free_buckets(set->buckets, set->bucket_count);
	g_free(set);
}

static bucket_t **find_bucket(const adapter_set_t *set, guint hash)
{
	return &set->buckets[hash & (set->bucket_count - 1)];
}

/* Returns the index of the id in a bucket, or the bucket's count if absent. */
static guint find_entry(const bucket_t *bucket, const char *id, guint hash)
{
	guint i;

	for (i = 0; i < bucket->count; i++) {
		if (bucket->entries[i]->hash == hash &&
		    !strcmp(bucket->entries[i]->adapter.id, id))
			break;
	}
	return i;
}

/* Replace a shared or empty bucket by a private one that may be modified. */
static bucket_t *make_bucket_private(bucket_t **at)
{
	bucket_t *shared = *at;

	if (!shared) {
		*at = g_malloc0(bucket_bytes(0));
		(*at)->ref_count = 1;
	} else if (g_atomic_int_get(&shared->ref_count) > 1) {
		*at = bucket_copy(shared);
		bucket_unref(shared);
	}
	return *at;
}

/* Takes ownership of a reference to the entry. */
static void append(bucket_t **at, entry_t *entry)
{
	bucket_t *bucket = make_bucket_private(at);

	bucket = g_realloc(bucket, bucket_bytes(bucket->count + 1));
	bucket->entries[bucket->count++] = entry;
	*at = bucket;
}

static void grow(adapter_set_t *set)
{
	bucket_t **before = set->buckets;
	guint count = set->bucket_count;
	guint i;
	guint j;

	set->bucket_count *= BUCKETS_GROWTH;
	set->buckets = g_new0(bucket_t *, set->bucket_count);
	for (i = 0; i < count; i++) {
		for (j = 0; before[i] && j < before[i]->count; j++) {
			entry_t *entry = before[i]->entries[j];

			g_atomic_int_inc(&entry->ref_count);
			append(find_bucket(set, entry->hash), entry);
		}
	}
	free_buckets(before, count);
}

gboolean adapter_set_add(adapter_set_t *set, const document_adapter_t *adapter)
{
	entry_t *entry = (entry_t *)adapter;
	bucket_t **at = find_bucket(set, entry->hash);

	if (*at && find_entry(*at, adapter->id, entry->hash) < (*at)->count)
		return FALSE;
	g_atomic_int_inc(&entry->ref_count);
	append(at, entry);
	set->size++;
	if (set->size > (size_t)set->bucket_count * BUCKET_FILL_MAX)
		grow(set);
	return TRUE;
}

gboolean adapter_set_remove(adapter_set_t *set, const char *id)
{
	guint hash = g_str_hash(id);
	bucket_t **at = find_bucket(set, hash);
	bucket_t *bucket;
	guint i;

	if (!*at || find_entry(*at, id, hash) == (*at)->count)
		return FALSE;
	bucket = make_bucket_private(at);
	i = find_entry(bucket, id, hash);
	entry_unref(bucket->entries[i]);
	bucket->entries[i] = bucket->entries[--bucket->count];
	set->size--;
	return TRUE;
}

const document_adapter_t *adapter_set_find(const adapter_set_t *set,
					   const char *id)
{
	guint hash = g_str_hash(id);
	const bucket_t *bucket = *find_bucket(set, hash);
	guint i;

	if (!bucket)
		return NULL;
	i = find_entry(bucket, id, hash);
	return i < bucket->count ? &bucket->entries[i]->adapter : NULL;
}

size_t adapter_set_size(const adapter_set_t *set)
{
	return set->size;
}

void adapter_set_each(const adapter_set_t *set, adapter_each_t each, void *ctx)
{
	guint i;
	guint j;

	for (i = 0; i < set->bucket_count; i++) {
		const bucket_t *bucket = set->buckets[i];

		for (j = 0; bucket && j < bucket->count; j++)
			each(ctx, &bucket->entries[j]->adapter);
	}
}
