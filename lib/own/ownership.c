#include "own/ownership_internal.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

#define TRANSIT_MAX_MS	     30000
#define SERVE_GRACE_MS	     600000
#define PROBE_VALIDITY_MS    5000
#define PROBE_INTERVAL_MS    1000
#define HANDOVER_DELAY_MS    10000
#define RECLAIM_DELAY_MS     10000
#define POLL_MIN_MS	     500
#define POLL_MAX_MS	     1000
#define RETRY_INTERVAL_MS    500
#define WRITE_BATCH_DELAY_MS 1000
#define PREDECESSOR_POLL_MS  5000

void ownership_options_init(ownership_options_t *options)
{
	options->transit_max = TRANSIT_MAX_MS;
	options->serve_grace = SERVE_GRACE_MS;
	options->probe_validity = PROBE_VALIDITY_MS;
	options->probe_interval = PROBE_INTERVAL_MS;
	options->handover_delay = HANDOVER_DELAY_MS;
	options->reclaim_delay = RECLAIM_DELAY_MS;
	options->poll_min = POLL_MIN_MS;
	options->poll_max = POLL_MAX_MS;
	options->retry_interval = RETRY_INTERVAL_MS;
	options->write_batch_delay = WRITE_BATCH_DELAY_MS;
	options->predecessor_poll_interval = PREDECESSOR_POLL_MS;
	options->place = "";
}

ownership_t *ownership_create(kv_t *kv, lease_t *lease,
			      const ownership_options_t *options,
			      const ownership_actions_t *actions, void *ctx)
{
	ownership_t *own = g_new0(ownership_t, 1);

	own->kv = kv;
	own->lease = lease;
	own->options = *options;
	own->place = g_strdup(options->place);
	own->options.place = own->place;
	own->actions = *actions;
	own->ctx = ctx;
	TAILQ_INIT(&own->endpoints);
	own->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	own->members = g_ptr_array_new();
	return own;
}

static void drop_read_record(own_endpoint_t *endpoint)
{
	g_clear_pointer(&endpoint->seen, endpoint_record_destroy);
}

static void drop_record(own_endpoint_t *endpoint)
{
	guint i;

	if (!endpoint->record)
		return;
	for (i = 0; endpoint->slots && i < endpoint->record->slot_count; i++)
		g_free(endpoint->slots[i].settled_adapter);
	g_clear_pointer(&endpoint->slots, g_free);
	g_clear_pointer(&endpoint->record, endpoint_record_destroy);
	own_hold_end(endpoint);
	endpoint->write_state = WRITE_NONE;
}

static void endpoint_free(own_endpoint_t *endpoint)
{
	drop_read_record(endpoint);
	drop_record(endpoint);
	own_predecessor_end(endpoint);
	g_free(endpoint->id);
	g_free(endpoint->key);
	g_free(endpoint->failure_domain);
	g_free(endpoint);
}

void ownership_destroy(ownership_t *own)
{
	own_endpoint_t *endpoint = TAILQ_FIRST(&own->endpoints);

	while (endpoint) {
		own_endpoint_t *next = TAILQ_NEXT(endpoint, link);

		endpoint_free(endpoint);
		endpoint = next;
	}
	own_clear_members(own);
	g_ptr_array_free(own->members, TRUE);
	g_hash_table_destroy(own->by_id);
	g_free(own->place);
	g_free(own);
}

own_endpoint_t *own_find_owned(const ownership_t *own, const char *id)
{
	own_endpoint_t *endpoint = g_hash_table_lookup(own->by_id, id);

	return endpoint && endpoint->phase == PHASE_OWNED ? endpoint : NULL;
}

gboolean own_is_lease_valid(const own_endpoint_t *endpoint, ms_t now)
{
	const lease_t *lease = endpoint->own->lease;

	return lease_is_valid(lease, now) &&
	       lease_id(lease) == endpoint->record->incarnation;
}

gboolean own_may_send_orders(const own_endpoint_t *endpoint, ms_t now)
{
	return own_is_lease_valid(endpoint, now) &&
	       (endpoint->is_fenced || !endpoint->checks_fencing);
}

void own_wake(own_endpoint_t *endpoint)
{
	endpoint->own->actions.wake(endpoint->own->ctx);
}

void own_store_read_record(own_endpoint_t *endpoint, kv_status_t status,
			   const kv_item_t *items, size_t count)
{
	GError *error = NULL;

	drop_read_record(endpoint);
	endpoint->status = status;
	endpoint->is_malformed = FALSE;
	endpoint->seen_revision = KV_REVISION_ABSENT;
	if (status != KV_DONE || !count)
		return;
	endpoint->seen_revision = items[0].revision;
	endpoint->seen =
		endpoint_record_parse(items[0].value, items[0].size, &error);
	if (endpoint->seen)
		return;
	endpoint->is_malformed = TRUE;
	log_error("malformed endpoint record", "endpoint", endpoint->id,
		  "error", error->message, NULL);
	g_error_free(error);
}

static void on_read(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	own_store_read_record(endpoint, status, items, count);
	endpoint->phase = PHASE_READ;
	own_wake(endpoint);
}

static void on_owner_read(void *ctx, kv_status_t status, const kv_item_t *items,
			  size_t count, int64_t revision, const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	endpoint->status = status;
	endpoint->is_owner_alive =
		count && items[0].lease == endpoint->seen->incarnation;
	endpoint->phase = PHASE_CHECKED;
	own_wake(endpoint);
}

static void on_taken(void *ctx, kv_status_t status, int64_t revision,
		     const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	endpoint->status = status;
	endpoint->revision = revision;
	endpoint->phase = PHASE_TAKE_ANSWERED;
	own_wake(endpoint);
}

static void go_idle(own_endpoint_t *endpoint, ms_t next_at)
{
	drop_read_record(endpoint);
	drop_record(endpoint);
	endpoint->phase = PHASE_IDLE;
	endpoint->next_at = next_at;
}

/* Reads the record again later and doubles the interval. */
static void poll_later(own_endpoint_t *endpoint, ms_t now)
{
	go_idle(endpoint, now + endpoint->poll_interval);
	endpoint->poll_interval = MIN(2 * endpoint->poll_interval,
				      endpoint->own->options.poll_max);
}

static void retry_later(own_endpoint_t *endpoint, ms_t now)
{
	go_idle(endpoint, now + endpoint->own->options.retry_interval);
}

void own_lose(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	gboolean was_owned = endpoint->phase == PHASE_OWNED;

	endpoint->phase = PHASE_IDLE;
	own_fail_intents(endpoint);
	go_idle(endpoint, now);
	counter_add(counter_get("hc_ownership_lost_total"), 1);
	if (was_owned)
		own->actions.lost(own->ctx, endpoint->id);
}

/* Called once the record in the service names this instance as owner. */
static void begin_owning(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;

	g_assert(endpoint->record->epoch > endpoint->epoch_max);
	endpoint->epoch_max = endpoint->record->epoch;
	endpoint->phase = PHASE_OWNED;
	endpoint->is_reclaim_pending = FALSE;
	endpoint->poll_interval = own->options.poll_min;
	endpoint->slots = g_new0(own_slot_t, endpoint->record->slot_count);
	own_write_begin(endpoint);
	own_hold_begin(endpoint, now);
	counter_add(counter_get("hc_ownership_taken_total"), 1);
	own->actions.owned(own->ctx, endpoint->id, endpoint->record);
}

/* Writes the record with this instance as owner. */
static void take(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	endpoint_record_t *record;

	if (!lease_is_valid(own->lease, now)) {
		retry_later(endpoint, now);
		return;
	}
	record = endpoint->seen ? endpoint_record_copy(endpoint->seen)
				: endpoint_record_create(0);
	endpoint_record_grow(record, endpoint->slot_count);
	g_free(record->owner);
	record->owner = g_strdup(lease_instance(own->lease));
	record->incarnation = lease_id(own->lease);
	g_free(record->place);
	record->place = g_strdup(own->place);
	record->epoch = MAX(record->epoch, endpoint->epoch_max) + 1;
	record->sequence = 1;
	endpoint->hold = own_hold_length(endpoint, endpoint->seen);
	record->hold = endpoint->hold;
	own_predecessor_begin(endpoint);
	endpoint->record = record;
	endpoint->taken_at = now;
	endpoint->phase = PHASE_TAKING;
	own_write_value(endpoint, endpoint->seen_revision, record, on_taken);
}

static void after_read(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	const endpoint_record_t *seen = endpoint->seen;
	char *key;

	if (endpoint->status != KV_DONE || endpoint->is_malformed) {
		poll_later(endpoint, now);
		return;
	}
	if (seen && seen->incarnation) {
		if (!endpoint->is_preferred)
			endpoint->is_reclaim_pending = FALSE;
		key = lease_record_key(seen->owner);
		endpoint->phase = PHASE_CHECKING;
		kv_read(own->kv, key, on_owner_read, endpoint);
		g_free(key);
		return;
	}
	take(endpoint, now);
}

static void after_check(own_endpoint_t *endpoint, ms_t now)
{
	gboolean is_own_lease =
		endpoint->seen->incarnation == lease_id(endpoint->own->lease);

	if (endpoint->status != KV_DONE)
		retry_later(endpoint, now);
	else if (endpoint->is_owner_alive && !is_own_lease)
		poll_later(endpoint, now);
	else
		take(endpoint, now);
}

static void after_take(own_endpoint_t *endpoint, ms_t now)
{
	/*
	 * If the result of the write is unknown, the record may name this
	 * instance.  Read it and take again, even if another member is
	 * preferred by then.
	 */
	if (endpoint->status == KV_DONE &&
	    endpoint->record->incarnation == lease_id(endpoint->own->lease)) {
		drop_read_record(endpoint);
		begin_owning(endpoint, now);
		return;
	}
	endpoint->is_reclaim_pending = TRUE;
	retry_later(endpoint, now);
}

static void on_released(void *ctx, kv_status_t status, int64_t revision,
			const GError *error)
{
	own_endpoint_t *endpoint = ctx;

	endpoint->status = status;
	endpoint->write_state = WRITE_ANSWERED;
	own_wake(endpoint);
}

/* Marks the record as released, so that a successor need not wait. */
static void release(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	endpoint_record_t *record;

	endpoint->phase = PHASE_RELEASING;
	own->actions.lost(own->ctx, endpoint->id);
	own_fail_intents(endpoint);
	record = endpoint_record_copy(endpoint->record);
	g_free(record->owner);
	record->owner = g_strdup("");
	record->incarnation = 0;
	g_free(record->place);
	record->place = g_strdup("");
	record->sequence++;
	record->hold = own_hold_remaining(endpoint, now);
	g_strfreev(record->held);
	record->held = own_held_adapters(endpoint);
	endpoint->write_state = WRITE_OPEN;
	own_write_value(endpoint, endpoint->revision, record, on_released);
	endpoint_record_destroy(record);
	counter_add(counter_get("hc_ownership_released_total"), 1);
}

static void after_release(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;

	/*
	 * This instance no longer acts as owner, whatever the result of the
	 * write.  If the write failed or its result is unknown, the record is
	 * read again later.
	 */
	endpoint->is_reclaim_pending = !own->is_stopping && endpoint->is_listed;
	go_idle(endpoint, endpoint->status == KV_DONE
				  ? now + own->options.reclaim_delay
				  : now + own->options.retry_interval);
}

static gboolean should_release(const own_endpoint_t *endpoint, ms_t now)
{
	const ownership_t *own = endpoint->own;

	if (endpoint->write_state != WRITE_NONE)
		return FALSE;
	if (own->is_stopping)
		return TRUE;
	return !endpoint->is_preferred && own_is_lease_valid(endpoint, now) &&
	       now - endpoint->preference_changed_at >=
		       own->options.handover_delay;
}

static void tick_owned(own_endpoint_t *endpoint, ms_t now)
{
	const lease_t *lease = endpoint->own->lease;

	if (lease_id(lease) != endpoint->record->incarnation) {
		own_lose(endpoint, now);
		return;
	}
	own_write_tick(endpoint, now);
	if (endpoint->phase != PHASE_OWNED)
		return;
	own_fence_tick(endpoint, now);
	own_predecessor_tick(endpoint, now);
	if (should_release(endpoint, now))
		release(endpoint, now);
}

static void tick_idle(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;

	if (own->is_stopping || now < endpoint->next_at ||
	    endpoint->open_calls ||
	    !(endpoint->is_preferred || endpoint->is_reclaim_pending) ||
	    !lease_is_valid(own->lease, now))
		return;
	endpoint->phase = PHASE_READING;
	kv_read(own->kv, endpoint->key, on_read, endpoint);
}

static void endpoint_tick(own_endpoint_t *endpoint, ms_t now)
{
	switch (endpoint->phase) {
	case PHASE_IDLE:
		tick_idle(endpoint, now);
		break;
	case PHASE_READ:
		after_read(endpoint, now);
		break;
	case PHASE_CHECKED:
		after_check(endpoint, now);
		break;
	case PHASE_TAKE_ANSWERED:
		after_take(endpoint, now);
		break;
	case PHASE_OWNED:
		tick_owned(endpoint, now);
		break;
	case PHASE_RELEASING:
		if (endpoint->write_state == WRITE_ANSWERED)
			after_release(endpoint, now);
		break;
	case PHASE_READING:
	case PHASE_CHECKING:
	case PHASE_TAKING:
		break;
	}
}

ms_t ownership_tick(ownership_t *own, ms_t now)
{
	own_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &own->endpoints, link)
		endpoint_tick(endpoint, now);
	return now + own->options.poll_min;
}

void ownership_stop(ownership_t *own, ms_t now)
{
	own->is_stopping = TRUE;
	ownership_tick(own, now);
}

gboolean ownership_is_stopped(const ownership_t *own)
{
	const own_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &own->endpoints, link) {
		if (endpoint->phase == PHASE_OWNED ||
		    endpoint->phase == PHASE_RELEASING ||
		    endpoint->phase == PHASE_TAKING ||
		    endpoint->phase == PHASE_TAKE_ANSWERED)
			return FALSE;
	}
	return TRUE;
}

gboolean ownership_is_owner(const ownership_t *own, const char *id,
			    int64_t *epoch)
{
	const own_endpoint_t *endpoint = own_find_owned(own, id);

	*epoch = endpoint ? endpoint->record->epoch : 0;
	return endpoint != NULL;
}
