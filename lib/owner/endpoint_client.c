#include "owner/endpoint_client.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "base/json_member.h"
#include "http/event_stream.h"
#include "owner/load_report.h"

#define ORDER_TIMEOUT_MS  60000
#define REPORT_TIMEOUT_MS 1000
#define CANCEL_TIMEOUT_MS 2000
#define REPORT_SIZE_MAX	  (256 * 1024)
#define ANSWER_SIZE_MAX	  (1024 * 1024)
#define REASON_SIZE_MAX	  4096

#define HTTP_OK			200
#define HTTP_NOT_FOUND		404
#define HTTP_TOO_MANY_REQUESTS	429
#define HTTP_SERVER_ERROR_FIRST 500

struct client_run {
	TAILQ_ENTRY(client_run) link_entry;
	endpoint_client_t *client;
	client_run_events_t events;
	void *ctx;
	http_call_t *call;
	event_stream_t *stream;
	GString *body; /* of a plain service's answer or an engine's refusal */
	char *request;
	char *content_type;
	int64_t next_piece;
	int status;
	ms_t retry_after;
	gboolean is_done_seen;
	gboolean is_too_large;
	gboolean is_malformed;
};

/* An order or a report read that was not yet answered. */
struct client_task {
	TAILQ_ENTRY(client_task) link_entry;
	endpoint_client_t *client;
	http_call_t *call;
	client_order_done_t order_done;
	load_report_done_t report_done;
	void *ctx;
};

struct endpoint_client {
	http_client_t *http;
	client_options_t options;
	char *address;
	char *order_token;
	JsonParser *parser; /* reused to check each piece */
	TAILQ_HEAD(, client_run) runs;
	TAILQ_HEAD(, client_task) tasks;
};

endpoint_client_t *endpoint_client_create(http_client_t *http,
					  const client_options_t *options)
{
	endpoint_client_t *client = g_new0(endpoint_client_t, 1);

	client->http = http;
	client->options = *options;
	client->address = g_strdup(options->address);
	client->order_token = g_strdup(options->order_token);
	client->parser = json_parser_new();
	TAILQ_INIT(&client->runs);
	TAILQ_INIT(&client->tasks);
	return client;
}

static void run_free(client_run_t *run)
{
	TAILQ_REMOVE(&run->client->runs, run, link_entry);
	g_assert(TAILQ_FIRST(&run->client->runs) != run);
	event_stream_destroy(run->stream);
	g_string_free(run->body, TRUE);
	g_free(run->request);
	g_free(run->content_type);
	g_free(run);
}

static void task_free(client_task_t *task)
{
	TAILQ_REMOVE(&task->client->tasks, task, link_entry);
	g_assert(TAILQ_FIRST(&task->client->tasks) != task);
	g_free(task);
}

void endpoint_client_destroy(endpoint_client_t *client)
{
	while (!TAILQ_EMPTY(&client->runs)) {
		client_run_t *run = TAILQ_FIRST(&client->runs);

		http_call_cancel(run->call);
		run_free(run);
	}
	while (!TAILQ_EMPTY(&client->tasks)) {
		client_task_t *task = TAILQ_FIRST(&client->tasks);

		http_call_cancel(task->call);
		task_free(task);
	}
	g_free(client->address);
	g_free(client->order_token);
	g_object_unref(client->parser);
	g_free(client);
}

static void init_call(const endpoint_client_t *client,
		      http_call_request_t *call, const char *method,
		      const char *path)
{
	memset(call, 0, sizeof(*call));
	call->host = client->address;
	call->port = client->options.port;
	call->method = method;
	call->path = path;
}

/* Each piece is checked, lest a corrupt answer counts as complete. */
static gboolean is_json_object(const endpoint_client_t *client,
			       const char *data, size_t size)
{
	JsonNode *root = NULL;

	if (g_utf8_validate(data, (gssize)size, NULL) &&
	    json_load(client->parser, data, (gssize)size, NULL))
		root = json_parser_get_root(client->parser);
	return root && JSON_NODE_HOLDS_OBJECT(root);
}

static gboolean on_event(void *ctx, const char *data, size_t size)
{
	client_run_t *run = ctx;

	if (!strcmp(data, "[DONE]")) {
		run->is_done_seen = TRUE;
		return FALSE;
	}
	if (!is_json_object(run->client, data, size)) {
		run->is_malformed = TRUE;
		return FALSE;
	}
	run->events.on_piece(run->ctx, run->next_piece++, data, size);
	return TRUE;
}

static void on_run_head(void *ctx, int status, const http_header_t *headers)
{
	client_run_t *run = ctx;

	run->status = status;
	for (; headers->name; headers++) {
		if (!strcmp(headers->name, "retry-after"))
			run->retry_after =
				(ms_t)atoi(headers->value) * MS_PER_S;
		else if (!strcmp(headers->name, "content-type"))
			run->content_type = g_strdup(headers->value);
	}
	if (status == HTTP_OK || !run->client->options.is_engine)
		run->events.on_started(run->ctx);
}

static void on_run_data(void *ctx, const char *data, size_t size)
{
	client_run_t *run = ctx;
	size_t limit = REASON_SIZE_MAX;

	if (run->status == HTTP_OK && run->client->options.is_engine) {
		if (!event_stream_feed(run->stream, data, size, NULL))
			run->is_too_large = TRUE;
		return;
	}
	if (!run->client->options.is_engine)
		limit = ANSWER_SIZE_MAX;
	if (run->body->len + size > limit) {
		run->is_too_large = TRUE;
		return;
	}
	g_string_append_len(run->body, data, (gssize)size);
}

static void set_broken(client_run_end_t *end, error_kind_t kind,
		       const char *reason)
{
	end->result = CLIENT_BROKEN;
	end->kind = kind;
	end->reason = reason;
}

/*
 * Maps the HTTP status of an engine's refusal to a result.  Below 500 the
 * engine refused the request before it started.
 */
static void classify_refusal(const client_run_t *run, client_run_end_t *end)
{
	end->reason = run->body->len ? run->body->str : "refused";
	end->retry_after = run->retry_after;
	end->result = CLIENT_NOT_RUN;
	if (run->status == HTTP_NOT_FOUND) {
		end->kind = ERROR_CONFLICT;
	} else if (run->status == HTTP_TOO_MANY_REQUESTS) {
		end->kind = ERROR_OVERLOADED;
	} else if (run->status < HTTP_SERVER_ERROR_FIRST) {
		end->kind = ERROR_INVALID;
	} else {
		end->result = CLIENT_BROKEN;
		end->kind = ERROR_INTERRUPTED;
	}
}

static void classify_engine_answer(const client_run_t *run,
				   client_run_end_t *end)
{
	if (run->status != HTTP_OK) {
		classify_refusal(run, end);
		return;
	}
	if (run->is_malformed || run->is_too_large) {
		counter_add(counter_get("hc_owner_malformed_answers_total"), 1);
		set_broken(
			end, ERROR_PROTOCOL,
			"an event of the engine's answer is malformed or too "
			"large; check the engine's version");
		return;
	}
	if (!run->is_done_seen) {
		set_broken(end, ERROR_INTERRUPTED,
			   "the engine's stream ended without [DONE]");
		return;
	}
	end->result = CLIENT_DONE;
	end->count = run->next_piece;
	end->status = run->status;
}

static void classify_service_answer(client_run_t *run, client_run_end_t *end)
{
	if (run->is_too_large) {
		set_broken(end, ERROR_TOO_LARGE,
			   "the service's answer is too large to pass on");
		return;
	}
	run->events.on_piece(run->ctx, 0, run->body->str, run->body->len);
	end->result = CLIENT_DONE;
	end->count = 1;
	end->status = run->status;
	end->content_type = run->content_type;
}

static void on_run_end(void *ctx, int status, const GError *error)
{
	client_run_t *run = ctx;
	client_run_end_t end = {0};

	if (error && error_kind(error) == ERROR_UNAVAILABLE) {
		end.result = CLIENT_NOT_RUN;
		end.kind = ERROR_UNAVAILABLE;
		end.reason = error->message;
	} else if (error) {
		set_broken(&end, error_kind(error), error->message);
	} else if (run->client->options.is_engine) {
		classify_engine_answer(run, &end);
	} else {
		classify_service_answer(run, &end);
	}
	run->events.on_end(run->ctx, &end);
	run_free(run);
}

/*
 * Returns the caller's body with "stream" set to true.  The entry has already
 * validated the body.
 */
static char *engine_body(const message_run_t *message, gsize *size)
{
	gsize input_size;
	const char *input = g_bytes_get_data(message->body, &input_size);
	JsonParser *parser = json_parser_new();
	JsonNode *root;
	char *body;

	if (!input || !json_load(parser, input, (gssize)input_size, NULL)) {
		g_object_unref(parser);
		*size = 2;
		return g_strdup("{}");
	}
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		json_object_set_boolean_member(json_node_get_object(root),
					       "stream", TRUE);
	body = json_to_string(root, FALSE);
	*size = strlen(body);
	g_object_unref(parser);
	return body;
}

#define RUN_HEADERS_MAX 8

static void set_run_headers(const endpoint_client_t *client,
			    http_header_t *headers,
			    const message_run_t *message, const char *priority,
			    const char *first)
{
	/* engine_body() always produces JSON. */
	const char *type = client->options.is_engine ? "application/json"
						     : message->content_type;
	int count = 0;

	headers[count++] = (http_header_t){"x-request-id", message->request};
	headers[count++] = (http_header_t){"x-priority", priority};
	if (type)
		headers[count++] = (http_header_t){"content-type", type};
	if (message->traceparent)
		headers[count++] =
			(http_header_t){"traceparent", message->traceparent};
	if (message->first > 0)
		headers[count++] = (http_header_t){"x-resume-from", first};
	if (message->key)
		headers[count++] =
			(http_header_t){"idempotency-key", message->key};
	headers[count] = (http_header_t){NULL, NULL};
	g_assert(count < RUN_HEADERS_MAX);
}

client_run_t *endpoint_client_run(endpoint_client_t *client,
				  const message_run_t *message,
				  const client_run_events_t *events, void *ctx)
{
	static const http_call_events_t call_events = {on_run_head, on_run_data,
						       on_run_end};
	http_header_t headers[RUN_HEADERS_MAX];
	client_run_t *run = g_new0(client_run_t, 1);
	http_call_request_t call;
	char priority[32];
	char first[32];
	char *body = NULL;
	gsize size = 0;

	run->client = client;
	run->events = *events;
	run->ctx = ctx;
	run->next_piece = message->first;
	run->request = g_strdup(message->request);
	run->stream = event_stream_create(on_event, run);
	run->body = g_string_new(NULL);
	TAILQ_INSERT_TAIL(&client->runs, run, link_entry);
	g_snprintf(priority, sizeof(priority), "%" G_GINT64_FORMAT,
		   message->priority);
	g_snprintf(first, sizeof(first), "%" G_GINT64_FORMAT, message->first);
	set_run_headers(client, headers, message, priority, first);
	init_call(client, &call, message->method, message->path);
	call.headers = headers;
	call.timeout = message->deadline;
	/*
	 * A reused connection may be closing, and a failure on it does not
	 * prove that the request has not run.
	 */
	call.is_fresh = !message->is_idempotent;
	if (client->options.is_engine)
		body = engine_body(message, &size);
	call.body = body ? body : g_bytes_get_data(message->body, &size);
	call.body_size = size;
	run->call = http_call_start(client->http, &call, &call_events, run);
	g_free(body);
	return run;
}

static void on_cancel_answer(void *ctx, int status, const char *body,
			     size_t size, const GError *error)
{
	/* If the cancel request fails, the engine's own limits end the run. */
}

static void send_cancel(const endpoint_client_t *client, const char *request)
{
	http_header_t headers[2] = {{"x-request-id", request}, {NULL, NULL}};
	http_call_request_t call;

	init_call(client, &call, "POST", "/v1/cancel");
	call.headers = headers;
	call.timeout = CANCEL_TIMEOUT_MS;
	http_call_buffered(client->http, &call, REASON_SIZE_MAX,
			   on_cancel_answer, NULL);
}

void client_run_cancel(client_run_t *run)
{
	http_call_cancel(run->call);
	if (run->client->options.is_engine)
		send_cancel(run->client, run->request);
	run_free(run);
}

static client_task_t *task_create(endpoint_client_t *client, void *ctx)
{
	client_task_t *task = g_new0(client_task_t, 1);

	task->client = client;
	task->ctx = ctx;
	TAILQ_INSERT_TAIL(&client->tasks, task, link_entry);
	return task;
}

static void on_order_answer(void *ctx, int status, const char *body,
			    size_t size, const GError *error)
{
	client_task_t *task = ctx;
	GError *refusal = NULL;

	if (!error && status != HTTP_OK) {
		error_kind_t kind = ERROR_LOAD_FAILED;

		if (strstr(body, "\"fenced\""))
			kind = ERROR_FENCED;
		error_set(&refusal, kind, "the engine refused the order: %s",
			  body);
		error = refusal;
	}
	task->order_done(task->ctx, error);
	g_clear_error(&refusal);
	task_free(task);
}

static char *order_body(int slot, const char *adapter)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *body;

	json_object_set_int_member(object, "slot", slot);
	json_object_set_string_member(object, "lora_name", adapter);
	json_node_take_object(node, object);
	body = json_to_string(node, FALSE);
	json_node_free(node);
	return body;
}

client_task_t *endpoint_client_order(endpoint_client_t *client,
				     client_order_t order, int slot,
				     const char *adapter, int64_t fence,
				     client_order_done_t done, void *ctx)
{
	const char *path = order == CLIENT_ORDER_UNLOAD
				   ? "/v1/unload_lora_adapter"
				   : "/v1/load_lora_adapter";
	char *body = order_body(order == CLIENT_ORDER_FENCE ? -1 : slot,
				order == CLIENT_ORDER_FENCE ? "" : adapter);
	client_task_t *task = task_create(client, ctx);
	http_call_request_t call;
	http_header_t headers[4];
	char number[32];
	int count = 0;

	g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, fence);
	headers[count++] = (http_header_t){"content-type", "application/json"};
	headers[count++] = (http_header_t){"x-fencing-number", number};
	if (client->order_token)
		headers[count++] =
			(http_header_t){"x-order-token", client->order_token};
	headers[count] = (http_header_t){NULL, NULL};
	init_call(client, &call, "POST", path);
	call.headers = headers;
	call.body = body;
	call.body_size = strlen(body);
	call.timeout = ORDER_TIMEOUT_MS;
	call.is_fresh = TRUE;
	task->order_done = done;
	task->call = http_call_buffered(client->http, &call, REASON_SIZE_MAX,
					on_order_answer, task);
	g_free(body);
	return task;
}

void client_order_cancel(client_task_t *task)
{
	http_call_cancel(task->call);
	task_free(task);
}

static void on_report_read(void *ctx, int status, const char *body, size_t size,
			   const GError *error)
{
	load_report_t report = {0};
	client_task_t *task = ctx;
	gboolean ok = !error && status == HTTP_OK &&
		      load_report_parse(body, size, &report);

	task->report_done(task->ctx, ok ? &report : NULL);
	load_report_release(&report);
	task_free(task);
}

void endpoint_client_read_report(endpoint_client_t *client,
				 load_report_done_t done, void *ctx)
{
	client_task_t *task = task_create(client, ctx);
	http_call_request_t call;

	init_call(client, &call, "GET", "/report");
	call.timeout = REPORT_TIMEOUT_MS;
	task->report_done = done;
	task->call = http_call_buffered(client->http, &call, REPORT_SIZE_MAX,
					on_report_read, task);
}
