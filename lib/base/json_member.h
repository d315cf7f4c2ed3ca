#ifndef BASE_JSON_MEMBER_H
#define BASE_JSON_MEMBER_H

/*
 * Accessors for members of untrusted JSON objects.  A member that is absent or
 * of another type reads as NULL or FALSE.  object may be NULL.  The returned
 * pointers belong to the object.
 */

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * As json_parser_load_from_data(), for a text from outside: fails if brackets
 * nest too deeply, as json-glib would overflow the stack.  size is in bytes; -1
 * for a text that ends with NUL.
 */
gboolean json_load(JsonParser *parser, const char *text, gssize size,
		   GError **error);

/* Returns the root of a text that ends with NUL, or NULL.  Free it. */
JsonNode *json_load_node(const char *text);

/*
 * Parses a text that consists of one JSON object; returns NULL for any other
 * text.  *object belongs to the returned parser, which the caller unrefs.
 */
JsonParser *json_parse_object(const char *text, size_t size,
			      JsonObject **object);

JsonObject *json_member_object(JsonObject *object, const char *name);
JsonArray *json_member_array(JsonObject *object, const char *name);
const char *json_member_text(JsonObject *object, const char *name);
gboolean json_member_bool(JsonObject *object, const char *name);

/* Returns NULL if the element is not an object. */
JsonObject *json_element_object(JsonArray *array, guint i);

/* Returns FALSE, and leaves *number, if the member is not an integer. */
gboolean json_member_int(JsonObject *object, const char *name, int64_t *number);

#endif
