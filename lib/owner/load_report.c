#include "owner/load_report.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"

#define SLOTS_MAX 4096

static void parse_slot(JsonObject *object, load_report_slot_t *slot)
{
	const char *state = json_object_get_string_member_with_default(
		object, "state", "empty");

	slot->adapter = g_strdup(json_object_get_string_member_with_default(
		object, "adapter", ""));
	slot->is_resident = !strcmp(state, "resident");
	slot->is_loading = !strcmp(state, "loading");
	slot->running = (int)json_object_get_int_member_with_default(
		object, "running", 0);
}

static gboolean parse_slots(JsonNode *root, load_report_t *report)
{
	JsonObject *object;
	JsonArray *slots;
	JsonNode *node;
	guint i;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return FALSE;
	object = json_node_get_object(root);
	node = json_object_get_member(object, "slots");
	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return FALSE;
	slots = json_node_get_array(node);
	if (json_array_get_length(slots) > SLOTS_MAX)
		return FALSE;
	report->running = (int)json_object_get_int_member_with_default(
		object, "running", 0);
	report->waiting = (int)json_object_get_int_member_with_default(
		object, "waiting", 0);
	report->slots =
		g_new0(load_report_slot_t, json_array_get_length(slots));
	for (i = 0; i < json_array_get_length(slots); i++) {
		JsonNode *item = json_array_get_element(slots, i);

		if (!JSON_NODE_HOLDS_OBJECT(item))
			return FALSE;
		parse_slot(json_node_get_object(item), &report->slots[i]);
		report->slot_count++;
	}
	return TRUE;
}

gboolean load_report_parse(const char *text, size_t size, load_report_t *report)
{
	JsonParser *parser = json_parser_new();
	gboolean ok = FALSE;

	if (json_load(parser, text, (gssize)size, NULL))
		ok = parse_slots(json_parser_get_root(parser), report);
	g_object_unref(parser);
	return ok;
}

void load_report_release(load_report_t *report)
{
	int i;

	for (i = 0; i < report->slot_count; i++)
		g_free(report->slots[i].adapter);
	g_free(report->slots);
}
