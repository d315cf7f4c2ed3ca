#ifndef CONFIG_KEYS_H
#define CONFIG_KEYS_H

/* Keys of the configuration in the key-value service. */

#include <glib.h>
#include <stdint.h>

/* The newest manifest without its chunks; updating it accepts a commit. */
#define KEY_HEAD "hc/config/head"

/* For each retained generation, its manifest with the chunk list. */
#define KEY_GENERATION "hc/config/generation/"

/* For each retained generation, its manifest with added and replaced chunks. */
#define KEY_HISTORY "hc/config/history/"

/* Chunk contents by chunk name. */
#define KEY_CHUNK "hc/config/chunk/"

/* Chunks written ahead by a commit in progress, as a manifest of its base. */
#define KEY_PENDING "hc/config/pending/"

/* Zero-padded so that keys sort by generation; free with g_free(). */
static inline char *key_of_generation(const char *prefix, int64_t generation)
{
	return g_strdup_printf("%s%016" G_GINT64_MODIFIER "d", prefix,
			       generation);
}

#endif
