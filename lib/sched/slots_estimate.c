/*
 * How long a request will wait, and when a refused one should come back.
 */

#include <math.h>

#include "sched/slots_state.h"

/* Weight of a new sample in a moving average. */
#define SAMPLE_WEIGHT 0.2

/* Time in which an average without samples is half forgotten. */
#define AVERAGE_HALF_LIFE_MS 5000.0

/* A time to come back is spread by up to this share, against herds. */
#define RETRY_JITTER 0.25

void slots_average_init(slots_average_t *average, ms_t first)
{
	average->initial = (double)first;
	average->average = average->initial;
	average->sampled_at = 0;
}

/*
 * Without samples the average goes back to the first estimate.  A bad average
 * makes requests be refused, and without requests there would be no sample to
 * correct it.
 */
double slots_average_get(const slots_average_t *average, ms_t now)
{
	double age = (double)MAX(now - average->sampled_at, 0);

	return average->initial + (average->average - average->initial) *
					  exp2(-age / AVERAGE_HALF_LIFE_MS);
}

void slots_average_add(slots_average_t *average, ms_t now, ms_t sample)
{
	double value = slots_average_get(average, now);

	average->average = value + SAMPLE_WEIGHT * ((double)sample - value);
	average->sampled_at = now;
}

/* Adapters whose load goes before one of the given priority. */
static int count_loads_ahead(const slots_t *slots,
			     const slots_adapter_t *adapter, int priority)
{
	GHashTableIter iter;
	void *value;
	int count = 0;

	g_hash_table_iter_init(&iter, slots->adapters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slots_adapter_t *other = value;

		if (other != adapter && other->requested &&
		    !other->last_request.ahead &&
		    other->last_request.priority >= priority)
			count++;
	}
	return count;
}

static double load_wait_estimate(const slots_t *slots, ms_t now,
				 const slots_adapter_t *adapter, int priority)
{
	double wait = slots_average_get(&slots->load_time, now);
	const slot_t *slot;

	if (slots_is_usable(slots, adapter))
		return 0;
	if (adapter->slot != SLOT_NONE) {
		slot = &slots->slots[adapter->slot];
		if (slot->state == SLOT_LOADING)
			wait -= (double)(now - slot->state_since);
		return MAX(wait, 0);
	}
	wait += (count_loads_ahead(slots, adapter, priority) + 1) *
		slots_average_get(&slots->grant_interval, now);
	if (slots_count_available(slots, now) == 0)
		wait += slots_average_get(&slots->service_time, now) / 2;
	return wait;
}

/* Requests that get a place before a new one of the given priority. */
static int count_requests_ahead(const slots_t *slots, int priority)
{
	const slots_entry_t *entry;
	int count = 0;

	TAILQ_FOREACH (entry, &slots->queue, link) {
		if (entry->priority < priority)
			break;
		if (slots_is_usable(slots, entry->adapter))
			count++;
	}
	return count;
}

static double concurrency_wait_estimate(const slots_t *slots, ms_t now,
					int priority)
{
	int ahead = slots->in_flight + count_requests_ahead(slots, priority) +
		    1 - slots->config.concurrency;

	if (ahead <= 0)
		return 0;
	return ahead * slots_average_get(&slots->service_time, now) /
	       slots->config.concurrency;
}

ms_t slots_start_estimate(const slots_t *slots, ms_t now,
			  const slots_adapter_t *adapter, int priority)
{
	double load = load_wait_estimate(slots, now, adapter, priority);
	double place = concurrency_wait_estimate(slots, now, priority);

	return (ms_t)MAX(load, place);
}

/*
 * Callers refused for want of a place are told to come back one after another,
 * as fast as places become free; told the same time, they would be refused
 * again and again.
 */
static double stagger_retry(slots_t *slots, ms_t now, double first)
{
	double step = slots_average_get(&slots->service_time, now) /
		      slots->config.concurrency;
	double last = (double)(now + slots->config.retry_max);

	slots->next_retry = CLAMP(slots->next_retry + step, first, last);
	return slots->next_retry;
}

ms_t slots_retry_after(slots_t *slots, ms_t now, const slots_adapter_t *adapter,
		       ms_t estimate)
{
	double spread = 1 + RETRY_JITTER * g_rand_double(slots->rand);
	double when = (double)now + (double)estimate * spread;

	if (slots_is_usable(slots, adapter))
		when = stagger_retry(slots, now, when);
	return CLAMP((ms_t)when - now, slots->config.retry_min,
		     slots->config.retry_max);
}
