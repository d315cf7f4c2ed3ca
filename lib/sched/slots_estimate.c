/*
 * Estimates of the queueing time of a request and the retry time of a refusal.
 */

#include <math.h>

#include "sched/slots_state.h"

/* Weight of a new sample in the exponential moving averages. */
#define SAMPLE_WEIGHT 0.2

/* Half-life of the decay of an average without samples. */
#define AVERAGE_HALF_LIFE_MS 5000.0

/* Maximum jitter of retry times, as a share; avoids synchronized retries. */
#define RETRY_JITTER 0.25

void slots_average_init(slots_average_t *average, ms_t first)
{
	average->initial = (double)first;
	average->average = average->initial;
	average->sampled_at = 0;
}

/*
 * Without samples the average decays to the initial estimate.  Otherwise a high
 * average would persist: it causes all requests to be refused, so that no new
 * sample can correct it.
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

/* Count the load requests that are served before one of this priority. */
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

/* Count the startable requests queued before a new one of this priority. */
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
	int excess = slots->in_flight + count_requests_ahead(slots, priority) +
		     1 - slots->config.concurrency;

	if (excess <= 0)
		return 0;
	return excess * slots_average_get(&slots->service_time, now) /
	       slots->config.concurrency;
}

ms_t slots_start_estimate(const slots_t *slots, ms_t now,
			  const slots_adapter_t *adapter, int priority)
{
	double load_wait = load_wait_estimate(slots, now, adapter, priority);
	double concurrency_wait =
		concurrency_wait_estimate(slots, now, priority);

	return (ms_t)MAX(load_wait, concurrency_wait);
}

/*
 * Retry times of requests refused due to the concurrency limit are staggered at
 * the rate at which running requests end.  With the same retry time, most of
 * these requests would be refused again.
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
