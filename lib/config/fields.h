#ifndef CONFIG_FIELDS_H
#define CONFIG_FIELDS_H

/*
 * Reads JSON objects according to a table of fields.  Each fault is recorded
 * with its JSON path: unknown keys (with the closest known key), missing keys,
 * and values of the wrong type or out of range.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

#include "config/validate.h"

typedef enum {
	FIELD_TEXT,   /* value points at a const char *, owned by the tree */
	FIELD_INT,    /* value points at an int64_t */
	FIELD_NUMBER, /* value points at a double */
	FIELD_BOOL,   /* value points at a gboolean */
	FIELD_LIST,   /* value points at a JsonArray * */
	FIELD_OBJECT  /* value points at a JsonObject * */
} field_type_t;

typedef struct {
	const char *name;
	field_type_t type;
	gboolean is_required; /* otherwise value is kept if absent */
	void *value;
	double min; /* range of a number; unlimited if both are 0 */
	double max;
} field_t;

/* The current JSON path and the faults found so far. */
typedef struct {
	faults_t *faults;
	GArray *path; /* rendered only when a fault is recorded */
} fields_t;

void fields_init(fields_t *fields, faults_t *faults);
void fields_release(fields_t *fields);

/*
 * Append a member or an item index to the current path; pass the result to
 * fields_leave().  The name is not copied.
 */
size_t fields_enter(fields_t *fields, const char *member);
size_t fields_enter_item(fields_t *fields, guint index);
void fields_leave(fields_t *fields, size_t mark);

/* Returns the current path as text; free with g_free(). */
char *fields_path(const fields_t *fields);

/* Record a fault at the current path; takes ownership of cause and remedy. */
void fields_add_fault(fields_t *fields, char *cause, char *remedy);

/* Like fields_add_fault(), at a member of the current object. */
void fields_add_fault_at(fields_t *fields, const char *member, char *cause,
			 char *remedy);

/* Read an object; a NULL name ends the table.  FALSE on a fault. */
gboolean fields_read(fields_t *fields, JsonObject *object,
		     const field_t *table);

/* Returns the object at a node; records a fault and returns NULL if none. */
JsonObject *fields_object(fields_t *fields, JsonNode *node);

/* Returns the string at a node; records a fault and returns NULL if none. */
const char *fields_text(fields_t *fields, JsonNode *node);

#endif
