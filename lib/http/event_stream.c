#include "http/event_stream.h"

#include <string.h>

#include "base/error.h"

struct event_stream {
	event_handler_t handler;
	void *ctx;
	GString *line;
	GString *data;
	gboolean has_data;
	gboolean is_stopped;
};

event_stream_t *event_stream_create(event_handler_t handler, void *ctx)
{
	event_stream_t *stream = g_new0(event_stream_t, 1);

	stream->handler = handler;
	stream->ctx = ctx;
	stream->line = g_string_new(NULL);
	stream->data = g_string_new(NULL);
	return stream;
}

void event_stream_destroy(event_stream_t *stream)
{
	g_string_free(stream->line, TRUE);
	g_string_free(stream->data, TRUE);
	g_free(stream);
}

static void end_event(event_stream_t *stream)
{
	if (!stream->has_data)
		return;
	stream->has_data = FALSE;
	if (!stream->handler(stream->ctx, stream->data->str, stream->data->len))
		stream->is_stopped = TRUE;
	g_string_truncate(stream->data, 0);
}

static void end_line(event_stream_t *stream)
{
	static const char field[] = "data:";
	const char *text = stream->line->str;

	if (stream->line->len && text[stream->line->len - 1] == '\r')
		g_string_truncate(stream->line, stream->line->len - 1);
	if (!stream->line->len) {
		end_event(stream);
	} else if (g_str_has_prefix(text, field)) {
		text += strlen(field);
		if (*text == ' ')
			text++;
		if (stream->has_data)
			g_string_append_c(stream->data, '\n');
		g_string_append(stream->data, text);
		stream->has_data = TRUE;
	}
	g_string_truncate(stream->line, 0);
}

gboolean event_stream_feed(event_stream_t *stream, const char *data,
			   size_t size, GError **error)
{
	const char *end = data + size;

	while (data < end && !stream->is_stopped) {
		const char *newline = memchr(data, '\n', (size_t)(end - data));
		const char *stop = newline ? newline : end;

		g_string_append_len(stream->line, data, stop - data);
		if (stream->line->len + stream->data->len > EVENT_SIZE_MAX) {
			stream->is_stopped = TRUE;
			error_set(error, ERROR_PROTOCOL,
				  "an event is larger than %d bytes",
				  EVENT_SIZE_MAX);
			return FALSE;
		}
		if (newline)
			end_line(stream);
		data = stop + 1;
	}
	return TRUE;
}
