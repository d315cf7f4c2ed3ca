#ifndef ROUTE_ORGANISATIONS_H
#define ROUTE_ORGANISATIONS_H

/*
 * The organisations (tenants) of one version of the operators' configuration,
 * and the keys by which callers authenticate.
 *
 * The text of a key is not kept, only its HMAC under a random key of this list:
 * no key can appear in an error, a log line or a status, and the time of a
 * look-up does not depend on how much of a key matches.
 *
 * A list is immutable once its route table is sealed; the table owns it.
 */

#include <glib.h>
#include <stdint.h>

/* Longest key in bytes. */
#define ORGANISATION_KEY_BYTES 200

/* The priorities are 0 (the highest) to this one. */
#define ORGANISATION_PRIORITY_MAX 9

typedef struct {
	char *name;
	int priority;	       /* -1: the route's applies */
	gboolean is_in_tokens; /* rate and burst count tokens, not requests */
	int64_t plain_tokens;  /* of a request without a token count */
	double rate;	       /* a second; 0 for no limit */
	double burst;
} organisation_t;

typedef struct organisations organisations_t;

organisations_t *organisations_create(void);
void organisations_destroy(organisations_t *organisations);

/*
 * Adds an organisation without keys and limits; the list owns it.  Returns NULL
 * if the name is empty, not printable ASCII, or taken.
 */
organisation_t *organisations_add(organisations_t *organisations,
				  const char *name);

/*
 * Adds a key of an organisation of this list.  Returns FALSE if the key is
 * empty, too long, not printable ASCII, or already one of any organisation.
 */
gboolean organisations_add_key(organisations_t *organisations,
			       organisation_t *organisation, const char *key);

/* Returns the organisation that has this key, or NULL. */
const organisation_t *
organisations_find_key(const organisations_t *organisations, const char *key);

/* Returns the organisation with this name, or NULL. */
const organisation_t *organisations_find(const organisations_t *organisations,
					 const char *name);

/* Calls a function for each organisation, in the order of the document. */
void organisations_foreach(const organisations_t *organisations,
			   void (*each)(void *ctx,
					const organisation_t *organisation),
			   void *ctx);

#endif
