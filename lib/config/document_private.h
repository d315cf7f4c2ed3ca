#ifndef CONFIG_DOCUMENT_PRIVATE_H
#define CONFIG_DOCUMENT_PRIVATE_H

/* Internal representation of a document, shared by its getters and parser. */

#include "config/adapters.h"
#include "config/document.h"

struct document_access {
	/* Names and "name@version", interned in document_parts_t.strings. */
	GHashTable *exact;
	GPtrArray *name_patterns; /* of GPatternSpec */
	GPtrArray *id_patterns;	  /* of GPatternSpec, with a version */
	GHashTable *services;	  /* names of plain services */
	gboolean is_all_services;
};

/*
 * Everything in a document except the adapters.  Immutable once parsed, and
 * shared by documents that differ only in their adapters.
 */
typedef struct {
	gint ref_count; /* atomic */
	double batch_weight;
	GStringChunk *strings;
	/* Arrays of the public structures; fixed in size once parsed. */
	GArray *regions;
	GArray *services;
	GArray *endpoints;
	GArray *callers;
	GArray *operators;
	GPtrArray *lists; /* arrays of pointers owned for the structures */
	/* Sets of the structures, keyed by their first member, a string. */
	GHashTable *service_names;
	GHashTable *endpoint_ids;
	GHashTable *caller_names;
	GHashTable *round_names;    /* of strings */
	GHashTable *round_adapters; /* ids used in rounds */
	GHashTable *followers;	    /* id to GArray of document_follower_t */
	/* Map the hexadecimal SHA-256 of a token to the structure. */
	GHashTable *caller_tokens;
	GHashTable *operator_tokens;
} document_parts_t;

struct document {
	gint ref_count; /* atomic */
	int64_t generation;
	document_parts_t *parts;
	adapter_set_t *adapters;
};

document_parts_t *document_parts_create(void);
document_parts_t *document_parts_ref(document_parts_t *parts);
void document_parts_unref(document_parts_t *parts);

/* Takes ownership of a reference to parts and to adapters. */
document_t *document_create(document_parts_t *parts, adapter_set_t *adapters,
			    int64_t generation);

/* Hash and equality of structures by their first member, a string. */
guint document_key_hash(gconstpointer item);
gboolean document_key_equal(gconstpointer a, gconstpointer b);

document_access_t *document_access_create(void);

#endif
