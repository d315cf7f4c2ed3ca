#include "http/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <signal.h>
#include <string.h>

/* A connection that is idle for this long during a call fails. */
#define IO_TIMEOUT_MS 300000

/* Pooled connections per address, and how long they are kept when idle. */
#define POOL_CAPACITY	 256
#define POOL_IDLE_MAX_MS 4000
#define HEAD_FIELDS_MAX	 64

/*
 * A retired pool may be used again after this time: it has no connection left.
 * h2o closes idle ones up to a second late.
 */
#define POOL_REUSE_MS (2 * POOL_IDLE_MAX_MS)

/* The connections to one address that calls may use again. */
typedef struct {
	h2o_socketpool_t sockets;
	char *address;	   /* "host:port" */
	guint calls;	   /* in progress on a connection of the pool */
	uint64_t ended_at; /* loop time at which the last call ended */
} pool_t;

struct http_client {
	uv_loop_t *loop;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	GHashTable *pools;	  /* from "host:port" to pool_t */
	GPtrArray *retired_pools; /* serve no new calls */
};

struct http_call {
	http_client_t *client;
	pool_t *pool; /* NULL for a connection of its own */
	h2o_http1client_t *conn;
	http_call_events_t events;
	void *ctx;
	char *text; /* the serialized request */
	size_t text_size;
	h2o_iovec_t text_vec;
	uv_timer_t timer;
	ms_t answer_max;
	ms_t pause_max;
	uint64_t answer_due; /* loop time */
	gboolean is_sent;
	gboolean is_starting;	 /* http_call_start() has not returned */
	gboolean is_in_callback; /* h2o closes the connection on return */
	gboolean is_head_method;
	int status;
	/* Used by http_call_buffered() only. */
	GString *buffered;
	size_t buffered_max;
	void (*whole_head)(void *ctx, int status, const http_header_t *headers);
	http_buffered_done_t whole_done;
	void *whole_ctx;
};

static void pool_destroy(gpointer data)
{
	pool_t *pool = data;

	h2o_socketpool_dispose(&pool->sockets);
	g_free(pool->address);
	g_free(pool);
}

http_client_t *http_client_create(uv_loop_t *loop)
{
	http_client_t *client = g_new0(http_client_t, 1);

	/* A write to a closed connection must return an error instead. */
	signal(SIGPIPE, SIG_IGN);
	client->loop = loop;
	h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
	client->ctx.loop = loop;
	client->ctx.io_timeout = &client->io_timeout;
	client->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	client->retired_pools = g_ptr_array_new_with_free_func(pool_destroy);
	return client;
}

static void retire_pools(http_client_t *client)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, client->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		((pool_t *)pool)->ended_at = uv_now(client->loop);
		g_ptr_array_add(client->retired_pools, pool);
	}
	g_hash_table_remove_all(client->pools);
}

void http_client_forget_connections(http_client_t *client)
{
	retire_pools(client);
}

void http_client_destroy(http_client_t *client)
{
	retire_pools(client);
	g_ptr_array_free(client->retired_pools, TRUE);
	g_hash_table_destroy(client->pools);
	h2o_timeout_dispose(client->loop, &client->io_timeout);
	g_free(client);
}

/*
 * Returns a retired pool for the address that has no connection left, or NULL.
 * Pools are not freed before the client is: h2o closes their timers later.
 */
static pool_t *take_retired_pool(http_client_t *client, const char *address)
{
	uint64_t now = uv_now(client->loop);
	guint i;

	for (i = 0; i < client->retired_pools->len; i++) {
		pool_t *pool = client->retired_pools->pdata[i];

		if (!pool->calls && now - pool->ended_at > POOL_REUSE_MS &&
		    !strcmp(pool->address, address))
			return g_ptr_array_steal_index_fast(
				client->retired_pools, i);
	}
	return NULL;
}

static pool_t *create_pool(http_client_t *client, const char *address,
			   const char *host, int port)
{
	pool_t *pool = g_new0(pool_t, 1);
	struct sockaddr_in addr;

	pool->address = g_strdup(address);
	uv_ip4_addr(host, port, &addr);
	h2o_socketpool_init_by_address(&pool->sockets, (void *)&addr,
				       sizeof(addr), 0, POOL_CAPACITY);
	h2o_socketpool_set_timeout(&pool->sockets, client->loop,
				   POOL_IDLE_MAX_MS);
	return pool;
}

static pool_t *pool_get(http_client_t *client, const char *host, int port)
{
	char *address = g_strdup_printf("%s:%d", host, port);
	pool_t *pool = g_hash_table_lookup(client->pools, address);

	if (!pool) {
		pool = take_retired_pool(client, address);
		if (!pool)
			pool = create_pool(client, address, host, port);
		g_hash_table_insert(client->pools, g_strdup(address), pool);
	}
	g_free(address);
	return pool;
}

static void on_timer_closed(uv_handle_t *handle)
{
	http_call_t *call = handle->data;

	if (call->buffered)
		g_string_free(call->buffered, TRUE);
	g_free(call->text);
	g_free(call);
}

static void call_release(http_call_t *call)
{
	call->conn = NULL;
	if (call->pool) {
		call->pool->calls--;
		call->pool->ended_at = uv_now(call->client->loop);
	}
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void call_end(http_call_t *call, error_kind_t kind, const char *why)
{
	GError *error = NULL;

	if (why)
		error_set(&error, kind, "%s", why);
	call_release(call);
	call->events.on_end(call->ctx, call->status, error);
	g_clear_error(&error);
}

static const char no_connection[] =
	"no connection; check that the server runs and is reachable";

static void on_deferred_failure(uv_timer_t *timer)
{
	call_end(timer->data, ERROR_UNAVAILABLE, no_connection);
}

static void connect_failed(http_call_t *call)
{
	call->conn = NULL;
	if (call->is_starting)
		uv_timer_start(&call->timer, on_deferred_failure, 0, 0);
	else
		call_end(call, ERROR_UNAVAILABLE, no_connection);
}

static gboolean is_too_large(const http_call_t *call)
{
	return call->buffered && call->buffered->len > call->buffered_max;
}

static void on_call_timer(uv_timer_t *timer);

/* Some of the answer has arrived: limits the time until more does. */
static void limit_pause(http_call_t *call)
{
	uint64_t now = uv_now(call->client->loop);
	uint64_t left = call->answer_due > now ? call->answer_due - now : 0;

	if (call->answer_max > 0)
		uv_timer_start(&call->timer, on_call_timer,
			       MIN((uint64_t)call->pause_max, left), 0);
}

static int on_body(h2o_http1client_t *conn, const char *errstr)
{
	http_call_t *call = conn->data;
	h2o_buffer_t *input = conn->sock->input;

	limit_pause(call);
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call_end(call, ERROR_INTERRUPTED,
			 "the answer broke off before its end; ask again with "
			 "the same key");
		return 0;
	}
	if (input->size) {
		/* A callback may cancel the call, which frees the buffer. */
		size_t size = input->size;
		char *copy = g_memdup2(input->bytes, size);

		h2o_buffer_consume(&conn->sock->input, size);
		call->is_in_callback = TRUE;
		if (call->events.on_data)
			call->events.on_data(call->ctx, copy, size);
		call->is_in_callback = FALSE;
		g_free(copy);
		if (!call->conn)
			return -1;
	}
	if (is_too_large(call)) {
		call_end(call, ERROR_TOO_LARGE,
			 "the answer's body is larger than this call reads");
		return -1;
	}
	if (errstr)
		call_end(call, ERROR_INTERNAL, NULL);
	return 0;
}

static void report_head(http_call_t *call, const h2o_header_t *headers,
			size_t count)
{
	http_header_t table[HEAD_FIELDS_MAX + 1];
	size_t i;

	count = MIN(count, HEAD_FIELDS_MAX);
	for (i = 0; i < count; i++) {
		table[i].name = g_ascii_strdown(headers[i].name->base,
						(gssize)headers[i].name->len);
		table[i].value =
			g_strndup(headers[i].value.base, headers[i].value.len);
	}
	table[count].name = NULL;
	call->is_in_callback = TRUE;
	call->events.on_head(call->ctx, call->status, table);
	call->is_in_callback = FALSE;
	for (i = 0; i < count; i++) {
		g_free((char *)table[i].name);
		g_free((char *)table[i].value);
	}
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *conn,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t count,
				       int rlen)
{
	http_call_t *call = conn->data;
	gboolean is_eos = errstr == h2o_http1client_error_is_eos;

	if (errstr && !is_eos) {
		call_end(call, ERROR_INTERRUPTED,
			 "the server closed the connection without an answer; "
			 "ask again with the same key");
		return NULL;
	}
	call->status = status;
	call->answer_due =
		uv_now(call->client->loop) + (uint64_t)call->answer_max;
	limit_pause(call);
	if (call->events.on_head)
		report_head(call, headers, count);
	if (!call->conn)
		return NULL;
	if (is_eos) {
		call_end(call, ERROR_INTERNAL, NULL);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *conn,
					  const char *errstr,
					  h2o_iovec_t **bufs, size_t *count,
					  int *method_is_head)
{
	http_call_t *call = conn->data;

	if (errstr) {
		connect_failed(call);
		return NULL;
	}
	call->is_sent = TRUE;
	call->text_vec = h2o_iovec_init(call->text, call->text_size);
	*bufs = &call->text_vec;
	*count = 1;
	*method_is_head = call->is_head_method;
	return on_head;
}

static void on_call_timer(uv_timer_t *timer)
{
	http_call_t *call = timer->data;
	h2o_http1client_t *conn = call->conn;
	error_kind_t kind = call->is_sent ? ERROR_TIMEOUT : ERROR_UNAVAILABLE;

	if (conn)
		h2o_http1client_cancel(conn);
	call_end(call, kind,
		 call->is_sent ? "no whole answer came in the time allowed; "
				 "allow more time"
			       : "no connection within the time limit; check "
				 "that the server is reachable");
}

static char *render_request(const http_call_request_t *request, size_t *size)
{
	GString *text = g_string_new(NULL);
	const http_header_t *header;

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nhost: %s:%d\r\n",
			       request->method, request->path, request->host,
			       request->port);
	for (header = request->headers; header && header->name; header++)
		g_string_append_printf(text, "%s: %s\r\n", header->name,
				       header->value);
	if (request->body || strcmp(request->method, "GET"))
		g_string_append_printf(text, "content-length: %zu\r\n",
				       request->body_size);
	if (request->is_fresh || request->tls)
		g_string_append(text, "connection: close\r\n");
	g_string_append(text, "\r\n");
	if (request->body)
		g_string_append_len(text, request->body,
				    (gssize)request->body_size);
	*size = text->len;
	return g_string_free(text, FALSE);
}

static void call_connect(http_call_t *call, const http_call_request_t *request)
{
	http_client_t *client = call->client;
	h2o_iovec_t host;

	if (!request->is_fresh && !request->tls) {
		pool_t *pool = pool_get(client, request->host, request->port);

		call->pool = pool;
		pool->calls++;
		h2o_http1client_connect_with_pool(&call->conn, call,
						  &client->ctx, &pool->sockets,
						  on_connect);
		return;
	}
	host = h2o_iovec_init(request->host, strlen(request->host));
	client->ctx.ssl_ctx = request->tls;
	h2o_http1client_connect(&call->conn, call, &client->ctx, host,
				(uint16_t)request->port, request->tls != NULL,
				on_connect);
}

http_call_t *http_call_start(http_client_t *client,
			     const http_call_request_t *request,
			     const http_call_events_t *events, void *ctx)
{
	http_call_t *call = g_new0(http_call_t, 1);

	call->client = client;
	call->events = *events;
	call->ctx = ctx;
	call->text = render_request(request, &call->text_size);
	call->is_head_method = !strcmp(request->method, "HEAD");
	call->answer_max = request->answer_max;
	call->pause_max = request->pause_max;
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	if (request->timeout > 0)
		uv_timer_start(&call->timer, on_call_timer,
			       (uint64_t)request->timeout, 0);
	call->is_starting = TRUE;
	call_connect(call, request);
	call->is_starting = FALSE;
	return call;
}

void http_call_cancel(http_call_t *call)
{
	if (call->conn && !call->is_in_callback)
		h2o_http1client_cancel(call->conn);
	call_release(call);
}

static void on_whole_head(void *ctx, int status, const http_header_t *headers)
{
	http_call_t *call = ctx;

	if (call->whole_head)
		call->whole_head(call->whole_ctx, status, headers);
}

static void on_whole_data(void *ctx, const char *data, size_t size)
{
	http_call_t *call = ctx;

	g_string_append_len(call->buffered, data, (gssize)size);
}

static void on_whole_end(void *ctx, int status, const GError *error)
{
	http_call_t *call = ctx;

	call->whole_done(call->whole_ctx, status, call->buffered->str,
			 call->buffered->len, error);
}

http_call_t *http_call_buffered(http_client_t *client,
				const http_call_request_t *request,
				size_t body_max, http_buffered_done_t done,
				void *ctx)
{
	static const http_call_events_t events = {on_whole_head, on_whole_data,
						  on_whole_end};
	http_call_t *call = http_call_start(client, request, &events, NULL);

	call->ctx = call;
	call->buffered = g_string_new(NULL);
	call->buffered_max = body_max;
	call->whole_head = request->on_head;
	call->whole_done = done;
	call->whole_ctx = ctx;
	return call;
}
