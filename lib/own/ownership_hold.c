#include "own/ownership_internal.h"

/* A slot in quarantine until the fence was accepted. */
#define UNTIL_FENCED MS_NEVER

ms_t own_hold_length(const own_endpoint_t *endpoint,
		     const endpoint_record_t *seen)
{
	const ownership_options_t *options = &endpoint->own->options;

	if (!seen)
		return 0;
	if (!seen->incarnation)
		return MAX(options->transit_max, seen->hold);
	if (endpoint->checks_fencing)
		return options->probe_bound + options->transit_max;
	return options->serve_grace + options->transit_max;
}

ms_t own_hold_left(const own_endpoint_t *endpoint, ms_t now)
{
	if (!g_hash_table_size(endpoint->inherited))
		return 0;
	if (endpoint->hold_until == MS_NEVER)
		return endpoint->hold;
	return MAX(0, endpoint->hold_until - now);
}

/* Everything in the record may be serving requests of an earlier owner. */
static void inherit(own_endpoint_t *endpoint)
{
	const endpoint_record_t *record = endpoint->record;
	guint i;

	endpoint->inherited =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < record->slot_count; i++) {
		if (record->slots[i].adapter)
			g_hash_table_add(endpoint->inherited,
					 g_strdup(record->slots[i].adapter));
	}
	for (i = 0; record->held[i]; i++)
		g_hash_table_add(endpoint->inherited,
				 g_strdup(record->held[i]));
	g_strfreev(endpoint->record->held);
	endpoint->record->held = own_held(endpoint);
}

char **own_held(const own_endpoint_t *endpoint)
{
	char **held =
		g_new0(char *, g_hash_table_size(endpoint->inherited) + 1);
	GHashTableIter iter;
	gpointer adapter;
	guint count = 0;

	g_hash_table_iter_init(&iter, endpoint->inherited);
	while (g_hash_table_iter_next(&iter, &adapter, NULL))
		held[count++] = g_strdup(adapter);
	return held;
}

void own_hold_begin(own_endpoint_t *endpoint, ms_t now)
{
	const ownership_options_t *options = &endpoint->own->options;
	guint i;

	endpoint->is_fenced = FALSE;
	endpoint->fence_sent_at = 0;
	endpoint->probed_at = 0;
	endpoint->hold_until = endpoint->checks_fencing
				       ? MS_NEVER
				       : endpoint->taken_at + endpoint->hold;
	inherit(endpoint);
	for (i = 0; i < endpoint->record->slot_count; i++) {
		own_slot_t *slot = &endpoint->slots[i];

		if (!intent_is_open(&endpoint->record->slots[i]))
			continue;
		slot->is_quarantined = TRUE;
		slot->quarantine_until =
			endpoint->checks_fencing
				? UNTIL_FENCED
				: endpoint->taken_at + options->transit_max;
	}
}

void own_hold_end(own_endpoint_t *endpoint)
{
	g_clear_pointer(&endpoint->inherited, g_hash_table_destroy);
}

/* Fence after a take; probe while the lease is about to end or has ended. */
void own_fence_tick(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	const ownership_options_t *options = &own->options;
	ms_t certain_left = lease_valid_until(own->lease) - now;

	if (!endpoint->checks_fencing ||
	    (endpoint->fence_sent_at &&
	     now - endpoint->fence_sent_at < options->probe_interval))
		return;
	if (endpoint->is_fenced && certain_left > options->probe_bound)
		return;
	endpoint->fence_sent_at = now;
	own->actions.send_fence(own->ctx, endpoint->id,
				endpoint->record->epoch);
}

static void fenced(own_endpoint_t *endpoint, ms_t now)
{
	guint i;

	endpoint->is_fenced = TRUE;
	if (endpoint->hold_until == MS_NEVER)
		endpoint->hold_until = now + endpoint->hold;
	for (i = 0; i < endpoint->record->slot_count; i++) {
		own_slot_t *slot = &endpoint->slots[i];

		if (slot->is_quarantined &&
		    slot->quarantine_until == UNTIL_FENCED)
			slot->quarantine_until = now;
	}
}

void ownership_fence_answered(ownership_t *own, ms_t now, const char *id,
			      int64_t epoch, gboolean is_accepted, ms_t sent_at)
{
	own_endpoint_t *endpoint = own_owned(own, id);

	if (!endpoint || endpoint->record->epoch != epoch)
		return;
	if (!is_accepted) {
		own_lose(endpoint, now);
		return;
	}
	endpoint->probed_at = MAX(endpoint->probed_at, sent_at);
	if (!endpoint->is_fenced)
		fenced(endpoint, now);
}

gboolean ownership_may_serve(const ownership_t *own, ms_t now, const char *id)
{
	const own_endpoint_t *endpoint = own_owned(own, id);
	const lease_t *lease = own->lease;

	if (!endpoint || lease_id(lease) != endpoint->record->incarnation)
		return FALSE;
	if (!endpoint->checks_fencing)
		return now <
		       lease_valid_until(lease) + own->options.serve_grace;
	return endpoint->is_fenced &&
	       (lease_is_valid(lease, now) ||
		now - endpoint->probed_at < own->options.probe_bound);
}

gboolean ownership_is_slot_usable(const ownership_t *own, const char *id,
				  guint i)
{
	const own_endpoint_t *endpoint = own_owned(own, id);

	return endpoint && i < endpoint->record->slot_count &&
	       !endpoint->slots[i].is_quarantined;
}

change_blocker_t ownership_change_blocker(const ownership_t *own, ms_t now,
					  const char *id, guint i)
{
	const own_endpoint_t *endpoint = own_owned(own, id);
	const slot_intent_t *intent;

	if (!endpoint || i >= endpoint->record->slot_count)
		return BLOCKER_NOT_OWNED;
	if (endpoint->slots[i].is_quarantined)
		return BLOCKER_QUARANTINE;
	if (!own_is_certain(endpoint, now))
		return BLOCKER_LEASE;
	if (!own_may_act(endpoint, now))
		return BLOCKER_FENCE;
	intent = &endpoint->record->slots[i];
	if (intent_is_open(intent))
		return BLOCKER_INTENT_OPEN;
	if (intent->adapter &&
	    g_hash_table_contains(endpoint->inherited, intent->adapter))
		return BLOCKER_INHERITED;
	return BLOCKER_NONE;
}

const char *change_blocker_text(change_blocker_t obstacle)
{
	static const char *const names[] = {
		[BLOCKER_NONE] = "none",
		[BLOCKER_NOT_OWNED] = "not owned",
		[BLOCKER_QUARANTINE] = "the slot is in quarantine",
		[BLOCKER_LEASE] = "the lease is not certain",
		[BLOCKER_FENCE] = "the engine is not fenced",
		[BLOCKER_INTENT_OPEN] = "an order for the slot is open",
		[BLOCKER_INHERITED] = "requests of an earlier owner may run",
	};

	return names[obstacle];
}

gboolean ownership_may_change(const ownership_t *own, ms_t now, const char *id,
			      guint i)
{
	return ownership_change_blocker(own, now, id, i) == BLOCKER_NONE;
}

static gboolean is_running(const ownership_slot_report_t *slots, guint count,
			   const char *adapter)
{
	guint i;

	for (i = 0; i < count; i++) {
		if (slots[i].running && !g_strcmp0(slots[i].adapter, adapter))
			return TRUE;
	}
	return FALSE;
}

static void end_holds(own_endpoint_t *endpoint, ms_t now,
		      const ownership_slot_report_t *slots, guint count)
{
	ownership_t *own = endpoint->own;
	GHashTableIter iter;
	gpointer adapter;

	g_hash_table_iter_init(&iter, endpoint->inherited);
	while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
		if (is_running(slots, count, adapter))
			continue;
		g_hash_table_iter_steal(&iter);
		own->actions.adapter_idle(own->ctx, endpoint->id, adapter);
		g_free(adapter);
	}
	if (g_hash_table_size(endpoint->inherited))
		return;
	endpoint->predecessor = 0;
	endpoint->record->hold = 0;
	g_strfreev(endpoint->record->held);
	endpoint->record->held = g_new0(char *, 1);
	own_mark_dirty(endpoint, now + own->options.settle_delay);
}

static void end_quarantine(own_endpoint_t *endpoint, ms_t now, guint i,
			   const char *adapter)
{
	ownership_t *own = endpoint->own;

	endpoint->slots[i].is_quarantined = FALSE;
	ownership_order_ended(own, now, endpoint->id, i, adapter);
	own->actions.slot_ready(own->ctx, endpoint->id, i, adapter);
}

void ownership_report(ownership_t *own, ms_t now, const char *id,
		      const ownership_slot_report_t *slots, guint count,
		      ms_t as_of)
{
	own_endpoint_t *endpoint = own_owned(own, id);
	guint i;

	if (!endpoint)
		return;
	for (i = 0; i < MIN(count, endpoint->record->slot_count); i++) {
		const own_slot_t *slot = &endpoint->slots[i];

		if (slot->is_quarantined && as_of >= slot->quarantine_until &&
		    slots[i].state != INTENT_LOADING)
			end_quarantine(endpoint, now, i, slots[i].adapter);
	}
	if (g_hash_table_size(endpoint->inherited) &&
	    as_of >= endpoint->hold_until)
		end_holds(endpoint, now, slots, count);
}

void ownership_order_unknown(ownership_t *own, ms_t now, const char *id,
			     guint i)
{
	own_endpoint_t *endpoint = own_owned(own, id);

	if (!endpoint || i >= endpoint->record->slot_count)
		return;
	endpoint->slots[i].is_quarantined = TRUE;
	endpoint->slots[i].quarantine_until = now + own->options.transit_max;
}

/*
 * Requests for what the engine held may still be under way and find the adapter
 * when it is loaded again, by this owner or the next.
 */
static void hold_residents(own_endpoint_t *endpoint, ms_t now)
{
	ms_t transit_max = endpoint->own->options.transit_max;
	endpoint_record_t *record = endpoint->record;
	guint i;

	for (i = 0; i < record->slot_count; i++) {
		const own_slot_t *slot = &endpoint->slots[i];

		if (slot->settled)
			g_hash_table_add(endpoint->inherited,
					 g_strdup(slot->settled));
		if (record->slots[i].adapter)
			g_hash_table_add(endpoint->inherited,
					 g_strdup(record->slots[i].adapter));
	}
	endpoint->hold_until = MAX(endpoint->hold_until, now + transit_max);
	record->hold = MAX(record->hold, transit_max);
	g_strfreev(record->held);
	record->held = own_held(endpoint);
}

void ownership_engine_restarted(ownership_t *own, ms_t now, const char *id)
{
	own_endpoint_t *endpoint = own_owned(own, id);
	guint i;

	if (!endpoint)
		return;
	/* Until it is fenced anew, the engine takes late orders again. */
	endpoint->is_fenced = FALSE;
	endpoint->fence_sent_at = 0;
	hold_residents(endpoint, now);
	for (i = 0; i < endpoint->record->slot_count; i++) {
		own_slot_t *slot = &endpoint->slots[i];

		g_clear_pointer(&slot->settled, g_free);
		if (slot->done)
			own_end_intent(endpoint, i, FALSE);
		else if (intent_is_open(&endpoint->record->slots[i]))
			ownership_order_unknown(own, now, id, i);
		else
			ownership_order_ended(own, now, id, i, NULL);
	}
	own_mark_dirty(endpoint, now + own->options.settle_delay);
}

int64_t ownership_predecessor_lease(const ownership_t *own, const char *id)
{
	const own_endpoint_t *endpoint = own_owned(own, id);

	return endpoint ? endpoint->predecessor : 0;
}
