#include "bench/result.h"

#include <stddef.h>

#include "base/clock.h"

#define FIELD(field, unit_name)                                                \
	{                                                                      \
		.name = #field, .unit = (unit_name),                           \
		.offset = offsetof(measures_t, field)                          \
	}

const measure_field_t measure_fields[] = {
	FIELD(requests, "count"),
	FIELD(stalled_share, "share"),
	FIELD(stall_p50, "ms"),
	FIELD(stall_p95, "ms"),
	FIELD(stall_p99, "ms"),
	FIELD(stall_sum, "s"),
	FIELD(batch, "share"),
	FIELD(batch_waiting, "share"),
	FIELD(first_p50, "ms"),
	FIELD(first_p95, "ms"),
	FIELD(token_p95, "ms"),
	FIELD(refusals, "count"),
	FIELD(abandoned, "count"),
	FIELD(loads, "count"),
	FIELD(fairness, "share"),
	FIELD(tail_p99, "ms"),
	FIELD(tail_max, "ms"),
	FIELD(urgent_p95, "ms"),
	FIELD(useful, "share"),
	FIELD(miss_first, "s"),
	FIELD(miss_again, "s"),
	FIELD(miss_copy, "s"),
	FIELD(wait_pause, "s"),
	FIELD(wait_grant, "s"),
	FIELD(wait_load, "s"),
	FIELD(wait_place, "s"),
	{.name = NULL},
};

double measure_get(const measures_t *measures, const measure_field_t *field)
{
	return *(const double *)((const char *)measures + field->offset);
}

static GArray *make_array(void)
{
	return g_array_new(FALSE, FALSE, sizeof(double));
}

result_t *result_create(const profile_t *profile)
{
	result_t *result = g_new0(result_t, 1);
	int i;

	result->stalls = make_array();
	result->tail_stalls = make_array();
	result->first_tokens = make_array();
	for (i = 0; i < RESULT_PRIORITIES; i++)
		result->priority_stalls[i] = make_array();
	result->callers = (int)profile->callers;
	result->caller_sum = g_new0(double, result->callers);
	result->caller_count = g_new0(int, result->callers);
	return result;
}

void result_destroy(result_t *result)
{
	int i;

	g_array_free(result->stalls, TRUE);
	g_array_free(result->tail_stalls, TRUE);
	g_array_free(result->first_tokens, TRUE);
	for (i = 0; i < RESULT_PRIORITIES; i++)
		g_array_free(result->priority_stalls[i], TRUE);
	g_free(result->caller_sum);
	g_free(result->caller_count);
	g_free(result);
}

static int compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* The quantile for a share from 0 to 1, not interpolated; sorts the sample. */
static double quantile(GArray *sample, double share)
{
	unsigned int index;

	if (sample->len == 0)
		return 0;
	g_array_sort(sample, compare);
	index = (unsigned int)(share * (sample->len - 1) + 0.5);
	return g_array_index(sample, double, index);
}

static double sum(const GArray *sample)
{
	double total = 0;
	unsigned int i;

	for (i = 0; i < sample->len; i++)
		total += g_array_index(sample, double, i);
	return total;
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

/* Jain's fairness index of the callers' mean times to the first token. */
static double fairness(const result_t *result)
{
	double total = 0;
	double squares = 0;
	int count = 0;
	int i;

	for (i = 0; i < result->callers; i++) {
		double mean;

		if (result->caller_count[i] == 0)
			continue;
		mean = result->caller_sum[i] / result->caller_count[i];
		total += mean;
		squares += mean * mean;
		count++;
	}
	return ratio(total * total, squares * count);
}

static double token_quantile(const result_t *result, double share)
{
	double total = 0;
	double seen = 0;
	int i;

	for (i = 0; i < RESULT_STEP_MS; i++)
		total += result->token_ms[i];
	for (i = 0; i < RESULT_STEP_MS; i++) {
		seen += result->token_ms[i];
		if (seen >= share * total)
			return i;
	}
	return 0;
}

void result_measures(const result_t *result, const profile_t *profile,
		     measures_t *measures)
{
	double capacity = profile_capacity(profile) * result->seconds;

	*measures = (measures_t){
		.requests = result->requests,
		.stalled_share = ratio(result->stalls->len, result->requests),
		.stall_p50 = quantile(result->stalls, 0.5),
		.stall_p95 = quantile(result->stalls, 0.95),
		.stall_p99 = quantile(result->stalls, 0.99),
		.stall_sum = sum(result->stalls) / MS_PER_S,
		.batch = ratio(result->filled_places,
			       result->steps * (double)profile->places),
		.batch_waiting =
			ratio(result->waiting_filled_places,
			      result->waiting_steps * (double)profile->places),
		.first_p50 = quantile(result->first_tokens, 0.5),
		.first_p95 = quantile(result->first_tokens, 0.95),
		.token_p95 = token_quantile(result, 0.95),
		.refusals = result->refusals,
		.abandoned = result->abandoned,
		.loads = result->loads,
		.fairness = fairness(result),
		.tail_p99 = quantile(result->tail_stalls, 0.99),
		.tail_max = quantile(result->tail_stalls, 1),
		.urgent_p95 = quantile(
			result->priority_stalls[RESULT_PRIORITIES - 1], 0.95),
		.useful = ratio(result->answered, capacity),
		.miss_first = result->miss_ms[MISS_FIRST] / MS_PER_S,
		.miss_again = result->miss_ms[MISS_AGAIN] / MS_PER_S,
		.miss_copy = result->miss_ms[MISS_COPY] / MS_PER_S,
		.wait_pause = result->wait_ms[WAIT_PAUSE] / MS_PER_S,
		.wait_grant = result->wait_ms[WAIT_GRANT] / MS_PER_S,
		.wait_load = result->wait_ms[WAIT_LOAD] / MS_PER_S,
		.wait_place = result->wait_ms[WAIT_PLACE] / MS_PER_S,
	};
}
