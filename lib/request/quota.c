#include "request/quota.h"

#include <math.h>

/* Time constant of the moving average of the demand. */
#define DEMAND_AVERAGE_MS 3000.0

/* Part of the reserved share above which an entry requests a share. */
#define REQUEST_SHARE_ABOVE 0.5

/* Milliseconds per second; also thousandths in the unit of the action ask. */
#define MILLI 1000.0

/* A declared limit and the share of it that this entry has. */
typedef struct {
	quota_t *quota;
	quota_kind_t kind;
	char *key; /* name of the limit in messages */
	char *name;
	admit_limit_t declared;
	double demand; /* requests per millisecond */
	ms_t demand_updated_at;
	int64_t share; /* from the last answer of the home */
	ms_t share_expires_at;
	int64_t applied_share;
	ms_t first_unanswered_at; /* start of the wait for an answer, or 0 */
	ms_t next_request_at;
} limit_share_t;

struct quota {
	quota_actions_t actions;
	void *ctx;
	unsigned int entries;
	GHashTable *limits; /* key to limit_share_t */
};

static void limit_share_free(gpointer data)
{
	limit_share_t *limit_share = data;

	g_free(limit_share->key);
	g_free(limit_share->name);
	g_free(limit_share);
}

quota_t *quota_create(const quota_actions_t *actions, void *ctx)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->actions = *actions;
	quota->ctx = ctx;
	quota->entries = 1;
	quota->limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      limit_share_free);
	return quota;
}

void quota_destroy(quota_t *quota)
{
	g_hash_table_destroy(quota->limits);
	g_free(quota);
}

ms_t quota_request_period(unsigned int entries)
{
	return MAX(QUOTA_PERIOD_MIN, QUOTA_PERIOD_PER_ENTRY * (ms_t)entries);
}

static ms_t validity(const quota_t *quota)
{
	return QUOTA_VALID_PERIODS * quota_request_period(quota->entries);
}

static int64_t even_share(const quota_t *quota)
{
	return QUOTA_FULL_SHARE / quota->entries;
}

static int64_t reserved_share(const quota_t *quota)
{
	return quota->entries == 1 ? QUOTA_FULL_SHARE
				   : QUOTA_RESERVED_SHARE / quota->entries;
}

static gboolean is_home_silent(const limit_share_t *limit_share, ms_t now)
{
	return limit_share->first_unanswered_at &&
	       now >= limit_share->first_unanswered_at +
			       quota_request_period(
				       limit_share->quota->entries);
}

static int64_t current_share(const limit_share_t *limit_share, ms_t now)
{
	if (limit_share->quota->entries == 1)
		return QUOTA_FULL_SHARE;
	if (now < limit_share->share_expires_at)
		return limit_share->share;
	if (is_home_silent(limit_share, now))
		return even_share(limit_share->quota);
	return reserved_share(limit_share->quota);
}

/*
 * The share for the limits of concurrent and queued requests.  It is the whole
 * limit until the home has answered: with the reserved share the entry would
 * refuse the first burst of a caller that was idle.
 */
static int64_t current_count_share(const limit_share_t *limit_share, ms_t now)
{
	if (now < limit_share->share_expires_at ||
	    is_home_silent(limit_share, now))
		return current_share(limit_share, now);
	return QUOTA_FULL_SHARE;
}

static double scale(double limit, int64_t share)
{
	return limit * (double)share / (double)QUOTA_FULL_SHARE;
}

/* Scales a number of requests to at least 1; 0 remains "no limit". */
static int64_t scale_count(int64_t limit, int64_t share)
{
	return limit ? MAX(1, llround(scale((double)limit, share))) : 0;
}

static void apply_share(limit_share_t *limit_share, ms_t now)
{
	quota_t *quota = limit_share->quota;
	const admit_limit_t *declared = &limit_share->declared;
	int64_t share = current_share(limit_share, now);
	int64_t burst_share = MAX(share, even_share(quota));
	int64_t count_share = current_count_share(limit_share, now);
	admit_limit_t limit = {0};

	limit_share->applied_share = share;
	limit.rate = scale(declared->rate, share);
	if (declared->rate > 0)
		limit.burst = MAX(1, (int64_t)scale((double)declared->burst,
						    burst_share));
	limit.concurrent = scale_count(declared->concurrent, count_share);
	limit.queued = scale_count(declared->queued, count_share);
	quota->actions.apply(quota->ctx, limit_share->kind, limit_share->name,
			     &limit);
}

static char *limit_key(quota_kind_t kind, const char *name)
{
	return g_strconcat(kind == QUOTA_CALLER ? "caller/" : "service/", name,
			   NULL);
}

static gboolean is_limited(const admit_limit_t *limit)
{
	return limit->rate > 0 || limit->concurrent > 0 || limit->queued > 0;
}

void quota_set_limit(quota_t *quota, ms_t now, quota_kind_t kind,
		     const char *name, const admit_limit_t *limit)
{
	char *key = limit_key(kind, name);
	limit_share_t *limit_share = g_hash_table_lookup(quota->limits, key);

	if (!limit_share && is_limited(limit)) {
		limit_share = g_new0(limit_share_t, 1);
		limit_share->quota = quota;
		limit_share->kind = kind;
		limit_share->key = g_strdup(key);
		limit_share->name = g_strdup(name);
		limit_share->demand_updated_at = now;
		g_hash_table_insert(quota->limits, limit_share->key,
				    limit_share);
	}
	if (limit_share && is_limited(limit)) {
		limit_share->declared = *limit;
		apply_share(limit_share, now);
	} else {
		g_hash_table_remove(quota->limits, key);
		quota->actions.apply(quota->ctx, kind, name, limit);
	}
	g_free(key);
}

void quota_set_entries(quota_t *quota, ms_t now, unsigned int entries)
{
	GHashTableIter iter;
	gpointer limit_share;

	entries = MAX(entries, 1);
	if (entries == quota->entries)
		return;
	quota->entries = entries;
	g_hash_table_iter_init(&iter, quota->limits);
	while (g_hash_table_iter_next(&iter, NULL, &limit_share))
		apply_share(limit_share, now);
}

static void decay_demand(limit_share_t *limit_share, ms_t now)
{
	if (now <= limit_share->demand_updated_at)
		return;
	limit_share->demand *=
		exp(-(double)(now - limit_share->demand_updated_at) /
		    DEMAND_AVERAGE_MS);
	limit_share->demand_updated_at = now;
}

/* Whether the demand exceeds what the reserved share safely covers. */
static gboolean needs_home_share(const limit_share_t *limit_share)
{
	double reserved = scale(limit_share->declared.rate,
				reserved_share(limit_share->quota));

	return limit_share->declared.concurrent > 0 ||
	       limit_share->declared.queued > 0 ||
	       limit_share->demand * MILLI > reserved * REQUEST_SHARE_ABOVE;
}

static void request_share(limit_share_t *limit_share, ms_t now)
{
	quota_t *quota = limit_share->quota;
	int64_t demand = MAX(1, (int64_t)(limit_share->demand * MILLI * MILLI));

	limit_share->next_request_at =
		now + quota_request_period(quota->entries);
	if (!limit_share->first_unanswered_at)
		limit_share->first_unanswered_at = now;
	quota->actions.ask(quota->ctx, limit_share->key, demand);
}

void quota_count_request(quota_t *quota, ms_t now, quota_kind_t kind,
			 const char *name)
{
	char *key = limit_key(kind, name);
	limit_share_t *limit_share = g_hash_table_lookup(quota->limits, key);

	g_free(key);
	if (!limit_share)
		return;
	decay_demand(limit_share, now);
	limit_share->demand += 1.0 / DEMAND_AVERAGE_MS;
	if (quota->entries > 1 && now >= limit_share->next_request_at &&
	    needs_home_share(limit_share))
		request_share(limit_share, now);
}

void quota_set_share(quota_t *quota, ms_t now, const char *limit, int64_t share)
{
	limit_share_t *limit_share = g_hash_table_lookup(quota->limits, limit);

	if (!limit_share)
		return;
	limit_share->first_unanswered_at = 0;
	limit_share->share =
		CLAMP(share, reserved_share(quota), QUOTA_FULL_SHARE);
	limit_share->share_expires_at = now + validity(quota);
	apply_share(limit_share, now);
}

/* Expire the share and detect a silent home; TRUE if a timer is pending. */
static gboolean limit_share_tick(limit_share_t *limit_share, ms_t now)
{
	if (now >= limit_share->share_expires_at)
		limit_share->share_expires_at = 0;
	/* Without recent requests it is unknown whether the home is silent. */
	if (limit_share->first_unanswered_at &&
	    now >= limit_share->next_request_at + validity(limit_share->quota))
		limit_share->first_unanswered_at = 0;
	if (current_share(limit_share, now) != limit_share->applied_share)
		apply_share(limit_share, now);
	return limit_share->share_expires_at ||
	       limit_share->first_unanswered_at;
}

ms_t quota_tick(quota_t *quota, ms_t now)
{
	GHashTableIter iter;
	gboolean is_active = FALSE;
	gpointer limit_share;

	g_hash_table_iter_init(&iter, quota->limits);
	while (g_hash_table_iter_next(&iter, NULL, &limit_share))
		is_active |= limit_share_tick(limit_share, now);
	return is_active ? now + QUOTA_PERIOD_MIN : MS_NEVER;
}
