#ifndef CLAIM_ORPHAN_H
#define CLAIM_ORPHAN_H

/*
 * Orphans are non-idempotent runs whose entry died before they ended.
 *
 * The entry that claims a request also writes its outcome.  If the entry dies
 * first, the owner that saw the outcome writes it instead.  A repeated request
 * with the key then gets the answer instead of "unknown", or runs if it was
 * proved that the first did not.
 *
 * The owner changes a claim only if it is in state running or unknown and names
 * the same request, and only by compare-and-swap.  Such a request is not sent
 * to an endpoint again unless it was proved that it did not run, so the outcome
 * that the owner saw is final.  An entry that is still alive has written the
 * same outcome or finds it written.
 *
 * This module reads no clock.  Callbacks of the key-value service only store
 * the answer; orphans_tick() acts on it.
 */

#include "kv/kv.h"

typedef struct orphans orphans_t;

typedef struct {
	ms_t retry_interval;
	/*
	 * Limit of outcomes in memory.  Further ones are dropped, and their
	 * claims become unknown.
	 */
	size_t open_max;
	size_t calls_max; /* limit of concurrent kv calls */
	size_t answer_max;
	/* Requests a call of orphans_tick(). */
	void (*wake)(void *ctx);
	void *ctx;
} orphan_options_t;

/* Sets the production defaults; wake and ctx must be set separately. */
void orphan_options_init(orphan_options_t *options);

/* Call orphans_destroy() after kv_destroy(). */
orphans_t *orphans_create(kv_t *kv, const orphan_options_t *options);
void orphans_destroy(orphans_t *orphans);

/* A run that ended.  All strings are copied. */
typedef struct {
	outcome_t outcome; /* OUTCOME_ANSWERED or OUTCOME_NOT_RUN */
	const char *caller;
	const char *key;
	const char *request; /* identifier */
	const char *answer;  /* as in claim/stored_answer.h, or NULL */
	size_t answer_size;
} orphan_run_t;

/* Writes the outcome of an orphan to its claim. */
void orphans_add(orphans_t *orphans, const orphan_run_t *end);

/*
 * Performs the work that is due.  Returns the time of the next call, or
 * MS_NEVER if none is needed.
 */
ms_t orphans_tick(orphans_t *orphans, ms_t now);

/* Number of outcomes that are not written yet. */
size_t orphans_pending_count(const orphans_t *orphans);

#endif
