#ifndef BASE_JSON_BUILD_H
#define BASE_JSON_BUILD_H

/* Members of a JSON object that is being built, and its text. */

#include <json-glib/json-glib.h>
#include <stdint.h>

void json_build_text(JsonBuilder *builder, const char *name, const char *text);
void json_build_int(JsonBuilder *builder, const char *name, int64_t number);

/* The text of what was built; takes the builder.  Free with g_free(). */
char *json_build_end(JsonBuilder *builder, gboolean is_pretty);

#endif
