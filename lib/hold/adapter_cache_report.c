#include "hold/adapter_cache_private.h"

#include <string.h>

void cache_entry_is_ready(adapter_cache_t *cache, ms_t now, entry_t *entry,
			  int64_t version)
{
	gboolean was_usable = cache_is_usable(entry);

	entry->state = STATE_RESIDENT;
	entry->version = version;
	cache_remember_at_hand(cache, entry->adapter);
	if (!cache_is_usable(entry))
		return;
	if (entry->is_wanted || !was_usable)
		cache->actions.ready(cache->ctx, entry->adapter, version);
	entry->is_wanted = FALSE;
}

/* A version that is coming counts before the older one that it replaces. */
static const cache_resident_t *find(const cache_report_t *report,
				    const char *adapter)
{
	const cache_resident_t *found = NULL;
	guint i;

	for (i = 0; i < report->count; i++) {
		const cache_resident_t *resident = &report->residents[i];

		if (strcmp(resident->adapter, adapter))
			continue;
		if (!found || resident->is_coming)
			found = resident;
	}
	return found;
}

static void reconcile(adapter_cache_t *cache, ms_t now,
		      const cache_report_t *report)
{
	entry_t *entry;
	entry_t *next;
	guint i;

	for (i = 0; i < report->count; i++)
		cache_entry_get(cache, report->residents[i].adapter);
	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		const cache_resident_t *seen = find(report, entry->adapter);

		next = TAILQ_NEXT(entry, link);
		if (!seen) {
			cache_entry_is_gone(cache, entry);
			cache_entry_release(cache, entry);
		} else if (seen->is_coming) {
			gboolean is_newer =
				entry->is_presumed &&
				now - entry->presumed_at < CACHE_REPORT_LAG_MS;

			if (entry->state == STATE_RESIDENT && !is_newer &&
			    entry->is_presumed)
				cache_load_was_late(cache, entry);
			if (entry->state == STATE_ABSENT ||
			    (entry->state == STATE_RESIDENT && !is_newer)) {
				entry->state = STATE_LOADING;
				entry->ready_at = now + CACHE_LATE_MS;
			}
		} else if (entry->state != STATE_UNLOADING) {
			if (entry->state == STATE_LOADING &&
			    now < entry->ready_at)
				cache_load_was_early(cache, entry);
			entry->is_presumed = FALSE;
			cache_entry_is_ready(cache, now, entry,
					     MAX(seen->version, 1));
		}
	}
}

/*
 * The number of accepted orders tells what became of an order in doubt: it was
 * carried out, or an older one was and made it void.  The report shows which.
 * A lower number than was counted here makes the order void as well.
 */
static void resolve_doubt(adapter_cache_t *cache, const cache_report_t *report)
{
	if (!cache->is_in_doubt || report->sequence == cache->sequence)
		return;
	cache_unload_is_void(cache);
	if (report->sequence < cache->sequence && cache->is_unanswered &&
	    cache->order_kind == CACHE_ORDER_LOAD)
		cache->late_sequence = cache->sequence;
	cache_order_is_settled(cache);
}

void adapter_cache_handle_report(adapter_cache_t *cache, ms_t now,
				 const cache_report_t *report)
{
	cache->is_report_open = FALSE;
	cache->is_look_due = FALSE;
	cache->report_at = now + CACHE_POLL_MS;
	/* While an order is open, its answer says more. */
	if (!report || cache->is_order_open)
		return;
	/* Older than an order that was accepted. */
	if (cache->is_known && report->sequence < cache->sequence &&
	    now - cache->accepted_at < CACHE_REPORT_LAG_MS)
		return;
	resolve_doubt(cache, report);
	cache->sequence = report->sequence;
	cache->has_model = report->has_model;
	cache->is_busy = report->is_busy;
	cache->is_known = TRUE;
	reconcile(cache, now, report);
}
