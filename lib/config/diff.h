#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

/*
 * Structural comparison of two document texts.
 *
 * Objects are compared key by key, lists of objects by their "name" or "id",
 * and lists of scalars as sets.  Order, comments and whitespace are ignored.
 */

#include <glib.h>

typedef enum { DIFF_ADDED, DIFF_REMOVED, DIFF_CHANGED } diff_kind_t;

typedef struct {
	diff_kind_t kind;
	char *path;   /* such as "callers[mill-clerks].priority" */
	char *before; /* JSON; NULL for DIFF_ADDED */
	char *after;  /* JSON; NULL for DIFF_REMOVED */
} difference_t;

/*
 * Compare two texts; the result owns its difference_t elements.  NULL and
 * ERROR_INVALID if either is not a JSON object.  An empty text counts as {}.
 */
GPtrArray *diff_texts(const char *before, size_t before_size, const char *after,
		      size_t after_size, GError **error);

/* Returns "added", "removed" or "changed". */
const char *diff_kind_name(diff_kind_t kind);

#endif
