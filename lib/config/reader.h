#ifndef CONFIG_READER_H
#define CONFIG_READER_H

/* Internal functions of the document parser behind document_validate(). */

#include "config/document_private.h"
#include "config/fields.h"

typedef struct {
	fields_t fields;
	document_parts_t *parts;
	adapter_set_t *adapters;
	/* Indexes of the adapters, built on first use. */
	GHashTable *adapter_ids;   /* of document_adapter_t */
	GHashTable *adapter_names; /* of their names */
	size_t nearest_budget;	   /* remaining searches for similar names */
} reader_t;

/* Intern a string in the document. */
const char *reader_intern(reader_t *reader, const char *text);

/* Check a name; records a fault at member and returns FALSE if invalid. */
gboolean reader_check_name(reader_t *reader, const char *member,
			   const char *name);

/* Check and intern a name; records a fault and returns NULL if invalid. */
const char *reader_name(reader_t *reader, const char *member, const char *name);

/*
 * Returns a unique name for an entry without a valid one, so that the entry can
 * be added and the indices of the following entries stay correct.
 */
const char *reader_placeholder(reader_t *reader);

/* Record a fault at a member: the name is a duplicate. */
void reader_fault_duplicate(reader_t *reader, const char *member,
			    const char *name);

/* Add a structure to a set; records a fault at member if it is a duplicate. */
void reader_add_unique(reader_t *reader, GHashTable *set, gpointer item,
		       const char *member);

/* Find a structure by name; records a fault and returns NULL if absent. */
gpointer reader_find(reader_t *reader, GHashTable *set, const char *name,
		     const char *member);

/* Read the "limits" of a service or a caller. */
void reader_limits(reader_t *reader, JsonObject *object,
		   document_limits_t *limits);

void reader_regions(reader_t *reader, JsonObject *regions);
void reader_services(reader_t *reader, JsonArray *services);

/*
 * Parse one list item, "name@version,version", where the name may contain a
 * range.  Appends the adapter versions to out with a reference each, up to a
 * total of DOCUMENT_ADAPTERS_MAX.  FALSE if that limit was reached.
 */
gboolean reader_adapter_item(reader_t *reader, char *base_model,
			     const char *text, GPtrArray *out);

/* Adds to the adapters that were passed to reader_parse(). */
void reader_adapters(reader_t *reader, JsonObject *base_models);
void reader_endpoints(reader_t *reader, JsonArray *endpoints);

/* Call after the adapters are read; an unknown id is recorded as a fault. */
gboolean reader_has_adapter_id(reader_t *reader, const char *id);
gboolean reader_has_adapter_name(reader_t *reader, const char *name);

/* Call each for every object of a list. */
void reader_foreach_object(reader_t *reader, const char *member,
			   JsonArray *list,
			   void (*each)(reader_t *reader, JsonObject *object));

/* Call after the adapters are read. */
void reader_rounds(reader_t *reader, JsonArray *rounds);

/* Call after the adapters and services are read. */
void reader_callers(reader_t *reader, JsonArray *callers);
void reader_operators(reader_t *reader, JsonArray *operators);

/* Parse a text, adding to an initial set of adapters; takes ownership of it. */
document_t *reader_parse(const char *text, size_t size, int64_t generation,
			 adapter_set_t *adapters, faults_t *faults);

#endif
