#include "config/diff.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/error.h"
#include "config/document_text.h"

typedef struct {
	GPtrArray *found;
	GString *path;
} differ_t;

static void compare(differ_t *differ, JsonNode *before, JsonNode *after);

const char *diff_kind_name(diff_kind_t kind)
{
	switch (kind) {
	case DIFF_ADDED:
		return "added";
	case DIFF_REMOVED:
		return "removed";
	case DIFF_CHANGED:
		return "changed";
	}
	return "";
}

static void difference_free(gpointer data)
{
	difference_t *difference = data;

	g_free(difference->path);
	g_free(difference->before);
	g_free(difference->after);
	g_free(difference);
}

/* A number as people write it: json-glib shows every digit of a double. */
static char *render(JsonNode *node)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_DOUBLE)
		return json_to_string(node, FALSE);
	return g_strdup(g_ascii_formatd(text, sizeof(text), "%.15g",
					json_node_get_double(node)));
}

static void note(differ_t *differ, JsonNode *before, JsonNode *after)
{
	difference_t *difference = g_new0(difference_t, 1);

	difference->kind = DIFF_CHANGED;
	if (!before)
		difference->kind = DIFF_ADDED;
	if (!after)
		difference->kind = DIFF_REMOVED;
	difference->path = g_strdup(differ->path->str);
	difference->before = before ? render(before) : NULL;
	difference->after = after ? render(after) : NULL;
	g_ptr_array_add(differ->found, difference);
}

static void compare_member(differ_t *differ, const char *format,
			   const char *name, JsonNode *before, JsonNode *after)
{
	size_t mark = differ->path->len;

	g_string_append_printf(differ->path, format, name);
	compare(differ, before, after);
	g_string_truncate(differ->path, mark);
}

static void compare_objects(differ_t *differ, JsonObject *before,
			    JsonObject *after)
{
	const char *format = differ->path->len ? ".%s" : "%s";
	GList *names = json_object_get_members(before);
	GList *at;

	for (at = names; at; at = at->next)
		compare_member(differ, format, at->data,
			       json_object_get_member(before, at->data),
			       json_object_get_member(after, at->data));
	g_list_free(names);
	names = json_object_get_members(after);
	for (at = names; at; at = at->next) {
		if (!json_object_has_member(before, at->data))
			compare_member(differ, format, at->data, NULL,
				       json_object_get_member(after, at->data));
	}
	g_list_free(names);
}

/* What an item of a list goes by; free with g_free(). */
static char *item_key(JsonNode *item, gboolean *is_object)
{
	JsonObject *object;
	JsonNode *name;

	*is_object = JSON_NODE_HOLDS_OBJECT(item);
	if (!*is_object)
		return json_to_string(item, FALSE);
	object = json_node_get_object(item);
	name = json_object_get_member(object, "name");
	if (!name)
		name = json_object_get_member(object, "id");
	if (name && JSON_NODE_HOLDS_VALUE(name) &&
	    json_node_get_value_type(name) == G_TYPE_STRING)
		return json_node_dup_string(name);
	return json_to_string(item, FALSE);
}

static GHashTable *index_items(JsonArray *array)
{
	GHashTable *items =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gboolean is_object;
	guint i;

	for (i = 0; i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		g_hash_table_replace(items, item_key(item, &is_object), item);
	}
	return items;
}

static void compare_item(differ_t *differ, JsonNode *item, GHashTable *others,
			 gboolean is_before)
{
	gboolean is_object;
	char *key = item_key(item, &is_object);
	JsonNode *other = g_hash_table_lookup(others, key);
	const char *format = is_object ? "[%s]" : "%.0s";

	if (!other)
		compare_member(differ, format, key, is_before ? item : NULL,
			       is_before ? NULL : item);
	else if (is_before)
		compare_member(differ, format, key, item, other);
	g_free(key);
}

static void compare_arrays(differ_t *differ, JsonArray *before,
			   JsonArray *after)
{
	GHashTable *before_items = index_items(before);
	GHashTable *after_items = index_items(after);
	guint i;

	for (i = 0; i < json_array_get_length(before); i++)
		compare_item(differ, json_array_get_element(before, i),
			     after_items, TRUE);
	for (i = 0; i < json_array_get_length(after); i++)
		compare_item(differ, json_array_get_element(after, i),
			     before_items, FALSE);
	g_hash_table_destroy(before_items);
	g_hash_table_destroy(after_items);
}

static void compare(differ_t *differ, JsonNode *before, JsonNode *after)
{
	if (before && after && JSON_NODE_HOLDS_OBJECT(before) &&
	    JSON_NODE_HOLDS_OBJECT(after))
		compare_objects(differ, json_node_get_object(before),
				json_node_get_object(after));
	else if (before && after && JSON_NODE_HOLDS_ARRAY(before) &&
		 JSON_NODE_HOLDS_ARRAY(after))
		compare_arrays(differ, json_node_get_array(before),
			       json_node_get_array(after));
	else if (!before || !after || !json_node_equal(before, after))
		note(differ, before, after);
}

static JsonParser *load(const char *text, size_t size, GError **error)
{
	faults_t *faults = faults_create();
	JsonParser *parser;

	if (!size) {
		text = "{}";
		size = strlen(text);
	}
	parser = text_parse(text, size, faults);
	if (!parser) {
		const fault_t *fault = g_ptr_array_index(faults->list, 0);

		error_set(error, ERROR_INVALID, "line %d: %s; %s", fault->line,
			  fault->cause, fault->remedy);
	}
	faults_destroy(faults);
	return parser;
}

GPtrArray *diff_texts(const char *before, size_t before_size, const char *after,
		      size_t after_size, GError **error)
{
	JsonParser *old = load(before, before_size, error);
	JsonParser *new = old ? load(after, after_size, error) : NULL;
	differ_t differ = {NULL, NULL};

	if (new) {
		differ.found = g_ptr_array_new_with_free_func(difference_free);
		differ.path = g_string_new(NULL);
		compare(&differ, json_parser_get_root(old),
			json_parser_get_root(new));
		g_string_free(differ.path, TRUE);
		g_object_unref(new);
	}
	if (old)
		g_object_unref(old);
	return differ.found;
}
