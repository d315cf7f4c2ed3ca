#include "admin/fleet.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/error.h"

#define ASK_TIMEOUT_MS 2000
#define PARALLEL_MAX   64
#define ANSWER_MAX     (1024 * 1024)
#define PORT_MAX       65535

typedef struct {
	http_client_t *client;
	char *path;
	GPtrArray *answers;
	guint next; /* to be asked */
	guint open;
	fleet_done_t done;
	void *ctx;
} fleet_t;

typedef struct {
	fleet_t *fleet;
	fleet_answer_t *answer;
} ask_t;

static void ask_more(fleet_t *fleet);

static void answer_free(gpointer data)
{
	fleet_answer_t *answer = data;

	g_free(answer->instance);
	g_free(answer->program);
	g_free(answer->address);
	g_free(answer->body);
	g_free(answer->fault);
	g_free(answer);
}

static void finish(fleet_t *fleet, const GError *error)
{
	fleet->done(fleet->ctx, fleet->answers, error);
	g_ptr_array_free(fleet->answers, TRUE);
	g_free(fleet->path);
	g_free(fleet);
}

static void on_answer(void *ctx, int status, const char *body, size_t size,
		      const GError *error)
{
	ask_t *ask = ctx;
	fleet_t *fleet = ask->fleet;

	if (error) {
		ask->answer->fault = g_strdup(error->message);
	} else if (status != 200) {
		ask->answer->fault = g_strdup_printf("HTTP status %d", status);
	} else {
		ask->answer->body = g_strndup(body, size);
		ask->answer->size = size;
	}
	g_free(ask);
	fleet->open--;
	ask_more(fleet);
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

static void ask_one(fleet_t *fleet, fleet_answer_t *answer)
{
	http_call_request_t request = {0};
	ask_t *ask;
	char *host;

	if (!split_address(answer->address, &host, &request.port)) {
		answer->fault = g_strdup("its address is not IP:PORT");
		return;
	}
	ask = g_new0(ask_t, 1);
	ask->fleet = fleet;
	ask->answer = answer;
	request.host = host;
	request.method = "GET";
	request.path = fleet->path;
	request.timeout = ASK_TIMEOUT_MS;
	request.is_fresh = TRUE;
	fleet->open++;
	http_call_buffered(fleet->client, &request, ANSWER_MAX, on_answer, ask);
	g_free(host);
}

static void ask_more(fleet_t *fleet)
{
	while (fleet->open < PARALLEL_MAX && fleet->next < fleet->answers->len)
		ask_one(fleet,
			g_ptr_array_index(fleet->answers, fleet->next++));
	if (!fleet->open)
		finish(fleet, NULL);
}

static void add_program(fleet_t *fleet, const char *key, const char *program,
			JsonNode *address)
{
	fleet_answer_t *answer;

	if (!JSON_NODE_HOLDS_VALUE(address) ||
	    json_node_get_value_type(address) != G_TYPE_STRING)
		return;
	answer = g_new0(fleet_answer_t, 1);
	answer->instance = g_strdup(key + strlen(FLEET_PREFIX));
	answer->program = g_strdup(program);
	answer->address = json_node_dup_string(address);
	g_ptr_array_add(fleet->answers, answer);
}

static void add_instance(fleet_t *fleet, const kv_item_t *item)
{
	JsonParser *parser = json_parser_new();
	JsonNode *node = NULL;
	JsonObject *http;
	GList *names;
	GList *at;

	if (json_parser_load_from_data(parser, item->value, (gssize)item->size,
				       NULL))
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
			add_program(fleet, item->key, at->data,
				    json_object_get_member(http, at->data));
		g_list_free(names);
	}
	g_object_unref(parser);
}

static void on_instances(void *ctx, kv_status_t status, const kv_item_t *items,
			 size_t count, int64_t revision, const GError *error)
{
	fleet_t *fleet = ctx;
	GError *cause = NULL;
	size_t i;

	if (status != KV_DONE) {
		error_set(&cause, ERROR_UNAVAILABLE,
			  "the instances are not known: the key-value service "
			  "doesn't answer; try again later");
		finish(fleet, cause);
		g_error_free(cause);
		return;
	}
	for (i = 0; i < count; i++)
		add_instance(fleet, &items[i]);
	ask_more(fleet);
}

void fleet_ask(kv_t *kv, http_client_t *client, const char *path,
	       fleet_done_t done, void *ctx)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->client = client;
	fleet->path = g_strdup(path);
	fleet->done = done;
	fleet->ctx = ctx;
	fleet->answers = g_ptr_array_new_with_free_func(answer_free);
	kv_list(kv, FLEET_PREFIX, on_instances, fleet);
}
