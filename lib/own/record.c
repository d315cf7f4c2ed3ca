#include "own/record.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"

static const char *const state_names[INTENT_COUNT] = {"empty", "loading",
						      "resident", "unloading"};

endpoint_record_t *endpoint_record_create(guint slot_count)
{
	endpoint_record_t *record = g_new0(endpoint_record_t, 1);

	record->owner = g_strdup("");
	record->place = g_strdup("");
	record->held = g_new0(char *, 1);
	record->slot_count = slot_count;
	record->slots = g_new0(slot_intent_t, slot_count);
	return record;
}

endpoint_record_t *endpoint_record_copy(const endpoint_record_t *from)
{
	endpoint_record_t *record = g_memdup2(from, sizeof(*from));
	guint i;

	record->owner = g_strdup(from->owner);
	record->place = g_strdup(from->place);
	record->held = g_strdupv(from->held);
	record->slots = g_new0(slot_intent_t, from->slot_count);
	for (i = 0; i < from->slot_count; i++)
		slot_intent_set(&record->slots[i], from->slots[i].state,
				from->slots[i].epoch, from->slots[i].adapter);
	return record;
}

void endpoint_record_destroy(endpoint_record_t *record)
{
	guint i;

	for (i = 0; i < record->slot_count; i++)
		g_free(record->slots[i].adapter);
	g_free(record->slots);
	g_strfreev(record->held);
	g_free(record->owner);
	g_free(record->place);
	g_free(record);
}

void endpoint_record_grow(endpoint_record_t *record, guint slot_count)
{
	if (slot_count <= record->slot_count)
		return;
	record->slots = g_renew(slot_intent_t, record->slots, slot_count);
	memset(&record->slots[record->slot_count], 0,
	       (slot_count - record->slot_count) * sizeof(slot_intent_t));
	record->slot_count = slot_count;
}

void slot_intent_set(slot_intent_t *slot, intent_state_t state, int64_t epoch,
		     const char *adapter)
{
	char *copy = g_strdup(adapter);

	g_free(slot->adapter);
	slot->state = state;
	slot->epoch = epoch;
	slot->adapter = copy;
}

gboolean intent_is_open(const slot_intent_t *slot)
{
	return slot->state == INTENT_LOADING || slot->state == INTENT_UNLOADING;
}

char *endpoint_record_key(const char *endpoint)
{
	return g_strconcat("hc/endpoint/", endpoint, NULL);
}

static JsonObject *render_slot(const slot_intent_t *slot)
{
	JsonObject *object = json_object_new();

	json_object_set_string_member(object, "state",
				      state_names[slot->state]);
	json_object_set_int_member(object, "epoch", slot->epoch);
	if (slot->adapter)
		json_object_set_string_member(object, "adapter", slot->adapter);
	return object;
}

char *endpoint_record_render(const endpoint_record_t *record)
{
	JsonObject *object = json_object_new();
	JsonArray *slots = json_array_new();
	JsonArray *held = json_array_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;
	guint i;

	for (i = 0; i < record->slot_count; i++)
		json_array_add_object_element(slots,
					      render_slot(&record->slots[i]));
	for (i = 0; record->held[i]; i++)
		json_array_add_string_element(held, record->held[i]);
	json_object_set_string_member(object, "owner", record->owner);
	json_object_set_int_member(object, "incarnation", record->incarnation);
	if (*record->place)
		json_object_set_string_member(object, "place", record->place);
	json_object_set_int_member(object, "epoch", record->epoch);
	json_object_set_int_member(object, "sequence", record->sequence);
	json_object_set_int_member(object, "hold", record->hold);
	json_object_set_array_member(object, "held", held);
	json_object_set_array_member(object, "slots", slots);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_free(node);
	return text;
}

static gboolean member_number(JsonObject *object, const char *name,
			      int64_t *number)
{
	return json_member_int(object, name, number) && *number >= 0;
}

static gboolean parse_slot(JsonNode *node, slot_intent_t *slot)
{
	JsonObject *object;
	const char *state;
	const char *adapter;
	int64_t epoch;
	int i;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return FALSE;
	object = json_node_get_object(node);
	state = json_member_text(object, "state");
	adapter = json_member_text(object, "adapter");
	if (!state || !member_number(object, "epoch", &epoch))
		return FALSE;
	for (i = 0; i < INTENT_COUNT; i++) {
		if (strcmp(state, state_names[i]) != 0)
			continue;
		slot_intent_set(slot, (intent_state_t)i, epoch, adapter);
		return (i == INTENT_EMPTY) == (adapter == NULL);
	}
	return FALSE;
}

static gboolean parse_held(JsonArray *array, endpoint_record_t *record)
{
	guint count = json_array_get_length(array);
	guint i;

	g_strfreev(record->held);
	record->held = g_new0(char *, count + 1);
	for (i = 0; i < count; i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (json_node_get_value_type(node) != G_TYPE_STRING)
			return FALSE;
		record->held[i] = g_strdup(json_node_get_string(node));
	}
	return TRUE;
}

static endpoint_record_t *parse_object(JsonObject *object)
{
	JsonArray *slots = json_member_array(object, "slots");
	JsonArray *held = json_member_array(object, "held");
	const char *owner = json_member_text(object, "owner");
	const char *place = json_member_text(object, "place");
	endpoint_record_t *record;
	gboolean is_valid;
	guint i;

	if (!owner || !slots || !held ||
	    json_array_get_length(slots) > RECORD_SLOTS_MAX)
		return NULL;
	record = endpoint_record_create(json_array_get_length(slots));
	g_free(record->owner);
	record->owner = g_strdup(owner);
	g_free(record->place);
	record->place = g_strdup(place ? place : "");
	is_valid = member_number(object, "incarnation", &record->incarnation) &&
		   member_number(object, "epoch", &record->epoch) &&
		   member_number(object, "sequence", &record->sequence) &&
		   member_number(object, "hold", &record->hold) &&
		   parse_held(held, record);
	for (i = 0; is_valid && i < record->slot_count; i++)
		is_valid = parse_slot(json_array_get_element(slots, i),
				      &record->slots[i]);
	if (is_valid)
		return record;
	endpoint_record_destroy(record);
	return NULL;
}

endpoint_record_t *endpoint_record_parse(const char *text, size_t size,
					 GError **error)
{
	JsonParser *parser = json_parser_new();
	endpoint_record_t *record = NULL;
	JsonNode *root = NULL;

	if (json_load(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		record = parse_object(json_node_get_object(root));
	if (!record)
		error_set(error, ERROR_PROTOCOL,
			  "invalid endpoint record; restore it with an epoch "
			  "above the last one, or delete it while no instance "
			  "runs");
	g_object_unref(parser);
	return record;
}
