#include "base/json_member.h"

#include <string.h>

#include "base/error.h"
#include "base/json_text.h"

gboolean json_load(JsonParser *parser, const char *text, gssize size,
		   GError **error)
{
	size_t length = size < 0 ? strlen(text) : (size_t)size;
	char *copy = g_malloc(length + 1);
	gboolean ok = FALSE;

	memcpy(copy, text, length);
	copy[length] = '\0';
	if (json_text_prepare(copy, length))
		error_set(error, ERROR_INVALID,
			  "brackets nest too deeply; send less nested JSON");
	else
		ok = json_parser_load_from_data(parser, copy, (gssize)length,
						error);
	g_free(copy);
	return ok;
}

JsonNode *json_load_node(const char *text)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_load(parser, text, -1, NULL))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	return root;
}

JsonParser *json_parse_object(const char *text, size_t size,
			      JsonObject **object)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_load(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		*object = json_node_get_object(root);
		return parser;
	}
	g_object_unref(parser);
	return NULL;
}

static JsonNode *member_of_type(JsonObject *object, const char *name,
				JsonNodeType type)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && json_node_get_node_type(node) == type ? node : NULL;
}

/* Returns the member if it is a scalar of this type, else NULL. */
static JsonNode *member_value(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = member_of_type(object, name, JSON_NODE_VALUE);

	return node && json_node_get_value_type(node) == type ? node : NULL;
}

JsonObject *json_member_object(JsonObject *object, const char *name)
{
	JsonNode *node = member_of_type(object, name, JSON_NODE_OBJECT);

	return node ? json_node_get_object(node) : NULL;
}

JsonArray *json_member_array(JsonObject *object, const char *name)
{
	JsonNode *node = member_of_type(object, name, JSON_NODE_ARRAY);

	return node ? json_node_get_array(node) : NULL;
}

const char *json_member_text(JsonObject *object, const char *name)
{
	JsonNode *node = member_value(object, name, G_TYPE_STRING);

	return node ? json_node_get_string(node) : NULL;
}

gboolean json_member_bool(JsonObject *object, const char *name)
{
	JsonNode *node = member_value(object, name, G_TYPE_BOOLEAN);

	return node && json_node_get_boolean(node);
}

gboolean json_member_int(JsonObject *object, const char *name, int64_t *number)
{
	JsonNode *node = member_value(object, name, G_TYPE_INT64);

	if (!node)
		return FALSE;
	*number = json_node_get_int(node);
	return TRUE;
}

JsonObject *json_element_object(JsonArray *array, guint i)
{
	JsonNode *node = json_array_get_element(array, i);

	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
