#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

/*
 * What is wrong with a valid document: entries that can never match a request,
 * and limits that contradict each other.  Also what a difference between two
 * documents does to callers.
 */

#include "config/diff.h"
#include "config/document.h"

typedef enum {
	FINDING_NEVER_MATCHES, /* no request ever uses the entry */
	FINDING_CONTRADICTION  /* a limit that others keep from being reached */
} finding_kind_t;

typedef struct {
	finding_kind_t kind;
	char *path; /* as in diff.h */
	char *cause;
	char *remedy;
} finding_t;

/*
 * text: that of the document, which must be valid.  The result owns its
 * finding_t elements.
 */
GPtrArray *check_document(const document_t *document, const char *text,
			  size_t size);

/* Returns "never matches" or "contradiction". */
const char *finding_kind_name(finding_kind_t kind);

/* What a difference does to callers, the worst first. */
typedef enum {
	IMPACT_REFUSES, /* requests that were served may be refused */
	IMPACT_ALTERS,	/* requests are served in another way */
	IMPACT_ADDS,	/* requests that were refused may be served */
	IMPACT_NONE
} impact_t;

impact_t difference_impact(const difference_t *difference);

/* Returns "may refuse callers" and the like. */
const char *impact_name(impact_t impact);

/* Sorts by impact, then by path. */
void check_sort_differences(GPtrArray *differences);

#endif
