#include "front/memory_budget.h"

#include "base/counter.h"

/* Refusing a request that holds less frees too little. */
#define WEIGHT_HELD_MIN 4096

/* Silence that doubles the weight of a request. */
#define WEIGHT_SILENCE_MS 100

struct memory_budget {
	size_t total;
	size_t reserve;
	size_t answers_max;
	size_t used[MEMORY_PARTS];
	size_t used_by_all;
	counter_t *gauges[MEMORY_PARTS];
};

static const char *const part_names[MEMORY_PARTS] = {
	[MEMORY_CONNECTIONS] = "connections",
	[MEMORY_HEADS] = "heads",
	[MEMORY_BODIES_READ] = "bodies_read",
	[MEMORY_BODIES_KEPT] = "bodies_kept",
	[MEMORY_PIPELINED] = "pipelined",
	[MEMORY_UNSENT] = "unsent",
	[MEMORY_ANSWERS] = "answers",
};

memory_budget_t *memory_budget_create(size_t total, size_t reserve,
				      size_t answers_max)
{
	memory_budget_t *budget = g_new0(memory_budget_t, 1);
	int i;

	g_assert(reserve <= total);
	budget->total = total;
	budget->reserve = reserve;
	budget->answers_max = answers_max;
	for (i = 0; i < MEMORY_PARTS; i++) {
		char *name = g_strdup_printf(
			"hc_callers_memory_bytes{part=\"%s\"}", part_names[i]);

		budget->gauges[i] = counter_get(name);
		g_free(name);
	}
	return budget;
}

void memory_budget_destroy(memory_budget_t *budget)
{
	g_free(budget);
}

void memory_budget_change(memory_budget_t *budget, memory_part_t part,
			  gssize change)
{
	if (!change)
		return;
	g_assert(change >= 0 || budget->used[part] >= (size_t)-change);
	budget->used[part] += (size_t)change;
	budget->used_by_all += (size_t)change;
	counter_set(budget->gauges[part], (int64_t)budget->used[part]);
}

size_t memory_budget_used(const memory_budget_t *budget, memory_part_t part)
{
	return budget->used[part];
}

size_t memory_budget_used_by_all(const memory_budget_t *budget)
{
	return budget->used_by_all;
}

gboolean memory_budget_has_room(const memory_budget_t *budget, size_t size,
				gboolean is_ordinary)
{
	size_t limit = budget->total - (is_ordinary ? 0 : budget->reserve);

	return budget->used_by_all <= limit &&
	       size <= limit - budget->used_by_all;
}

size_t memory_budget_body_max(const memory_budget_t *budget)
{
	return budget->total - budget->reserve;
}

gboolean memory_budget_is_freed_soon(const memory_budget_t *budget)
{
	return budget->used[MEMORY_BODIES_KEPT] + budget->used[MEMORY_UNSENT] +
		       budget->used[MEMORY_ANSWERS] >=
	       budget->total / 4;
}

gboolean memory_budget_is_short_for_answers(const memory_budget_t *budget)
{
	return budget->used[MEMORY_UNSENT] + budget->used[MEMORY_ANSWERS] >
	       budget->answers_max;
}

guint64 memory_request_weight(size_t held, ms_t silent)
{
	if (held < WEIGHT_HELD_MIN)
		return 0;
	return (guint64)held * (guint64)(WEIGHT_SILENCE_MS + MAX(silent, 0)) /
	       WEIGHT_SILENCE_MS;
}

void body_progress_begin(body_progress_t *progress, ms_t now)
{
	progress->since = now;
	progress->bytes = 0;
}

void body_progress_add(body_progress_t *progress, size_t size)
{
	progress->bytes += size;
}

gboolean body_progress_is_slow(body_progress_t *progress, ms_t now, ms_t window)
{
	gboolean is_slow;

	if (now - progress->since < window)
		return FALSE;
	is_slow = (ms_t)progress->bytes * MS_PER_S <
		  (now - progress->since) * BODY_RATE_MIN;
	body_progress_begin(progress, now);
	return is_slow;
}
