#include "request/quota.h"

#include <math.h>

/* Time constant of the average of demand. */
#define DEMAND_AVERAGE_MS 3000.0

/* Part of an entry's own share beyond which it asks for more. */
#define ASK_ABOVE 0.5

#define PER_S 1000.0 /* thousandths, and milliseconds */

/* One limit. */
typedef struct {
	quota_t *quota;
	quota_kind_t kind;
	char *key; /* as the home knows it */
	char *name;
	admit_limit_t declared;
	double demand; /* requests a millisecond */
	ms_t demand_at;
	int64_t share; /* as answered */
	ms_t share_until;
	int64_t applied;
	ms_t asked_at; /* 0 if not since the last answer */
	ms_t next_ask;
} part_t;

struct quota {
	quota_actions_t actions;
	void *ctx;
	unsigned int entries;
	GHashTable *parts; /* key to part_t */
};

static void part_free(gpointer data)
{
	part_t *part = data;

	g_free(part->key);
	g_free(part->name);
	g_free(part);
}

quota_t *quota_create(const quota_actions_t *actions, void *ctx)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->actions = *actions;
	quota->ctx = ctx;
	quota->entries = 1;
	quota->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, part_free);
	return quota;
}

void quota_destroy(quota_t *quota)
{
	g_hash_table_destroy(quota->parts);
	g_free(quota);
}

ms_t quota_period(unsigned int entries)
{
	return MAX(QUOTA_PERIOD_MIN, QUOTA_PERIOD_PER_ENTRY * (ms_t)entries);
}

static ms_t validity(const quota_t *quota)
{
	return QUOTA_PERIODS_VALID * quota_period(quota->entries);
}

static int64_t even_share(const quota_t *quota)
{
	return QUOTA_WHOLE / quota->entries;
}

static int64_t own_share(const quota_t *quota)
{
	return quota->entries == 1 ? QUOTA_WHOLE
				   : QUOTA_RESERVE / quota->entries;
}

static gboolean is_home_silent(const part_t *part, ms_t now)
{
	return part->asked_at &&
	       now >= part->asked_at + quota_period(part->quota->entries);
}

static int64_t present_share(const part_t *part, ms_t now)
{
	if (part->quota->entries == 1)
		return QUOTA_WHOLE;
	if (now < part->share_until)
		return part->share;
	if (is_home_silent(part, now))
		return even_share(part->quota);
	return own_share(part->quota);
}

/*
 * Of numbers of requests the whole is given until the home has answered: the
 * entry would else refuse what comes at once to a caller that was quiet.
 */
static int64_t present_count_share(const part_t *part, ms_t now)
{
	if (now < part->share_until || is_home_silent(part, now))
		return present_share(part, now);
	return QUOTA_WHOLE;
}

static double scale(double limit, int64_t share)
{
	return limit * (double)share / (double)QUOTA_WHOLE;
}

/* A part of a number of requests: at least one, but 0 stays no limit. */
static int64_t scale_count(int64_t limit, int64_t share)
{
	return limit ? MAX(1, llround(scale((double)limit, share))) : 0;
}

static void apply(part_t *part, ms_t now)
{
	quota_t *quota = part->quota;
	const admit_limit_t *declared = &part->declared;
	int64_t share = present_share(part, now);
	int64_t burst_share = MAX(share, even_share(quota));
	int64_t count_share = present_count_share(part, now);
	admit_limit_t limit = {0};

	part->applied = share;
	limit.rate = scale(declared->rate, share);
	if (declared->rate > 0)
		limit.burst = MAX(1, (int64_t)scale((double)declared->burst,
						    burst_share));
	limit.concurrent = scale_count(declared->concurrent, count_share);
	limit.queued = scale_count(declared->queued, count_share);
	quota->actions.apply(quota->ctx, part->kind, part->name, &limit);
}

static char *part_key(quota_kind_t kind, const char *name)
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
	char *key = part_key(kind, name);
	part_t *part = g_hash_table_lookup(quota->parts, key);

	if (!part && is_limited(limit)) {
		part = g_new0(part_t, 1);
		part->quota = quota;
		part->kind = kind;
		part->key = g_strdup(key);
		part->name = g_strdup(name);
		part->demand_at = now;
		g_hash_table_insert(quota->parts, part->key, part);
	}
	if (part && is_limited(limit)) {
		part->declared = *limit;
		apply(part, now);
	} else {
		g_hash_table_remove(quota->parts, key);
		quota->actions.apply(quota->ctx, kind, name, limit);
	}
	g_free(key);
}

void quota_set_entries(quota_t *quota, ms_t now, unsigned int entries)
{
	GHashTableIter iter;
	gpointer part;

	entries = MAX(entries, 1);
	if (entries == quota->entries)
		return;
	quota->entries = entries;
	g_hash_table_iter_init(&iter, quota->parts);
	while (g_hash_table_iter_next(&iter, NULL, &part))
		apply(part, now);
}

static void decay(part_t *part, ms_t now)
{
	if (now <= part->demand_at)
		return;
	part->demand *=
		exp(-(double)(now - part->demand_at) / DEMAND_AVERAGE_MS);
	part->demand_at = now;
}

/* Whether more is asked of this entry than its own share safely carries. */
static gboolean needs_more(const part_t *part)
{
	double own = scale(part->declared.rate, own_share(part->quota));

	return part->declared.concurrent > 0 || part->declared.queued > 0 ||
	       part->demand * PER_S > own * ASK_ABOVE;
}

static void ask(part_t *part, ms_t now)
{
	quota_t *quota = part->quota;
	int64_t demand = MAX(1, (int64_t)(part->demand * PER_S * PER_S));

	part->next_ask = now + quota_period(quota->entries);
	if (!part->asked_at)
		part->asked_at = now;
	quota->actions.ask(quota->ctx, part->key, demand);
}

void quota_count_request(quota_t *quota, ms_t now, quota_kind_t kind,
			 const char *name)
{
	char *key = part_key(kind, name);
	part_t *part = g_hash_table_lookup(quota->parts, key);

	g_free(key);
	if (!part)
		return;
	decay(part, now);
	part->demand += 1.0 / DEMAND_AVERAGE_MS;
	if (quota->entries > 1 && now >= part->next_ask && needs_more(part))
		ask(part, now);
}

void quota_set_share(quota_t *quota, ms_t now, const char *limit, int64_t share)
{
	part_t *part = g_hash_table_lookup(quota->parts, limit);

	if (!part)
		return;
	part->asked_at = 0;
	part->share = CLAMP(share, own_share(quota), QUOTA_WHOLE);
	part->share_until = now + validity(quota);
	apply(part, now);
}

/* Follow shares that lapse, and homes that become silent. */
static gboolean part_tick(part_t *part, ms_t now)
{
	if (now >= part->share_until)
		part->share_until = 0;
	/* Nobody asks any more: whether the home is silent is not known. */
	if (part->asked_at && now >= part->next_ask + validity(part->quota))
		part->asked_at = 0;
	if (present_share(part, now) != part->applied)
		apply(part, now);
	return part->share_until || part->asked_at;
}

ms_t quota_tick(quota_t *quota, ms_t now)
{
	GHashTableIter iter;
	gboolean is_active = FALSE;
	gpointer part;

	g_hash_table_iter_init(&iter, quota->parts);
	while (g_hash_table_iter_next(&iter, NULL, &part))
		is_active |= part_tick(part, now);
	return is_active ? now + QUOTA_PERIOD_MIN : MS_NEVER;
}
