#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

/*
 * Claims: a non-idempotent request runs at most once.
 *
 * Before such a request is handed to an endpoint, the key `hc/claim/CALLER/KEY`
 * is created in the key-value service, on condition that it is absent.  Without
 * CLAIM_GRANTED the request must not run.  Whoever asks again with the same
 * key, at whichever instance, gets the fate of the one run.
 *
 * Claims are group-committed: one transaction holds many, so that the rate of
 * writes grows with time and not with requests.  A conflict of one claim splits
 * its transaction.  A write whose end is unknown is resolved by reading back;
 * each claim has a nonce by which its writer knows it.
 *
 * A run that was proved not to have happened is written as not run, and the key
 * can be claimed again.  A claim whose runner died is marked unknown by
 * compare-and-swap once the runner's lease is gone; it never runs again.
 *
 * Claims live as long as a bucket: a lease that claims of some minutes share.
 *
 * Decision code: all callbacks are called from claim_tick() only; they may call
 * claim_begin() and claim_finish().
 */

#include "base/error.h"
#include "kv/kv.h"
#include "own/lease.h"

typedef struct claims claims_t;

typedef enum {
	CLAIM_GRANTED,		 /* run it, then claim_finish() */
	CLAIM_RUNNING_ELSEWHERE, /* ask again, with is_known, for its answer */
	CLAIM_DONE,		 /* it ended before: here is its outcome */
	CLAIM_REFUSED,		 /* not run; come back */
	CLAIM_MISMATCH		 /* the key was used for another body */
} claim_result_t;

typedef struct {
	claim_result_t result;
	const char *request;  /* RUNNING_ELSEWHERE, DONE: who ran it */
	const char *instance; /* the same */
	outcome_t outcome;    /* DONE: answered or unknown */
	const char *answer;   /* DONE: NULL if none was stored */
	size_t answer_size;
	ms_t retry_after; /* REFUSED */
} claim_answer_t;

/* The answer is valid during the call. */
typedef void (*claim_done_t)(void *ctx, const claim_answer_t *answer);

typedef struct {
	ms_t commit_interval; /* least time between transactions */
	ms_t wait_max;	      /* after that, begin ends as refused */
	ms_t retry_interval;
	ms_t retry_after;
	size_t open_max;   /* claims held in memory, running ones too */
	size_t answer_max; /* a longer answer is not stored */
	ms_t bucket_length;
	ms_t keep; /* how long a claim lives at least */
	/* Asks for claim_tick() soon. */
	void (*wake)(void *ctx);
	void *ctx;
} claim_options_t;

/* The values that the programs use; wake and ctx are left to the caller. */
void claim_options_init(claim_options_t *options);

/*
 * The lease is that of the process that runs the requests.  rand makes nonces;
 * it is kept by the caller.  Destroy after the kv_t.
 */
claims_t *claims_create(kv_t *kv, lease_t *lease, GRand *rand,
			const claim_options_t *options);
void claims_destroy(claims_t *claims);

/* Claims have to cost the service less each, the more instances there are. */
void claims_set_commit_interval(claims_t *claims, ms_t interval);

/* What is to run under which key. */
typedef struct {
	const char *caller;
	const char *key;
	const char *request; /* identifier */
	uint64_t body_hash;
	/*
	 * Someone held the key a moment ago: read it before trying to write, as
	 * a write would only cost its group a conflict.
	 */
	gboolean is_known;
} claim_request_t;

/* The request is copied. */
void claim_begin(claims_t *claims, ms_t now, const claim_request_t *request,
		 claim_done_t done, void *ctx);

/*
 * The run of a granted claim ended.  OUTCOME_NOT_RUN only if it is proved that
 * no endpoint has run the request or ever will.  The answer is copied.
 */
void claim_finish(claims_t *claims, ms_t now, const char *caller,
		  const char *key, outcome_t outcome, const char *answer,
		  size_t answer_size);

/* Do what is due; returns the time of the next call. */
ms_t claim_tick(claims_t *claims, ms_t now);

/* Claims in memory: waiting, running, or with an end not yet written. */
size_t claims_pending_count(const claims_t *claims);

#endif
