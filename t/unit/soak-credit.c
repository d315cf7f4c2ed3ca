/*
 * Randomized simulation of the limit of an organisation.  Instances are killed,
 * started, frozen, partitioned in one direction or in both, and cut off from
 * the store; homes die; the limit changes and the organisation's demand jumps.
 *
 * Checked in each run: no window of 8 s exceeds the bound, in every state; and
 * once the faults are over, at least 0.9 of the limit is used while the demand
 * exceeds it.  If the burst is less than a request's cost, a single bucket does
 * not use all of the limit either: then 0.9 of what that would grant.
 *
 * SEEDS sets the number of seeds; SEED runs only that seed and prints its
 * faults.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "credit_sim.h"

#define SEEDS_DEFAULT 100
#define EVENTS	      8 /* per seed */
#define NODES_MIN     3
#define NODES_MAX     40
#define SETTLE_MS     6000
#define MEASURE_MS    10000
#define USED_MIN      0.9
/* Longest trace: what ran is printed for each such time. */
#define TRACE_MS     500
#define SLACK_TOKENS 17000.0
#define SLACK_COUNT  20.0

/*
 * Seeds that have failed once; always run.  Some others still fail:
 * KNOWN-RED.txt.
 */
static const guint kept_seeds[] = {20,	27,  44,  58,  76,  79,	  80,	125,
				   195, 239, 241, 244, 251, 262,  337,	344,
				   396, 507, 571, 655, 701, 1125, 1501, 1648};

typedef struct {
	credit_sim_t *sim;
	GRand *rand;
	guint nodes;
	double rate;
	double burst_seconds;
	gboolean is_in_tokens;
	gboolean is_traced;
} run_t;

/* Coverage: how often each case occurred over all seeds. */
static struct {
	int events[9];
	double bound_use;
	double used_min;
	int64_t refused;
	int64_t granted;
} coverage = {.used_min = 1e9};

static guint any_node(run_t *run)
{
	return (guint)g_rand_int_range(run->rand, 0, (gint32)run->nodes);
}

static void trace(const run_t *run, const char *what, guint value)
{
	if (run->is_traced)
		printf("%6d %s %u\n", (int)credit_sim_now(run->sim), what,
		       value);
}

/* Lets time pass; a trace shows what ran, as a part of the limit. */
static void pass(run_t *run, ms_t time)
{
	ms_t end = credit_sim_now(run->sim) + time;

	while (run->is_traced && end - credit_sim_now(run->sim) > TRACE_MS) {
		ms_t since = credit_sim_now(run->sim);

		credit_sim_run(run->sim, TRACE_MS);
		printf("%6d %.3f of the limit\n", (int)since,
		       credit_sim_used(run->sim, since));
	}
	credit_sim_run(run->sim, end - credit_sim_now(run->sim));
}

static void toggle(run_t *run, guint node)
{
	if (credit_sim_is_running(run->sim, node))
		credit_sim_kill(run->sim, node);
	else
		credit_sim_start(run->sim, node);
}

static void kill_all(run_t *run)
{
	guint i;

	for (i = 0; i < run->nodes; i++)
		credit_sim_kill(run->sim, i);
	pass(run, g_rand_int_range(run->rand, 50, 3000));
	for (i = 0; i < run->nodes; i++)
		credit_sim_start(run->sim, i);
}

static void block_one_way(run_t *run, guint node, gboolean is_sender)
{
	guint i;

	for (i = 0; i < run->nodes; i++) {
		if (i != node)
			credit_sim_block(run->sim, is_sender ? node : i,
					 is_sender ? i : node, TRUE);
	}
}

static void heal(run_t *run)
{
	guint i;
	guint j;

	for (i = 0; i < run->nodes; i++) {
		credit_sim_freeze(run->sim, i, FALSE);
		credit_sim_cut_store(run->sim, i, FALSE);
		credit_sim_start(run->sim, i);
		for (j = 0; j < run->nodes; j++)
			credit_sim_block(run->sim, i, j, FALSE);
	}
}

static void set_limit(run_t *run)
{
	run->rate *= g_rand_double_range(run->rand, 0.3, 3);
	credit_sim_set_limit(run->sim, run->rate,
			     run->rate * run->burst_seconds);
}

static void set_demand(run_t *run)
{
	double usual = run->rate * 0.55;

	credit_sim_set_demand(run->sim,
			      usual * g_rand_double_range(run->rand, 0.5, 7.5));
}

/* At most one half is cut off. */
static void partition(run_t *run)
{
	guint count = (guint)g_rand_int_range(run->rand, 1, (gint32)run->nodes);

	trace(run, "partition", count);
	credit_sim_partition(run->sim, count, TRUE,
			     count <= run->nodes / 2 &&
				     g_rand_boolean(run->rand));
}

static void do_event(run_t *run)
{
	int event = g_rand_int_range(run->rand, 0, 9);
	guint node = g_rand_boolean(run->rand) ? credit_sim_home(run->sim)
					       : any_node(run);

	coverage.events[event]++;
	trace(run, "event", (guint)event);
	switch (event) {
	case 0:
	case 1:
		toggle(run, node);
		break;
	case 2:
		credit_sim_freeze(run->sim, node, TRUE);
		break;
	case 3:
		block_one_way(run, node, g_rand_boolean(run->rand));
		break;
	case 4:
		partition(run);
		break;
	case 5:
		set_limit(run);
		break;
	case 6:
		set_demand(run);
		break;
	case 7:
		kill_all(run);
		break;
	default:
		heal(run);
	}
	trace(run, "node", node);
}

static void choose_options(run_t *run, guint seed,
			   credit_sim_options_t *options)
{
	run->nodes =
		(guint)g_rand_int_range(run->rand, NODES_MIN, NODES_MAX + 1);
	run->is_in_tokens = g_rand_int_range(run->rand, 0, 4) > 0;
	run->rate = run->is_in_tokens
			    ? exp(g_rand_double_range(run->rand, log(2000),
						      log(430000)))
			    : g_rand_double_range(run->rand, 5, 200);
	run->burst_seconds = g_rand_boolean(run->rand)
				     ? 1
				     : g_rand_double_range(run->rand, 0.2, 2);
	*options = (credit_sim_options_t){
		.seed = seed,
		.nodes = run->nodes,
		.rate = run->rate,
		.burst = run->rate * run->burst_seconds,
		.slack = run->is_in_tokens ? SLACK_TOKENS : SLACK_COUNT,
		.cost_min = run->is_in_tokens ? 200 : 1,
		.cost_max = run->is_in_tokens ? 4500 : 1,
		.refused_percent = g_rand_int_range(run->rand, 0, 20),
	};
}

/* Returns whether both checks pass. */
static gboolean run_seed(guint seed, gboolean is_traced)
{
	run_t run = {.rand = g_rand_new_with_seed(seed),
		     .is_traced = is_traced};
	credit_sim_options_t options;
	double bound_use;
	double used;
	/* At the start there may be a debt of one request. */
	double debt;
	ms_t since;
	guint i;

	choose_options(&run, seed, &options);
	run.sim = credit_sim_create(&options);
	set_demand(&run);
	pass(&run, 2000);
	for (i = 0; i < EVENTS; i++) {
		do_event(&run);
		pass(&run, g_rand_int_range(run.rand, 20, 4000));
	}
	heal(&run);
	credit_sim_set_demand(run.sim, run.rate * 3);
	pass(&run, SETTLE_MS);
	since = credit_sim_now(run.sim);
	pass(&run, MEASURE_MS);
	bound_use = credit_sim_bound_use(run.sim);
	debt = options.cost_max / (run.rate * MEASURE_MS / MS_PER_S);
	used = credit_sim_ideal_used(run.sim, since) + debt;
	coverage.bound_use = MAX(coverage.bound_use, bound_use);
	coverage.used_min = MIN(coverage.used_min, used);
	coverage.refused += credit_sim_counts(run.sim)->refused;
	coverage.granted += credit_sim_counts(run.sim)->granted;
	if (is_traced || bound_use > 1 || used < USED_MIN)
		printf("seed %u: %u instances, rate %.0f, burst %.0f: %.3f of "
		       "the bound, %.3f of the limit used afterwards\n",
		       seed, run.nodes, run.rate, run.rate * run.burst_seconds,
		       bound_use, used);
	credit_sim_destroy(run.sim);
	g_rand_free(run.rand);
	return bound_use <= 1 && used >= USED_MIN;
}

int main(void)
{
	const char *one = g_getenv("SEED");
	const char *text = g_getenv("SEEDS");
	guint seeds = text ? (guint)atoi(text) : SEEDS_DEFAULT;
	int failed = 0;
	guint i;

	if (one)
		return run_seed((guint)atoi(one), TRUE) ? 0 : 1;
	for (i = 0; i < G_N_ELEMENTS(kept_seeds); i++)
		failed += !run_seed(kept_seeds[i], FALSE);
	for (i = 1; i <= seeds; i++)
		failed += !run_seed(i, FALSE);
	printf("%u seeds, %d failed; at most %.3f of the bound, at least %.3f "
	       "of the limit used afterwards; %d granted, %d refused; events",
	       seeds, failed, coverage.bound_use, coverage.used_min,
	       (int)coverage.granted, (int)coverage.refused);
	for (i = 0; i < G_N_ELEMENTS(coverage.events); i++)
		printf(" %d", coverage.events[i]);
	printf("\n");
	return failed ? 1 : 0;
}
