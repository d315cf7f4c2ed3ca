#ifndef CONFIG_DOCUMENT_TEXT_H
#define CONFIG_DOCUMENT_TEXT_H

/*
 * Parses the JSON text of a document into a json-glib tree.
 *
 * Rejects what json-glib accepts: text that is not UTF-8, nesting so deep that
 * the recursive parser would overflow the stack, and duplicate keys in an
 * object.
 */

#include <json-glib/json-glib.h>

#include "config/validate.h"

/* Returns a parser whose root is an object; NULL if faults were added. */
JsonParser *document_text_parse(const char *text, size_t size,
				faults_t *faults);

#endif
