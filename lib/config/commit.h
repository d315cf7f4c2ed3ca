#ifndef CONFIG_COMMIT_H
#define CONFIG_COMMIT_H

/*
 * State machine of one commit: a sequence of calls to the key-value service,
 * one outstanding at a time, each retried until its outcome is known.  store.h
 * describes the possible results.
 */

#include "config/store.h"

typedef struct commit commit_t;

/* Called once when the commit has ended; the callee destroys the commit. */
typedef void (*commit_end_t)(void *ctx, commit_t *commit, const GError *error);

commit_t *commit_start(kv_t *kv, int64_t kept, const store_change_t *change,
		       ms_t now, commit_end_t end, void *ctx);
void commit_destroy(commit_t *commit);

/* Retry a failed step once its delay has passed. */
void commit_tick(commit_t *commit, ms_t now);

/* Returns the text to be committed. */
const char *commit_text(const commit_t *commit, size_t *size);

/* Fill in the result of an accepted commit. */
void commit_fill_result(const commit_t *commit, store_result_t *result);

#endif
