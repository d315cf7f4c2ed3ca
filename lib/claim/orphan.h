#ifndef CLAIM_ORPHAN_H
#define CLAIM_ORPHAN_H

/*
 * Orphans: non-idempotent runs that ended after their entry was gone.
 *
 * The entry that claims a request also writes how it ended.  If it dies first,
 * the owner that saw the end writes it in its place, so that whoever asks again
 * with the key gets the answer instead of "unknown", or runs it if it was
 * proved not to have run.
 *
 * A claim is only ever changed from running or unknown, by compare-and-swap,
 * and only if it names the same request.  Such a request is handed over no
 * second time unless the first was proved not to have run, so the owner's word
 * is the last.  An entry that is alive after all wrote the same end, or finds
 * it written.
 *
 * Decision code: the state of an orphan changes in orphans_tick() only.
 */

#include "kv/kv.h"

typedef struct orphans orphans_t;

typedef struct {
	ms_t retry_interval;
	size_t open_max;  /* beyond it, claims are left to become unknown */
	size_t calls_max; /* of the service, at once */
	size_t answer_max;
	/* Asks for orphans_tick() soon. */
	void (*wake)(void *ctx);
	void *ctx;
} orphan_options_t;

/* The values that the programs use; wake and ctx are left to the caller. */
void orphan_options_init(orphan_options_t *options);

/* Destroy after the kv_t. */
orphans_t *orphans_create(kv_t *kv, const orphan_options_t *options);
void orphans_destroy(orphans_t *orphans);

/* A run whose end was seen.  All is copied. */
typedef struct {
	outcome_t outcome; /* answered, or proved not to have run */
	const char *caller;
	const char *key;
	const char *request; /* identifier */
	const char *answer;  /* as in kept_answer.h, or NULL */
	size_t answer_size;
} orphan_run_t;

void orphans_add(orphans_t *orphans, const orphan_run_t *end);

/* Do what is due; returns the time of the next call, or MS_NEVER. */
ms_t orphans_tick(orphans_t *orphans, ms_t now);

/* Ends that are not yet written. */
size_t orphans_pending_count(const orphans_t *orphans);

#endif
