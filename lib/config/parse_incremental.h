#ifndef CONFIG_PARSE_INCREMENTAL_H
#define CONFIG_PARSE_INCREMENTAL_H

/*
 * Incremental parsing: builds a document from its predecessor and the changes
 * in the text.
 *
 * The adapter lists are compared item by item; items in both texts are not
 * parsed again, and their adapters are shared.  If the rest of the text is
 * unchanged, its parsed form is shared as well; otherwise the rest is parsed
 * without the lists.
 *
 * The result equals that of document_parse().  If that can't be guaranteed, or
 * the text has a fault, NULL is returned and the caller parses the whole text,
 * so reported faults always come from a full parse.
 */

#include "config/document.h"

/*
 * old_text is the text that before was parsed from.  If before is NULL, all
 * items are read, but no JSON tree is built for them.  Returns NULL if the
 * whole text must be parsed.
 */
document_t *document_parse_incremental(const document_t *before,
				       const char *old_text, size_t old_size,
				       const char *text, size_t size,
				       int64_t generation);

#endif
