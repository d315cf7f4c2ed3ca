#ifndef DOCUMENT_MODEL_H
#define DOCUMENT_MODEL_H

/*
 * A small document for tests that can be edited at random from a seed.  It is
 * rendered as text with comments that look like list items.
 */

#include <glib.h>

#define MODELS 3

/* Name of the adapter that a caller or a round may refer to. */
#define NAMED_ADAPTER "named"

typedef struct {
	GRand *rand;
	GPtrArray *items[MODELS]; /* list items as JSON strings */
	int endpoints;
	int next_name;
	gboolean is_id_named;	/* a caller refers to its version 1 */
	gboolean is_name_named; /* a caller refers to its name */
	gboolean is_in_round;	/* a round contains its version 1 */
} model_t;

void model_init(model_t *model, guint32 seed);
void model_release(model_t *model);

GString *model_render(const model_t *model);

/* Change an adapter list at random; the text may become invalid. */
void model_edit_items(model_t *model);

/* Change another part of the document at random. */
void model_edit_rest(model_t *model);

#endif
