#include "config/document_text.h"

#include "base/json_text.h"

typedef struct {
	GHashTable
		*members; /* from an open object to the number of its members */
	faults_t *faults;
} load_state_t;

static void on_error(JsonParser *parser, const GError *error,
		     load_state_t *state)
{
	faults_add(state->faults, "", (int)json_parser_get_current_line(parser),
		   g_strdup(error->message), g_strdup("correct the JSON"));
}

static void on_object_member(JsonParser *parser, JsonObject *object,
			     const char *name, load_state_t *state)
{
	guint seen =
		GPOINTER_TO_UINT(g_hash_table_lookup(state->members, object));

	seen++;
	g_hash_table_insert(state->members, object, GUINT_TO_POINTER(seen));
	if (seen == json_object_get_size(object))
		return;
	/* The size did not grow, so this key is a duplicate; undo the count. */
	g_hash_table_insert(state->members, object, GUINT_TO_POINTER(seen - 1));
	faults_add(state->faults, name,
		   (int)json_parser_get_current_line(parser),
		   g_strdup("duplicate key in an object"),
		   g_strdup("keep one of the two"));
}

static void on_object_end(JsonParser *parser, JsonObject *object,
			  load_state_t *state)
{
	g_hash_table_remove(state->members, object);
}

static gboolean load(JsonParser *parser, const char *text, size_t size,
		     faults_t *faults)
{
	load_state_t state = {g_hash_table_new(NULL, NULL), faults};
	size_t before = faults->count;
	gboolean ok;

	g_signal_connect(parser, "error", G_CALLBACK(on_error), &state);
	g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member),
			 &state);
	g_signal_connect(parser, "object-end", G_CALLBACK(on_object_end),
			 &state);
	ok = json_parser_load_from_data(parser, text, (gssize)size, NULL);
	g_signal_handlers_disconnect_by_data(parser, &state);
	g_hash_table_destroy(state.members);
	/* The "error" signal is emitted for every failure. */
	g_assert(ok || faults->count > before);
	return faults->count == before;
}

static gboolean check_text(const char *text, size_t size, faults_t *faults)
{
	if (size > DOCUMENT_SIZE_MAX) {
		faults_add(faults, "", 0, g_strdup("the text is too large"),
			   g_strdup_printf("stay within %d bytes; ranges such "
					   "as \"name-{1..9}\" save many",
					   DOCUMENT_SIZE_MAX));
		return FALSE;
	}
	if (!g_utf8_validate(text, (gssize)size, NULL)) {
		faults_add(faults, "", 0, g_strdup("the text is not UTF-8"),
			   g_strdup("save it as UTF-8"));
		return FALSE;
	}
	return TRUE;
}

static gboolean load_prepared(JsonParser *parser, const char *text, size_t size,
			      faults_t *faults)
{
	char *copy = g_strndup(text, size);
	int line = json_text_prepare(copy, size);
	gboolean ok = FALSE;

	if (line)
		faults_add(faults, "", line,
			   g_strdup("brackets nest too deeply"),
			   g_strdup("close the open brackets, or nest less "
				    "deeply"));
	else
		ok = load(parser, copy, size, faults);
	g_free(copy);
	return ok;
}

JsonParser *document_text_parse(const char *text, size_t size, faults_t *faults)
{
	JsonParser *parser;
	JsonNode *root;

	if (!check_text(text, size, faults))
		return NULL;
	parser = json_parser_new();
	if (!load_prepared(parser, text, size, faults))
		goto fail;
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		return parser;
	faults_add(faults, "", 1, g_strdup("the text is not one JSON object"),
		   g_strdup("begin it with { and close it with }"));
fail:
	g_object_unref(parser);
	return NULL;
}
