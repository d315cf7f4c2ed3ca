/*
 * Requests of one endpoint: queue, start, end, refusal.
 */

#include "sched/slots.h"

#include "sched/slots_state.h"

#define DEFAULT_QUEUE_LIMIT   64
#define DEFAULT_LOAD_MS	      250
#define DEFAULT_GRANT_MS      400
#define DEFAULT_SERVICE_MS    2000
#define DEFAULT_WAIT_LIMIT_MS 10000
#define DEFAULT_RETRY_MIN_MS  100
#define DEFAULT_RETRY_MAX_MS  30000
#define DEFAULT_HOLD_MS	      4000
#define DEFAULT_RECENT_MS     4000
#define DEFAULT_HALF_LIFE_MS  200000

/* Adapters whose popularity is remembered, for each slot. */
#define POPULARITY_PER_SLOT 64

/* The share of the time to the deadline that may pass before the start. */
#define WAIT_SHARE 0.75

void slots_config_init(slots_config_t *config, int slot_count, int concurrency)
{
	*config = (slots_config_t){
		.slot_count = slot_count,
		.concurrency = concurrency,
		.queue_limit = DEFAULT_QUEUE_LIMIT,
		.adapter_limit = DEFAULT_QUEUE_LIMIT,
		.load_time = DEFAULT_LOAD_MS,
		.grant_time = DEFAULT_GRANT_MS,
		.service_time = DEFAULT_SERVICE_MS,
		.wait_limit = DEFAULT_WAIT_LIMIT_MS,
		.retry_min = DEFAULT_RETRY_MIN_MS,
		.retry_max = DEFAULT_RETRY_MAX_MS,
		.hold_time = DEFAULT_HOLD_MS,
		.recent_half_life = DEFAULT_RECENT_MS,
		.popularity_half_life = DEFAULT_HALF_LIFE_MS,
	};
}

static void adapter_free(void *data)
{
	slots_adapter_t *adapter = data;

	g_free(adapter->name);
	g_free(adapter);
}

slots_t *slots_create(const slots_config_t *config,
		      const slots_actions_t *actions, void *ctx, GRand *rand)
{
	slots_t *slots = g_new0(slots_t, 1);

	g_assert(config->slot_count > 0 && config->concurrency > 0);
	slots->config = *config;
	slots->actions = *actions;
	slots->ctx = ctx;
	slots->rand = rand;
	slots->slots = g_new0(slot_t, config->slot_count);
	slots->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						adapter_free);
	slots->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	TAILQ_INIT(&slots->queue);
	slots->recent =
		popularity_create(config->slot_count * POPULARITY_PER_SLOT,
				  config->recent_half_life);
	slots->popularity =
		popularity_create(config->slot_count * POPULARITY_PER_SLOT,
				  config->popularity_half_life);
	slots_average_init(&slots->load_time, config->load_time);
	slots_average_init(&slots->grant_interval, config->grant_time);
	slots_average_init(&slots->service_time, config->service_time);
	return slots;
}

void slots_destroy(slots_t *slots)
{
	if (!slots)
		return;
	g_hash_table_destroy(slots->requests);
	g_hash_table_destroy(slots->adapters);
	popularity_destroy(slots->recent);
	popularity_destroy(slots->popularity);
	g_free(slots->slots);
	g_free(slots);
}

slots_adapter_t *slots_adapter_get(slots_t *slots, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);

	if (adapter)
		return adapter;
	adapter = g_new0(slots_adapter_t, 1);
	adapter->name = g_strdup(name);
	adapter->slot = SLOT_NONE;
	g_hash_table_insert(slots->adapters, adapter->name, adapter);
	return adapter;
}

void slots_adapter_release(slots_t *slots, ms_t now, slots_adapter_t *adapter)
{
	if (adapter->slot != SLOT_NONE || adapter->in_flight ||
	    adapter->waiting || adapter->pins || adapter->wanted)
		return;
	if (adapter->retry_at > now || adapter->expected > now)
		return;
	g_hash_table_remove(slots->adapters, adapter->name);
}

static void dequeue(slots_t *slots, slots_entry_t *entry)
{
	g_assert(entry->state == REQUEST_QUEUED);
	TAILQ_REMOVE(&slots->queue, entry, link);
	slots->waiting--;
	entry->adapter->waiting--;
	entry->adapter->changed = TRUE;
	g_assert(slots->waiting >= 0 && entry->adapter->waiting >= 0);
}

void slots_refuse(slots_t *slots, slots_entry_t *entry, error_kind_t kind,
		  ms_t retry_after)
{
	uint64_t id = entry->id;

	/* "Not run" is only true of what was never started. */
	g_assert(entry->state == REQUEST_QUEUED && entry->started == 0);
	dequeue(slots, entry);
	g_hash_table_remove(slots->requests, &id);
	slots->actions.refuse(slots->ctx, id, kind, retry_after);
}

void slots_refuse_adapter(slots_t *slots, slots_adapter_t *adapter,
			  error_kind_t kind, ms_t retry_after)
{
	slots_entry_t *entry = TAILQ_FIRST(&slots->queue);

	while (entry && adapter->waiting > 0) {
		slots_entry_t *next = TAILQ_NEXT(entry, link);

		if (entry->adapter == adapter)
			slots_refuse(slots, entry, kind, retry_after);
		entry = next;
	}
}

static void start(slots_t *slots, ms_t now, slots_entry_t *entry)
{
	g_assert(slots_is_usable(slots, entry->adapter));
	dequeue(slots, entry);
	entry->state = REQUEST_RUNNING;
	entry->started = now;
	entry->adapter->in_flight++;
	slots->in_flight++;
	g_assert(slots->in_flight <= slots->config.concurrency);
	slots->actions.start(slots->ctx, entry->id, entry->adapter->slot);
}

static void start_waiting(slots_t *slots, ms_t now)
{
	slots_entry_t *entry = TAILQ_FIRST(&slots->queue);

	while (entry && slots->in_flight < slots->config.concurrency) {
		slots_entry_t *next = TAILQ_NEXT(entry, link);

		if (slots_is_usable(slots, entry->adapter))
			start(slots, now, entry);
		entry = next;
	}
}

/* Do all that the state allows after an event. */
void slots_pump(slots_t *slots, ms_t now)
{
	g_assert(!slots->busy);
	slots->busy = TRUE;
	start_waiting(slots, now);
	slots_update_wants(slots, now);
	slots->busy = FALSE;
}

static void enqueue(slots_t *slots, slots_entry_t *entry)
{
	slots_entry_t *place = TAILQ_LAST(&slots->queue, slots_queue);

	while (place && (place->priority < entry->priority ||
			 (place->priority == entry->priority &&
			  place->arrival > entry->arrival)))
		place = TAILQ_PREV(place, slots_queue, link);
	if (place)
		TAILQ_INSERT_AFTER(&slots->queue, place, entry, link);
	else
		TAILQ_INSERT_HEAD(&slots->queue, entry, link);
	slots->waiting++;
	entry->adapter->waiting++;
	entry->adapter->changed = TRUE;
}

/* The waiting request that gives way to one of the given priority. */
static slots_entry_t *displaced(slots_t *slots, const slots_adapter_t *adapter,
				int priority, gboolean same_adapter)
{
	slots_entry_t *entry;

	TAILQ_FOREACH_REVERSE(entry, &slots->queue, slots_queue, link)
	{
		if (entry->priority >= priority)
			return NULL;
		if (!same_adapter || entry->adapter == adapter)
			return entry;
	}
	return NULL;
}

/* Make room for one more in the queue; FALSE if there is none. */
static gboolean make_room(slots_t *slots, ms_t now, slots_adapter_t *adapter,
			  int priority)
{
	gboolean adapter_full = adapter->waiting >= slots->config.adapter_limit;
	slots_entry_t *victim;
	ms_t estimate;

	if (!adapter_full && slots->waiting < slots->config.queue_limit)
		return TRUE;
	victim = displaced(slots, adapter, priority, adapter_full);
	if (!victim)
		return FALSE;
	estimate = slots_start_estimate(slots, now, victim->adapter,
					victim->priority);
	slots_refuse(slots, victim, ERROR_OVERLOADED,
		     slots_retry_after(slots, now, victim->adapter, estimate));
	return TRUE;
}

static ms_t latest_start(const slots_t *slots, ms_t now,
			 const slots_request_t *request)
{
	ms_t latest = now + slots->config.wait_limit;
	double rest;

	if (request->deadline == MS_NEVER)
		return latest;
	/* Being refused near the deadline leaves no time to go elsewhere. */
	rest = (double)MAX(request->deadline - now, 0) * WAIT_SHARE;
	return MIN(latest, now + (ms_t)rest);
}

static gboolean is_quarantined(const slots_t *slots,
			       const slots_adapter_t *adapter)
{
	const slot_t *slot;

	if (adapter->slot == SLOT_NONE)
		return FALSE;
	slot = &slots->slots[adapter->slot];
	return slot->state == SLOT_READY && slot->quarantined;
}

/* Why the request can't be taken; ERROR_KIND_COUNT if it can. */
static error_kind_t refusal(slots_t *slots, ms_t now,
			    const slots_request_t *request,
			    slots_adapter_t *adapter, ms_t *retry_after)
{
	ms_t latest = latest_start(slots, now, request);
	ms_t estimate;

	*retry_after = 0;
	if (slots->leaving || is_quarantined(slots, adapter))
		return ERROR_UNAVAILABLE;
	if (!slots_is_usable(slots, adapter) && adapter->retry_at > now &&
	    now + slots->config.wait_limit / 4 < adapter->retry_at) {
		*retry_after = adapter->retry_at - now;
		return ERROR_LOAD_FAILED;
	}
	estimate = slots_start_estimate(slots, now, adapter, request->priority);
	if (now + estimate <= latest &&
	    make_room(slots, now, adapter, request->priority))
		return ERROR_KIND_COUNT;
	*retry_after = slots_retry_after(slots, now, adapter, estimate);
	return ERROR_OVERLOADED;
}

void slots_submit(slots_t *slots, ms_t now, const slots_request_t *request)
{
	slots_adapter_t *adapter = slots_adapter_get(slots, request->adapter);
	slots_entry_t *entry;
	error_kind_t kind;
	ms_t retry_after;

	g_assert(!slots->busy);
	g_assert(!g_hash_table_contains(slots->requests, &request->id));
	popularity_add(slots->recent, now, request->adapter, 1);
	popularity_add(slots->popularity, now, request->adapter, 1);
	adapter->used = now;
	kind = refusal(slots, now, request, adapter, &retry_after);
	if (kind != ERROR_KIND_COUNT) {
		slots->actions.refuse(slots->ctx, request->id, kind,
				      retry_after);
		slots_pump(slots, now);
		return;
	}
	entry = g_new0(slots_entry_t, 1);
	entry->id = request->id;
	entry->adapter = adapter;
	entry->priority = request->priority;
	entry->arrival = request->arrival;
	entry->latest = latest_start(slots, now, request);
	g_hash_table_insert(slots->requests, &entry->id, entry);
	enqueue(slots, entry);
	slots_pump(slots, now);
}

void slots_cancel(slots_t *slots, ms_t now, uint64_t id)
{
	slots_entry_t *entry = g_hash_table_lookup(slots->requests, &id);

	if (!entry)
		return;
	if (entry->state == REQUEST_QUEUED) {
		slots_refuse(slots, entry, ERROR_CANCELLED, 0);
		slots_pump(slots, now);
	} else if (entry->state == REQUEST_RUNNING) {
		slots->actions.stop(slots->ctx, id);
	}
}

static void end(slots_t *slots, ms_t now, slots_entry_t *entry)
{
	entry->adapter->in_flight--;
	entry->adapter->used = now;
	slots->in_flight--;
	g_assert(entry->adapter->in_flight >= 0 && slots->in_flight >= 0);
	g_hash_table_remove(slots->requests, &entry->id);
	slots_pump(slots, now);
}

void slots_request_ended(slots_t *slots, ms_t now, uint64_t id,
			 gboolean certain)
{
	slots_entry_t *entry = g_hash_table_lookup(slots->requests, &id);

	g_assert(entry && entry->state == REQUEST_RUNNING);
	if (!certain) {
		entry->state = REQUEST_UNCERTAIN;
		return;
	}
	slots_average_add(&slots->service_time, now, now - entry->started);
	end(slots, now, entry);
}

void slots_uncertain_resolved(slots_t *slots, ms_t now, uint64_t id)
{
	slots_entry_t *entry = g_hash_table_lookup(slots->requests, &id);

	g_assert(entry && entry->state == REQUEST_UNCERTAIN);
	end(slots, now, entry);
}

void slots_pin(slots_t *slots, const char *name)
{
	slots_adapter_get(slots, name)->pins++;
}

void slots_unpin(slots_t *slots, ms_t now, const char *name)
{
	slots_adapter_t *adapter = g_hash_table_lookup(slots->adapters, name);

	g_assert(adapter && adapter->pins > 0);
	adapter->pins--;
	slots_pump(slots, now);
}

void slots_start_leaving(slots_t *slots, ms_t now)
{
	slots_entry_t *entry;

	slots->leaving = TRUE;
	while ((entry = TAILQ_FIRST(&slots->queue)))
		slots_refuse(slots, entry, ERROR_UNAVAILABLE, 0);
	slots_pump(slots, now);
}

gboolean slots_is_idle(const slots_t *slots)
{
	return slots->in_flight == 0 && slots->waiting == 0;
}

/* An adapter that is just being loaded is worth a little more waiting. */
static ms_t entry_due(const slots_t *slots, ms_t now,
		      const slots_entry_t *entry)
{
	const slots_adapter_t *adapter = entry->adapter;
	ms_t grace = 0;

	if (adapter->slot != SLOT_NONE && !slots_is_usable(slots, adapter))
		grace = (ms_t)slots_average_get(&slots->load_time, now);
	return entry->latest + grace;
}

static void refuse_late(slots_t *slots, ms_t now)
{
	slots_entry_t *entry = TAILQ_FIRST(&slots->queue);

	while (entry) {
		slots_entry_t *next = TAILQ_NEXT(entry, link);
		ms_t estimate;

		if (entry_due(slots, now, entry) <= now) {
			estimate = slots_start_estimate(
				slots, now, entry->adapter, entry->priority);
			slots_refuse(slots, entry, ERROR_OVERLOADED,
				     slots_retry_after(slots, now,
						       entry->adapter,
						       estimate));
		}
		entry = next;
	}
}

static ms_t next_due(const slots_t *slots, ms_t now)
{
	const slots_entry_t *entry;
	ms_t due = MS_NEVER;

	if (slots->waiting > 0)
		due = slots_hold_due(slots, now);
	TAILQ_FOREACH (entry, &slots->queue, link) {
		due = MIN(due, entry_due(slots, now, entry));
		if (entry->adapter->retry_at > now)
			due = MIN(due, entry->adapter->retry_at);
	}
	return due;
}

ms_t slots_tick(slots_t *slots, ms_t now)
{
	refuse_late(slots, now);
	slots_pump(slots, now);
	return next_due(slots, now);
}

void slots_get_utilization(const slots_t *slots, ms_t now,
			   slots_utilization_t *load)
{
	const slots_entry_t *entry;
	gboolean found = FALSE;
	int i;

	*load = (slots_utilization_t){.running = slots->in_flight,
				      .waiting = slots->waiting,
				      .concurrency = slots->config.concurrency,
				      .leaving = slots->leaving};
	TAILQ_FOREACH (entry, &slots->queue, link)
		load->waiting_load += !slots_is_usable(slots, entry->adapter);
	for (i = 0; i < slots->config.slot_count; i++) {
		const slot_t *slot = &slots->slots[i];
		double value;

		if (slot->state == SLOT_EMPTY && !slot->quarantined)
			load->free_slots++;
		if (!slots_is_evictable(slots, now, slot))
			continue;
		load->victim_slots++;
		value = slots_value(slots, now, slot->adapter);
		if (!found || value < load->victim_rate)
			load->victim_rate = value;
		found = TRUE;
	}
	if (load->free_slots > 0)
		load->victim_rate = 0;
}

gboolean slots_has_resident(const slots_t *slots, const char *name)
{
	const slots_adapter_t *adapter =
		g_hash_table_lookup(slots->adapters, name);

	return adapter && slots_is_usable(slots, adapter);
}

const char *slots_adapter(const slots_t *slots, int slot)
{
	const slots_adapter_t *adapter = slots->slots[slot].adapter;

	return adapter ? adapter->name : NULL;
}
