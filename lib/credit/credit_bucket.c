#include "credit/credit_bucket.h"

#include <math.h>

/*
 * A bucket starts at this part of the slack: three homes may start within one
 * window, and each may leave a debt of one request.
 */
#define START_SLACK_DIVISOR 4

/* The burst of a limit without one, as a part of a second's rate. */
#define BURST_DEFAULT_DIVISOR 10

/*
 * Part of the limit over a window by which all buckets of a partition may
 * exceed it by the debts of single requests: half of the tolerated 0.1.
 */
#define DEBT_LIMIT_SHARE 0.05

static guint index_of(int64_t slot)
{
	return (guint)(slot % CREDIT_SLOTS);
}

/* What is older than the window is left out. */
static gboolean is_within(const credit_window_t *window, guint i, ms_t now)
{
	return window->amount[i] > 0 &&
	       window->slot[i] > now / CREDIT_SLOT_MS - CREDIT_SLOTS;
}

void credit_window_add(credit_window_t *window, ms_t at, double amount)
{
	int64_t slot = MAX(at, 0) / CREDIT_SLOT_MS;
	guint i = index_of(slot);

	if (window->slot[i] > slot)
		return;
	if (window->slot[i] < slot)
		window->amount[i] = 0;
	window->slot[i] = slot;
	window->amount[i] += amount;
}

void credit_window_take(credit_window_t *window, ms_t now, double amount)
{
	int64_t slot = now / CREDIT_SLOT_MS;
	int n;

	for (n = 0; n < CREDIT_SLOTS && slot - n >= 0; n++) {
		guint i = index_of(slot - n);
		double part = MIN(window->amount[i], amount);

		if (!is_within(window, i, now))
			continue;
		window->amount[i] -= part;
		amount -= part;
	}
}

guint credit_window_read(const credit_window_t *window, ms_t now,
			 credit_use_t *uses)
{
	guint count = 0;
	guint i;

	for (i = 0; i < CREDIT_SLOTS; i++) {
		if (!is_within(window, i, now))
			continue;
		uses[count].age =
			MAX(now - window->slot[i] * CREDIT_SLOT_MS, 0);
		uses[count].amount = window->amount[i];
		count++;
	}
	return count;
}

double credit_burst(const credit_limit_t *limit)
{
	return limit->burst > 0 ? limit->burst
				: MAX(limit->rate / BURST_DEFAULT_DIVISOR, 1);
}

static double capacity(const credit_terms_t *terms)
{
	return credit_burst(&terms->limit) * terms->share;
}

double credit_burst_unknown(const credit_terms_t *terms)
{
	return MIN(credit_burst(&terms->limit),
		   MAX(terms->slack / START_SLACK_DIVISOR, 1));
}

void credit_bucket_init(credit_bucket_t *bucket, ms_t now,
			const credit_terms_t *terms)
{
	*bucket = (credit_bucket_t){.filled_at = now, .created_at = now};
	bucket->level = credit_burst_unknown(terms) * terms->share;
}

static void fill(credit_bucket_t *bucket, ms_t now, const credit_terms_t *terms)
{
	double rate = terms->limit.rate * terms->share;
	ms_t time = MAX(now - bucket->filled_at, 0);

	bucket->filled_at = MAX(now, bucket->filled_at);
	bucket->level = MIN(bucket->level,
			    credit_burst(&terms->limit) * terms->share_max);
	/* A share may be less for a moment; the level is kept then. */
	if (bucket->level < capacity(terms))
		bucket->level =
			MIN(bucket->level + rate * (double)time / MS_PER_S,
			    capacity(terms));
}

/* Whether each bucket of a partition may leave a debt of one such request. */
static gboolean may_leave_debt(const credit_terms_t *terms, double cost)
{
	double limit = terms->limit.rate * CREDIT_WINDOW_MS / MS_PER_S +
		       credit_burst(&terms->limit);

	return terms->share >= 1 ||
	       cost <= terms->share *
			       (terms->slack / 2 + limit * DEBT_LIMIT_SHARE);
}

gboolean credit_bucket_take(credit_bucket_t *bucket, ms_t now,
			    const credit_terms_t *terms, double cost)
{
	double level;

	fill(bucket, now, terms);
	level = bucket->level;
	if (level <= 0)
		return FALSE;
	if (level >= cost || may_leave_debt(terms, cost)) {
		bucket->level -= cost;
		credit_window_add(&bucket->used, now, cost);
		return TRUE;
	}
	/*
	 * Many small buckets, each with a debt of one request, would together
	 * exceed the limit.  The level is exchanged for a chance of the same
	 * expected value, so that all of them together grant the limit.
	 */
	bucket->level = 0;
	if (g_rand_double(terms->rand) * cost >= level)
		return FALSE;
	credit_window_add(&bucket->used, now, cost);
	return TRUE;
}

/*
 * Returns what a bucket of the whole limit would have left after all that was
 * used: whenever it was full, it had at most the burst then.
 */
static double whole_level(const credit_bucket_t *bucket, ms_t now,
			  const credit_terms_t *terms)
{
	double burst = credit_burst(&terms->limit);
	double level = burst;
	double used = 0;
	int64_t slot = now / CREDIT_SLOT_MS;
	int n;

	for (n = 0; n < CREDIT_SLOTS && slot - n >= 0; n++) {
		guint i = index_of(slot - n);
		ms_t begin = (slot - n) * CREDIT_SLOT_MS;

		if (bucket->used.slot[i] == slot - n)
			used += bucket->used.amount[i];
		level = MIN(level, burst +
					   terms->limit.rate *
						   (double)(now - begin) /
						   MS_PER_S -
					   used);
	}
	return level;
}

void credit_bucket_deduct(credit_bucket_t *bucket, ms_t now,
			  const credit_terms_t *terms, const credit_use_t *uses,
			  guint count)
{
	double debt_max = credit_burst(&terms->limit);
	guint i;

	fill(bucket, now, terms);
	/* What was used before it was created has no part in its level. */
	for (i = 0; i < count; i++) {
		if (now - uses[i].age >= bucket->created_at)
			credit_window_add(&bucket->used, now - uses[i].age,
					  uses[i].amount);
	}
	bucket->level = MIN(bucket->level,
			    MAX(whole_level(bucket, now, terms), -debt_max));
}

void credit_bucket_distrust(credit_bucket_t *bucket, ms_t now,
			    const credit_terms_t *terms)
{
	fill(bucket, now, terms);
	bucket->level =
		MIN(bucket->level, credit_burst_unknown(terms) * terms->share);
}

void credit_bucket_return(credit_bucket_t *bucket, ms_t now,
			  const credit_terms_t *terms, double cost)
{
	fill(bucket, now, terms);
	credit_window_take(&bucket->used, now, cost);
	bucket->level = MIN(bucket->level + cost, capacity(terms));
}
