/*
 * Limits across entries: however requests fall on the entries, together they
 * admit the declared rate, and nearly all of it.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/quota_home.h"

#define ENTRIES_MAX 50
#define ANSWER_MS   5
#define SECONDS	    60
#define RATE	    200.0
#define BURST	    200
#define SETTLE_MS   5000

struct bed;

/* One entry. */
typedef struct {
	struct bed *bed;
	int index;
	admit_t *admit;
	quota_t *quota;
	ms_t due;
	int64_t answer; /* under way; 0 for none */
	ms_t answer_at;
	double weight; /* of the requests that come here */
	admit_limit_t limit;
} bed_entry_t;

typedef struct bed {
	GRand *rand;
	quota_home_t *home;
	gboolean is_home_silent;
	unsigned int count;
	bed_entry_t entries[ENTRIES_MAX];
	ms_t now;
	int64_t offered;
	int64_t admitted;
	int64_t asked;
} bed_t;

static gboolean on_ask(void *ctx, const char *limit, int64_t demand)
{
	bed_entry_t *entry = ctx;
	bed_t *bed = entry->bed;
	char name[16];

	assert_string_equal(limit, "caller/c");
	bed->asked++;
	if (bed->is_home_silent)
		return FALSE;
	g_snprintf(name, sizeof(name), "i%d", entry->index);
	entry->answer = quota_home_request_share(bed->home, bed->now, limit,
						 name, demand, bed->count);
	entry->answer_at = bed->now + ANSWER_MS;
	return TRUE;
}

static void on_apply(void *ctx, quota_kind_t kind, const char *name,
		     const admit_limit_t *limit)
{
	bed_entry_t *entry = ctx;

	assert_int_equal(kind, QUOTA_CALLER);
	entry->limit = *limit;
	admit_limit_caller(entry->admit, name, limit);
}

static bed_t *bed_create(guint32 seed, unsigned int count)
{
	static const quota_actions_t actions = {on_ask, on_apply};
	admit_limit_t limit = {.rate = RATE, .burst = BURST};
	bed_t *bed = g_new0(bed_t, 1);

	bed->rand = g_rand_new_with_seed(seed);
	bed->home = quota_home_create();
	bed->count = count;
	for (unsigned int i = 0; i < count; i++) {
		bed_entry_t *entry = &bed->entries[i];

		entry->bed = bed;
		entry->index = (int)i;
		entry->admit = admit_create(1000);
		entry->quota = quota_create(&actions, entry);
		quota_set_entries(entry->quota, 0, count);
		quota_set_limit(entry->quota, 0, QUOTA_CALLER, "c", &limit);
	}
	return bed;
}

static void bed_destroy(bed_t *bed)
{
	for (unsigned int i = 0; i < bed->count; i++) {
		quota_destroy(bed->entries[i].quota);
		admit_destroy(bed->entries[i].admit);
	}
	quota_home_destroy(bed->home);
	g_rand_free(bed->rand);
	g_free(bed);
}

static void offer(bed_t *bed, bed_entry_t *entry)
{
	admit_request_t request = {"c", "model", 5};
	admit_ticket_t *ticket;

	bed->offered++;
	quota_count_request(entry->quota, bed->now, QUOTA_CALLER, "c");
	entry->due = 0;
	ticket = admit_acquire(entry->admit, &request, bed->now, NULL, NULL,
			       NULL);
	if (!ticket)
		return;
	bed->admitted++;
	admit_release(entry->admit, ticket, bed->now);
}

static void step(bed_t *bed, double rate)
{
	bed->now++;
	for (unsigned int i = 0; i < bed->count; i++) {
		bed_entry_t *entry = &bed->entries[i];

		if (entry->answer && bed->now >= entry->answer_at) {
			quota_set_share(entry->quota, bed->now, "caller/c",
					entry->answer);
			entry->answer = 0;
			entry->due = 0;
		}
		if (bed->now >= entry->due)
			entry->due = quota_tick(entry->quota, bed->now);
		if (g_rand_double(bed->rand) < entry->weight * rate / 1000)
			offer(bed, entry);
	}
	quota_home_tick(bed->home, bed->now);
}

/* Run with this rate of requests in all, and count anew. */
static void run(bed_t *bed, double rate, ms_t duration)
{
	ms_t until = bed->now + duration;

	bed->offered = 0;
	bed->admitted = 0;
	bed->asked = 0;
	while (bed->now < until)
		step(bed, rate);
}

static void weigh_even(bed_t *bed)
{
	for (unsigned int i = 0; i < bed->count; i++)
		bed->entries[i].weight = 1.0 / bed->count;
}

static void weigh_one(bed_t *bed, unsigned int at)
{
	for (unsigned int i = 0; i < bed->count; i++)
		bed->entries[i].weight = i == at;
}

/* Some entries get much, some nothing. */
static void weigh_at_random(bed_t *bed)
{
	double sum = 0;

	for (unsigned int i = 0; i < bed->count; i++) {
		double draw = g_rand_double(bed->rand);

		bed->entries[i].weight = draw * draw * draw * draw;
		sum += bed->entries[i].weight;
	}
	for (unsigned int i = 0; i < bed->count; i++)
		bed->entries[i].weight /= sum;
}

/* What may pass: the rate, and the burst that the buckets hold together. */
static void check_bounds(const bed_t *bed, ms_t duration, double least)
{
	double allowed = RATE * (double)duration / 1000;

	assert_true((double)bed->admitted <= allowed + BURST);
	assert_true((double)bed->admitted >= least * allowed);
}

static void test_all_at_one_entry(void **state)
{
	bed_t *bed = bed_create(1, 9);

	weigh_one(bed, 3);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	bed_destroy(bed);
}

static void test_evenly_spread(void **state)
{
	bed_t *bed = bed_create(2, 9);

	weigh_even(bed);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	bed_destroy(bed);
}

/* Those who had a share and have no requests any more are forgotten. */
static void test_moves_to_one_entry(void **state)
{
	bed_t *bed = bed_create(8, 9);

	weigh_even(bed);
	run(bed, 2 * RATE, SECONDS * 1000);
	weigh_one(bed, 5);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	bed_destroy(bed);
}

/* With as many entries as the target has in one failure domain, nearly. */
static void test_spread_on_many(void **state)
{
	bed_t *bed = bed_create(3, ENTRIES_MAX);

	weigh_even(bed);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	/* One question of each entry in a period. */
	assert_true(bed->asked <=
		    (int64_t)ENTRIES_MAX *
			    (SECONDS * 1000 / quota_period(ENTRIES_MAX) + 1));
	bed_destroy(bed);
}

/* Each change of who gets what may let a burst more through, once. */
static void test_shifting(void **state)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		bed_t *bed = bed_create(seed, 9);
		int64_t admitted = 0;

		for (int round = 0; round < 6; round++) {
			weigh_at_random(bed);
			run(bed, 2 * RATE, 10000);
			admitted += bed->admitted;
		}
		assert_true((double)admitted <= RATE * 60 + 7 * BURST);
		assert_true((double)admitted >= 0.75 * RATE * 60);
		bed_destroy(bed);
	}
}

/* Less than the limit is never refused once the share is there. */
static void test_below_the_limit(void **state)
{
	bed_t *bed = bed_create(4, 9);

	weigh_one(bed, 0);
	run(bed, 0.6 * RATE, SETTLE_MS);
	run(bed, 0.6 * RATE, SECONDS * 1000);
	assert_int_equal(bed->admitted, bed->offered);
	bed_destroy(bed);
}

/* Far below it nobody is asked. */
static void test_quiet_costs_nothing(void **state)
{
	bed_t *bed = bed_create(5, 9);

	weigh_even(bed);
	run(bed, 0.01 * RATE, SECONDS * 1000);
	assert_int_equal(bed->admitted, bed->offered);
	assert_int_equal(bed->asked, 0);
	bed_destroy(bed);
}

static void test_silent_home(void **state)
{
	bed_t *bed = bed_create(6, 9);

	bed->is_home_silent = TRUE;
	weigh_even(bed);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	/* It is back: so are the shares. */
	bed->is_home_silent = FALSE;
	weigh_one(bed, 1);
	run(bed, 2 * RATE, SETTLE_MS);
	run(bed, 2 * RATE, SECONDS * 1000);
	check_bounds(bed, SECONDS * 1000, 7.0 / 8);
	bed_destroy(bed);
}

/* What comes at once to a quiet entry is not refused for want of a share. */
static void test_concurrent_requests(void **state)
{
	admit_limit_t limit = {.concurrent = 8};
	bed_t *bed = bed_create(9, 9);
	admit_request_t request = {"c", "model", 5};
	admit_ticket_t *tickets[9];
	int64_t sum = 0;

	for (unsigned int i = 0; i < bed->count; i++)
		quota_set_limit(bed->entries[i].quota, 0, QUOTA_CALLER, "c",
				&limit);
	for (int i = 0; i < 9; i++) {
		quota_count_request(bed->entries[0].quota, 0, QUOTA_CALLER,
				    "c");
		tickets[i] = admit_acquire(bed->entries[0].admit, &request, 0,
					   NULL, NULL, NULL);
		assert_int_equal(tickets[i] != NULL, i < 8);
	}
	for (int i = 0; i < 8; i++)
		admit_release(bed->entries[0].admit, tickets[i], 0);
	weigh_even(bed);
	run(bed, RATE, SECONDS * 1000);
	for (unsigned int i = 0; i < bed->count; i++)
		sum += bed->entries[i].limit.concurrent;
	/* Rounded, with one at least. */
	assert_in_range(sum, 8, 8 + 9 / 2);
	bed_destroy(bed);
}

/* A limit that the document takes back holds no longer. */
static void test_limit_taken_back(void **state)
{
	bed_t *bed = bed_create(7, 1);
	admit_limit_t none = {0};

	weigh_one(bed, 0);
	run(bed, 2 * RATE, SETTLE_MS);
	assert_true(bed->admitted < bed->offered);
	quota_set_limit(bed->entries[0].quota, bed->now, QUOTA_CALLER, "c",
			&none);
	run(bed, 2 * RATE, SETTLE_MS);
	assert_int_equal(bed->admitted, bed->offered);
	assert_int_equal(bed->asked, 0);
	bed_destroy(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_at_one_entry),
		cmocka_unit_test(test_evenly_spread),
		cmocka_unit_test(test_moves_to_one_entry),
		cmocka_unit_test(test_spread_on_many),
		cmocka_unit_test(test_shifting),
		cmocka_unit_test(test_below_the_limit),
		cmocka_unit_test(test_quiet_costs_nothing),
		cmocka_unit_test(test_silent_home),
		cmocka_unit_test(test_concurrent_requests),
		cmocka_unit_test(test_limit_taken_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
