#ifndef REQUEST_PARSE_BODY_H
#define REQUEST_PARSE_BODY_H

/*
 * Parses the JSON body of an OpenAI-style request, for request/parse.h.
 */

#include "request/parse.h"

/* Fill the fields of spec that come from the body, or fail: ERROR_INVALID. */
gboolean request_parse_body(request_spec_t *spec, const char *body, size_t size,
			    GError **error);

/*
 * Whether text is printable ASCII without spaces, and thus safe in logs and
 * headers.
 */
gboolean request_text_is_printable(const char *text);

#endif
