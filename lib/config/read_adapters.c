/* Parses the adapters of a document. */

#include <string.h>

#include "config/range.h"
#include "config/reader.h"

typedef struct {
	reader_t *reader;
	char *base_model; /* of g_ref_string_new_intern() */
	char **versions;
	GPtrArray *out; /* of document_adapter_t */
	gboolean is_full;
} adapter_reader_t;

static void add_versions(void *ctx, const char *name)
{
	adapter_reader_t *state = ctx;
	char **version;

	if (!reader_check_name(state->reader, "", name))
		return;
	for (version = state->versions; *version; version++) {
		if (!reader_check_name(state->reader, "", *version))
			continue;
		if (state->out->len >= DOCUMENT_ADAPTERS_MAX) {
			state->is_full = TRUE;
			return;
		}
		g_ptr_array_add(state->out,
				(gpointer)adapter_create(name, *version,
							 state->base_model));
	}
}

static void read_versions(adapter_reader_t *state, const char *text,
			  const char *at)
{
	char *name = g_strndup(text, (gsize)(at - text));
	const char *cause;

	state->versions = g_strsplit(at + 1, ",", 0);
	cause = *state->versions ? range_expand(name, add_versions, state)
				 : "no version";
	if (cause)
		fields_add_fault(&state->reader->fields,
				 g_strdup_printf("'%s': %s", text, cause),
				 g_strdup("write such as \"name@1,2\" or "
					  "\"name-{001..250}@1\""));
	g_strfreev(state->versions);
	g_free(name);
}

gboolean reader_adapter_item(reader_t *reader, char *base_model,
			     const char *text, GPtrArray *out)
{
	adapter_reader_t state = {reader, base_model, NULL, out, FALSE};
	const char *at = strchr(text, '@');

	if (at)
		read_versions(&state, text, at);
	else
		fields_add_fault(&reader->fields,
				 g_strdup_printf("'%s' has no version", text),
				 g_strdup("write it as \"name@version\""));
	return !state.is_full;
}

static gboolean read_list(reader_t *reader, char *base_model, JsonArray *list,
			  GPtrArray *out)
{
	fields_t *fields = &reader->fields;
	size_t top = fields_enter(fields, "adapters");
	gboolean ok = TRUE;
	guint i;

	for (i = 0; i < json_array_get_length(list); i++) {
		size_t mark = fields_enter_item(fields, i);
		const char *text =
			fields_text(fields, json_array_get_element(list, i));

		if (text && !reader_adapter_item(reader, base_model, text, out))
			ok = FALSE;
		fields_leave(fields, mark);
	}
	fields_leave(fields, top);
	return ok;
}

static void read_base_model(reader_t *reader, const char *name, JsonNode *node,
			    GPtrArray *out)
{
	JsonObject *object = fields_object(&reader->fields, node);
	JsonArray *list = NULL;
	const field_t table[] = {
		{"adapters", FIELD_LIST, TRUE, &list, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};
	char *base_model;

	if (!reader_check_name(reader, "", name) || !object)
		return;
	fields_read(&reader->fields, object, table);
	base_model = g_ref_string_new_intern(name);
	if (list && !read_list(reader, base_model, list, out))
		fields_add_fault(
			&reader->fields, g_strdup("too many adapters"),
			g_strdup_printf("keep within %d adapter versions",
					DOCUMENT_ADAPTERS_MAX));
	g_ref_string_release(base_model);
}

static void index_adapters(reader_t *reader, const GPtrArray *adapters)
{
	guint i;

	for (i = 0; i < adapters->len; i++) {
		const document_adapter_t *adapter =
			g_ptr_array_index(adapters, i);

		if (!adapter_set_add(reader->adapters, adapter))
			reader_fault_duplicate(reader, "", adapter->id);
	}
}

static void check_base_models(reader_t *reader, JsonObject *base_models)
{
	GArray *services = reader->parts->services;
	guint i;

	for (i = 0; i < services->len; i++) {
		const char *name =
			g_array_index(services, document_service_t, i)
				.base_model;
		size_t mark;

		if (!name || json_object_has_member(base_models, name))
			continue;
		mark = fields_enter(&reader->fields, "services");
		fields_enter_item(&reader->fields, i);
		fields_add_fault_at(
			&reader->fields, "base_model",
			g_strdup_printf("'%s' is not declared", name),
			g_strdup("add it to \"base_models\""));
		fields_leave(&reader->fields, mark);
	}
}

void reader_adapters(reader_t *reader, JsonObject *base_models)
{
	GPtrArray *adapters =
		g_ptr_array_new_with_free_func((GDestroyNotify)adapter_unref);
	size_t top = fields_enter(&reader->fields, "base_models");
	GList *names = json_object_get_members(base_models);
	GList *at;

	for (at = names; at; at = at->next) {
		size_t mark = fields_enter(&reader->fields, at->data);

		read_base_model(reader, at->data,
				json_object_get_member(base_models, at->data),
				adapters);
		fields_leave(&reader->fields, mark);
	}
	g_list_free(names);
	index_adapters(reader, adapters);
	fields_leave(&reader->fields, top);
	check_base_models(reader, base_models);
	g_ptr_array_unref(adapters);
}

static void note_id(void *ctx, const document_adapter_t *adapter)
{
	g_hash_table_add(ctx, (gpointer)adapter);
}

static void note_name(void *ctx, const document_adapter_t *adapter)
{
	g_hash_table_add(ctx, (gpointer)adapter->name);
}

gboolean reader_has_adapter_id(reader_t *reader, const char *id)
{
	if (adapter_set_find(reader->adapters, id))
		return TRUE;
	if (!reader->adapter_ids) {
		reader->adapter_ids =
			g_hash_table_new(document_key_hash, document_key_equal);
		adapter_set_each(reader->adapters, note_id,
				 reader->adapter_ids);
	}
	return reader_find(reader, reader->adapter_ids, id, "") != NULL;
}

gboolean reader_has_adapter_name(reader_t *reader, const char *name)
{
	if (!reader->adapter_names) {
		reader->adapter_names =
			g_hash_table_new(g_str_hash, g_str_equal);
		adapter_set_each(reader->adapters, note_name,
				 reader->adapter_names);
	}
	return g_hash_table_contains(reader->adapter_names, name);
}
