#include "hold/adapter_cache_private.h"

#include <string.h>

/*
 * Counts the slots that are used or that an order of unknown outcome may use,
 * and the adapters that are or may be loading.
 */
static int slots_used(const adapter_cache_t *cache, int *loading)
{
	const entry_t *entry;
	int used = 0;

	*loading = 0;
	if (cache->delayed_load_sequence &&
	    cache->sequence <= cache->delayed_load_sequence)
		used++;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean may_load = entry == cache->order_entry &&
				    cache->order_kind == CACHE_ORDER_LOAD;

		if (entry->state == STATE_LOADING || may_load)
			(*loading)++;
		used += entry->state != STATE_ABSENT || may_load;
	}
	return used;
}

static void refuse(adapter_cache_t *cache, entry_t *entry)
{
	entry->is_requested = FALSE;
	cache->actions.refused(cache->ctx, entry->adapter);
	cache_entry_free_if_unused(cache, entry);
}

static void refuse_expired_requests(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;
	entry_t *next;

	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->is_requested &&
		    now - entry->requested_since >= CACHE_REQUEST_TIMEOUT_MS)
			refuse(cache, entry);
	}
}

/* Orders can no longer be sent, so requests without one cannot be met. */
static void refuse_requests_without_order(adapter_cache_t *cache)
{
	entry_t *entry;
	entry_t *next;

	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->is_requested && entry != cache->order_entry &&
		    entry->state != STATE_LOADING)
			refuse(cache, entry);
	}
}

/*
 * The oldest request that needs a load order.  Without a slot, only those for a
 * newer version count: it replaces the older one in its slot.
 */
static entry_t *next_request(const adapter_cache_t *cache, gboolean has_slot)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (!entry->is_requested || cache_is_usable(entry) ||
		    entry->state == STATE_LOADING ||
		    entry->state == STATE_UNLOADING)
			continue;
		if (!has_slot && entry->state != STATE_RESIDENT)
			continue;
		if (!best || entry->requested_since < best->requested_since)
			best = entry;
	}
	return best;
}

static entry_t *lru_victim(const adapter_cache_t *cache)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_RESIDENT || entry->is_requested ||
		    entry->uses)
			continue;
		if (!best || entry->used_at < best->used_at)
			best = entry;
	}
	return best;
}

static gboolean is_unloading(const adapter_cache_t *cache)
{
	const entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state == STATE_UNLOADING)
			return TRUE;
	}
	return FALSE;
}

static void send_order(adapter_cache_t *cache)
{
	cache_order_t order = {
		.kind = cache->order_kind,
		.adapter =
			cache->order_entry ? cache->order_entry->adapter : NULL,
		.sequence = cache->sequence,
	};

	g_assert(!cache->is_order_open);
	cache->is_order_open = TRUE;
	cache->actions.send_order(cache->ctx, &order);
}

static void start_order(adapter_cache_t *cache, cache_order_kind_t kind,
			entry_t *entry)
{
	cache->order_kind = kind;
	cache->order_entry = entry;
	send_order(cache);
}

static void evict(adapter_cache_t *cache, entry_t *victim)
{
	if (cache_is_usable(victim))
		cache->actions.dropped(cache->ctx, victim->adapter);
	victim->state = STATE_UNLOADING;
	start_order(cache, CACHE_ORDER_UNLOAD, victim);
}

static void send_next_order(adapter_cache_t *cache)
{
	entry_t *victim;
	entry_t *entry;
	gboolean is_full;
	int loading;
	int used;

	if (cache->is_busy)
		return;
	if (!cache->has_model) {
		start_order(cache, CACHE_ORDER_LOAD_MODEL, NULL);
		return;
	}
	used = slots_used(cache, &loading);
	is_full = used >= cache->options.slot_count;
	victim = is_full ? lru_victim(cache) : NULL;
	entry = next_request(cache, !is_full || victim);
	if (!entry || loading >= CACHE_LOADS_MAX)
		return;
	if (entry->state == STATE_RESIDENT || !is_full) {
		g_assert(used <= cache->options.slot_count ||
			 entry->state == STATE_RESIDENT);
		start_order(cache, CACHE_ORDER_LOAD, entry);
	} else {
		evict(cache, victim);
	}
}

static gboolean needs_report(const adapter_cache_t *cache, ms_t now)
{
	int loading;

	if (cache->is_report_open || now < cache->next_report_at)
		return FALSE;
	if (!cache->has_report || cache->is_outcome_unknown || cache->is_busy ||
	    cache->is_report_due)
		return TRUE;
	slots_used(cache, &loading);
	return loading || is_unloading(cache) ||
	       now - cache->next_report_at >= CACHE_IDLE_REPORT_MS;
}

/* Presumes that loads are complete at their expected time. */
static void presume_loaded(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_LOADING || now < entry->ready_at)
			continue;
		entry->is_presumed = TRUE;
		entry->presumed_at = now;
		cache_entry_set_resident(cache, now, entry,
					 MAX(entry->loading_version, 1));
	}
}

void adapter_cache_delay_report(adapter_cache_t *cache, ms_t until)
{
	cache->next_report_at = MAX(cache->next_report_at, until);
}

void adapter_cache_tick(adapter_cache_t *cache, ms_t now, gboolean may_order)
{
	presume_loaded(cache, now);
	refuse_expired_requests(cache, now);
	if (!may_order)
		refuse_requests_without_order(cache);
	if (needs_report(cache, now)) {
		cache->is_report_open = TRUE;
		cache->actions.ask_report(cache->ctx);
	}
	if (!may_order || !cache->has_report || cache->is_order_open ||
	    now < cache->next_order_at)
		return;
	if (cache->is_outcome_unknown) {
		/* A pending report may still show the outcome. */
		if (!cache->is_report_open)
			send_order(cache);
		return;
	}
	send_next_order(cache);
}
