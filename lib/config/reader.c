#include "config/reader.h"

#include <string.h>

#include "base/settings.h"
#include "config/parse_incremental.h"
#include "config/document_text.h"
#define FORMAT	      1
#define NAME_SIZE_MAX 100

/* Begins a placeholder; no name holds it. */
#define PLACEHOLDER '?'

/* Near names are sought among thousands: not for every one of many faults. */
#define NEAREST_SEARCHES_MAX 20

const char *reader_intern(reader_t *reader, const char *text)
{
	return g_string_chunk_insert_const(reader->parts->strings, text);
}

static gboolean is_name(const char *name)
{
	const char *at;

	for (at = name; *at; at++) {
		if (!g_ascii_isalnum(*at) && *at != '.' && *at != '_' &&
		    *at != '-')
			return FALSE;
	}
	return at > name && at - name <= NAME_SIZE_MAX;
}

gboolean reader_check_name(reader_t *reader, const char *member,
			   const char *name)
{
	if (is_name(name))
		return TRUE;
	fields_fault_at(&reader->fields, member,
			g_strdup_printf("'%s' is not a name", name),
			g_strdup_printf("use 1 to %d letters, digits, '.', "
					"'_' or '-'",
					NAME_SIZE_MAX));
	return FALSE;
}

const char *reader_name(reader_t *reader, const char *member, const char *name)
{
	if (!name || !reader_check_name(reader, member, name))
		return NULL;
	return reader_intern(reader, name);
}

const char *reader_placeholder(reader_t *reader)
{
	char *path = fields_path(&reader->fields);
	char *name = g_strdup_printf("%c%s", PLACEHOLDER, path);
	const char *kept = reader_intern(reader, name);

	g_free(path);
	g_free(name);
	return kept;
}

void reader_fault_twice(reader_t *reader, const char *member, const char *name)
{
	fields_fault_at(&reader->fields, member,
			g_strdup_printf("'%s' stands twice", name),
			g_strdup("keep one of the two"));
}

void reader_add_unique(reader_t *reader, GHashTable *set, gpointer item,
		       const char *member)
{
	if (!g_hash_table_contains(set, item)) {
		g_hash_table_add(set, item);
		return;
	}
	reader_fault_twice(reader, member, *(const char **)item);
}

static const char *find_nearest(reader_t *reader, GHashTable *set,
				const char *name)
{
	GPtrArray *names;
	GHashTableIter iter;
	const char *nearest;
	gpointer item;

	if (!reader->nearest_budget)
		return NULL;
	reader->nearest_budget--;
	names = g_ptr_array_new();
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (**(char **)item != PLACEHOLDER)
			g_ptr_array_add(names, *(gpointer *)item);
	}
	g_ptr_array_add(names, NULL);
	nearest = settings_nearest(name, (const char *const *)names->pdata);
	g_ptr_array_free(names, TRUE);
	return nearest;
}

gpointer reader_find(reader_t *reader, GHashTable *set, const char *name,
		     const char *member)
{
	gpointer item = g_hash_table_lookup(set, &name);
	const char *nearest;

	if (item)
		return item;
	nearest = find_nearest(reader, set, name);
	fields_fault_at(&reader->fields, member,
			g_strdup_printf("'%s' is not declared", name),
			nearest ? g_strdup_printf("declare it, or did you mean "
						  "'%s'?",
						  nearest)
				: g_strdup("declare it"));
	return NULL;
}

static const char **read_domains(reader_t *reader, JsonArray *list)
{
	guint count = json_array_get_length(list);
	const char **domains = g_new0(const char *, count + 1);
	guint used = 0;
	guint i;

	for (i = 0; i < count; i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		const char *name = fields_text(&reader->fields,
					       json_array_get_element(list, i));

		name = reader_name(reader, "", name);
		if (name)
			domains[used++] = name;
		fields_leave(&reader->fields, mark);
	}
	g_ptr_array_add(reader->parts->lists, domains);
	return domains;
}

void reader_regions(reader_t *reader, JsonObject *regions)
{
	size_t top = fields_enter(&reader->fields, "regions");
	GList *names = json_object_get_members(regions);
	GList *at;

	for (at = names; at; at = at->next) {
		JsonNode *node = json_object_get_member(regions, at->data);
		size_t mark = fields_enter(&reader->fields, at->data);
		document_region_t region = {0};

		region.name = reader_name(reader, "", at->data);
		if (JSON_NODE_HOLDS_ARRAY(node))
			region.failure_domains =
				read_domains(reader, json_node_get_array(node));
		else
			fields_fault(&reader->fields,
				     g_strdup("a value of the wrong type"),
				     g_strdup("list its failure domains"));
		if (region.name && region.failure_domains)
			g_array_append_val(reader->parts->regions, region);
		fields_leave(&reader->fields, mark);
	}
	g_list_free(names);
	fields_leave(&reader->fields, top);
}

static void check_editors(reader_t *reader)
{
	GArray *operators = reader->parts->operators;
	guint i;

	for (i = 0; i < operators->len; i++) {
		if (g_array_index(operators, document_operator_t, i).role ==
		    ROLE_EDITOR)
			return;
	}
	fields_fault_at(&reader->fields, "operators",
			g_strdup("no operator may change the document"),
			g_strdup("give at least one the role \"editor\""));
}

static void read_root(reader_t *reader, JsonObject *root)
{
	int64_t format = 0;
	JsonObject *regions = NULL;
	JsonObject *base_models = NULL;
	JsonArray *services = NULL;
	JsonArray *endpoints = NULL;
	JsonArray *callers = NULL;
	JsonArray *operators = NULL;
	JsonArray *rounds = NULL;
	const field_t table[] = {
		{"format", FIELD_INT, TRUE, &format, FORMAT, FORMAT},
		{"batch_weight", FIELD_NUMBER, TRUE,
		 &reader->parts->batch_weight, 0, 1},
		{"regions", FIELD_OBJECT, TRUE, &regions, 0, 0},
		{"base_models", FIELD_OBJECT, TRUE, &base_models, 0, 0},
		{"services", FIELD_LIST, TRUE, &services, 0, 0},
		{"endpoints", FIELD_LIST, TRUE, &endpoints, 0, 0},
		{"callers", FIELD_LIST, TRUE, &callers, 0, 0},
		{"operators", FIELD_LIST, TRUE, &operators, 0, 0},
		{"rounds", FIELD_LIST, FALSE, &rounds, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, root, table);
	if (regions)
		reader_regions(reader, regions);
	if (services)
		reader_services(reader, services);
	if (base_models)
		reader_adapters(reader, base_models);
	if (rounds)
		reader_rounds(reader, rounds);
	if (endpoints)
		reader_endpoints(reader, endpoints);
	if (callers)
		reader_callers(reader, callers);
	if (operators) {
		reader_operators(reader, operators);
		check_editors(reader);
	}
}

document_t *reader_run(const char *text, size_t size, int64_t generation,
		       adapter_set_t *adapters, faults_t *faults)
{
	JsonParser *parser = text_parse(text, size, faults);
	size_t before = faults->count;
	reader_t reader = {0};
	document_t *document;

	if (!parser) {
		adapter_set_unref(adapters);
		return NULL;
	}
	fields_init(&reader.fields, faults);
	reader.parts = document_parts_create();
	reader.adapters = adapters;
	reader.nearest_budget = NEAREST_SEARCHES_MAX;
	read_root(&reader, json_node_get_object(json_parser_get_root(parser)));
	document = document_create(reader.parts, adapters, generation);
	g_clear_pointer(&reader.adapter_ids, g_hash_table_destroy);
	g_clear_pointer(&reader.adapter_names, g_hash_table_destroy);
	g_object_unref(parser);
	fields_release(&reader.fields);
	if (faults->count == before)
		return document;
	document_unref(document);
	return NULL;
}

document_t *document_validate(const char *text, size_t size, int64_t generation,
			      faults_t *faults)
{
	document_t *document = document_parse_incremental(NULL, NULL, 0, text,
							  size, generation);

	if (document)
		return document;
	return reader_run(text, size, generation, adapter_set_create(), faults);
}
