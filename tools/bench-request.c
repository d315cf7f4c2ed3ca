/*
 * bench-request: admission and retries under overload, in virtual time.
 *
 * One entry before a pool of endpoints that is offered a multiple of what it
 * can run.  The pool runs a fixed number of requests at once and queues as many
 * more; what comes beyond is refused as not run.  Some runs break off.  A
 * request that reaches its deadline is cancelled, and the work spent on it is
 * lost.  One busy caller sends half of the requests.
 *
 * The ways that are compared differ in how the entry admits and in whether the
 * retry budget holds; admission and retries are the shipped code.
 */

#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "request/admit.h"
#include "request/parse.h"
#include "request/retry.h"

#define EXIT_USAGE 2

#define RUNNING_MAX   100 /* requests that the pool runs at once */
#define WAITING_MAX   100 /* requests that the pool queues */
#define ENTRY_PLACES  150 /* requests that a bounded entry holds */
#define RUN_MIN_MS    500 /* of the time of a run, which is uniform */
#define RUN_MAX_MS    1500
#define DEADLINE_MS   3000
#define BREAK_PERCENT 5
#define CALLERS	      20

/* The pool's capacity in requests a millisecond. */
#define CAPACITY (RUNNING_MAX / ((RUN_MIN_MS + RUN_MAX_MS) / 2.0))

typedef enum {
	ENTRY_UNBOUNDED,  /* takes everything */
	ENTRY_PLAIN,	  /* bounded, no priorities */
	ENTRY_DISPLACING, /* bounded; a higher priority ends a lower one */
	ENTRY_RESERVING	  /* bounded by admit.h, as shipped */
} entry_way_t;

typedef struct {
	const char *name;
	entry_way_t entry;
	gboolean has_budget;
} way_t;

static const way_t ways[] = {
	{"unbounded, no budget", ENTRY_UNBOUNDED, FALSE},
	{"unbounded, budget", ENTRY_UNBOUNDED, TRUE},
	{"plain bound, budget", ENTRY_PLAIN, TRUE},
	{"displacing, budget", ENTRY_DISPLACING, TRUE},
	{"reserving, no budget", ENTRY_RESERVING, FALSE},
	{"reserving, budget", ENTRY_RESERVING, TRUE},
};

typedef enum { ITEM_BACKOFF, ITEM_WAITING, ITEM_RUNNING } item_state_t;

/* A request that the entry holds. */
typedef struct item {
	TAILQ_ENTRY(item) link;
	TAILQ_ENTRY(item) queue; /* while it waits at the pool */
	item_state_t state;
	admit_ticket_t *ticket;
	int priority;
	gboolean is_quiet; /* not of the busy caller */
	int64_t attempts;
	ms_t deadline;
	ms_t until; /* end of the run or the backoff */
	ms_t run_begin;
	gboolean breaks; /* this run will break off */
} item_t;

TAILQ_HEAD(item_list, item);

typedef struct {
	int64_t offered;
	int64_t answered;
	int64_t attempts;
	int64_t offered_high;
	int64_t answered_high;
	int64_t offered_quiet;
	int64_t answered_quiet;
	double work_ms;
	double useful_ms;
} result_t;

typedef struct {
	const way_t *way;
	GRand *rand;
	admit_t *admit;
	retry_t *retry;
	struct item_list items;
	struct item_list waiting;
	int64_t held;
	int64_t waiting_count;
	int64_t running_count;
	ms_t now;
	double next_arrival; /* in ms */
	result_t result;
} bench_t;

static void item_release(bench_t *bench, item_t *item)
{
	if (item->state == ITEM_WAITING) {
		TAILQ_REMOVE(&bench->waiting, item, queue);
		bench->waiting_count--;
	} else if (item->state == ITEM_RUNNING) {
		bench->running_count--;
		bench->result.work_ms += (double)(bench->now - item->run_begin);
	}
	item->state = ITEM_BACKOFF;
}

static void item_end(bench_t *bench, item_t *item)
{
	item_release(bench, item);
	if (item->ticket)
		admit_release(bench->admit, item->ticket, bench->now);
	TAILQ_REMOVE(&bench->items, item, link);
	bench->held--;
	g_free(item);
}

static void item_fail(bench_t *bench, item_t *item, outcome_t outcome,
		      error_kind_t kind)
{
	retry_attempt_t failed = {.outcome = outcome,
				  .kind = kind,
				  .is_idempotent = TRUE,
				  .attempts = item->attempts,
				  .now = bench->now,
				  .deadline = item->deadline};
	retry_verdict_t verdict;
	ms_t delay;

	item_release(bench, item);
	verdict = retry_decide(bench->retry, &failed, &delay);
	if (verdict == RETRY_AGAIN)
		item->until = bench->now + delay;
	else
		item_end(bench, item);
}

/* Hand the request to the pool, which queues or refuses it. */
static void item_send(bench_t *bench, item_t *item)
{
	item->attempts++;
	bench->result.attempts++;
	if (bench->waiting_count >= WAITING_MAX) {
		item_fail(bench, item, OUTCOME_NOT_RUN, ERROR_OVERLOADED);
		return;
	}
	item->state = ITEM_WAITING;
	TAILQ_INSERT_TAIL(&bench->waiting, item, queue);
	bench->waiting_count++;
}

static void pool_fill(bench_t *bench)
{
	while (bench->running_count < RUNNING_MAX &&
	       !TAILQ_EMPTY(&bench->waiting)) {
		item_t *item = TAILQ_FIRST(&bench->waiting);
		gint32 duration = g_rand_int_range(bench->rand, RUN_MIN_MS,
						   RUN_MAX_MS + 1);

		item_release(bench, item);
		item->state = ITEM_RUNNING;
		item->run_begin = bench->now;
		item->breaks =
			g_rand_int_range(bench->rand, 0, 100) < BREAK_PERCENT;
		item->until =
			bench->now + (item->breaks ? duration / 2 : duration);
		bench->running_count++;
	}
}

static void item_answer(bench_t *bench, item_t *item)
{
	bench->result.answered++;
	bench->result.answered_high += item->priority == REQUEST_PRIORITY_MAX;
	bench->result.answered_quiet += item->is_quiet;
	bench->result.useful_ms += (double)(bench->now - item->run_begin);
	item_end(bench, item);
}

static void item_tick(bench_t *bench, item_t *item)
{
	if (bench->now >= item->deadline)
		item_end(bench, item);
	else if (item->state == ITEM_WAITING || bench->now < item->until)
		return;
	else if (item->state == ITEM_BACKOFF)
		item_send(bench, item);
	else if (item->breaks)
		item_fail(bench, item, OUTCOME_UNKNOWN, ERROR_INTERRUPTED);
	else
		item_answer(bench, item);
}

/* End the youngest request of the lowest priority below this one. */
static gboolean displace(bench_t *bench, int priority)
{
	item_t *victim = NULL;
	item_t *item;

	TAILQ_FOREACH (item, &bench->items, link)
		if (item->priority < priority &&
		    (!victim || item->priority <= victim->priority))
			victim = item;
	if (!victim)
		return FALSE;
	item_end(bench, victim);
	return TRUE;
}

static gboolean admit_item(bench_t *bench, item_t *item, const char *caller)
{
	admit_request_t request = {caller, "model", item->priority};

	switch (bench->way->entry) {
	case ENTRY_PLAIN:
		return bench->held < ENTRY_PLACES;
	case ENTRY_DISPLACING:
		return bench->held < ENTRY_PLACES ||
		       displace(bench, item->priority);
	case ENTRY_RESERVING:
		item->ticket = admit_acquire(bench->admit, &request, bench->now,
					     NULL, NULL, NULL);
		return item->ticket != NULL;
	default:
		return TRUE;
	}
}

/* One request in five is of the highest, one of the lowest priority. */
static int draw_priority(GRand *rand)
{
	gint32 draw = g_rand_int_range(rand, 0, 5);

	if (draw == 0)
		return REQUEST_PRIORITY_MAX;
	return draw == 1 ? 0 : REQUEST_PRIORITY_DEFAULT;
}

static void arrive(bench_t *bench)
{
	item_t *item = g_new0(item_t, 1);
	char caller[16] = "busy";

	item->is_quiet = g_rand_boolean(bench->rand);
	if (item->is_quiet)
		g_snprintf(caller, sizeof(caller), "quiet%d",
			   g_rand_int_range(bench->rand, 1, CALLERS));
	item->priority = draw_priority(bench->rand);
	item->deadline = bench->now + DEADLINE_MS;
	bench->result.offered++;
	bench->result.offered_high += item->priority == REQUEST_PRIORITY_MAX;
	bench->result.offered_quiet += item->is_quiet;
	if (!admit_item(bench, item, caller)) {
		g_free(item);
		return;
	}
	TAILQ_INSERT_TAIL(&bench->items, item, link);
	bench->held++;
	retry_count_request(bench->retry);
	item_send(bench, item);
}

static void tick(bench_t *bench)
{
	item_t *item = TAILQ_FIRST(&bench->items);

	while (item) {
		item_t *next = TAILQ_NEXT(item, link);

		item_tick(bench, item);
		item = next;
	}
	pool_fill(bench);
}

static void end_all(bench_t *bench)
{
	item_t *item = TAILQ_FIRST(&bench->items);

	while (item) {
		item_t *next = TAILQ_NEXT(item, link);

		item_end(bench, item);
		item = next;
	}
}

static void arrive_due(bench_t *bench, double load)
{
	while (bench->next_arrival <= (double)bench->now) {
		arrive(bench);
		bench->next_arrival += -log(1.0 - g_rand_double(bench->rand)) /
				       (CAPACITY * load);
	}
}

static result_t run_way(const way_t *way, guint32 seed, double load,
			ms_t duration)
{
	bench_t bench = {.way = way};
	retry_options_t options = RETRY_OPTIONS_DEFAULT;

	/* Without a budget there is a token for every retry. */
	if (!way->has_budget)
		options.saved_max = G_MAXINT32;
	bench.rand = g_rand_new_with_seed(seed);
	bench.admit = admit_create(ENTRY_PLACES);
	bench.retry = retry_create(&options, bench.rand);
	TAILQ_INIT(&bench.items);
	TAILQ_INIT(&bench.waiting);
	for (bench.now = 0; bench.now < duration; bench.now++) {
		arrive_due(&bench, load);
		tick(&bench);
	}
	end_all(&bench);
	admit_destroy(bench.admit);
	retry_destroy(bench.retry);
	g_rand_free(bench.rand);
	return bench.result;
}

static double share(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static void print_result(const way_t *way, const result_t *result,
			 ms_t duration)
{
	printf("%-22s %8.3f %8.3f %8.3f %8.3f %8.3f\n", way->name,
	       share((double)result->answered, CAPACITY * (double)duration),
	       share((double)result->answered_high,
		     (double)result->offered_high),
	       share((double)result->answered_quiet,
		     (double)result->offered_quiet),
	       share((double)result->attempts, (double)result->offered),
	       share(result->work_ms - result->useful_ms, result->work_ms));
}

static const char usage[] =
	"usage: bench-request [options]\n"
	"  --seed N      seed of all random choices (1)\n"
	"  --load X      offered load, in multiples of the capacity (2)\n"
	"  --seconds N   virtual time (600)\n"
	"  --help\n";

int main(int argc, char **argv)
{
	static const struct option long_options[] = {
		{"seed", required_argument, NULL, 's'},
		{"load", required_argument, NULL, 'l'},
		{"seconds", required_argument, NULL, 't'},
		{"help", no_argument, NULL, 'h'},
		{NULL, 0, NULL, 0}};
	guint32 seed = 1;
	double load = 2;
	ms_t duration = 600 * (ms_t)MS_PER_S;
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) !=
	       -1) {
		if (option == 's')
			seed = (guint32)g_ascii_strtoull(optarg, NULL, 10);
		else if (option == 'l')
			load = g_ascii_strtod(optarg, NULL);
		else if (option == 't')
			duration =
				(ms_t)(g_ascii_strtod(optarg, NULL) * MS_PER_S);
		else
			fputs(usage, option == 'h' ? stdout : stderr);
		if (option == 'h')
			return 0;
		if (option == '?' || !(load > 0) || duration <= 0)
			return EXIT_USAGE;
	}
	printf("seed %u, load %.2f, %.0f s of virtual time\n", seed, load,
	       (double)duration / MS_PER_S);
	printf("%-22s %8s %8s %8s %8s %8s\n", "", "goodput", "high", "quiet",
	       "attempts", "wasted");
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		result_t result = run_way(&ways[i], seed, load, duration);

		print_result(&ways[i], &result, duration);
	}
	return 0;
}
