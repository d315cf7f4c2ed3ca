#include "member/list_client.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/json_member.h"
#include "base/log.h"

/* Timeout of one read, in milliseconds. */
#define READ_TIMEOUT 5000

/* Random deviation from the interval between two reads, in percent. */
#define JITTER_PERCENT 20

#define PORT_MAX 65535

struct list_client {
	http_client_t *http;
	char *host;
	int port;
	GRand *rand;
	const list_events_t *events;
	void *ctx;
	uv_timer_t timer;
	http_call_t *call; /* the read in flight, or NULL */
	size_t size;	   /* of the last valid list, in bytes */
	counter_t *reads;
	counter_t *failures;
};

ms_t list_period(size_t size)
{
	ms_t period = (ms_t)(size * 1000 / LIST_BYTES_PER_SECOND);

	return MAX(period, LIST_PERIOD_MIN);
}

/* A member's value if it is a string and not empty, else NULL. */
static const char *string_member(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text;

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	text = json_node_get_string(node);
	return *text ? text : NULL;
}

/* Split "IP" or "IP:PORT"; the caller frees the returned address. */
static char *split_address(const char *text, int *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number;

	*port = 0;
	if (!colon)
		return g_strdup(text);
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &number,
					NULL))
		return NULL;
	*port = (int)number;
	return g_strndup(text, (gsize)(colon - text));
}

typedef struct {
	const list_events_t *events;
	void *ctx;
	gboolean is_emitting; /* FALSE: validate only */
	gboolean is_endpoint;
	GError **error;
	gboolean is_valid;
} parse_t;

static void parse_item(JsonArray *array, guint index, JsonNode *node,
		       gpointer data)
{
	parse_t *parse = data;
	list_item_t item = {0};
	JsonObject *object;
	const char *address;
	const char *state;
	char *host = NULL;

	if (!parse->is_valid)
		return;
	parse->is_valid = FALSE;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	object = json_node_get_object(node);
	item.name = string_member(object, "name");
	item.region = string_member(object, "region");
	item.failure_domain = string_member(object, "failure_domain");
	address = string_member(object, "address");
	state = string_member(object, "state");
	if (!item.name || !item.region || !item.failure_domain || !address ||
	    !state)
		return;
	item.is_leaving = !strcmp(state, "leaving");
	host = split_address(address, &item.port);
	item.address = host;
	parse->is_valid = host && (item.is_leaving || !strcmp(state, "live"));
	if (parse->is_valid && parse->is_emitting && parse->is_endpoint)
		parse->events->on_endpoint(parse->ctx, &item);
	else if (parse->is_valid && parse->is_emitting)
		parse->events->on_instance(parse->ctx, &item);
	g_free(host);
}

static gboolean parse_list(parse_t *parse, JsonObject *root, const char *name)
{
	JsonNode *node = json_object_get_member(root, name);

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return FALSE;
	parse->is_valid = TRUE;
	parse->is_endpoint = !strcmp(name, "endpoints");
	json_array_foreach_element(json_node_get_array(node), parse_item,
				   parse);
	return parse->is_valid;
}

gboolean list_parse(const char *text, gssize size, const list_events_t *events,
		    void *ctx, GError **error)
{
	JsonParser *parser = json_parser_new();
	parse_t parse = {.events = events, .ctx = ctx};
	JsonObject *root = NULL;
	JsonNode *node;
	gboolean is_valid = FALSE;

	if (json_load(parser, text, size, NULL)) {
		node = json_parser_get_root(parser);
		if (node && JSON_NODE_HOLDS_OBJECT(node))
			root = json_node_get_object(node);
	}
	if (root && parse_list(&parse, root, "instances") &&
	    parse_list(&parse, root, "endpoints")) {
		is_valid = TRUE;
		parse.is_emitting = TRUE;
		parse_list(&parse, root, "instances");
		parse_list(&parse, root, "endpoints");
	} else {
		error_set(error, ERROR_INVALID,
			  "malformed list of instances; each object needs "
			  "name, address, region, failure_domain and state");
	}
	g_object_unref(parser);
	return is_valid;
}

static void on_due(uv_timer_t *timer);

static void schedule_read(list_client_t *client)
{
	ms_t period = list_period(client->size);
	ms_t jitter = period * JITTER_PERCENT / 100;

	period += g_rand_int_range(client->rand, (gint32)-jitter,
				   (gint32)jitter + 1);
	uv_timer_start(&client->timer, on_due, (uint64_t)period, 0);
}

static void on_response(void *ctx, int status, const char *body, size_t size,
			const GError *error)
{
	list_client_t *client = ctx;
	GError *failure = NULL;

	client->call = NULL;
	if (error)
		failure = g_error_copy(error);
	else if (status != 200)
		error_set(&failure, ERROR_UNAVAILABLE,
			  "the platform's list of instances returned HTTP "
			  "status %d",
			  status);
	else if (list_parse(body, (gssize)size, client->events, client->ctx,
			    &failure))
		client->size = size;
	counter_add(client->reads, 1);
	if (failure) {
		counter_add(client->failures, 1);
		log_warn("cannot read the list of instances", "reason",
			 failure->message, NULL);
	}
	if (client->events->on_read)
		client->events->on_read(client->ctx, failure);
	g_clear_error(&failure);
	schedule_read(client);
}

static void on_due(uv_timer_t *timer)
{
	list_client_t *client = timer->data;
	http_call_request_t request = {
		.host = client->host,
		.port = client->port,
		.method = "GET",
		.path = "/instances",
		.timeout = READ_TIMEOUT,
	};

	client->call = http_call_buffered(client->http, &request,
					  LIST_BYTES_MAX, on_response, client);
}

list_client_t *list_client_create(uv_loop_t *loop, http_client_t *http,
				  const char *host, int port, uint32_t seed,
				  const list_events_t *events, void *ctx)
{
	list_client_t *client = g_new0(list_client_t, 1);

	client->http = http;
	client->host = g_strdup(host);
	client->port = port;
	client->rand = g_rand_new_with_seed(seed);
	client->events = events;
	client->ctx = ctx;
	client->reads = counter_get("hc_list_reads_total");
	client->failures = counter_get("hc_list_read_failures_total");
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	uv_timer_start(&client->timer, on_due, 0, 0);
	return client;
}

static void on_timer_close(uv_handle_t *handle)
{
	list_client_t *client = handle->data;

	g_rand_free(client->rand);
	g_free(client->host);
	g_free(client);
}

void list_client_destroy(list_client_t *client)
{
	if (!client)
		return;
	if (client->call)
		http_call_cancel(client->call);
	uv_close((uv_handle_t *)&client->timer, on_timer_close);
}
