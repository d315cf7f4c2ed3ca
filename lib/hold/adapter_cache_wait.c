#include "hold/adapter_cache_private.h"

#include <string.h>

static gboolean is_waiting_for_slot(const entry_t *entry)
{
	return entry->is_requested && entry->state == STATE_ABSENT;
}

/* Slots that are free, or that hold an adapter which nobody uses or awaits. */
static int count_available_slots(const adapter_cache_t *cache)
{
	const entry_t *entry;
	int available = cache->options.slot_count;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean is_evictable = entry->state == STATE_RESIDENT &&
					!entry->is_requested && !entry->uses;

		available -= entry->state != STATE_ABSENT && !is_evictable;
	}
	return available;
}

ms_t adapter_cache_estimate_slot_wait(const adapter_cache_t *cache,
				      const char *adapter)
{
	const entry_t *own = g_hash_table_lookup(cache->table, adapter);
	const entry_t *entry;
	int missing = 1 - count_available_slots(cache);

	if (own && own->state != STATE_ABSENT)
		return 0;
	TAILQ_FOREACH (entry, &cache->entries, link)
		missing += entry != own && is_waiting_for_slot(entry) &&
			   (!own || !own->is_requested ||
			    entry->requested_since <= own->requested_since);
	if (missing <= 0)
		return 0;
	return (ms_t)(missing * cache->mean_use_time /
		      MAX(cache->options.slot_count, 1));
}

/*
 * CACHE_LOADS_MAX loads run at once, so each load ahead adds that fraction of
 * one load's time.
 */
ms_t adapter_cache_estimate_load_wait(const adapter_cache_t *cache,
				      const char *adapter)
{
	const cache_options_t *options = &cache->options;
	const entry_t *entry;
	ms_t time_per_load = (ms_t)((double)options->load_time *
				    cache_slowdown(cache, CACHE_LOADS_MAX) /
				    CACHE_LOADS_MAX);
	ms_t wait = 0;

	if (cache_find_recent(cache, adapter))
		return options->again_time;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean is_ahead =
			entry->state == STATE_LOADING ||
			(entry->is_requested && entry->state == STATE_ABSENT);

		if (is_ahead && !cache_find_recent(cache, entry->adapter) &&
		    strcmp(entry->adapter, adapter))
			wait += time_per_load;
	}
	return wait + options->load_time;
}

ms_t adapter_cache_load_time(const adapter_cache_t *cache, const char *adapter)
{
	return cache_find_recent(cache, adapter) ? cache->options.again_time
						 : cache->options.load_time;
}
