#ifndef BASE_JSON_BUILD_H
#define BASE_JSON_BUILD_H

/* Helpers that add members with JsonBuilder and serialize the result. */

#include <json-glib/json-glib.h>
#include <stdint.h>

void json_build_text(JsonBuilder *builder, const char *name, const char *text);
void json_build_int(JsonBuilder *builder, const char *name, int64_t number);

/* Serializes the document and unrefs the builder; free with g_free(). */
char *json_build_end(JsonBuilder *builder, gboolean is_pretty);

#endif
