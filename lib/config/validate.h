#ifndef CONFIG_VALIDATE_H
#define CONFIG_VALIDATE_H

/*
 * Validation of a document that reports all of its faults.
 *
 * A fault has a JSON path, such as "endpoints[3].port", a cause and a remedy.
 * Malformed JSON yields a single fault with a line number and an empty path.
 */

#include <glib.h>

#include "config/document.h"

/* Further faults are counted but not listed. */
#define FAULTS_MAX 500

typedef struct {
	char *path;
	int line; /* from 1; 0 if path gives the location */
	char *cause;
	char *remedy;
} fault_t;

typedef struct {
	GPtrArray *list; /* of fault_t */
	size_t count;	 /* of all faults, including unlisted ones */
} faults_t;

faults_t *faults_create(void);
void faults_destroy(faults_t *faults);

/* Takes ownership of cause and remedy; path is copied. */
void faults_add(faults_t *faults, const char *path, int line, char *cause,
		char *remedy);

/*
 * Parse a text and add every fault to faults, which must not be NULL.  Returns
 * NULL if there was any.
 */
document_t *document_validate(const char *text, size_t size, int64_t generation,
			      faults_t *faults);

#endif
