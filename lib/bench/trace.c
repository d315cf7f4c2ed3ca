#include "bench/trace.h"

#include <math.h>

#define PER_THOUSAND 1000.0

#define RUSH_FACTOR	2.0
#define OVERLOAD_FACTOR 1.5
#define WARM_UP_SHARE	0.2

/*
 * Share of requests in a round that keep the adapter.  Another
 * TRACE_PARTNER_SHARE switch to its partner; the rest draw an adapter anew.
 */
#define SAME_ADAPTER_SHARE 0.5

/* Lengths are uniform within this share of their mean. */
#define LENGTH_SPREAD 0.5

/* Of ten callers one has priority 2, two have priority 1, the others 0. */
#define PRIORITY_CYCLE 10

typedef struct {
	const profile_t *profile;
	scenario_t scenario;
	GRand *rand;
	double *cumulative; /* of the Zipf distribution, by rank */
	trace_t *trace;
} generator_t;

static const char *const scenario_names[SCENARIO_COUNT] = {
	[SCENARIO_QUIET] = "quiet",	  [SCENARIO_RUSH] = "rush",
	[SCENARIO_SHIFT] = "shift",	  [SCENARIO_RESTART] = "restart",
	[SCENARIO_FAILURES] = "failures", [SCENARIO_OWNER] = "owner-lost",
	[SCENARIO_OVERLOAD] = "overload",
};

const char *scenario_name(scenario_t scenario)
{
	return scenario_names[scenario];
}

static void make_zipf(generator_t *generator)
{
	const profile_t *profile = generator->profile;
	int count = (int)MAX(profile->adapters, 1);
	double skew = (double)profile->skew_thousandths / PER_THOUSAND;
	double sum = 0;
	int rank;

	generator->cumulative = g_new(double, count);
	for (rank = 0; rank < count; rank++) {
		sum += pow(rank + 1, -skew);
		generator->cumulative[rank] = sum;
	}
	for (rank = 0; rank < count; rank++)
		generator->cumulative[rank] /= sum;
}

static int draw_rank(const generator_t *generator)
{
	double value = g_rand_double(generator->rand);
	int low = 0;
	int high = (int)MAX(generator->profile->adapters, 1) - 1;

	while (low < high) {
		int middle = (low + high) / 2;

		if (generator->cumulative[middle] < value)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

int trace_partner(const profile_t *profile, int adapter)
{
	int other = adapter ^ 1;

	return other < profile->adapters ? other : adapter;
}

static int adapter_of_rank(const generator_t *generator, int rank, ms_t start)
{
	int count = (int)MAX(generator->profile->adapters, 1);

	if (generator->scenario == SCENARIO_SHIFT &&
	    start >= generator->trace->end / 2)
		return (rank + count / 2) % count;
	return rank;
}

static int draw_length(const generator_t *generator, int64_t mean)
{
	double spread =
		LENGTH_SPREAD * (2 * g_rand_double(generator->rand) - 1);

	return MAX((int)((double)mean * (1 + spread)), 1);
}

static ms_t draw_exponential(const generator_t *generator, double mean)
{
	return (ms_t)(-mean * log(1 - g_rand_double(generator->rand)));
}

static int caller_priority(int caller)
{
	int place = caller % PRIORITY_CYCLE;

	if (place == 0)
		return 2;
	return place < 3 ? 1 : 0;
}

static void add_round(generator_t *generator, ms_t start)
{
	const profile_t *profile = generator->profile;
	GRand *rand = generator->rand;
	round_t round = {.start = start};
	int rank = draw_rank(generator);
	int i;

	round.caller = g_rand_int_range(rand, 0, (int)profile->callers);
	round.priority = caller_priority(round.caller);
	round.prefix = ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
	round.step_count = g_rand_int_range(rand, (int)profile->round_min,
					    (int)profile->round_max + 1);
	round.steps = g_new0(step_t, round.step_count);
	for (i = 0; i < round.step_count; i++) {
		double choice = g_rand_double(rand);
		step_t *step = &round.steps[i];

		if (i > 0 && choice >= SAME_ADAPTER_SHARE + TRACE_PARTNER_SHARE)
			rank = draw_rank(generator);
		else if (i > 0 && choice >= SAME_ADAPTER_SHARE)
			rank = trace_partner(generator->profile, rank);
		step->adapter = adapter_of_rank(generator, rank, start);
		step->prompt = draw_length(generator, profile->prompt_tokens);
		step->answer = draw_length(generator, profile->answer_tokens);
		step->think =
			draw_exponential(generator, (double)profile->think_ms);
	}
	g_array_append_val(generator->trace->rounds, round);
}

static double rate_factor(const generator_t *generator, ms_t now)
{
	ms_t end = generator->trace->end;
	double normal =
		(double)generator->profile->requests_per_1000s / PER_THOUSAND;

	if (generator->scenario == SCENARIO_RUSH)
		return now >= end / 3 && now < end * 2 / 3 ? RUSH_FACTOR : 1;
	if (generator->scenario == SCENARIO_OVERLOAD)
		return OVERLOAD_FACTOR * profile_capacity(generator->profile) /
		       normal;
	return 1;
}

trace_t *trace_create(const profile_t *profile, scenario_t scenario,
		      unsigned int seed)
{
	generator_t generator = {.profile = profile,
				 .scenario = scenario,
				 .rand = g_rand_new_with_seed(seed)};
	double round_length =
		(double)(profile->round_min + profile->round_max) / 2;
	double rounds_per_ms = (double)profile->requests_per_1000s /
			       PER_THOUSAND / MS_PER_S / round_length;
	trace_t *trace = g_new0(trace_t, 1);
	ms_t now = 0;

	trace->rounds = g_array_new(FALSE, FALSE, sizeof(round_t));
	trace->end = (ms_t)((double)profile->seconds * MS_PER_S);
	trace->warm_up = (ms_t)((double)trace->end * WARM_UP_SHARE);
	generator.trace = trace;
	make_zipf(&generator);
	while (now < trace->end) {
		double factor = rate_factor(&generator, now);

		add_round(&generator, now);
		now += draw_exponential(&generator,
					1 / (rounds_per_ms * factor));
	}
	g_rand_free(generator.rand);
	g_free(generator.cumulative);
	return trace;
}

void trace_destroy(trace_t *trace)
{
	unsigned int i;

	for (i = 0; i < trace->rounds->len; i++)
		g_free(g_array_index(trace->rounds, round_t, i).steps);
	g_array_free(trace->rounds, TRUE);
	g_free(trace);
}
