#ifndef CONFIG_ADAPTER_LISTS_H
#define CONFIG_ADAPTER_LISTS_H

/*
 * Finds the adapter lists in the text of a document without building a JSON
 * tree.
 *
 * The scanner supports a subset of JSON and fails on anything unusual, such as
 * a backslash in a key; the caller then parses the whole text.  If the parser
 * accepts the rest of the text, it would find the same lists.
 */

#include <glib.h>

/* The text between the quotes of one item, without any backslash. */
typedef struct {
	const char *text;
	size_t size;
} list_item_t;

/* The list at "base_models" -> MODEL -> "adapters". */
typedef struct {
	char *base_model;
	const char *open;  /* just after the opening bracket */
	const char *close; /* the closing bracket */
	GArray *items;	   /* of list_item_t, pointing into the text */
} adapter_list_t;

/* Returns adapter_list_t in text order; NULL if the text is unsupported. */
GPtrArray *adapter_lists_scan(const char *text, size_t size);

/* Returns the text without the list items; free with g_string_free(). */
GString *adapter_lists_strip(const GPtrArray *lists, const char *text,
			     size_t size);

#endif
