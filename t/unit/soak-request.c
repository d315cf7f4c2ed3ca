/*
 * Randomized simulation of single requests.  The outcome of each request is
 * checked against a record of what the engines really ran.
 *
 * The simulated environment of a track delays, fails or drops the result of
 * each action: claims fail, owners refuse or crash before or after the engine
 * has started, pieces are delayed, duplicated, reordered or lost, and callers
 * disconnect.  An engine that can't resume answers with different text in each
 * run, so that an answer mixed from two runs is detected.
 *
 * SEEDS sets the number of seeds; SEED runs only that seed and prints a trace.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "request/track.h"

#define SEEDS_DEFAULT	400
#define REQUESTS	40 /* per seed */
#define PIECES_MAX	12
#define DEADLINE	((ms_t)2000)
#define ATTEMPTS_MAX	8
#define EVENT_COUNT_MAX 100000

typedef enum {
	EVENT_CLAIM,
	EVENT_PLACED,
	EVENT_NOT_PLACED,
	EVENT_ENGINE_RUNS, /* the engine starts: counted in runs */
	EVENT_STARTED,
	EVENT_PIECE,
	EVENT_DONE,
	EVENT_NOT_RUN,
	EVENT_FAILED,
	EVENT_OWNER_LOST,
	EVENT_CALLER_GONE,
	EVENT_TIME
} event_type_t;

typedef struct {
	ms_t at;
	uint64_t order; /* breaks ties between events of the same time */
	event_type_t type;
	int64_t attempt;
	int64_t number; /* of a piece, a claim state, a count or a kind */
} event_t;

typedef struct {
	track_t *track;
	GRand *rand;
	GArray *events;
	uint64_t order;
	ms_t now;
	int64_t pieces;
	gboolean is_idempotent;
	gboolean is_streamed;
	/* Whether the engine of an attempt can resume streams. */
	gboolean is_resumable[ATTEMPTS_MAX];
	gboolean is_replayed; /* the answer came from an earlier request */
	GString *text;	      /* delivered to the caller */
	int runs;	      /* how often an engine has started */
	int ends;
	int settles;
	int claims;
	gboolean is_attached; /* last claim result: another attempt runs */
	outcome_t outcome;
	outcome_t settled;
} sim_t;

/* Coverage: how often each case occurred over all seeds. */
static struct {
	int outcomes[OUTCOME_COUNT];
	int resumed;
	int restarted;
	int detached;
} coverage;

/* Failure message; formatted beforehand, as a signal handler must not. */
static char failure_message[96];
static gboolean is_traced;

static void on_abort(int signal)
{
	if (write(STDERR_FILENO, failure_message, sizeof(failure_message)) < 0)
		_exit(2);
	_exit(1);
}

static gboolean with_probability(sim_t *sim, int percent)
{
	return g_rand_int_range(sim->rand, 0, 100) < percent;
}

static void trace(sim_t *sim, const char *what, int64_t a, int64_t b)
{
	if (is_traced)
		printf("%5d %-12s %-14s %d %d\n", (int)sim->now,
		       track_state_name(sim->track), what, (int)a, (int)b);
}

static void add(sim_t *sim, ms_t at, event_type_t type, int64_t attempt,
		int64_t number)
{
	event_t event = {at, sim->order++, type, attempt, number};

	g_array_append_val(sim->events, event);
}

/* A delay that is mostly short, and occasionally beyond the deadline. */
static ms_t delay(sim_t *sim)
{
	if (with_probability(sim, 2))
		return g_rand_int_range(sim->rand, 0, 3 * (gint32)DEADLINE);
	return g_rand_int_range(sim->rand, 0, 50);
}

static void on_claim(void *ctx, gboolean is_known)
{
	sim_t *sim = ctx;
	track_claim_t claim = TRACK_CLAIM_HELD;

	/* The claim is polled only if another attempt was seen to run. */
	g_assert(is_known == (sim->claims > 0));
	g_assert(sim->claims == 0 || sim->is_attached);
	sim->claims++;
	if (with_probability(sim, 20))
		claim = (track_claim_t)g_rand_int_range(
			sim->rand, TRACK_CLAIM_RUNNING, TRACK_CLAIM_FAILED + 1);
	add(sim, sim->now + delay(sim), EVENT_CLAIM, 0, claim);
}

static void on_place(void *ctx, const char *avoid)
{
	sim_t *sim = ctx;
	ms_t at = sim->now + delay(sim);

	trace(sim, "place", 0, 0);
	if (with_probability(sim, 5))
		add(sim, at, EVENT_NOT_PLACED, 0,
		    with_probability(sim, 50) ? ERROR_OVERLOADED
					      : ERROR_UNAVAILABLE);
	else if (!with_probability(sim, 2))
		add(sim, at, EVENT_PLACED, 0, 0);
}

/* Send the pieces of a run: reordered, some duplicated, a few lost. */
static void send_pieces(sim_t *sim, ms_t at, int64_t attempt, int64_t first,
			int64_t end)
{
	for (int64_t number = first; number < end; number++) {
		at += g_rand_int_range(sim->rand, 0, 10);
		if (!with_probability(sim, 1))
			add(sim,
			    at + (with_probability(sim, 10) ? delay(sim) : 0),
			    EVENT_PIECE, attempt, number);
		if (with_probability(sim, 10))
			add(sim, at + delay(sim), EVENT_PIECE, attempt, number);
	}
}

static void run_engine(sim_t *sim, int64_t attempt, int64_t first)
{
	ms_t at = sim->now + delay(sim);
	gboolean is_cut = with_probability(sim, 25);
	int64_t begin = sim->is_resumable[attempt] ? first : 0;
	int64_t end = sim->pieces;
	ms_t last;

	add(sim, at, EVENT_ENGINE_RUNS, attempt, 0);
	if (!with_probability(sim, 5))
		add(sim, at, EVENT_STARTED, attempt, 0);
	if (is_cut && end > begin)
		end = g_rand_int_range(sim->rand, (gint32)begin,
				       (gint32)end + 1);
	send_pieces(sim, at, attempt, begin, end);
	last = at + 10 * sim->pieces;
	if (!is_cut)
		add(sim, last - (with_probability(sim, 20) ? 20 : 0),
		    EVENT_DONE, attempt, sim->pieces);
	else if (with_probability(sim, 90))
		add(sim, at + g_rand_int_range(sim->rand, 0, 100),
		    with_probability(sim, 60) ? EVENT_OWNER_LOST : EVENT_FAILED,
		    attempt, 0);
}

static gboolean on_run(void *ctx, const track_place_t *place, int64_t attempt,
		       int64_t first)
{
	sim_t *sim = ctx;
	ms_t at = sim->now + delay(sim);
	static const error_kind_t kinds[] = {ERROR_CONFLICT, ERROR_OVERLOADED,
					     ERROR_LOAD_FAILED, ERROR_INVALID};

	trace(sim, "run", attempt, first);
	coverage.resumed += first > 0;
	if (with_probability(sim, 5))
		return FALSE;
	if (with_probability(sim, 15)) {
		add(sim, at, EVENT_NOT_RUN, attempt,
		    kinds[g_rand_int_range(sim->rand, 0, 4)]);
		return TRUE;
	}
	/* The connection may be lost while the request is in flight. */
	if (with_probability(sim, 15)) {
		add(sim, at, EVENT_OWNER_LOST, attempt, 0);
		if (with_probability(sim, 50))
			return TRUE;
	}
	run_engine(sim, attempt, first);
	return TRUE;
}

static void on_cancel(void *ctx, const track_place_t *place, int64_t attempt)
{
	trace(ctx, "cancel", attempt, 0);
}

static void on_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	sim_t *sim = ctx;

	g_assert(sim->ends == 0);
	g_string_append_len(sim->text, data, (gssize)size);
}

static void on_restart(void *ctx)
{
	sim_t *sim = ctx;

	g_assert(!sim->is_streamed);
	g_string_truncate(sim->text, 0);
	coverage.restarted++;
}

static void on_wake(void *ctx, ms_t at)
{
	sim_t *sim = ctx;

	for (guint i = 0; i < sim->events->len; i++) {
		if (g_array_index(sim->events, event_t, i).type == EVENT_TIME)
			g_array_remove_index_fast(sim->events, i--);
	}
	add(sim, at, EVENT_TIME, 0, 0);
}

static void on_settle(void *ctx, outcome_t outcome)
{
	sim_t *sim = ctx;

	g_assert(sim->claims > 0);
	g_assert(sim->ends == 0);
	sim->settles++;
	sim->settled = outcome;
}

static void on_detach(void *ctx, const track_end_t *response)
{
	sim_t *sim = ctx;

	g_assert(!sim->is_idempotent);
	g_assert(response->outcome == OUTCOME_UNKNOWN && response->error);
	coverage.detached++;
}

static void on_end(void *ctx, const track_end_t *end)
{
	sim_t *sim = ctx;

	trace(sim, outcome_name(end->outcome), end->attempts, end->pieces);
	sim->ends++;
	sim->outcome = end->outcome;
	g_assert(end->outcome == OUTCOME_ANSWERED || end->error);
}

static const track_actions_t actions = {
	.claim = on_claim,
	.place = on_place,
	.run = on_run,
	.cancel = on_cancel,
	.deliver = on_deliver,
	.restart = on_restart,
	.wake = on_wake,
	.settle = on_settle,
	.detach = on_detach,
	.end = on_end,
};

/* Engines that can't resume produce a different text in each attempt. */
static void piece_text(const sim_t *sim, int64_t attempt, int64_t number,
		       char *text, size_t size)
{
	g_snprintf(text, size, "%d:%d ",
		   sim->is_resumable[attempt] ? 0 : (int)attempt, (int)number);
}

static void feed_piece(sim_t *sim, const event_t *event)
{
	char text[32];

	piece_text(sim, event->attempt, event->number, text, sizeof(text));
	track_on_piece(sim->track, sim->now, event->attempt, event->number,
		       text, strlen(text));
}

static void feed_claim(sim_t *sim, const event_t *event)
{
	track_claim_t claim = (track_claim_t)event->number;

	sim->is_replayed = claim == TRACK_CLAIM_ANSWERED;
	if (!sim->ends)
		sim->is_attached = claim == TRACK_CLAIM_RUNNING;
	track_on_claim(sim->track, sim->now, claim, "kept", 4, 100);
}

static void feed_error(sim_t *sim, const event_t *event)
{
	GError *error = NULL;

	error_set(&error,
		  event->type == EVENT_FAILED ? ERROR_INTERRUPTED
					      : (error_kind_t)event->number,
		  "simulated failure; try again");
	if (event->type == EVENT_NOT_PLACED)
		track_on_not_placed(sim->track, sim->now, error, 100);
	else if (event->type == EVENT_NOT_RUN)
		track_on_not_run(sim->track, sim->now, event->attempt, error,
				 100);
	else
		track_on_failed(sim->track, sim->now, event->attempt, error);
	g_clear_error(&error);
}

static void feed_placed(sim_t *sim)
{
	/* One owner per attempt, so that a lost connection affects only one. */
	char owner[32];
	track_place_t place = {"e", owner};

	g_snprintf(owner, sizeof(owner), "o%d",
		   (int)track_attempt(sim->track) + 1);
	track_on_placed(sim->track, sim->now, &place);
}

static void feed_owner_lost(sim_t *sim, const event_t *event)
{
	char owner[32];

	g_snprintf(owner, sizeof(owner), "o%d", (int)event->attempt);
	track_on_owner_lost(sim->track, sim->now, owner);
}

static void feed(sim_t *sim, const event_t *event)
{
	trace(sim, "event", event->type, event->number);
	switch (event->type) {
	case EVENT_CLAIM:
		feed_claim(sim, event);
		break;
	case EVENT_PLACED:
		feed_placed(sim);
		break;
	case EVENT_ENGINE_RUNS:
		sim->runs++;
		break;
	case EVENT_STARTED:
		track_on_started(sim->track, sim->now, event->attempt,
				 sim->is_resumable[event->attempt]);
		break;
	case EVENT_PIECE:
		feed_piece(sim, event);
		break;
	case EVENT_DONE:
		track_on_done(sim->track, sim->now, event->attempt,
			      event->number);
		break;
	case EVENT_OWNER_LOST:
		feed_owner_lost(sim, event);
		break;
	case EVENT_CALLER_GONE:
		track_on_caller_gone(sim->track, sim->now);
		break;
	case EVENT_TIME:
		track_on_timer(sim->track, sim->now);
		break;
	default:
		feed_error(sim, event);
		break;
	}
}

static event_t take_next(sim_t *sim)
{
	guint best = 0;
	event_t event;

	for (guint i = 1; i < sim->events->len; i++) {
		const event_t *a = &g_array_index(sim->events, event_t, i);
		const event_t *b = &g_array_index(sim->events, event_t, best);

		if (a->at < b->at || (a->at == b->at && a->order < b->order))
			best = i;
	}
	event = g_array_index(sim->events, event_t, best);
	g_array_remove_index_fast(sim->events, best);
	return event;
}

/* Whether the text is the complete answer of one run or of a resumed one. */
static gboolean text_is_complete(const sim_t *sim)
{
	gboolean is_complete = FALSE;

	if (sim->is_replayed)
		return !strcmp(sim->text->str, "kept");
	for (int64_t attempt = 1;
	     attempt <= track_attempt(sim->track) && !is_complete; attempt++) {
		GString *expected = g_string_new(NULL);
		char text[32];

		for (int64_t i = 0; i < sim->pieces; i++) {
			piece_text(sim, attempt, i, text, sizeof(text));
			g_string_append(expected, text);
		}
		is_complete = g_string_equal(expected, sim->text);
		g_string_free(expected, TRUE);
	}
	return is_complete;
}

/* Check the outcome after all delayed events have been delivered. */
static void check_outcome(const sim_t *sim)
{
	g_assert_cmpint(sim->ends, ==, 1);
	if (sim->outcome == OUTCOME_ANSWERED)
		g_assert_true(text_is_complete(sim));
	if (sim->outcome == OUTCOME_NOT_RUN) {
		g_assert_cmpint(sim->runs, ==, 0);
		g_assert_false(sim->is_attached);
	}
	if (!sim->is_idempotent)
		g_assert_cmpint(sim->runs, <=, 1);
	g_assert_cmpint(sim->settles, <=, 1);
	if (sim->settles)
		g_assert_cmpint(sim->settled, ==, sim->outcome);
	/* A claim under which something ran is always settled. */
	if (!sim->is_idempotent && sim->runs)
		g_assert_cmpint(sim->settles, ==, 1);
	coverage.outcomes[sim->outcome]++;
}

/* In most requests either all engines can resume, or none. */
static void choose_engines(sim_t *sim)
{
	gboolean is_resumable = with_probability(sim, 50);
	gboolean is_mixed = with_probability(sim, 30);

	for (int i = 0; i < ATTEMPTS_MAX; i++)
		sim->is_resumable[i] =
			is_mixed ? with_probability(sim, 50) : is_resumable;
}

static void run_request(GRand *rand, retry_t *retry)
{
	sim_t sim = {.rand = rand};
	track_options_t options;
	int events = 0;

	sim.pieces = g_rand_int_range(rand, 0, PIECES_MAX + 1);
	sim.is_idempotent = with_probability(&sim, 50);
	sim.is_streamed = with_probability(&sim, 70);
	choose_engines(&sim);
	sim.events = g_array_new(FALSE, FALSE, sizeof(event_t));
	sim.text = g_string_new(NULL);
	options =
		(track_options_t){sim.is_idempotent, sim.is_streamed, DEADLINE};
	sim.track = track_create(&options, &actions, &sim, retry);
	track_start(sim.track, 0);
	if (with_probability(&sim, 10))
		add(&sim, g_rand_int_range(rand, 0, 300), EVENT_CALLER_GONE, 0,
		    0);
	while (sim.events->len) {
		event_t event = take_next(&sim);

		sim.now = MAX(sim.now, event.at);
		feed(&sim, &event);
		g_assert_cmpint(++events, <, EVENT_COUNT_MAX);
	}
	check_outcome(&sim);
	track_destroy(sim.track);
	g_array_free(sim.events, TRUE);
	g_string_free(sim.text, TRUE);
}

static void run_seed(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	retry_options_t options = RETRY_OPTIONS_DEFAULT;
	retry_t *retry;

	memset(failure_message, 0, sizeof(failure_message));
	g_snprintf(failure_message, sizeof(failure_message),
		   "failed with SEED=%u; run it alone to replay\n", seed);
	options.share_percent = 100;
	retry = retry_create(&options, rand);
	for (int i = 0; i < REQUESTS; i++)
		run_request(rand, retry);
	retry_destroy(retry);
	g_rand_free(rand);
}

int main(void)
{
	const char *count = getenv("SEEDS");
	const char *one = getenv("SEED");
	guint32 seeds =
		count ? (guint32)strtoul(count, NULL, 10) : SEEDS_DEFAULT;

	signal(SIGABRT, on_abort);
	if (one) {
		is_traced = TRUE;
		run_seed((guint32)strtoul(one, NULL, 10));
		return 0;
	}
	for (guint32 seed = 1; seed <= seeds; seed++)
		run_seed(seed);
	printf("%u seeds, %u requests: %d answered, %d not run, %d unknown, "
	       "%d resumed, %d restarted, %d detached\n",
	       seeds, seeds * REQUESTS, coverage.outcomes[OUTCOME_ANSWERED],
	       coverage.outcomes[OUTCOME_NOT_RUN],
	       coverage.outcomes[OUTCOME_UNKNOWN], coverage.resumed,
	       coverage.restarted, coverage.detached);
	/* Fail if a case was never covered. */
	if (seeds >= 100)
		g_assert_true(coverage.outcomes[OUTCOME_ANSWERED] &&
			      coverage.outcomes[OUTCOME_NOT_RUN] &&
			      coverage.outcomes[OUTCOME_UNKNOWN] &&
			      coverage.resumed && coverage.restarted &&
			      coverage.detached);
	return 0;
}
