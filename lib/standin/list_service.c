#include "standin/list_service.h"

#include <json-glib/json-glib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/error.h"
#include "base/json_build.h"
#include "http/http_server.h"

#define BODY_MAX_BYTES 65536

/* Maximum of the lag and the response delay, in milliseconds. */
#define DELAY_MAX_MS 3600000

#define JSON_TYPE "application/json"

typedef enum { CHANGE_ADD, CHANGE_LEAVE, CHANGE_REMOVE } change_type_t;

typedef struct item {
	char *name;
	char *address;
	char *region;
	char *failure_domain;
	gboolean is_endpoint;
	gboolean is_leaving;
} item_t;

/* A change that is not in the list yet. */
typedef struct change {
	TAILQ_ENTRY(change) link;
	change_type_t type;
	ms_t due;
	item_t *item; /* for CHANGE_ADD; NULL once it is in the list */
	char *name;
} change_t;

/* A read whose response is delayed. */
typedef struct delayed {
	uv_timer_t timer;
	struct list_service *service;
	http_request_t *request; /* NULL once the client has disconnected */
} delayed_response_t;

struct list_service {
	uv_loop_t *loop;
	http_server_t *server;
	ms_clock_t *clock;
	ms_t lag;
	ms_t response_delay;
	gboolean is_unavailable;
	GHashTable *items; /* name to item_t */
	TAILQ_HEAD(, change) changes;
};

static void item_free(void *data)
{
	item_t *item = data;

	if (!item)
		return;
	g_free(item->name);
	g_free(item->address);
	g_free(item->region);
	g_free(item->failure_domain);
	g_free(item);
}

static void change_free(list_service_t *service, change_t *change)
{
	TAILQ_REMOVE(&service->changes, change, link);
	item_free(change->item);
	g_free(change->name);
	g_free(change);
}

static void apply_change(list_service_t *service, change_t *change)
{
	item_t *item = g_hash_table_lookup(service->items, change->name);

	if (change->type == CHANGE_ADD) {
		g_hash_table_replace(service->items, change->item->name,
				     change->item);
		change->item = NULL;
	} else if (change->type == CHANGE_REMOVE) {
		g_hash_table_remove(service->items, change->name);
	} else if (item) {
		item->is_leaving = TRUE;
	}
}

static void apply_due_changes(list_service_t *service)
{
	ms_t now = ms_clock_now(service->clock);
	change_t *change;

	while ((change = TAILQ_FIRST(&service->changes)) &&
	       change->due <= now) {
		apply_change(service, change);
		change_free(service, change);
	}
}

static void write_item(JsonBuilder *builder, const item_t *item)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "name");
	json_builder_add_string_value(builder, item->name);
	json_builder_set_member_name(builder, "address");
	json_builder_add_string_value(builder, item->address);
	json_builder_set_member_name(builder, "region");
	json_builder_add_string_value(builder, item->region);
	json_builder_set_member_name(builder, "failure_domain");
	json_builder_add_string_value(builder, item->failure_domain);
	json_builder_set_member_name(builder, "state");
	json_builder_add_string_value(builder,
				      item->is_leaving ? "leaving" : "live");
	json_builder_end_object(builder);
}

static void write_items(const list_service_t *service, JsonBuilder *builder,
			gboolean is_endpoint)
{
	GHashTableIter iter;
	gpointer item;

	json_builder_begin_array(builder);
	g_hash_table_iter_init(&iter, service->items);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		if (((item_t *)item)->is_endpoint == is_endpoint)
			write_item(builder, item);
	}
	json_builder_end_array(builder);
}

static void respond_list(list_service_t *service, http_request_t *request)
{
	JsonBuilder *builder = json_builder_new();
	char *text;

	apply_due_changes(service);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "instances");
	write_items(service, builder, FALSE);
	json_builder_set_member_name(builder, "endpoints");
	write_items(service, builder, TRUE);
	json_builder_end_object(builder);
	text = json_build_end(builder, FALSE);
	http_respond(request, 200, JSON_TYPE, NULL, text, strlen(text));
	g_free(text);
}

static void respond_error(http_request_t *request, error_kind_t kind,
			  const char *message)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", message);
	http_respond_error(request, error, OUTCOME_NOT_RUN, 0);
	g_error_free(error);
}

static void on_timer_close(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_delay_end(uv_timer_t *timer)
{
	delayed_response_t *delayed = timer->data;

	if (delayed->request)
		respond_list(delayed->service, delayed->request);
	uv_close((uv_handle_t *)timer, on_timer_close);
}

static void on_client_abort(void *ctx, http_request_t *request)
{
	((delayed_response_t *)ctx)->request = NULL;
}

static void on_list(void *ctx, http_request_t *request)
{
	list_service_t *service = ctx;
	delayed_response_t *delayed;

	if (service->is_unavailable) {
		respond_error(request, ERROR_UNAVAILABLE,
			      "the list is unavailable; try again later");
		return;
	}
	if (!service->response_delay) {
		respond_list(service, request);
		return;
	}
	delayed = g_new0(delayed_response_t, 1);
	delayed->service = service;
	delayed->request = request;
	http_request_on_abort(request, on_client_abort, delayed);
	uv_timer_init(service->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, on_delay_end,
		       (uint64_t)service->response_delay, 0);
}

static void queue_change(list_service_t *service, change_type_t type,
			 const char *name, item_t *item)
{
	change_t *change = g_new0(change_t, 1);

	change->type = type;
	change->name = g_strdup(name);
	change->item = item;
	change->due = ms_clock_now(service->clock) + service->lag;
	TAILQ_INSERT_TAIL(&service->changes, change, link);
}

static gboolean control_add(list_service_t *service, http_request_t *request,
			    const char *name)
{
	const char *kind = http_request_query(request, "kind");
	const char *address = http_request_query(request, "address");
	const char *region = http_request_query(request, "region");
	const char *domain = http_request_query(request, "failure_domain");
	item_t *item;

	if (!kind || !address || !region || !domain ||
	    (strcmp(kind, "instance") != 0 && strcmp(kind, "endpoint") != 0))
		return FALSE;
	item = g_new0(item_t, 1);
	item->name = g_strdup(name);
	item->address = g_strdup(address);
	item->region = g_strdup(region);
	item->failure_domain = g_strdup(domain);
	item->is_endpoint = !strcmp(kind, "endpoint");
	queue_change(service, CHANGE_ADD, name, item);
	return TRUE;
}

/* Stores the delay if present; returns FALSE if it is not valid. */
static gboolean control_delay(http_request_t *request, const char *parameter,
			      ms_t *delay)
{
	const char *text = http_request_query(request, parameter);
	guint64 number;

	if (!text)
		return TRUE;
	if (!g_ascii_string_to_unsigned(text, 10, 0, DELAY_MAX_MS, &number,
					NULL))
		return FALSE;
	*delay = (ms_t)number;
	return TRUE;
}

static gboolean control_outage(list_service_t *service, http_request_t *request)
{
	const char *text = http_request_query(request, "outage");

	if (!text)
		return TRUE;
	if (strcmp(text, "on") != 0 && strcmp(text, "off") != 0)
		return FALSE;
	service->is_unavailable = !strcmp(text, "on");
	return TRUE;
}

static void on_control(void *ctx, http_request_t *request)
{
	list_service_t *service = ctx;
	const char *add = http_request_query(request, "add");
	const char *leave = http_request_query(request, "leave");
	const char *removed = http_request_query(request, "remove");

	if (strcmp(http_request_method(request), "POST") != 0 ||
	    (add && !control_add(service, request, add)) ||
	    !control_delay(request, "lag", &service->lag) ||
	    !control_delay(request, "slow", &service->response_delay) ||
	    !control_outage(service, request)) {
		respond_error(request, ERROR_INVALID,
			      "POST /control with add, leave, "
			      "remove, outage, "
			      "slow or lag; see docs/commands/standin-list.md");
		return;
	}
	if (leave)
		queue_change(service, CHANGE_LEAVE, leave, NULL);
	if (removed)
		queue_change(service, CHANGE_REMOVE, removed, NULL);
	http_respond(request, 200, JSON_TYPE, NULL, "{}", 2);
}

list_service_t *list_service_create(uv_loop_t *loop, int port, ms_t lag)
{
	list_service_t *service = g_new0(list_service_t, 1);
	http_server_options_t options = {.address = "127.0.0.1",
					 .port = port,
					 .body_max = BODY_MAX_BYTES};

	service->loop = loop;
	service->lag = lag;
	service->clock = ms_clock_create_system();
	service->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	TAILQ_INIT(&service->changes);
	service->server = http_server_create(loop, &options);
	http_server_route(service->server, "/instances", on_list, service);
	http_server_route(service->server, "/control", on_control, service);
	return service;
}

gboolean list_service_listen(list_service_t *service, GError **error)
{
	return http_server_listen(service->server, error);
}

int list_service_port(const list_service_t *service)
{
	return http_server_port(service->server);
}

void list_service_close(list_service_t *service)
{
	http_server_close(service->server);
}

void list_service_destroy(list_service_t *service)
{
	if (!service)
		return;
	http_server_destroy(service->server);
	while (!TAILQ_EMPTY(&service->changes))
		change_free(service, TAILQ_FIRST(&service->changes));
	g_hash_table_destroy(service->items);
	ms_clock_destroy(service->clock);
	g_free(service);
}
