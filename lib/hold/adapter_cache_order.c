#include "hold/adapter_cache_private.h"

#include <string.h>

/* Adapters that take a slot, or may take one. */
static int slots_taken(const adapter_cache_t *cache, int *coming)
{
	const entry_t *entry;
	int taken = 0;

	*coming = 0;
	if (cache->late_sequence && cache->sequence <= cache->late_sequence)
		taken++;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean may_come = entry == cache->ordered &&
				    cache->order_kind == CACHE_ORDER_LOAD;

		if (entry->state == STATE_LOADING || may_come)
			(*coming)++;
		taken += entry->state != STATE_ABSENT || may_come;
	}
	return taken;
}

static void refuse(adapter_cache_t *cache, entry_t *entry)
{
	entry->is_wanted = FALSE;
	cache->actions.refused(cache->ctx, entry->adapter);
	cache_entry_release(cache, entry);
}

static void refuse_old_wants(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;
	entry_t *next;

	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->is_wanted &&
		    now - entry->wanted_since >= CACHE_REQUEST_TIMEOUT_MS)
			refuse(cache, entry);
	}
}

/* No order can be sent any more: what none was sent for won't come. */
static void refuse_unordered_wants(adapter_cache_t *cache)
{
	entry_t *entry;
	entry_t *next;

	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->is_wanted && entry != cache->ordered &&
		    entry->state != STATE_LOADING)
			refuse(cache, entry);
	}
}

/* The want that waits longest and that a load would meet. */
static entry_t *next_want(const adapter_cache_t *cache)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (!entry->is_wanted || cache_is_usable(entry) ||
		    entry->state == STATE_LOADING ||
		    entry->state == STATE_UNLOADING)
			continue;
		if (!best || entry->wanted_since < best->wanted_since)
			best = entry;
	}
	return best;
}

static entry_t *next_victim(const adapter_cache_t *cache)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_RESIDENT || entry->is_wanted ||
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
		.adapter = cache->ordered ? cache->ordered->adapter : NULL,
		.sequence = cache->sequence,
	};

	g_assert(!cache->is_order_open);
	cache->is_order_open = TRUE;
	cache->actions.send_order(cache->ctx, &order);
}

static void begin_order(adapter_cache_t *cache, cache_order_kind_t kind,
			entry_t *entry)
{
	cache->order_kind = kind;
	cache->ordered = entry;
	send_order(cache);
}

static void make_room(adapter_cache_t *cache, ms_t now, entry_t *for_entry)
{
	entry_t *victim = next_victim(cache);

	if (!victim) {
		if (!is_unloading(cache))
			refuse(cache, for_entry);
		return;
	}
	if (cache_is_usable(victim))
		cache->actions.dropped(cache->ctx, victim->adapter);
	victim->state = STATE_UNLOADING;
	begin_order(cache, CACHE_ORDER_UNLOAD, victim);
}

static void order_next(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;
	int coming;
	int taken;

	if (cache->is_busy)
		return;
	if (!cache->has_model) {
		begin_order(cache, CACHE_ORDER_LOAD_MODEL, NULL);
		return;
	}
	entry = next_want(cache);
	if (!entry)
		return;
	taken = slots_taken(cache, &coming);
	if (coming >= CACHE_COMING_MAX)
		return;
	/* A newer version takes the slot of the older one. */
	if (entry->state == STATE_RESIDENT ||
	    taken < cache->options.slot_count) {
		g_assert(taken <= cache->options.slot_count ||
			 entry->state == STATE_RESIDENT);
		begin_order(cache, CACHE_ORDER_LOAD, entry);
	} else {
		make_room(cache, now, entry);
	}
}

static gboolean wants_report(const adapter_cache_t *cache, ms_t now)
{
	int coming;

	if (cache->is_report_open || now < cache->report_at)
		return FALSE;
	if (!cache->is_known || cache->is_in_doubt || cache->is_busy ||
	    cache->is_look_due)
		return TRUE;
	slots_taken(cache, &coming);
	return coming || is_unloading(cache) ||
	       now - cache->report_at >= CACHE_IDLE_REPORT_MS;
}

/* Loads whose usual time has passed. */
static void presume_ready(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_LOADING || now < entry->ready_at)
			continue;
		entry->is_presumed = TRUE;
		entry->presumed_at = now;
		cache_entry_is_ready(cache, now, entry, MAX(entry->loading, 1));
	}
}

void adapter_cache_tick(adapter_cache_t *cache, ms_t now, gboolean may_order)
{
	presume_ready(cache, now);
	refuse_old_wants(cache, now);
	if (!may_order)
		refuse_unordered_wants(cache);
	if (wants_report(cache, now)) {
		cache->is_report_open = TRUE;
		cache->actions.ask_report(cache->ctx);
	}
	if (!may_order || !cache->is_known || cache->is_order_open ||
	    now < cache->order_at)
		return;
	if (cache->is_in_doubt) {
		/* Not before a report has shown what became of it. */
		if (!cache->is_report_open)
			send_order(cache);
		return;
	}
	order_next(cache, now);
}
