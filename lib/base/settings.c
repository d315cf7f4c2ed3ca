#include "base/settings.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "base/error.h"
#include "base/json_text.h"

/* A larger file is most likely not a settings file. */
#define SETTINGS_SIZE_MAX (256 * 1024)

static guint edit_distance(const char *a, const char *b)
{
	size_t width = strlen(b) + 1;
	guint *row = g_new(guint, width);
	guint result;
	size_t i;
	size_t j;

	for (j = 0; j < width; j++)
		row[j] = (guint)j;
	for (i = 0; a[i]; i++) {
		guint diagonal = row[0];

		row[0] = (guint)i + 1;
		for (j = 1; j < width; j++) {
			guint above = row[j];
			guint best = diagonal + (a[i] != b[j - 1]);

			best = MIN(best, above + 1);
			row[j] = MIN(best, row[j - 1] + 1);
			diagonal = above;
		}
	}
	result = row[width - 1];
	g_free(row);
	return result;
}

const char *settings_nearest(const char *word, const char *const *candidates)
{
	const char *nearest = NULL;
	guint best = G_MAXUINT;

	for (; *candidates; candidates++) {
		guint distance = edit_distance(word, *candidates);

		if (distance < best) {
			best = distance;
			nearest = *candidates;
		}
	}
	return nearest;
}

static const setting_t *find_setting(const setting_t *table, const char *name)
{
	for (; table->name; table++) {
		if (!strcmp(table->name, name))
			return table;
	}
	return NULL;
}

static gboolean check_names(const char *file, JsonObject *object,
			    const setting_t *table, GError **error)
{
	GPtrArray *names = g_ptr_array_new();
	GList *members = json_object_get_members(object);
	const setting_t *entry;
	gboolean ok = TRUE;
	GList *at;

	for (entry = table; entry->name; entry++)
		g_ptr_array_add(names, (gpointer)entry->name);
	g_ptr_array_add(names, NULL);
	for (at = members; at && ok; at = at->next) {
		const char *name = at->data;

		if (find_setting(table, name))
			continue;
		error_set(error, ERROR_INVALID,
			  "%s: unknown setting '%s'; did you mean '%s'?", file,
			  name,
			  settings_nearest(name,
					   (const char *const *)names->pdata));
		ok = FALSE;
	}
	g_list_free(members);
	g_ptr_array_free(names, TRUE);
	return ok;
}

static gboolean set_type_error(const char *file, const setting_t *setting,
			       const char *expected, GError **error)
{
	error_set(error, ERROR_INVALID, "%s: setting '%s' must be %s", file,
		  setting->name, expected);
	return FALSE;
}

static gboolean is_of_type(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

static gboolean parse_int(const char *file, const setting_t *setting,
			  JsonNode *node, GError **error)
{
	int64_t value;

	if (!is_of_type(node, G_TYPE_INT64))
		return set_type_error(file, setting, "a whole number", error);
	value = json_node_get_int(node);
	if ((setting->min || setting->max) &&
	    (value < setting->min || value > setting->max)) {
		error_set(error, ERROR_INVALID,
			  "%s: setting '%s' is %" G_GINT64_FORMAT
			  "; give a value from %" G_GINT64_FORMAT
			  " to %" G_GINT64_FORMAT,
			  file, setting->name, value, setting->min,
			  setting->max);
		return FALSE;
	}
	*(int64_t *)setting->value = value;
	return TRUE;
}

static gboolean parse_number(const char *file, const setting_t *setting,
			     JsonNode *node, GError **error)
{
	double value;

	if (!is_of_type(node, G_TYPE_INT64) && !is_of_type(node, G_TYPE_DOUBLE))
		return set_type_error(file, setting, "a number", error);
	value = json_node_get_double(node);
	if ((setting->min || setting->max) &&
	    !(value >= (double)setting->min && value <= (double)setting->max)) {
		error_set(error, ERROR_INVALID,
			  "%s: setting '%s' is %g; give a value from "
			  "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
			  file, setting->name, value, setting->min,
			  setting->max);
		return FALSE;
	}
	*(double *)setting->value = value;
	return TRUE;
}

static gboolean parse_list(const char *file, const setting_t *setting,
			   JsonNode *node, GError **error)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(g_free);
	JsonArray *array;
	guint i;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		goto refuse;
	array = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		if (!is_of_type(item, G_TYPE_STRING))
			goto refuse;
		g_ptr_array_add(items, g_strdup(json_node_get_string(item)));
	}
	g_ptr_array_add(items, NULL);
	*(char ***)setting->value = (char **)g_ptr_array_free(items, FALSE);
	return TRUE;
refuse:
	g_ptr_array_free(items, TRUE);
	return set_type_error(file, setting, "a list of strings", error);
}

static gboolean parse_value(const char *file, const setting_t *setting,
			    JsonNode *node, GError **error)
{
	switch (setting->type) {
	case SETTING_TEXT:
		if (!is_of_type(node, G_TYPE_STRING))
			return set_type_error(file, setting, "a string", error);
		*(char **)setting->value = g_strdup(json_node_get_string(node));
		return TRUE;
	case SETTING_BOOL:
		if (!is_of_type(node, G_TYPE_BOOLEAN))
			return set_type_error(file, setting, "true or false",
					      error);
		*(gboolean *)setting->value = json_node_get_boolean(node);
		return TRUE;
	case SETTING_INT:
		return parse_int(file, setting, node, error);
	case SETTING_NUMBER:
		return parse_number(file, setting, node, error);
	case SETTING_LIST:
		return parse_list(file, setting, node, error);
	}
	return FALSE;
}

static gboolean apply_default(const char *file, const setting_t *setting,
			      GError **error)
{
	JsonNode *node;
	gboolean ok;

	if (!setting->fallback) {
		error_set(error, ERROR_INVALID,
			  "%s: setting '%s' is missing; add it to the file",
			  file, setting->name);
		return FALSE;
	}
	if (setting->type == SETTING_TEXT) {
		*(char **)setting->value = g_strdup(setting->fallback);
		return TRUE;
	}
	node = json_from_string(setting->fallback, NULL);
	g_assert(node);
	ok = parse_value(file, setting, node, error);
	json_node_free(node);
	return ok;
}

static gboolean parse_object(const char *file, JsonObject *object,
			     const setting_t *table, GError **error)
{
	if (!check_names(file, object, table, error))
		return FALSE;
	for (; table->name; table++) {
		JsonNode *node = json_object_get_member(object, table->name);
		gboolean ok;

		if (node)
			ok = parse_value(file, table, node, error);
		else
			ok = apply_default(file, table, error);
		if (!ok)
			return FALSE;
	}
	return TRUE;
}

static gboolean load(JsonParser *parser, const char *name, const char *text,
		     gssize size, GError **error)
{
	size_t length = size < 0 ? strlen(text) : (size_t)size;
	GError *cause = NULL;
	char *copy;
	int line;

	if (!g_utf8_validate(text, size, NULL)) {
		error_set(error, ERROR_INVALID,
			  "%s: not UTF-8; save the file as UTF-8", name);
		return FALSE;
	}
	copy = g_strndup(text, length);
	line = json_text_prepare(copy, length);
	if (line) {
		error_set(error, ERROR_INVALID,
			  "%s: line %d: brackets nest too deeply; check "
			  "for a missing closing bracket",
			  name, line);
	} else if (!json_parser_load_from_data(parser, copy, (gssize)length,
					       &cause)) {
		error_set(error, ERROR_INVALID, "%s: %s; correct the JSON",
			  name, cause->message);
		line = -1;
		g_error_free(cause);
	}
	g_free(copy);
	return !line;
}

gboolean settings_parse(const char *name, const char *text, gssize size,
			const setting_t *table, GError **error)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root;
	gboolean ok = FALSE;

	if (!load(parser, name, text, size, error))
		goto done;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		error_set(error, ERROR_INVALID,
			  "%s: the file must hold one JSON object", name);
		goto done;
	}
	ok = parse_object(name, json_node_get_object(root), table, error);
done:
	g_object_unref(parser);
	return ok;
}

gboolean settings_load(const char *path, const setting_t *table, GError **error)
{
	GError *cause = NULL;
	char *text = NULL;
	gsize size;
	gboolean ok;

	if (!g_file_get_contents(path, &text, &size, &cause)) {
		error_set(error, ERROR_NOT_FOUND,
			  "%s; name a readable settings file", cause->message);
		g_error_free(cause);
		return FALSE;
	}
	if (size > SETTINGS_SIZE_MAX) {
		error_set(error, ERROR_INVALID,
			  "%s: larger than %d bytes; is it a settings file?",
			  path, SETTINGS_SIZE_MAX);
		g_free(text);
		return FALSE;
	}
	ok = settings_parse(path, text, (gssize)size, table, error);
	g_free(text);
	return ok;
}
