#include "front/forward_private.h"

#include <string.h>

/*
 * A load and the wait for a place end or are refused within this time: the
 * adapter cache gives up a load after 4 s (CACHE_REQUEST_TIMEOUT_MS).
 */
#define ADMISSION_TIMEOUT_MS 4500

/*
 * Part of the goal reserved for the engine itself: two prompts of the length
 * that hold/admission_queue.h admits at once.
 */
#define GOAL_RESERVE_MS 150

/* A request may always wait this long for a place. */
#define PLACE_WAIT_MIN_MS 100

/*
 * Longest wait for a place while another engine may have one.  It is short, so
 * that the request is tried there early and fewer answers are late.
 */
#define PLACE_WAIT_SHORT_MS 150

/*
 * A prompt is long if its reading takes the pause that its route allows less
 * this reserve, but no less than half of the pause.  The reserve is for the
 * tokens of one event, and for the part of the time that grows with the square
 * of the prompt's length.
 */
#define LONG_PROMPT_RESERVE_MS 100

/*
 * A long prompt may wait for 1/2 of the goal at the engine reserved for long
 * prompts, which processes one after the other.  The other half is for its own
 * processing.
 */
#define LONG_PROMPT_WAIT_DIVISOR 2

/*
 * The wait at the last engine tried ends after this many goals; callers leave
 * after four.
 */
#define LAST_PLACE_WAIT_GOALS 2

/*
 * An adapter has to be resident within 1/3 of the remaining time.  Two thirds
 * are left for the answer and one retry.
 */
#define LOAD_WAIT_DIVISOR 3

/* Longest wait for an adapter: a goal and a load. */
#define LOAD_WAIT_MAX_MS 1800

/*
 * Whether the prompt alone would delay the other streams of the engine too
 * long.
 */
prompt_length_t forward_prompt_length(const forward_t *forward)
{
	double prefill_time = (double)forward->fields.tokens_in * MS_PER_S /
			      (double)forward->front->settings.prefill_per_s;
	ms_t pause = forward->route->pause;
	ms_t limit = MAX(pause - LONG_PROMPT_RESERVE_MS, pause / 2);

	if (!pause)
		return PROMPT_ANY;
	return prefill_time > (double)limit ? PROMPT_LONG : PROMPT_SHORT;
}

/* How long the request may wait for a place at an engine. */
static ms_t wait_max(const forward_t *forward, ms_t now)
{
	ms_t passed = now - call_arrived_at(forward->call);
	ms_t goal = forward->route->goal;

	if (forward->admission_tries == 1 &&
	    forward_prompt_length(forward) == PROMPT_LONG)
		return MAX(goal / LONG_PROMPT_WAIT_DIVISOR - passed,
			   PLACE_WAIT_SHORT_MS);
	if (forward->admission_tries < ADMISSION_TRIES_MAX)
		return PLACE_WAIT_SHORT_MS;
	return MAX(goal * LAST_PLACE_WAIT_GOALS - passed - GOAL_RESERVE_MS,
		   PLACE_WAIT_MIN_MS);
}

void forward_request_admission(forward_t *forward)
{
	ms_t now = forward_now(forward);
	front_t *front = forward->front;
	admission_t admission = {
		.engine = fleet_endpoint_id(forward->endpoint),
		.adapter = forward->adapter,
		.version = forward->adapter ? forward_declared_version(
						      front, forward->adapter)
					    : 0,
		.is_missing = forward->is_missing,
		.request = {.prompt = forward->fields.tokens_in,
			    .priority = forward_priority(forward)},
	};

	if (forward->is_missing)
		forward->adapter_misses++;
	else
		forward->admission_tries++;
	admission.request.wait_max = wait_max(forward, now);
	admission.load_max =
		MIN((forward->deadline_at - now) / LOAD_WAIT_DIVISOR,
		    LOAD_WAIT_MAX_MS);
	admission.load_goal =
		MAX(forward->route->goal - GOAL_RESERVE_MS -
			    (now - call_arrived_at(forward->call)),
		    PLACE_WAIT_MIN_MS);
	forward->state = FORWARD_WAITING;
	forward->admission_sent_at = now;
	forward->admission_due = now + HOLDER_REPLY_TIMEOUT_MS;
	forward->is_queued = FALSE;
	forward->is_missing = FALSE;
	forward->admission =
		adapters_request_admission(front->adapters, &admission);
	g_hash_table_insert(
		front->admissions,
		g_memdup2(&forward->admission, sizeof(forward->admission)),
		forward);
	forward_set_timer(forward);
}

static forward_t *find_admission(front_t *front, admission_id_t admission)
{
	return g_hash_table_lookup(front->admissions, &admission);
}

void forward_on_queued(front_t *front, admission_id_t admission)
{
	forward_t *forward = find_admission(front, admission);

	if (!forward || forward->state != FORWARD_WAITING)
		return;
	forward->is_queued = TRUE;
	forward->admission_due =
		forward->admission_sent_at + ADMISSION_TIMEOUT_MS;
	forward_set_timer(forward);
}

void forward_on_admitted(front_t *front, admission_id_t admission,
			 int64_t version)
{
	forward_t *forward = find_admission(front, admission);
	ms_t now = ms_clock_now(front->clock);

	if (!forward || forward->state != FORWARD_WAITING)
		return;
	forward->admission_wait += now - forward->admission_sent_at;
	histogram_add(front->load_wait_time, forward->admission_wait);
	if (forward->adapter)
		fleet_endpoint_set_adapter(forward->endpoint, forward->adapter,
					   version);
	forward_send(forward);
}

void forward_on_refused(front_t *front, admission_id_t admission,
			refusal_t refusal, ms_t retry_after)
{
	forward_t *forward = find_admission(front, admission);

	if (!forward)
		return;
	g_hash_table_remove(front->admissions, &admission);
	forward->admission = 0;
	if (forward->state != FORWARD_WAITING)
		return;
	if (retry_after &&
	    (!forward->retry_after || retry_after < forward->retry_after))
		forward->retry_after = retry_after;
	forward->failure_reason = refusal_text(refusal);
	/* Another engine would have to load the adapter, too. */
	if (refusal != REFUSAL_LOAD_QUEUE_FULL) {
		forward_try_other_endpoint(forward);
		return;
	}
	forward->admission_wait +=
		forward_now(forward) - forward->admission_sent_at;
	forward_release_endpoint(forward);
	if (forward->is_answer_begun)
		forward_abort(forward);
	else
		forward_refuse(forward, RETRY_FULL_MS);
}

void forward_on_endpoint_gone(front_t *front, const char *id)
{
	GPtrArray *list = g_ptr_array_new();
	forward_t *forward;
	guint i;

	TAILQ_FOREACH (forward, &front->forwards, link) {
		if (forward->state == FORWARD_WAITING && forward->endpoint &&
		    !strcmp(fleet_endpoint_id(forward->endpoint), id))
			g_ptr_array_add(list, forward);
	}
	for (i = 0; i < list->len; i++)
		forward_try_other_endpoint(list->pdata[i]);
	g_ptr_array_free(list, TRUE);
}
