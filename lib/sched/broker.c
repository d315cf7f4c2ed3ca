#include "sched/broker.h"

#include <math.h>
#include <string.h>
#include <sys/queue.h>

#define DEFAULT_TRANSIT_MS 10000
#define DEFAULT_WANT_LIMIT 65536

/* A waiting request gains the worth of one more for each such age. */
#define AGE_UNIT_MS 8000.0

/* One step of priority multiplies what a waiting request is worth. */
#define PRIORITY_FACTOR 4.0

/* Priorities beyond this count as this. */
#define PRIORITY_LIMIT 8

typedef struct want {
	TAILQ_ENTRY(want) link;
	char *key;
	char *endpoint;
	char *adapter;
	load_request_t want;
	ms_t since; /* first asked for */
} want_t;

TAILQ_HEAD(want_list, want);

typedef struct transit {
	TAILQ_ENTRY(transit) link;
	char *key;
	char *endpoint;
	ms_t until;
} transit_t;

TAILQ_HEAD(transit_list, transit);

struct broker {
	broker_config_t config;
	broker_actions_t actions;
	void *ctx;
	GHashTable *wants;	    /* key to want_t */
	struct want_list order;	    /* by the time first asked for */
	GHashTable *transits;	    /* key to transit_t */
	struct transit_list expiry; /* by the time of expiry */
	double next_grant;	    /* ms; no grant before */
	unsigned int granted;
};

void broker_config_init(broker_config_t *config, double rate, int transit_limit)
{
	*config = (broker_config_t){.rate = rate,
				    .transit_limit = transit_limit,
				    .transit_time = DEFAULT_TRANSIT_MS,
				    .want_limit = DEFAULT_WANT_LIMIT};
}

static void want_free(void *data)
{
	want_t *want = data;

	g_free(want->key);
	g_free(want->endpoint);
	g_free(want->adapter);
	g_free(want);
}

static void transit_free(void *data)
{
	transit_t *transit = data;

	g_free(transit->key);
	g_free(transit->endpoint);
	g_free(transit);
}

/* The hash tables own the wants and the transits. */
static void want_remove(broker_t *broker, want_t *want)
{
	TAILQ_REMOVE(&broker->order, want, link);
	g_hash_table_remove(broker->wants, want->key);
}

static void transit_remove(broker_t *broker, transit_t *transit)
{
	TAILQ_REMOVE(&broker->expiry, transit, link);
	g_hash_table_remove(broker->transits, transit->key);
}

broker_t *broker_create(const broker_config_t *config,
			const broker_actions_t *actions, void *ctx)
{
	broker_t *broker = g_new0(broker_t, 1);

	g_assert(config->rate > 0 && config->transit_limit > 0);
	broker->config = *config;
	broker->actions = *actions;
	broker->ctx = ctx;
	broker->wants =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, want_free);
	broker->transits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 transit_free);
	TAILQ_INIT(&broker->order);
	TAILQ_INIT(&broker->expiry);
	return broker;
}

void broker_destroy(broker_t *broker)
{
	if (!broker)
		return;
	g_hash_table_destroy(broker->wants);
	g_hash_table_destroy(broker->transits);
	g_free(broker);
}

void broker_set_limits(broker_t *broker, double rate, int transit_limit)
{
	g_assert(rate > 0 && transit_limit > 0);
	broker->config.rate = rate;
	broker->config.transit_limit = transit_limit;
}

static char *make_key(const char *endpoint, const char *adapter)
{
	return g_strconcat(endpoint, "\n", adapter, NULL);
}

void broker_request_load(broker_t *broker, ms_t now, const char *endpoint,
			 const load_request_t *asked)
{
	char *key = make_key(endpoint, asked->adapter);
	want_t *want = g_hash_table_lookup(broker->wants, key);

	if (want) {
		g_free(key);
	} else if (g_hash_table_size(broker->wants) >=
		   (unsigned int)broker->config.want_limit) {
		g_free(key);
		return;
	} else {
		want = g_new0(want_t, 1);
		want->key = key;
		want->endpoint = g_strdup(endpoint);
		want->adapter = g_strdup(asked->adapter);
		want->since = now;
		g_hash_table_insert(broker->wants, key, want);
		TAILQ_INSERT_TAIL(&broker->order, want, link);
	}
	want->want = *asked;
	want->want.adapter = want->adapter;
}

void broker_cancel_request(broker_t *broker, const char *endpoint,
			   const char *adapter)
{
	char *key = make_key(endpoint, adapter);
	want_t *want = g_hash_table_lookup(broker->wants, key);

	if (want)
		want_remove(broker, want);
	g_free(key);
}

void broker_load_ended(broker_t *broker, ms_t now, const char *endpoint,
		       const char *adapter)
{
	char *key = make_key(endpoint, adapter);
	transit_t *transit = g_hash_table_lookup(broker->transits, key);

	if (transit)
		transit_remove(broker, transit);
	g_free(key);
}

void broker_return_grant(broker_t *broker, ms_t now, const char *endpoint,
			 const char *adapter)
{
	char *key = make_key(endpoint, adapter);
	transit_t *transit = g_hash_table_lookup(broker->transits, key);

	if (transit) {
		transit_remove(broker, transit);
		broker->next_grant -= MS_PER_S / broker->config.rate;
		broker->next_grant = MAX(broker->next_grant, (double)now);
	}
	g_free(key);
}

void broker_owner_changed(broker_t *broker, const char *endpoint)
{
	want_t *want = TAILQ_FIRST(&broker->order);

	while (want) {
		want_t *next = TAILQ_NEXT(want, link);

		if (!strcmp(want->endpoint, endpoint))
			want_remove(broker, want);
		want = next;
	}
}

void broker_endpoint_gone(broker_t *broker, const char *endpoint)
{
	transit_t *transit = TAILQ_FIRST(&broker->expiry);

	broker_owner_changed(broker, endpoint);
	while (transit) {
		transit_t *next = TAILQ_NEXT(transit, link);

		if (!strcmp(transit->endpoint, endpoint))
			transit_remove(broker, transit);
		transit = next;
	}
}

/* What a grant saves: waiting requests by priority, and their age. */
static double saving(const want_t *want, ms_t now)
{
	int priority = CLAMP(want->want.priority, 0, PRIORITY_LIMIT);
	double age = (double)MAX(now - want->want.oldest, 0) / AGE_UNIT_MS;

	if (want->want.ahead)
		return 0;
	return (want->want.waiting + age) * pow(PRIORITY_FACTOR, priority);
}

static want_t *oldest_want(const broker_t *broker)
{
	want_t *want;

	TAILQ_FOREACH (want, &broker->order, link) {
		if (!want->want.ahead)
			return want;
	}
	return TAILQ_FIRST(&broker->order);
}

static want_t *best_want(const broker_t *broker, ms_t now)
{
	want_t *best = NULL;
	double best_saving = 0;
	want_t *want;

	TAILQ_FOREACH (want, &broker->order, link) {
		double value = saving(want, now);

		if (!best || value > best_saving) {
			best = want;
			best_saving = value;
		}
	}
	return best;
}

static want_t *choose_want(const broker_t *broker, ms_t now)
{
	if (broker->config.fifo || broker->granted % BROKER_FAIR_EVERY == 0)
		return oldest_want(broker);
	return best_want(broker, now);
}

static void grant(broker_t *broker, ms_t now, want_t *want)
{
	transit_t *transit = g_hash_table_lookup(broker->transits, want->key);
	char *endpoint = g_strdup(want->endpoint);
	char *adapter = g_strdup(want->adapter);

	/* Asked for again: what is known of the earlier load is out of date. */
	if (transit)
		transit_remove(broker, transit);
	transit = g_new0(transit_t, 1);
	transit->key = g_strdup(want->key);
	transit->endpoint = g_strdup(want->endpoint);
	transit->until = now + broker->config.transit_time;
	g_hash_table_insert(broker->transits, transit->key, transit);
	TAILQ_INSERT_TAIL(&broker->expiry, transit, link);
	g_assert(broker_in_transit(broker) <= broker->config.transit_limit);
	want_remove(broker, want);
	broker->granted++;
	/* An idle store does not save up grants for a burst. */
	broker->next_grant = MAX(broker->next_grant, (double)now) +
			     MS_PER_S / broker->config.rate;
	broker->actions.grant(broker->ctx, endpoint, adapter);
	g_free(endpoint);
	g_free(adapter);
}

static void expire(broker_t *broker, ms_t now)
{
	transit_t *transit;

	while ((transit = TAILQ_FIRST(&broker->expiry)) &&
	       transit->until <= now)
		transit_remove(broker, transit);
}

ms_t broker_tick(broker_t *broker, ms_t now)
{
	const transit_t *transit;

	expire(broker, now);
	while (!TAILQ_EMPTY(&broker->order) &&
	       broker->next_grant <= (double)now &&
	       broker_in_transit(broker) < broker->config.transit_limit)
		grant(broker, now, choose_want(broker, now));
	if (TAILQ_EMPTY(&broker->order))
		return MS_NEVER;
	if (broker_in_transit(broker) < broker->config.transit_limit)
		return (ms_t)ceil(broker->next_grant);
	transit = TAILQ_FIRST(&broker->expiry);
	return transit->until;
}

int broker_in_transit(const broker_t *broker)
{
	return (int)g_hash_table_size(broker->transits);
}

int broker_request_count(const broker_t *broker)
{
	return (int)g_hash_table_size(broker->wants);
}
