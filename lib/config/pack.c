#include "config/pack.h"

#include <gio/gio.h>
#include <string.h>

#define LEVEL 6

static const char magic[] = {0x1f, (char)0x8b};

/* Convert the whole input; NULL if the output exceeds size_max bytes. */
static GBytes *convert(GConverter *converter, const char *data, size_t size,
		       size_t size_max)
{
	char *out = g_malloc(size_max);
	size_t used = 0;
	size_t done = 0;
	GConverterResult result;

	do {
		gsize bytes_read = 0;
		gsize bytes_written = 0;

		result = g_converter_convert(
			converter, data + done, size - done, out + used,
			size_max - used, G_CONVERTER_INPUT_AT_END, &bytes_read,
			&bytes_written, NULL);
		done += bytes_read;
		used += bytes_written;
	} while (result == G_CONVERTER_CONVERTED && used < size_max);
	g_object_unref(converter);
	if (result == G_CONVERTER_FINISHED && done == size)
		return g_bytes_new_take(g_realloc(out, used), used);
	g_free(out);
	return NULL;
}

GBytes *pack(GBytes *part)
{
	gsize size;
	const char *data = g_bytes_get_data(part, &size);

	if (!size)
		return NULL;
	return convert(G_CONVERTER(g_zlib_compressor_new(
			       G_ZLIB_COMPRESSOR_FORMAT_GZIP, LEVEL)),
		       data, size, size);
}

gboolean pack_is_packed(const char *data, size_t size)
{
	return size >= sizeof(magic) && !memcmp(data, magic, sizeof(magic));
}

GBytes *unpack(const char *data, size_t size, size_t size_max)
{
	GZlibDecompressor *decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP);

	return convert(G_CONVERTER(decompressor), data, size, size_max);
}
