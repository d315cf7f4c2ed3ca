#ifndef CLAIM_CLAIM_RECORD_H
#define CLAIM_CLAIM_RECORD_H

/* The value of a claim in the key-value service, one JSON object. */

#include <glib.h>

#include "base/error.h"

typedef enum {
	CLAIM_RUNNING,
	CLAIM_ANSWERED,
	CLAIM_NOT_RUN, /* the key can be claimed again */
	CLAIM_UNKNOWN, /* the request never runs again */
	CLAIM_STATE_COUNT
} claim_state_t;

typedef struct {
	claim_state_t state;
	char *nonce; /* identifies the writer of the claim */
	char *request;
	char *instance;
	int64_t incarnation; /* lease of the runner */
	char *body_hash;
	char *answer; /* NULL if none was stored */
	size_t answer_size;
} claim_record_t;

void claim_record_clear(claim_record_t *record);

/* The JSON text; free with g_free(). */
char *claim_record_render(const claim_record_t *record);

/* Returns FALSE with ERROR_PROTOCOL if the text is not a valid record. */
gboolean claim_record_parse(const char *text, size_t size,
			    claim_record_t *record, GError **error);

/* The key of a claim; free with g_free(). */
char *claim_record_key(const char *caller, const char *key);

#endif
