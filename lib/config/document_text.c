#include "config/document_text.h"

#include "base/json_text.h"

typedef struct {
	GHashTable *members; /* from an open object to its members seen */
	faults_t *faults;
} watcher_t;

static void on_error(JsonParser *parser, const GError *error,
		     watcher_t *watcher)
{
	faults_add(watcher->faults, "",
		   (int)json_parser_get_current_line(parser),
		   g_strdup(error->message), g_strdup("correct the JSON"));
}

static void on_object_member(JsonParser *parser, JsonObject *object,
			     const char *name, watcher_t *watcher)
{
	guint seen =
		GPOINTER_TO_UINT(g_hash_table_lookup(watcher->members, object));

	seen++;
	g_hash_table_insert(watcher->members, object, GUINT_TO_POINTER(seen));
	if (seen == json_object_get_size(object))
		return;
	/* Counted once more than kept: this name stood there before. */
	g_hash_table_insert(watcher->members, object,
			    GUINT_TO_POINTER(seen - 1));
	faults_add(watcher->faults, name,
		   (int)json_parser_get_current_line(parser),
		   g_strdup("a key that stands twice in one object"),
		   g_strdup("keep one of the two"));
}

static void on_object_end(JsonParser *parser, JsonObject *object,
			  watcher_t *watcher)
{
	g_hash_table_remove(watcher->members, object);
}

static gboolean load(JsonParser *parser, const char *text, size_t size,
		     faults_t *faults)
{
	watcher_t watcher = {g_hash_table_new(NULL, NULL), faults};
	size_t before = faults->count;
	gboolean ok;

	g_signal_connect(parser, "error", G_CALLBACK(on_error), &watcher);
	g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member),
			 &watcher);
	g_signal_connect(parser, "object-end", G_CALLBACK(on_object_end),
			 &watcher);
	ok = json_parser_load_from_data(parser, text, (gssize)size, NULL);
	g_signal_handlers_disconnect_by_data(parser, &watcher);
	g_hash_table_destroy(watcher.members);
	/* Every failure emits the signal. */
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
			   g_strdup("close what is open"));
	else
		ok = load(parser, copy, size, faults);
	g_free(copy);
	return ok;
}

JsonParser *text_parse(const char *text, size_t size, faults_t *faults)
{
	JsonParser *parser;
	JsonNode *root;

	if (!check_text(text, size, faults))
		return NULL;
	parser = json_parser_new();
	if (!load_prepared(parser, text, size, faults))
		goto refuse;
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		return parser;
	faults_add(faults, "", 1, g_strdup("the text is not one JSON object"),
		   g_strdup("begin it with { and close it with }"));
refuse:
	g_object_unref(parser);
	return NULL;
}
