/*
 * standin-service: a plain service whose orders must not be repeated.
 *
 * It keeps a ledger of the orders that it ran, and injects faults on request.
 * See docs/commands/standin-service.md for the paths that it serves.
 */

#include <getopt.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/version.h"
#include "base/log.h"
#include "http/http_server.h"
#include "standin/program.h"

#define BODY_MAX (1024 * 1024)

/* Exit statuses besides 0. */
#define EXIT_FAULT 1
#define EXIT_USAGE 2

typedef enum {
	MODE_OK,
	MODE_SLOW,	  /* run, and respond after the delay */
	MODE_FAIL_BEFORE, /* respond with an error, without running */
	MODE_FAIL_AFTER,  /* run, and respond with an error */
	MODE_CLOSE,	  /* run, and break off the response */
	MODE_HANG,	  /* run, and never respond */
	MODE_COUNT
} service_mode_t;

static const char *const mode_names[MODE_COUNT] = {
	[MODE_OK] = "ok",
	[MODE_SLOW] = "slow",
	[MODE_FAIL_BEFORE] = "fail_before",
	[MODE_FAIL_AFTER] = "fail_after",
	[MODE_CLOSE] = "close",
	[MODE_HANG] = "hang",
};

/* The ledger's entry of one order identifier. */
typedef struct {
	char *path;
	int64_t runs;
	int64_t answers;
} entry_t;

typedef struct service service_t;

/* An order that has no response yet. */
typedef struct order {
	TAILQ_ENTRY(order) link;
	service_t *service;
	http_request_t *http;
	uv_timer_t timer;
	char *id;
} order_t;

TAILQ_HEAD(order_list, order);

struct service {
	http_server_t *server;
	GHashTable *ledger; /* identifier to entry_t */
	struct order_list waiting;
	int64_t running;
	service_mode_t mode;
	int64_t mode_left; /* orders left in this mode; 0 for no limit */
	int64_t delay_ms;
	JsonNode *last; /* the last request, or NULL */
};

static void entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->path);
	g_free(entry);
}

static entry_t *entry_get(service_t *service, const char *id, const char *path)
{
	entry_t *entry = g_hash_table_lookup(service->ledger, id);

	if (!entry) {
		entry = g_new0(entry_t, 1);
		entry->path = g_strdup(path);
		g_hash_table_insert(service->ledger, g_strdup(id), entry);
	}
	return entry;
}

static void respond_node(http_request_t *http, int status, JsonNode *root)
{
	char *text = json_to_string(root, FALSE);

	http_respond(http, status, "application/json", NULL, text,
		     strlen(text));
	g_free(text);
	json_node_unref(root);
}

static void respond_object(http_request_t *http, JsonObject *object)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(root, object);
	respond_node(http, 200, root);
}

static void respond_failure(http_request_t *http, error_kind_t kind,
			    outcome_t outcome, const char *message)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", message);
	http_respond_error(http, error, outcome, 0);
	g_error_free(error);
}

static void respond_order(service_t *service, http_request_t *http,
			  const char *id)
{
	entry_t *entry = g_hash_table_lookup(service->ledger, id);
	JsonObject *object = json_object_new();

	entry->answers++;
	json_object_set_string_member(object, "order", id);
	json_object_set_string_member(object, "path", entry->path);
	json_object_set_int_member(object, "run", entry->runs);
	respond_object(http, object);
}

static void on_timer_closed(uv_handle_t *handle)
{
	order_t *order = handle->data;

	g_free(order->id);
	g_free(order);
}

static void order_destroy(order_t *order)
{
	TAILQ_REMOVE(&order->service->waiting, order, link);
	order->service->running--;
	uv_close((uv_handle_t *)&order->timer, on_timer_closed);
}

static void on_order_due(uv_timer_t *timer)
{
	order_t *order = timer->data;

	respond_order(order->service, order->http, order->id);
	order_destroy(order);
}

static void on_order_abort(void *ctx, http_request_t *http)
{
	order_destroy(ctx);
}

/* Keeps the order open; it gets no response if delay_ms is negative. */
static void order_defer(service_t *service, http_request_t *http,
			const char *id, int64_t delay_ms)
{
	order_t *order = g_new0(order_t, 1);

	order->service = service;
	order->http = http;
	order->id = g_strdup(id);
	service->running++;
	TAILQ_INSERT_TAIL(&service->waiting, order, link);
	uv_timer_init(uv_default_loop(), &order->timer);
	order->timer.data = order;
	if (delay_ms >= 0)
		uv_timer_start(&order->timer, on_order_due, (uint64_t)delay_ms,
			       0);
	http_request_on_abort(http, on_order_abort, order);
}

/* Returns the mode for an order; resets the mode after its last order. */
static service_mode_t consume_mode(service_t *service)
{
	service_mode_t mode = service->mode;

	if (service->mode_left > 0 && --service->mode_left == 0)
		service->mode = MODE_OK;
	return mode;
}

static void run_order(service_t *service, http_request_t *http, const char *id)
{
	service_mode_t mode = consume_mode(service);

	if (mode == MODE_FAIL_BEFORE) {
		respond_failure(http, ERROR_UNAVAILABLE, OUTCOME_NOT_RUN,
				"told to fail before running; send it again");
		return;
	}
	entry_get(service, id, http_request_path(http))->runs++;
	switch (mode) {
	case MODE_FAIL_AFTER:
		respond_failure(http, ERROR_INTERNAL, OUTCOME_UNKNOWN,
				"told to fail after running; read the ledger");
		break;
	case MODE_CLOSE:
		http_stream_begin(http, 200, "application/json", NULL);
		http_stream_break(http);
		break;
	case MODE_HANG:
		order_defer(service, http, id, -1);
		break;
	case MODE_SLOW:
		order_defer(service, http, id, service->delay_ms);
		break;
	default:
		respond_order(service, http, id);
		break;
	}
}

static void respond_order_count(service_t *service, http_request_t *http)
{
	JsonObject *object = json_object_new();

	json_object_set_string_member(object, "path", http_request_path(http));
	json_object_set_int_member(object, "orders",
				   g_hash_table_size(service->ledger));
	respond_object(http, object);
}

static void record_last_request(service_t *service, http_request_t *http)
{
	JsonObject *object = json_object_new();
	const char *body;
	char *text;
	size_t size;

	body = http_request_body(http, &size);
	text = g_utf8_make_valid(body, (gssize)size);
	json_object_set_string_member(object, "method",
				      http_request_method(http));
	json_object_set_string_member(object, "target",
				      http_request_target(http));
	json_object_set_string_member(
		object, "content_type",
		http_request_header(http, "content-type"));
	json_object_set_string_member(object, "body", text);
	g_clear_pointer(&service->last, json_node_unref);
	service->last = json_node_new(JSON_NODE_OBJECT);
	json_node_take_object(service->last, object);
	g_free(text);
}

static void on_request(void *ctx, http_request_t *http)
{
	const char *method = http_request_method(http);
	const char *id = http_request_header(http, "idempotency-key");

	record_last_request(ctx, http);
	if (!strcmp(method, "GET")) {
		respond_order_count(ctx, http);
		return;
	}
	if (!id)
		id = http_request_header(http, "x-request-id");
	if (id)
		run_order(ctx, http, id);
	else
		respond_failure(http, ERROR_INVALID, OUTCOME_NOT_RUN,
				"an order has no identifier; send the header "
				"Idempotency-Key or X-Request-Id");
}

static void on_ledger(void *ctx, http_request_t *http)
{
	service_t *service = ctx;
	GList *ids = g_list_sort(g_hash_table_get_keys(service->ledger),
				 (GCompareFunc)strcmp);
	JsonObject *object = json_object_new();
	JsonArray *orders = json_array_new();

	for (GList *at = ids; at; at = at->next) {
		entry_t *entry = g_hash_table_lookup(service->ledger, at->data);
		JsonObject *order = json_object_new();

		json_object_set_string_member(order, "id", at->data);
		json_object_set_string_member(order, "path", entry->path);
		json_object_set_int_member(order, "runs", entry->runs);
		json_object_set_int_member(order, "answers", entry->answers);
		json_array_add_object_element(orders, order);
	}
	json_object_set_array_member(object, "orders", orders);
	respond_object(http, object);
	g_list_free(ids);
}

static void on_last(void *ctx, http_request_t *http)
{
	service_t *service = ctx;

	if (service->last)
		respond_node(http, 200, json_node_ref(service->last));
	else
		respond_failure(http, ERROR_NOT_FOUND, OUTCOME_NOT_RUN,
				"no request received yet; send one first");
}

static void on_report(void *ctx, http_request_t *http)
{
	service_t *service = ctx;
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "running", service->running);
	json_object_set_int_member(object, "waiting", 0);
	respond_object(http, object);
}

static gboolean parse_mode(const char *name, service_mode_t *mode)
{
	for (int i = 0; name && i < MODE_COUNT; i++) {
		if (!strcmp(mode_names[i], name)) {
			*mode = (service_mode_t)i;
			return TRUE;
		}
	}
	return FALSE;
}

static gboolean apply_control(service_t *service, JsonNode *root)
{
	JsonObject *object;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return FALSE;
	object = json_node_get_object(root);
	if (!parse_mode(json_object_get_string_member_with_default(
				object, "mode", NULL),
			&service->mode))
		return FALSE;
	service->mode_left =
		json_object_get_int_member_with_default(object, "count", 0);
	service->delay_ms =
		json_object_get_int_member_with_default(object, "delay_ms", 0);
	service->delay_ms = MAX(service->delay_ms, 0);
	return TRUE;
}

static void on_control(void *ctx, http_request_t *http)
{
	JsonParser *parser = json_parser_new();
	size_t size;
	const char *body = http_request_body(http, &size);

	if (size &&
	    json_parser_load_from_data(parser, body, (gssize)size, NULL) &&
	    apply_control(ctx, json_parser_get_root(parser)))
		http_respond(http, 200, "application/json", NULL, "{}", 2);
	else
		respond_failure(http, ERROR_INVALID, OUTCOME_NOT_RUN,
				"the control order is malformed; send "
				"{\"mode\":\"slow\",\"delay_ms\":100,"
				"\"count\":1} with one of the modes ok, slow, "
				"fail_before, fail_after, close, hang");
	g_object_unref(parser);
}

static gboolean service_listen(service_t *service, int port, GError **error)
{
	http_server_options_t options = {"127.0.0.1", port, BODY_MAX,
					 NULL,	      0,    FALSE};

	service->server = http_server_create(uv_default_loop(), &options);
	http_server_route(service->server, "/control/ledger", on_ledger,
			  service);
	http_server_route(service->server, "/control/last", on_last, service);
	http_server_route(service->server, "/control", on_control, service);
	http_server_route(service->server, "/report", on_report, service);
	http_server_route(service->server, "/", on_request, service);
	return http_server_listen(service->server, error);
}

static const char usage[] = "usage: standin-service [options]\n"
			    "  --port N   port to listen on (0: any free one)\n"
			    "  --help, --version\n";

static int parse_port(const char *text)
{
	gint64 port;

	if (g_ascii_string_to_signed(text, 10, 0, 65535, &port, NULL))
		return (int)port;
	fprintf(stderr, "standin-service: --port must be 0 to 65535\n");
	exit(EXIT_USAGE);
}

static int parse_options(int argc, char **argv)
{
	static const struct option options[] = {
		{"port", required_argument, NULL, 'p'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'v'},
		{NULL, 0, NULL, 0}};
	int port = 0;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (option) {
		case 'p':
			port = parse_port(optarg);
			break;
		case 'h':
			fputs(usage, stdout);
			exit(0);
		case 'v':
			puts("standin-service " HC_VERSION);
			exit(0);
		default:
			fputs(usage, stderr);
			exit(EXIT_USAGE);
		}
	}
	return port;
}

int main(int argc, char **argv)
{
	int port = parse_options(argc, argv);
	service_t service = {0};
	GError *error = NULL;

	log_init("standin-service", "", LOG_INFO);
	TAILQ_INIT(&service.waiting);
	service.ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       entry_free);
	if (!service_listen(&service, port, &error)) {
		fprintf(stderr, "standin-service: %s\n", error->message);
		return EXIT_FAULT;
	}
	standin_run(uv_default_loop(), http_server_port(service.server));
	return 0;
}
