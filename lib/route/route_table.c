#include "route/route_table.h"

#include <string.h>

struct route_table {
	int references;
	int64_t version;
	GPtrArray *routes; /* of route_t */
	/* Host to GPtrArray of route_t, with the longest prefix first. */
	GHashTable *routes_by_host;
	GPtrArray *services;	      /* of service_t */
	GHashTable *services_by_name; /* name to service_t */
	route_limits_t limits;
	organisations_t *organisations; /* NULL for no list */
};

static void target_clear(gpointer data)
{
	g_free(((route_target_t *)data)->service);
}

static void route_free(gpointer data)
{
	route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_free(route->targets, TRUE);
	g_free(route);
}

static void service_free(gpointer data)
{
	service_t *service = data;

	g_free(service->name);
	g_free(service->model);
	g_free(service);
}

route_table_t *route_table_create(int64_t version)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->references = 1;
	table->version = version;
	table->routes = g_ptr_array_new_with_free_func(route_free);
	table->routes_by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	table->services = g_ptr_array_new_with_free_func(service_free);
	table->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return table;
}

route_table_t *route_table_ref(route_table_t *table)
{
	table->references++;
	return table;
}

void route_table_unref(route_table_t *table)
{
	if (--table->references)
		return;
	g_hash_table_destroy(table->routes_by_host);
	g_hash_table_destroy(table->services_by_name);
	g_ptr_array_free(table->services, TRUE);
	g_ptr_array_free(table->routes, TRUE);
	organisations_destroy(table->organisations);
	g_free(table);
}

int64_t route_table_version(const route_table_t *table)
{
	return table->version;
}

guint route_table_count(const route_table_t *table)
{
	return table->routes->len;
}

route_t *route_table_add(route_table_t *table)
{
	route_t *route = g_new0(route_t, 1);

	route->targets = g_array_new(FALSE, TRUE, sizeof(route_target_t));
	g_array_set_clear_func(route->targets, target_clear);
	g_ptr_array_add(table->routes, route);
	return route;
}

void route_add_target(route_t *route, const char *service, int64_t weight)
{
	route_target_t target = {g_strdup(service), weight};

	g_array_append_val(route->targets, target);
}

service_t *route_table_add_service(route_table_t *table)
{
	service_t *service = g_new0(service_t, 1);

	g_ptr_array_add(table->services, service);
	return service;
}

route_limits_t *route_table_limits(route_table_t *table)
{
	return &table->limits;
}

void route_table_set_organisations(route_table_t *table,
				   organisations_t *organisations)
{
	organisations_destroy(table->organisations);
	table->organisations = organisations;
}

const organisations_t *route_table_organisations(const route_table_t *table)
{
	return table->organisations;
}

static int compare_prefix(gconstpointer a, gconstpointer b)
{
	const route_t *left = *(route_t *const *)a;
	const route_t *right = *(route_t *const *)b;
	size_t left_size = strlen(left->prefix);
	size_t right_size = strlen(right->prefix);

	return (left_size < right_size) - (left_size > right_size);
}

void route_table_seal(route_table_t *table)
{
	GHashTableIter iter;
	gpointer list;
	guint i;

	for (i = 0; i < table->services->len; i++) {
		service_t *service = table->services->pdata[i];

		g_hash_table_insert(table->services_by_name, service->name,
				    service);
	}
	for (i = 0; i < table->routes->len; i++) {
		route_t *route = table->routes->pdata[i];
		GPtrArray *routes =
			g_hash_table_lookup(table->routes_by_host, route->host);

		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(table->routes_by_host, route->host,
					    routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, table->routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefix);
}

const route_t *route_table_find(const route_table_t *table, const char *host,
				const char *path)
{
	size_t size = strcspn(host, ":");
	char *name = g_ascii_strdown(host, (gssize)size);
	GPtrArray *routes = g_hash_table_lookup(table->routes_by_host, name);
	guint i;

	g_free(name);
	for (i = 0; routes && i < routes->len; i++) {
		const route_t *route = routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

const service_t *route_table_service(const route_table_t *table,
				     const char *name)
{
	return g_hash_table_lookup(table->services_by_name, name);
}

const char *route_choose_service(const route_t *route, GRand *rand)
{
	const route_target_t *targets =
		(const route_target_t *)(const void *)route->targets->data;
	double sum = 0;
	double draw;
	guint i;

	if (route->targets->len == 1)
		return targets[0].service;
	for (i = 0; i < route->targets->len; i++)
		sum += (double)targets[i].weight;
	draw = g_rand_double(rand) * sum;
	for (i = 0; i < route->targets->len; i++) {
		draw -= (double)targets[i].weight;
		if (draw < 0)
			return targets[i].service;
	}
	return route->targets->len ? targets[0].service : NULL;
}
