#include "request/track.h"

#include <string.h>

#include "request/track_state.h"

static void deliver_piece(void *ctx, int64_t number, const char *data,
			  size_t size)
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
	track->assemble = assemble_create(deliver_piece, track);
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

/* Set the timer to the earliest pending deadline. */
static void set_timer(track_t *track)
{
	ms_t at = track->is_detached ? track->detached_until
				     : track->options.deadline;

	at = MIN(at, track->wait_until);
	at = MIN(at, track->missing_until);
	track->actions.wake(track->ctx, at);
}

static gboolean may_have_run(const track_t *track)
{
	return track->is_attempt_open || track->is_earlier_uncertain ||
	       track->is_attached;
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
		 assemble_is_complete(track->assemble));
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

static void cancel_current_attempt(track_t *track)
{
	track_place_t place = {track->endpoint, track->owner};

	if (track->is_attempt_open)
		track->actions.cancel(track->ctx, &place, track->attempt);
}

void track_request_placement(track_t *track)
{
	track->state = TRACK_PLACING;
	track->placements++;
	track->wait_until = MS_NEVER;
	set_timer(track);
	track->actions.place(track->ctx, track->endpoint);
}

void track_start(track_t *track, ms_t now)
{
	g_assert(track->state == TRACK_ADMITTED);
	retry_count_request(track->retry);
	if (track->options.is_idempotent) {
		track_request_placement(track);
		return;
	}
	track_request_claim(track);
}

void track_request_claim(track_t *track)
{
	track->state = TRACK_CLAIMING;
	track->is_claim_open = TRUE;
	track->wait_until = MS_NEVER;
	set_timer(track);
	track->actions.claim(track->ctx, track->is_attached);
}

void track_attach(track_t *track, ms_t now)
{
	ms_t interval = 2 * track->attach_interval;

	track->is_claim_open = FALSE;
	track->is_attached = TRUE;
	track->attach_interval =
		CLAMP(interval, TRACK_ATTACH_MIN, TRACK_ATTACH_MAX);
	track->wait_until = now + track->attach_interval;
	set_timer(track);
}

static void begin_backoff(track_t *track, ms_t now, ms_t delay,
			  gboolean is_resumed)
{
	track->state = TRACK_WAITING;
	track->wait_until = now + delay;
	track->missing_until = MS_NEVER;
	if (is_resumed || !assemble_next(track->assemble)) {
		assemble_discard_buffer(track->assemble);
	} else {
		g_assert(!track->options.is_streamed);
		assemble_restart(track->assemble);
		track->actions.restart(track->ctx);
	}
	set_timer(track);
}

/* Schedule a retry if the retry policy allows one, else end the request. */
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
		.attempts = track->placements,
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
	/* Only one endpoint can resume a stream: observe its Retry-After. */
	if (verdict == RETRY_RESUME &&
	    retry_after < track->options.deadline - now)
		delay = MAX(delay, retry_after);
	if (verdict == RETRY_AGAIN || verdict == RETRY_RESUME)
		begin_backoff(track, now, delay, verdict == RETRY_RESUME);
	else
		track_fail(track, error, retry_after);
}

/* The attempt could not be sent, and thus has not run. */
static void fail_unsent(track_t *track, ms_t now)
{
	GError *error = NULL;

	track->is_attempt_open = FALSE;
	error_set(&error, ERROR_UNAVAILABLE,
		  "no connection to owner %s of endpoint %s; send the request "
		  "again",
		  track->owner, track->endpoint);
	retry_or_fail(track, now, OUTCOME_NOT_RUN, error, 0);
	g_clear_error(&error);
}

void track_on_placed(track_t *track, ms_t now, const track_place_t *place)
{
	if (track->state != TRACK_PLACING)
		return;
	g_assert(!track->is_attempt_open);
	g_assert(track->options.is_idempotent ||
		 (track->is_claim_held && track->is_claim_open &&
		  !track->is_earlier_uncertain));
	g_free(track->endpoint);
	g_free(track->owner);
	track->endpoint = g_strdup(place->endpoint);
	track->owner = g_strdup(place->owner);
	track->state = TRACK_DISPATCHED;
	track->attempt++;
	track->is_attempt_open = TRUE;
	track->first_piece = assemble_next(track->assemble);
	place = &(track_place_t){track->endpoint, track->owner};
	if (!track->actions.run(track->ctx, place, track->attempt,
				track->first_piece))
		fail_unsent(track, now);
}

void track_on_not_placed(track_t *track, ms_t now, const GError *error,
			 ms_t retry_after)
{
	if (track->state != TRACK_PLACING)
		return;
	/* All endpoints were considered: another try would find none. */
	if (error_kind(error) == ERROR_OVERLOADED)
		track_fail(track, error, retry_after);
	else
		retry_or_fail(track, now, OUTCOME_NOT_RUN, error, retry_after);
}

static gboolean is_current_attempt(const track_t *track, int64_t attempt)
{
	return track->is_attempt_open && track->attempt == attempt &&
	       (track->state == TRACK_DISPATCHED ||
		track->state == TRACK_STREAMING);
}

/* The current attempt has failed and may have run. */
static void fail_current_attempt(track_t *track, ms_t now, const GError *error)
{
	track->is_attempt_open = FALSE;
	track->is_earlier_uncertain = TRUE;
	retry_or_fail(track, now, OUTCOME_UNKNOWN, error, 0);
}

/* Cancel the current attempt and treat it as failed, after a bad message. */
static void fail_protocol_error(track_t *track, ms_t now, const GError *error)
{
	cancel_current_attempt(track);
	fail_current_attempt(track, now, error);
}

void track_on_started(track_t *track, ms_t now, int64_t attempt,
		      gboolean is_resumable)
{
	GError *error = NULL;

	if (!is_current_attempt(track, attempt) ||
	    track->state != TRACK_DISPATCHED)
		return;
	track->state = TRACK_STREAMING;
	track->is_resumable = is_resumable;
	if (is_resumable || !track->first_piece)
		return;
	/* The engine would start over, and may sample different tokens. */
	error_set(&error, ERROR_INTERRUPTED,
		  "the answer was interrupted, and the next endpoint can't "
		  "resume it; send the request again");
	fail_protocol_error(track, now, error);
	g_clear_error(&error);
}

/* End if the answer is complete.  The track may be destroyed on return. */
static void finish_if_complete(track_t *track)
{
	if (!assemble_is_complete(track->assemble))
		return;
	track->is_attempt_open = FALSE;
	track_finish(track, OUTCOME_ANSWERED, NULL, 0);
}

/* Enter the streaming state.  A resumed answer needs a start message first. */
static gboolean begin_streaming(track_t *track, GError **error)
{
	if (track->state == TRACK_DISPATCHED && track->first_piece > 0) {
		error_set(
			error, ERROR_PROTOCOL,
			"received a resumed answer without its start message; "
			"check the version of the owner");
		return FALSE;
	}
	/* Without a start message it is unknown whether the engine resumes. */
	if (track->state == TRACK_DISPATCHED)
		track->is_resumable = FALSE;
	track->state = TRACK_STREAMING;
	return TRUE;
}

void track_on_piece(track_t *track, ms_t now, int64_t attempt, int64_t number,
		    const char *data, size_t size)
{
	GError *error = NULL;

	if (!is_current_attempt(track, attempt))
		return;
	if (!begin_streaming(track, &error) ||
	    assemble_add(track->assemble, number, data, size, &error) ==
		    ASSEMBLE_REJECTED)
		fail_protocol_error(track, now, error);
	else
		finish_if_complete(track);
	g_clear_error(&error);
}

void track_on_done(track_t *track, ms_t now, int64_t attempt, int64_t count)
{
	GError *error = NULL;

	if (!is_current_attempt(track, attempt))
		return;
	if (!begin_streaming(track, &error) ||
	    !assemble_set_count(track->assemble, count, &error)) {
		fail_protocol_error(track, now, error);
		g_clear_error(&error);
		return;
	}
	if (!assemble_is_complete(track->assemble)) {
		track->missing_until = now + TRACK_MISSING_MAX;
		set_timer(track);
	}
	finish_if_complete(track);
}

void track_on_not_run(track_t *track, ms_t now, int64_t attempt,
		      const GError *error, ms_t retry_after)
{
	GError *violation = NULL;

	if (!is_current_attempt(track, attempt))
		return;
	if (assemble_next(track->assemble) > track->first_piece) {
		error_set(&violation, ERROR_PROTOCOL,
			  "the owner reported a request as not run after "
			  "sending pieces of its answer; check the version of "
			  "the owner");
		fail_protocol_error(track, now, violation);
		g_clear_error(&violation);
		return;
	}
	track->is_attempt_open = FALSE;
	retry_or_fail(track, now, OUTCOME_NOT_RUN, error, retry_after);
}

void track_on_failed(track_t *track, ms_t now, int64_t attempt,
		     const GError *error)
{
	if (is_current_attempt(track, attempt))
		fail_current_attempt(track, now, error);
}

void track_on_owner_lost(track_t *track, ms_t now, const char *owner)
{
	GError *error = NULL;

	if (!is_current_attempt(track, track->attempt) ||
	    strcmp(track->owner, owner))
		return;
	error_set(&error, ERROR_INTERRUPTED,
		  "lost the connection to owner %s of endpoint %s while the "
		  "request was running; send it again, with its "
		  "Idempotency-Key if it has one",
		  owner, track->endpoint);
	fail_current_attempt(track, now, error);
	g_clear_error(&error);
}

static gboolean must_complete(const track_t *track)
{
	return !track->options.is_idempotent && track->is_attempt_open;
}

static void detach(track_t *track, ms_t now)
{
	track->is_detached = TRUE;
	track->detached_until = now + TRACK_DETACHED_MAX;
	set_timer(track);
}

void track_on_caller_gone(track_t *track, ms_t now)
{
	GError *error = NULL;

	if (track->state == TRACK_ENDED || track->is_detached)
		return;
	if (must_complete(track)) {
		detach(track, now);
		return;
	}
	error_set(&error, ERROR_CANCELLED,
		  "the caller disconnected before the answer was complete; "
		  "keep the connection open");
	cancel_current_attempt(track);
	track_fail(track, error, 0);
	g_clear_error(&error);
}

static void handle_deadline(track_t *track, ms_t now)
{
	GError *error = NULL;
	track_end_t response = {.outcome = OUTCOME_UNKNOWN,
				.pieces = assemble_next(track->assemble),
				.attempts = track->attempt};

	error_set(&error, ERROR_TIMEOUT,
		  "no whole answer came in the time allowed; allow more by "
		  "X-Deadline-Ms, or ask again with the Idempotency-Key if the "
		  "request has one");
	if (!track->is_detached && must_complete(track)) {
		response.error = error;
		detach(track, now);
		track->actions.detach(track->ctx, &response);
	} else {
		cancel_current_attempt(track);
		track_fail(track, error, 0);
	}
	g_clear_error(&error);
}

static void fail_missing_pieces(track_t *track, ms_t now)
{
	GError *error = NULL;

	error_set(&error, ERROR_PROTOCOL,
		  "pieces of the answer are missing after its end was "
		  "received; send the request again");
	fail_protocol_error(track, now, error);
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
		handle_deadline(track, now);
	else if (track->state == TRACK_CLAIMING && now >= track->wait_until)
		track_request_claim(track);
	else if (track->state == TRACK_WAITING && now >= track->wait_until)
		track_request_placement(track);
	else if (now >= track->missing_until)
		fail_missing_pieces(track, now);
	else
		set_timer(track);
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
		[TRACK_DISPATCHED] = "dispatched",
		[TRACK_STREAMING] = "streaming",
		[TRACK_WAITING] = "waiting",
		[TRACK_ENDED] = "ended",
	};

	return names[track->state];
}
