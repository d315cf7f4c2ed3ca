#include "admin/report.h"

#include "base/error.h"

static JsonNode *to_node(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	return node;
}

static JsonArray *list_faults(const faults_t *faults)
{
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; i < faults->list->len; i++) {
		const fault_t *fault = g_ptr_array_index(faults->list, i);
		JsonObject *item = json_object_new();

		json_object_set_string_member(item, "path", fault->path);
		if (fault->line)
			json_object_set_int_member(item, "line", fault->line);
		json_object_set_string_member(item, "cause", fault->cause);
		json_object_set_string_member(item, "remedy", fault->remedy);
		json_array_add_object_element(list, item);
	}
	return list;
}

static JsonObject *describe_faults(const faults_t *faults)
{
	JsonObject *object = json_object_new();

	json_object_set_boolean_member(object, "valid", faults->count == 0);
	json_object_set_int_member(object, "count", (gint64)faults->count);
	json_object_set_array_member(object, "faults", list_faults(faults));
	return object;
}

JsonNode *report_faults(const faults_t *faults)
{
	return to_node(describe_faults(faults));
}

static void add_error(JsonObject *object, error_kind_t kind,
		      const char *message)
{
	JsonObject *error = json_object_new();

	json_object_set_string_member(error, "message", message);
	json_object_set_string_member(error, "type", error_kind_name(kind));
	json_object_set_string_member(error, "outcome",
				      outcome_name(OUTCOME_NOT_RUN));
	json_object_set_object_member(object, "error", error);
}

JsonNode *report_invalid(const faults_t *faults)
{
	JsonObject *object = describe_faults(faults);

	add_error(object, ERROR_INVALID,
		  "the document has faults; correct those listed");
	return to_node(object);
}

static JsonArray *list_differences(const GPtrArray *differences)
{
	JsonArray *list = json_array_new();
	guint i;

	for (i = 0; differences && i < differences->len; i++) {
		const difference_t *found = g_ptr_array_index(differences, i);
		JsonObject *item = json_object_new();

		json_object_set_string_member(item, "kind",
					      diff_kind_name(found->kind));
		json_object_set_string_member(item, "path", found->path);
		if (found->before)
			json_object_set_string_member(item, "before",
						      found->before);
		if (found->after)
			json_object_set_string_member(item, "after",
						      found->after);
		json_array_add_object_element(list, item);
	}
	return list;
}

JsonNode *report_differences(int64_t generation, const GPtrArray *differences)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "generation", generation);
	json_object_set_array_member(object, "differences",
				     list_differences(differences));
	return to_node(object);
}

JsonNode *report_conflict(const store_result_t *result, const GError *error)
{
	JsonObject *object = json_object_new();

	add_error(object, error_kind(error), error->message);
	json_object_set_int_member(object, "generation", result->generation);
	if (result->author)
		json_object_set_string_member(object, "author", result->author);
	json_object_set_array_member(object, "differences",
				     list_differences(result->differences));
	return to_node(object);
}

JsonNode *report_history(const manifest_t *const *records, size_t count)
{
	JsonObject *object = json_object_new();
	JsonArray *list = json_array_new();
	size_t i;

	for (i = 0; i < count; i++) {
		JsonObject *item = json_object_new();

		json_object_set_int_member(item, "generation",
					   records[i]->generation);
		json_object_set_string_member(item, "author",
					      records[i]->author);
		json_object_set_string_member(item, "note", records[i]->note);
		json_object_set_int_member(item, "time", records[i]->time);
		json_object_set_int_member(item, "size", records[i]->size);
		json_object_set_string_member(item, "commit",
					      records[i]->commit);
		json_array_add_object_element(list, item);
	}
	json_object_set_array_member(object, "generations", list);
	return to_node(object);
}

JsonNode *report_accepted(const store_result_t *result)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "generation", result->generation);
	json_object_set_int_member(object, "chunks_written",
				   (gint64)result->chunks_written);
	json_object_set_int_member(object, "bytes_written",
				   (gint64)result->bytes_written);
	return to_node(object);
}
