#include "sched/broker.h"

#include <math.h>
#include <string.h>
#include <sys/queue.h>

#define DEFAULT_TRANSIT_TIMEOUT_MS 10000
#define DEFAULT_REQUEST_LIMIT	   65536

/* Age of the oldest request that counts as much as one more request. */
#define AGE_UNIT_MS 8000.0

/* Factor by which each priority level multiplies the benefit of a load. */
#define PRIORITY_FACTOR 4.0

/* Higher priorities are clamped to this one. */
#define PRIORITY_LIMIT 8

typedef struct pending_request {
	TAILQ_ENTRY(pending_request) link;
	char *key;
	char *endpoint;
	char *adapter;
	load_request_t params;
	ms_t requested_at; /* of the first request; updates keep it */
} pending_request_t;

TAILQ_HEAD(pending_request_list, pending_request);

typedef struct transit {
	TAILQ_ENTRY(transit) link;
	char *key;
	char *endpoint;
	ms_t expires_at;
} transit_t;

TAILQ_HEAD(transit_list, transit);

struct broker {
	broker_config_t config;
	broker_actions_t actions;
	void *ctx;
	GHashTable *requests;		    /* key to pending_request_t */
	struct pending_request_list by_age; /* sorted by requested_at */
	GHashTable *transits;		    /* key to transit_t */
	struct transit_list by_expiry;	    /* sorted by expires_at */
	double next_grant;		    /* earliest time, in ms */
	unsigned int grant_count;
};

void broker_config_init(broker_config_t *config, double rate, int transit_limit)
{
	*config =
		(broker_config_t){.rate = rate,
				  .transit_limit = transit_limit,
				  .transit_timeout = DEFAULT_TRANSIT_TIMEOUT_MS,
				  .request_limit = DEFAULT_REQUEST_LIMIT};
}

static void pending_request_free(void *data)
{
	pending_request_t *request = data;

	g_free(request->key);
	g_free(request->endpoint);
	g_free(request->adapter);
	g_free(request);
}

static void transit_free(void *data)
{
	transit_t *transit = data;

	g_free(transit->key);
	g_free(transit->endpoint);
	g_free(transit);
}

/* The hash tables own the load requests and the loads in transit. */
static void pending_request_remove(broker_t *broker, pending_request_t *request)
{
	TAILQ_REMOVE(&broker->by_age, request, link);
	g_hash_table_remove(broker->requests, request->key);
}

static void transit_remove(broker_t *broker, transit_t *transit)
{
	TAILQ_REMOVE(&broker->by_expiry, transit, link);
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
	broker->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 pending_request_free);
	broker->transits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 transit_free);
	TAILQ_INIT(&broker->by_age);
	TAILQ_INIT(&broker->by_expiry);
	return broker;
}

void broker_destroy(broker_t *broker)
{
	if (!broker)
		return;
	g_hash_table_destroy(broker->requests);
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
			 const load_request_t *params)
{
	char *key = make_key(endpoint, params->adapter);
	pending_request_t *request = g_hash_table_lookup(broker->requests, key);

	if (request) {
		g_free(key);
	} else if (g_hash_table_size(broker->requests) >=
		   (unsigned int)broker->config.request_limit) {
		g_free(key);
		return;
	} else {
		request = g_new0(pending_request_t, 1);
		request->key = key;
		request->endpoint = g_strdup(endpoint);
		request->adapter = g_strdup(params->adapter);
		request->requested_at = now;
		g_hash_table_insert(broker->requests, key, request);
		TAILQ_INSERT_TAIL(&broker->by_age, request, link);
	}
	request->params = *params;
	request->params.adapter = request->adapter;
}

void broker_cancel_request(broker_t *broker, const char *endpoint,
			   const char *adapter)
{
	char *key = make_key(endpoint, adapter);
	pending_request_t *request = g_hash_table_lookup(broker->requests, key);

	if (request)
		pending_request_remove(broker, request);
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
	pending_request_t *request = TAILQ_FIRST(&broker->by_age);

	while (request) {
		pending_request_t *next = TAILQ_NEXT(request, link);

		if (!strcmp(request->endpoint, endpoint))
			pending_request_remove(broker, request);
		request = next;
	}
}

void broker_endpoint_gone(broker_t *broker, const char *endpoint)
{
	transit_t *transit = TAILQ_FIRST(&broker->by_expiry);

	broker_owner_changed(broker, endpoint);
	while (transit) {
		transit_t *next = TAILQ_NEXT(transit, link);

		if (!strcmp(transit->endpoint, endpoint))
			transit_remove(broker, transit);
		transit = next;
	}
}

/* The benefit of a load: the waiting requests, weighted by priority and age. */
static double benefit(const pending_request_t *request, ms_t now)
{
	int priority = CLAMP(request->params.priority, 0, PRIORITY_LIMIT);
	double age = (double)MAX(now - request->params.oldest, 0) / AGE_UNIT_MS;

	if (request->params.ahead)
		return 0;
	return (request->params.waiting + age) * pow(PRIORITY_FACTOR, priority);
}

static pending_request_t *oldest_request(const broker_t *broker)
{
	pending_request_t *request;

	TAILQ_FOREACH (request, &broker->by_age, link) {
		if (!request->params.ahead)
			return request;
	}
	return TAILQ_FIRST(&broker->by_age);
}

static pending_request_t *most_beneficial_request(const broker_t *broker,
						  ms_t now)
{
	pending_request_t *best = NULL;
	double best_benefit = 0;
	pending_request_t *request;

	TAILQ_FOREACH (request, &broker->by_age, link) {
		double value = benefit(request, now);

		if (!best || value > best_benefit) {
			best = request;
			best_benefit = value;
		}
	}
	return best;
}

static pending_request_t *choose_request(const broker_t *broker, ms_t now)
{
	if (broker->config.fifo ||
	    broker->grant_count % BROKER_OLDEST_FIRST_INTERVAL == 0)
		return oldest_request(broker);
	return most_beneficial_request(broker, now);
}

static void grant(broker_t *broker, ms_t now, pending_request_t *request)
{
	transit_t *transit =
		g_hash_table_lookup(broker->transits, request->key);
	char *endpoint = g_strdup(request->endpoint);
	char *adapter = g_strdup(request->adapter);

	/* A repeated request means that the earlier load is outdated. */
	if (transit)
		transit_remove(broker, transit);
	transit = g_new0(transit_t, 1);
	transit->key = g_strdup(request->key);
	transit->endpoint = g_strdup(request->endpoint);
	transit->expires_at = now + broker->config.transit_timeout;
	g_hash_table_insert(broker->transits, transit->key, transit);
	TAILQ_INSERT_TAIL(&broker->by_expiry, transit, link);
	g_assert(broker_in_transit(broker) <= broker->config.transit_limit);
	pending_request_remove(broker, request);
	broker->grant_count++;
	/* Idle time does not accumulate into a burst of grants. */
	broker->next_grant = MAX(broker->next_grant, (double)now) +
			     MS_PER_S / broker->config.rate;
	broker->actions.grant(broker->ctx, endpoint, adapter);
	g_free(endpoint);
	g_free(adapter);
}

static void expire_transits(broker_t *broker, ms_t now)
{
	transit_t *transit;

	while ((transit = TAILQ_FIRST(&broker->by_expiry)) &&
	       transit->expires_at <= now)
		transit_remove(broker, transit);
}

ms_t broker_tick(broker_t *broker, ms_t now)
{
	const transit_t *transit;

	expire_transits(broker, now);
	while (!TAILQ_EMPTY(&broker->by_age) &&
	       broker->next_grant <= (double)now &&
	       broker_in_transit(broker) < broker->config.transit_limit)
		grant(broker, now, choose_request(broker, now));
	if (TAILQ_EMPTY(&broker->by_age))
		return MS_NEVER;
	if (broker_in_transit(broker) < broker->config.transit_limit)
		return (ms_t)ceil(broker->next_grant);
	transit = TAILQ_FIRST(&broker->by_expiry);
	return transit->expires_at;
}

int broker_in_transit(const broker_t *broker)
{
	return (int)g_hash_table_size(broker->transits);
}

int broker_request_count(const broker_t *broker)
{
	return (int)g_hash_table_size(broker->requests);
}
