#include "load/check.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"
#include "http/event_stream.h"
#include "standin/engine_model.h"

#define HTTP_OK	 200
#define BODY_MAX (16 * 1024 * 1024)
#define END_MARK "[DONE]"

struct check {
	void (*on_token)(void *ctx);
	void *ctx;
	char *order; /* id of the order; NULL for a completion */
	GString *expected;
	GString *text;
	GString *body; /* of an answer that is not streamed, or of an error */
	event_stream_t *events;
	int status;
	gboolean is_streamed;
	gboolean has_end_mark;
	gboolean is_malformed;
	gboolean has_error; /* a typed error was read into judgement */
	check_result_t result;
};

/* Get a text member; the empty string if it is missing. */
static const char *text_or_empty(JsonObject *object, const char *name)
{
	const char *text = json_member_text(object, name);

	return text ? text : "";
}

/* Parse the object in {"error": {"type", "outcome"}}. */
static void parse_error(check_t *check, JsonObject *error)
{
	const char *outcome = text_or_empty(error, "outcome");

	check->has_error = TRUE;
	g_strlcpy(check->result.kind, text_or_empty(error, "type"),
		  sizeof(check->result.kind));
	check->result.outcome = !strcmp(outcome, outcome_name(OUTCOME_NOT_RUN))
					? OUTCOME_NOT_RUN
					: OUTCOME_UNKNOWN;
}

/* Append choices[0].text; return FALSE if there is none. */
static gboolean parse_text(check_t *check, JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "choices");
	JsonArray *choices = node && JSON_NODE_HOLDS_ARRAY(node)
				     ? json_node_get_array(node)
				     : NULL;

	if (!choices || !json_array_get_length(choices))
		return FALSE;
	node = json_array_get_element(choices, 0);
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return FALSE;
	g_string_append(check->text,
			text_or_empty(json_node_get_object(node), "text"));
	return TRUE;
}

/* Append {"order", "run"} in the format that check_create_order() expects. */
static gboolean parse_order(check_t *check, JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "run");

	if (!node || !JSON_NODE_HOLDS_VALUE(node))
		return FALSE;
	g_string_append_printf(check->text, "%s run %" G_GINT64_FORMAT,
			       text_or_empty(object, "order"),
			       (gint64)json_node_get_int(node));
	return TRUE;
}

static gboolean parse_answer(check_t *check, JsonObject *object)
{
	return check->order ? parse_order(check, object)
			    : parse_text(check, object);
}

/* Parse one JSON object of the answer; return FALSE if it is malformed. */
static gboolean parse_object(check_t *check, const char *data, size_t size)
{
	JsonParser *parser = json_parser_new_immutable();
	gboolean is_valid = FALSE;

	if (size && json_load(parser, data, (gssize)size, NULL)) {
		JsonNode *root = json_parser_get_root(parser);
		JsonObject *object = root && JSON_NODE_HOLDS_OBJECT(root)
					     ? json_node_get_object(root)
					     : NULL;
		JsonObject *error =
			object ? json_member_object(object, "error") : NULL;

		if (error)
			parse_error(check, error);
		is_valid = error || (object && parse_answer(check, object));
	}
	g_object_unref(parser);
	return is_valid;
}

static gboolean on_event(void *ctx, const char *data, size_t size)
{
	check_t *check = ctx;

	if (size == strlen(END_MARK) && !memcmp(data, END_MARK, size)) {
		check->has_end_mark = TRUE;
		return TRUE;
	}
	if (!parse_object(check, data, size))
		check->is_malformed = TRUE;
	else if (!check->has_error)
		check->on_token(check->ctx);
	return TRUE;
}

check_t *check_create(const char *model, const char *prompt, int64_t tokens,
		      gboolean is_streamed, void (*on_token)(void *ctx),
		      void *ctx)
{
	check_t *check = g_new0(check_t, 1);

	check->on_token = on_token;
	check->ctx = ctx;
	check->is_streamed = is_streamed;
	check->expected = g_string_new(NULL);
	check->text = g_string_new(NULL);
	check->body = g_string_new(NULL);
	check->events = event_stream_create(on_event, check);
	for (int64_t i = 0; i < tokens; i++) {
		char *token = engine_model_token(model, prompt, (int)i);

		g_string_append(check->expected, token);
		g_free(token);
	}
	return check;
}

check_t *check_create_order(const char *order)
{
	check_t *check = check_create("", "", 0, FALSE, NULL, NULL);

	check->order = g_strdup(order);
	g_string_printf(check->expected, "%s run 1", order);
	return check;
}

void check_destroy(check_t *check)
{
	if (!check)
		return;
	g_free(check->order);
	event_stream_destroy(check->events);
	g_string_free(check->expected, TRUE);
	g_string_free(check->text, TRUE);
	g_string_free(check->body, TRUE);
	g_free(check);
}

void check_head(check_t *check, int status)
{
	check->status = status;
}

void check_data(check_t *check, const char *data, size_t size)
{
	if (check->is_streamed && check->status == HTTP_OK) {
		if (!event_stream_feed(check->events, data, size, NULL))
			check->is_malformed = TRUE;
	} else if (check->body->len + size <= BODY_MAX) {
		g_string_append_len(check->body, data, (gssize)size);
	} else {
		check->is_malformed = TRUE;
	}
}

static gboolean is_complete(check_t *check)
{
	if (check->status != HTTP_OK || check->is_malformed)
		return FALSE;
	return check->is_streamed ? check->has_end_mark : TRUE;
}

check_result_t check_end(check_t *check, gboolean is_cut)
{
	if (check->body->len && !is_cut &&
	    !parse_object(check, check->body->str, check->body->len))
		check->is_malformed = TRUE;
	if (check->has_error)
		check->result.verdict = VERDICT_REFUSED;
	else if (is_cut || !is_complete(check))
		check->result.verdict = VERDICT_CUT;
	else if (g_string_equal(check->text, check->expected))
		check->result.verdict = VERDICT_RIGHT;
	else
		check->result.verdict = VERDICT_WRONG;
	return check->result;
}

const char *verdict_name(verdict_t verdict)
{
	static const char *const names[VERDICT_COUNT] = {
		[VERDICT_RIGHT] = "right",
		[VERDICT_WRONG] = "wrong",
		[VERDICT_REFUSED] = "refused",
		[VERDICT_CUT] = "cut",
	};

	return names[verdict];
}
