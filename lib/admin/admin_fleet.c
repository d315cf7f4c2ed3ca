/* Request handlers that query all programs: their status and a trace. */

#include <string.h>

#include "admin/admin_private.h"
#include "admin/fleet.h"
#include "base/json_member.h"

#define TRACE_ID_LENGTH 32

static JsonNode *parse_body(const fleet_response_t *response)
{
	JsonNode *node = NULL;

	if (response->body)
		node = json_load_node(response->body);
	if (node && !JSON_NODE_HOLDS_OBJECT(node)) {
		json_node_unref(node);
		node = NULL;
	}
	return node;
}

static JsonObject *response_to_json(const fleet_response_t *response)
{
	JsonObject *item = json_object_new();

	json_object_set_string_member(item, "instance", response->instance);
	json_object_set_string_member(item, "program", response->program);
	json_object_set_string_member(item, "address", response->address);
	if (response->fault)
		json_object_set_string_member(item, "fault", response->fault);
	return item;
}

static int64_t read_generation(JsonNode *body)
{
	JsonNode *node = json_object_get_member(json_node_get_object(body),
						"generation");

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return json_node_get_int(node);
}

static void add_status(JsonArray *list, const fleet_response_t *response)
{
	JsonObject *item = response_to_json(response);
	JsonNode *body = parse_body(response);

	if (body)
		json_object_set_int_member(item, "generation",
					   read_generation(body));
	else if (!response->fault)
		json_object_set_string_member(item, "fault",
					      "its status is not JSON");
	if (body)
		json_node_unref(body);
	json_array_add_object_element(list, item);
}

static void end_with_object(admin_job_t *job, JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	admin_job_end(job, 200, node);
}

static void on_status(void *ctx, const GPtrArray *responses,
		      const GError *error)
{
	admin_job_t *job = ctx;
	JsonObject *object;
	JsonArray *list;
	guint i;

	if (error) {
		admin_job_fail(job, error);
		return;
	}
	object = json_object_new();
	list = json_array_new();
	for (i = 0; i < responses->len; i++)
		add_status(list, g_ptr_array_index(responses, i));
	json_object_set_int_member(object, "generation",
				   follower_generation(job->admin->follower));
	json_object_set_array_member(object, "programs", list);
	end_with_object(job, object);
}

void admin_on_status(void *ctx, http_request_t *request)
{
	admin_job_t *job = admin_job_begin(ctx, request, RIGHT_VIEW);

	if (job)
		fleet_query(job->admin->options.kv, job->admin->options.client,
			    "/status", on_status, job);
}

static void copy_spans(JsonNode *body, JsonArray *out)
{
	JsonNode *node =
		json_object_get_member(json_node_get_object(body), "spans");
	JsonArray *spans;
	guint i;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return;
	spans = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(spans); i++)
		json_array_add_element(out, json_array_dup_element(spans, i));
}

static void on_trace(void *ctx, const GPtrArray *responses, const GError *error)
{
	admin_job_t *job = ctx;
	JsonArray *failed = json_array_new();
	JsonArray *spans = json_array_new();
	JsonObject *object;
	guint i;

	if (error) {
		json_array_unref(failed);
		json_array_unref(spans);
		admin_job_fail(job, error);
		return;
	}
	for (i = 0; i < responses->len; i++) {
		const fleet_response_t *response =
			g_ptr_array_index(responses, i);
		JsonNode *body = parse_body(response);

		if (body) {
			copy_spans(body, spans);
			json_node_unref(body);
		} else {
			json_array_add_object_element(
				failed, response_to_json(response));
		}
	}
	object = json_object_new();
	json_object_set_array_member(object, "spans", spans);
	json_object_set_array_member(object, "silent", failed);
	end_with_object(job, object);
}

static gboolean is_trace_id(const char *id)
{
	return id && strlen(id) == TRACE_ID_LENGTH &&
	       strspn(id, "0123456789abcdef") == TRACE_ID_LENGTH;
}

void admin_on_trace(void *ctx, http_request_t *request)
{
	const char *id = http_request_query(request, "trace");
	admin_job_t *job = admin_job_begin(ctx, request, RIGHT_VIEW);
	char *path;

	if (!job)
		return;
	if (!is_trace_id(id)) {
		admin_job_refuse(job, ERROR_INVALID,
				 "the query's trace must be 32 lower-case "
				 "hexadecimal digits");
		return;
	}
	path = g_strconcat("/debug/spans?trace=", id, NULL);
	fleet_query(job->admin->options.kv, job->admin->options.client, path,
		    on_trace, job);
	g_free(path);
}
