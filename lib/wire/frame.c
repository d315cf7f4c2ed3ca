#include "wire/frame.h"

#include <string.h>

#include "base/error.h"

struct frame_reader {
	GByteArray *input;
	size_t payload_max;
	gboolean is_stopped;
};

frame_reader_t *frame_reader_create(size_t payload_max)
{
	frame_reader_t *reader = g_new0(frame_reader_t, 1);

	reader->input = g_byte_array_new();
	reader->payload_max = payload_max;
	return reader;
}

void frame_reader_destroy(frame_reader_t *reader)
{
	g_byte_array_free(reader->input, TRUE);
	g_free(reader);
}

void frame_append(GByteArray *out, const char *payload, size_t size)
{
	guint32 length = GUINT32_TO_BE((guint32)size);

	g_byte_array_append(out, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(out, (const guint8 *)payload, (guint)size);
}

static gboolean decode_payload(frame_reader_t *reader, const char *payload,
			       size_t size, frame_handler_t handler, void *ctx,
			       GError **error)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int rc;

	msgpack_unpacked_init(&unpacked);
	rc = msgpack_unpack_next(&unpacked, payload, size, &offset);
	if (rc != MSGPACK_UNPACK_SUCCESS || offset != size) {
		msgpack_unpacked_destroy(&unpacked);
		error_set(error, ERROR_PROTOCOL,
			  "a frame does not hold one msgpack message; run the "
			  "same version on all instances");
		return FALSE;
	}
	if (!handler(ctx, &unpacked.data))
		reader->is_stopped = TRUE;
	msgpack_unpacked_destroy(&unpacked);
	return TRUE;
}

/* Read one complete frame; FALSE if there is none, or on error. */
static gboolean read_frame(frame_reader_t *reader, size_t *offset,
			   frame_handler_t handler, void *ctx, GError **error)
{
	const guint8 *frame = reader->input->data + *offset;
	size_t left = reader->input->len - *offset;
	guint32 length;

	if (left < FRAME_HEADER_SIZE)
		return FALSE;
	memcpy(&length, frame, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length > reader->payload_max) {
		error_set(error, ERROR_TOO_LARGE,
			  "a frame of %u bytes exceeds the limit of %zu",
			  length, reader->payload_max);
		reader->is_stopped = TRUE;
		return FALSE;
	}
	if (left - FRAME_HEADER_SIZE < length)
		return FALSE;
	if (!decode_payload(reader, (const char *)frame + FRAME_HEADER_SIZE,
			    length, handler, ctx, error)) {
		reader->is_stopped = TRUE;
		return FALSE;
	}
	*offset += FRAME_HEADER_SIZE + length;
	return TRUE;
}

gboolean frame_reader_feed(frame_reader_t *reader, const char *data,
			   size_t size, frame_handler_t handler, void *ctx,
			   GError **error)
{
	GError *fault = NULL;
	size_t offset = 0;

	if (reader->is_stopped)
		return TRUE;
	g_byte_array_append(reader->input, (const guint8 *)data, (guint)size);
	while (!reader->is_stopped &&
	       read_frame(reader, &offset, handler, ctx, &fault))
		;
	if (offset)
		g_byte_array_remove_range(reader->input, 0, (guint)offset);
	if (!fault)
		return TRUE;
	g_propagate_error(error, fault);
	return FALSE;
}
