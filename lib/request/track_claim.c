#include "request/track_state.h"

/* Give the answer that an earlier attempt with this key had. */
static void replay(track_t *track, const char *answer, size_t size)
{
	track->is_claim_open = FALSE;
	assemble_add(track->assemble, 0, answer, size, NULL);
	assemble_finish(track->assemble, 1, NULL);
	track_finish(track, OUTCOME_ANSWERED, NULL, 0);
}

/* End without running, because of the claim of another attempt. */
static void refuse_claim(track_t *track, track_claim_t claim, ms_t retry_after)
{
	outcome_t outcome = OUTCOME_UNKNOWN;
	GError *error = NULL;

	track->is_claim_open = FALSE;
	switch (claim) {
	case TRACK_CLAIM_NO_ANSWER:
		error_set(&error, ERROR_INTERRUPTED,
			  "the request with this Idempotency-Key was handed "
			  "over and its answer is not known; check at the "
			  "service whether it took effect");
		break;
	default:
		outcome = OUTCOME_NOT_RUN;
		error_set(&error, ERROR_INVALID,
			  "this Idempotency-Key belongs to a different "
			  "request; use a new key for a new request");
		break;
	}
	track_finish(track, outcome, error, retry_after);
	g_clear_error(&error);
}

void track_fail_attached(track_t *track)
{
	GError *error = NULL;

	error_set(&error, ERROR_CONFLICT,
		  "a request with this Idempotency-Key still runs; ask again "
		  "with the same key for its answer");
	track_fail(track, error, TRACK_ATTACH_RETRY_AFTER);
	g_clear_error(&error);
}

static void fail_claim(track_t *track, ms_t retry_after)
{
	GError *error = NULL;

	error_set(&error, ERROR_UNAVAILABLE,
		  "the claim of a non-idempotent request can't be written now; "
		  "send the request again with the same Idempotency-Key after "
		  "the time in Retry-After");
	track_fail(track, error, retry_after);
	g_clear_error(&error);
}

void track_on_claim(track_t *track, ms_t now, track_claim_t claim,
		    const char *answer, size_t size, ms_t retry_after)
{
	if (track->state != TRACK_CLAIMING)
		return;
	if (claim == TRACK_CLAIM_RUNNING) {
		track_attach(track, now);
		return;
	}
	if (claim == TRACK_CLAIM_FAILED) {
		fail_claim(track, retry_after);
		return;
	}
	track->is_attached = FALSE;
	switch (claim) {
	case TRACK_CLAIM_HELD:
		track->is_claim_held = TRUE;
		track_ask_place(track);
		return;
	case TRACK_CLAIM_ANSWERED:
		replay(track, answer, size);
		return;
	default:
		refuse_claim(track, claim, retry_after);
		return;
	}
}
