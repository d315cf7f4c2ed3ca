/*
 * Limits across entries: however requests are distributed among the entries,
 * together they must admit nearly the declared rate, and not more.
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

struct sim;

typedef struct {
	struct sim *sim;
	int index;
	admit_t *admit;
	quota_t *quota;
	ms_t next_tick;
	int64_t answer; /* in flight; 0 for none */
	ms_t answer_at;
	double weight; /* fraction of the requests sent to this entry */
	admit_limit_t limit;
} sim_entry_t;

typedef struct sim {
	GRand *rand;
	quota_home_t *home;
	gboolean is_home_silent;
	unsigned int count;
	sim_entry_t entries[ENTRIES_MAX];
	ms_t now;
	int64_t offered;
	int64_t admitted;
	int64_t share_requests;
} sim_t;

static gboolean on_ask(void *ctx, const char *limit, int64_t demand)
{
	sim_entry_t *entry = ctx;
	sim_t *sim = entry->sim;
	char name[16];

	assert_string_equal(limit, "caller/c");
	sim->share_requests++;
	if (sim->is_home_silent)
		return FALSE;
	g_snprintf(name, sizeof(name), "i%d", entry->index);
	entry->answer = quota_home_request_share(sim->home, sim->now, limit,
						 name, demand, sim->count);
	entry->answer_at = sim->now + ANSWER_MS;
	return TRUE;
}

static void on_apply(void *ctx, quota_kind_t kind, const char *name,
		     const admit_limit_t *limit)
{
	sim_entry_t *entry = ctx;

	assert_int_equal(kind, QUOTA_CALLER);
	entry->limit = *limit;
	admit_limit_caller(entry->admit, name, limit);
}

static sim_t *sim_create(guint32 seed, unsigned int count)
{
	static const quota_actions_t actions = {on_ask, on_apply};
	admit_limit_t limit = {.rate = RATE, .burst = BURST};
	sim_t *sim = g_new0(sim_t, 1);

	sim->rand = g_rand_new_with_seed(seed);
	sim->home = quota_home_create();
	sim->count = count;
	for (unsigned int i = 0; i < count; i++) {
		sim_entry_t *entry = &sim->entries[i];

		entry->sim = sim;
		entry->index = (int)i;
		entry->admit = admit_create(1000);
		entry->quota = quota_create(&actions, entry);
		quota_set_entries(entry->quota, 0, count);
		quota_set_limit(entry->quota, 0, QUOTA_CALLER, "c", &limit);
	}
	return sim;
}

static void sim_destroy(sim_t *sim)
{
	for (unsigned int i = 0; i < sim->count; i++) {
		quota_destroy(sim->entries[i].quota);
		admit_destroy(sim->entries[i].admit);
	}
	quota_home_destroy(sim->home);
	g_rand_free(sim->rand);
	g_free(sim);
}

static void send_request(sim_t *sim, sim_entry_t *entry)
{
	admit_request_t request = {"c", "model", 5};
	admit_ticket_t *ticket;

	sim->offered++;
	quota_count_request(entry->quota, sim->now, QUOTA_CALLER, "c");
	entry->next_tick = 0;
	ticket = admit_acquire(entry->admit, &request, sim->now, NULL, NULL,
			       NULL);
	if (!ticket)
		return;
	sim->admitted++;
	admit_release(entry->admit, ticket, sim->now);
}

static void step(sim_t *sim, double rate)
{
	sim->now++;
	for (unsigned int i = 0; i < sim->count; i++) {
		sim_entry_t *entry = &sim->entries[i];

		if (entry->answer && sim->now >= entry->answer_at) {
			quota_set_share(entry->quota, sim->now, "caller/c",
					entry->answer);
			entry->answer = 0;
			entry->next_tick = 0;
		}
		if (sim->now >= entry->next_tick)
			entry->next_tick = quota_tick(entry->quota, sim->now);
		if (g_rand_double(sim->rand) < entry->weight * rate / 1000)
			send_request(sim, entry);
	}
	quota_home_tick(sim->home, sim->now);
}

/* Reset the counts, then send requests at this total rate. */
static void run(sim_t *sim, double rate, ms_t duration)
{
	ms_t until = sim->now + duration;

	sim->offered = 0;
	sim->admitted = 0;
	sim->share_requests = 0;
	while (sim->now < until)
		step(sim, rate);
}

static void set_even_weights(sim_t *sim)
{
	for (unsigned int i = 0; i < sim->count; i++)
		sim->entries[i].weight = 1.0 / sim->count;
}

static void set_single_weight(sim_t *sim, unsigned int at)
{
	for (unsigned int i = 0; i < sim->count; i++)
		sim->entries[i].weight = i == at;
}

/* Uneven weights: some entries get many requests, others almost none. */
static void set_random_weights(sim_t *sim)
{
	double sum = 0;

	for (unsigned int i = 0; i < sim->count; i++) {
		double draw = g_rand_double(sim->rand);

		sim->entries[i].weight = draw * draw * draw * draw;
		sum += sim->entries[i].weight;
	}
	for (unsigned int i = 0; i < sim->count; i++)
		sim->entries[i].weight /= sum;
}

/* At most the rate plus the whole burst, and at least a part of the rate. */
static void check_bounds(const sim_t *sim, ms_t duration, double least)
{
	double allowed = RATE * (double)duration / 1000;

	assert_true((double)sim->admitted <= allowed + BURST);
	assert_true((double)sim->admitted >= least * allowed);
}

static void test_all_at_one_entry(void **state)
{
	sim_t *sim = sim_create(1, 9);

	set_single_weight(sim, 3);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	sim_destroy(sim);
}

static void test_evenly_spread(void **state)
{
	sim_t *sim = sim_create(2, 9);

	set_even_weights(sim);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	sim_destroy(sim);
}

/* The shares of entries without requests must expire. */
static void test_moves_to_one_entry(void **state)
{
	sim_t *sim = sim_create(8, 9);

	set_even_weights(sim);
	run(sim, 2 * RATE, SECONDS * 1000);
	set_single_weight(sim, 5);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	sim_destroy(sim);
}

/* About as many entries as the target size of one failure domain. */
static void test_spread_over_many_entries(void **state)
{
	sim_t *sim = sim_create(3, ENTRIES_MAX);

	set_even_weights(sim);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	/* Each entry requests a share at most once per period. */
	assert_true(
		sim->share_requests <=
		(int64_t)ENTRIES_MAX *
			(SECONDS * 1000 / quota_request_period(ENTRIES_MAX) +
			 1));
	sim_destroy(sim);
}

/* Each change of the weights may admit one additional burst. */
static void test_changing_weights(void **state)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_create(seed, 9);
		int64_t admitted = 0;

		for (int round = 0; round < 6; round++) {
			set_random_weights(sim);
			run(sim, 2 * RATE, 10000);
			admitted += sim->admitted;
		}
		assert_true((double)admitted <= RATE * 60 + 7 * BURST);
		assert_true((double)admitted >= 0.75 * RATE * 60);
		sim_destroy(sim);
	}
}

/* Below the limit nothing is refused after the share has been received. */
static void test_below_the_limit(void **state)
{
	sim_t *sim = sim_create(4, 9);

	set_single_weight(sim, 0);
	run(sim, 0.6 * RATE, SETTLE_MS);
	run(sim, 0.6 * RATE, SECONDS * 1000);
	assert_int_equal(sim->admitted, sim->offered);
	sim_destroy(sim);
}

/* Far below the limit no entry requests a share. */
static void test_low_demand_sends_no_requests(void **state)
{
	sim_t *sim = sim_create(5, 9);

	set_even_weights(sim);
	run(sim, 0.01 * RATE, SECONDS * 1000);
	assert_int_equal(sim->admitted, sim->offered);
	assert_int_equal(sim->share_requests, 0);
	sim_destroy(sim);
}

static void test_silent_home(void **state)
{
	sim_t *sim = sim_create(6, 9);

	sim->is_home_silent = TRUE;
	set_even_weights(sim);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	/* Once the home answers again, shares follow the demand again. */
	sim->is_home_silent = FALSE;
	set_single_weight(sim, 1);
	run(sim, 2 * RATE, SETTLE_MS);
	run(sim, 2 * RATE, SECONDS * 1000);
	check_bounds(sim, SECONDS * 1000, 7.0 / 8);
	sim_destroy(sim);
}

/* A burst at an idle entry must not be refused before it has a share. */
static void test_concurrent_requests(void **state)
{
	admit_limit_t limit = {.concurrent = 8};
	sim_t *sim = sim_create(9, 9);
	admit_request_t request = {"c", "model", 5};
	admit_ticket_t *tickets[9];
	int64_t sum = 0;

	for (unsigned int i = 0; i < sim->count; i++)
		quota_set_limit(sim->entries[i].quota, 0, QUOTA_CALLER, "c",
				&limit);
	for (int i = 0; i < 9; i++) {
		quota_count_request(sim->entries[0].quota, 0, QUOTA_CALLER,
				    "c");
		tickets[i] = admit_acquire(sim->entries[0].admit, &request, 0,
					   NULL, NULL, NULL);
		assert_int_equal(tickets[i] != NULL, i < 8);
	}
	for (int i = 0; i < 8; i++)
		admit_release(sim->entries[0].admit, tickets[i], 0);
	set_even_weights(sim);
	run(sim, RATE, SECONDS * 1000);
	for (unsigned int i = 0; i < sim->count; i++)
		sum += sim->entries[i].limit.concurrent;
	/* Each share is rounded to at least 1. */
	assert_in_range(sum, 8, 8 + 9 / 2);
	sim_destroy(sim);
}

/* A limit that is removed from the document is no longer enforced. */
static void test_limit_removed(void **state)
{
	sim_t *sim = sim_create(7, 1);
	admit_limit_t none = {0};

	set_single_weight(sim, 0);
	run(sim, 2 * RATE, SETTLE_MS);
	assert_true(sim->admitted < sim->offered);
	quota_set_limit(sim->entries[0].quota, sim->now, QUOTA_CALLER, "c",
			&none);
	run(sim, 2 * RATE, SETTLE_MS);
	assert_int_equal(sim->admitted, sim->offered);
	assert_int_equal(sim->share_requests, 0);
	sim_destroy(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_at_one_entry),
		cmocka_unit_test(test_evenly_spread),
		cmocka_unit_test(test_moves_to_one_entry),
		cmocka_unit_test(test_spread_over_many_entries),
		cmocka_unit_test(test_changing_weights),
		cmocka_unit_test(test_below_the_limit),
		cmocka_unit_test(test_low_demand_sends_no_requests),
		cmocka_unit_test(test_silent_home),
		cmocka_unit_test(test_concurrent_requests),
		cmocka_unit_test(test_limit_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
