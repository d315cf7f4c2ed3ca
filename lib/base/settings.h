#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

/*
 * Settings files: JSON with line and block comments, validated against a table
 * of settings.
 *
 * settings_load() reads the file and stores each value through the pointer in
 * the table.  It rejects unknown names, suggesting the most similar known one,
 * and values of the wrong type or out of range.  A setting that is absent from
 * the file gets its default; one without a default is required.
 *
 * Errors: ERROR_NOT_FOUND for a file that can't be read, ERROR_INVALID for
 * everything else.  The message names the file and the setting, and says how to
 * correct it.
 */

#include <glib.h>
#include <stdint.h>

typedef enum {
	SETTING_TEXT,	/* value points at a char *, owned by the caller */
	SETTING_INT,	/* value points at an int64_t */
	SETTING_NUMBER, /* value points at a double; may have a fraction */
	SETTING_BOOL,	/* value points at a gboolean */
	SETTING_LIST	/* value points at a char **, NULL-terminated */
} setting_type_t;

typedef struct {
	const char *name;
	setting_type_t type;
	void *value;
	const char *fallback; /* default, as in the file; NULL if required */
	int64_t min; /* of both kinds of numbers; unchecked if both are 0 */
	int64_t max;
} setting_t;

/* Loads a file; the table ends with an entry whose name is NULL. */
gboolean settings_load(const char *path, const setting_t *table,
		       GError **error);

/* Like settings_load() for a text; messages call the file name. */
gboolean settings_parse(const char *name, const char *text, gssize size,
			const setting_t *table, GError **error);

/* Returns the candidate with the least edit distance to word, or NULL. */
const char *settings_nearest(const char *word, const char *const *candidates);

#endif
