#include "claim/claim_record.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"

static const char *const state_names[CLAIM_STATE_COUNT] = {
	"running", "answered", "not_run", "unknown"};

void claim_record_clear(claim_record_t *record)
{
	g_free(record->nonce);
	g_free(record->request);
	g_free(record->instance);
	g_free(record->body_hash);
	g_free(record->answer);
	memset(record, 0, sizeof(*record));
}

char *claim_record_key(const char *caller, const char *key)
{
	char *caller_part = g_uri_escape_string(caller, NULL, FALSE);
	char *key_part = g_uri_escape_string(key, NULL, FALSE);
	char *path = g_strconcat("hc/claim/", caller_part, "/", key_part, NULL);

	g_free(caller_part);
	g_free(key_part);
	return path;
}

char *claim_record_render(const claim_record_t *record)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *encoded;
	char *text;

	json_object_set_string_member(object, "state",
				      state_names[record->state]);
	json_object_set_string_member(object, "nonce", record->nonce);
	json_object_set_string_member(object, "request", record->request);
	json_object_set_string_member(object, "instance", record->instance);
	json_object_set_int_member(object, "incarnation", record->incarnation);
	json_object_set_string_member(object, "body", record->body_hash);
	if (record->answer) {
		encoded = g_base64_encode((const guchar *)record->answer,
					  record->answer_size);
		json_object_set_string_member(object, "answer", encoded);
		g_free(encoded);
	}
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_free(node);
	return text;
}

static gboolean parse_state(const char *name, claim_state_t *state)
{
	int i;

	for (i = 0; name && i < CLAIM_STATE_COUNT; i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (claim_state_t)i;
			return TRUE;
		}
	}
	return FALSE;
}

static gboolean parse_object(JsonObject *object, claim_record_t *record)
{
	const char *answer = json_member_text(object, "answer");

	if (!json_member_int(object, "incarnation", &record->incarnation) ||
	    !parse_state(json_member_text(object, "state"), &record->state))
		return FALSE;
	record->nonce = g_strdup(json_member_text(object, "nonce"));
	record->request = g_strdup(json_member_text(object, "request"));
	record->instance = g_strdup(json_member_text(object, "instance"));
	record->body_hash = g_strdup(json_member_text(object, "body"));
	if (answer)
		record->answer =
			(char *)g_base64_decode(answer, &record->answer_size);
	return record->nonce && record->request && record->instance &&
	       record->body_hash;
}

gboolean claim_record_parse(const char *text, size_t size,
			    claim_record_t *record, GError **error)
{
	JsonParser *parser = json_parser_new();
	gboolean is_valid = FALSE;
	JsonNode *root = NULL;

	memset(record, 0, sizeof(*record));
	if (json_load(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		is_valid = parse_object(json_node_get_object(root), record);
	g_object_unref(parser);
	if (is_valid)
		return TRUE;
	claim_record_clear(record);
	error_set(error, ERROR_PROTOCOL,
		  "invalid claim record; find out whether its request ran, "
		  "then delete it");
	return FALSE;
}
