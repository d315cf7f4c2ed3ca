#include <json-glib/json-glib.h>
#include <string.h>

#include "http/http_server_private.h"

/*
 * Error responses as JSON.  h2o generates some error responses itself, with a
 * plain-text body; they pass through the filters of the fallback path, where a
 * filter replaces the body with the usual JSON.  Only the response to a head
 * that can't be parsed bypasses all filters.
 */

/* Size limit of the method, path and headers of a request in bytes. */
#define HEAD_MAX (32 * 1024)

typedef struct {
	h2o_filter_t super;
	http_server_t *server;
} error_filter_t;

typedef struct {
	h2o_ostream_t super;
	h2o_iovec_t body;
} error_stream_t;

char *http_error_json(const GError *error, outcome_t outcome)
{
	JsonObject *inner = json_object_new();
	JsonObject *outer = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(inner, "message", error->message);
	json_object_set_string_member(inner, "type",
				      error_kind_name(error_kind(error)));
	json_object_set_string_member(inner, "outcome", outcome_name(outcome));
	json_object_set_object_member(outer, "error", inner);
	json_node_take_object(node, outer);
	text = json_to_string(node, FALSE);
	json_node_free(node);
	return text;
}

void http_respond_error(http_request_t *request, const GError *error,
			outcome_t outcome, ms_t retry_after)
{
	http_header_t headers[2] = {{NULL, NULL}, {NULL, NULL}};
	char *body = http_error_json(error, outcome);
	char seconds[32];

	if (retry_after > 0) {
		g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
			   (retry_after + MS_PER_S - 1) / MS_PER_S);
		headers[0].name = "retry-after";
		headers[0].value = seconds;
	}
	http_respond(request, error_http_status(error_kind(error)),
		     "application/json", headers, body, strlen(body));
	g_free(body);
}

static GError *status_to_error(const http_server_t *server, int status)
{
	GError *error = NULL;

	switch (status) {
	case 404:
		error_set(&error, ERROR_NOT_FOUND,
			  "no such path here; check the path and the port");
		break;
	case 413:
		error_set(
			&error, ERROR_TOO_LARGE,
			"the body has more than %zu bytes; send a shorter one",
			server->options.body_max);
		break;
	case 417:
		error_set(&error, ERROR_INVALID,
			  "Expect may only be 100-continue; leave it out");
		break;
	default:
		error_set(&error, ERROR_INVALID,
			  "the length or the encoding of the body can't be "
			  "read; correct Content-Length or Transfer-Encoding");
	}
	return error;
}

/* h2o sends its error text with one call, so replacing it once is enough. */
static void do_send(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
		    size_t count, h2o_send_state_t state)
{
	error_stream_t *stream = (error_stream_t *)self;

	h2o_ostream_send_next(self, req, &stream->body, 1, state);
}

static void on_setup(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	http_server_t *server = ((error_filter_t *)self)->server;
	error_stream_t *stream;
	GError *error;
	char *json;

	/* Rejections by accepted_conn_check_bodies() are JSON already. */
	if (!accepted_conn_is_rejected(req)) {
		error = status_to_error(server, req->res.status);
		json = http_error_json(error, OUTCOME_NOT_RUN);
		stream = (error_stream_t *)h2o_add_ostream(req, sizeof(*stream),
							   slot);
		stream->super.do_send = do_send;
		stream->body = h2o_strdup(&req->pool, json, SIZE_MAX);
		req->res.status = error_http_status(error_kind(error));
		req->res.content_length = stream->body.len;
		h2o_set_header(&req->pool, &req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE,
			       H2O_STRLIT("application/json"), 1);
		g_free(json);
		g_error_free(error);
		slot = &stream->super.next;
	}
	h2o_setup_next_ostream(req, slot);
}

void errors_register(http_server_t *server)
{
	error_filter_t *filter = (error_filter_t *)h2o_create_filter(
		&server->host->fallback_path, sizeof(*filter));

	filter->super.on_setup_ostream = on_setup;
	filter->server = server;
}

gboolean errors_check_head_size(const h2o_req_t *req, GError **error)
{
	size_t size = req->input.method.len + req->input.path.len;
	size_t i;

	for (i = 0; i < req->headers.size; i++)
		size += req->headers.entries[i].name->len +
			req->headers.entries[i].value.len;
	if (size <= HEAD_MAX)
		return TRUE;
	error_set(error, ERROR_TOO_LARGE,
		  "path and headers have more than %d bytes; send shorter ones",
		  HEAD_MAX);
	return FALSE;
}
