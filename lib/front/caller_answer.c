#include <http_parser.h>
#include <string.h>

#include "front/caller_private.h"
#include "http/tcp.h"

typedef struct {
	uv_write_t write;
	call_t *call;
	size_t size;
	char bytes[];
} caller_write_t;

size_t call_queue_size(const call_t *call)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&call->tcp);
}

/*
 * The kernel takes more only once much of what it holds is acknowledged, so the
 * queue alone shows no progress of a slow reader.
 */
size_t call_untaken(const call_t *call)
{
	return call_queue_size(call) + tcp_unacknowledged(&call->tcp);
}

static gboolean is_short_of_memory(const callers_t *callers)
{
	return memory_budget_is_short_for_answers(callers->options.budget);
}

gboolean call_is_congested(call_t *call)
{
	if (call_queue_size(call) >
	    (is_short_of_memory(call->callers) ? 0 : CONGESTED_BYTES))
		call->is_congested = TRUE;
	return call->is_congested;
}

static void note_drained(call_t *call)
{
	callers_t *callers = call->callers;

	if (!call->is_congested ||
	    call_queue_size(call) >
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

	memory_budget_change(call->callers->options.budget, MEMORY_UNSENT,
			     -(gssize)req->size);
	call->active_at = call_now(call);
	g_free(req);
	if (status >= 0)
		note_drained(call);
	if (status < 0 && !call->is_closing)
		call_lost(call);
	else if (call->closes_after_write && !call_queue_size(call))
		call_close(call);
	else if (status >= 0 && !call->is_closing)
		call_read_pipelined(call);
}

static void write_bytes(call_t *call, const char *data, size_t size)
{
	caller_write_t *req = g_malloc(sizeof(*req) + size);
	uv_buf_t buffer;

	req->call = call;
	req->size = size;
	memory_budget_change(call->callers->options.budget, MEMORY_UNSENT,
			     (gssize)size);
	memcpy(req->bytes, data, size);
	buffer = uv_buf_init(req->bytes, (unsigned int)size);
	if (uv_write(&req->write, (uv_stream_t *)&call->tcp, &buffer, 1,
		     on_written) < 0) {
		memory_budget_change(call->callers->options.budget,
				     MEMORY_UNSENT, -(gssize)size);
		g_free(req);
	}
}

static void finish_request(call_t *call)
{
	call->state = CALLER_READING;
	call->active_at = call_now(call);
	call->is_congested = FALSE;
	call->has_served = TRUE;
	call_drop_request(call);
	call->untaken = call_untaken(call);
	body_progress_begin(&call->taken, call->active_at);
	if (!call->keeps_alive) {
		call->closes_after_write = TRUE;
		if (!call_queue_size(call))
			call_close(call);
		return;
	}
	/*
	 * An answer that began before the stop has not sent "Connection:
	 * close", and further requests may have been read.
	 */
	if (call->callers->is_draining && !call_is_busy(call))
		call_close(call);
	else
		call_read_pipelined(call);
}

static void append_connection(call_t *call, GString *text)
{
	if (call->callers->is_draining && !call_has_pipelined(call))
		call->keeps_alive = FALSE;
	if (!call->keeps_alive)
		g_string_append(text, "Connection: close\r\n");
}

static const char *reason_of(int status)
{
	return http_status_str((enum http_status)status);
}

void call_write_answer(call_t *call, int status, ms_t retry_after,
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
	call_write_answer(call, status, retry_after, text);
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
	call_close_by(call,
		      call->state == CALLER_ANSWERING && !call->is_chunked);
}
