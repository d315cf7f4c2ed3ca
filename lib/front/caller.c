#include "front/caller.h"

#include <string.h>

#include "base/error.h"
#include "front/caller_private.h"

/* Connections that may wait to be accepted. */
#define BACKLOG 512

/* Limits while no configuration is known: the usual ones of the platform. */
#define HEAD_MAX_BYTES	16384
#define BODY_MAX_BYTES	(4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

/* Bytes that a caller may pipeline during an answer. */
#define PIPELINED_MAX_BYTES (64 * 1024)

/* About what the state of one connection takes. */
#define CONNECTION_BYTES 2048

/* TCP keepalive: detects a caller that vanished within 4 s. */
#define KEEPALIVE_S 2

const route_limits_t *callers_limits(const callers_t *callers)
{
	static const route_limits_t fallback = {HEAD_MAX_BYTES, BODY_MAX_BYTES,
						HEAD_TIMEOUT_MS,
						IDLE_TIMEOUT_MS};
	const route_limits_t *limits = callers->events.limits(callers->ctx);

	return limits ? limits : &fallback;
}

ms_t call_now(const call_t *call)
{
	return ms_clock_now(call->callers->options.clock);
}

void call_charge(call_t *call, memory_part_t part, size_t size)
{
	memory_budget_change(call->callers->options.budget, part,
			     (gssize)size - (gssize)call->charged[part]);
	call->charged[part] = size;
}

static void on_closed(uv_handle_t *handle)
{
	call_t *call = handle->data;
	callers_t *callers = call->callers;
	int part;

	for (part = 0; part < MEMORY_PARTS; part++)
		call_charge(call, part, 0);
	http1_reader_destroy(call->reader);
	/* An endpoint may still be sent the body. */
	g_byte_array_unref(call->body);
	g_byte_array_unref(call->pipelined);
	g_free(call);
	callers_accept(callers);
}

void call_close_by(call_t *call, gboolean is_reset)
{
	callers_t *callers = call->callers;

	if (call->is_closing)
		return;
	call->is_closing = TRUE;
	TAILQ_REMOVE(&callers->calls, call, link);
	callers->count--;
	if (call->is_paused)
		callers->paused--;
	if (!is_reset || uv_tcp_close_reset(&call->tcp, on_closed) < 0)
		uv_close((uv_handle_t *)&call->tcp, on_closed);
}

void call_close(call_t *call)
{
	call_close_by(call, FALSE);
}

void call_lost(call_t *call)
{
	gboolean is_called = call->state != CALLER_READING;

	call_close(call);
	if (is_called)
		call->callers->events.on_gone(call->callers->ctx, call);
}

const http1_head_t *call_head(const call_t *call)
{
	return call->head;
}

GByteArray *call_body(const call_t *call, size_t *size)
{
	*size = call->body->len;
	return g_byte_array_ref(call->body);
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
	const callers_t *callers = call->callers;

	call->head = head;
	call->keeps_alive = head->keeps_alive;
	body_progress_begin(&call->progress, call_now(call));
	if (head->length == G_MAXUINT64)
		return;
	if (head->length > callers_limits(callers)->body_max ||
	    head->length > memory_budget_body_max(callers->options.budget))
		call->refusal = STATUS_TOO_LARGE;
	else if (head->length > ORDINARY_BODY_BYTES &&
		 !call_reclaim_silent(call, head->length))
		call->refusal = STATUS_NO_ROOM;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	call_t *call = ctx;

	if (call->refusal)
		return;
	if (call->body->len + size > callers_limits(call->callers)->body_max)
		call->refusal = STATUS_TOO_LARGE;
	else
		g_byte_array_append(call->body, (const guint8 *)data,
				    (guint)size);
}

static void on_end(void *ctx)
{
}

void call_drop_request(call_t *call)
{
	http1_reader_reset(call->reader, FALSE);
	call->refusal = 0;
	call->is_mostly_framing = FALSE;
	call->waiting_since = 0;
	if (call->body->len) {
		g_byte_array_unref(call->body);
		call->body = g_byte_array_new();
	}
	call_charge(call, MEMORY_HEADS, 0);
	call_charge(call, MEMORY_BODIES_READ, 0);
	call_charge(call, MEMORY_BODIES_KEPT, 0);
}

static void drop_pipelined(call_t *call)
{
	g_byte_array_unref(call->pipelined);
	call->pipelined = g_byte_array_new();
	call->pipelined_read = 0;
	call_charge(call, MEMORY_PIPELINED, 0);
}

void call_reject(call_t *call, int status, ms_t retry_after, const char *why)
{
	call->keeps_alive = FALSE;
	call->is_rejected = TRUE;
	call->refused_at = call_now(call);
	call_write_answer(call, status, retry_after, why);
	call_drop_request(call);
	if (!call->is_consuming)
		drop_pipelined(call);
}

/* Refuses a request whose head or body shows that it can't be read. */
static void refuse_read(call_t *call)
{
	if (call->refusal == STATUS_NO_ROOM) {
		call_refuse_for_memory(call);
		return;
	}
	counter_add(call->callers->malformed, 1);
	call_reject(call, STATUS_TOO_LARGE, 0, "the request body is too large");
}

static void deliver(call_t *call)
{
	call_charge(call, MEMORY_BODIES_READ, 0);
	call_charge(call, MEMORY_BODIES_KEPT, call->body->len);
	call->state = CALLER_DELIVERED;
	call->arrived_at = call_now(call);
	call->callers->events.on_request(call->callers->ctx, call);
}

/* Reads one request at most; returns the number of bytes that were read. */
static size_t consume_bytes(call_t *call, const char *data, size_t size)
{
	GError *error = NULL;
	gboolean was_head_done = http1_reader_is_head_done(call->reader);
	size_t old = call->body->len;
	size_t read;

	if (http1_reader_is_idle(call->reader))
		call->began_at = call_now(call);
	read = http1_reader_feed(call->reader, data, size, &error);
	if (error) {
		counter_add(call->callers->malformed, 1);
		call_reject(call,
			    error_kind(error) == ERROR_TOO_LARGE
				    ? STATUS_HEAD_TOO_LARGE
				    : STATUS_BAD_REQUEST,
			    0, error->message);
		g_clear_error(&error);
		return size;
	}
	if (call->refusal) {
		refuse_read(call);
		return size;
	}
	call_charge(call, MEMORY_HEADS, http1_reader_memory(call->reader));
	if (http1_reader_is_done(call->reader)) {
		call->has_following = read < size;
		deliver(call);
		return read;
	}
	call_charge(call, MEMORY_BODIES_READ, call->body->len);
	body_progress_add(&call->progress, call->body->len - old);
	if (was_head_done)
		call_note_framing(call, size, call->body->len - old);
	call_make_room(call);
	return read;
}

/* Whether the next request may be read. */
static gboolean may_consume(const call_t *call)
{
	return call->state == CALLER_READING && !call->is_closing &&
	       !call->is_rejected && !call->closes_after_write &&
	       call_queue_size(call) <= CONGESTED_BYTES;
}

static size_t pipelined_left(const call_t *call)
{
	return call->pipelined->len - call->pipelined_read;
}

gboolean call_has_pipelined(const call_t *call)
{
	return call->is_consuming ? call->has_following
				  : pipelined_left(call) > 0;
}

gboolean call_is_busy(const call_t *call)
{
	return call->state != CALLER_READING || call->is_rejected ||
	       call_queue_size(call) || call_has_pipelined(call);
}

void call_read_pipelined(call_t *call)
{
	if (call->is_consuming)
		return;
	call->is_consuming = TRUE;
	while (pipelined_left(call) && may_consume(call))
		call->pipelined_read +=
			consume_bytes(call,
				      (const char *)call->pipelined->data +
					      call->pipelined_read,
				      pipelined_left(call));
	call->is_consuming = FALSE;
	if (call->is_closing)
		return;
	if (!pipelined_left(call) || call->is_rejected) {
		if (call->pipelined->len)
			drop_pipelined(call);
	} else if (call->pipelined_read > call->pipelined->len / 2) {
		g_byte_array_remove_range(call->pipelined, 0,
					  (guint)call->pipelined_read);
		call->pipelined_read = 0;
		call_charge(call, MEMORY_PIPELINED, call->pipelined->len);
	}
	if (call->is_stopped && !pipelined_left(call)) {
		call->is_stopped = FALSE;
		call_read_start(call);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/*
	 * The loop has one thread, and each read is consumed before the next.
	 */
	static char bytes[READ_SIZE];

	/* on_read() is called with UV_ENOBUFS if there is no buffer. */
	*buffer = call_may_read(handle->data)
			  ? uv_buf_init(bytes, sizeof(bytes))
			  : uv_buf_init(NULL, 0);
}

/* Bytes after the last request of the connection, or of a refused one. */
static void discard(call_t *call, size_t size)
{
	call->discarded += size;
	if (call->discarded > DISCARDED_MAX_BYTES)
		uv_read_stop((uv_stream_t *)&call->tcp);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	call_t *call = stream->data;
	size_t read = 0;

	if (call->is_closing || !size)
		return;
	if (size == UV_ENOBUFS) {
		call_wait_for_room(call);
		return;
	}
	if (size < 0) {
		call_lost(call);
		return;
	}
	if (call->closes_after_write || call->is_rejected) {
		discard(call, (size_t)size);
		return;
	}
	call->waiting_since = 0;
	call->active_at = call_now(call);
	if (!pipelined_left(call) && may_consume(call)) {
		call->is_consuming = TRUE;
		read = consume_bytes(call, buffer->base, (size_t)size);
		call->is_consuming = FALSE;
	}
	if (call->is_closing || call->is_rejected || read == (size_t)size)
		return;
	g_byte_array_append(call->pipelined,
			    (const guint8 *)buffer->base + read,
			    (guint)((size_t)size - read));
	call_charge(call, MEMORY_PIPELINED, call->pipelined->len);
	call_read_pipelined(call);
	if (pipelined_left(call) >= PIPELINED_MAX_BYTES && !call->is_closing) {
		call->is_stopped = TRUE;
		uv_read_stop(stream);
	}
}

void call_read_start(call_t *call)
{
	if (!call->is_stopped && !call->is_closing)
		uv_read_start((uv_stream_t *)&call->tcp, on_alloc, on_read);
}

static const http1_events_t reader_events = {on_head, on_data, on_end};

static void accept_call(callers_t *callers)
{
	call_t *call = g_new0(call_t, 1);

	call->callers = callers;
	call->reader = http1_reader_create(HTTP1_REQUESTS,
					   callers_limits(callers)->head_max,
					   &reader_events, call);
	call->body = g_byte_array_new();
	call->pipelined = g_byte_array_new();
	call->active_at = call_now(call);
	uv_tcp_init(callers->options.loop, &call->tcp);
	call->tcp.data = call;
	TAILQ_INSERT_TAIL(&callers->calls, call, link);
	callers->count++;
	call_charge(call, MEMORY_CONNECTIONS, CONNECTION_BYTES);
	counter_add(callers->accepted, 1);
	if (uv_accept((uv_stream_t *)&callers->listener,
		      (uv_stream_t *)&call->tcp) < 0) {
		call_close(call);
		return;
	}
	uv_tcp_nodelay(&call->tcp, 1);
	uv_tcp_keepalive(&call->tcp, 1, KEEPALIVE_S);
	call_read_start(call);
}

void callers_accept(callers_t *callers)
{
	if (!callers->is_accept_pending || callers->is_closed)
		return;
	if (callers->count >= callers->options.connections_max &&
	    !callers_close_idlest(callers))
		return;
	callers->is_accept_pending = FALSE;
	accept_call(callers);
}

/* libuv accepts no more until the connection is taken by uv_accept(). */
static void on_connection(uv_stream_t *listener, int status)
{
	callers_t *callers = listener->data;

	if (status < 0)
		return;
	callers->is_accept_pending = TRUE;
	callers_accept(callers);
	if (callers->is_accept_pending)
		counter_add(callers->accept_waits, 1);
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
	callers->refused_memory =
		counter_get("hc_callers_refused_total{why=\"memory\"}");
	callers->refused_slow =
		counter_get("hc_callers_refused_total{why=\"slow\"}");
	callers->waits = counter_get("hc_callers_memory_waits_total");
	callers->accept_waits = counter_get("hc_callers_accept_waits_total");
	callers->closed_unused = counter_get("hc_callers_closed_unused_total");
	callers->closed_kept = counter_get("hc_callers_closed_kept_total");
	callers->closed_unread = counter_get("hc_callers_closed_unread_total");
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
	callers_start_timers(callers);
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
		if (http1_reader_is_idle(call->reader) && !call_is_busy(call))
			call_close(call);
	}
}

guint callers_active(const callers_t *callers)
{
	const call_t *call;
	guint count = 0;

	TAILQ_FOREACH (call, &callers->calls, link)
		count += (guint)call_is_busy(call);
	return count;
}
