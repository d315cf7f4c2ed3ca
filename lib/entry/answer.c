#include "entry/answer.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"
#include "claim/stored_answer.h"

#define HTTP_OK 200

struct answer {
	answer_options_t options;
	char *id;
	char *model;
	char *traceparent;
	gboolean is_head_sent;
	gboolean is_replayed;
	int status;
	char *type;
	GString *pieces; /* their data, each ended by a newline for an engine */
	int64_t piece_count;
	char *stored_form;
};

answer_t *answer_create(const answer_options_t *options)
{
	answer_t *answer = g_new0(answer_t, 1);

	answer->options = *options;
	answer->id = g_strdup(options->id);
	answer->model = g_strdup(options->model);
	answer->traceparent = g_strdup(options->traceparent);
	answer->status = HTTP_OK;
	answer->pieces = g_string_new(NULL);
	return answer;
}

void answer_destroy(answer_t *answer)
{
	g_free(answer->id);
	g_free(answer->model);
	g_free(answer->traceparent);
	g_free(answer->type);
	g_free(answer->stored_form);
	g_string_free(answer->pieces, TRUE);
	g_free(answer);
}

static void set_headers(const answer_t *answer, http_header_t headers[3])
{
	headers[0] = (http_header_t){"x-request-id", answer->id};
	headers[1] = (http_header_t){"traceparent", answer->traceparent};
	headers[2] = (http_header_t){NULL, NULL};
}

static void write_event(http_request_t *http, const char *data, size_t size)
{
	GString *event = g_string_sized_new(size + 16);

	g_string_append(event, "data: ");
	g_string_append_len(event, data, (gssize)size);
	g_string_append(event, "\n\n");
	http_stream_write(http, event->str, event->len);
	g_string_free(event, TRUE);
}

static void ensure_stream_head(answer_t *answer, http_request_t *http)
{
	http_header_t headers[3];

	if (answer->is_head_sent)
		return;
	answer->is_head_sent = TRUE;
	set_headers(answer, headers);
	http_stream_begin(http, HTTP_OK, "text/event-stream", headers);
}

static gboolean is_event_stream(const answer_t *answer)
{
	return answer->options.is_streamed &&
	       answer->options.kind != REQUEST_SERVICE;
}

static void append_lines(answer_t *answer, http_request_t *http,
			 const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);
	int i;

	for (i = 0; lines[i]; i++) {
		if (*lines[i])
			answer_append(answer, http, lines[i], strlen(lines[i]));
	}
	g_strfreev(lines);
}

static void append_stored_form(answer_t *answer, http_request_t *http,
			       const char *data, size_t size)
{
	stored_answer_t stored;

	answer->is_replayed = FALSE;
	if (!stored_answer_parse(data, size, &stored))
		return;
	answer_set_head(answer, stored.status, stored.type);
	if (answer->options.kind == REQUEST_SERVICE)
		answer_append(answer, http, stored.body, strlen(stored.body));
	else
		append_lines(answer, http, stored.body);
	stored_answer_clear(&stored);
}

void answer_append(answer_t *answer, http_request_t *http, const char *data,
		   size_t size)
{
	gboolean is_stream = is_event_stream(answer);

	if (answer->is_replayed) {
		append_stored_form(answer, http, data, size);
		return;
	}
	answer->piece_count++;
	if (!is_stream || answer->options.is_stored) {
		g_string_append_len(answer->pieces, data, (gssize)size);
		if (answer->options.kind != REQUEST_SERVICE)
			g_string_append_c(answer->pieces, '\n');
	}
	if (!is_stream || !http)
		return;
	ensure_stream_head(answer, http);
	write_event(http, data, size);
}

void answer_reset(answer_t *answer)
{
	g_string_truncate(answer->pieces, 0);
	answer->piece_count = 0;
}

void answer_set_head(answer_t *answer, int status, const char *type)
{
	answer->status = status;
	g_free(answer->type);
	answer->type = g_strdup(type);
}

void answer_set_replayed(answer_t *answer)
{
	answer->is_replayed = TRUE;
}

/*
 * The text in one piece of an engine, or NULL.  Sets *finish to its finish
 * reason, which may be NULL.
 */
static const char *piece_text(JsonNode *root, const char **finish)
{
	JsonObject *object;
	JsonObject *delta;
	JsonArray *choices;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	object = json_node_get_object(root);
	if (!json_object_has_member(object, "choices"))
		return NULL;
	choices = json_object_get_array_member(object, "choices");
	if (!choices || !json_array_get_length(choices))
		return NULL;
	object = json_array_get_object_element(choices, 0);
	*finish = json_object_get_string_member_with_default(
		object, "finish_reason", NULL);
	if (json_object_has_member(object, "delta")) {
		delta = json_object_get_object_member(object, "delta");
		return json_object_get_string_member_with_default(
			delta, "content", NULL);
	}
	return json_object_get_string_member_with_default(object, "text", NULL);
}

/*
 * Concatenate the text of all pieces and set *finish to the last finish reason.
 * Free both with g_free().
 */
static char *join_text(const answer_t *answer, char **finish)
{
	char **lines = g_strsplit(answer->pieces->str, "\n", -1);
	JsonParser *parser = json_parser_new();
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; lines[i]; i++) {
		const char *reason = NULL;
		const char *added;

		if (!*lines[i] || !json_load(parser, lines[i], -1, NULL))
			continue;
		added = piece_text(json_parser_get_root(parser), &reason);
		g_string_append(text, added ? added : "");
		if (reason) {
			g_free(*finish);
			*finish = g_strdup(reason);
		}
	}
	g_object_unref(parser);
	g_strfreev(lines);
	return g_string_free(text, FALSE);
}

static JsonObject *create_choice(const answer_t *answer)
{
	JsonObject *choice = json_object_new();
	char *finish = NULL;
	char *text = join_text(answer, &finish);

	json_object_set_int_member(choice, "index", 0);
	if (answer->options.kind == REQUEST_CHAT) {
		JsonObject *message = json_object_new();

		json_object_set_string_member(message, "role", "assistant");
		json_object_set_string_member(message, "content", text);
		json_object_set_object_member(choice, "message", message);
	} else {
		json_object_set_string_member(choice, "text", text);
	}
	json_object_set_string_member(choice, "finish_reason",
				      finish ? finish : "stop");
	g_free(finish);
	g_free(text);
	return choice;
}

static char *render_json(const answer_t *answer)
{
	JsonObject *object = json_object_new();
	JsonArray *choices = json_array_new();
	JsonObject *usage = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	gboolean is_chat = answer->options.kind == REQUEST_CHAT;
	char *text;

	json_object_set_string_member(object, "id", answer->id);
	json_object_set_string_member(object, "object",
				      is_chat ? "chat.completion"
					      : "text_completion");
	json_object_set_int_member(object, "created", ms_clock_wall() / 1000);
	json_object_set_string_member(object, "model", answer->model);
	json_array_add_object_element(choices, create_choice(answer));
	json_object_set_array_member(object, "choices", choices);
	json_object_set_int_member(usage, "completion_tokens",
				   answer->piece_count);
	json_object_set_object_member(object, "usage", usage);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_free(node);
	return text;
}

void answer_end(answer_t *answer, http_request_t *http)
{
	const char *type = answer->type ? answer->type : "application/json";
	http_header_t headers[3];
	char *body;

	if (is_event_stream(answer)) {
		ensure_stream_head(answer, http);
		write_event(http, "[DONE]", strlen("[DONE]"));
		http_stream_end(http);
		return;
	}
	set_headers(answer, headers);
	if (answer->options.kind == REQUEST_SERVICE) {
		http_respond(http, answer->status, type, headers,
			     answer->pieces->str, answer->pieces->len);
		return;
	}
	body = render_json(answer);
	http_respond(http, HTTP_OK, "application/json", headers, body,
		     strlen(body));
	g_free(body);
}

void answer_fail(answer_t *answer, http_request_t *http, const GError *error,
		 outcome_t outcome, ms_t retry_after)
{
	char *json;

	if (!answer->is_head_sent) {
		http_respond_error(http, error, outcome, retry_after);
		return;
	}
	json = http_error_json(error, outcome);
	write_event(http, json, strlen(json));
	g_free(json);
	http_stream_break(http);
}

const char *answer_stored_form(answer_t *answer, size_t *size)
{
	GString *stored;

	if (answer->pieces->len > ANSWER_STORED_MAX)
		return NULL;
	stored = stored_answer_create(answer->status, answer->type);
	stored_answer_append(stored, answer->pieces->str, answer->pieces->len,
			     FALSE);
	g_free(answer->stored_form);
	*size = stored->len;
	answer->stored_form = g_string_free(stored, FALSE);
	return answer->stored_form;
}
