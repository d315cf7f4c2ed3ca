#include "config/fields.h"

#include <string.h>

#include "base/settings.h"

/* A member, or an item of a list if name is NULL. */
typedef struct {
	const char *name;
	guint index;
} segment_t;

void fields_init(fields_t *fields, faults_t *faults)
{
	fields->faults = faults;
	fields->path = g_array_new(FALSE, FALSE, sizeof(segment_t));
}

void fields_release(fields_t *fields)
{
	g_array_free(fields->path, TRUE);
}

static size_t enter(fields_t *fields, const char *name, guint index)
{
	segment_t segment = {name, index};
	size_t mark = fields->path->len;

	g_array_append_val(fields->path, segment);
	return mark;
}

size_t fields_enter(fields_t *fields, const char *member)
{
	return enter(fields, member, 0);
}

size_t fields_enter_item(fields_t *fields, guint index)
{
	return enter(fields, NULL, index);
}

void fields_leave(fields_t *fields, size_t mark)
{
	g_array_set_size(fields->path, (guint)mark);
}

char *fields_path(const fields_t *fields)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < fields->path->len; i++) {
		const segment_t *segment =
			&g_array_index(fields->path, segment_t, i);

		if (!segment->name)
			g_string_append_printf(text, "[%u]", segment->index);
		else if (text->len && *segment->name)
			g_string_append_printf(text, ".%s", segment->name);
		else
			g_string_append(text, segment->name);
	}
	return g_string_free(text, FALSE);
}

void fields_add_fault(fields_t *fields, char *cause, char *remedy)
{
	char *path = fields_path(fields);

	faults_add(fields->faults, path, 0, cause, remedy);
	g_free(path);
}

void fields_add_fault_at(fields_t *fields, const char *member, char *cause,
			 char *remedy)
{
	size_t mark = fields_enter(fields, member);

	fields_add_fault(fields, cause, remedy);
	fields_leave(fields, mark);
}

static gboolean is_known(const field_t *table, const char *name)
{
	for (; table->name; table++) {
		if (!strcmp(table->name, name))
			return TRUE;
	}
	return FALSE;
}

static void add_unknown_key_fault(fields_t *fields, const field_t *table,
				  const char *name)
{
	GPtrArray *names = g_ptr_array_new();

	for (; table->name; table++)
		g_ptr_array_add(names, (gpointer)table->name);
	g_ptr_array_add(names, NULL);
	fields_add_fault_at(
		fields, name, g_strdup("unknown key"),
		g_strdup_printf(
			"remove it, or did you mean '%s'?",
			settings_nearest(name,
					 (const char *const *)names->pdata)));
	g_ptr_array_free(names, TRUE);
}

static gboolean check_names(fields_t *fields, JsonObject *object,
			    const field_t *table)
{
	GList *members = json_object_get_members(object);
	gboolean ok = TRUE;
	GList *at;

	for (at = members; at; at = at->next) {
		if (is_known(table, at->data))
			continue;
		add_unknown_key_fault(fields, table, at->data);
		ok = FALSE;
	}
	g_list_free(members);
	return ok;
}

static gboolean add_type_fault(fields_t *fields, const char *expected)
{
	fields_add_fault(fields, g_strdup("a value of the wrong type"),
			 g_strdup_printf("give %s", expected));
	return FALSE;
}

static gboolean has_type(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

static gboolean check_range(fields_t *fields, const field_t *field,
			    double value)
{
	if (!field->min && !field->max)
		return TRUE;
	if (value >= field->min && value <= field->max)
		return TRUE;
	fields_add_fault(fields,
			 g_strdup_printf("%.15g is out of range", value),
			 g_strdup_printf("give a value from %.15g to %.15g",
					 field->min, field->max));
	return FALSE;
}

static gboolean read_int(fields_t *fields, const field_t *field, JsonNode *node)
{
	int64_t value;

	if (!has_type(node, G_TYPE_INT64))
		return add_type_fault(fields, "a whole number");
	value = json_node_get_int(node);
	if (!check_range(fields, field, (double)value))
		return FALSE;
	*(int64_t *)field->value = value;
	return TRUE;
}

static gboolean read_number(fields_t *fields, const field_t *field,
			    JsonNode *node)
{
	double value;

	if (!has_type(node, G_TYPE_INT64) && !has_type(node, G_TYPE_DOUBLE))
		return add_type_fault(fields, "a number");
	value = json_node_get_double(node);
	if (!check_range(fields, field, value))
		return FALSE;
	*(double *)field->value = value;
	return TRUE;
}

static gboolean read_value(fields_t *fields, const field_t *field,
			   JsonNode *node)
{
	switch (field->type) {
	case FIELD_TEXT:
		if (!has_type(node, G_TYPE_STRING))
			return add_type_fault(fields, "a string");
		*(const char **)field->value = json_node_get_string(node);
		return TRUE;
	case FIELD_BOOL:
		if (!has_type(node, G_TYPE_BOOLEAN))
			return add_type_fault(fields, "true or false");
		*(gboolean *)field->value = json_node_get_boolean(node);
		return TRUE;
	case FIELD_INT:
		return read_int(fields, field, node);
	case FIELD_NUMBER:
		return read_number(fields, field, node);
	case FIELD_LIST:
		if (!JSON_NODE_HOLDS_ARRAY(node))
			return add_type_fault(fields, "a list");
		*(JsonArray **)field->value = json_node_get_array(node);
		return TRUE;
	case FIELD_OBJECT:
		if (!JSON_NODE_HOLDS_OBJECT(node))
			return add_type_fault(fields, "an object");
		*(JsonObject **)field->value = json_node_get_object(node);
		return TRUE;
	}
	return FALSE;
}

static gboolean read_field(fields_t *fields, JsonObject *object,
			   const field_t *field)
{
	JsonNode *node = json_object_get_member(object, field->name);
	size_t mark;
	gboolean ok;

	if (!node && !field->is_required)
		return TRUE;
	mark = fields_enter(fields, field->name);
	if (node) {
		ok = read_value(fields, field, node);
	} else {
		fields_add_fault(fields, g_strdup("missing"),
				 g_strdup("add it"));
		ok = FALSE;
	}
	fields_leave(fields, mark);
	return ok;
}

gboolean fields_read(fields_t *fields, JsonObject *object, const field_t *table)
{
	gboolean ok = check_names(fields, object, table);

	for (; table->name; table++) {
		if (!read_field(fields, object, table))
			ok = FALSE;
	}
	return ok;
}

JsonObject *fields_object(fields_t *fields, JsonNode *node)
{
	if (JSON_NODE_HOLDS_OBJECT(node))
		return json_node_get_object(node);
	add_type_fault(fields, "an object");
	return NULL;
}

const char *fields_text(fields_t *fields, JsonNode *node)
{
	if (has_type(node, G_TYPE_STRING))
		return json_node_get_string(node);
	add_type_fault(fields, "a string");
	return NULL;
}
