/*
 * Load requests, grants, loads and unloads of the slots of one endpoint.
 */

#include "sched/slots_state.h"

/* Consecutive failed loads after which queued requests are refused. */
#define MAX_LOAD_ATTEMPTS 3

/* Delay after a failed load; doubles with each failure up to the maximum. */
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 30000

/* How long slots_expect_request() counts as demand for an adapter. */
#define EXPECTED_REQUEST_MS 10000

/* How long the retention value of a demoted adapter is 0. */
#define DEMOTION_MS 60000

/* Upper bound of the hold time, in multiples of the time of a reload. */
#define MAX_HOLD_RELOADS 4.0

/*
 * A prefetch may evict only an adapter whose retention value is below this
 * share of its own.
 */
#define PREFETCH_VALUE_SHARE 0.5

gboolean slots_is_usable(const slots_t *slots, const slots_adapter_t *adapter)
{
	const slot_t *slot;

	if (adapter->slot == SLOT_NONE)
		return FALSE;
	slot = &slots->slots[adapter->slot];
	return slot->state == SLOT_READY && slot->adapter == adapter &&
	       !slot->quarantined;
}

static gboolean is_in_use(const slots_adapter_t *adapter)
{
	return adapter->in_flight > 0 || adapter->waiting > 0 ||
	       adapter->pins > 0 || adapter->predecessor_busy;
}

/*
 * The time until which a recently used adapter is protected from eviction.  The
 * protection only saves a reload, so that it is limited to a few times the
 * duration of a reload.  A demoted adapter is not protected.
 */
static ms_t hold_end(const slots_t *slots, ms_t now, const slot_t *slot)
{
	double reload = slots_average_get(&slots->load_time, now) +
			slots_average_get(&slots->grant_interval, now);
	ms_t hold =
		MIN(slots->config.hold_time, (ms_t)(MAX_HOLD_RELOADS * reload));

	if (slot->adapter->demoted_until > slot->adapter->last_used)
		return 0;
	return slot->adapter->last_used + hold;
}

/* The next time at which the hold of an unused adapter ends, or MS_NEVER. */
ms_t slots_next_hold_end(const slots_t *slots, ms_t now)
{
	ms_t due = MS_NEVER;
	int i;

	for (i = 0; i < slots->config.slot_count; i++) {
		const slot_t *slot = &slots->slots[i];

		if (slot->state == SLOT_READY && !is_in_use(slot->adapter) &&
		    hold_end(slots, now, slot) > now)
			due = MIN(due, hold_end(slots, now, slot));
	}
	return due;
}

gboolean slots_is_evictable(const slots_t *slots, ms_t now, const slot_t *slot)
{
	return slot->state == SLOT_READY && !slot->quarantined &&
	       !is_in_use(slot->adapter) && hold_end(slots, now, slot) <= now;
}

double slots_retention_value(const slots_t *slots, ms_t now,
			     const slots_adapter_t *adapter)
{
	if (adapter->demoted_until > now)
		return 0;
	if (slots->config.recency)
		return MS_PER_S / (double)(now - adapter->last_used + 1);
	return popularity_rate(slots->recent, now, adapter->name) +
	       popularity_rate(slots->popularity, now, adapter->name);
}

int slots_count_available(const slots_t *slots, ms_t now)
{
	int count = 0;
	int i;

	for (i = 0; i < slots->config.slot_count; i++) {
		const slot_t *slot = &slots->slots[i];

		if ((slot->state == SLOT_EMPTY && !slot->quarantined) ||
		    slots_is_evictable(slots, now, slot))
			count++;
	}
	return count;
}

/*
 * Choose an empty slot, or the evictable one with the lowest retention value.
 * Returns SLOT_NONE if there is none.
 */
static int choose_slot(const slots_t *slots, ms_t now)
{
	double best = 0;
	int chosen = SLOT_NONE;
	int i;

	for (i = 0; i < slots->config.slot_count; i++) {
		const slot_t *slot = &slots->slots[i];
		double value;

		if (slot->state == SLOT_EMPTY && !slot->quarantined)
			return i;
		if (!slots_is_evictable(slots, now, slot))
			continue;
		value = slots_retention_value(slots, now, slot->adapter);
		if (chosen == SLOT_NONE || value < best) {
			best = value;
			chosen = i;
		}
	}
	return chosen;
}

static void make_load_request(const slots_t *slots, slots_adapter_t *adapter,
			      load_request_t *request)
{
	const slots_entry_t *entry;

	*request = (load_request_t){.adapter = adapter->name,
				    .waiting = adapter->waiting,
				    .oldest = MS_NEVER,
				    .ahead = adapter->waiting == 0};
	TAILQ_FOREACH (entry, &slots->queue, link) {
		if (entry->adapter != adapter)
			continue;
		if (request->oldest == MS_NEVER)
			request->priority = entry->priority;
		request->oldest = MIN(request->oldest, entry->arrival);
	}
}

static gboolean has_demand(const slots_adapter_t *adapter, ms_t now)
{
	return adapter->waiting > 0 || adapter->expected_until > now;
}

static gboolean may_request_load(const slots_t *slots, ms_t now,
				 const slots_adapter_t *adapter)
{
	if (slots->leaving || adapter->slot != SLOT_NONE)
		return FALSE;
	if (adapter->retry_at > now)
		return FALSE;
	return has_demand(adapter, now);
}

void slots_cancel_load_request(slots_t *slots, slots_adapter_t *adapter)
{
	if (!adapter->requested)
		return;
	adapter->requested = FALSE;
	slots->actions.withdraw_load(slots->ctx, adapter->name);
}

static void update_load_request(slots_t *slots, ms_t now,
				slots_adapter_t *adapter)
{
	load_request_t request;

	if (adapter->requested && !adapter->request_outdated)
		return;
	make_load_request(slots, adapter, &request);
	if (!adapter->requested)
		adapter->requested_at = now;
	adapter->requested = TRUE;
	adapter->request_outdated = FALSE;
	adapter->last_request = request;
	slots->actions.want_load(slots->ctx, &request);
}

void slots_update_load_requests(slots_t *slots, ms_t now)
{
	gboolean available = slots_count_available(slots, now) > 0;
	GList *adapters = g_hash_table_get_values(slots->adapters);
	GList *item;

	for (item = adapters; item; item = item->next) {
		slots_adapter_t *adapter = item->data;

		if (!may_request_load(slots, now, adapter))
			slots_cancel_load_request(slots, adapter);
		else if (available)
			update_load_request(slots, now, adapter);
		slots_adapter_release(slots, now, adapter);
	}
	g_list_free(adapters);
}

static void order_load(slots_t *slots, ms_t now, int index,
		       slots_adapter_t *adapter)
{
	slot_t *slot = &slots->slots[index];

	g_assert(slot->state == SLOT_EMPTY && !slot->quarantined);
	g_assert(!slot->adapter && !slot->next_adapter);
	slot->state = SLOT_LOADING;
	slot->adapter = adapter;
	slot->state_since = now;
	adapter->slot = index;
	slots->actions.order_load(slots->ctx, index, adapter->name);
}

static void order_unload(slots_t *slots, ms_t now, int index,
			 slots_adapter_t *next)
{
	slot_t *slot = &slots->slots[index];

	/* An adapter in use must never be unloaded. */
	g_assert(slot->state == SLOT_READY && !slot->quarantined);
	g_assert(slot->adapter->in_flight == 0 && slot->adapter->pins == 0);
	g_assert(slot->adapter->waiting == 0 &&
		 !slot->adapter->predecessor_busy);
	slot->state = SLOT_UNLOADING;
	slot->state_since = now;
	slot->next_adapter = next;
	next->slot = index;
	slots->actions.placed(slots->ctx, slot->adapter->name, FALSE);
	slots->actions.order_unload(slots->ctx, index, slot->adapter->name);
}

/* A prefetch must not evict an adapter with a higher demand. */
static gboolean may_evict_for(const slots_t *slots, ms_t now,
			      const slots_adapter_t *adapter, int index)
{
	const slot_t *slot = &slots->slots[index];

	if (adapter->waiting > 0 || slot->state == SLOT_EMPTY)
		return TRUE;
	return slots_retention_value(slots, now, slot->adapter) <
	       PREFETCH_VALUE_SHARE *
		       slots_retention_value(slots, now, adapter);
}

static void record_grant(slots_t *slots, ms_t now,
			 const slots_adapter_t *adapter)
{
	ms_t from = MAX(adapter->requested_at, slots->last_grant);

	slots_average_add(&slots->grant_interval, now, MAX(now - from, 0));
	slots->last_grant = now;
}

gboolean slots_grant(slots_t *slots, ms_t now, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);
	int index;

	g_assert(!slots->in_event);
	if (!adapter || !adapter->requested)
		return FALSE;
	/* The broker removes a load request when it grants it. */
	adapter->requested = FALSE;
	if (!may_request_load(slots, now, adapter))
		return FALSE;
	index = choose_slot(slots, now);
	if (index == SLOT_NONE || !may_evict_for(slots, now, adapter, index)) {
		adapter->expected_until = 0;
		return FALSE;
	}
	record_grant(slots, now, adapter);
	slots->in_event = TRUE;
	if (slots->slots[index].state == SLOT_EMPTY)
		order_load(slots, now, index, adapter);
	else
		order_unload(slots, now, index, adapter);
	slots->in_event = FALSE;
	slots_schedule(slots, now);
	return TRUE;
}

static void load_failed(slots_t *slots, ms_t now, slots_adapter_t *adapter)
{
	ms_t backoff = BACKOFF_MIN_MS << MIN(adapter->failures, 10);

	backoff = MIN(backoff, BACKOFF_MAX_MS);
	backoff += g_rand_int_range(slots->rand, 0, (int)backoff / 4 + 1);
	adapter->failures++;
	adapter->retry_at = now + backoff;
	adapter->expected_until = 0;
	if (adapter->failures >= MAX_LOAD_ATTEMPTS)
		slots_refuse_adapter(slots, adapter, ERROR_LOAD_FAILED,
				     backoff);
}

void slots_load_ended(slots_t *slots, ms_t now, int index, gboolean ok)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *adapter = slot->adapter;

	g_assert(slot->state == SLOT_LOADING && adapter->slot == index);
	slots_average_add(&slots->load_time, now, now - slot->state_since);
	slot->state_since = now;
	if (ok) {
		slot->state = SLOT_READY;
		adapter->failures = 0;
		adapter->demoted_until = 0;
		if (slot->quarantined)
			slots_refuse_adapter(slots, adapter, ERROR_UNAVAILABLE,
					     0);
		else
			slots->actions.placed(slots->ctx, adapter->name, TRUE);
	} else {
		slot->state = SLOT_EMPTY;
		slot->adapter = NULL;
		adapter->slot = SLOT_NONE;
		load_failed(slots, now, adapter);
	}
	slots_schedule(slots, now);
}

void slots_load_not_sent(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *adapter = slot->adapter;

	g_assert(slot->state == SLOT_LOADING && adapter->slot == index);
	slot->state_since = now;
	slot->state = SLOT_EMPTY;
	slot->adapter = NULL;
	adapter->slot = SLOT_NONE;
	/* If the slot is quarantined, another one can be used at once. */
	if (!slot->quarantined)
		adapter->retry_at = now + BACKOFF_MIN_MS;
	slots_schedule(slots, now);
}

/* Cancel the load that was to follow the unload of this slot. */
static void cancel_next_load(slots_t *slots, slot_t *slot)
{
	slots_adapter_t *next = slot->next_adapter;

	if (!next)
		return;
	slot->next_adapter = NULL;
	next->slot = SLOT_NONE;
	slots->actions.grant_unused(slots->ctx, next->name);
}

void slots_unload_ended(slots_t *slots, ms_t now, int index, gboolean ok)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *old = slot->adapter;
	slots_adapter_t *next = slot->next_adapter;

	g_assert(slot->state == SLOT_UNLOADING);
	slot->state_since = now;
	if (!ok) {
		slot->state = SLOT_READY;
		old->slot = index;
		cancel_next_load(slots, slot);
		if (!slot->quarantined)
			slots->actions.placed(slots->ctx, old->name, TRUE);
		slots_schedule(slots, now);
		return;
	}
	slot->state = SLOT_EMPTY;
	slot->adapter = NULL;
	if (old->slot == index)
		old->slot = SLOT_NONE;
	if (slot->quarantined || (next && !has_demand(next, now))) {
		cancel_next_load(slots, slot);
	} else if (next) {
		slot->next_adapter = NULL;
		order_load(slots, now, index, next);
	}
	slots_schedule(slots, now);
}

void slots_quarantine(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];

	if (slot->quarantined)
		return;
	slot->quarantined = TRUE;
	if (slot->state == SLOT_READY) {
		slots->actions.placed(slots->ctx, slot->adapter->name, FALSE);
		slots_refuse_adapter(slots, slot->adapter, ERROR_UNAVAILABLE,
				     0);
	}
	slots_schedule(slots, now);
}

void slots_release(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];

	if (!slot->quarantined)
		return;
	slot->quarantined = FALSE;
	if (slot->state == SLOT_READY)
		slots->actions.placed(slots->ctx, slot->adapter->name, TRUE);
	slots_schedule(slots, now);
}

void slots_add_resident(slots_t *slots, ms_t now, int index, const char *name)
{
	slots_adapter_t *adapter = slots_adapter_get(slots, name);
	slot_t *slot = &slots->slots[index];

	g_assert(slot->state == SLOT_EMPTY && !slot->quarantined);
	/*
	 * A second copy must not be registered: new requests never use it, but
	 * it may still serve requests of a previous owner.
	 */
	g_assert(adapter->slot == SLOT_NONE);
	slot->state = SLOT_READY;
	slot->adapter = adapter;
	slot->state_since = now;
	adapter->slot = index;
	adapter->predecessor_busy = TRUE;
	slots->actions.placed(slots->ctx, name, TRUE);
	slots_schedule(slots, now);
}

void slots_clear_predecessor_busy(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];

	if (slot->state != SLOT_READY)
		return;
	slot->adapter->predecessor_busy = FALSE;
	slots_schedule(slots, now);
}

void slots_set_predecessor_busy(slots_t *slots, int index)
{
	slots->slots[index].adapter->predecessor_busy = TRUE;
}

static void clear_slot(slots_t *slots, slot_t *slot);

void slots_release_as(slots_t *slots, ms_t now, int index, const char *name)
{
	slot_t *slot = &slots->slots[index];

	if (!slot->quarantined)
		return;
	if (slot->state == SLOT_READY &&
	    g_strcmp0(slot->adapter->name, name) != 0)
		clear_slot(slots, slot);
	if (name && slot->state == SLOT_EMPTY &&
	    slots_adapter_get(slots, name)->slot == SLOT_NONE) {
		slot->quarantined = FALSE;
		slots_add_resident(slots, now, index, name);
		return;
	}
	slots_release(slots, now, index);
}

static void clear_slot(slots_t *slots, slot_t *slot)
{
	slots_adapter_t *adapter = slot->adapter;
	slot_state_t before = slot->state;

	cancel_next_load(slots, slot);
	/* Update the slot first, because callbacks may read its state. */
	slot->adapter = NULL;
	slot->state = SLOT_EMPTY;
	if (!adapter)
		return;
	adapter->slot = SLOT_NONE;
	adapter->predecessor_busy = FALSE;
	if (before == SLOT_LOADING)
		slots->actions.grant_unused(slots->ctx, adapter->name);
	if (before == SLOT_READY && !slot->quarantined)
		slots->actions.placed(slots->ctx, adapter->name, FALSE);
}

void slots_engine_restarted(slots_t *slots, ms_t now)
{
	int i;

	for (i = 0; i < slots->config.slot_count; i++)
		clear_slot(slots, &slots->slots[i]);
	slots_schedule(slots, now);
}

void slots_expect_request(slots_t *slots, ms_t now, const char *name,
			  double probability)
{
	slots_adapter_t *adapter;

	if (slots->leaving)
		return;
	adapter = slots_adapter_get(slots, name);
	adapter->expected_until = now + EXPECTED_REQUEST_MS;
	popularity_add(slots->recent, now, name, probability);
	slots_schedule(slots, now);
}

void slots_demote(slots_t *slots, ms_t now, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);

	if (adapter)
		adapter->demoted_until = now + DEMOTION_MS;
}
