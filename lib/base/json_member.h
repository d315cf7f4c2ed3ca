#ifndef BASE_JSON_MEMBER_H
#define BASE_JSON_MEMBER_H

/*
 * Members of JSON objects that others wrote: a member that is absent or of
 * another type reads as NULL, 0 or FALSE.  object may be NULL.  What is
 * returned belongs to the object.
 */

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Parse a text that is one JSON object; *object belongs to the parser, which
 * the caller unrefs.  NULL if it is none.
 */
JsonParser *json_parse_object(const char *text, size_t size,
			      JsonObject **object);

JsonObject *json_member_object(JsonObject *object, const char *name);
JsonArray *json_member_array(JsonObject *object, const char *name);
const char *json_member_text(JsonObject *object, const char *name);
gboolean json_member_bool(JsonObject *object, const char *name);

/* NULL if the element is no object. */
JsonObject *json_element_object(JsonArray *array, guint i);

/* FALSE if the member is no whole number. */
gboolean json_member_int(JsonObject *object, const char *name, int64_t *number);

#endif
