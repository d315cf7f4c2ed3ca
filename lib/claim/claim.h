#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

/*
 * Claims ensure that a non-idempotent request runs at most once.
 *
 * Before such a request is sent to an endpoint, the key `hc/claim/CALLER/KEY`
 * is created in the key-value service, provided that it does not exist.  The
 * request may run only after CLAIM_GRANTED.  A repeated request with the same
 * key, on any instance, gets the outcome of that single run.
 *
 * Claims are group-committed: one transaction writes many of them, so the rate
 * of transactions depends on commit_interval and not on the request rate.  If a
 * transaction fails with a conflict, its group is split.  If the result of a
 * write is unknown, the claims are read back; a nonce in each claim identifies
 * its writer.
 *
 * If it is proved that a request was not run, its claim is marked "not_run" and
 * the key can be claimed again.  A claim whose runner died is marked "unknown"
 * by compare-and-swap once the lease of the runner no longer exists; the
 * request never runs again.
 *
 * Claims are attached to a bucket, a lease that is shared by all claims written
 * within bucket_length, and are deleted when it expires.
 *
 * All callbacks are called from claim_tick(); they may call claim_begin() and
 * claim_finish().  This module reads no clock.
 */

#include "base/error.h"
#include "kv/kv.h"
#include "own/lease.h"

typedef struct claims claims_t;

typedef enum {
	CLAIM_GRANTED,		 /* run the request, then claim_finish() */
	CLAIM_RUNNING_ELSEWHERE, /* retry with is_known to get the outcome */
	CLAIM_DONE,		 /* the request ended; outcome is set */
	CLAIM_REFUSED,		 /* not run; retry after retry_after */
	CLAIM_MISMATCH		 /* the key was used with another body */
} claim_result_t;

typedef struct {
	claim_result_t result;
	/* For CLAIM_RUNNING_ELSEWHERE and CLAIM_DONE. */
	const char *request;  /* the request that runs or ran */
	const char *instance; /* the instance that runs or ran it */
	/* For CLAIM_DONE. */
	outcome_t outcome;  /* answered or unknown */
	const char *answer; /* NULL if none was stored */
	size_t answer_size;
	/* For CLAIM_REFUSED. */
	ms_t retry_after;
} claim_answer_t;

/* The answer is valid only during the call. */
typedef void (*claim_done_t)(void *ctx, const claim_answer_t *answer);

typedef struct {
	ms_t commit_interval; /* minimum time between transactions */
	ms_t wait_max;	      /* a claim undecided for so long is refused */
	ms_t retry_interval;
	ms_t retry_after;
	size_t open_max;    /* limit of claims in memory, running included */
	size_t answer_max;  /* longer answers are not stored; bytes */
	ms_t bucket_length; /* how long claims are added to a bucket */
	ms_t retention;	    /* minimum lifetime of a claim */
	/* Requests a call of claim_tick(). */
	void (*wake)(void *ctx);
	void *ctx;
} claim_options_t;

/* Sets the production defaults; wake and ctx must be set separately. */
void claim_options_init(claim_options_t *options);

/*
 * lease is the lease of the process that runs the requests.  rand generates the
 * nonces and is not owned.  Call claims_destroy() after kv_destroy(), so that
 * no kv callback can arrive later.
 */
claims_t *claims_create(kv_t *kv, lease_t *lease, GRand *rand,
			const claim_options_t *options);
void claims_destroy(claims_t *claims);

/*
 * Sets the minimum time between transactions.  It has to grow with the number
 * of instances to bound the load of the key-value service.
 */
void claims_set_commit_interval(claims_t *claims, ms_t interval);

/* A request to run under a key. */
typedef struct {
	const char *caller;
	const char *key;
	const char *request; /* identifier */
	uint64_t body_hash;
	/*
	 * The key probably exists: read it before writing, because a conflict
	 * would split the whole group.
	 */
	gboolean is_known;
} claim_request_t;

/* Claims the key.  The request is copied. */
void claim_begin(claims_t *claims, ms_t now, const claim_request_t *request,
		 claim_done_t done, void *ctx);

/*
 * Records the outcome of a granted claim.  Pass OUTCOME_NOT_RUN only if it is
 * proved that no endpoint has run or will run the request.  The answer is
 * copied.
 */
void claim_finish(claims_t *claims, ms_t now, const char *caller,
		  const char *key, outcome_t outcome, const char *answer,
		  size_t answer_size);

/* Performs the work that is due.  Returns the time of the next call. */
ms_t claim_tick(claims_t *claims, ms_t now);

/*
 * Number of claims in memory: undecided, running, or with an outcome that is
 * not written yet.
 */
size_t claims_pending_count(const claims_t *claims);

#endif
