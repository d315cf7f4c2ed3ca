#include <string.h>

#include "own/ownership_internal.h"

void own_write_value(own_endpoint_t *endpoint, int64_t expected,
		     const endpoint_record_t *record, kv_write_done_t done)
{
	char *text = endpoint_record_render(record);
	kv_write_t write = {endpoint->key, expected, text, strlen(text), 0};

	kv_write(endpoint->own->kv, &write, 1, done, endpoint);
	g_free(text);
}

void own_write_begin(own_endpoint_t *endpoint)
{
	const endpoint_record_t *record = endpoint->record;
	guint i;

	endpoint->write = WRITE_NONE;
	endpoint->is_dirty = FALSE;
	endpoint->landed = record->sequence;
	endpoint->write_retry_at = 0;
	for (i = 0; i < record->slot_count; i++)
		endpoint->slots[i].settled = g_strdup(record->slots[i].adapter);
}

void own_mark_dirty(own_endpoint_t *endpoint, ms_t flush_at)
{
	if (!endpoint->is_dirty || flush_at < endpoint->flush_at)
		endpoint->flush_at = flush_at;
	endpoint->is_dirty = TRUE;
}

static void on_written(void *ctx, kv_status_t status, int64_t revision,
		       const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	endpoint->open_calls--;
	if (endpoint->phase != PHASE_OWNED)
		return;
	endpoint->status = status;
	endpoint->seen_revision = revision;
	endpoint->write = WRITE_ANSWERED;
	own_wake(endpoint);
}

static void on_read_back(void *ctx, kv_status_t status, const kv_item_t *items,
			 size_t count, int64_t revision, const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	endpoint->open_calls--;
	if (endpoint->phase != PHASE_OWNED)
		return;
	own_note_seen(endpoint, status, items, count);
	endpoint->write = WRITE_READ;
	own_wake(endpoint);
}

static void write_record(own_endpoint_t *endpoint)
{
	endpoint_record_t *record = endpoint->record;
	guint i;

	record->sequence++;
	for (i = 0; i < record->slot_count; i++) {
		if (endpoint->slots[i].done && !endpoint->slots[i].sequence)
			endpoint->slots[i].sequence = record->sequence;
	}
	endpoint->is_dirty = FALSE;
	endpoint->write = WRITE_OPEN;
	endpoint->open_calls++;
	own_write_value(endpoint, endpoint->revision, record, on_written);
}

static void read_back(own_endpoint_t *endpoint)
{
	endpoint->write = WRITE_READING;
	endpoint->open_calls++;
	kv_read(endpoint->own->kv, endpoint->key, on_read_back, endpoint);
}

static void restore_slot(own_endpoint_t *endpoint, guint i)
{
	own_slot_t *slot = &endpoint->slots[i];

	slot_intent_set(&endpoint->record->slots[i],
			slot->settled ? INTENT_RESIDENT : INTENT_EMPTY,
			endpoint->record->epoch, slot->settled);
}

void own_end_intent(own_endpoint_t *endpoint, guint i, gboolean is_recorded)
{
	own_slot_t *slot = &endpoint->slots[i];
	ownership_intent_done_t done = slot->done;

	slot->done = NULL;
	if (!is_recorded)
		restore_slot(endpoint, i);
	done(slot->done_ctx, endpoint->id, i, is_recorded);
}

void own_fail_intents(own_endpoint_t *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->record->slot_count; i++) {
		if (endpoint->slots[i].done)
			own_end_intent(endpoint, i, FALSE);
	}
}

/* All writes up to this sequence are in the service. */
static void landed(own_endpoint_t *endpoint, ms_t now, int64_t sequence)
{
	gboolean may_act = own_may_act(endpoint, now);
	guint i;

	endpoint->landed = sequence;
	endpoint->write = WRITE_NONE;
	for (i = 0; i < endpoint->record->slot_count; i++) {
		const own_slot_t *slot = &endpoint->slots[i];

		if (!slot->done || !slot->sequence || slot->sequence > sequence)
			continue;
		if (!may_act)
			own_mark_dirty(endpoint, now);
		own_end_intent(endpoint, i, may_act);
	}
}

static void retry_write(own_endpoint_t *endpoint, ms_t now)
{
	endpoint->write = WRITE_NONE;
	own_mark_dirty(endpoint, now);
	endpoint->write_retry_at = now + endpoint->own->options.retry_interval;
}

static void after_write(own_endpoint_t *endpoint, ms_t now)
{
	if (endpoint->status == KV_DONE) {
		endpoint->revision = endpoint->seen_revision;
		landed(endpoint, now, endpoint->record->sequence);
	} else if (endpoint->status == KV_FAILED) {
		retry_write(endpoint, now);
	} else {
		read_back(endpoint);
	}
}

static void after_read_back(own_endpoint_t *endpoint, ms_t now)
{
	const endpoint_record_t *seen = endpoint->seen;
	const endpoint_record_t *record = endpoint->record;

	if (endpoint->status != KV_DONE) {
		retry_write(endpoint, now);
		return;
	}
	if (!seen || seen->incarnation != record->incarnation ||
	    seen->epoch != record->epoch) {
		own_lose(endpoint, now);
		return;
	}
	/* Only this owner writes under its incarnation. */
	endpoint->revision = endpoint->seen_revision;
	if (seen->sequence < record->sequence)
		retry_write(endpoint, now);
	landed(endpoint, now, seen->sequence);
}

void own_write_tick(own_endpoint_t *endpoint, ms_t now)
{
	if (endpoint->write == WRITE_ANSWERED)
		after_write(endpoint, now);
	if (endpoint->write == WRITE_READ)
		after_read_back(endpoint, now);
	if (endpoint->phase != PHASE_OWNED)
		return;
	if (endpoint->write == WRITE_NONE && endpoint->is_dirty &&
	    now >= endpoint->flush_at && now >= endpoint->write_retry_at)
		write_record(endpoint);
}

void ownership_record_intent(ownership_t *own, ms_t now, const char *id,
			     guint i, intent_state_t state, const char *adapter,
			     ownership_intent_done_t done, void *ctx)
{
	own_endpoint_t *endpoint = own_owned(own, id);
	own_slot_t *slot;

	g_assert(ownership_may_change(own, now, id, i));
	g_assert(state == INTENT_LOADING || state == INTENT_UNLOADING);
	slot = &endpoint->slots[i];
	slot_intent_set(&endpoint->record->slots[i], state,
			endpoint->record->epoch, adapter);
	slot->done = done;
	slot->done_ctx = ctx;
	slot->sequence = 0;
	own_mark_dirty(endpoint, now);
	own_wake(endpoint);
}

gboolean ownership_may_order(const ownership_t *own, ms_t now, const char *id,
			     guint i)
{
	const own_endpoint_t *endpoint = own_owned(own, id);
	const slot_intent_t *intent;
	const own_slot_t *slot;

	if (!endpoint || i >= endpoint->record->slot_count ||
	    !own_may_act(endpoint, now))
		return FALSE;
	slot = &endpoint->slots[i];
	intent = &endpoint->record->slots[i];
	return !slot->is_quarantined && intent_is_open(intent) &&
	       intent->epoch == endpoint->record->epoch && slot->sequence &&
	       slot->sequence <= endpoint->landed;
}

int64_t ownership_order_epoch(ownership_t *own, ms_t now, const char *id,
			      guint i)
{
	g_assert(ownership_may_order(own, now, id, i));
	return own_owned(own, id)->record->epoch;
}

void ownership_order_ended(ownership_t *own, ms_t now, const char *id, guint i,
			   const char *adapter)
{
	own_endpoint_t *endpoint = own_owned(own, id);
	own_slot_t *slot;

	if (!ownership_is_slot_usable(own, id, i))
		return;
	slot = &endpoint->slots[i];
	g_free(slot->settled);
	slot->settled = g_strdup(adapter);
	restore_slot(endpoint, i);
	own_mark_dirty(endpoint, now + own->options.settle_delay);
}
