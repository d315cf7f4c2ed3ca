/*
 * Wants, grants, loads and unloads of the slots of one endpoint.
 */

#include "sched/slots_state.h"

/* Failed loads in a row after which waiting requests are refused. */
#define LOAD_TRIES 3

/* Wait after the first failed load; it doubles up to the limit. */
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 30000

/* How long an expected request keeps its adapter in demand. */
#define EXPECT_MS 10000

/* How long a demoted adapter is worth nothing. */
#define DEMOTE_MS 60000

/* An adapter is held for no longer than this many reloads take. */
#define HOLD_RELOADS 4.0

/* A load ahead may unload only what is worth less than this share of it. */
#define AHEAD_SHARE 0.5

gboolean slots_is_usable(const slots_t *slots, const slots_adapter_t *adapter)
{
	const slot_t *slot;

	if (adapter->slot == SLOT_NONE)
		return FALSE;
	slot = &slots->slots[adapter->slot];
	return slot->state == SLOT_READY && slot->adapter == adapter &&
	       !slot->quarantined;
}

static gboolean is_needed(const slots_adapter_t *adapter)
{
	return adapter->in_flight > 0 || adapter->waiting > 0 ||
	       adapter->pins > 0 || adapter->foreign;
}

/*
 * A demoted adapter is not held.  Holding saves a reload, so that it is worth
 * no more than a few times of what a reload takes.
 */
static ms_t hold_end(const slots_t *slots, ms_t now, const slot_t *slot)
{
	double reload = slots_average_get(&slots->load_time, now) +
			slots_average_get(&slots->grant_interval, now);
	ms_t hold = MIN(slots->config.hold_time, (ms_t)(HOLD_RELOADS * reload));

	if (slot->adapter->demoted > slot->adapter->used)
		return 0;
	return slot->adapter->used + hold;
}

/* When the next held adapter may be unloaded; MS_NEVER if none is held. */
ms_t slots_hold_due(const slots_t *slots, ms_t now)
{
	ms_t due = MS_NEVER;
	int i;

	for (i = 0; i < slots->config.slot_count; i++) {
		const slot_t *slot = &slots->slots[i];

		if (slot->state == SLOT_READY && !is_needed(slot->adapter) &&
		    hold_end(slots, now, slot) > now)
			due = MIN(due, hold_end(slots, now, slot));
	}
	return due;
}

gboolean slots_is_evictable(const slots_t *slots, ms_t now, const slot_t *slot)
{
	return slot->state == SLOT_READY && !slot->quarantined &&
	       !is_needed(slot->adapter) && hold_end(slots, now, slot) <= now;
}

double slots_value(const slots_t *slots, ms_t now,
		   const slots_adapter_t *adapter)
{
	if (adapter->demoted > now)
		return 0;
	if (slots->config.recency)
		return MS_PER_S / (double)(now - adapter->used + 1);
	return popularity_rate(slots->recent, now, adapter->name) +
	       popularity_rate(slots->popularity, now, adapter->name);
}

int slots_obtainable(const slots_t *slots, ms_t now)
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

/* An empty slot, or the cheapest that may be unloaded; SLOT_NONE if none. */
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
		value = slots_value(slots, now, slot->adapter);
		if (chosen == SLOT_NONE || value < best) {
			best = value;
			chosen = i;
		}
	}
	return chosen;
}

static void make_want(const slots_t *slots, slots_adapter_t *adapter,
		      load_request_t *want)
{
	const slots_entry_t *entry;

	*want = (load_request_t){.adapter = adapter->name,
				 .waiting = adapter->waiting,
				 .oldest = MS_NEVER,
				 .ahead = adapter->waiting == 0};
	TAILQ_FOREACH (entry, &slots->queue, link) {
		if (entry->adapter != adapter)
			continue;
		if (want->oldest == MS_NEVER)
			want->priority = entry->priority;
		want->oldest = MIN(want->oldest, entry->arrival);
	}
}

static gboolean is_asked_for(const slots_adapter_t *adapter, ms_t now)
{
	return adapter->waiting > 0 || adapter->expected > now;
}

static gboolean may_want(const slots_t *slots, ms_t now,
			 const slots_adapter_t *adapter)
{
	if (slots->leaving || adapter->slot != SLOT_NONE)
		return FALSE;
	if (adapter->retry_at > now)
		return FALSE;
	return is_asked_for(adapter, now);
}

void slots_drop_want(slots_t *slots, slots_adapter_t *adapter)
{
	if (!adapter->wanted)
		return;
	adapter->wanted = FALSE;
	slots->actions.withdraw_load(slots->ctx, adapter->name);
}

static void send_want(slots_t *slots, ms_t now, slots_adapter_t *adapter)
{
	load_request_t want;

	if (adapter->wanted && !adapter->changed)
		return;
	make_want(slots, adapter, &want);
	if (!adapter->wanted)
		adapter->wanted_at = now;
	adapter->wanted = TRUE;
	adapter->changed = FALSE;
	adapter->sent = want;
	slots->actions.want_load(slots->ctx, &want);
}

void slots_update_wants(slots_t *slots, ms_t now)
{
	gboolean obtainable = slots_obtainable(slots, now) > 0;
	GList *adapters = g_hash_table_get_values(slots->adapters);
	GList *item;

	for (item = adapters; item; item = item->next) {
		slots_adapter_t *adapter = item->data;

		if (!may_want(slots, now, adapter))
			slots_drop_want(slots, adapter);
		else if (obtainable)
			send_want(slots, now, adapter);
		slots_adapter_release(slots, now, adapter);
	}
	g_list_free(adapters);
}

static void order_load(slots_t *slots, ms_t now, int index,
		       slots_adapter_t *adapter)
{
	slot_t *slot = &slots->slots[index];

	g_assert(slot->state == SLOT_EMPTY && !slot->quarantined);
	g_assert(!slot->adapter && !slot->next);
	slot->state = SLOT_LOADING;
	slot->adapter = adapter;
	slot->since = now;
	adapter->slot = index;
	slots->actions.order_load(slots->ctx, index, adapter->name);
}

static void order_unload(slots_t *slots, ms_t now, int index,
			 slots_adapter_t *next)
{
	slot_t *slot = &slots->slots[index];

	/* Nothing of a serving adapter may ever be unloaded. */
	g_assert(slot->state == SLOT_READY && !slot->quarantined);
	g_assert(slot->adapter->in_flight == 0 && slot->adapter->pins == 0);
	g_assert(slot->adapter->waiting == 0 && !slot->adapter->foreign);
	slot->state = SLOT_UNLOADING;
	slot->since = now;
	slot->next = next;
	next->slot = index;
	slots->actions.placed(slots->ctx, slot->adapter->name, FALSE);
	slots->actions.order_unload(slots->ctx, index, slot->adapter->name);
}

/* An ahead load may not push out what is in better demand. */
static gboolean is_worth(const slots_t *slots, ms_t now,
			 const slots_adapter_t *adapter, int index)
{
	const slot_t *slot = &slots->slots[index];

	if (adapter->waiting > 0 || slot->state == SLOT_EMPTY)
		return TRUE;
	return slots_value(slots, now, slot->adapter) <
	       AHEAD_SHARE * slots_value(slots, now, adapter);
}

static void note_grant(slots_t *slots, ms_t now, const slots_adapter_t *adapter)
{
	ms_t from = MAX(adapter->wanted_at, slots->last_grant);

	slots_average_add(&slots->grant_interval, now, MAX(now - from, 0));
	slots->last_grant = now;
}

gboolean slots_grant(slots_t *slots, ms_t now, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);
	int index;

	g_assert(!slots->busy);
	if (!adapter || !adapter->wanted)
		return FALSE;
	/* The broker forgets a want when it grants it. */
	adapter->wanted = FALSE;
	if (!may_want(slots, now, adapter))
		return FALSE;
	index = choose_slot(slots, now);
	if (index == SLOT_NONE || !is_worth(slots, now, adapter, index)) {
		adapter->expected = 0;
		return FALSE;
	}
	note_grant(slots, now, adapter);
	slots->busy = TRUE;
	if (slots->slots[index].state == SLOT_EMPTY)
		order_load(slots, now, index, adapter);
	else
		order_unload(slots, now, index, adapter);
	slots->busy = FALSE;
	slots_pump(slots, now);
	return TRUE;
}

static void load_failed(slots_t *slots, ms_t now, slots_adapter_t *adapter)
{
	ms_t backoff = BACKOFF_MIN_MS << MIN(adapter->failures, 10);

	backoff = MIN(backoff, BACKOFF_MAX_MS);
	backoff += g_rand_int_range(slots->rand, 0, (int)backoff / 4 + 1);
	adapter->failures++;
	adapter->retry_at = now + backoff;
	adapter->expected = 0;
	if (adapter->failures >= LOAD_TRIES)
		slots_refuse_adapter(slots, adapter, ERROR_LOAD_FAILED,
				     backoff);
}

void slots_load_ended(slots_t *slots, ms_t now, int index, gboolean ok)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *adapter = slot->adapter;

	g_assert(slot->state == SLOT_LOADING && adapter->slot == index);
	slots_average_add(&slots->load_time, now, now - slot->since);
	slot->since = now;
	if (ok) {
		slot->state = SLOT_READY;
		adapter->failures = 0;
		adapter->demoted = 0;
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
	slots_pump(slots, now);
}

void slots_load_not_sent(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *adapter = slot->adapter;

	g_assert(slot->state == SLOT_LOADING && adapter->slot == index);
	slot->since = now;
	slot->state = SLOT_EMPTY;
	slot->adapter = NULL;
	adapter->slot = SLOT_NONE;
	/* It goes to another slot if this one is not to be had. */
	if (!slot->quarantined)
		adapter->retry_at = now + BACKOFF_MIN_MS;
	slots_pump(slots, now);
}

/* The adapter that was to follow into a slot goes back to wanting one. */
static void give_up_next(slots_t *slots, slot_t *slot)
{
	slots_adapter_t *next = slot->next;

	if (!next)
		return;
	slot->next = NULL;
	next->slot = SLOT_NONE;
	slots->actions.grant_unused(slots->ctx, next->name);
}

void slots_unload_ended(slots_t *slots, ms_t now, int index, gboolean ok)
{
	slot_t *slot = &slots->slots[index];
	slots_adapter_t *old = slot->adapter;
	slots_adapter_t *next = slot->next;

	g_assert(slot->state == SLOT_UNLOADING);
	slot->since = now;
	if (!ok) {
		slot->state = SLOT_READY;
		old->slot = index;
		give_up_next(slots, slot);
		if (!slot->quarantined)
			slots->actions.placed(slots->ctx, old->name, TRUE);
		slots_pump(slots, now);
		return;
	}
	slot->state = SLOT_EMPTY;
	slot->adapter = NULL;
	if (old->slot == index)
		old->slot = SLOT_NONE;
	if (slot->quarantined || (next && !is_asked_for(next, now))) {
		give_up_next(slots, slot);
	} else if (next) {
		slot->next = NULL;
		order_load(slots, now, index, next);
	}
	slots_pump(slots, now);
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
	slots_pump(slots, now);
}

void slots_release(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];

	if (!slot->quarantined)
		return;
	slot->quarantined = FALSE;
	if (slot->state == SLOT_READY)
		slots->actions.placed(slots->ctx, slot->adapter->name, TRUE);
	slots_pump(slots, now);
}

void slots_add_resident(slots_t *slots, ms_t now, int index, const char *name)
{
	slots_adapter_t *adapter = slots_adapter_get(slots, name);
	slot_t *slot = &slots->slots[index];

	g_assert(slot->state == SLOT_EMPTY && !slot->quarantined);
	/* A second copy of an adapter is of no use, but may be serving. */
	g_assert(adapter->slot == SLOT_NONE);
	slot->state = SLOT_READY;
	slot->adapter = adapter;
	slot->since = now;
	adapter->slot = index;
	adapter->foreign = TRUE;
	slots->actions.placed(slots->ctx, name, TRUE);
	slots_pump(slots, now);
}

void slots_clear_predecessor_busy(slots_t *slots, ms_t now, int index)
{
	slot_t *slot = &slots->slots[index];

	if (slot->state != SLOT_READY)
		return;
	slot->adapter->foreign = FALSE;
	slots_pump(slots, now);
}

void slots_set_predecessor_busy(slots_t *slots, int index)
{
	slots->slots[index].adapter->foreign = TRUE;
}

static void empty_slot(slots_t *slots, slot_t *slot);

void slots_release_as(slots_t *slots, ms_t now, int index, const char *name)
{
	slot_t *slot = &slots->slots[index];

	if (!slot->quarantined)
		return;
	if (slot->state == SLOT_READY &&
	    g_strcmp0(slot->adapter->name, name) != 0)
		empty_slot(slots, slot);
	if (name && slot->state == SLOT_EMPTY &&
	    slots_adapter_get(slots, name)->slot == SLOT_NONE) {
		slot->quarantined = FALSE;
		slots_add_resident(slots, now, index, name);
		return;
	}
	slots_release(slots, now, index);
}

static void empty_slot(slots_t *slots, slot_t *slot)
{
	slots_adapter_t *adapter = slot->adapter;
	slot_state_t before = slot->state;

	give_up_next(slots, slot);
	/* The callbacks may look at the slots. */
	slot->adapter = NULL;
	slot->state = SLOT_EMPTY;
	if (!adapter)
		return;
	adapter->slot = SLOT_NONE;
	adapter->foreign = FALSE;
	if (before == SLOT_LOADING)
		slots->actions.grant_unused(slots->ctx, adapter->name);
	if (before == SLOT_READY && !slot->quarantined)
		slots->actions.placed(slots->ctx, adapter->name, FALSE);
}

void slots_engine_restarted(slots_t *slots, ms_t now)
{
	int i;

	for (i = 0; i < slots->config.slot_count; i++)
		empty_slot(slots, &slots->slots[i]);
	slots_pump(slots, now);
}

void slots_expect_request(slots_t *slots, ms_t now, const char *name,
			  double probability)
{
	slots_adapter_t *adapter;

	if (slots->leaving)
		return;
	adapter = slots_adapter_get(slots, name);
	adapter->expected = now + EXPECT_MS;
	popularity_add(slots->recent, now, name, probability);
	slots_pump(slots, now);
}

void slots_demote(slots_t *slots, ms_t now, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);

	if (adapter)
		adapter->demoted = now + DEMOTE_MS;
}
