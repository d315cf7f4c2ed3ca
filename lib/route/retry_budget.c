#include "route/retry_budget.h"

#include <string.h>

/* A window is counted in slices; one more is kept for a window under way. */
#define SLICES 10

/* Part of the budget that is used; the rest covers instances not yet known. */
#define USED_PART 0.8

typedef struct {
	int64_t first; /* number of the newest slice */
	int requests[SLICES + 1];
	int repeats[SLICES + 1];
} account_t;

struct retry_budget {
	retry_budget_options_t options;
	guint instances;
	GHashTable *accounts; /* service to account_t */
};

retry_budget_t *retry_budget_create(const retry_budget_options_t *options)
{
	retry_budget_t *budget = g_new0(retry_budget_t, 1);

	budget->options = *options;
	budget->instances = 1;
	budget->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void retry_budget_destroy(retry_budget_t *budget)
{
	g_hash_table_destroy(budget->accounts);
	g_free(budget);
}

void retry_budget_set_instances(retry_budget_t *budget, guint count)
{
	budget->instances = MAX(count, 1);
}

static account_t *account_at(retry_budget_t *budget, ms_t now,
			     const char *service)
{
	account_t *account = g_hash_table_lookup(budget->accounts, service);
	int64_t slice = now / (budget->options.window / SLICES);
	int64_t passed;

	if (!account) {
		account = g_new0(account_t, 1);
		account->first = slice;
		g_hash_table_insert(budget->accounts, g_strdup(service),
				    account);
	}
	passed = CLAMP(slice - account->first, 0, SLICES + 1);
	if (passed) {
		size_t kept = (size_t)(SLICES + 1 - passed) * sizeof(int);

		memmove(account->requests + passed, account->requests, kept);
		memmove(account->repeats + passed, account->repeats, kept);
		memset(account->requests, 0, (size_t)passed * sizeof(int));
		memset(account->repeats, 0, (size_t)passed * sizeof(int));
		account->first = slice;
	}
	return account;
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
	account_at(budget, now, service)->requests[0]++;
}

gboolean retry_budget_has(retry_budget_t *budget, ms_t now, const char *service)
{
	const account_t *account = account_at(budget, now, service);
	double requests = sum(account->requests, SLICES);
	double repeats = sum(account->repeats, SLICES + 1);
	double allowed = budget->options.share * requests +
			 budget->options.slack / budget->instances;

	return repeats + 1 <= allowed * USED_PART;
}

gboolean retry_budget_take(retry_budget_t *budget, ms_t now,
			   const char *service)
{
	if (!retry_budget_has(budget, now, service))
		return FALSE;
	account_at(budget, now, service)->repeats[0]++;
	return TRUE;
}
