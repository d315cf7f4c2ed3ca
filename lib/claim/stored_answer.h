#ifndef CLAIM_STORED_ANSWER_H
#define CLAIM_STORED_ANSWER_H

/*
 * Encoding of an answer that is stored with its claim, so that any entry can
 * send it again.  The first line holds the status and content type; the pieces
 * of the body follow.  A piece from an engine is JSON on a line of its own; the
 * answer of a service is stored unchanged.
 */

#include <glib.h>

/* NULL as type means JSON.  Free with g_string_free(). */
GString *stored_answer_create(int status, const char *type);

void stored_answer_append(GString *kept, const char *data, size_t size,
			  gboolean is_engine);

typedef struct {
	int status;
	char *type;
	char *body; /* all pieces */
} stored_answer_t;

/* Returns FALSE if the data does not have this encoding. */
gboolean stored_answer_parse(const char *data, size_t size,
			     stored_answer_t *kept);
void stored_answer_clear(stored_answer_t *kept);

#endif
