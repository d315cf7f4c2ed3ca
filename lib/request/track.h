#ifndef REQUEST_TRACK_H
#define REQUEST_TRACK_H

/*
 * The state machine of one request at its entry, from admission to its end.
 *
 *	admitted -> claiming -> placing -> dispatched -> streaming -> ended
 *	                          ^  |          |             |
 *	                          |  v          v             |
 *	                        waiting (backoff) <-----------+
 *
 * Inputs are the events track_on_*(), each with the time; outputs are the
 * callbacks in track_actions_t, whose implementation does the I/O.  A callback
 * must not call into the track, except for track_attempt() and
 * track_next_piece(); its result is reported later, as an event.
 *
 * Invariants, checked by assertions:
 *  - the request ends exactly once, and nothing is delivered after the end;
 *  - it ends as OUTCOME_ANSWERED only if the complete answer was delivered;
 *  - it ends as OUTCOME_NOT_RUN only if each dispatched attempt is proved not
 *    to have run;
 *  - a non-idempotent request is dispatched only while it holds its claim, and
 *    again only if the previous attempt is proved not to have run.
 *
 * Each dispatch to an owner is an attempt, numbered from 1.  Events carry the
 * number of their attempt.  Events of earlier attempts are dropped, because
 * each run of the engine may sample different tokens.
 *
 * If another attempt holds the claim, the request attaches to that run: it
 * polls the claim until the answer is recorded or its own deadline passes.  If
 * the other attempt is proved not to have run, this request runs.
 *
 * If the caller disconnects, an idempotent request ends.  A non-idempotent one
 * that was dispatched is detached: it continues without a caller, so that the
 * answer can be recorded in its claim.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "request/retry.h"

typedef struct track track_t;

/* The time limit of a detached request, from when it was detached. */
#define TRACK_DETACHED_MAX ((ms_t)600 * 1000)

/* How long to wait for missing pieces after the number of pieces is known. */
#define TRACK_MISSING_MAX ((ms_t)5 * 1000)

/* Bounds of the interval at which an attached request polls the claim. */
#define TRACK_ATTACH_MIN ((ms_t)100)
#define TRACK_ATTACH_MAX ((ms_t)2000)

/* Retry-After if the deadline passes while another attempt still runs. */
#define TRACK_ATTACH_RETRY_AFTER ((ms_t)2000)

/* The endpoint that runs a request, and its owner. */
typedef struct {
	const char *endpoint;
	const char *owner; /* the instance that owns the endpoint */
} track_place_t;

typedef struct {
	outcome_t outcome;
	const GError *error; /* NULL if and only if OUTCOME_ANSWERED */
	ms_t retry_after;    /* a duration; 0 for none */
	int64_t pieces;	     /* delivered */
	int64_t attempts;    /* dispatched */
} track_end_t;

typedef struct {
	/*
	 * Write the claim; the result is reported by track_on_claim().  If
	 * is_known, another attempt was seen to hold it, so it is read first.
	 */
	void (*claim)(void *ctx, gboolean is_known);
	/*
	 * Choose an endpoint, other than avoid unless that is NULL; the result
	 * is reported by track_on_placed() or track_on_not_placed().
	 */
	void (*place)(void *ctx, const char *avoid);
	/*
	 * Dispatch the request to an owner, to be answered from the piece first
	 * on.  Returns FALSE if it is certain that nothing was sent.
	 */
	gboolean (*run)(void *ctx, const track_place_t *place, int64_t attempt,
			int64_t first);
	/* Tell the owner to cancel this attempt. */
	void (*cancel)(void *ctx, const track_place_t *place, int64_t attempt);
	/*
	 * Deliver the next piece of the answer, in order.  Also called for a
	 * detached request.
	 */
	void (*deliver)(void *ctx, int64_t number, const char *data,
			size_t size);
	/* Discard the delivered pieces; not called for streamed answers. */
	void (*restart)(void *ctx);
	/* Set the timer that calls track_on_timer(); replaces the last one. */
	void (*wake)(void *ctx, ms_t at);
	/*
	 * Record the outcome in the claim, or release the claim for
	 * OUTCOME_NOT_RUN.  Called once, before end, if claim was called and
	 * this request holds the claim or may hold it: it was written, the
	 * write failed, or the result is still pending.
	 */
	void (*settle)(void *ctx, outcome_t outcome);
	/*
	 * The deadline passed while a non-idempotent request runs: answer the
	 * caller with response, whose outcome is OUTCOME_UNKNOWN.  The request
	 * continues detached: pieces are delivered for the claim, then end is
	 * called.
	 */
	void (*detach)(void *ctx, const track_end_t *response);
	/* The request has ended.  The last callback; may destroy the track. */
	void (*end)(void *ctx, const track_end_t *end);
} track_actions_t;

typedef struct {
	gboolean is_idempotent;
	gboolean is_streamed; /* each piece is sent on at once */
	ms_t deadline;	      /* a point in time */
} track_options_t;

/* The result of writing a claim. */
typedef enum {
	TRACK_CLAIM_HELD,     /* held by this request */
	TRACK_CLAIM_RUNNING,  /* held by another attempt, which has not ended */
	TRACK_CLAIM_ANSWERED, /* an earlier attempt ended with this answer */
	TRACK_CLAIM_NO_ANSWER, /* an earlier attempt ended; no answer is known
				*/
	TRACK_CLAIM_KEY_MISMATCH, /* the key belongs to a different request */
	TRACK_CLAIM_FAILED	  /* the claim could not be written */
} track_claim_t;

/*
 * The request is admitted; track_start() starts it.  retry is shared by all
 * requests of the entry.  retry and ctx must remain valid until
 * track_destroy().
 */
track_t *track_create(const track_options_t *options,
		      const track_actions_t *actions, void *ctx,
		      retry_t *retry);
void track_destroy(track_t *track);

void track_start(track_t *track, ms_t now);

/*
 * The result of the action claim.  answer and size are used for
 * TRACK_CLAIM_ANSWERED only; retry_after is used if it is positive.
 */
void track_on_claim(track_t *track, ms_t now, track_claim_t claim,
		    const char *answer, size_t size, ms_t retry_after);

void track_on_placed(track_t *track, ms_t now, const track_place_t *place);
void track_on_not_placed(track_t *track, ms_t now, const GError *error,
			 ms_t retry_after);

/* The endpoint has started the request, and can resume it if is_resumable. */
void track_on_started(track_t *track, ms_t now, int64_t attempt,
		      gboolean is_resumable);
void track_on_piece(track_t *track, ms_t now, int64_t attempt, int64_t number,
		    const char *data, size_t size);
/* The attempt succeeded; the complete answer has this number of pieces. */
void track_on_done(track_t *track, ms_t now, int64_t attempt, int64_t count);

/* The owner has reported that this attempt has not run and will not run. */
void track_on_not_run(track_t *track, ms_t now, int64_t attempt,
		      const GError *error, ms_t retry_after);
/* The attempt failed; whether it ran is unknown. */
void track_on_failed(track_t *track, ms_t now, int64_t attempt,
		     const GError *error);
/* The connection to the owner closed after the request was sent. */
void track_on_owner_lost(track_t *track, ms_t now, const char *owner);

/* The caller has disconnected. */
void track_on_caller_gone(track_t *track, ms_t now);
void track_on_timer(track_t *track, ms_t now);

/* The number of the current attempt, 0 before the first. */
int64_t track_attempt(const track_t *track);

/* The number of the first piece that was not delivered. */
int64_t track_next_piece(const track_t *track);

gboolean track_is_ended(const track_t *track);

/* The name of the current state, for logs. */
const char *track_state_name(const track_t *track);

#endif
