#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

/*
 * Encoding and decoding of messages as msgpack arrays.
 *
 * A message is an array whose first element is its type number.  A reader
 * decodes the elements in order.  An element that is missing, out of range or
 * of the wrong type marks the reader as failed: all later reads return zero
 * values, and codec_read_end() returns FALSE.
 */

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

typedef struct {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
} codec_writer_t;

/* Begin a message; fields is its number of elements after the type. */
void codec_write_init(codec_writer_t *writer, int type, uint32_t fields);
void codec_write_release(codec_writer_t *writer);

void codec_write_int(codec_writer_t *writer, int64_t value);
void codec_write_bool(codec_writer_t *writer, gboolean value);
/* NULL is written as nil. */
void codec_write_text(codec_writer_t *writer, const char *value);
void codec_write_bytes(codec_writer_t *writer, const char *data, size_t size);
/* Begin a nested array of count elements. */
void codec_write_array(codec_writer_t *writer, uint32_t count);

typedef struct {
	const msgpack_object *at;
	uint32_t left;
	gboolean is_failed;
} codec_reader_t;

/* Open a message and store its type, or -1 if it is not a valid message. */
void codec_read_init(codec_reader_t *reader, const msgpack_object *message,
		     int *type);

int64_t codec_read_int(codec_reader_t *reader, int64_t min, int64_t max);
gboolean codec_read_bool(codec_reader_t *reader);
/* Returns a new string, or NULL for nil; fails above size_max bytes. */
char *codec_read_text(codec_reader_t *reader, size_t size_max);
/* Returns a pointer into the message; not NUL-terminated. */
const char *codec_read_bytes(codec_reader_t *reader, size_t *size);
/* Open a nested array; nested->left is its number of elements. */
void codec_read_array(codec_reader_t *reader, codec_reader_t *nested);

/* TRUE if all elements were read and none failed. */
gboolean codec_read_end(const codec_reader_t *reader);

#endif
