#include "base/log.h"
#include "front/caller_private.h"

/* How often paused connections are read again. */
#define TICK_MS 20

/*
 * Bytes of chunk framing that are read in a second, for all callers together:
 * the parser takes 20 times as long for them as for a body.  A body of 4 MB in
 * chunks of one byte takes 5 s.
 */
#define FRAMING_BYTES_PER_S (4 * 1024 * 1024)
#define FRAMING_PER_TICK    (FRAMING_BYTES_PER_S / MS_PER_S * TICK_MS)

/* A read with less framing in proportion to the body is not counted. */
#define FRAMING_SHARE 8

/* A connection waits this long for memory that is about to be freed. */
#define ROOM_WAIT_MS 1000

/* A request without a byte for this time gives way to an announced body. */
#define SILENT_MS 1000

/* Retry-After of a request that was refused for lack of memory. */
#define RETRY_MEMORY_MS 1000

/* A refused caller has this time to read its answer. */
#define DISCARD_MS 1000

/* Bytes queued for a caller that doesn't read, above which it is closed. */
#define UNSENT_MAX_BYTES (4 * 1024 * 1024)

/*
 * A connection without a request for this time may be closed for a newcomer: a
 * caller that goes on sends its next request, or its first, within it.
 */
#define IDLE_MIN_MS 1000

/* A sweep that is later finds bytes that were not read in time. */
#define SWEEP_LATE_MS 1000

static void on_tick(uv_timer_t *timer)
{
	callers_t *callers = timer->data;
	call_t *call;
	call_t *next;

	callers->framing_left = FRAMING_PER_TICK;
	for (call = TAILQ_FIRST(&callers->calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		if (!call->is_paused)
			continue;
		call->is_paused = FALSE;
		callers->paused--;
		call->active_at = call_now(call);
		body_progress_begin(&call->progress, call->active_at);
		call_read_start(call);
	}
	if (!callers->paused)
		uv_timer_stop(timer);
}

void call_pause(call_t *call)
{
	callers_t *callers = call->callers;

	if (call->is_paused || call->is_closing)
		return;
	call->is_paused = TRUE;
	uv_read_stop((uv_stream_t *)&call->tcp);
	if (!callers->paused++)
		uv_timer_start(&callers->pacer, on_tick, TICK_MS, TICK_MS);
}

void call_note_framing(call_t *call, size_t size, size_t body)
{
	callers_t *callers = call->callers;
	size_t framing = size - MIN(body, size);

	call->is_mostly_framing = framing * FRAMING_SHARE >= size;
	if (!call->is_mostly_framing)
		return;
	if (framing < callers->framing_left) {
		callers->framing_left -= framing;
		/* The tick restores the allowance only while it runs. */
		if (!uv_is_active((uv_handle_t *)&callers->pacer))
			uv_timer_start(&callers->pacer, on_tick, TICK_MS,
				       TICK_MS);
		return;
	}
	callers->framing_left = 0;
	call_pause(call);
}

static gboolean is_ordinary(const call_t *call)
{
	return call->body->len <= ORDINARY_BODY_BYTES;
}

static gboolean waits_for_tick(const call_t *call)
{
	return call->is_mostly_framing && !call->callers->framing_left;
}

gboolean call_may_read(call_t *call)
{
	/* What a refused caller sends is discarded. */
	if (call->is_rejected || call->closes_after_write)
		return TRUE;
	if (waits_for_tick(call))
		return FALSE;
	return memory_budget_has_room(call->callers->options.budget, READ_SIZE,
				      call->state != CALLER_READING ||
					      is_ordinary(call));
}

static size_t held_by(const call_t *call)
{
	return call->charged[MEMORY_HEADS] + call->charged[MEMORY_BODIES_READ];
}

/* The incomplete request to refuse first; NULL if none is worth it. */
static call_t *find_heaviest(callers_t *callers, ms_t silent_min)
{
	ms_t now = ms_clock_now(callers->options.clock);
	guint64 most = 0;
	call_t *heaviest = NULL;
	call_t *call;

	TAILQ_FOREACH (call, &callers->calls, link) {
		ms_t silent = call->is_paused ? 0 : now - call->active_at;
		guint64 weight;

		if (call->state != CALLER_READING || call->is_rejected ||
		    call->closes_after_write || silent < silent_min)
			continue;
		weight = memory_request_weight(held_by(call), silent);
		if (weight > most) {
			most = weight;
			heaviest = call;
		}
	}
	return heaviest;
}

void call_refuse_for_memory(call_t *call)
{
	char held[32];

	g_snprintf(held, sizeof(held), "%zu", held_by(call));
	log_warn("caller refused", "why", "memory", "held", held, NULL);
	counter_add(call->callers->refused_memory, 1);
	call_reject(call, STATUS_NO_ROOM, RETRY_MEMORY_MS,
		    "too much memory is used for requests; retry later\n");
}

/* Refuses requests until there is room; FALSE if there is none. */
static gboolean reclaim(call_t *call, size_t size)
{
	callers_t *callers = call->callers;

	while (!memory_budget_has_room(callers->options.budget, size,
				       is_ordinary(call))) {
		call_t *victim = find_heaviest(callers, 0);

		if (!victim)
			return FALSE;
		call_refuse_for_memory(victim);
		if (victim == call)
			return FALSE;
	}
	return TRUE;
}

gboolean call_reclaim_silent(call_t *call, size_t size)
{
	callers_t *callers = call->callers;

	while (!memory_budget_has_room(callers->options.budget, size, FALSE)) {
		call_t *victim = find_heaviest(callers, SILENT_MS);

		if (!victim || victim == call)
			return FALSE;
		call_refuse_for_memory(victim);
	}
	return TRUE;
}

void call_make_room(call_t *call)
{
	reclaim(call, 0);
}

void call_wait_for_room(call_t *call)
{
	callers_t *callers = call->callers;
	ms_t now = call_now(call);

	if (waits_for_tick(call)) {
		call_pause(call);
		return;
	}
	if (!call->waiting_since) {
		call->waiting_since = now;
		counter_add(callers->waits, 1);
	}
	if (call->state == CALLER_READING &&
	    (!memory_budget_is_freed_soon(callers->options.budget) ||
	     now - call->waiting_since > ROOM_WAIT_MS) &&
	    reclaim(call, READ_SIZE)) {
		call->waiting_since = 0;
		return;
	}
	call_pause(call);
}

/*
 * The connection that has been idle for longest; one that was never used goes
 * before those that were.
 */
static call_t *find_idlest(callers_t *callers)
{
	ms_t now = ms_clock_now(callers->options.clock);
	call_t *idlest = NULL;
	call_t *call;

	TAILQ_FOREACH (call, &callers->calls, link) {
		if (call_is_busy(call) || !http1_reader_is_idle(call->reader) ||
		    now - call->active_at < IDLE_MIN_MS)
			continue;
		if (!idlest || call->has_served < idlest->has_served ||
		    (call->has_served == idlest->has_served &&
		     call->active_at < idlest->active_at))
			idlest = call;
	}
	return idlest;
}

gboolean callers_close_idlest(callers_t *callers)
{
	call_t *idlest = find_idlest(callers);

	if (!idlest)
		return FALSE;
	counter_add(idlest->has_served ? callers->closed_kept
				       : callers->closed_unused,
		    1);
	call_close(idlest);
	return TRUE;
}

static void time_out(call_t *call, const char *why)
{
	log_info("caller refused", "why", why, NULL);
	counter_add(call->callers->refused_slow, 1);
	call_reject(call, STATUS_REQUEST_TIMEOUT, 0,
		    "the request did not arrive in time\n");
}

/* Closes a connection whose caller does not take the end of its answer. */
static void check_unsent(call_t *call, ms_t now)
{
	size_t untaken = call_untaken(call);

	body_progress_add(&call->taken,
			  call->untaken - MIN(untaken, call->untaken));
	call->untaken = untaken;
	if (!body_progress_is_slow(&call->taken, now,
				   callers_limits(call->callers)->idle_timeout))
		return;
	log_info("caller closed", "why", "its answer is not read", NULL);
	counter_add(call->callers->closed_unread, 1);
	call_lost(call);
}

/* Ends a request that does not arrive. */
static void check_request(call_t *call, ms_t now)
{
	const route_limits_t *limits = callers_limits(call->callers);
	ms_t silent = now - call->active_at;

	if (http1_reader_is_idle(call->reader) && call_queue_size(call)) {
		check_unsent(call, now);
	} else if (http1_reader_is_idle(call->reader)) {
		if (silent > limits->idle_timeout)
			call_lost(call);
	} else if (!http1_reader_is_head_done(call->reader)) {
		if (now - call->began_at > limits->head_timeout)
			time_out(call, "slow head");
	} else if (silent > limits->idle_timeout) {
		time_out(call, "silent body");
	} else if (body_progress_is_slow(&call->progress, now,
					 limits->idle_timeout)) {
		time_out(call, "slow body");
	}
}

static void check_call(call_t *call, ms_t now)
{
	if (call_queue_size(call) > UNSENT_MAX_BYTES) {
		call_lost(call);
	} else if (call->is_rejected) {
		if (now - call->refused_at > DISCARD_MS)
			call_lost(call);
	} else if (call->state == CALLER_READING && !call->is_paused) {
		check_request(call, now);
	}
}

static void on_sweep(uv_timer_t *timer)
{
	callers_t *callers = timer->data;
	ms_t now = ms_clock_now(callers->options.clock);
	gboolean is_late = now - callers->swept_at > SWEEP_MS + SWEEP_LATE_MS;
	call_t *call;
	call_t *next;

	callers->swept_at = now;
	/* libuv runs timers before it reads. */
	for (call = TAILQ_FIRST(&callers->calls); call && !is_late;
	     call = next) {
		next = TAILQ_NEXT(call, link);
		check_call(call, now);
	}
	callers_accept(callers);
}

void callers_start_timers(callers_t *callers)
{
	callers->framing_left = FRAMING_PER_TICK;
	callers->swept_at = ms_clock_now(callers->options.clock);
	uv_timer_init(callers->options.loop, &callers->pacer);
	callers->pacer.data = callers;
	uv_timer_init(callers->options.loop, &callers->sweeper);
	callers->sweeper.data = callers;
	uv_timer_start(&callers->sweeper, on_sweep, SWEEP_MS, SWEEP_MS);
}
