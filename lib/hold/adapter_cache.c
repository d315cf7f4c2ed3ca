#include "hold/adapter_cache_private.h"

#include <string.h>

adapter_cache_t *adapter_cache_create(const cache_options_t *options,
				      const cache_actions_t *actions, void *ctx)
{
	adapter_cache_t *cache = g_new0(adapter_cache_t, 1);

	cache->actions = *actions;
	cache->ctx = ctx;
	cache->options = *options;
	cache->crowding = 1;
	cache->at_hand = g_queue_new();
	cache->table = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&cache->entries);
	return cache;
}

static void entry_free(adapter_cache_t *cache, entry_t *entry)
{
	g_hash_table_remove(cache->table, entry->adapter);
	TAILQ_REMOVE(&cache->entries, entry, link);
	g_free(entry->adapter);
	g_free(entry);
}

void adapter_cache_destroy(adapter_cache_t *cache)
{
	entry_t *entry;

	while ((entry = TAILQ_FIRST(&cache->entries)))
		entry_free(cache, entry);
	g_hash_table_destroy(cache->table);
	g_queue_free_full(cache->at_hand, g_free);
	g_free(cache);
}

void adapter_cache_set_options(adapter_cache_t *cache,
			       const cache_options_t *options)
{
	cache->options.slot_count = options->slot_count;
}

static GList *find_at_hand(const adapter_cache_t *cache, const char *adapter)
{
	return g_queue_find_custom(cache->at_hand, adapter,
				   (GCompareFunc)strcmp);
}

void cache_remember_at_hand(adapter_cache_t *cache, const char *adapter)
{
	GList *at = find_at_hand(cache, adapter);

	if (at) {
		g_queue_unlink(cache->at_hand, at);
		g_queue_push_head_link(cache->at_hand, at);
		return;
	}
	g_queue_push_head(cache->at_hand, g_strdup(adapter));
	if (g_queue_get_length(cache->at_hand) > CACHE_AT_HAND_MAX)
		g_free(g_queue_pop_tail(cache->at_hand));
}

static ms_t *load_time(adapter_cache_t *cache, const char *adapter)
{
	return find_at_hand(cache, adapter) ? &cache->options.again_time
					    : &cache->options.load_time;
}

entry_t *cache_entry_get(adapter_cache_t *cache, const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (entry)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->adapter = g_strdup(adapter);
	g_hash_table_insert(cache->table, entry->adapter, entry);
	TAILQ_INSERT_TAIL(&cache->entries, entry, link);
	return entry;
}

/* An absent adapter that nobody wants and that no order names. */
void cache_entry_release(adapter_cache_t *cache, entry_t *entry)
{
	if (entry->state == STATE_ABSENT && !entry->is_wanted && !entry->uses &&
	    entry != cache->ordered)
		entry_free(cache, entry);
}

gboolean cache_is_usable(const entry_t *entry)
{
	return entry->state == STATE_RESIDENT &&
	       entry->version >= entry->wanted;
}

static void want(entry_t *entry, ms_t now)
{
	if (entry->is_wanted)
		return;
	entry->is_wanted = TRUE;
	entry->wanted_since = now;
}

gboolean adapter_cache_request(adapter_cache_t *cache, ms_t now,
			       const char *adapter, int64_t version,
			       int64_t *resident)
{
	entry_t *entry = cache_entry_get(cache, adapter);

	entry->wanted = MAX(entry->wanted, version);
	entry->used_at = now;
	if (cache_is_usable(entry)) {
		*resident = entry->version;
		return TRUE;
	}
	want(entry, now);
	return FALSE;
}

int64_t adapter_cache_version(const adapter_cache_t *cache, const char *adapter)
{
	const entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	return entry && cache_is_usable(entry) ? entry->version : 0;
}

static void look_soon(adapter_cache_t *cache, ms_t now, ms_t delay)
{
	cache->report_at = now + delay;
}

void adapter_cache_cancel(adapter_cache_t *cache, const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry)
		return;
	entry->is_wanted = FALSE;
	cache_entry_release(cache, entry);
}

/* By how much a load takes longer beside others here. */
static double slowdown(const adapter_cache_t *cache, int coming)
{
	double crowd = coming / cache->options.loads_per_engine;

	return crowd > 1 ? 1 + cache->crowding * (crowd - 1) : 1;
}

void cache_load_was_early(adapter_cache_t *cache, const entry_t *entry)
{
	if (entry->is_crowded)
		cache->crowding *= CACHE_CROWDING_KEPT;
}

void cache_load_was_late(adapter_cache_t *cache, const entry_t *entry)
{
	if (entry->is_crowded)
		cache->crowding =
			MIN(cache->crowding + CACHE_CROWDING_ADDED, 1);
	else
		*load_time(cache, entry->adapter) += CACHE_LATE_MS / 4;
}

/* As many as may be on their way at once take the time of one each. */
ms_t adapter_cache_estimate_load_wait(const adapter_cache_t *cache,
				      const char *adapter)
{
	const cache_options_t *options = &cache->options;
	const entry_t *entry;
	ms_t each =
		(ms_t)((double)options->load_time *
		       slowdown(cache, CACHE_COMING_MAX) / CACHE_COMING_MAX);
	ms_t wait = 0;

	if (find_at_hand(cache, adapter))
		return options->again_time;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean is_ahead =
			entry->state == STATE_LOADING ||
			(entry->is_wanted && entry->state == STATE_ABSENT);

		if (is_ahead && !find_at_hand(cache, entry->adapter) &&
		    strcmp(entry->adapter, adapter))
			wait += each;
	}
	return wait + options->load_time;
}

void adapter_cache_use(adapter_cache_t *cache, ms_t now, const char *adapter)
{
	entry_t *entry = cache_entry_get(cache, adapter);

	entry->uses++;
	entry->used_at = now;
}

void adapter_cache_release(adapter_cache_t *cache, ms_t now,
			   const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	g_assert(entry && entry->uses > 0);
	entry->uses--;
	entry->used_at = now;
	cache_entry_release(cache, entry);
}

void adapter_cache_note_missing(adapter_cache_t *cache, ms_t now,
				const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry || entry->state != STATE_RESIDENT)
		return;
	if (entry->is_presumed) {
		cache_load_was_late(cache, entry);
		entry->state = STATE_LOADING;
		entry->ready_at = now + CACHE_LATE_MS;
	}
	cache->is_look_due = TRUE;
	look_soon(cache, now, 0);
}

void adapter_cache_require_version(adapter_cache_t *cache, ms_t now,
				   const char *adapter, int64_t version)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);
	gboolean was_usable;

	/* What the engine keeps at hand is of the older version. */
	if (find_at_hand(cache, adapter)) {
		GList *at = find_at_hand(cache, adapter);

		g_free(at->data);
		g_queue_delete_link(cache->at_hand, at);
	}
	if (!entry || version <= entry->wanted)
		return;
	was_usable = cache_is_usable(entry);
	entry->wanted = version;
	if (!was_usable || cache_is_usable(entry))
		return;
	cache->actions.dropped(cache->ctx, entry->adapter);
	want(entry, now);
}

static int count_coming(const adapter_cache_t *cache)
{
	const entry_t *entry;
	int coming = 0;

	TAILQ_FOREACH (entry, &cache->entries, link)
		coming += entry->state == STATE_LOADING;
	return coming;
}

static ms_t expected_time(adapter_cache_t *cache, entry_t *entry)
{
	ms_t usual = *load_time(cache, entry->adapter);
	int coming = count_coming(cache);

	entry->is_crowded = !find_at_hand(cache, entry->adapter) &&
			    coming > cache->options.loads_per_engine;
	if (!entry->is_crowded)
		return usual;
	return (ms_t)((double)usual * slowdown(cache, coming));
}

static void order_took_effect(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry = cache->ordered;

	if (!entry) {
		cache->is_busy = TRUE;
		return;
	}
	if (cache->order_kind == CACHE_ORDER_LOAD) {
		entry->state = STATE_LOADING;
		entry->loading = MAX(entry->wanted, 1);
		entry->ready_at = now + expected_time(cache, entry);
	} else {
		entry->state = STATE_UNLOADING;
	}
}

void cache_order_is_settled(adapter_cache_t *cache)
{
	entry_t *entry = cache->ordered;

	cache->is_in_doubt = FALSE;
	cache->is_unanswered = FALSE;
	cache->ordered = NULL;
	if (entry)
		cache_entry_release(cache, entry);
}

/* What was to be unloaded stays. */
void cache_unload_is_void(adapter_cache_t *cache)
{
	if (cache->ordered && cache->ordered->state == STATE_UNLOADING)
		cache->ordered->state = STATE_RESIDENT;
}

void cache_entry_is_gone(adapter_cache_t *cache, entry_t *entry)
{
	if (cache_is_usable(entry))
		cache->actions.dropped(cache->ctx, entry->adapter);
	entry->state = STATE_ABSENT;
	entry->is_presumed = FALSE;
	entry->version = 0;
}

void adapter_cache_handle_answer(adapter_cache_t *cache, ms_t now,
				 cache_answer_t answer)
{
	g_assert(cache->is_order_open);
	cache->is_order_open = FALSE;
	switch (answer) {
	case CACHE_ANSWER_ACCEPTED:
		cache->sequence++;
		cache->accepted_at = now;
		order_took_effect(cache, now);
		look_soon(cache, now, CACHE_POLL_MS);
		cache_order_is_settled(cache);
		break;
	case CACHE_ANSWER_DONE:
		if (cache->ordered && cache->order_kind == CACHE_ORDER_UNLOAD) {
			cache->sequence++;
			cache->accepted_at = now;
			cache_entry_is_gone(cache, cache->ordered);
		} else {
			order_took_effect(cache, now);
			look_soon(cache, now, 0);
		}
		cache_order_is_settled(cache);
		break;
	case CACHE_ANSWER_REFUSED:
		cache->order_at = now + CACHE_RETRY_MS;
		cache_unload_is_void(cache);
		cache_order_is_settled(cache);
		look_soon(cache, now, 0);
		break;
	case CACHE_ANSWER_STALE:
	case CACHE_ANSWER_UNKNOWN:
		cache->is_in_doubt = TRUE;
		if (answer == CACHE_ANSWER_UNKNOWN)
			cache->is_unanswered = TRUE;
		cache->order_at = now + CACHE_AGAIN_MS;
		look_soon(cache, now, 0);
		break;
	}
}

guint adapter_cache_count(const adapter_cache_t *cache)
{
	const entry_t *entry;
	guint count = 0;

	TAILQ_FOREACH (entry, &cache->entries, link)
		count += cache_is_usable(entry);
	return count;
}
