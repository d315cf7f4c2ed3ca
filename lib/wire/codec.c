#include "wire/codec.h"

#include <string.h>

void codec_write_init(codec_writer_t *writer, int type, uint32_t fields)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
	msgpack_pack_array(&writer->packer, fields + 1);
	msgpack_pack_int(&writer->packer, type);
}

void codec_write_release(codec_writer_t *writer)
{
	msgpack_sbuffer_destroy(&writer->buffer);
}

void codec_write_int(codec_writer_t *writer, int64_t value)
{
	msgpack_pack_int64(&writer->packer, value);
}

void codec_write_bool(codec_writer_t *writer, gboolean value)
{
	if (value)
		msgpack_pack_true(&writer->packer);
	else
		msgpack_pack_false(&writer->packer);
}

void codec_write_text(codec_writer_t *writer, const char *value)
{
	size_t size;

	if (!value) {
		msgpack_pack_nil(&writer->packer);
		return;
	}
	size = strlen(value);
	msgpack_pack_str(&writer->packer, size);
	msgpack_pack_str_body(&writer->packer, value, size);
}

void codec_write_bytes(codec_writer_t *writer, const char *data, size_t size)
{
	msgpack_pack_bin(&writer->packer, size);
	msgpack_pack_bin_body(&writer->packer, data, size);
}

void codec_write_array(codec_writer_t *writer, uint32_t count)
{
	msgpack_pack_array(&writer->packer, count);
}

static const msgpack_object *next(codec_reader_t *reader)
{
	if (reader->is_failed)
		return NULL;
	if (!reader->left) {
		reader->is_failed = TRUE;
		return NULL;
	}
	reader->left--;
	return reader->at++;
}

void codec_read_init(codec_reader_t *reader, const msgpack_object *message,
		     int *type)
{
	memset(reader, 0, sizeof(*reader));
	*type = -1;
	if (message->type != MSGPACK_OBJECT_ARRAY) {
		reader->is_failed = TRUE;
		return;
	}
	reader->at = message->via.array.ptr;
	reader->left = message->via.array.size;
	*type = (int)codec_read_int(reader, 0, INT16_MAX);
	if (reader->is_failed)
		*type = -1;
}

int64_t codec_read_int(codec_reader_t *reader, int64_t min, int64_t max)
{
	const msgpack_object *object = next(reader);
	int64_t value;

	if (!object)
		return 0;
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		value = object->via.i64;
	else if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		 object->via.u64 <= INT64_MAX)
		value = (int64_t)object->via.u64;
	else
		goto failed;
	if (value >= min && value <= max)
		return value;
failed:
	reader->is_failed = TRUE;
	return 0;
}

gboolean codec_read_bool(codec_reader_t *reader)
{
	const msgpack_object *object = next(reader);

	if (!object)
		return FALSE;
	if (object->type != MSGPACK_OBJECT_BOOLEAN) {
		reader->is_failed = TRUE;
		return FALSE;
	}
	return object->via.boolean;
}

char *codec_read_text(codec_reader_t *reader, size_t size_max)
{
	const msgpack_object *object = next(reader);

	if (!object || object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size > size_max ||
	    !g_utf8_validate(object->via.str.ptr, object->via.str.size, NULL)) {
		reader->is_failed = TRUE;
		return NULL;
	}
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

const char *codec_read_bytes(codec_reader_t *reader, size_t *size)
{
	const msgpack_object *object = next(reader);

	*size = 0;
	if (!object)
		return "";
	if (object->type != MSGPACK_OBJECT_BIN) {
		reader->is_failed = TRUE;
		return "";
	}
	*size = object->via.bin.size;
	return object->via.bin.ptr;
}

void codec_read_array(codec_reader_t *reader, codec_reader_t *nested)
{
	const msgpack_object *object = next(reader);

	memset(nested, 0, sizeof(*nested));
	if (!object || object->type != MSGPACK_OBJECT_ARRAY) {
		reader->is_failed = TRUE;
		nested->is_failed = TRUE;
		return;
	}
	nested->at = object->via.array.ptr;
	nested->left = object->via.array.size;
}

gboolean codec_read_end(const codec_reader_t *reader)
{
	return !reader->is_failed && !reader->left;
}
