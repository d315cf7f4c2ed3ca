#include "front/caller.h"

#include <http_parser.h>
#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "base/error.h"

/* Size of one read. */
#define READ_SIZE (16 * 1024)

/* Connections that may wait to be accepted. */
#define BACKLOG 512

/* Limits while no configuration is known: the usual ones of the platform. */
#define HEAD_MAX_BYTES	16384
#define BODY_MAX_BYTES	(4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

/* How often the head and idle timeouts are checked. */
#define SWEEP_MS 500

/* Bytes that a caller may pipeline during an answer. */
#define PIPELINED_MAX_BYTES (64 * 1024)

/*
 * Bytes queued for a caller that does not read, above which its connection is
 * closed.  As large as the largest body.
 */
#define UNSENT_MAX_BYTES (4 * 1024 * 1024)

/*
 * Bytes queued for a caller above which it is congested, and below which it is
 * no more.  If too much is queued for all together, it is none.
 */
#define CONGESTED_BYTES (64 * 1024)
#define DRAINED_BYTES	(16 * 1024)

/* TCP keepalive: detects a caller that vanished within 4 s. */
#define KEEPALIVE_S 2

#define STATUS_BAD_REQUEST    400
#define STATUS_TOO_LARGE      413
#define STATUS_HEAD_TOO_LARGE 431

typedef enum {
	CALLER_READING,	  /* no request, or an incomplete one */
	CALLER_DELIVERED, /* the request was delivered */
	CALLER_ANSWERING  /* the head of its answer was sent */
} caller_state_t;

struct call {
	TAILQ_ENTRY(call) link;
	callers_t *callers;
	uv_tcp_t tcp;
	http1_reader_t *reader;
	const http1_head_t *head;
	GByteArray *body;
	GByteArray *pipelined; /* received after the current request */
	caller_state_t state;
	void *data;
	ms_t active_at; /* time of the last byte read, or of the end of the last
			   answer */
	ms_t arrived_at;
	gboolean is_chunked;
	gboolean keeps_alive;
	gboolean is_too_large;
	gboolean is_closing;
	gboolean closes_after_write;
	gboolean is_rejected; /* further bytes are discarded */
	gboolean is_congested;
};

TAILQ_HEAD(call_list, call);

struct callers {
	callers_options_t options;
	callers_events_t events;
	void *ctx;
	uv_tcp_t listener;
	uv_timer_t sweeper;
	struct call_list calls;
	guint count;
	guint active;
	size_t unsent;
	gboolean is_draining;
	gboolean is_closed;
	counter_t *accepted;
	counter_t *malformed;
};

typedef struct {
	uv_write_t write;
	call_t *call;
	size_t size;
	char bytes[];
} caller_write_t;

static void read_next_request(call_t *call);

static const route_limits_t *limits_of(const callers_t *callers)
{
	static const route_limits_t fallback = {HEAD_MAX_BYTES, BODY_MAX_BYTES,
						HEAD_TIMEOUT_MS,
						IDLE_TIMEOUT_MS};
	const route_limits_t *limits = callers->events.limits(callers->ctx);

	return limits ? limits : &fallback;
}

static ms_t now_of(const call_t *call)
{
	return ms_clock_now(call->callers->options.clock);
}

static void on_closed(uv_handle_t *handle)
{
	call_t *call = handle->data;

	http1_reader_destroy(call->reader);
	g_byte_array_free(call->body, TRUE);
	g_byte_array_free(call->pipelined, TRUE);
	g_free(call);
}

static void connection_close(call_t *call, gboolean is_reset)
{
	callers_t *callers = call->callers;

	if (call->is_closing)
		return;
	call->is_closing = TRUE;
	TAILQ_REMOVE(&callers->calls, call, link);
	callers->count--;
	if (call->state != CALLER_READING)
		callers->active--;
	if (!is_reset || uv_tcp_close_reset(&call->tcp, on_closed) < 0)
		uv_close((uv_handle_t *)&call->tcp, on_closed);
}

static void call_close(call_t *call)
{
	connection_close(call, FALSE);
}

/* The caller disconnected, or the connection failed. */
static void call_lost(call_t *call)
{
	gboolean is_called = call->state != CALLER_READING;

	call_close(call);
	if (is_called)
		call->callers->events.on_gone(call->callers->ctx, call);
}

static size_t queue_size(const call_t *call)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&call->tcp);
}

static gboolean is_short_of_memory(const callers_t *callers)
{
	return callers->unsent > callers->options.unsent_max;
}

gboolean call_is_congested(call_t *call)
{
	if (queue_size(call) >
	    (is_short_of_memory(call->callers) ? 0 : CONGESTED_BYTES))
		call->is_congested = TRUE;
	return call->is_congested;
}

static void note_drained(call_t *call)
{
	callers_t *callers = call->callers;

	if (!call->is_congested ||
	    queue_size(call) >
		    (is_short_of_memory(callers) ? 0 : DRAINED_BYTES))
		return;
	call->is_congested = FALSE;
	if (call->state != CALLER_READING && !call->is_closing)
		callers->events.on_drained(callers->ctx, call);
}

static void on_written(uv_write_t *write, int status)
{
	caller_write_t *req = (caller_write_t *)write;
	call_t *call = req->call;

	call->callers->unsent -= req->size;
	g_free(req);
	if (status >= 0)
		note_drained(call);
	if (status < 0 && !call->is_closing)
		call_lost(call);
	else if (call->closes_after_write &&
		 !uv_stream_get_write_queue_size((uv_stream_t *)&call->tcp))
		call_close(call);
}

static void write_bytes(call_t *call, const char *data, size_t size)
{
	caller_write_t *req = g_malloc(sizeof(*req) + size);
	uv_buf_t buffer;

	req->call = call;
	req->size = size;
	call->callers->unsent += size;
	memcpy(req->bytes, data, size);
	buffer = uv_buf_init(req->bytes, (unsigned int)size);
	if (uv_write(&req->write, (uv_stream_t *)&call->tcp, &buffer, 1,
		     on_written) < 0) {
		call->callers->unsent -= size;
		g_free(req);
	}
}

static void finish_request(call_t *call)
{
	call->callers->active--;
	call->state = CALLER_READING;
	call->active_at = now_of(call);
	call->is_congested = FALSE;
	g_byte_array_set_size(call->body, 0);
	/*
	 * An answer that began before the stop has not sent "Connection:
	 * close".
	 */
	if (!call->keeps_alive || call->callers->is_draining) {
		call->closes_after_write = TRUE;
		if (!uv_stream_get_write_queue_size((uv_stream_t *)&call->tcp))
			call_close(call);
		return;
	}
	http1_reader_reset(call->reader, FALSE);
	read_next_request(call);
}

static void append_connection(call_t *call, GString *text)
{
	if (call->callers->is_draining)
		call->keeps_alive = FALSE;
	if (!call->keeps_alive)
		g_string_append(text, "Connection: close\r\n");
}

static const char *reason_of(int status)
{
	return http_status_str((enum http_status)status);
}

static void write_answer(call_t *call, int status, ms_t retry_after,
			 const char *body)
{
	GString *text = g_string_new(NULL);
	size_t size = strlen(body);

	g_string_append_printf(text,
			       "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
			       "Content-Length: %zu\r\n",
			       status, reason_of(status), size);
	if (retry_after > 0)
		g_string_append_printf(text, "Retry-After: %d.%03d\r\n",
				       (int)(retry_after / 1000),
				       (int)(retry_after % 1000));
	append_connection(call, text);
	g_string_append(text, "\r\n");
	g_string_append(text, body);
	write_bytes(call, text->str, text->len);
	g_string_free(text, TRUE);
}

void call_answer(call_t *call, int status, ms_t retry_after, const char *text)
{
	g_assert(call->state == CALLER_DELIVERED);
	write_answer(call, status, retry_after, text);
	finish_request(call);
}

void call_begin(call_t *call, const http1_head_t *answer, int64_t size)
{
	GString *text = g_string_new(NULL);
	guint i;

	g_assert(call->state == CALLER_DELIVERED);
	call->state = CALLER_ANSWERING;
	g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", answer->status,
			       reason_of(answer->status));
	for (i = 0; i < answer->headers->len; i++) {
		const http_header_t *header =
			&g_array_index(answer->headers, http_header_t, i);

		if (!g_ascii_strcasecmp(header->name, "content-length") ||
		    http1_is_hop_by_hop_header(answer, header->name))
			continue;
		g_string_append_printf(text, "%s: %s\r\n", header->name,
				       header->value);
	}
	/*
	 * HTTP/1.0 has no chunked encoding: the end of the connection ends the
	 * answer.
	 */
	call->is_chunked = size < 0 && call->head->minor > 0;
	if (size < 0 && !call->is_chunked)
		call->keeps_alive = FALSE;
	if (call->is_chunked)
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	else if (size >= 0)
		g_string_append_printf(
			text, "Content-Length: %" G_GINT64_FORMAT "\r\n",
			(gint64)size);
	append_connection(call, text);
	g_string_append(text, "\r\n");
	write_bytes(call, text->str, text->len);
	g_string_free(text, TRUE);
}

void call_write(call_t *call, const char *data, size_t size)
{
	GString *text;

	g_assert(call->state == CALLER_ANSWERING);
	if (!size)
		return;
	if (!call->is_chunked) {
		write_bytes(call, data, size);
		return;
	}
	text = g_string_sized_new(size + 16);
	g_string_append_printf(text, "%zx\r\n", size);
	g_string_append_len(text, data, (gssize)size);
	g_string_append(text, "\r\n");
	write_bytes(call, text->str, text->len);
	g_string_free(text, TRUE);
}

void call_end(call_t *call)
{
	g_assert(call->state == CALLER_ANSWERING);
	if (call->is_chunked)
		write_bytes(call, "0\r\n\r\n", 5);
	finish_request(call);
}

void call_abort(call_t *call)
{
	g_assert(call->state != CALLER_READING);
	/* Without a reset, an answer without a length would seem complete. */
	connection_close(call,
			 call->state == CALLER_ANSWERING && !call->is_chunked);
}

const http1_head_t *call_head(const call_t *call)
{
	return call->head;
}

const char *call_body(const call_t *call, size_t *size)
{
	*size = call->body->len;
	return (const char *)call->body->data;
}

ms_t call_arrived_at(const call_t *call)
{
	return call->arrived_at;
}

void call_set_data(call_t *call, void *data)
{
	call->data = data;
}

void *call_data(const call_t *call)
{
	return call->data;
}

static void on_head(void *ctx, const http1_head_t *head)
{
	call_t *call = ctx;

	call->head = head;
	call->keeps_alive = head->keeps_alive;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	call_t *call = ctx;

	if (call->body->len + size > limits_of(call->callers)->body_max)
		call->is_too_large = TRUE;
	else
		g_byte_array_append(call->body, (const guint8 *)data,
				    (guint)size);
}

static void on_end(void *ctx)
{
}

/*
 * Answers a request that is not delivered.  The connection is left for the
 * caller or the sweep to close: closing it with bytes unread would reset it,
 * and the caller might not receive the answer.
 */
static void reject_request(call_t *call, int status, const char *why)
{
	counter_add(call->callers->malformed, 1);
	call->keeps_alive = FALSE;
	call->is_rejected = TRUE;
	write_answer(call, status, 0, why);
}

static void consume_bytes(call_t *call, const char *data, size_t size)
{
	GError *error = NULL;
	size_t read = http1_reader_feed(call->reader, data, size, &error);

	if (error) {
		reject_request(call,
			       error_kind(error) == ERROR_TOO_LARGE
				       ? STATUS_HEAD_TOO_LARGE
				       : STATUS_BAD_REQUEST,
			       error->message);
		g_clear_error(&error);
		return;
	}
	if (call->is_too_large) {
		reject_request(call, STATUS_TOO_LARGE,
			       "the request body is too large");
		return;
	}
	if (!http1_reader_is_done(call->reader))
		return;
	g_byte_array_append(call->pipelined, (const guint8 *)data + read,
			    (guint)(size - read));
	call->state = CALLER_DELIVERED;
	call->arrived_at = now_of(call);
	call->callers->active++;
	call->callers->events.on_request(call->callers->ctx, call);
}

/* Reads the next request from the pipelined bytes. */
static void read_next_request(call_t *call)
{
	GByteArray *pipelined = call->pipelined;

	if (!pipelined->len)
		return;
	call->pipelined = g_byte_array_new();
	consume_bytes(call, (const char *)pipelined->data, pipelined->len);
	g_byte_array_free(pipelined, TRUE);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/*
	 * The loop has one thread, and each read is consumed before the next.
	 */
	static char bytes[READ_SIZE];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	call_t *call = stream->data;

	if (call->is_closing || !size)
		return;
	if (size < 0) {
		call_lost(call);
		return;
	}
	if (call->closes_after_write || call->is_rejected)
		return;
	call->active_at = now_of(call);
	if (call->state == CALLER_READING) {
		consume_bytes(call, buffer->base, (size_t)size);
		return;
	}
	g_byte_array_append(call->pipelined, (const guint8 *)buffer->base,
			    (guint)size);
	if (call->pipelined->len > PIPELINED_MAX_BYTES)
		call_lost(call);
}

static void on_connection(uv_stream_t *listener, int status)
{
	static const http1_events_t events = {on_head, on_data, on_end};
	callers_t *callers = listener->data;
	call_t *call;

	if (status < 0)
		return;
	call = g_new0(call_t, 1);
	call->callers = callers;
	call->reader = http1_reader_create(
		HTTP1_REQUESTS, limits_of(callers)->head_max, &events, call);
	call->body = g_byte_array_new();
	call->pipelined = g_byte_array_new();
	call->active_at = now_of(call);
	uv_tcp_init(callers->options.loop, &call->tcp);
	call->tcp.data = call;
	TAILQ_INSERT_TAIL(&callers->calls, call, link);
	callers->count++;
	counter_add(callers->accepted, 1);
	if (uv_accept(listener, (uv_stream_t *)&call->tcp) < 0 ||
	    callers->count > callers->options.connections_max) {
		call_close(call);
		return;
	}
	uv_tcp_nodelay(&call->tcp, 1);
	uv_tcp_keepalive(&call->tcp, 1, KEEPALIVE_S);
	uv_read_start((uv_stream_t *)&call->tcp, on_alloc, on_read);
}

static gboolean has_timed_out(const call_t *call, ms_t now)
{
	const route_limits_t *limits = limits_of(call->callers);
	ms_t silent = now - call->active_at;

	if (queue_size(call) > UNSENT_MAX_BYTES)
		return TRUE;
	if (call->state != CALLER_READING)
		return FALSE;
	if (http1_reader_is_idle(call->reader))
		return silent > limits->idle_timeout;
	return silent > limits->head_timeout;
}

static void on_sweep(uv_timer_t *timer)
{
	callers_t *callers = timer->data;
	ms_t now = ms_clock_now(callers->options.clock);
	call_t *call;
	call_t *next;

	for (call = TAILQ_FIRST(&callers->calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		if (has_timed_out(call, now))
			call_lost(call);
	}
}

callers_t *callers_create(const callers_options_t *options,
			  const callers_events_t *events, void *ctx,
			  GError **error)
{
	callers_t *callers = g_new0(callers_t, 1);
	struct sockaddr_in address;
	int code;

	callers->options = *options;
	callers->events = *events;
	callers->ctx = ctx;
	TAILQ_INIT(&callers->calls);
	callers->accepted = counter_get("hc_callers_accepted_total");
	callers->malformed = counter_get("hc_callers_malformed_total");
	uv_tcp_init(options->loop, &callers->listener);
	callers->listener.data = callers;
	code = uv_ip4_addr(options->address, options->port, &address);
	if (!code)
		code = uv_tcp_bind(&callers->listener,
				   (const struct sockaddr *)&address, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)&callers->listener, BACKLOG,
				 on_connection);
	if (code) {
		error_set(error, ERROR_UNAVAILABLE,
			  "can't listen at %s:%d (%s); name a free address",
			  options->address, options->port, uv_strerror(code));
		return NULL;
	}
	uv_timer_init(options->loop, &callers->sweeper);
	callers->sweeper.data = callers;
	uv_timer_start(&callers->sweeper, on_sweep, SWEEP_MS, SWEEP_MS);
	return callers;
}

void callers_drain(callers_t *callers)
{
	callers->is_draining = TRUE;
}

void callers_close_idle(callers_t *callers)
{
	call_t *call;
	call_t *next;

	if (!callers->is_closed)
		uv_close((uv_handle_t *)&callers->listener, NULL);
	callers->is_closed = TRUE;
	for (call = TAILQ_FIRST(&callers->calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		if (call->state == CALLER_READING &&
		    http1_reader_is_idle(call->reader) &&
		    !call->closes_after_write)
			call_close(call);
	}
}

guint callers_active(const callers_t *callers)
{
	return callers->active;
}

size_t callers_unsent(const callers_t *callers)
{
	return callers->unsent;
}
