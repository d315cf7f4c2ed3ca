#ifndef REQUEST_TRACK_H
#define REQUEST_TRACK_H

/*
 * The course of one request at its entry, from admission to its one end.
 *
 *	admitted -> claiming -> placing -> handed over -> streaming -> ended
 *	                          ^  |          |             |
 *	                          |  v          v             |
 *	                        waiting (backoff) <-----------+
 *
 * Events and the time come in by track_on_*(); actions go out through the
 * callbacks of track_actions_t.  A shell does the I/O.  An action may not call
 * back into the track before it returns, but for track_attempt() and
 * track_next_piece(); answers of actions come as events later.
 *
 * Asserted in this code:
 *  - the request ends exactly once, and nothing is delivered after the end;
 *  - it ends as "answered" only when the whole answer was delivered;
 *  - it ends as "not run" only if each attempt that was handed over has been
 *    proved not to have run;
 *  - a non-idempotent request is handed over only under its claim, and never
 *    again unless the former attempt was proved not to have run.
 *
 * Each hand-over is an attempt, numbered from 1.  Events name their attempt;
 * those of any but the present attempt are dropped, because another run of the
 * engine may have chosen other tokens.
 *
 * A request whose claim another attempt holds is attached to that run: it looks
 * at the claim again until it has the answer, or until its own deadline.  If
 *the other is proved not to have run, this one runs.
 *
 * A caller that goes away ends an idempotent request.  A non-idempotent one
 * that was handed over runs on, so that its claim can be settled with the
 * answer.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "request/retry.h"

typedef struct track track_t;

/* How long a detached request may run on. */
#define TRACK_DETACHED_MAX ((ms_t)600 * 1000)

/* How long pieces may be missing after the end was stated. */
#define TRACK_MISSING_MAX ((ms_t)5 * 1000)

/* Pauses between two looks at the claim of a run that this one is attached to.
 */
#define TRACK_ATTACH_MIN ((ms_t)100)
#define TRACK_ATTACH_MAX ((ms_t)2000)

/* When to ask again for the answer of a run that outlasts the deadline. */
#define TRACK_ATTACH_RETRY_AFTER ((ms_t)2000)

/* Where to run a request. */
typedef struct {
	const char *endpoint;
	const char *owner; /* name of the instance */
} track_place_t;

typedef struct {
	outcome_t outcome;
	const GError *error; /* NULL if and only if OUTCOME_ANSWERED */
	ms_t retry_after;    /* a duration; 0 if it says nothing */
	int64_t pieces;	     /* delivered */
	int64_t attempts;    /* handed over */
} track_end_t;

typedef struct {
	/*
	 * Write the claim; answer by track_on_claim().  Another attempt was
	 * seen to hold it if is_known, so that it is read first.
	 */
	void (*claim)(void *ctx, gboolean is_known);
	/*
	 * Find a place, elsewhere than at the endpoint avoid if that is not
	 * NULL; answer by track_on_placed() or track_on_not_placed().
	 */
	void (*place)(void *ctx, const char *avoid);
	/*
	 * Hand the request to an owner; pieces before first are not wanted.
	 * FALSE if the order certainly never left this process.
	 */
	gboolean (*run)(void *ctx, const track_place_t *place, int64_t attempt,
			int64_t first);
	/* Tell the owner that this attempt is not wanted any more. */
	void (*cancel)(void *ctx, const track_place_t *place, int64_t attempt);
	/* The next piece of the answer, in order; also if the caller is gone.
	 */
	void (*deliver)(void *ctx, int64_t number, const char *data,
			size_t size);
	/* Forget what was delivered; only for answers that are not streamed. */
	void (*restart)(void *ctx);
	/* Call track_on_timer() at this time; replaces the former time. */
	void (*wake)(void *ctx, ms_t at);
	/*
	 * Record the outcome in the claim; once, before end, if claim was
	 * called and the claim is or may be ours (held, failed, or not answered
	 * yet).  For OUTCOME_NOT_RUN the claim is given up.
	 */
	void (*settle)(void *ctx, outcome_t outcome);
	/*
	 * The deadline passed while a non-idempotent request runs: tell the
	 * caller, with OUTCOME_UNKNOWN.  The end follows later, without a
	 * caller, and the answer goes on to be delivered for the claim.
	 */
	void (*detach)(void *ctx, const track_end_t *told);
	/* The one end and last action; it may destroy the track. */
	void (*end)(void *ctx, const track_end_t *end);
} track_actions_t;

typedef struct {
	gboolean is_idempotent;
	gboolean is_streamed; /* pieces reach the caller as they come */
	ms_t deadline;	      /* a point in time */
} track_options_t;

/* What became of a claim. */
typedef enum {
	TRACK_CLAIM_HELD,      /* ours */
	TRACK_CLAIM_RUNNING,   /* of another attempt, which has not ended */
	TRACK_CLAIM_ANSWERED,  /* ended before; the answer was kept */
	TRACK_CLAIM_NO_ANSWER, /* ended before as unknown, or answer not kept */
	TRACK_CLAIM_KEY_MISMATCH, /* the key belongs to a different request */
	TRACK_CLAIM_FAILED	  /* can't be written now */
} track_claim_t;

/* retry is shared by all requests of the entry; it and actions outlive it. */
track_t *track_create(const track_options_t *options,
		      const track_actions_t *actions, void *ctx,
		      retry_t *retry);
void track_destroy(track_t *track);

/* Begin; the request was admitted. */
void track_start(track_t *track, ms_t now);

/* answer is used for TRACK_CLAIM_ANSWERED only; retry_after if positive. */
void track_on_claim(track_t *track, ms_t now, track_claim_t claim,
		    const char *answer, size_t size, ms_t retry_after);

void track_on_placed(track_t *track, ms_t now, const track_place_t *place);
void track_on_not_placed(track_t *track, ms_t now, const GError *error,
			 ms_t retry_after);

/* The endpoint took the request; resumable tells whether it resumes streams. */
void track_on_started(track_t *track, ms_t now, int64_t attempt,
		      gboolean is_resumable);
void track_on_piece(track_t *track, ms_t now, int64_t attempt, int64_t number,
		    const char *data, size_t size);
/* The attempt ended well; the whole answer has this number of pieces. */
void track_on_done(track_t *track, ms_t now, int64_t attempt, int64_t count);

/*
 * Proved that the endpoint has not and will not run this attempt: the owner
 * says so.
 */
void track_on_not_run(track_t *track, ms_t now, int64_t attempt,
		      const GError *error, ms_t retry_after);
/* The attempt broke off; whether it ran is unknown. */
void track_on_failed(track_t *track, ms_t now, int64_t attempt,
		     const GError *error);
/* The connection to the owner closed after the request was sent. */
void track_on_owner_lost(track_t *track, ms_t now, const char *owner);

/* The caller went away. */
void track_on_caller_gone(track_t *track, ms_t now);
void track_on_timer(track_t *track, ms_t now);

/* The present attempt, 0 before the first. */
int64_t track_attempt(const track_t *track);

/* The first piece that was not delivered. */
int64_t track_next_piece(const track_t *track);

gboolean track_is_ended(const track_t *track);

/* The name of the present state, for logs. */
const char *track_state_name(const track_t *track);

#endif
