#include "ctl/ctl_call.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "http/http_client.h"
#include "http/tls.h"

#define CALL_TIMEOUT_MS 60000
#define TOKEN_VARIABLE	"HCCTL_TOKEN"
#define HEADERS_MAX	4

typedef struct {
	ctl_response_t *response;
	GString *body;
	GError **error;
	gboolean ok;
} pending_call_t;

static void on_head(void *ctx, int status, const http_header_t *headers)
{
	pending_call_t *pending = ctx;

	for (; headers->name; headers++) {
		if (!strcmp(headers->name, "etag"))
			pending->response->etag = g_strdup(headers->value);
	}
}

static void on_data(void *ctx, const char *data, size_t size)
{
	pending_call_t *pending = ctx;

	g_string_append_len(pending->body, data, (gssize)size);
}

static void on_end(void *ctx, int status, const GError *error)
{
	pending_call_t *pending = ctx;

	pending->response->status = status;
	pending->ok = !error;
	if (error)
		g_propagate_error(pending->error, g_error_copy(error));
}

/* Returns the value of the Authorization header, or NULL on error. */
static char *read_authorization(const ctl_options_t *options, GError **error)
{
	const char *variable = getenv(TOKEN_VARIABLE);
	char *token = NULL;
	char *value;

	if (options->token_file &&
	    !g_file_get_contents(options->token_file, &token, NULL, NULL)) {
		error_set(error, ERROR_INVALID,
			  "%s can't be read; name a file with the token",
			  options->token_file);
		return NULL;
	}
	if (!token && variable)
		token = g_strdup(variable);
	if (!token) {
		error_set(error, ERROR_INVALID,
			  "no operator token; use --token-file or the "
			  "environment variable " TOKEN_VARIABLE);
		return NULL;
	}
	value = g_strconcat("Bearer ", g_strstrip(token), NULL);
	g_free(token);
	return value;
}

static gboolean parse_address(const ctl_options_t *options, char **host,
			      int *port, GError **error)
{
	const char *colon = strrchr(options->address, ':');
	gint64 number;

	if (colon &&
	    g_ascii_string_to_signed(colon + 1, 10, 1, 65535, &number, NULL)) {
		*host = g_strndup(options->address,
				  (gsize)(colon - options->address));
		*port = (int)number;
		if (g_hostname_is_ip_address(*host))
			return TRUE;
		g_clear_pointer(host, g_free);
	}
	error_set(error, ERROR_INVALID,
		  "--admin=%s is not IP:PORT; use for example "
		  "127.0.0.1:7400",
		  options->address);
	return FALSE;
}

static void fill_headers(const ctl_call_t *call, const char *token,
			 http_header_t *headers)
{
	size_t count = 0;

	headers[count++] = (http_header_t){"authorization", token};
	if (call->if_match)
		headers[count++] = (http_header_t){"if-match", call->if_match};
	if (call->note)
		headers[count++] = (http_header_t){"x-commit-note", call->note};
	headers[count] = (http_header_t){NULL, NULL};
}

/* Runs the event loop until the call has ended. */
static gboolean run_call(const http_call_request_t *request,
			 ctl_response_t *response, GError **error)
{
	const http_call_events_t events = {on_head, on_data, on_end};
	pending_call_t pending = {response, g_string_new(NULL), error, FALSE};
	uv_loop_t *loop = uv_default_loop();
	http_client_t *client = http_client_create(loop);
	gboolean *is_ok = &pending.ok;

	http_call_start(client, request, &events, &pending);
	while (!*is_ok && !(error && *error))
		uv_run(loop, UV_RUN_ONCE);
	response->size = pending.body->len;
	response->body = g_string_free(pending.body, FALSE);
	return pending.ok;
}

gboolean ctl_call(const ctl_options_t *options, const ctl_call_t *call,
		  ctl_response_t *response, GError **error)
{
	http_header_t headers[HEADERS_MAX];
	http_call_request_t request = {0};
	char *token = read_authorization(options, error);
	char *host = NULL;
	gboolean ok = FALSE;

	memset(response, 0, sizeof(*response));
	if (!token || !parse_address(options, &host, &request.port, error))
		goto done;
	if (options->is_tls)
		request.tls =
			tls_client_create(options->authorities, host, error);
	if (options->is_tls && !request.tls)
		goto done;
	fill_headers(call, token, headers);
	request.host = host;
	request.method = call->method;
	request.path = call->path;
	request.headers = headers;
	request.body = call->body;
	request.body_size = call->size;
	request.timeout = CALL_TIMEOUT_MS;
	request.is_fresh = TRUE;
	ok = run_call(&request, response, error);
done:
	g_free(host);
	g_free(token);
	return ok;
}

void ctl_response_release(ctl_response_t *response)
{
	g_free(response->body);
	g_free(response->etag);
}
