/*
 * Random courses of single requests, judged by a ledger of what really ran.
 *
 * The world around a track answers each action late, wrongly or not at all:
 * claims fail, owners refuse, die before or after the engine has begun, pieces
 * come late, doubled, reordered or never, callers leave.  Engines that can't
 * resume answer with other words in each run, so that mixed answers show.
 *
 * SEEDS sets the number of seeds; SEED runs that one seed and prints its trace.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "request/track.h"

#define SEEDS_DEFAULT 400
#define REQUESTS      40 /* a seed */
#define PIECES_MAX    12
#define DEADLINE      ((ms_t)2000)
#define ATTEMPTS_MAX  8
#define EVENTS_MAX    100000

typedef enum {
	WORLD_CLAIM,
	WORLD_PLACED,
	WORLD_NOT_PLACED,
	WORLD_ENGINE_RUNS, /* the engine begins: counted in the ledger */
	WORLD_STARTED,
	WORLD_PIECE,
	WORLD_DONE,
	WORLD_NOT_RUN,
	WORLD_FAILED,
	WORLD_OWNER_LOST,
	WORLD_CALLER_GONE,
	WORLD_TIME
} world_event_t;

typedef struct {
	ms_t at;
	uint64_t order; /* events of one time come in the order of arrival */
	world_event_t type;
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
	/* Whether the engine of an attempt resumes streams; not all are alike.
	 */
	gboolean is_resumable[ATTEMPTS_MAX];
	gboolean is_replayed; /* the answer came from an earlier request */
	GString *text;	      /* what the caller has had */
	int runs;	      /* the ledger: how often an engine began */
	int ends;
	int settles;
	int claims;
	gboolean is_attached; /* as last told: another attempt runs */
	outcome_t outcome;
	outcome_t settled;
} world_t;

/* How often each thing happened over all seeds. */
static struct {
	int outcomes[OUTCOME_COUNT];
	int resumed;
	int restarted;
	int detached;
} seen;

/* What a failure prints; made beforehand, as a signal handler may not. */
static char failure[96];
static gboolean is_traced;

static void on_abort(int signal)
{
	if (write(STDERR_FILENO, failure, sizeof(failure)) < 0)
		_exit(2);
	_exit(1);
}

static gboolean chance(world_t *world, int percent)
{
	return g_rand_int_range(world->rand, 0, 100) < percent;
}

static void trace(world_t *world, const char *what, int64_t a, int64_t b)
{
	if (is_traced)
		printf("%5d %-12s %-14s %d %d\n", (int)world->now,
		       track_state_name(world->track), what, (int)a, (int)b);
}

static void add(world_t *world, ms_t at, world_event_t type, int64_t attempt,
		int64_t number)
{
	event_t event = {at, world->order++, type, attempt, number};

	g_array_append_val(world->events, event);
}

/* A delay that is mostly short, and now and then past the deadline. */
static ms_t delay(world_t *world)
{
	if (chance(world, 2))
		return g_rand_int_range(world->rand, 0, 3 * (gint32)DEADLINE);
	return g_rand_int_range(world->rand, 0, 50);
}

static void on_claim(void *ctx, gboolean is_known)
{
	world_t *world = ctx;
	track_claim_t claim = TRACK_CLAIM_HELD;

	/* It is asked for again only if another attempt was seen to run. */
	g_assert(is_known == (world->claims > 0));
	g_assert(world->claims == 0 || world->is_attached);
	world->claims++;
	if (chance(world, 20))
		claim = (track_claim_t)g_rand_int_range(world->rand,
							TRACK_CLAIM_RUNNING,
							TRACK_CLAIM_FAILED + 1);
	add(world, world->now + delay(world), WORLD_CLAIM, 0, claim);
}

static void on_place(void *ctx, const char *avoid)
{
	world_t *world = ctx;
	ms_t at = world->now + delay(world);

	trace(world, "place", 0, 0);
	if (chance(world, 5))
		add(world, at, WORLD_NOT_PLACED, 0,
		    chance(world, 50) ? ERROR_OVERLOADED : ERROR_UNAVAILABLE);
	else if (!chance(world, 2))
		add(world, at, WORLD_PLACED, 0, 0);
}

/* The pieces of a run, in disorder, some doubled, few lost. */
static void send_pieces(world_t *world, ms_t at, int64_t attempt, int64_t first,
			int64_t end)
{
	for (int64_t number = first; number < end; number++) {
		at += g_rand_int_range(world->rand, 0, 10);
		if (!chance(world, 1))
			add(world, at + (chance(world, 10) ? delay(world) : 0),
			    WORLD_PIECE, attempt, number);
		if (chance(world, 10))
			add(world, at + delay(world), WORLD_PIECE, attempt,
			    number);
	}
}

static void run_engine(world_t *world, int64_t attempt, int64_t first)
{
	ms_t at = world->now + delay(world);
	gboolean is_cut = chance(world, 25);
	int64_t begin = world->is_resumable[attempt] ? first : 0;
	int64_t end = world->pieces;
	ms_t last;

	add(world, at, WORLD_ENGINE_RUNS, attempt, 0);
	if (!chance(world, 5))
		add(world, at, WORLD_STARTED, attempt, 0);
	if (is_cut && end > begin)
		end = g_rand_int_range(world->rand, (gint32)begin,
				       (gint32)end + 1);
	send_pieces(world, at, attempt, begin, end);
	last = at + 10 * world->pieces;
	if (!is_cut)
		add(world, last - (chance(world, 20) ? 20 : 0), WORLD_DONE,
		    attempt, world->pieces);
	else if (chance(world, 90))
		add(world, at + g_rand_int_range(world->rand, 0, 100),
		    chance(world, 60) ? WORLD_OWNER_LOST : WORLD_FAILED,
		    attempt, 0);
}

static gboolean on_run(void *ctx, const track_place_t *place, int64_t attempt,
		       int64_t first)
{
	world_t *world = ctx;
	ms_t at = world->now + delay(world);
	static const error_kind_t kinds[] = {ERROR_CONFLICT, ERROR_OVERLOADED,
					     ERROR_LOAD_FAILED, ERROR_INVALID};

	trace(world, "run", attempt, first);
	seen.resumed += first > 0;
	if (chance(world, 5))
		return FALSE;
	if (chance(world, 15)) {
		add(world, at, WORLD_NOT_RUN, attempt,
		    kinds[g_rand_int_range(world->rand, 0, 4)]);
		return TRUE;
	}
	/* The owner may be lost while its order is still on the way. */
	if (chance(world, 15)) {
		add(world, at, WORLD_OWNER_LOST, attempt, 0);
		if (chance(world, 50))
			return TRUE;
	}
	run_engine(world, attempt, first);
	return TRUE;
}

static void on_cancel(void *ctx, const track_place_t *place, int64_t attempt)
{
	trace(ctx, "cancel", attempt, 0);
}

static void on_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	world_t *world = ctx;

	g_assert(world->ends == 0);
	g_string_append_len(world->text, data, (gssize)size);
}

static void on_restart(void *ctx)
{
	world_t *world = ctx;

	g_assert(!world->is_streamed);
	g_string_truncate(world->text, 0);
	seen.restarted++;
}

static void on_wake(void *ctx, ms_t at)
{
	world_t *world = ctx;

	for (guint i = 0; i < world->events->len; i++) {
		if (g_array_index(world->events, event_t, i).type == WORLD_TIME)
			g_array_remove_index_fast(world->events, i--);
	}
	add(world, at, WORLD_TIME, 0, 0);
}

static void on_settle(void *ctx, outcome_t outcome)
{
	world_t *world = ctx;

	g_assert(world->claims > 0);
	g_assert(world->ends == 0);
	world->settles++;
	world->settled = outcome;
}

static void on_detach(void *ctx, const track_end_t *told)
{
	world_t *world = ctx;

	g_assert(!world->is_idempotent);
	g_assert(told->outcome == OUTCOME_UNKNOWN && told->error);
	seen.detached++;
}

static void on_end(void *ctx, const track_end_t *end)
{
	world_t *world = ctx;

	trace(world, outcome_name(end->outcome), end->attempts, end->pieces);
	world->ends++;
	world->outcome = end->outcome;
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

/* Runs of engines that can't resume differ from each other. */
static void word(const world_t *world, int64_t attempt, int64_t number,
		 char *text, size_t size)
{
	g_snprintf(text, size, "%d:%d ",
		   world->is_resumable[attempt] ? 0 : (int)attempt,
		   (int)number);
}

static void feed_piece(world_t *world, const event_t *event)
{
	char text[32];

	word(world, event->attempt, event->number, text, sizeof(text));
	track_on_piece(world->track, world->now, event->attempt, event->number,
		       text, strlen(text));
}

static void feed_claim(world_t *world, const event_t *event)
{
	track_claim_t claim = (track_claim_t)event->number;

	world->is_replayed = claim == TRACK_CLAIM_ANSWERED;
	if (!world->ends)
		world->is_attached = claim == TRACK_CLAIM_RUNNING;
	track_on_claim(world->track, world->now, claim, "kept", 4, 100);
}

static void feed_error(world_t *world, const event_t *event)
{
	GError *error = NULL;

	error_set(&error,
		  event->type == WORLD_FAILED ? ERROR_INTERRUPTED
					      : (error_kind_t)event->number,
		  "told to fail; try again");
	if (event->type == WORLD_NOT_PLACED)
		track_on_not_placed(world->track, world->now, error, 100);
	else if (event->type == WORLD_NOT_RUN)
		track_on_not_run(world->track, world->now, event->attempt,
				 error, 100);
	else
		track_on_failed(world->track, world->now, event->attempt,
				error);
	g_clear_error(&error);
}

static void feed_placed(world_t *world)
{
	/* Owners are told apart by attempt, so that a loss names one. */
	char owner[32];
	track_place_t place = {"e", owner};

	g_snprintf(owner, sizeof(owner), "o%d",
		   (int)track_attempt(world->track) + 1);
	track_on_placed(world->track, world->now, &place);
}

static void feed_owner_lost(world_t *world, const event_t *event)
{
	char owner[32];

	g_snprintf(owner, sizeof(owner), "o%d", (int)event->attempt);
	track_on_owner_lost(world->track, world->now, owner);
}

static void feed(world_t *world, const event_t *event)
{
	trace(world, "event", event->type, event->number);
	switch (event->type) {
	case WORLD_CLAIM:
		feed_claim(world, event);
		break;
	case WORLD_PLACED:
		feed_placed(world);
		break;
	case WORLD_ENGINE_RUNS:
		world->runs++;
		break;
	case WORLD_STARTED:
		track_on_started(world->track, world->now, event->attempt,
				 world->is_resumable[event->attempt]);
		break;
	case WORLD_PIECE:
		feed_piece(world, event);
		break;
	case WORLD_DONE:
		track_on_done(world->track, world->now, event->attempt,
			      event->number);
		break;
	case WORLD_OWNER_LOST:
		feed_owner_lost(world, event);
		break;
	case WORLD_CALLER_GONE:
		track_on_caller_gone(world->track, world->now);
		break;
	case WORLD_TIME:
		track_on_timer(world->track, world->now);
		break;
	default:
		feed_error(world, event);
		break;
	}
}

static event_t take_next(world_t *world)
{
	guint best = 0;
	event_t event;

	for (guint i = 1; i < world->events->len; i++) {
		const event_t *a = &g_array_index(world->events, event_t, i);
		const event_t *b = &g_array_index(world->events, event_t, best);

		if (a->at < b->at || (a->at == b->at && a->order < b->order))
			best = i;
	}
	event = g_array_index(world->events, event_t, best);
	g_array_remove_index_fast(world->events, best);
	return event;
}

/* An answer is whole if one run, or a resumable engine, gave all of it. */
static gboolean text_is_whole(const world_t *world)
{
	gboolean is_whole = FALSE;

	if (world->is_replayed)
		return !strcmp(world->text->str, "kept");
	for (int64_t attempt = 1;
	     attempt <= track_attempt(world->track) && !is_whole; attempt++) {
		GString *wanted = g_string_new(NULL);
		char text[32];

		for (int64_t i = 0; i < world->pieces; i++) {
			word(world, attempt, i, text, sizeof(text));
			g_string_append(wanted, text);
		}
		is_whole = g_string_equal(wanted, world->text);
		g_string_free(wanted, TRUE);
	}
	return is_whole;
}

/* The verdict, read from the ledger after everything late has come. */
static void judge(const world_t *world)
{
	g_assert_cmpint(world->ends, ==, 1);
	if (world->outcome == OUTCOME_ANSWERED)
		g_assert_true(text_is_whole(world));
	if (world->outcome == OUTCOME_NOT_RUN) {
		g_assert_cmpint(world->runs, ==, 0);
		g_assert_false(world->is_attached);
	}
	if (!world->is_idempotent)
		g_assert_cmpint(world->runs, <=, 1);
	g_assert_cmpint(world->settles, <=, 1);
	if (world->settles)
		g_assert_cmpint(world->settled, ==, world->outcome);
	/* A claim under which something ran is always settled. */
	if (!world->is_idempotent && world->runs)
		g_assert_cmpint(world->settles, ==, 1);
	seen.outcomes[world->outcome]++;
}

/* Mostly all engines are of one kind. */
static void draw_engines(world_t *world)
{
	gboolean is_resumable = chance(world, 50);
	gboolean is_mixed = chance(world, 30);

	for (int i = 0; i < ATTEMPTS_MAX; i++)
		world->is_resumable[i] =
			is_mixed ? chance(world, 50) : is_resumable;
}

static void run_request(GRand *rand, retry_t *retry)
{
	world_t world = {.rand = rand};
	track_options_t options;
	int events = 0;

	world.pieces = g_rand_int_range(rand, 0, PIECES_MAX + 1);
	world.is_idempotent = chance(&world, 50);
	world.is_streamed = chance(&world, 70);
	draw_engines(&world);
	world.events = g_array_new(FALSE, FALSE, sizeof(event_t));
	world.text = g_string_new(NULL);
	options = (track_options_t){world.is_idempotent, world.is_streamed,
				    DEADLINE};
	world.track = track_create(&options, &actions, &world, retry);
	track_start(world.track, 0);
	if (chance(&world, 10))
		add(&world, g_rand_int_range(rand, 0, 300), WORLD_CALLER_GONE,
		    0, 0);
	while (world.events->len) {
		event_t event = take_next(&world);

		world.now = MAX(world.now, event.at);
		feed(&world, &event);
		g_assert_cmpint(++events, <, EVENTS_MAX);
	}
	judge(&world);
	track_destroy(world.track);
	g_array_free(world.events, TRUE);
	g_string_free(world.text, TRUE);
}

static void run_seed(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	retry_options_t options = RETRY_OPTIONS_DEFAULT;
	retry_t *retry;

	memset(failure, 0, sizeof(failure));
	g_snprintf(failure, sizeof(failure),
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
	       "%d resumed, %d begun anew, %d detached\n",
	       seeds, seeds * REQUESTS, seen.outcomes[OUTCOME_ANSWERED],
	       seen.outcomes[OUTCOME_NOT_RUN], seen.outcomes[OUTCOME_UNKNOWN],
	       seen.resumed, seen.restarted, seen.detached);
	/* A run that never meets a case shows nothing about it. */
	if (seeds >= 100)
		g_assert_true(seen.outcomes[OUTCOME_ANSWERED] &&
			      seen.outcomes[OUTCOME_NOT_RUN] &&
			      seen.outcomes[OUTCOME_UNKNOWN] && seen.resumed &&
			      seen.restarted && seen.detached);
	return 0;
}
