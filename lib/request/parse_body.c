#include "request/parse_body.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/hash.h"

/* Maximum nesting of objects and arrays in a body. */
#define DEPTH_MAX 64

gboolean request_text_is_printable(const char *text)
{
	for (; *text; text++) {
		if (*text <= ' ' || *text > '~')
			return FALSE;
	}
	return TRUE;
}

/*
 * Returns a member, or NULL.  Clears *is_valid if it has another type; a member
 * that is absent or null is valid.
 */
static JsonNode *member_get(JsonObject *object, const char *name, GType type,
			    gboolean *is_valid)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || JSON_NODE_HOLDS_NULL(node))
		return NULL;
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == type)
		return node;
	*is_valid = FALSE;
	return NULL;
}

static gboolean parse_model(JsonObject *object, request_spec_t *spec,
			    GError **error)
{
	gboolean is_valid = TRUE;
	JsonNode *node = member_get(object, "model", G_TYPE_STRING, &is_valid);
	const char *text = node ? json_node_get_string(node) : "";
	const char *at = strchr(text, '@');

	if (!at || at == text || !at[1] || strchr(at + 1, '@') ||
	    strlen(text) > REQUEST_TEXT_MAX ||
	    !request_text_is_printable(text)) {
		error_set(error, ERROR_INVALID,
			  "field model must be \"name@version\" of at most %d "
			  "characters; name the adapter and its version",
			  REQUEST_TEXT_MAX);
		return FALSE;
	}
	spec->model = g_strdup(text);
	spec->adapter = g_strndup(text, (gsize)(at - text));
	spec->version = g_strdup(at + 1);
	return TRUE;
}

static gboolean parse_options(JsonObject *object, request_spec_t *spec,
			      GError **error)
{
	gboolean is_valid = TRUE;
	JsonNode *stream =
		member_get(object, "stream", G_TYPE_BOOLEAN, &is_valid);
	JsonNode *tokens =
		member_get(object, "max_tokens", G_TYPE_INT64, &is_valid);

	if (!is_valid) {
		error_set(error, ERROR_INVALID,
			  "field stream must be true or false, and field "
			  "max_tokens a whole number; correct the body");
		return FALSE;
	}
	spec->is_streamed = stream && json_node_get_boolean(stream);
	spec->tokens_max =
		tokens ? json_node_get_int(tokens) : REQUEST_TOKENS_DEFAULT;
	if (spec->tokens_max < 1 || spec->tokens_max > REQUEST_TOKENS_MAX) {
		error_set(error, ERROR_INVALID,
			  "field max_tokens must be from 1 to %d; correct it",
			  REQUEST_TOKENS_MAX);
		return FALSE;
	}
	return TRUE;
}

/* Returns the messages, one per line, or NULL if they are malformed. */
static char *join_messages(JsonArray *messages)
{
	GString *joined = g_string_new(NULL);
	guint count = json_array_get_length(messages);

	for (guint i = 0; i < count; i++) {
		JsonNode *node = json_array_get_element(messages, i);
		gboolean is_valid = JSON_NODE_HOLDS_OBJECT(node);
		JsonNode *role = NULL;
		JsonNode *content = NULL;

		if (is_valid) {
			JsonObject *message = json_node_get_object(node);

			role = member_get(message, "role", G_TYPE_STRING,
					  &is_valid);
			content = member_get(message, "content", G_TYPE_STRING,
					     &is_valid);
		}
		if (!role || !content) {
			g_string_free(joined, TRUE);
			return NULL;
		}
		g_string_append_printf(joined, "%s: %s\n",
				       json_node_get_string(role),
				       json_node_get_string(content));
	}
	return g_string_free(joined, FALSE);
}

static char *get_prompt(JsonObject *object, request_kind_t kind, GError **error)
{
	gboolean is_valid = TRUE;

	if (kind == REQUEST_COMPLETION) {
		JsonNode *prompt =
			member_get(object, "prompt", G_TYPE_STRING, &is_valid);

		if (prompt)
			return g_strdup(json_node_get_string(prompt));
		error_set(error, ERROR_INVALID,
			  "field prompt must be a text; send one prompt");
		return NULL;
	}
	JsonNode *node = json_object_get_member(object, "messages");
	char *joined = NULL;

	if (node && JSON_NODE_HOLDS_ARRAY(node) &&
	    json_array_get_length(json_node_get_array(node)))
		joined = join_messages(json_node_get_array(node));
	if (!joined)
		error_set(error, ERROR_INVALID,
			  "field messages must be an array of objects with "
			  "the texts role and content; send at least one");
	return joined;
}

static void set_prefix_hash(request_spec_t *spec, const char *prompt)
{
	char *head = g_strdup_printf("%s\n%.*s", spec->model,
				     REQUEST_PREFIX_SIZE, prompt);

	spec->prefix_hash = hash_text(head);
	g_free(head);
}

static gboolean parse_object(JsonObject *object, request_spec_t *spec,
			     GError **error)
{
	char *prompt;

	if (!parse_model(object, spec, error) ||
	    !parse_options(object, spec, error))
		return FALSE;
	prompt = get_prompt(object, spec->kind, error);
	if (!prompt)
		return FALSE;
	set_prefix_hash(spec, prompt);
	g_free(prompt);
	return TRUE;
}

/*
 * Whether the nesting is at most DEPTH_MAX and there are no comments.  The
 * limit is checked before parsing because the parser recurses for each level.
 * Comments are refused because json-glib accepts them, and a quote in a comment
 * would make this check take the text after it for a string.
 */
static gboolean is_plain_json(const char *text, size_t size)
{
	gboolean is_in_string = FALSE;
	int depth = 0;

	for (size_t i = 0; i < size; i++) {
		char c = text[i];

		if (is_in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				is_in_string = FALSE;
		} else if (c == '"') {
			is_in_string = TRUE;
		} else if (c == '[' || c == '{') {
			if (++depth > DEPTH_MAX)
				return FALSE;
		} else if (c == ']' || c == '}') {
			depth--;
		} else if (strchr("/#'", c)) {
			return FALSE;
		}
	}
	return TRUE;
}

static gboolean check_encoding_and_nesting(const char *text, size_t size,
					   GError **error)
{
	if (!g_utf8_validate(text, (gssize)size, NULL)) {
		error_set(error, ERROR_INVALID,
			  "the body is not UTF-8; send JSON in UTF-8");
		return FALSE;
	}
	if (!is_plain_json(text, size)) {
		error_set(error, ERROR_INVALID,
			  "the body has more than %d levels of nesting or "
			  "contains comments; send plain JSON",
			  DEPTH_MAX);
		return FALSE;
	}
	return TRUE;
}

gboolean request_parse_body(request_spec_t *spec, const char *body, size_t size,
			    GError **error)
{
	JsonParser *parser;
	GError *cause = NULL;
	gboolean is_parsed = FALSE;
	JsonNode *root = NULL;

	if (!size)
		body = "";
	if (!check_encoding_and_nesting(body, size, error))
		return FALSE;
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, body, (gssize)size, &cause)) {
		error_set(error, ERROR_INVALID,
			  "the body is not JSON (%s); correct it",
			  cause->message);
	} else {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			is_parsed = parse_object(json_node_get_object(root),
						 spec, error);
		else
			error_set(error, ERROR_INVALID,
				  "the body must be a JSON object; send the "
				  "fields model and prompt or messages");
	}
	g_clear_error(&cause);
	g_object_unref(parser);
	return is_parsed;
}
