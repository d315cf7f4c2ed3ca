#include "admin/fleet.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/error.h"
#include "base/json_member.h"

#define QUERY_TIMEOUT_MS  2000
#define QUERIES_OPEN_MAX  64
#define RESPONSE_SIZE_MAX (1024 * 1024)
#define PORT_MAX	  65535

typedef struct {
	http_client_t *client;
	char *path;
	GPtrArray *responses;
	guint next; /* index of the next program to query */
	guint open;
	fleet_done_t done;
	void *ctx;
} query_batch_t;

typedef struct {
	query_batch_t *batch;
	fleet_response_t *response;
} program_query_t;

static void start_queries(query_batch_t *batch);

static void response_free(gpointer data)
{
	fleet_response_t *response = data;

	g_free(response->instance);
	g_free(response->program);
	g_free(response->address);
	g_free(response->body);
	g_free(response->fault);
	g_free(response);
}

static void finish(query_batch_t *batch, const GError *error)
{
	batch->done(batch->ctx, batch->responses, error);
	g_ptr_array_free(batch->responses, TRUE);
	g_free(batch->path);
	g_free(batch);
}

static void on_response(void *ctx, int status, const char *body, size_t size,
			const GError *error)
{
	program_query_t *query = ctx;
	query_batch_t *batch = query->batch;

	if (error) {
		query->response->fault = g_strdup(error->message);
	} else if (status != 200) {
		query->response->fault =
			g_strdup_printf("HTTP status %d", status);
	} else {
		query->response->body = g_strndup(body, size);
		query->response->size = size;
	}
	g_free(query);
	batch->open--;
	start_queries(batch);
}

static gboolean split_address(const char *address, char **host, int *port)
{
	const char *colon = strrchr(address, ':');
	gint64 number;

	if (!colon || !g_ascii_string_to_signed(colon + 1, 10, 1, PORT_MAX,
						&number, NULL))
		return FALSE;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (int)number;
	if (g_hostname_is_ip_address(*host))
		return TRUE;
	g_free(*host);
	return FALSE;
}

static void start_query(query_batch_t *batch, fleet_response_t *response)
{
	http_call_request_t request = {0};
	program_query_t *query;
	char *host;

	if (!split_address(response->address, &host, &request.port)) {
		response->fault = g_strdup("its address is not IP:PORT");
		return;
	}
	query = g_new0(program_query_t, 1);
	query->batch = batch;
	query->response = response;
	request.host = host;
	request.method = "GET";
	request.path = batch->path;
	request.timeout = QUERY_TIMEOUT_MS;
	request.is_fresh = TRUE;
	batch->open++;
	http_call_buffered(batch->client, &request, RESPONSE_SIZE_MAX,
			   on_response, query);
	g_free(host);
}

static void start_queries(query_batch_t *batch)
{
	while (batch->open < QUERIES_OPEN_MAX &&
	       batch->next < batch->responses->len)
		start_query(batch,
			    g_ptr_array_index(batch->responses, batch->next++));
	if (!batch->open)
		finish(batch, NULL);
}

static void add_program(query_batch_t *batch, const char *key,
			const char *program, JsonNode *address)
{
	fleet_response_t *response;

	if (!JSON_NODE_HOLDS_VALUE(address) ||
	    json_node_get_value_type(address) != G_TYPE_STRING)
		return;
	response = g_new0(fleet_response_t, 1);
	response->instance = g_strdup(key + strlen(FLEET_PREFIX));
	response->program = g_strdup(program);
	response->address = json_node_dup_string(address);
	g_ptr_array_add(batch->responses, response);
}

static void add_instance(query_batch_t *batch, const kv_item_t *item)
{
	JsonParser *parser = json_parser_new();
	JsonNode *node = NULL;
	JsonObject *http;
	GList *names;
	GList *at;

	if (json_load(parser, item->value, (gssize)item->size, NULL))
		node = json_parser_get_root(parser);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		node = json_object_get_member(json_node_get_object(node),
					      "http");
	else
		node = NULL;
	if (node && JSON_NODE_HOLDS_OBJECT(node)) {
		http = json_node_get_object(node);
		names = json_object_get_members(http);
		for (at = names; at; at = at->next)
			add_program(batch, item->key, at->data,
				    json_object_get_member(http, at->data));
		g_list_free(names);
	}
	g_object_unref(parser);
}

static void on_instances(void *ctx, kv_status_t status, const kv_item_t *items,
			 size_t count, int64_t revision, const GError *error)
{
	query_batch_t *batch = ctx;
	GError *cause = NULL;
	size_t i;

	if (status != KV_DONE) {
		error_set(
			&cause, ERROR_UNAVAILABLE,
			"the instances can't be listed: the key-value service "
			"does not respond; try again later");
		finish(batch, cause);
		g_error_free(cause);
		return;
	}
	for (i = 0; i < count; i++)
		add_instance(batch, &items[i]);
	start_queries(batch);
}

void fleet_query(kv_t *kv, http_client_t *client, const char *path,
		 fleet_done_t done, void *ctx)
{
	query_batch_t *batch = g_new0(query_batch_t, 1);

	batch->client = client;
	batch->path = g_strdup(path);
	batch->done = done;
	batch->ctx = ctx;
	batch->responses = g_ptr_array_new_with_free_func(response_free);
	kv_list(kv, FLEET_PREFIX, on_instances, batch);
}
