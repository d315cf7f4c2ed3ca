#include "route/retry_budget.h"

#include <string.h>

/*
 * A sliding window is counted in this many slices.  One more slice is kept, as
 * the newest is incomplete.
 */
#define WINDOW_SLICES 10

/* Fraction of the budget that is used; the rest covers unknown instances. */
#define USABLE_FRACTION 0.8

typedef struct {
	int64_t newest_slice; /* number of the newest slice */
	int requests[WINDOW_SLICES + 1];
	int retries[WINDOW_SLICES + 1];
} window_t;

struct retry_budget {
	retry_budget_options_t options;
	guint instances;
	GHashTable *windows; /* service to window_t */
};

retry_budget_t *retry_budget_create(const retry_budget_options_t *options)
{
	retry_budget_t *budget = g_new0(retry_budget_t, 1);

	budget->options = *options;
	budget->instances = 1;
	budget->windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void retry_budget_destroy(retry_budget_t *budget)
{
	g_hash_table_destroy(budget->windows);
	g_free(budget);
}

void retry_budget_set_instances(retry_budget_t *budget, guint count)
{
	budget->instances = MAX(count, 1);
}

static window_t *window_at(retry_budget_t *budget, ms_t now,
			   const char *service)
{
	window_t *window = g_hash_table_lookup(budget->windows, service);
	int64_t slice = now / (budget->options.window / WINDOW_SLICES);
	int64_t elapsed;

	if (!window) {
		window = g_new0(window_t, 1);
		window->newest_slice = slice;
		g_hash_table_insert(budget->windows, g_strdup(service), window);
	}
	elapsed = CLAMP(slice - window->newest_slice, 0, WINDOW_SLICES + 1);
	if (elapsed) {
		size_t kept_size =
			(size_t)(WINDOW_SLICES + 1 - elapsed) * sizeof(int);

		memmove(window->requests + elapsed, window->requests,
			kept_size);
		memmove(window->retries + elapsed, window->retries, kept_size);
		memset(window->requests, 0, (size_t)elapsed * sizeof(int));
		memset(window->retries, 0, (size_t)elapsed * sizeof(int));
		window->newest_slice = slice;
	}
	return window;
}

static int sum(const int *slices, int count)
{
	int total = 0;
	int i;

	for (i = 0; i < count; i++)
		total += slices[i];
	return total;
}

void retry_budget_count_request(retry_budget_t *budget, ms_t now,
				const char *service)
{
	window_at(budget, now, service)->requests[0]++;
}

gboolean retry_budget_has(retry_budget_t *budget, ms_t now, const char *service)
{
	const window_t *window = window_at(budget, now, service);
	double requests = sum(window->requests, WINDOW_SLICES);
	double retries = sum(window->retries, WINDOW_SLICES + 1);
	double allowed = budget->options.share * requests +
			 budget->options.slack / budget->instances;

	return retries + 1 <= allowed * USABLE_FRACTION;
}

gboolean retry_budget_take(retry_budget_t *budget, ms_t now,
			   const char *service)
{
	if (!retry_budget_has(budget, now, service))
		return FALSE;
	window_at(budget, now, service)->retries[0]++;
	return TRUE;
}
