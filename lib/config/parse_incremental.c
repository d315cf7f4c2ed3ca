#include "config/parse_incremental.h"

#include <string.h>
#include <xxhash.h>

#include "config/adapter_lists.h"
#include "config/reader.h"

typedef struct {
	const document_t *before;
	reader_t reader; /* for items alone */
	GPtrArray *old_lists;
	GPtrArray *lists;
	GPtrArray *removed; /* of document_adapter_t */
	GPtrArray *added;
	adapter_set_t *adapters;
} revision_t;

static guint item_hash(gconstpointer data)
{
	const list_item_t *item = data;

	return (guint)XXH3_64bits(item->text, item->size);
}

static gboolean item_equal(gconstpointer a, gconstpointer b)
{
	const list_item_t *left = a;
	const list_item_t *right = b;

	return left->size == right->size &&
	       !memcmp(left->text, right->text, left->size);
}

static list_item_t *item_at(const adapter_list_t *list, guint index)
{
	return &g_array_index(list->items, list_item_t, index);
}

static void read_item(revision_t *revision, const adapter_list_t *list,
		      const list_item_t *item, GPtrArray *out)
{
	char *base_model = g_ref_string_new_intern(list->base_model);
	char *text = g_strndup(item->text, item->size);

	if (!reader_adapter_item(&revision->reader, base_model, text, out))
		fields_fault(&revision->reader.fields,
			     g_strdup("too many adapters"), g_strdup(""));
	g_free(text);
	g_ref_string_release(base_model);
}

static void read_first(gpointer data, gpointer ctx)
{
	const adapter_list_t *list = data;
	revision_t *revision = ctx;
	guint i;

	for (i = 0; i < list->items->len; i++)
		read_item(revision, list, item_at(list, i), revision->added);
}

/* Read the items from first on, before the last ones, that differ. */
static void read_changed(revision_t *revision, const adapter_list_t *old,
			 const adapter_list_t *new, guint first, guint last)
{
	GHashTable *gone = g_hash_table_new(item_hash, item_equal);
	GHashTableIter iter;
	gpointer item;
	guint i;

	for (i = first; i < old->items->len - last; i++)
		g_hash_table_add(gone, item_at(old, i));
	for (i = first; i < new->items->len - last; i++) {
		/* One that stands twice is found missing the second time. */
		if (!g_hash_table_remove(gone, item_at(new, i)))
			read_item(revision, new, item_at(new, i),
				  revision->added);
	}
	g_hash_table_iter_init(&iter, gone);
	while (g_hash_table_iter_next(&iter, &item, NULL))
		read_item(revision, old, item, revision->removed);
	g_hash_table_destroy(gone);
}

static void compare_lists(revision_t *revision, const adapter_list_t *old,
			  const adapter_list_t *new)
{
	guint shorter = MIN(old->items->len, new->items->len);
	guint first = 0;
	guint last = 0;

	while (first < shorter &&
	       item_equal(item_at(old, first), item_at(new, first)))
		first++;
	while (last < shorter - first &&
	       item_equal(item_at(old, old->items->len - 1 - last),
			  item_at(new, new->items->len - 1 - last)))
		last++;
	read_changed(revision, old, new, first, last);
}

static gboolean read_lists(revision_t *revision)
{
	guint i;

	if (!revision->lists)
		return FALSE;
	if (!revision->before) {
		g_ptr_array_foreach(revision->lists, read_first, revision);
		return !revision->reader.fields.faults->count;
	}
	if (!revision->old_lists ||
	    revision->old_lists->len != revision->lists->len)
		return FALSE;
	for (i = 0; i < revision->lists->len; i++) {
		adapter_list_t *old = g_ptr_array_index(revision->old_lists, i);
		adapter_list_t *new = g_ptr_array_index(revision->lists, i);

		if (strcmp(old->base_model, new->base_model) != 0)
			return FALSE;
		compare_lists(revision, old, new);
	}
	return !revision->reader.fields.faults->count;
}

static gboolean apply(revision_t *revision)
{
	guint i;

	revision->adapters =
		revision->before ? adapter_set_copy(revision->before->adapters)
				 : adapter_set_create();
	for (i = 0; i < revision->removed->len; i++) {
		const document_adapter_t *adapter =
			g_ptr_array_index(revision->removed, i);

		adapter_set_remove(revision->adapters, adapter->id);
	}
	for (i = 0; i < revision->added->len; i++) {
		if (!adapter_set_add(revision->adapters,
				     g_ptr_array_index(revision->added, i)))
			return FALSE;
	}
	return adapter_set_size(revision->adapters) <= DOCUMENT_ADAPTERS_MAX;
}

/* Whether a caller or a round names this adapter, or all of its versions. */
static gboolean is_named(const document_parts_t *parts, const char *name)
{
	guint i;

	for (i = 0; i < parts->callers->len; i++) {
		const document_caller_t *caller =
			&g_array_index(parts->callers, document_caller_t, i);

		if (g_hash_table_contains(caller->access->exact, name))
			return TRUE;
	}
	return g_hash_table_contains(parts->round_adapters, name);
}

static gboolean has_added_name(const revision_t *revision, const char *name)
{
	guint i;

	for (i = 0; i < revision->added->len; i++) {
		const document_adapter_t *adapter =
			g_ptr_array_index(revision->added, i);

		if (!strcmp(adapter->name, name))
			return TRUE;
	}
	return FALSE;
}

/* Whether what the callers name is declared still, as far as is known. */
static gboolean keeps_named(const revision_t *revision)
{
	const document_parts_t *parts = revision->before->parts;
	guint i;

	for (i = 0; i < revision->removed->len; i++) {
		const document_adapter_t *adapter =
			g_ptr_array_index(revision->removed, i);

		if (!adapter_set_find(revision->adapters, adapter->id) &&
		    is_named(parts, adapter->id))
			return FALSE;
		if (is_named(parts, adapter->name) &&
		    !has_added_name(revision, adapter->name))
			return FALSE;
	}
	return TRUE;
}

/* With the skeletons of both texts. */
static document_t *put_together(revision_t *revision, const GString *old,
				const GString *new, int64_t generation)
{
	if (!old || !g_string_equal(old, new))
		return reader_run(new->str, new->len, generation,
				  adapter_set_ref(revision->adapters),
				  revision->reader.fields.faults);
	if (!keeps_named(revision))
		return NULL;
	return document_create(document_parts_ref(revision->before->parts),
			       adapter_set_ref(revision->adapters), generation);
}

static void revision_release(revision_t *revision)
{
	faults_destroy(revision->reader.fields.faults);
	fields_release(&revision->reader.fields);
	g_clear_pointer(&revision->old_lists, g_ptr_array_unref);
	g_clear_pointer(&revision->lists, g_ptr_array_unref);
	g_ptr_array_unref(revision->removed);
	g_ptr_array_unref(revision->added);
	g_clear_pointer(&revision->adapters, adapter_set_unref);
}

static GPtrArray *create_adapters(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)adapter_unref);
}

document_t *document_parse_incremental(const document_t *before,
				       const char *old_text, size_t old_size,
				       const char *text, size_t size,
				       int64_t generation)
{
	revision_t revision = {.before = before};
	document_t *document = NULL;

	if (size > DOCUMENT_SIZE_MAX ||
	    !g_utf8_validate(text, (gssize)size, NULL))
		return NULL;
	fields_init(&revision.reader.fields, faults_create());
	if (before)
		revision.old_lists = lists_scan(old_text, old_size);
	revision.lists = lists_scan(text, size);
	revision.removed = create_adapters();
	revision.added = create_adapters();
	if (read_lists(&revision) && apply(&revision)) {
		GString *old = before ? lists_skeleton(revision.old_lists,
						       old_text, old_size)
				      : NULL;
		GString *new = lists_skeleton(revision.lists, text, size);

		document = put_together(&revision, old, new, generation);
		if (old)
			g_string_free(old, TRUE);
		g_string_free(new, TRUE);
	}
	revision_release(&revision);
	return document;
}
