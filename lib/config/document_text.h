#ifndef CONFIG_DOCUMENT_TEXT_H
#define CONFIG_DOCUMENT_TEXT_H

/*
 * The JSON text of a document, read into a tree by json-glib.
 *
 * What the library lets through is refused here: a text that is not UTF-8,
 * nesting so deep that the recursive parser would run out of stack, and a key
 * that stands twice in one object.
 */

#include <json-glib/json-glib.h>

#include "config/validate.h"

/* The parser holding an object as its root, or NULL with faults added. */
JsonParser *text_parse(const char *text, size_t size, faults_t *faults);

#endif
