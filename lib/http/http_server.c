#include "http/http_server.h"

#include <signal.h>
#include <string.h>

#include "base/counter.h"
#include "http/http_server_private.h"

#define LISTEN_BACKLOG 1024

/* Default limit of the bytes of incomplete bodies that a server buffers. */
#define BUFFERED_MAX (64 * 1024 * 1024)

/* A stream with more pending bytes than this is aborted: the client is slow. */
#define STREAM_BACKLOG_MAX (4 * 1024 * 1024)

static void flush_stream(http_request_t *request);

static void request_free(http_request_t *request)
{
	TAILQ_REMOVE(&request->server->requests, request, link);
	request->server->active--;
	g_string_free(request->sending, TRUE);
	g_string_free(request->pending, TRUE);
	g_hash_table_destroy(request->texts);
	g_free(request);
}

static void notify_abort(http_request_t *request)
{
	http_abort_t on_abort = request->on_abort;

	if (request->is_ended)
		return;
	request->is_ended = TRUE;
	request->on_abort = NULL;
	if (on_abort)
		on_abort(request->abort_ctx, request);
}

/* Called when h2o frees the request; the last point at which req is valid. */
static void on_req_dispose(void *data)
{
	http_request_t **slot = data;
	http_request_t *request = *slot;

	request->req = NULL;
	request->generator = NULL;
	notify_abort(request);
	request_free(request);
}

http_request_t *http_request_create(http_server_t *server, h2o_req_t *req)
{
	http_request_t *request = g_new0(http_request_t, 1);
	http_request_t **slot;

	request->server = server;
	request->req = req;
	request->sending = g_string_new(NULL);
	request->pending = g_string_new(NULL);
	request->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INSERT_TAIL(&server->requests, request, link);
	server->active++;
	slot = h2o_mem_alloc_shared(&req->pool, sizeof(*slot), on_req_dispose);
	*slot = request;
	return request;
}

static int on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	route_t *route = (route_t *)handler;
	http_request_t *request = http_request_create(route->server, req);
	GError *error = NULL;

	accepted_conn_request_complete(req);
	if (errors_check_head_size(req, &error)) {
		route->handler(route->ctx, request);
	} else {
		http_respond_error(request, error, OUTCOME_NOT_RUN, 0);
		g_error_free(error);
	}
	return 0;
}

void http_request_abandon(http_request_t *request)
{
	notify_abort(request);
	if (!request->req || request->is_final_sent)
		return;
	if (request->generator) {
		request->is_broken = TRUE;
		flush_stream(request);
		return;
	}
	request->is_final_sent = TRUE;
	request->req->res.status = error_http_status(ERROR_CANCELLED);
	request->req->res.reason = "Client Closed Request";
	request->req->http1_is_persistent = 0;
	h2o_send_inline(request->req, H2O_STRLIT(""));
}

http_server_t *http_server_create(uv_loop_t *loop,
				  const http_server_options_t *options)
{
	http_server_t *server = g_new0(http_server_t, 1);

	/* A write to a closed connection must return an error instead. */
	signal(SIGPIPE, SIG_IGN);
	server->loop = loop;
	server->options = *options;
	http_server_set_limits(server, HTTP_READ_TIMEOUT_MS, BUFFERED_MAX);
	TAILQ_INIT(&server->requests);
	TAILQ_INIT(&server->accepted_conns);
	server->routes = g_array_new(FALSE, FALSE, sizeof(route_t));
	h2o_config_init(&server->config);
	server->config.http1.upgrade_to_http2 = 0;
	server->config.max_request_entity_size = options->body_max;
	server->config.server_name =
		h2o_iovec_init(H2O_STRLIT("hawthorncross"));
	server->host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	return server;
}

void http_server_set_authorizer(http_server_t *server,
				http_authorizer_t authorizer, void *ctx)
{
	server->authorizer = authorizer;
	server->authorizer_ctx = ctx;
}

void http_server_set_limits(http_server_t *server, ms_t read_timeout,
			    size_t buffered_max)
{
	server->config.http1.req_timeout = (uint64_t)read_timeout;
	server->buffered_max = buffered_max;
}

void http_server_route(http_server_t *server, const char *prefix,
		       http_handler_t handler, void *ctx)
{
	route_t route = {.prefix = g_strdup(prefix),
			 .server = server,
			 .handler = handler,
			 .ctx = ctx};

	g_array_append_val(server->routes, route);
}

static int compare_prefix_length(gconstpointer a, gconstpointer b)
{
	size_t a_length = strlen(((const route_t *)a)->prefix);
	size_t b_length = strlen(((const route_t *)b)->prefix);

	return (a_length < b_length) - (a_length > b_length);
}

/* h2o uses the first matching prefix, so the longest are registered first. */
static void register_routes(http_server_t *server)
{
	guint i;

	g_array_sort(server->routes, compare_prefix_length);
	for (i = 0; i < server->routes->len; i++) {
		const route_t *route =
			&g_array_index(server->routes, route_t, i);
		h2o_pathconf_t *path = h2o_config_register_path(
			server->host, route->prefix, 0);
		route_t *copy =
			(route_t *)h2o_create_handler(path, sizeof(*copy));

		copy->super.on_req = on_request;
		copy->server = route->server;
		copy->handler = route->handler;
		copy->ctx = route->ctx;
	}
}

static void on_close_free(uv_handle_t *handle)
{
	free(handle);
}

static void on_connection(uv_stream_t *listener, int status)
{
	http_server_t *server = listener->data;
	h2o_socket_t *sock;
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(server->loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, on_close_free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)conn, on_close_free);
	accepted_conn_track(server, sock, conn);
	h2o_accept(&server->accept, sock);
}

static int bind_listener(http_server_t *server)
{
	struct sockaddr_in addr;
	int name_len = sizeof(addr);
	int rc;

	rc = uv_ip4_addr(server->options.address, server->options.port, &addr);
	if (rc)
		return rc;
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			       on_connection);
	if (!rc)
		rc = uv_tcp_getsockname(&server->listener,
					(struct sockaddr *)&addr, &name_len);
	if (rc)
		uv_close((uv_handle_t *)&server->listener, NULL);
	else
		server->port = ntohs(addr.sin_port);
	return rc;
}

gboolean http_server_listen(http_server_t *server, GError **error)
{
	int rc = bind_listener(server);

	if (rc) {
		error_set(error, ERROR_UNAVAILABLE,
			  "cannot listen on %s port %d: %s; choose a free port",
			  server->options.address, server->options.port,
			  uv_strerror(rc));
		return FALSE;
	}
	register_routes(server);
	errors_register(server);
	h2o_context_init(&server->context, server->loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	server->accept.ssl_ctx = server->options.tls;
	uv_timer_init(server->loop, &server->hangup_timer);
	server->hangup_timer.data = server;
	server->is_listening = TRUE;
	return TRUE;
}

int http_server_port(const http_server_t *server)
{
	return server->port;
}

size_t http_server_active(const http_server_t *server)
{
	return server->active;
}

void http_server_drain(http_server_t *server)
{
	if (!server->is_listening)
		return;
	server->is_listening = FALSE;
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

void http_server_close(http_server_t *server)
{
	http_server_drain(server);
	if (!uv_is_closing((uv_handle_t *)&server->hangup_timer))
		uv_close((uv_handle_t *)&server->hangup_timer, NULL);
}

void http_server_destroy(http_server_t *server)
{
	guint i;

	accepted_conn_detach_all(server);
	for (i = 0; i < server->routes->len; i++)
		g_free(g_array_index(server->routes, route_t, i).prefix);
	g_array_free(server->routes, TRUE);
	g_free(server);
}

void http_request_on_abort(http_request_t *request, http_abort_t on_abort,
			   void *ctx)
{
	request->on_abort = on_abort;
	request->abort_ctx = ctx;
}

static h2o_iovec_t pool_strdup(h2o_req_t *req, const char *text)
{
	return h2o_strdup(&req->pool, text, SIZE_MAX);
}

static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t key = pool_strdup(req, name);
	h2o_iovec_t copy = pool_strdup(req, value);

	h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len,
			      1, NULL, copy.base, copy.len);
}

static const char *status_reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 429:
		return "Too Many Requests";
	case 499:
		return "Client Closed Request";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Other";
	}
}

static void set_head(h2o_req_t *req, int status, const char *type,
		     const http_header_t *headers)
{
	req->res.status = status;
	req->res.reason = status_reason(status);
	add_header(req, "content-type", type);
	for (; headers && headers->name; headers++)
		add_header(req, headers->name, headers->value);
}

void http_respond(http_request_t *request, int status, const char *type,
		  const http_header_t *headers, const char *body, size_t size)
{
	h2o_req_t *req = request->req;

	g_assert(!request->is_ended);
	request->is_ended = TRUE;
	request->is_final_sent = TRUE;
	set_head(req, status, type, headers);
	h2o_send_inline(req, body, size);
}

static void on_proceed(h2o_generator_t *self, h2o_req_t *req)
{
	http_request_t *request = ((stream_generator_t *)self)->request;

	request->is_sending = FALSE;
	flush_stream(request);
}

static void on_stop(h2o_generator_t *self, h2o_req_t *req)
{
	http_request_t *request = ((stream_generator_t *)self)->request;

	request->is_final_sent = TRUE;
	notify_abort(request);
}

/* Passes the pending bytes to h2o, which accepts one h2o_send() at a time. */
static void flush_stream(http_request_t *request)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t buf;
	GString *swap;

	if (request->is_sending || request->is_final_sent)
		return;
	if (request->is_broken)
		state = H2O_SEND_STATE_ERROR;
	else if (request->is_ended)
		state = H2O_SEND_STATE_FINAL;
	else if (!request->pending->len)
		return;
	swap = request->sending;
	request->sending = request->pending;
	request->pending = swap;
	g_string_truncate(request->pending, 0);
	request->is_sending = TRUE;
	request->is_final_sent = state != H2O_SEND_STATE_IN_PROGRESS;
	buf = h2o_iovec_init(request->sending->str, request->sending->len);
	h2o_send(request->req, &buf, 1, state);
}

void http_stream_begin(http_request_t *request, int status, const char *type,
		       const http_header_t *headers)
{
	h2o_req_t *req = request->req;
	stream_generator_t *generator;

	generator = h2o_mem_alloc_pool(&req->pool, sizeof(*generator));
	generator->super.proceed = on_proceed;
	generator->super.stop = on_stop;
	generator->request = request;
	request->generator = generator;
	request->is_event_stream = !strcmp(type, "text/event-stream");
	set_head(req, status, type, headers);
	h2o_start_response(req, &generator->super);
}

void http_stream_write(http_request_t *request, const char *data, size_t size)
{
	g_assert(!request->is_ended);
	g_string_append_len(request->pending, data, (gssize)size);
	if (request->pending->len > STREAM_BACKLOG_MAX) {
		counter_add(counter_get("hc_http_slow_readers_total"), 1);
		http_request_abandon(request);
		return;
	}
	flush_stream(request);
}

void http_stream_end(http_request_t *request)
{
	g_assert(!request->is_ended);
	request->is_ended = TRUE;
	flush_stream(request);
}

void http_stream_break(http_request_t *request)
{
	g_assert(!request->is_ended);
	request->is_ended = TRUE;
	request->is_broken = TRUE;
	flush_stream(request);
}
