#include "member/list_client.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"

/* The longest time allowed for one read, in milliseconds. */
#define READ_TIMEOUT 5000

/* Reads are spread over this share of the time between two, in percent. */
#define SPREAD_PERCENT 20

#define PORT_MAX 65535

struct list_client {
	http_client_t *http;
	char *host;
	int port;
	GRand *rand;
	const list_events_t *events;
	void *ctx;
	uv_timer_t timer;
	http_call_t *call; /* NULL between reads */
	size_t size;	   /* of the last list */
	counter_t *reads;
	counter_t *failures;
};

ms_t list_period(size_t size)
{
	ms_t period = (ms_t)(size * 1000 / LIST_BYTES_PER_SECOND);

	return MAX(period, LIST_PERIOD_MIN);
}

/* The value of a member that must be a string that is not empty. */
static const char *text_of(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text;

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	text = json_node_get_string(node);
	return *text ? text : NULL;
}

/* Split "IP" or "IP:PORT"; the address is freed by the caller. */
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
	gboolean is_reporting; /* else checking only */
	gboolean is_endpoint;
	GError **error;
	gboolean is_valid;
} walk_t;

static void visit_item(JsonArray *array, guint index, JsonNode *node,
		       gpointer data)
{
	walk_t *walk = data;
	list_item_t item = {0};
	JsonObject *object;
	const char *address;
	const char *state;
	char *host = NULL;

	if (!walk->is_valid)
		return;
	walk->is_valid = FALSE;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	object = json_node_get_object(node);
	item.name = text_of(object, "name");
	item.region = text_of(object, "region");
	item.failure_domain = text_of(object, "failure_domain");
	address = text_of(object, "address");
	state = text_of(object, "state");
	if (!item.name || !item.region || !item.failure_domain || !address ||
	    !state)
		return;
	item.is_leaving = !strcmp(state, "leaving");
	host = split_address(address, &item.port);
	item.address = host;
	walk->is_valid = host && (item.is_leaving || !strcmp(state, "live"));
	if (walk->is_valid && walk->is_reporting && walk->is_endpoint)
		walk->events->on_endpoint(walk->ctx, &item);
	else if (walk->is_valid && walk->is_reporting)
		walk->events->on_instance(walk->ctx, &item);
	g_free(host);
}

static gboolean walk_list(walk_t *walk, JsonObject *root, const char *name)
{
	JsonNode *node = json_object_get_member(root, name);

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return FALSE;
	walk->is_valid = TRUE;
	walk->is_endpoint = !strcmp(name, "endpoints");
	json_array_foreach_element(json_node_get_array(node), visit_item, walk);
	return walk->is_valid;
}

gboolean list_parse(const char *text, gssize size, const list_events_t *events,
		    void *ctx, GError **error)
{
	JsonParser *parser = json_parser_new();
	walk_t walk = {.events = events, .ctx = ctx};
	JsonObject *root = NULL;
	JsonNode *node;
	gboolean is_valid = FALSE;

	if (json_parser_load_from_data(parser, text, size, NULL)) {
		node = json_parser_get_root(parser);
		if (node && JSON_NODE_HOLDS_OBJECT(node))
			root = json_node_get_object(node);
	}
	if (root && walk_list(&walk, root, "instances") &&
	    walk_list(&walk, root, "endpoints")) {
		is_valid = TRUE;
		walk.is_reporting = TRUE;
		walk_list(&walk, root, "instances");
		walk_list(&walk, root, "endpoints");
	} else {
		error_set(error, ERROR_INVALID,
			  "the list of instances is malformed; the platform "
			  "has to send objects with name, address, region, "
			  "failure_domain and state");
	}
	g_object_unref(parser);
	return is_valid;
}

static void on_due(uv_timer_t *timer);

static void wait_for_next(list_client_t *client)
{
	ms_t period = list_period(client->size);
	ms_t spread = period * SPREAD_PERCENT / 100;

	period += g_rand_int_range(client->rand, (gint32)-spread,
				   (gint32)spread + 1);
	uv_timer_start(&client->timer, on_due, (uint64_t)period, 0);
}

static void on_answer(void *ctx, int status, const char *body, size_t size,
		      const GError *error)
{
	list_client_t *client = ctx;
	GError *fault = NULL;

	client->call = NULL;
	if (error)
		fault = g_error_copy(error);
	else if (status != 200)
		error_set(&fault, ERROR_UNAVAILABLE,
			  "the list of instances answered with status %d; "
			  "look at the platform's list",
			  status);
	else if (list_parse(body, (gssize)size, client->events, client->ctx,
			    &fault))
		client->size = size;
	counter_add(client->reads, 1);
	if (fault) {
		counter_add(client->failures, 1);
		log_warn("list not read", "reason", fault->message, NULL);
	}
	if (client->events->on_read)
		client->events->on_read(client->ctx, fault);
	g_clear_error(&fault);
	wait_for_next(client);
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
					  LIST_BYTES_MAX, on_answer, client);
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
