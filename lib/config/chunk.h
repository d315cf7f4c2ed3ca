#ifndef CONFIG_CHUNK_H
#define CONFIG_CHUNK_H

/*
 * Content-defined chunking of the document text.
 *
 * A chunk is named by the hash of its content.  Chunk boundaries depend on the
 * content of lines, so changing one line rewrites the chunk that contains it
 * and rarely a second one.  A manifest lists the chunks of one generation in
 * order.
 *
 * The key-value service stores a manifest in three forms: with the chunk list
 * (one per retained generation), without it (the head, which is watched), and
 * with the chunks added and replaced since the previous generation (the
 * history record).
 */

#include <glib.h>
#include <stdint.h>

/* Chunk size in bytes; only the last chunk may be below the minimum. */
#define CHUNK_SIZE_MIN	  2048
#define CHUNK_SIZE_TARGET 8192
#define CHUNK_SIZE_MAX	  65536

/* Hexadecimal digits in a chunk name. */
#define CHUNK_NAME_LENGTH 32

typedef struct {
	int64_t generation;
	char *commit; /* unique identifier of the commit attempt */
	char *author;
	char *note;
	int64_t time; /* milliseconds since 1970 */
	int64_t size; /* of the text, in bytes */
	char *hash;   /* of the text */
	/* Chunk names; NULL if this form omits them. */
	GPtrArray *chunks;
	GPtrArray *added;    /* absent from the previous generation */
	GPtrArray *replaced; /* only in the previous generation */
} manifest_t;

/* Create a manifest with size, hash and chunks set and all else empty. */
manifest_t *manifest_create(const char *text, size_t size);
void manifest_destroy(manifest_t *manifest);

/* Render as JSON, omitting NULL members; free with g_free(). */
char *manifest_render(const manifest_t *manifest);

/* Render one of the three forms, without the members that it omits. */
char *manifest_render_form(const manifest_t *manifest, gboolean has_chunks,
			   gboolean has_changes);

/* Set added and replaced relative to the previous chunks (NULL for none). */
void manifest_compare(manifest_t *manifest, const GPtrArray *before);

/* ERROR_PROTOCOL for text that manifest_render() can't have written. */
manifest_t *manifest_parse(const char *text, size_t size, GError **error);

/* Returns the chunk name of this content; free with g_free(). */
char *chunk_name(const char *data, size_t size);

/* Split a text; the table owns its keys (names) and values (GBytes). */
GHashTable *chunk_split(const char *text, size_t size);

/* Concatenate chunks; like chunk_join(), but without verifying a hash. */
char *chunk_concat(const GPtrArray *names, GHashTable *table, size_t *size,
		   GError **error);

/*
 * Reassemble the text of a manifest; table maps names to GBytes.  Free the
 * text with g_free().  ERROR_NOT_FOUND for a missing chunk, ERROR_PROTOCOL if
 * the text doesn't match the hash in the manifest.
 */
char *chunk_join(const manifest_t *manifest, GHashTable *table, size_t *size,
		 GError **error);

#endif
