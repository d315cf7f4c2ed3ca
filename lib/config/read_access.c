/* Parses the callers and operators of a document. */

#include <string.h>

#include "config/range.h"
#include "config/reader.h"

#define TOKEN_HASH_SIZE 64 /* SHA-256 in hexadecimal */

/* Read a list of lower-case SHA-256 digests and map each to the owner. */
static void read_tokens(reader_t *reader, JsonArray *list, GHashTable *tokens,
			guint owner)
{
	size_t top = fields_enter(&reader->fields, "token_sha256");
	guint i;

	if (!json_array_get_length(list))
		fields_add_fault(
			&reader->fields, g_strdup("no token"),
			g_strdup("add the SHA-256 of at least one token"));
	for (i = 0; i < json_array_get_length(list); i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		const char *text = fields_text(&reader->fields,
					       json_array_get_element(list, i));

		if (text &&
		    (strlen(text) != TOKEN_HASH_SIZE ||
		     strspn(text, "0123456789abcdef") != TOKEN_HASH_SIZE))
			fields_add_fault(
				&reader->fields, g_strdup("not a SHA-256"),
				g_strdup("give 64 lower-case hexadecimal "
					 "digits"));
		else if (text && g_hash_table_contains(tokens, text))
			fields_add_fault(&reader->fields,
					 g_strdup("a token that stands twice"),
					 g_strdup("give each its own token"));
		else if (text)
			/* Store the index: the array may be reallocated. */
			g_hash_table_insert(
				tokens, (gpointer)reader_intern(reader, text),
				GUINT_TO_POINTER(owner));
		fields_leave(&reader->fields, mark);
	}
	fields_leave(&reader->fields, top);
}

/* Replace the indices in a token table by pointers into the final array. */
static void link_tokens(GHashTable *tokens, GArray *owners, size_t item_size)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tokens);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_iter_replace(
			&iter,
			owners->data + GPOINTER_TO_UINT(value) * item_size);
}

typedef struct {
	reader_t *reader;
	document_access_t *access;
} access_reader_t;

static void allow_exact(void *ctx, const char *name)
{
	access_reader_t *state = ctx;
	gboolean has_version = strchr(name, '@') != NULL;

	if (has_version ? reader_has_adapter_id(state->reader, name)
			: reader_has_adapter_name(state->reader, name))
		g_hash_table_add(state->access->exact,
				 (gpointer)reader_intern(state->reader, name));
	else if (!has_version)
		fields_add_fault(
			&state->reader->fields,
			g_strdup_printf("no adapter is named '%s'", name),
			g_strdup("declare it in \"base_models\", or use a "
				 "pattern such as \"name-*\""));
}

static void allow_adapters(access_reader_t *state, const char *text)
{
	const char *cause;

	if (!strpbrk(text, "*?")) {
		cause = range_expand(text, allow_exact, state);
		if (cause)
			fields_add_fault(
				&state->reader->fields,
				g_strdup_printf("'%s': %s", text, cause),
				g_strdup("write such as "
					 "\"name-{001..250}\""));
	} else if (strchr(text, '@')) {
		g_ptr_array_add(state->access->id_patterns,
				g_pattern_spec_new(text));
	} else {
		g_ptr_array_add(state->access->name_patterns,
				g_pattern_spec_new(text));
	}
}

static void allow_service(access_reader_t *state, const char *text)
{
	reader_t *reader = state->reader;
	document_service_t *service;

	if (!strcmp(text, "*")) {
		state->access->is_all_services = TRUE;
		return;
	}
	service = reader_find(reader, reader->parts->service_names, text, "");
	if (!service)
		return;
	if (service->kind == SERVICE_PLAIN)
		g_hash_table_add(state->access->services,
				 (gpointer)service->name);
	else
		fields_add_fault(
			&reader->fields,
			g_strdup_printf("'%s' is not a plain service", text),
			g_strdup("allow engines by \"adapters\""));
}

static void read_access(access_reader_t *state, const char *member,
			JsonArray *list,
			void (*each)(access_reader_t *state, const char *text))
{
	fields_t *fields = &state->reader->fields;
	size_t top = fields_enter(fields, member);
	guint i;

	for (i = 0; i < json_array_get_length(list); i++) {
		size_t mark = fields_enter_item(fields, i);
		const char *text =
			fields_text(fields, json_array_get_element(list, i));

		if (text)
			each(state, text);
		fields_leave(fields, mark);
	}
	fields_leave(fields, top);
}

static void read_caller(reader_t *reader, JsonObject *object)
{
	document_parts_t *parts = reader->parts;
	document_caller_t caller = {0};
	access_reader_t state = {reader, document_access_create()};
	JsonArray *tokens = NULL;
	JsonArray *adapters = NULL;
	JsonArray *services = NULL;
	JsonObject *limits = NULL;
	const field_t table[] = {
		{"name", FIELD_TEXT, TRUE, &caller.name, 0, 0},
		{"token_sha256", FIELD_LIST, TRUE, &tokens, 0, 0},
		{"adapters", FIELD_LIST, FALSE, &adapters, 0, 0},
		{"services", FIELD_LIST, FALSE, &services, 0, 0},
		{"priority", FIELD_INT, FALSE, &caller.priority, 0,
		 DOCUMENT_PRIORITY_MAX},
		{"limits", FIELD_OBJECT, FALSE, &limits, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	caller.access = state.access;
	if (tokens)
		read_tokens(reader, tokens, parts->caller_tokens,
			    parts->callers->len);
	if (adapters)
		read_access(&state, "adapters", adapters, allow_adapters);
	if (services)
		read_access(&state, "services", services, allow_service);
	if (limits)
		reader_limits(reader, limits, &caller.limits);
	caller.name = reader_name(reader, "name", caller.name);
	if (!caller.name)
		caller.name = reader_placeholder(reader);
	g_array_append_val(parts->callers, caller);
}

static void read_operator(reader_t *reader, JsonObject *object)
{
	document_parts_t *parts = reader->parts;
	document_operator_t item = {0};
	const char *role = NULL;
	JsonArray *tokens = NULL;
	const field_t table[] = {
		{"name", FIELD_TEXT, TRUE, &item.name, 0, 0},
		{"token_sha256", FIELD_LIST, TRUE, &tokens, 0, 0},
		{"role", FIELD_TEXT, TRUE, &role, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	if (tokens)
		read_tokens(reader, tokens, parts->operator_tokens,
			    parts->operators->len);
	if (role && !strcmp(role, "editor"))
		item.role = ROLE_EDITOR;
	else if (role && strcmp(role, "viewer") != 0)
		fields_add_fault_at(&reader->fields, "role",
				    g_strdup_printf("'%s' is no role", role),
				    g_strdup("give \"viewer\" or \"editor\""));
	item.name = reader_name(reader, "name", item.name);
	if (!item.name)
		item.name = reader_placeholder(reader);
	g_array_append_val(parts->operators, item);
}

void reader_foreach_object(reader_t *reader, const char *member,
			   JsonArray *list,
			   void (*each)(reader_t *reader, JsonObject *object))
{
	size_t top = fields_enter(&reader->fields, member);
	guint i;

	for (i = 0; i < json_array_get_length(list); i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		JsonObject *object = fields_object(
			&reader->fields, json_array_get_element(list, i));

		if (object)
			each(reader, object);
		fields_leave(&reader->fields, mark);
	}
	fields_leave(&reader->fields, top);
}

void reader_callers(reader_t *reader, JsonArray *callers)
{
	document_parts_t *parts = reader->parts;
	guint i;

	reader_foreach_object(reader, "callers", callers, read_caller);
	link_tokens(parts->caller_tokens, parts->callers,
		    sizeof(document_caller_t));
	for (i = 0; i < parts->callers->len; i++) {
		size_t mark = fields_enter(&reader->fields, "callers");

		fields_enter_item(&reader->fields, i);
		reader_add_unique(
			reader, parts->caller_names,
			&g_array_index(parts->callers, document_caller_t, i),
			"name");
		fields_leave(&reader->fields, mark);
	}
}

void reader_operators(reader_t *reader, JsonArray *operators)
{
	document_parts_t *parts = reader->parts;

	reader_foreach_object(reader, "operators", operators, read_operator);
	link_tokens(parts->operator_tokens, parts->operators,
		    sizeof(document_operator_t));
}
