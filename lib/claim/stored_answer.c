#include "claim/stored_answer.h"

#include <string.h>

#define DEFAULT_TYPE "application/json"

GString *stored_answer_create(int status, const char *type)
{
	GString *kept = g_string_new(NULL);

	g_string_printf(kept, "%d %s\n", status, type ? type : DEFAULT_TYPE);
	return kept;
}

void stored_answer_append(GString *kept, const char *data, size_t size,
			  gboolean is_engine)
{
	g_string_append_len(kept, data, (gssize)size);
	if (is_engine)
		g_string_append_c(kept, '\n');
}

gboolean stored_answer_parse(const char *data, size_t size,
			     stored_answer_t *kept)
{
	char *text = g_strndup(data, size);
	char *body = strchr(text, '\n');
	char *space = strchr(text, ' ');

	if (!body || !space || space > body) {
		g_free(text);
		return FALSE;
	}
	*body++ = '\0';
	*space++ = '\0';
	kept->status = (int)g_ascii_strtoll(text, NULL, 10);
	kept->type = g_strdup(space);
	kept->body = g_strdup(body);
	g_free(text);
	return TRUE;
}

void stored_answer_clear(stored_answer_t *kept)
{
	g_free(kept->type);
	g_free(kept->body);
	memset(kept, 0, sizeof(*kept));
}
