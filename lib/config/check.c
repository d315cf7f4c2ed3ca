#include "config/check.h"

#include <string.h>

#include "config/document_private.h"
#include "config/document_text.h"

/* A document, and what its callers may use. */
typedef struct {
	const document_t *document;
	GPtrArray *findings;
	const document_service_t *services;
	const document_caller_t *callers;
	size_t *adapters; /* of each service */
	/* Base models without service, each with an adapter of it. */
	GHashTable *unserved;
	/* Of each caller and service: whether the one may use the other. */
	gboolean *allowed;
	size_t service_count;
	size_t caller_count;
} check_t;

static void finding_free(gpointer data)
{
	finding_t *finding = data;

	g_free(finding->path);
	g_free(finding->cause);
	g_free(finding->remedy);
	g_free(finding);
}

/* Takes ownership of path and cause. */
static void add_finding(check_t *check, finding_kind_t kind, char *path,
			char *cause, const char *remedy)
{
	finding_t *finding = g_new0(finding_t, 1);

	finding->kind = kind;
	finding->path = path;
	finding->cause = cause;
	finding->remedy = g_strdup(remedy);
	g_ptr_array_add(check->findings, finding);
}

const char *finding_kind_name(finding_kind_t kind)
{
	return kind == FINDING_NEVER_MATCHES ? "never matches"
					     : "contradiction";
}

static gboolean *allowed(const check_t *check, size_t caller, size_t service)
{
	return &check->allowed[caller * check->service_count + service];
}

static void count_adapter(void *ctx, const document_adapter_t *adapter)
{
	check_t *check = ctx;
	const document_service_t *service =
		document_adapter_service(check->document, adapter);
	size_t index;
	size_t i;

	if (!service) {
		g_hash_table_insert(check->unserved,
				    (gpointer)adapter->base_model,
				    (gpointer)adapter->id);
		return;
	}
	index = (size_t)(service - check->services);
	check->adapters[index]++;
	for (i = 0; i < check->caller_count; i++) {
		/* One adapter of the service is enough. */
		if (!*allowed(check, i, index))
			*allowed(check, i, index) =
				document_allows(&check->callers[i], adapter);
	}
}

static void find_allowed_services(check_t *check)
{
	size_t caller;
	size_t i;

	for (caller = 0; caller < check->caller_count; caller++) {
		for (i = 0; i < check->service_count; i++) {
			if (check->services[i].kind == SERVICE_PLAIN)
				*allowed(check, caller, i) =
					document_allows_service(
						&check->callers[caller],
						&check->services[i]);
		}
	}
	adapter_set_each(check->document->adapters, count_adapter, check);
}

static void check_base_models(check_t *check)
{
	GList *models = g_list_sort(g_hash_table_get_keys(check->unserved),
				    (GCompareFunc)g_strcmp0);
	GList *at;

	for (at = models; at; at = at->next) {
		const char *adapter =
			g_hash_table_lookup(check->unserved, at->data);

		add_finding(check, FINDING_NEVER_MATCHES,
			    g_strdup_printf("base_models.%s",
					    (const char *)at->data),
			    g_strdup_printf("no service has this base model; "
					    "'%s' can't be reached",
					    adapter),
			    "add a service of kind \"engine\" or remove it");
	}
	g_list_free(models);
}

static gboolean has_caller(const check_t *check, size_t service)
{
	size_t i;

	for (i = 0; i < check->caller_count; i++) {
		if (*allowed(check, i, service))
			return TRUE;
	}
	return FALSE;
}

static void check_service(check_t *check, size_t index)
{
	const document_service_t *service = &check->services[index];
	char *path = g_strdup_printf("services[%s]", service->name);

	if (!service->endpoint_count)
		add_finding(check, FINDING_NEVER_MATCHES, g_strdup(path),
			    g_strdup("it has no endpoint"),
			    "add endpoints or remove it");
	if (service->kind == SERVICE_ENGINE && !check->adapters[index])
		add_finding(check, FINDING_NEVER_MATCHES, g_strdup(path),
			    g_strdup_printf("base model '%s' has no adapter",
					    service->base_model),
			    "declare adapters or remove it");
	else if (!has_caller(check, index))
		add_finding(check, FINDING_NEVER_MATCHES, g_strdup(path),
			    g_strdup("no caller may use it"),
			    "allow a caller or remove it");
	g_free(path);
}

static void check_caller(check_t *check, size_t index)
{
	size_t i;

	for (i = 0; i < check->service_count; i++) {
		if (*allowed(check, index, i))
			return;
	}
	add_finding(check, FINDING_NEVER_MATCHES,
		    g_strdup_printf("callers[%s]", check->callers[index].name),
		    g_strdup("it may use no adapter and no service"),
		    "allow it something or remove it");
}

typedef struct {
	GPatternSpec *pattern;
	gboolean has_version;
	gboolean is_found;
} match_t;

static void match_pattern(void *ctx, const document_adapter_t *adapter)
{
	match_t *match = ctx;

	if (!match->is_found)
		match->is_found = g_pattern_spec_match_string(
			match->pattern,
			match->has_version ? adapter->id : adapter->name);
}

/* Validation has found the names without a pattern. */
static void check_access(check_t *check, const char *caller, const char *text)
{
	match_t match = {.has_version = strchr(text, '@') != NULL};

	if (!strpbrk(text, "*?"))
		return;
	match.pattern = g_pattern_spec_new(text);
	adapter_set_each(check->document->adapters, match_pattern, &match);
	g_pattern_spec_free(match.pattern);
	if (!match.is_found)
		add_finding(check, FINDING_NEVER_MATCHES,
			    g_strdup_printf("callers[%s].adapters", caller),
			    g_strdup_printf("no adapter version matches '%s'",
					    text),
			    "correct or remove it");
}

static JsonArray *get_list(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
						   : NULL;
}

/* The document keeps no text of the patterns. */
static void check_access_texts(check_t *check, const char *text, size_t size)
{
	faults_t *faults = faults_create();
	JsonParser *parser = document_text_parse(text, size, faults);
	JsonArray *callers = NULL;
	guint i;
	guint k;

	if (parser)
		callers = get_list(
			json_node_get_object(json_parser_get_root(parser)),
			"callers");
	for (i = 0; callers && i < json_array_get_length(callers); i++) {
		JsonObject *caller = json_array_get_object_element(callers, i);
		JsonArray *adapters = get_list(caller, "adapters");

		for (k = 0; adapters && k < json_array_get_length(adapters);
		     k++)
			check_access(
				check,
				json_object_get_string_member(caller, "name"),
				json_array_get_string_element(adapters, k));
	}
	if (parser)
		g_object_unref(parser);
	faults_destroy(faults);
}

/* Adds a finding if a limit is above what can be reached; 0 is no limit. */
static void check_limit(check_t *check, const char *list, const char *name,
			const char *limit, double value, double reached,
			const char *by)
{
	if (value <= reached || reached <= 0)
		return;
	add_finding(check, FINDING_CONTRADICTION,
		    g_strdup_printf("%s[%s].%s", list, name, limit),
		    g_strdup_printf("%g is never reached: %s allow %g", value,
				    by, reached),
		    "lower it, remove it or raise the others");
}

/* The limit of requests in progress includes those that wait. */
static void check_queue_limit(check_t *check, const char *list,
			      const char *name, const document_limits_t *limits)
{
	check_limit(check, list, name, "limits.queued_requests",
		    (double)limits->queued_requests,
		    (double)limits->concurrent_requests, "concurrent_requests");
}

static void check_service_limits(check_t *check,
				 const document_service_t *service)
{
	int64_t requests = 0;
	int64_t slots = 0;
	size_t i;

	for (i = 0; i < service->endpoint_count; i++) {
		requests += service->endpoints[i]->concurrent_requests;
		slots += service->endpoints[i]->adapter_slots;
	}
	check_limit(check, "services", service->name,
		    "weight_store.loads_in_transit",
		    (double)service->loads_in_transit, (double)slots,
		    "the adapter slots of its endpoints");
	check_queue_limit(check, "services", service->name, &service->limits);
	/* Without a limit of those that wait, any number can be in progress. */
	if (service->limits.queued_requests)
		check_limit(
			check, "services", service->name,
			"limits.concurrent_requests",
			(double)service->limits.concurrent_requests,
			(double)(requests + service->limits.queued_requests),
			"its endpoints and queued_requests");
}

static void check_caller_limits(check_t *check, size_t index)
{
	const document_caller_t *caller = &check->callers[index];
	double rate = 0;
	double requests = 0;
	gboolean has_rate = TRUE;
	gboolean has_requests = TRUE;
	size_t i;

	for (i = 0; i < check->service_count; i++) {
		const document_limits_t *limits = &check->services[i].limits;

		if (!*allowed(check, index, i))
			continue;
		rate += limits->requests_per_second;
		requests += (double)limits->concurrent_requests;
		has_rate = has_rate && limits->requests_per_second > 0;
		has_requests = has_requests && limits->concurrent_requests;
	}
	check_queue_limit(check, "callers", caller->name, &caller->limits);
	check_limit(check, "callers", caller->name,
		    "limits.requests_per_second",
		    caller->limits.requests_per_second, has_rate ? rate : 0,
		    "the services that it may use");
	check_limit(
		check, "callers", caller->name, "limits.concurrent_requests",
		(double)caller->limits.concurrent_requests,
		has_requests ? requests : 0, "the services that it may use");
}

GPtrArray *check_document(const document_t *document, const char *text,
			  size_t size)
{
	check_t check = {.document = document};
	size_t i;

	check.services = document_services(document, &check.service_count);
	check.callers = document_callers(document, &check.caller_count);
	check.findings = g_ptr_array_new_with_free_func(finding_free);
	check.adapters = g_new0(size_t, check.service_count);
	check.allowed =
		g_new0(gboolean, check.service_count * check.caller_count);
	check.unserved = g_hash_table_new(g_str_hash, g_str_equal);
	find_allowed_services(&check);
	check_base_models(&check);
	for (i = 0; i < check.service_count; i++) {
		check_service(&check, i);
		check_service_limits(&check, &check.services[i]);
	}
	for (i = 0; i < check.caller_count; i++) {
		check_caller(&check, i);
		check_caller_limits(&check, i);
	}
	check_access_texts(&check, text, size);
	g_hash_table_destroy(check.unserved);
	g_free(check.allowed);
	g_free(check.adapters);
	return check.findings;
}
