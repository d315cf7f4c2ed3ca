#include "route/even_load.h"

#include <math.h>
/*
 * A reported load loses two thirds of its weight in this time, which is a few
 * times the work of a plain request.
 */
#define LOAD_MEMORY_MS 300.0

/*
 * The same for how long work takes, which changes every 600 ms or so.  Where
 * changes are passed on, no news means no change; the weight is lost all the
 * same, in case the news did not arrive.
 */
#define WORK_MEMORY_MS	      600.0
#define WORK_SHARED_MEMORY_MS 1500.0

/* Standard deviation of the load, in requests per place, if nothing is known.
 */
#define LOAD_SPREAD 0.2

/* Time window of the moving averages. */
#define USUAL_MS 10000.0

/*
 * Cost of an idle endpoint, in requests per place: how far a fast endpoint is
 * filled before a slow one without requests is used.
 */
#define IDLE_COST 0.2

/*
 * The cost grows with this power of how long work takes.  With 1, the requests
 * of a slow endpoint overrun the fast ones.
 */
#define WORK_POWER 0.6

/* The share of a report that still holds at this age. */
static double kept_share(ms_t age, double memory)
{
	return age == MS_NEVER ? 0 : exp(-(double)age / memory);
}

/* The mean usual load of the others, in requests per place. */
static double mean_others(const even_load_input_t *inputs, guint count)
{
	double sum = 0;
	guint known = 0;
	guint i;

	for (i = 0; i < count; i++) {
		if (inputs[i].age == MS_NEVER)
			continue;
		sum += inputs[i].usual_others / inputs[i].places;
		known++;
	}
	return known ? sum / known : 0;
}

/*
 * In requests per place.  usual: the load by other instances of an endpoint
 * that has not reported yet.
 */
static double estimated_load(const even_load_input_t *input, double usual)
{
	double kept = kept_share(input->age, LOAD_MEMORY_MS);
	double others = usual * input->places;

	if (input->age != MS_NEVER)
		others = input->usual_others +
			 (input->others - input->usual_others) * kept;
	return (others + input->in_flight) / input->places;
}

static double estimated_percent(const even_load_input_t *input)
{
	double usual = input->usual_percent ? input->usual_percent : 100;
	double memory =
		input->is_work_shared ? WORK_SHARED_MEMORY_MS : WORK_MEMORY_MS;

	if (!input->work_percent)
		return usual;
	return usual + (input->work_percent - usual) *
			       kept_share(input->work_age, memory);
}

/* Returns a random number of mean 0 and standard deviation 1. */
static double draw(GRand *rand)
{
	double sum = g_rand_double(rand) + g_rand_double(rand) +
		     g_rand_double(rand) + g_rand_double(rand);

	return (sum - 2) * sqrt(3);
}

static double estimated_cost(const even_load_input_t *input, double usual,
			     GRand *rand)
{
	double kept = kept_share(input->age, LOAD_MEMORY_MS);
	double load = estimated_load(input, usual) +
		      draw(rand) * LOAD_SPREAD * sqrt(1 - kept * kept);

	return (IDLE_COST + MAX(load, 0) + input->penalty) *
	       pow(estimated_percent(input), WORK_POWER);
}

guint even_load_choose(const even_load_input_t *inputs, guint count,
		       GRand *rand)
{
	double usual = mean_others(inputs, count);
	double best_cost = 0;
	guint best = 0;
	guint i;

	for (i = 0; i < count; i++) {
		double cost = estimated_cost(&inputs[i], usual, rand);

		if (i && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	return best;
}

int even_load_imbalance(const even_load_input_t *inputs, guint count)
{
	double usual = mean_others(inputs, count);
	double lowest = G_MAXDOUBLE;
	double highest = 0;
	guint known = 0;
	guint i;

	for (i = 0; i < count; i++) {
		double load;

		if (inputs[i].age == MS_NEVER)
			continue;
		load = MAX(estimated_load(&inputs[i], usual), 0);
		lowest = MIN(lowest, load);
		highest = MAX(highest, load);
		known++;
	}
	return known < 2 ? 0 : (int)((highest - lowest) * 100 + 0.5);
}

double even_load_report_weight(ms_t since_last)
{
	return (double)since_last / ((double)since_last + USUAL_MS);
}
