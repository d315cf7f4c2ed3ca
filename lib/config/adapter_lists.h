#ifndef CONFIG_ADAPTER_LISTS_H
#define CONFIG_ADAPTER_LISTS_H

/*
 * Finds the lists of adapters in the text of a document without a tree of it.
 *
 * It reads no more than it has to and gives up on anything unusual, such as a
 * backslash in a key: the text is then parsed as a whole.  What it does find is
 * what the parser would find there, if it accepts the rest of the text.
 */

#include <glib.h>

/* The text between the quotes of one item; none holds a backslash. */
typedef struct {
	const char *text;
	size_t size;
} list_item_t;

/* "base_models" -> MODEL -> "adapters". */
typedef struct {
	char *base_model;
	const char *open;  /* after the bracket that opens it */
	const char *close; /* the bracket that closes it */
	GArray *items;	   /* of list_item_t, pointing into the text */
} adapter_list_t;

/* Of adapter_list_t, in the order of the text; NULL if it gives up. */
GPtrArray *lists_scan(const char *text, size_t size);

/* The text without what is in the lists; free with g_string_free(). */
GString *lists_skeleton(const GPtrArray *lists, const char *text, size_t size);

#endif
