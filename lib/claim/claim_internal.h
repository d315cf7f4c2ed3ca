#ifndef CLAIM_CLAIM_INTERNAL_H
#define CLAIM_CLAIM_INTERNAL_H

/*
 * State shared by the source files of claims: the state machine of a claim
 * (claim.c), answers to waiters (claim_answer.c), and the group commit
 * (claim_commit.c).
 */

#include <sys/queue.h>

#include "claim/claim.h"
#include "claim/claim_record.h"

/* What the next write of a claim records. */
typedef enum {
	WRITE_KIND_CLAIM,   /* the request runs */
	WRITE_KIND_OUTCOME, /* the outcome in record.state */
	WRITE_KIND_UNKNOWN  /* the runner of another process's claim is dead */
} claim_write_kind_t;

typedef enum {
	STEP_QUEUED,  /* waits for a write */
	STEP_WRITING, /* in a group in flight */
	STEP_WRITTEN,
	STEP_CONFLICT,
	STEP_READ_DUE,
	STEP_READING,
	STEP_READ,
	STEP_CHECKING, /* if the runner's lease exists */
	STEP_CHECKED,
	STEP_RUNNING
} claim_step_t;

typedef struct waiter {
	TAILQ_ENTRY(waiter) link;
	char *request;
	char *body_hash;
	claim_done_t done;
	void *ctx;
} waiter_t;

TAILQ_HEAD(waiter_list, waiter);

/* A claim_begin() call; one made in a callback is processed after the tick. */
typedef struct {
	char *key;
	char *request;
	char *body_hash;
	gboolean is_known;
	claim_done_t done;
	void *ctx;
} deferred_begin_t;

typedef struct claim {
	TAILQ_ENTRY(claim) link;       /* of all claims */
	TAILQ_ENTRY(claim) queue_link; /* of those to be written */
	claims_t *claims;
	char *key;
	claim_write_kind_t write_kind;
	claim_step_t step;
	claim_record_t record; /* as written by this process */
	claim_record_t seen;   /* as last read */
	gboolean is_seen;
	gboolean is_malformed;
	int64_t expected; /* revision on which the next write depends */
	int64_t revision; /* as last read or written */
	kv_status_t status;
	gboolean is_runner_alive;
	/* A write of the own claim may have taken or may take effect. */
	gboolean may_be_written;
	ms_t deadline;
	ms_t not_before; /* earliest time of the next step */
	struct waiter_list waiters;
} claim_t;

TAILQ_HEAD(claim_list, claim);

typedef struct group {
	TAILQ_ENTRY(group) link;
	claims_t *claims;
	GPtrArray *members; /* claim_t */
	gboolean is_answered;
	kv_status_t status;
	int64_t revision;
} group_t;

TAILQ_HEAD(group_list, group);

struct claims {
	kv_t *kv;
	lease_t *lease;
	GRand *rand;
	claim_options_t options;
	GHashTable *by_key;
	struct claim_list all;
	struct claim_list queue;
	struct group_list in_flight;
	size_t in_flight_count;
	ms_t commit_due_at;
	gboolean is_in_tick;
	GQueue deferred; /* deferred_begin_t */

	int64_t bucket; /* lease for new claims; 0 if there is none */
	ms_t bucket_end;
	gboolean is_bucket_grant_open; /* a kv_lease_grant() is outstanding */
	gboolean is_bucket_granted;
	int64_t granted_bucket;
	ms_t bucket_retry_at;
};

/* claim_answer.c */
void claim_add_waiter(claim_t *claim, const char *request,
		      const char *body_hash, claim_done_t done, void *ctx);
void claim_drop_waiters(claim_t *claim);

/*
 * Answers all waiters.  If the result is CLAIM_GRANTED, only the first gets it;
 * the others get CLAIM_RUNNING_ELSEWHERE.
 */
void claim_answer_record(claim_t *claim, claim_result_t result,
			 const claim_record_t *record);
void claim_answer_refused(claim_t *claim);
/* Answers waiters that were added after the claim was decided. */
void claim_answer_late_waiters(claim_t *claim);

/* claim_commit.c */

/* Queues the next write of the claim, at not_before or later. */
void claim_enqueue(claim_t *claim, ms_t not_before);

/* Handles the answers to transactions. */
void claim_commit_collect(claims_t *claims, ms_t now);

/* Sends queued writes in one transaction, if one may be sent now. */
void claim_commit_send(claims_t *claims, ms_t now);

/* Frees all groups in flight. */
void claim_commit_drop(claims_t *claims);

#endif
