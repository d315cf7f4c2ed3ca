#ifndef CLAIM_STORED_ANSWER_H
#define CLAIM_STORED_ANSWER_H

/*
 * The form in which an answer is kept with its claim, so that any entry can
 * give it again: status and type on the first line, then the pieces.  A piece
 * of an engine is JSON on a line of its own; the answer of a service is as it
 * was.
 */

#include <glib.h>

/* type may be NULL, for JSON.  Free with g_string_free(). */
GString *stored_answer_create(int status, const char *type);

void stored_answer_append(GString *kept, const char *data, size_t size,
			  gboolean is_engine);

typedef struct {
	int status;
	char *type;
	char *body; /* the pieces */
} stored_answer_t;

/* FALSE for what is not of this form. */
gboolean stored_answer_parse(const char *data, size_t size,
			     stored_answer_t *kept);
void stored_answer_clear(stored_answer_t *kept);

#endif
