#include "request/quota_home.h"

/* Part of what is given out that is divided evenly, in percent. */
#define EVEN_PERCENT 10

/* What one entry asked for. */
typedef struct {
	int64_t demand;
	ms_t as_of;
} claimant_t;

/* One limit: who asks for a share of it. */
typedef struct {
	GHashTable *claimants; /* entry to claimant_t */
	ms_t validity;
} division_t;

struct quota_home {
	GHashTable *divisions; /* limit to division_t */
};

static void division_free(gpointer data)
{
	division_t *division = data;

	g_hash_table_destroy(division->claimants);
	g_free(division);
}

quota_home_t *quota_home_create(void)
{
	quota_home_t *home = g_new0(quota_home_t, 1);

	home->divisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						division_free);
	return home;
}

void quota_home_destroy(quota_home_t *home)
{
	g_hash_table_destroy(home->divisions);
	g_free(home);
}

static division_t *division_get(quota_home_t *home, const char *limit)
{
	division_t *division = g_hash_table_lookup(home->divisions, limit);

	if (division)
		return division;
	division = g_new0(division_t, 1);
	division->claimants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(home->divisions, g_strdup(limit), division);
	return division;
}

static gboolean is_old(gpointer name, gpointer value, gpointer now)
{
	const claimant_t *claimant = value;

	return claimant->as_of < *(const ms_t *)now;
}

/* Drop those who have not asked for the time that a share is valid. */
static void drop_old(division_t *division, ms_t now)
{
	ms_t oldest = now - division->validity;

	g_hash_table_foreach_remove(division->claimants, is_old, &oldest);
}

static int64_t sum_demand(const division_t *division)
{
	GHashTableIter iter;
	int64_t sum = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, division->claimants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += ((const claimant_t *)value)->demand;
	return sum;
}

/* What is left once the entries that do not ask have their own shares. */
static int64_t given_out(int64_t asking, int64_t entries)
{
	return QUOTA_WHOLE -
	       QUOTA_RESERVE * MAX(0, entries - asking) / MAX(entries, 1);
}

int64_t quota_home_request_share(quota_home_t *home, ms_t now,
				 const char *limit, const char *entry,
				 int64_t demand, unsigned int entries)
{
	division_t *division = division_get(home, limit);
	claimant_t *claimant = g_new0(claimant_t, 1);
	int64_t asking;
	double whole;
	double part;

	claimant->demand = MAX(1, demand);
	claimant->as_of = now;
	division->validity = QUOTA_PERIODS_VALID * quota_period(entries);
	g_hash_table_replace(division->claimants, g_strdup(entry), claimant);
	drop_old(division, now);
	asking = g_hash_table_size(division->claimants);
	whole = (double)given_out(asking, entries);
	part = (double)claimant->demand / (double)sum_demand(division);
	return (int64_t)(whole *
			 ((100 - EVEN_PERCENT) * part +
			  EVEN_PERCENT / (double)asking) /
			 100);
}

static gboolean is_unused(gpointer limit, gpointer value, gpointer now)
{
	division_t *division = value;

	drop_old(division, *(const ms_t *)now);
	return g_hash_table_size(division->claimants) == 0;
}

void quota_home_tick(quota_home_t *home, ms_t now)
{
	g_hash_table_foreach_remove(home->divisions, is_unused, &now);
}
