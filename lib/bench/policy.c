#include "bench/policy.h"

#include <string.h>

#define NEWS_MS	     100
#define SLOW_MS	     1000
#define VERY_SLOW_MS 5000

const policy_t policies[] = {
	{.name = "least-load",
	 .routing = ROUTE_LEAST_LOAD,
	 .granting = GRANT_DIRECT,
	 .recency = TRUE,
	 .no_affinity = TRUE,
	 .news = NEWS_MS},
	{.name = "hash",
	 .routing = ROUTE_HASH,
	 .granting = GRANT_DIRECT,
	 .recency = TRUE,
	 .no_affinity = TRUE,
	 .news = NEWS_MS},
	{.name = "ours", .news = NEWS_MS},
	{.name = "fleet",
	 .routing = ROUTE_FLEET,
	 .granting = GRANT_DIRECT,
	 .recency = TRUE,
	 .no_affinity = TRUE,
	 .news = NEWS_MS},
	{.name = "no-replicas", .no_replicas = TRUE, .news = NEWS_MS},
	{.name = "no-decay", .recency = TRUE, .news = NEWS_MS},
	{.name = "no-hold", .no_hold = TRUE, .news = NEWS_MS},
	{.name = "no-memory", .no_memory = TRUE, .news = NEWS_MS},
	{.name = "fifo-grants", .granting = GRANT_FIFO, .news = NEWS_MS},
	{.name = "direct-loads", .granting = GRANT_DIRECT, .news = NEWS_MS},
	{.name = "no-affinity", .no_affinity = TRUE, .news = NEWS_MS},
	{.name = "no-priorities", .no_priorities = TRUE, .news = NEWS_MS},
	{.name = "declared-next", .ahead = TRUE, .news = NEWS_MS},
	{.name = "sample-2", .sample = 2, .news = NEWS_MS},
	{.name = "sample-4", .sample = 4, .news = NEWS_MS},
	{.name = "full-view", .full_view = TRUE, .news = NEWS_MS},
	{.name = "news-1s", .news = SLOW_MS},
	{.name = "news-5s", .news = VERY_SLOW_MS},
	{.name = "load-lag-5s", .news = NEWS_MS, .load_lag = VERY_SLOW_MS},
	{.name = "full-news-5s", .full_view = TRUE, .news = VERY_SLOW_MS},
	{.name = "full-lag-5s",
	 .full_view = TRUE,
	 .news = NEWS_MS,
	 .load_lag = VERY_SLOW_MS},
	{.name = "blind-entry", .news = NEWS_MS, .blind = TRUE},
};

const int policy_count = G_N_ELEMENTS(policies);

const policy_t *policy_find(const char *name)
{
	int i;

	for (i = 0; i < policy_count; i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}
