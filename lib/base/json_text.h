#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

/*
 * Prepares JSON texts with comments for json-glib.  The library ends a block
 * comment at any slash, does not support line comments that begin with two
 * slashes, and overflows the stack on deeply nested texts.
 */

#include <stddef.h>

/*
 * Overwrites comments with spaces in place, so that line numbers do not change.
 * Returns the number of the line at which brackets nest too deeply, or 0.
 */
int json_text_prepare(char *text, size_t size);

#endif
