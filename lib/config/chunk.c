#include "config/chunk.h"

#include <json-glib/json-glib.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"
#include "base/json_build.h"
#include "base/json_member.h"

#define NAMES_MAX 20000

char *chunk_name(const char *data, size_t size)
{
	XXH128_hash_t hash = XXH3_128bits(data, size);

	return g_strdup_printf("%016" G_GINT64_MODIFIER "x%016" //
			       G_GINT64_MODIFIER "x",
			       (guint64)hash.high64, (guint64)hash.low64);
}

/* Whether a chunk of at least the minimum size ends after this line. */
static gboolean is_boundary(const char *line, size_t size)
{
	/* The chance is equal per byte, so it grows with the line length. */
	return XXH3_64bits(line, size) % CHUNK_SIZE_TARGET < size;
}

/* Returns the size of the first chunk of a text. */
static size_t first_chunk_size(const char *text, size_t size)
{
	size_t used = 0;

	while (used < size) {
		const char *line = text + used;
		const char *end = memchr(line, '\n', size - used);
		size_t length = end ? (size_t)(end - line) + 1 : size - used;

		if (used + length > CHUNK_SIZE_MAX)
			return used ? used : CHUNK_SIZE_MAX;
		used += length;
		if (used >= CHUNK_SIZE_MIN && is_boundary(line, length))
			return used;
	}
	return used;
}

typedef void (*chunk_each_t)(void *ctx, const char *data, size_t size);

static void foreach_chunk(const char *text, size_t size, chunk_each_t each,
			  void *ctx)
{
	while (size) {
		size_t length = first_chunk_size(text, size);

		each(ctx, text, length);
		text += length;
		size -= length;
	}
}

static void add_name(void *ctx, const char *data, size_t size)
{
	g_ptr_array_add(ctx, chunk_name(data, size));
}

static void add_chunk(void *ctx, const char *data, size_t size)
{
	g_hash_table_replace(ctx, chunk_name(data, size),
			     g_bytes_new(data, size));
}

GHashTable *chunk_split(const char *text, size_t size)
{
	GHashTable *table = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);

	foreach_chunk(text, size, add_chunk, table);
	return table;
}

manifest_t *manifest_create(const char *text, size_t size)
{
	manifest_t *manifest = g_new0(manifest_t, 1);

	manifest->size = (int64_t)size;
	manifest->hash = chunk_name(text, size);
	manifest->chunks = g_ptr_array_new_with_free_func(g_free);
	foreach_chunk(text, size, add_name, manifest->chunks);
	return manifest;
}

static void free_names(GPtrArray *names)
{
	if (names)
		g_ptr_array_unref(names);
}

void manifest_destroy(manifest_t *manifest)
{
	if (!manifest)
		return;
	g_free(manifest->commit);
	g_free(manifest->author);
	g_free(manifest->note);
	g_free(manifest->hash);
	free_names(manifest->chunks);
	free_names(manifest->added);
	free_names(manifest->replaced);
	g_free(manifest);
}

static void render_text(JsonBuilder *builder, const char *name,
			const char *text)
{
	json_build_text(builder, name, text ? text : "");
}

static void render_names(JsonBuilder *builder, const char *name,
			 const GPtrArray *names)
{
	guint i;

	if (!names)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (i = 0; i < names->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(names, i));
	json_builder_end_array(builder);
}

char *manifest_render(const manifest_t *manifest)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_build_int(builder, "generation", manifest->generation);
	render_text(builder, "commit", manifest->commit);
	render_text(builder, "author", manifest->author);
	render_text(builder, "note", manifest->note);
	json_build_int(builder, "time", manifest->time);
	json_build_int(builder, "size", manifest->size);
	render_text(builder, "hash", manifest->hash);
	render_names(builder, "chunks", manifest->chunks);
	render_names(builder, "added", manifest->added);
	render_names(builder, "replaced", manifest->replaced);
	json_builder_end_object(builder);
	return json_build_end(builder, FALSE);
}

char *manifest_render_form(const manifest_t *manifest, gboolean has_chunks,
			   gboolean has_changes)
{
	manifest_t form = *manifest;

	if (!has_chunks)
		form.chunks = NULL;
	if (!has_changes) {
		form.added = NULL;
		form.replaced = NULL;
	}
	return manifest_render(&form);
}

/* Append to out the distinct names of from that are not in without. */
static void append_difference(const GPtrArray *from, const GPtrArray *without,
			      GPtrArray *out)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; without && i < without->len; i++)
		g_hash_table_add(seen, g_ptr_array_index(without, i));
	for (i = 0; from && i < from->len; i++) {
		char *name = g_ptr_array_index(from, i);

		if (g_hash_table_add(seen, name))
			g_ptr_array_add(out, g_strdup(name));
	}
	g_hash_table_destroy(seen);
}

static GPtrArray *difference(const GPtrArray *from, const GPtrArray *without)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	append_difference(from, without, names);
	return names;
}

void manifest_compare(manifest_t *manifest, const GPtrArray *before)
{
	free_names(manifest->added);
	free_names(manifest->replaced);
	manifest->added = difference(manifest->chunks, before);
	manifest->replaced = difference(before, manifest->chunks);
}

static gboolean read_text(JsonObject *object, const char *name, char **text)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return FALSE;
	*text = json_node_dup_string(node);
	return TRUE;
}

static gboolean read_int(JsonObject *object, const char *name, int64_t *value)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return FALSE;
	*value = json_node_get_int(node);
	return *value >= 0;
}

static gboolean is_chunk_name(JsonNode *node)
{
	const char *name;

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return FALSE;
	name = json_node_get_string(node);
	return strlen(name) == CHUNK_NAME_LENGTH &&
	       strspn(name, "0123456789abcdef") == CHUNK_NAME_LENGTH;
}

static gboolean read_names(JsonObject *object, const char *name,
			   GPtrArray **names)
{
	JsonNode *node = json_object_get_member(object, name);
	JsonArray *array;
	guint i;

	if (!node)
		return TRUE;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return FALSE;
	array = json_node_get_array(node);
	if (json_array_get_length(array) > NAMES_MAX)
		return FALSE;
	*names = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		if (!is_chunk_name(item))
			return FALSE;
		g_ptr_array_add(*names, json_node_dup_string(item));
	}
	return TRUE;
}

static gboolean read_manifest(JsonObject *object, manifest_t *manifest)
{
	return read_int(object, "generation", &manifest->generation) &&
	       read_text(object, "commit", &manifest->commit) &&
	       read_text(object, "author", &manifest->author) &&
	       read_text(object, "note", &manifest->note) &&
	       read_int(object, "time", &manifest->time) &&
	       read_int(object, "size", &manifest->size) &&
	       read_text(object, "hash", &manifest->hash) &&
	       read_names(object, "chunks", &manifest->chunks) &&
	       read_names(object, "added", &manifest->added) &&
	       read_names(object, "replaced", &manifest->replaced);
}

manifest_t *manifest_parse(const char *text, size_t size, GError **error)
{
	JsonParser *parser = json_parser_new();
	manifest_t *manifest = g_new0(manifest_t, 1);
	JsonNode *root = NULL;

	if (g_utf8_validate(text, (gssize)size, NULL) &&
	    json_load(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root) ||
	    !read_manifest(json_node_get_object(root), manifest)) {
		error_set(error, ERROR_PROTOCOL,
			  "a configuration manifest is malformed; "
			  "commit the document again");
		manifest_destroy(manifest);
		manifest = NULL;
	}
	g_object_unref(parser);
	return manifest;
}

char *chunk_concat(const GPtrArray *names, GHashTable *table, size_t *size,
		   GError **error)
{
	GString *text;
	guint i;

	*size = 0;
	for (i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		GBytes *chunk = g_hash_table_lookup(table, name);

		if (!chunk) {
			error_set(error, ERROR_NOT_FOUND,
				  "chunk %s is missing; fetch it again", name);
			return NULL;
		}
		*size += g_bytes_get_size(chunk);
	}
	text = g_string_sized_new(*size);
	for (i = 0; i < names->len; i++) {
		gsize length;
		const char *data = g_bytes_get_data(
			g_hash_table_lookup(table, g_ptr_array_index(names, i)),
			&length);

		g_string_append_len(text, data, (gssize)length);
	}
	return g_string_free(text, FALSE);
}

char *chunk_join(const manifest_t *manifest, GHashTable *table, size_t *size,
		 GError **error)
{
	char *text = chunk_concat(manifest->chunks, table, size, error);
	char *hash;
	gboolean ok;

	if (!text)
		return NULL;
	hash = chunk_name(text, *size);
	ok = !strcmp(hash, manifest->hash);
	g_free(hash);
	if (ok)
		return text;
	error_set(error, ERROR_PROTOCOL,
		  "the text of generation %" G_GINT64_FORMAT
		  " doesn't match the hash in its manifest; "
		  "commit the document again",
		  manifest->generation);
	g_free(text);
	return NULL;
}
