#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

/*
 * Frames between the processes of hawthorncross.
 *
 *	length (4 bytes, big endian) | msgpack payload
 *
 * The length counts the payload only.  Frames travel in a channel (channel.h),
 * which protects their integrity, order and confidentiality.
 *
 * A frame_reader_t reassembles complete payloads from a byte stream.  It does
 * no I/O, so that tests can feed it.  After the first error it ignores further
 * input.
 *
 * Errors: ERROR_TOO_LARGE for a length above the limit, ERROR_PROTOCOL for
 * a payload that is not exactly one msgpack message.
 */

#include <glib.h>
#include <msgpack.h>

#define FRAME_PAYLOAD_MAX (4 * 1024 * 1024)
#define FRAME_HEADER_SIZE 4

typedef struct frame_reader frame_reader_t;

/* Called for each message; returning FALSE stops the reader without an error.
 */
typedef gboolean (*frame_handler_t)(void *ctx, const msgpack_object *message);

frame_reader_t *frame_reader_create(size_t payload_max);
void frame_reader_destroy(frame_reader_t *reader);

/* Process bytes; returns FALSE and sets *error on a malformed frame. */
gboolean frame_reader_feed(frame_reader_t *reader, const char *data,
			   size_t size, frame_handler_t handler, void *ctx,
			   GError **error);

void frame_append(GByteArray *out, const char *payload, size_t size);

#endif
