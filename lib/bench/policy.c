#include "bench/policy.h"

#include <string.h>

#define NEWS_INTERVAL_MS 100
#define SLOW_MS		 1000
#define VERY_SLOW_MS	 5000

const policy_t policies[] = {
	{.name = "least-load",
	 .routing = ROUTE_LEAST_LOAD,
	 .granting = GRANT_DIRECT,
	 .lru = TRUE,
	 .no_affinity = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "hash",
	 .routing = ROUTE_HASH,
	 .granting = GRANT_DIRECT,
	 .lru = TRUE,
	 .no_affinity = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "ours", .news_interval = NEWS_INTERVAL_MS},
	{.name = "fleet",
	 .routing = ROUTE_FLEET,
	 .granting = GRANT_DIRECT,
	 .lru = TRUE,
	 .no_affinity = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-replicas",
	 .no_replicas = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-decay", .lru = TRUE, .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-hold", .no_hold = TRUE, .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-memory",
	 .no_memory = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "fifo-grants",
	 .granting = GRANT_FIFO,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "direct-loads",
	 .granting = GRANT_DIRECT,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-affinity",
	 .no_affinity = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "no-priorities",
	 .no_priorities = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "declared-next",
	 .declare_next = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "sample-2", .sample = 2, .news_interval = NEWS_INTERVAL_MS},
	{.name = "sample-4", .sample = 4, .news_interval = NEWS_INTERVAL_MS},
	{.name = "full-view",
	 .full_view = TRUE,
	 .news_interval = NEWS_INTERVAL_MS},
	{.name = "news-1s", .news_interval = SLOW_MS},
	{.name = "news-5s", .news_interval = VERY_SLOW_MS},
	{.name = "load-lag-5s",
	 .news_interval = NEWS_INTERVAL_MS,
	 .load_lag = VERY_SLOW_MS},
	{.name = "full-news-5s",
	 .full_view = TRUE,
	 .news_interval = VERY_SLOW_MS},
	{.name = "full-lag-5s",
	 .full_view = TRUE,
	 .news_interval = NEWS_INTERVAL_MS,
	 .load_lag = VERY_SLOW_MS},
	{.name = "blind-entry",
	 .news_interval = NEWS_INTERVAL_MS,
	 .blind_entry = TRUE},
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
