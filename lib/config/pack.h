#ifndef CONFIG_PACK_H
#define CONFIG_PACK_H

/*
 * Compression of document parts (manifests and chunks) sent between peers.
 *
 * A compressed part starts with the two magic bytes of gzip.  This sequence
 * never occurs in UTF-8 text, so it distinguishes compressed from plain parts.
 */

#include <glib.h>

/* Returns NULL if compression doesn't make the part smaller. */
GBytes *pack(GBytes *part);

gboolean pack_is_packed(const char *data, size_t size);

/* Returns NULL if data is malformed or expands to more than size_max bytes. */
GBytes *unpack(const char *data, size_t size, size_t size_max);

#endif
