#include "request/quota_home.h"

/* Percentage that is divided evenly rather than by demand. */
#define EVEN_PERCENT 10

/* The last request of one entry. */
typedef struct {
	int64_t demand;
	ms_t requested_at;
} requester_t;

/* The entries that request a share of one limit. */
typedef struct {
	GHashTable *requesters; /* entry to requester_t */
	ms_t validity;
} limit_demand_t;

struct quota_home {
	GHashTable *limits; /* limit to limit_demand_t */
};

static void limit_demand_free(gpointer data)
{
	limit_demand_t *limit_demand = data;

	g_hash_table_destroy(limit_demand->requesters);
	g_free(limit_demand);
}

quota_home_t *quota_home_create(void)
{
	quota_home_t *home = g_new0(quota_home_t, 1);

	home->limits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     limit_demand_free);
	return home;
}

void quota_home_destroy(quota_home_t *home)
{
	g_hash_table_destroy(home->limits);
	g_free(home);
}

static limit_demand_t *limit_demand_get(quota_home_t *home, const char *limit)
{
	limit_demand_t *limit_demand = g_hash_table_lookup(home->limits, limit);

	if (limit_demand)
		return limit_demand;
	limit_demand = g_new0(limit_demand_t, 1);
	limit_demand->requesters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(home->limits, g_strdup(limit), limit_demand);
	return limit_demand;
}

static gboolean is_expired(gpointer name, gpointer value, gpointer now)
{
	const requester_t *requester = value;

	return requester->requested_at < *(const ms_t *)now;
}

/* Drop entries that have not requested a share for the validity time. */
static void expire_requesters(limit_demand_t *limit_demand, ms_t now)
{
	ms_t oldest = now - limit_demand->validity;

	g_hash_table_foreach_remove(limit_demand->requesters, is_expired,
				    &oldest);
}

static int64_t sum_demand(const limit_demand_t *limit_demand)
{
	GHashTableIter iter;
	int64_t sum = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, limit_demand->requesters);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += ((const requester_t *)value)->demand;
	return sum;
}

/* What remains after the reserved shares of the other entries. */
static int64_t unreserved_share(int64_t requester_count, int64_t entries)
{
	return QUOTA_FULL_SHARE - QUOTA_RESERVED_SHARE *
					  MAX(0, entries - requester_count) /
					  MAX(entries, 1);
}

int64_t quota_home_request_share(quota_home_t *home, ms_t now,
				 const char *limit, const char *entry,
				 int64_t demand, unsigned int entries)
{
	limit_demand_t *limit_demand = limit_demand_get(home, limit);
	requester_t *requester = g_new0(requester_t, 1);
	int64_t requester_count;
	double total;
	double demand_ratio;

	requester->demand = MAX(1, demand);
	requester->requested_at = now;
	limit_demand->validity =
		QUOTA_VALID_PERIODS * quota_request_period(entries);
	g_hash_table_replace(limit_demand->requesters, g_strdup(entry),
			     requester);
	expire_requesters(limit_demand, now);
	requester_count = g_hash_table_size(limit_demand->requesters);
	total = (double)unreserved_share(requester_count, entries);
	demand_ratio =
		(double)requester->demand / (double)sum_demand(limit_demand);
	return (int64_t)(total *
			 ((100 - EVEN_PERCENT) * demand_ratio +
			  EVEN_PERCENT / (double)requester_count) /
			 100);
}

static gboolean is_unused(gpointer limit, gpointer value, gpointer now)
{
	limit_demand_t *limit_demand = value;

	expire_requesters(limit_demand, *(const ms_t *)now);
	return g_hash_table_size(limit_demand->requesters) == 0;
}

void quota_home_tick(quota_home_t *home, ms_t now)
{
	g_hash_table_foreach_remove(home->limits, is_unused, &now);
}
