#include "hold/adapter_cache_private.h"

#include <string.h>

/*
 * Weight of the newest use in the moving average of the times that adapters are
 * in use; about the last twenty count.
 */
#define USE_TIME_WEIGHT 0.05

adapter_cache_t *adapter_cache_create(const cache_options_t *options,
				      const cache_actions_t *actions, void *ctx)
{
	adapter_cache_t *cache = g_new0(adapter_cache_t, 1);

	cache->actions = *actions;
	cache->ctx = ctx;
	cache->options = *options;
	cache->mean_use_time = CACHE_INITIAL_USE_MS;
	cache->recent = g_queue_new();
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
	g_queue_free_full(cache->recent, g_free);
	g_free(cache);
}

void adapter_cache_set_options(adapter_cache_t *cache,
			       const cache_options_t *options)
{
	cache->options.slot_count = options->slot_count;
}

GList *cache_find_recent(const adapter_cache_t *cache, const char *adapter)
{
	return g_queue_find_custom(cache->recent, adapter,
				   (GCompareFunc)strcmp);
}

void cache_remember_recent(adapter_cache_t *cache, const char *adapter)
{
	GList *node = cache_find_recent(cache, adapter);

	if (node) {
		g_queue_unlink(cache->recent, node);
		g_queue_push_head_link(cache->recent, node);
		return;
	}
	g_queue_push_head(cache->recent, g_strdup(adapter));
	if (g_queue_get_length(cache->recent) > CACHE_RECENT_MAX)
		g_free(g_queue_pop_tail(cache->recent));
}

static ms_t *load_time(adapter_cache_t *cache, const char *adapter)
{
	return cache_find_recent(cache, adapter) ? &cache->options.again_time
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

void cache_entry_free_if_unused(adapter_cache_t *cache, entry_t *entry)
{
	if (entry->state == STATE_ABSENT && !entry->is_requested &&
	    !entry->uses && entry != cache->order_entry)
		entry_free(cache, entry);
}

gboolean cache_is_usable(const entry_t *entry)
{
	return entry->state == STATE_RESIDENT &&
	       entry->version >= entry->requested_version;
}

static void mark_requested(entry_t *entry, ms_t now)
{
	if (entry->is_requested)
		return;
	entry->is_requested = TRUE;
	entry->requested_since = now;
}

gboolean adapter_cache_request(adapter_cache_t *cache, ms_t now,
			       const char *adapter, int64_t version,
			       int64_t *resident)
{
	entry_t *entry = cache_entry_get(cache, adapter);

	entry->requested_version = MAX(entry->requested_version, version);
	entry->used_at = now;
	if (cache_is_usable(entry)) {
		*resident = entry->version;
		return TRUE;
	}
	mark_requested(entry, now);
	return FALSE;
}

int64_t adapter_cache_version(const adapter_cache_t *cache, const char *adapter)
{
	const entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	return entry && cache_is_usable(entry) ? entry->version : 0;
}

static void schedule_report(adapter_cache_t *cache, ms_t now, ms_t delay)
{
	cache->next_report_at = now + delay;
}

void adapter_cache_cancel(adapter_cache_t *cache, const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry)
		return;
	entry->is_requested = FALSE;
	cache_entry_free_if_unused(cache, entry);
}

double cache_slowdown(const adapter_cache_t *cache, int loading)
{
	double concurrency = loading / cache->options.loads_per_engine;

	return concurrency > 1 ? 1 + cache->contention * (concurrency - 1) : 1;
}

void cache_note_early_load(adapter_cache_t *cache, const entry_t *entry)
{
	if (entry->is_contended)
		cache->contention *= CACHE_CONTENTION_DECAY;
}

void cache_note_late_load(adapter_cache_t *cache, const entry_t *entry)
{
	if (entry->is_contended)
		cache->contention =
			MIN(cache->contention + CACHE_CONTENTION_STEP, 1);
	else
		*load_time(cache, entry->adapter) += CACHE_LATE_RECHECK_MS / 4;
}

void adapter_cache_use(adapter_cache_t *cache, ms_t now, const char *adapter)
{
	entry_t *entry = cache_entry_get(cache, adapter);

	if (!entry->uses++)
		entry->in_use_since = now;
	entry->used_at = now;
}

void adapter_cache_release(adapter_cache_t *cache, ms_t now,
			   const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	g_assert(entry && entry->uses > 0);
	entry->used_at = now;
	if (!--entry->uses)
		cache->mean_use_time +=
			USE_TIME_WEIGHT * ((double)(now - entry->in_use_since) -
					   cache->mean_use_time);
	cache_entry_free_if_unused(cache, entry);
}

void adapter_cache_note_missing(adapter_cache_t *cache, ms_t now,
				const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry || entry->state != STATE_RESIDENT)
		return;
	if (entry->is_presumed)
		cache_note_late_load(cache, entry);
	entry->state = STATE_LOADING;
	entry->ready_at = now + CACHE_LATE_RECHECK_MS;
	cache->is_report_due = TRUE;
	schedule_report(cache, now, 0);
}

void adapter_cache_require_version(adapter_cache_t *cache, ms_t now,
				   const char *adapter, int64_t version)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);
	gboolean was_usable;

	/* A fast reload would bring back the older version. */
	if (cache_find_recent(cache, adapter)) {
		GList *node = cache_find_recent(cache, adapter);

		g_free(node->data);
		g_queue_delete_link(cache->recent, node);
	}
	if (!entry || version <= entry->requested_version)
		return;
	was_usable = cache_is_usable(entry);
	entry->requested_version = version;
	if (!was_usable || cache_is_usable(entry))
		return;
	cache->actions.dropped(cache->ctx, entry->adapter);
	mark_requested(entry, now);
}

static int count_loading(const adapter_cache_t *cache)
{
	const entry_t *entry;
	int loading = 0;

	TAILQ_FOREACH (entry, &cache->entries, link)
		loading += entry->state == STATE_LOADING;
	return loading;
}

static ms_t expected_load_time(adapter_cache_t *cache, entry_t *entry)
{
	ms_t usual = *load_time(cache, entry->adapter);
	int loading = count_loading(cache);

	entry->is_contended = !cache_find_recent(cache, entry->adapter) &&
			      loading > cache->options.loads_per_engine;
	if (!entry->is_contended)
		return usual;
	return (ms_t)((double)usual * cache_slowdown(cache, loading));
}

static void apply_order(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry = cache->order_entry;

	if (!entry) {
		cache->is_busy = TRUE;
		return;
	}
	if (cache->order_kind == CACHE_ORDER_LOAD) {
		entry->state = STATE_LOADING;
		entry->loading_version = MAX(entry->requested_version, 1);
		entry->ready_at = now + expected_load_time(cache, entry);
	} else {
		entry->state = STATE_UNLOADING;
	}
}

void cache_settle_order(adapter_cache_t *cache)
{
	entry_t *entry = cache->order_entry;

	cache->is_outcome_unknown = FALSE;
	cache->is_unanswered = FALSE;
	cache->order_entry = NULL;
	if (entry)
		cache_entry_free_if_unused(cache, entry);
}

void cache_cancel_unload(adapter_cache_t *cache)
{
	if (cache->order_entry && cache->order_entry->state == STATE_UNLOADING)
		cache->order_entry->state = STATE_RESIDENT;
}

void cache_entry_set_absent(adapter_cache_t *cache, entry_t *entry)
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
		apply_order(cache, now);
		schedule_report(cache, now, CACHE_BUSY_REPORT_MS);
		cache_settle_order(cache);
		break;
	case CACHE_ANSWER_DONE:
		if (cache->order_entry &&
		    cache->order_kind == CACHE_ORDER_UNLOAD) {
			cache->sequence++;
			cache->accepted_at = now;
			cache_entry_set_absent(cache, cache->order_entry);
		} else {
			apply_order(cache, now);
			schedule_report(cache, now, 0);
		}
		cache_settle_order(cache);
		break;
	case CACHE_ANSWER_REFUSED:
		cache->next_order_at = now + CACHE_REFUSED_RETRY_MS;
		cache_cancel_unload(cache);
		cache_settle_order(cache);
		schedule_report(cache, now, 0);
		break;
	case CACHE_ANSWER_STALE:
	case CACHE_ANSWER_UNKNOWN:
		cache->is_outcome_unknown = TRUE;
		if (answer == CACHE_ANSWER_UNKNOWN)
			cache->is_unanswered = TRUE;
		cache->next_order_at = now + CACHE_RESEND_MS;
		schedule_report(cache, now, 0);
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
