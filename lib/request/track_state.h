#ifndef REQUEST_TRACK_STATE_H
#define REQUEST_TRACK_STATE_H

/*
 * Private to track.c and track_claim.c.
 */

#include "request/assemble.h"
#include "request/track.h"

typedef enum {
	TRACK_ADMITTED,
	TRACK_CLAIMING,
	TRACK_PLACING,
	TRACK_DISPATCHED,
	TRACK_STREAMING,
	TRACK_WAITING, /* for the end of a backoff */
	TRACK_ENDED
} track_state_t;

struct track {
	track_options_t options;
	track_actions_t actions;
	void *ctx;
	retry_t *retry;
	assemble_t *assemble;
	track_state_t state;
	char *endpoint; /* of the current or last attempt */
	char *owner;
	int64_t placements;  /* number of place actions */
	int64_t attempt;     /* number of dispatches */
	int64_t first_piece; /* first piece of the current attempt */
	ms_t wait_until;     /* end of the backoff, or next poll of the claim */
	ms_t missing_until;  /* deadline of missing pieces */
	ms_t detached_until;
	/* This request holds the claim, or may hold it. */
	gboolean is_claim_open;
	gboolean is_claim_held;
	/* Another attempt holds the claim and has not ended. */
	gboolean is_attached;
	ms_t attach_interval; /* current interval of polling the claim */
	/* The current attempt was dispatched and has not ended. */
	gboolean is_attempt_open;
	/* An earlier attempt may have run. */
	gboolean is_earlier_uncertain;
	gboolean is_resumable;
	/* The request continues without a caller. */
	gboolean is_detached;
};

/* End the request.  The track may have been destroyed on return. */
void track_finish(track_t *track, outcome_t outcome, const GError *error,
		  ms_t retry_after);

/*
 * Like track_finish(), with OUTCOME_NOT_RUN if that is proved and
 * OUTCOME_UNKNOWN otherwise.
 */
void track_fail(track_t *track, const GError *error, ms_t retry_after);

/* Like track_fail(), because a running attempt holds the claim. */
void track_fail_attached(track_t *track);

/* Write the claim, or poll the claim of another attempt. */
void track_request_claim(track_t *track);

/* Attach to the attempt that holds the claim: poll it after an interval. */
void track_attach(track_t *track, ms_t now);

void track_request_placement(track_t *track);

#endif
