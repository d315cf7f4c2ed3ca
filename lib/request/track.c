#include "request/track.h"

#include <string.h>

#include "request/track_state.h"

static void on_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	track_t *track = ctx;

	g_assert(track->state == TRACK_STREAMING ||
		 track->state == TRACK_CLAIMING);
	track->actions.deliver(track->ctx, number, data, size);
}

track_t *track_create(const track_options_t *options,
		      const track_actions_t *actions, void *ctx, retry_t *retry)
{
	track_t *track = g_new0(track_t, 1);

	track->options = *options;
	track->actions = *actions;
	track->ctx = ctx;
	track->retry = retry;
	track->assemble = assemble_create(on_deliver, track);
	track->wait_until = MS_NEVER;
	track->missing_until = MS_NEVER;
	return track;
}

void track_destroy(track_t *track)
{
	if (!track)
		return;
	assemble_destroy(track->assemble);
	g_free(track->endpoint);
	g_free(track->owner);
	g_free(track);
}

/* The time at which something has to happen without an event. */
static void wake_next(track_t *track)
{
	ms_t at = track->is_detached ? track->detached_until
				     : track->options.deadline;

	at = MIN(at, track->wait_until);
	at = MIN(at, track->missing_until);
	track->actions.wake(track->ctx, at);
}

static gboolean may_have_run(const track_t *track)
{
	return track->is_open || track->is_uncertain || track->is_attached;
}

static void settle(track_t *track, outcome_t outcome)
{
	if (!track->is_claim_open)
		return;
	track->is_claim_open = FALSE;
	track->actions.settle(track->ctx, outcome);
}

void track_finish(track_t *track, outcome_t outcome, const GError *error,
		  ms_t retry_after)
{
	track_end_t end = {.outcome = outcome,
			   .error = error,
			   .retry_after = retry_after,
			   .pieces = assemble_next(track->assemble),
			   .attempts = track->attempt};

	g_assert(track->state != TRACK_ENDED);
	g_assert((outcome == OUTCOME_ANSWERED) == (error == NULL));
	g_assert(outcome != OUTCOME_ANSWERED ||
		 assemble_is_whole(track->assemble));
	g_assert(outcome != OUTCOME_NOT_RUN || !may_have_run(track));
	track->state = TRACK_ENDED;
	settle(track, outcome);
	track->actions.end(track->ctx, &end);
}

void track_fail(track_t *track, const GError *error, ms_t retry_after)
{
	track_finish(track,
		     may_have_run(track) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		     error, retry_after);
}

static void cancel_attempt(track_t *track)
{
	track_place_t place = {track->endpoint, track->owner};

	if (track->is_open)
		track->actions.cancel(track->ctx, &place, track->attempt);
}

void track_ask_place(track_t *track)
{
	track->state = TRACK_PLACING;
	track->tries++;
	track->wait_until = MS_NEVER;
	wake_next(track);
	track->actions.place(track->ctx, track->endpoint);
}

void track_start(track_t *track, ms_t now)
{
	g_assert(track->state == TRACK_ADMITTED);
	retry_count_request(track->retry);
	if (track->options.is_idempotent) {
		track_ask_place(track);
		return;
	}
	track_ask_claim(track);
}

void track_ask_claim(track_t *track)
{
	track->state = TRACK_CLAIMING;
	track->is_claim_open = TRUE;
	track->wait_until = MS_NEVER;
	wake_next(track);
	track->actions.claim(track->ctx, track->is_attached);
}

void track_attach(track_t *track, ms_t now)
{
	ms_t pause = 2 * track->attach_pause;

	track->is_claim_open = FALSE;
	track->is_attached = TRUE;
	track->attach_pause = CLAMP(pause, TRACK_ATTACH_MIN, TRACK_ATTACH_MAX);
	track->wait_until = now + track->attach_pause;
	wake_next(track);
}

static void begin_backoff(track_t *track, ms_t now, ms_t delay,
			  gboolean is_resumed)
{
	track->state = TRACK_WAITING;
	track->wait_until = now + delay;
	track->missing_until = MS_NEVER;
	if (is_resumed || !assemble_next(track->assemble)) {
		assemble_rewind(track->assemble);
	} else {
		g_assert(!track->options.is_streamed);
		assemble_restart(track->assemble);
		track->actions.restart(track->ctx);
	}
	wake_next(track);
}

/* Try again if that is allowed, else end. */
static void retry_or_fail(track_t *track, ms_t now, outcome_t outcome,
			  const GError *error, ms_t retry_after)
{
	gboolean has_pieces = assemble_next(track->assemble) > 0;
	retry_attempt_t failed = {
		.outcome = outcome,
		.kind = error_kind(error),
		.is_idempotent = track->options.is_idempotent,
		.is_delivered = has_pieces && (track->options.is_streamed ||
					       track->is_resumable),
		.is_resumable = track->is_resumable,
		.attempts = track->tries,
		.now = now,
		.deadline = track->options.deadline,
	};
	retry_verdict_t verdict;
	ms_t delay = 0;

	if (track->is_detached) {
		track_fail(track, error, retry_after);
		return;
	}
	verdict = retry_decide(track->retry, &failed, &delay);
	/* A stream can be resumed at one endpoint only: wait for that one. */
	if (verdict == RETRY_RESUME &&
	    retry_after < track->options.deadline - now)
		delay = MAX(delay, retry_after);
	if (verdict == RETRY_AGAIN || verdict == RETRY_RESUME)
		begin_backoff(track, now, delay, verdict == RETRY_RESUME);
	else
		track_fail(track, error, retry_after);
}

/* The order to run never left this process. */
static void fail_unsent(track_t *track, ms_t now)
{
	GError *error = NULL;

	track->is_open = FALSE;
	error_set(&error, ERROR_UNAVAILABLE,
		  "there is no connection to the owner %s of endpoint %s; send "
		  "the request again",
		  track->owner, track->endpoint);
	retry_or_fail(track, now, OUTCOME_NOT_RUN, error, 0);
	g_clear_error(&error);
}

void track_on_placed(track_t *track, ms_t now, const track_place_t *place)
{
	if (track->state != TRACK_PLACING)
		return;
	g_assert(!track->is_open);
	g_assert(track->options.is_idempotent ||
		 (track->is_claim_held && track->is_claim_open &&
		  !track->is_uncertain));
	g_free(track->endpoint);
	g_free(track->owner);
	track->endpoint = g_strdup(place->endpoint);
	track->owner = g_strdup(place->owner);
	track->state = TRACK_HANDED_OVER;
	track->attempt++;
	track->is_open = TRUE;
	track->first = assemble_next(track->assemble);
	place = &(track_place_t){track->endpoint, track->owner};
	if (!track->actions.run(track->ctx, place, track->attempt,
				track->first))
		fail_unsent(track, now);
}

void track_on_not_placed(track_t *track, ms_t now, const GError *error,
			 ms_t retry_after)
{
	if (track->state != TRACK_PLACING)
		return;
	/* The home has weighed all places: another try would find no other. */
	if (error_kind(error) == ERROR_OVERLOADED)
		track_fail(track, error, retry_after);
	else
		retry_or_fail(track, now, OUTCOME_NOT_RUN, error, retry_after);
}

static gboolean is_present(const track_t *track, int64_t attempt)
{
	return track->is_open && track->attempt == attempt &&
	       (track->state == TRACK_HANDED_OVER ||
		track->state == TRACK_STREAMING);
}

/* The present attempt ended, and it may have run. */
static void break_off(track_t *track, ms_t now, const GError *error)
{
	track->is_open = FALSE;
	track->is_uncertain = TRUE;
	retry_or_fail(track, now, OUTCOME_UNKNOWN, error, 0);
}

/* A peer broke the protocol: drop the attempt. */
static void break_protocol(track_t *track, ms_t now, const GError *error)
{
	cancel_attempt(track);
	break_off(track, now, error);
}

void track_on_started(track_t *track, ms_t now, int64_t attempt,
		      gboolean is_resumable)
{
	GError *error = NULL;

	if (!is_present(track, attempt) || track->state != TRACK_HANDED_OVER)
		return;
	track->state = TRACK_STREAMING;
	track->is_resumable = is_resumable;
	if (is_resumable || !track->first)
		return;
	/* It would begin anew, perhaps with other tokens. */
	error_set(&error, ERROR_INTERRUPTED,
		  "the answer broke off, and the next endpoint can't resume "
		  "it; send the request again");
	break_protocol(track, now, error);
	g_clear_error(&error);
}

/* End if all is there; the track may be gone after this. */
static void check_whole(track_t *track)
{
	if (!assemble_is_whole(track->assemble))
		return;
	track->is_open = FALSE;
	track_finish(track, OUTCOME_ANSWERED, NULL, 0);
}

/* Note that the answer begins; a resumed one has to be announced first. */
static gboolean begin_streaming(track_t *track, GError **error)
{
	if (track->state == TRACK_HANDED_OVER && track->first > 0) {
		error_set(error, ERROR_PROTOCOL,
			  "a resumed answer came without its start; check the "
			  "version of the owner");
		return FALSE;
	}
	/* Without a start nothing is known of the engine. */
	if (track->state == TRACK_HANDED_OVER)
		track->is_resumable = FALSE;
	track->state = TRACK_STREAMING;
	return TRUE;
}

void track_on_piece(track_t *track, ms_t now, int64_t attempt, int64_t number,
		    const char *data, size_t size)
{
	GError *error = NULL;

	if (!is_present(track, attempt))
		return;
	if (!begin_streaming(track, &error) ||
	    assemble_add(track->assemble, number, data, size, &error) ==
		    ASSEMBLE_BROKEN)
		break_protocol(track, now, error);
	else
		check_whole(track);
	g_clear_error(&error);
}

void track_on_done(track_t *track, ms_t now, int64_t attempt, int64_t count)
{
	GError *error = NULL;

	if (!is_present(track, attempt))
		return;
	if (!begin_streaming(track, &error) ||
	    !assemble_finish(track->assemble, count, &error)) {
		break_protocol(track, now, error);
		g_clear_error(&error);
		return;
	}
	if (!assemble_is_whole(track->assemble)) {
		track->missing_until = now + TRACK_MISSING_MAX;
		wake_next(track);
	}
	check_whole(track);
}

void track_on_not_run(track_t *track, ms_t now, int64_t attempt,
		      const GError *error, ms_t retry_after)
{
	GError *broken = NULL;

	if (!is_present(track, attempt))
		return;
	if (assemble_next(track->assemble) > track->first) {
		error_set(&broken, ERROR_PROTOCOL,
			  "an answer was denied after parts of it came; check "
			  "the version of the owner");
		break_protocol(track, now, broken);
		g_clear_error(&broken);
		return;
	}
	track->is_open = FALSE;
	retry_or_fail(track, now, OUTCOME_NOT_RUN, error, retry_after);
}

void track_on_failed(track_t *track, ms_t now, int64_t attempt,
		     const GError *error)
{
	if (is_present(track, attempt))
		break_off(track, now, error);
}

void track_on_owner_lost(track_t *track, ms_t now, const char *owner)
{
	GError *error = NULL;

	if (!is_present(track, track->attempt) || strcmp(track->owner, owner))
		return;
	error_set(&error, ERROR_INTERRUPTED,
		  "the owner %s of endpoint %s was lost while the request ran; "
		  "send it again, with its Idempotency-Key if it has one",
		  owner, track->endpoint);
	break_off(track, now, error);
	g_clear_error(&error);
}

static gboolean must_run_on(const track_t *track)
{
	return !track->options.is_idempotent && track->is_open;
}

static void detach(track_t *track, ms_t now)
{
	track->is_detached = TRUE;
	track->detached_until = now + TRACK_DETACHED_MAX;
	wake_next(track);
}

void track_on_caller_gone(track_t *track, ms_t now)
{
	GError *error = NULL;

	if (track->state == TRACK_ENDED || track->is_detached)
		return;
	if (must_run_on(track)) {
		detach(track, now);
		return;
	}
	error_set(&error, ERROR_CANCELLED,
		  "the caller went away before the answer was whole; keep the "
		  "connection open");
	cancel_attempt(track);
	track_fail(track, error, 0);
	g_clear_error(&error);
}

static void pass_deadline(track_t *track, ms_t now)
{
	GError *error = NULL;
	track_end_t told = {.outcome = OUTCOME_UNKNOWN,
			    .pieces = assemble_next(track->assemble),
			    .attempts = track->attempt};

	error_set(&error, ERROR_TIMEOUT,
		  "no whole answer came in the time allowed; allow more by "
		  "X-Deadline-Ms, or ask again with the Idempotency-Key if the "
		  "request has one");
	if (!track->is_detached && must_run_on(track)) {
		told.error = error;
		detach(track, now);
		track->actions.detach(track->ctx, &told);
	} else {
		cancel_attempt(track);
		track_fail(track, error, 0);
	}
	g_clear_error(&error);
}

static void miss_pieces(track_t *track, ms_t now)
{
	GError *error = NULL;

	error_set(&error, ERROR_PROTOCOL,
		  "pieces are missing from an answer that was said to be "
		  "whole; send the request again");
	break_protocol(track, now, error);
	g_clear_error(&error);
}

void track_on_timer(track_t *track, ms_t now)
{
	ms_t deadline = track->is_detached ? track->detached_until
					   : track->options.deadline;

	if (track->state == TRACK_ENDED)
		return;
	if (now >= deadline && track->is_attached)
		track_fail_attached(track);
	else if (now >= deadline)
		pass_deadline(track, now);
	else if (track->state == TRACK_CLAIMING && now >= track->wait_until)
		track_ask_claim(track);
	else if (track->state == TRACK_WAITING && now >= track->wait_until)
		track_ask_place(track);
	else if (now >= track->missing_until)
		miss_pieces(track, now);
	else
		wake_next(track);
}

int64_t track_attempt(const track_t *track)
{
	return track->attempt;
}

int64_t track_next_piece(const track_t *track)
{
	return assemble_next(track->assemble);
}

gboolean track_is_ended(const track_t *track)
{
	return track->state == TRACK_ENDED;
}

const char *track_state_name(const track_t *track)
{
	static const char *const names[] = {
		[TRACK_ADMITTED] = "admitted",
		[TRACK_CLAIMING] = "claiming",
		[TRACK_PLACING] = "placing",
		[TRACK_HANDED_OVER] = "handed over",
		[TRACK_STREAMING] = "streaming",
		[TRACK_WAITING] = "waiting",
		[TRACK_ENDED] = "ended",
	};

	return names[track->state];
}
