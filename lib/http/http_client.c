#include "http/http_client.h"

#include <signal.h>
#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/http1_reader.h"
#include "http/http_conn.h"

/* How long an idle connection is kept, and how often that is checked. */
#define IDLE_MAX_MS   4000
#define IDLE_CHECK_MS 1000

/* Largest head of an answer, with those of interim responses before it. */
#define HEAD_MAX_BYTES (32 * 1024)

/* A connection that calls use one after another. */
typedef struct client_conn {
	TAILQ_ENTRY(client_conn) entry; /* in a list of idle ones */
	http_client_t *client;
	http_conn_t *conn;
	http_call_t *call; /* NULL if idle */
	char *address;	   /* "host:port" */
	guint generation;  /* the client's when it was opened */
	uint64_t idle_at;  /* loop time since which it is idle */
} client_conn_t;

TAILQ_HEAD(conn_list, client_conn);

struct http_client {
	uv_loop_t *loop;
	uv_timer_t idle_timer; /* runs while a connection is idle */
	/* From "host:port" to a list, which is not empty. */
	GHashTable *idle;
	guint generation; /* connections of former ones are not used again */
	counter_t *invalid;
	counter_t *extra;
};

struct http_call {
	http_client_t *client;
	client_conn_t *conn; /* NULL once the call has ended */
	http1_reader_t *reader;
	http_call_events_t events;
	void *ctx;
	char *text; /* the serialized request, until it is sent */
	size_t text_size;
	uv_timer_t timer;
	ms_t answer_max;
	ms_t pause_max;
	uint64_t answer_due; /* loop time */
	gboolean is_sent;
	gboolean is_fresh;
	gboolean keeps_alive; /* as the answer's head says */
	int status;
	/* Used by http_call_buffered() only. */
	GString *buffered;
	size_t buffered_max;
	void (*whole_head)(void *ctx, int status, const http_header_t *headers);
	http_buffered_done_t whole_done;
	void *whole_ctx;
};

static void conn_free(client_conn_t *conn)
{
	g_free(conn->address);
	g_free(conn);
}

static void conn_close(client_conn_t *conn)
{
	http_conn_close(conn->conn);
	conn_free(conn);
}

/* Takes a connection out of its list of idle ones. */
static void idle_remove(client_conn_t *conn)
{
	http_client_t *client = conn->client;
	struct conn_list *list =
		g_hash_table_lookup(client->idle, conn->address);

	TAILQ_REMOVE(list, conn, entry);
	if (TAILQ_EMPTY(list))
		g_hash_table_remove(client->idle, conn->address);
	if (!g_hash_table_size(client->idle))
		uv_timer_stop(&client->idle_timer);
}

/* Closes connections that have been idle for at least this long. */
static void close_idle(http_client_t *client, uint64_t min)
{
	struct conn_list closing = TAILQ_HEAD_INITIALIZER(closing);
	uint64_t now = uv_now(client->loop);
	GHashTableIter iter;
	gpointer value;
	client_conn_t *conn;

	g_hash_table_iter_init(&iter, client->idle);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn_list *list = value;

		/* The one that was idle first is the last of its list. */
		while ((conn = TAILQ_LAST(list, conn_list)) &&
		       now - conn->idle_at >= min) {
			TAILQ_REMOVE(list, conn, entry);
			TAILQ_INSERT_TAIL(&closing, conn, entry);
		}
		if (TAILQ_EMPTY(list))
			g_hash_table_iter_remove(&iter);
	}
	while ((conn = TAILQ_FIRST(&closing))) {
		TAILQ_REMOVE(&closing, conn, entry);
		conn_close(conn);
	}
	if (!g_hash_table_size(client->idle))
		uv_timer_stop(&client->idle_timer);
}

static void on_idle_timer(uv_timer_t *timer)
{
	close_idle(timer->data, IDLE_MAX_MS);
}

/* Keeps a connection whose call has ended for further ones. */
static void idle_add(client_conn_t *conn)
{
	http_client_t *client = conn->client;
	struct conn_list *list =
		g_hash_table_lookup(client->idle, conn->address);

	if (!list) {
		list = g_new0(struct conn_list, 1);
		TAILQ_INIT(list);
		g_hash_table_insert(client->idle, g_strdup(conn->address),
				    list);
	}
	conn->call = NULL;
	conn->idle_at = uv_now(client->loop);
	http_conn_set_referenced(conn->conn, FALSE);
	TAILQ_INSERT_HEAD(list, conn, entry);
	if (!uv_is_active((uv_handle_t *)&client->idle_timer))
		uv_timer_start(&client->idle_timer, on_idle_timer,
			       IDLE_CHECK_MS, IDLE_CHECK_MS);
}

/* Returns a connection that was kept for the address, or NULL. */
static client_conn_t *idle_take(http_client_t *client, const char *address)
{
	struct conn_list *list;

	while ((list = g_hash_table_lookup(client->idle, address))) {
		client_conn_t *conn = TAILQ_FIRST(list);

		idle_remove(conn);
		/* The server may have closed it, which is not read yet. */
		if (http_conn_is_quiet(conn->conn)) {
			http_conn_set_referenced(conn->conn, TRUE);
			return conn;
		}
		conn_close(conn);
	}
	return NULL;
}

http_client_t *http_client_create(uv_loop_t *loop)
{
	http_client_t *client = g_new0(http_client_t, 1);

	/* A write to a closed connection must return an error instead. */
	signal(SIGPIPE, SIG_IGN);
	client->loop = loop;
	client->idle =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(loop, &client->idle_timer);
	uv_unref((uv_handle_t *)&client->idle_timer);
	client->idle_timer.data = client;
	client->invalid = counter_get("hc_http_invalid_answers_total");
	client->extra = counter_get("hc_http_extra_bytes_total");
	return client;
}

void http_client_forget_connections(http_client_t *client)
{
	client->generation++;
	close_idle(client, 0);
}

static void on_client_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void http_client_destroy(http_client_t *client)
{
	close_idle(client, 0);
	g_hash_table_destroy(client->idle);
	uv_close((uv_handle_t *)&client->idle_timer, on_client_closed);
}

static void on_timer_closed(uv_handle_t *handle)
{
	http_call_t *call = handle->data;

	if (call->buffered)
		g_string_free(call->buffered, TRUE);
	http1_reader_destroy(call->reader);
	g_free(call->text);
	g_free(call);
}

/* http1_reader may be running: the call is freed later. */
static void call_release(http_call_t *call)
{
	call->conn = NULL;
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

/* Ends a call whose connection can't be used any more. */
static void call_fail(http_call_t *call, error_kind_t kind, const char *why)
{
	conn_close(call->conn);
	call_end(call, kind, why);
}

/* The answer is complete; has_extra: bytes have followed it. */
static void call_complete(http_call_t *call, gboolean has_extra)
{
	client_conn_t *conn = call->conn;

	if (has_extra)
		counter_add(call->client->extra, 1);
	if (has_extra || !call->keeps_alive || call->is_fresh ||
	    conn->generation != call->client->generation ||
	    !http_conn_is_quiet(conn->conn))
		conn_close(conn);
	else
		idle_add(conn);
	call_end(call, ERROR_INTERNAL, NULL);
}

static const char no_answer[] =
	"the server closed the connection without an answer; ask again with "
	"the same key";
static const char no_whole_answer[] =
	"the answer broke off before its end; ask again with the same key";
static const char no_connection[] =
	"no connection; check that the server runs and is reachable";

/* The answer, or the rest of it, is no valid HTTP/1 message. */
static void call_reject(http_call_t *call, const char *why)
{
	char *text;

	counter_add(call->client->invalid, 1);
	log_warn("answer refused", "address", call->conn->address, "error", why,
		 NULL);
	if (http1_reader_is_head_done(call->reader)) {
		call_fail(call, ERROR_INTERRUPTED, no_whole_answer);
		return;
	}
	text = g_strdup_printf("the server's answer is not valid (%s); ask "
			       "again with the same key",
			       why);
	call_fail(call, ERROR_INTERRUPTED, text);
	g_free(text);
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

static void report_head(http_call_t *call, const GArray *headers)
{
	http_header_t *table = g_new0(http_header_t, headers->len + 1);
	guint i;

	for (i = 0; i < headers->len; i++) {
		const http_header_t *header =
			&g_array_index(headers, http_header_t, i);

		table[i].name = g_ascii_strdown(header->name, -1);
		table[i].value = header->value;
	}
	call->events.on_head(call->ctx, call->status, table);
	for (i = 0; i < headers->len; i++)
		g_free((char *)table[i].name);
	g_free(table);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	http_call_t *call = ctx;

	call->status = head->status;
	call->keeps_alive = head->keeps_alive && head->has_length;
	call->answer_due =
		uv_now(call->client->loop) + (uint64_t)call->answer_max;
	limit_pause(call);
	if (call->events.on_head)
		report_head(call, head->headers);
}

static void on_body(void *ctx, const char *data, size_t size)
{
	http_call_t *call = ctx;

	/* A callback may have cancelled the call. */
	if (call->conn && call->events.on_data)
		call->events.on_data(call->ctx, data, size);
}

static void on_message_end(void *ctx)
{
}

static void on_conn_data(void *ctx, const char *data, size_t size)
{
	client_conn_t *conn = ctx;
	http_call_t *call = conn->call;
	GError *error = NULL;
	size_t read;

	if (!call) {
		counter_add(conn->client->extra, 1);
		idle_remove(conn);
		conn_close(conn);
		return;
	}
	if (http1_reader_is_head_done(call->reader))
		limit_pause(call);
	read = http1_reader_feed(call->reader, data, size, &error);
	/* A callback may have cancelled the call. */
	if (!call->conn)
		;
	else if (error)
		call_reject(call, error->message);
	else if (is_too_large(call))
		call_fail(call, ERROR_TOO_LARGE,
			  "the answer's body is larger than this call reads");
	else if (http1_reader_is_done(call->reader))
		call_complete(call, read < size);
	g_clear_error(&error);
}

static void conn_send(client_conn_t *conn)
{
	http_call_t *call = conn->call;

	call->is_sent = TRUE;
	http_conn_send(conn->conn, g_steal_pointer(&call->text),
		       call->text_size);
}

static void on_conn_open(void *ctx)
{
	conn_send(ctx);
}

static void on_conn_end(void *ctx, http_conn_end_t end, const char *why)
{
	client_conn_t *conn = ctx;
	http_call_t *call = conn->call;

	if (!call)
		idle_remove(conn);
	conn_free(conn);
	if (!call)
		return;
	if (end == HTTP_CONN_NOT_OPENED) {
		log_debug("connection failed", "error", why, NULL);
		call_end(call, ERROR_UNAVAILABLE, no_connection);
		return;
	}
	if (end == HTTP_CONN_CLOSED && http1_reader_finish(call->reader))
		call_end(call, ERROR_INTERNAL, NULL);
	else
		call_end(call, ERROR_INTERRUPTED,
			 http1_reader_is_head_done(call->reader)
				 ? no_whole_answer
				 : no_answer);
}

static void on_call_timer(uv_timer_t *timer)
{
	http_call_t *call = timer->data;

	if (call->is_sent)
		call_fail(call, ERROR_TIMEOUT,
			  "no whole answer came in the time allowed; allow "
			  "more time");
	else
		call_fail(call, ERROR_UNAVAILABLE,
			  "no connection within the time limit; check that the "
			  "server is reachable");
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

/* Gives the call a connection. */
static void call_connect(http_call_t *call, const http_call_request_t *request)
{
	static const http_conn_events_t events = {on_conn_open, on_conn_data,
						  on_conn_end};
	http_client_t *client = call->client;
	char *address = g_strdup_printf("%s:%d", request->host, request->port);
	client_conn_t *conn =
		call->is_fresh ? NULL : idle_take(client, address);

	if (conn) {
		g_free(address);
		call->conn = conn;
		conn->call = call;
		conn_send(conn);
		return;
	}
	conn = g_new0(client_conn_t, 1);
	conn->client = client;
	conn->call = call;
	conn->address = address;
	conn->generation = client->generation;
	conn->conn = http_conn_open(client->loop, request->host, request->port,
				    request->tls, &events, conn);
	call->conn = conn;
}

http_call_t *http_call_start(http_client_t *client,
			     const http_call_request_t *request,
			     const http_call_events_t *events, void *ctx)
{
	static const http1_events_t reader_events = {on_head, on_body,
						     on_message_end};
	http_call_t *call = g_new0(http_call_t, 1);

	call->client = client;
	call->events = *events;
	call->ctx = ctx;
	call->text = render_request(request, &call->text_size);
	call->reader = http1_reader_create(HTTP1_RESPONSES, HEAD_MAX_BYTES,
					   &reader_events, call);
	http1_reader_reset(call->reader, !strcmp(request->method, "HEAD"));
	call->is_fresh = request->is_fresh || request->tls;
	call->answer_max = request->answer_max;
	call->pause_max = request->pause_max;
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	if (request->timeout > 0)
		uv_timer_start(&call->timer, on_call_timer,
			       (uint64_t)request->timeout, 0);
	call_connect(call, request);
	return call;
}

void http_call_cancel(http_call_t *call)
{
	conn_close(call->conn);
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
