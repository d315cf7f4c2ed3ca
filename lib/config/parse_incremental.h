#ifndef CONFIG_PARSE_INCREMENTAL_H
#define CONFIG_PARSE_INCREMENTAL_H

/*
 * A document made of the one before it and of what changed in the text.
 *
 * The lists of adapters are compared item by item; items that are in both are
 * not parsed, and their adapters are shared.  If the rest of the text is the
 * same it is shared too, else it is parsed without the lists.
 *
 * The result is what document_parse() would give.  Where that isn't certain, or
 * the text has a fault, there is no result, and the caller parses the whole: so
 * faults are always those of the whole text.
 */

#include "config/document.h"

/*
 * old_text is the one that before was parsed of.  Without one before (NULL) all
 * items are read, but the parser makes no tree of them.  NULL: parse the whole.
 */
document_t *document_parse_incremental(const document_t *before,
				       const char *old_text, size_t old_size,
				       const char *text, size_t size,
				       int64_t generation);

#endif
