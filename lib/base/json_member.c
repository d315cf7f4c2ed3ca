#include "base/json_member.h"

JsonParser *json_parse_object(const char *text, size_t size,
			      JsonObject **object)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		*object = json_node_get_object(root);
		return parser;
	}
	g_object_unref(parser);
	return NULL;
}

static JsonNode *member(JsonObject *object, const char *name, JsonNodeType type)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && json_node_get_node_type(node) == type ? node : NULL;
}

/* A member that holds a value of this type, or NULL. */
static JsonNode *member_value(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = member(object, name, JSON_NODE_VALUE);

	return node && json_node_get_value_type(node) == type ? node : NULL;
}

JsonObject *json_member_object(JsonObject *object, const char *name)
{
	JsonNode *node = member(object, name, JSON_NODE_OBJECT);

	return node ? json_node_get_object(node) : NULL;
}

JsonArray *json_member_array(JsonObject *object, const char *name)
{
	JsonNode *node = member(object, name, JSON_NODE_ARRAY);

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
