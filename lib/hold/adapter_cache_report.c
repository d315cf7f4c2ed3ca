#include "hold/adapter_cache_private.h"

#include <string.h>

void cache_entry_set_resident(adapter_cache_t *cache, ms_t now, entry_t *entry,
			      int64_t version)
{
	gboolean was_usable = cache_is_usable(entry);

	entry->state = STATE_RESIDENT;
	entry->version = version;
	cache_remember_recent(cache, entry->adapter);
	if (!cache_is_usable(entry))
		return;
	if (entry->is_requested || !was_usable)
		cache->actions.ready(cache->ctx, entry->adapter, version);
	entry->is_requested = FALSE;
}

/* Finds an adapter, and prefers a loading version to the one it replaces. */
static const cache_resident_t *find_resident(const cache_report_t *report,
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
		const cache_resident_t *resident =
			find_resident(report, entry->adapter);

		next = TAILQ_NEXT(entry, link);
		if (!resident) {
			cache_entry_set_absent(cache, entry);
			cache_entry_free_if_unused(cache, entry);
		} else if (resident->is_coming) {
			gboolean is_newer_than_report =
				entry->is_presumed &&
				now - entry->presumed_at < CACHE_REPORT_LAG_MS;

			if (entry->state == STATE_RESIDENT &&
			    !is_newer_than_report && entry->is_presumed)
				cache_note_late_load(cache, entry);
			if (entry->state == STATE_ABSENT ||
			    (entry->state == STATE_RESIDENT &&
			     !is_newer_than_report)) {
				entry->state = STATE_LOADING;
				entry->ready_at = now + CACHE_LATE_RECHECK_MS;
			}
		} else if (entry->state != STATE_UNLOADING) {
			if (entry->state == STATE_LOADING &&
			    now < entry->ready_at)
				cache_note_early_load(cache, entry);
			entry->is_presumed = FALSE;
			cache_entry_set_resident(cache, now, entry,
						 MAX(resident->version, 1));
		}
	}
}

/*
 * Settles an order of unknown outcome once the engine's sequence number has
 * changed.  A higher number means that the order was executed, or that an older
 * one was and invalidated it; reconcile() then takes the state from the report.
 * A lower number than was counted here invalidates the order as well, but an
 * unanswered load may be executed once the engine reaches its number again.
 */
static void resolve_unknown_outcome(adapter_cache_t *cache,
				    const cache_report_t *report)
{
	if (!cache->is_outcome_unknown || report->sequence == cache->sequence)
		return;
	cache_cancel_unload(cache);
	if (report->sequence < cache->sequence && cache->is_unanswered &&
	    cache->order_kind == CACHE_ORDER_LOAD)
		cache->delayed_load_sequence = cache->sequence;
	cache_settle_order(cache);
}

void adapter_cache_handle_report(adapter_cache_t *cache, ms_t now,
				 const cache_report_t *report)
{
	cache->is_report_open = FALSE;
	cache->is_report_due = FALSE;
	cache->next_report_at = now + CACHE_BUSY_REPORT_MS;
	/* The answer to an open order is newer than the report. */
	if (!report || cache->is_order_open)
		return;
	/* The report may be older than the last accepted order. */
	if (cache->has_report && report->sequence < cache->sequence &&
	    now - cache->accepted_at < CACHE_REPORT_LAG_MS)
		return;
	resolve_unknown_outcome(cache, report);
	cache->sequence = report->sequence;
	cache->has_model = report->has_model;
	cache->is_busy = report->is_busy;
	cache->has_report = TRUE;
	reconcile(cache, now, report);
}
