#include <math.h>

#include "base/counter.h"
#include "entry/entry_private.h"

static void count_refusal(const GError *error)
{
	char *name;

	name = g_strdup_printf("hc_entry_refused_total{kind=\"%s\"}",
			       error_kind_name(error_kind(error)));
	counter_add(counter_get(name), 1);
	g_free(name);
}

static void refuse(http_request_t *http, GError *error, ms_t retry_after)
{
	count_refusal(error);
	http_respond_error(http, error, OUTCOME_NOT_RUN, retry_after);
	g_error_free(error);
}

static const char *header_of(void *ctx, const char *name)
{
	return http_request_header(ctx, name);
}

static request_spec_t *parse(http_request_t *http, GError **error)
{
	request_input_t input = {0};

	input.method = http_request_method(http);
	input.target = http_request_target(http);
	input.body = http_request_body(http, &input.body_size);
	input.header = header_of;
	input.ctx = http;
	return request_parse(&input, error);
}

static const document_caller_t *find_caller(document_t *document,
					    const char *token, GError **error)
{
	const document_caller_t *caller = document_find_caller(document, token);

	if (!caller)
		error_set(error, ERROR_UNAUTHENTICATED,
			  "the bearer token is not known; ask the operators "
			  "for one");
	return caller;
}

GError *entry_guard(void *ctx, const char *authorization)
{
	entry_t *entry = ctx;
	GError *error = NULL;
	const char *token;

	/* What has no document is told so once the request is whole. */
	if (!entry->document)
		return NULL;
	token = request_token(authorization, &error);
	if (token)
		find_caller(entry->document, token, &error);
	if (error)
		count_refusal(error);
	return error;
}

/* What the document gives this caller. */
static gboolean authorize(entry_t *entry, exchange_start_t *start,
			  GError **error)
{
	document_t *document = entry->document;
	const request_spec_t *spec = start->spec;

	start->document = document;
	start->caller = find_caller(document, spec->token, error);
	if (!start->caller)
		return FALSE;
	if (spec->kind == REQUEST_SERVICE) {
		start->service =
			document_service_by_path(document, spec->route);
		if (start->service && start->service->kind == SERVICE_PLAIN &&
		    document_allows_service(start->caller, start->service))
			return TRUE;
		error_set(error, ERROR_NOT_FOUND,
			  "no service at '%s' for caller '%s'; check the path",
			  spec->path, start->caller->name);
		return FALSE;
	}
	start->adapter =
		document_find_adapter(document, spec->adapter, spec->version);
	if (start->adapter)
		start->service =
			document_adapter_service(document, start->adapter);
	if (!start->adapter || !start->service) {
		error_set(error, ERROR_NOT_FOUND,
			  "no adapter '%s'; check its name and version",
			  spec->model);
		return FALSE;
	}
	if (document_allows(start->caller, start->adapter))
		return TRUE;
	error_set(error, ERROR_FORBIDDEN,
		  "caller '%s' may not use adapter '%s'; ask the operators",
		  start->caller->name, spec->model);
	return FALSE;
}

static gboolean admit(entry_t *entry, exchange_start_t *start,
		      ms_t *retry_after, GError **error)
{
	admit_request_t request = {0};
	ms_t now = entry_now(entry);

	/* A caller can lower its priority, not raise it. */
	start->priority =
		(int)MIN(start->caller->priority, start->spec->priority);
	request.caller = start->caller->name;
	request.service = start->service->name;
	request.priority = start->priority;
	quota_count_request(entry->quota, now, QUOTA_CALLER, request.caller);
	quota_count_request(entry->quota, now, QUOTA_SERVICE, request.service);
	entry->quota_due = 0;
	start->ticket = admit_acquire(entry->admit, &request, now, NULL,
				      retry_after, error);
	return start->ticket != NULL;
}

/* Rounds go on: let what may come next be loaded before it is asked for. */
static void expect_next(entry_t *entry, const document_adapter_t *adapter)
{
	const document_follower_t *followers;
	size_t count = 0;
	size_t i;

	if (!adapter)
		return;
	followers = document_followers(entry->document, adapter->id, &count);
	for (i = 0; i < count; i++)
		routing_expect(entry->routing, followers[i].adapter,
			       followers[i].likelihood, entry_now(entry));
}

void entry_take_request(void *ctx, http_request_t *http)
{
	exchange_start_t start = {0};
	entry_t *entry = ctx;
	exchange_t *exchange;
	GError *error = NULL;
	ms_t retry_after = 0;

	counter_add(counter_get("hc_entry_received_total"), 1);
	start.http = http;
	if (!entry->document) {
		error_set(&error, ERROR_UNAVAILABLE,
			  "no document is in force yet; come back later");
		refuse(http, error, 1000);
		return;
	}
	start.spec = parse(http, &error);
	if (!start.spec || !authorize(entry, &start, &error) ||
	    !admit(entry, &start, &retry_after, &error)) {
		request_spec_destroy(start.spec);
		refuse(http, error, retry_after);
		return;
	}
	exchange = exchange_create(&entry->env, &start);
	g_hash_table_insert(entry->exchanges, (char *)exchange_id(exchange),
			    exchange);
	expect_next(entry, start.adapter);
}

static admit_limit_t to_limit(const document_limits_t *limits)
{
	admit_limit_t limit = {0};

	limit.rate = limits->requests_per_second;
	limit.burst = (int64_t)ceil(limit.rate);
	limit.concurrent = limits->concurrent_requests;
	limit.queued = limits->queued_requests;
	return limit;
}

void entry_set_limits(entry_t *entry, document_t *document)
{
	const document_service_t *services;
	const document_caller_t *callers;
	ms_t now = entry_now(entry);
	size_t count;
	size_t i;

	entry->quota_due = 0;
	callers = document_callers(document, &count);
	for (i = 0; i < count; i++) {
		admit_limit_t limit = to_limit(&callers[i].limits);

		quota_set_limit(entry->quota, now, QUOTA_CALLER,
				callers[i].name, &limit);
	}
	services = document_services(document, &count);
	for (i = 0; i < count; i++) {
		admit_limit_t limit = to_limit(&services[i].limits);

		quota_set_limit(entry->quota, now, QUOTA_SERVICE,
				services[i].name, &limit);
	}
}
