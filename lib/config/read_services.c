/* Parses the services and endpoints of a document. */

#include <arpa/inet.h>
#include <string.h>

#include "config/reader.h"

#define PORT_MAX	  65535
#define RATE_MAX	  1e6
#define COUNT_MAX	  1e6
#define LOADS_MAX	  1e5
#define ADAPTER_SLOTS_MAX 1e5

void reader_limits(reader_t *reader, JsonObject *object,
		   document_limits_t *limits)
{
	size_t mark = fields_enter(&reader->fields, "limits");
	const field_t table[] = {
		{"requests_per_second", FIELD_NUMBER, FALSE,
		 &limits->requests_per_second, 0, RATE_MAX},
		{"concurrent_requests", FIELD_INT, FALSE,
		 &limits->concurrent_requests, 0, COUNT_MAX},
		{"queued_requests", FIELD_INT, FALSE, &limits->queued_requests,
		 0, COUNT_MAX},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	fields_leave(&reader->fields, mark);
}

static void read_weight_store(reader_t *reader, JsonObject *object,
			      document_service_t *service)
{
	size_t mark = fields_enter(&reader->fields, "weight_store");
	const field_t table[] = {
		{"loads_per_second", FIELD_NUMBER, TRUE,
		 &service->loads_per_second, 0.001, LOADS_MAX},
		{"loads_in_transit", FIELD_INT, TRUE,
		 &service->loads_in_transit, 1, LOADS_MAX},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	fields_leave(&reader->fields, mark);
}

/* Record a fault if a key is present that this kind of service lacks. */
static void reject_key(reader_t *reader, const char *key, gboolean is_present,
		       const char *kind)
{
	if (!is_present)
		return;
	fields_add_fault_at(
		&reader->fields, key,
		g_strdup_printf("a service of kind \"%s\" has no %s", kind,
				key),
		g_strdup("remove it"));
}

static void require_key(reader_t *reader, const char *key, gboolean is_present,
			const char *kind)
{
	if (is_present)
		return;
	fields_add_fault_at(
		&reader->fields, key, g_strdup("missing"),
		g_strdup_printf("add it to this service of kind \"%s\"", kind));
}

static void check_path(reader_t *reader, const char *path)
{
	size_t size = strlen(path);

	if (size > 2 && path[0] == '/' && path[size - 1] == '/' &&
	    !g_str_has_prefix(path, "/v1/") && !g_str_has_prefix(path, "/hc/"))
		return;
	fields_add_fault_at(
		&reader->fields, "path",
		g_strdup_printf("'%s' can't be a prefix", path),
		g_strdup("begin and end it with '/', and keep clear of "
			 "'/v1/' and '/hc/'"));
}

static void read_kind(reader_t *reader, const char *kind,
		      document_service_t *service, gboolean has_store)
{
	if (!strcmp(kind, "engine")) {
		service->kind = SERVICE_ENGINE;
		reject_key(reader, "path", service->path != NULL, kind);
		require_key(reader, "base_model", service->base_model != NULL,
			    kind);
		require_key(reader, "weight_store", has_store, kind);
	} else if (!strcmp(kind, "plain")) {
		service->kind = SERVICE_PLAIN;
		reject_key(reader, "base_model", service->base_model != NULL,
			   kind);
		reject_key(reader, "weight_store", has_store, kind);
		require_key(reader, "path", service->path != NULL, kind);
		if (service->path)
			check_path(reader, service->path);
	} else {
		fields_add_fault_at(&reader->fields, "kind",
				    g_strdup_printf("'%s' is no kind", kind),
				    g_strdup("give \"engine\" or \"plain\""));
	}
}

static void read_service(reader_t *reader, JsonObject *object)
{
	document_service_t service = {0};
	const char *kind = NULL;
	JsonObject *limits = NULL;
	JsonObject *store = NULL;
	const field_t table[] = {
		{"name", FIELD_TEXT, TRUE, &service.name, 0, 0},
		{"kind", FIELD_TEXT, TRUE, &kind, 0, 0},
		{"base_model", FIELD_TEXT, FALSE, &service.base_model, 0, 0},
		{"path", FIELD_TEXT, FALSE, &service.path, 0, 0},
		{"limits", FIELD_OBJECT, FALSE, &limits, 0, 0},
		{"weight_store", FIELD_OBJECT, FALSE, &store, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	if (limits)
		reader_limits(reader, limits, &service.limits);
	if (store)
		read_weight_store(reader, store, &service);
	if (kind)
		read_kind(reader, kind, &service, store != NULL);
	service.name = reader_name(reader, "name", service.name);
	service.base_model =
		reader_name(reader, "base_model", service.base_model);
	if (service.path)
		service.path = reader_intern(reader, service.path);
	if (!service.name)
		service.name = reader_placeholder(reader);
	g_array_append_val(reader->parts->services, service);
}

static void check_services(reader_t *reader)
{
	GArray *services = reader->parts->services;
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < services->len; i++) {
		document_service_t *service =
			&g_array_index(services, document_service_t, i);
		const char *unique =
			service->path ? service->path : service->base_model;
		size_t mark = fields_enter_item(&reader->fields, i);

		reader_add_unique(reader, reader->parts->service_names, service,
				  "name");
		if (unique && !g_hash_table_add(used, (gpointer)unique))
			fields_add_fault_at(
				&reader->fields,
				service->path ? "path" : "base_model",
				g_strdup_printf("'%s' belongs to another "
						"service",
						unique),
				g_strdup("give each service its own"));
		fields_leave(&reader->fields, mark);
	}
	g_hash_table_destroy(used);
}

void reader_services(reader_t *reader, JsonArray *services)
{
	size_t top = fields_enter(&reader->fields, "services");
	guint i;

	for (i = 0; i < json_array_get_length(services); i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		JsonObject *object = fields_object(
			&reader->fields, json_array_get_element(services, i));

		if (object)
			read_service(reader, object);
		fields_leave(&reader->fields, mark);
	}
	check_services(reader);
	fields_leave(&reader->fields, top);
}

static gboolean has_domain(const document_region_t *region, const char *name)
{
	const char *const *at;

	for (at = region->failure_domains; *at; at++) {
		if (!strcmp(*at, name))
			return TRUE;
	}
	return FALSE;
}

static void check_location(reader_t *reader, const char *region,
			   const char *failure_domain)
{
	GArray *regions = reader->parts->regions;
	guint i;

	for (i = 0; i < regions->len; i++) {
		const document_region_t *at =
			&g_array_index(regions, document_region_t, i);

		if (strcmp(at->name, region) != 0)
			continue;
		if (has_domain(at, failure_domain))
			return;
		fields_add_fault_at(
			&reader->fields, "failure_domain",
			g_strdup_printf("'%s' is not in region '%s'",
					failure_domain, region),
			g_strdup("name a failure domain that the "
				 "region lists"));
		return;
	}
	fields_add_fault_at(&reader->fields, "region",
			    g_strdup_printf("'%s' is not declared", region),
			    g_strdup("add it to \"regions\""));
}

static void check_address(reader_t *reader, const char *address)
{
	unsigned char bytes[sizeof(struct in6_addr)];

	if (inet_pton(AF_INET, address, bytes) == 1 ||
	    inet_pton(AF_INET6, address, bytes) == 1)
		return;
	fields_add_fault_at(
		&reader->fields, "address",
		g_strdup_printf("'%s' is not an IP number", address),
		g_strdup("give one such as 10.0.0.7"));
}

static void check_orders(reader_t *reader, const document_endpoint_t *endpoint)
{
	if (endpoint->checks_orders == (endpoint->order_token != NULL))
		return;
	fields_add_fault_at(
		&reader->fields, "order_token",
		g_strdup(endpoint->checks_orders
				 ? "missing, but this endpoint checks orders"
				 : "unused, as this endpoint doesn't check "
				   "orders"),
		g_strdup(endpoint->checks_orders
				 ? "add the token"
				 : "remove it, or set checks_orders"));
}

static void check_slots(reader_t *reader, const document_endpoint_t *endpoint)
{
	gboolean is_engine = endpoint->service->kind == SERVICE_ENGINE;

	if (is_engine == (endpoint->adapter_slots > 0))
		return;
	fields_add_fault_at(
		&reader->fields, "adapter_slots",
		g_strdup_printf("%s service",
				is_engine ? "missing for an engine"
					  : "not allowed for a plain"),
		g_strdup(is_engine ? "give at least 1" : "remove it"));
}

static void add_endpoint(reader_t *reader, document_endpoint_t *endpoint,
			 const char *service)
{
	endpoint->id = reader_name(reader, "id", endpoint->id);
	if (endpoint->address) {
		check_address(reader, endpoint->address);
		endpoint->address = reader_intern(reader, endpoint->address);
	}
	if (endpoint->region && endpoint->failure_domain) {
		check_location(reader, endpoint->region,
			       endpoint->failure_domain);
		endpoint->region = reader_intern(reader, endpoint->region);
		endpoint->failure_domain =
			reader_intern(reader, endpoint->failure_domain);
	}
	check_orders(reader, endpoint);
	if (endpoint->order_token)
		endpoint->order_token =
			reader_intern(reader, endpoint->order_token);
	if (service)
		endpoint->service =
			reader_find(reader, reader->parts->service_names,
				    service, "service");
	if (endpoint->service)
		check_slots(reader, endpoint);
	if (!endpoint->id)
		endpoint->id = reader_placeholder(reader);
	g_array_append_val(reader->parts->endpoints, *endpoint);
}

static void read_endpoint(reader_t *reader, JsonObject *object)
{
	document_endpoint_t endpoint = {0};
	const char *service = NULL;
	int64_t port = 0;
	const field_t table[] = {
		{"id", FIELD_TEXT, TRUE, &endpoint.id, 0, 0},
		{"service", FIELD_TEXT, TRUE, &service, 0, 0},
		{"address", FIELD_TEXT, TRUE, &endpoint.address, 0, 0},
		{"port", FIELD_INT, TRUE, &port, 1, PORT_MAX},
		{"region", FIELD_TEXT, TRUE, &endpoint.region, 0, 0},
		{"failure_domain", FIELD_TEXT, TRUE, &endpoint.failure_domain,
		 0, 0},
		{"adapter_slots", FIELD_INT, FALSE, &endpoint.adapter_slots, 1,
		 ADAPTER_SLOTS_MAX},
		{"concurrent_requests", FIELD_INT, TRUE,
		 &endpoint.concurrent_requests, 1, COUNT_MAX},
		{"checks_fencing", FIELD_BOOL, FALSE, &endpoint.checks_fencing,
		 0, 0},
		{"checks_orders", FIELD_BOOL, FALSE, &endpoint.checks_orders, 0,
		 0},
		{"order_token", FIELD_TEXT, FALSE, &endpoint.order_token, 0, 0},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	endpoint.port = (int)port;
	add_endpoint(reader, &endpoint, service);
}

static gboolean has_address(GHashTable *seen,
			    const document_endpoint_t *endpoint)
{
	if (!endpoint->address)
		return FALSE;
	return !g_hash_table_add(
		seen,
		g_strdup_printf("%s %d", endpoint->address, endpoint->port));
}

static void check_endpoints(reader_t *reader)
{
	GArray *endpoints = reader->parts->endpoints;
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < endpoints->len; i++) {
		document_endpoint_t *endpoint =
			&g_array_index(endpoints, document_endpoint_t, i);
		size_t mark = fields_enter_item(&reader->fields, i);

		reader_add_unique(reader, reader->parts->endpoint_ids, endpoint,
				  "id");
		if (has_address(seen, endpoint))
			fields_add_fault_at(
				&reader->fields, "port",
				g_strdup("another endpoint has this address "
					 "and port"),
				g_strdup("list each server only once"));
		fields_leave(&reader->fields, mark);
	}
	g_hash_table_destroy(seen);
}

/* Set the endpoint list of each service. */
static void link_endpoints(document_parts_t *parts)
{
	GArray *services = parts->services;
	guint i;
	guint j;

	for (i = 0; i < services->len; i++) {
		document_service_t *service =
			&g_array_index(services, document_service_t, i);
		GPtrArray *list = g_ptr_array_new();

		for (j = 0; j < parts->endpoints->len; j++) {
			document_endpoint_t *endpoint = &g_array_index(
				parts->endpoints, document_endpoint_t, j);

			if (endpoint->service == service)
				g_ptr_array_add(list, endpoint);
		}
		service->endpoint_count = list->len;
		service->endpoints =
			(const document_endpoint_t *const *)g_ptr_array_free(
				list, FALSE);
		g_ptr_array_add(parts->lists, (gpointer)service->endpoints);
	}
}

void reader_endpoints(reader_t *reader, JsonArray *endpoints)
{
	size_t top = fields_enter(&reader->fields, "endpoints");
	guint i;

	for (i = 0; i < json_array_get_length(endpoints); i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		JsonObject *object = fields_object(
			&reader->fields, json_array_get_element(endpoints, i));

		if (object)
			read_endpoint(reader, object);
		fields_leave(&reader->fields, mark);
	}
	check_endpoints(reader);
	link_endpoints(reader->parts);
	fields_leave(&reader->fields, top);
}
