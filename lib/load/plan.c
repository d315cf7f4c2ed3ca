#include "load/plan.h"

#include <math.h>

#include "base/clock.h"

struct plan {
	const plan_options_t *options;
	GRand *rand;
	double *cumulative; /* sum of Zipf weights up to each rank */
	int64_t requests;   /* drawn so far */
};

plan_t *plan_create(const plan_options_t *options)
{
	plan_t *plan = g_new0(plan_t, 1);
	double sum = 0;

	g_assert(options->adapters >= 1);
	plan->options = options;
	plan->rand = g_rand_new_with_seed(options->seed);
	plan->cumulative = g_new(double, options->adapters);
	for (int64_t i = 0; i < options->adapters; i++) {
		sum += pow((double)(i + 1), -options->skew);
		plan->cumulative[i] = sum;
	}
	return plan;
}

void plan_destroy(plan_t *plan)
{
	if (!plan)
		return;
	g_rand_free(plan->rand);
	g_free(plan->cumulative);
	g_free(plan);
}

/* Draw a rank by binary search in the cumulative weights. */
static int64_t draw_rank(plan_t *plan)
{
	int64_t low = 0;
	int64_t high = plan->options->adapters - 1;
	double share = g_rand_double(plan->rand) * plan->cumulative[high];

	while (low < high) {
		int64_t middle = low + (high - low) / 2;

		if (plan->cumulative[middle] > share)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

plan_round_t plan_draw_round(plan_t *plan, int64_t caller)
{
	return (plan_round_t){.caller = caller,
			      .first = draw_rank(plan),
			      .steps = plan->options->round};
}

void plan_draw_request(plan_t *plan, const plan_round_t *round, int64_t step,
		       plan_request_t *request)
{
	const plan_options_t *options = plan->options;
	int64_t rank = (round->first + step) % options->adapters;

	plan->requests++;
	request->model = g_strdup_printf("%s%" G_GINT64_FORMAT "@%s",
					 options->adapter_prefix, rank,
					 options->version);
	request->prompt = g_strdup_printf("caller %" G_GINT64_FORMAT
					  " asks %" G_GINT64_FORMAT,
					  round->caller, plan->requests);
	request->id = g_strdup_printf(
		"load-%" G_GINT64_FORMAT "-%u-%" G_GINT64_FORMAT, options->run,
		options->seed, plan->requests);
	request->is_idempotent = g_rand_int_range(plan->rand, 0, 100) >=
				 options->non_idempotent_percent;
}

void plan_request_clear(plan_request_t *request)
{
	g_clear_pointer(&request->model, g_free);
	g_clear_pointer(&request->prompt, g_free);
	g_clear_pointer(&request->id, g_free);
}

double plan_draw_interval(plan_t *plan, double rate)
{
	return -log(1.0 - g_rand_double(plan->rand)) * MS_PER_S / rate;
}
