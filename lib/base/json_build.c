#include "base/json_build.h"

void json_build_text(JsonBuilder *builder, const char *name, const char *text)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

void json_build_int(JsonBuilder *builder, const char *name, int64_t number)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, number);
}

char *json_build_end(JsonBuilder *builder, gboolean is_pretty)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, is_pretty);

	json_node_unref(root);
	g_object_unref(builder);
	return text;
}
