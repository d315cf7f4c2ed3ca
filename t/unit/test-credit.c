/*
 * Limits of organisations: all instances together grant what the limit allows
 * and no more, while homes die, freeze or are cut off.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "credit_sim.h"

#define INSTANCES 75
#define SLACK	  17000.0
#define LARGE	  430000.0 /* tokens a second */
#define MIDDLE	  54000.0
#define SMALL	  3000.0
/* Usual use, as a part of the limit, and the jump of the demand. */
#define USUAL 0.55
#define JUMP  7.5

static const double rates[] = {LARGE, MIDDLE, SMALL};

static credit_sim_t *create(double rate)
{
	credit_sim_options_t options = {
		.seed = 7,
		.nodes = INSTANCES,
		.rate = rate,
		.burst = rate,
		.slack = SLACK,
		.cost_min = 200,
		.cost_max = 4500,
		.refused_percent = 5,
	};

	return credit_sim_create(&options);
}

static void report(credit_sim_t *sim, const char *what, double rate, ms_t since)
{
	const credit_sim_counts_t *counts = credit_sim_counts(sim);

	print_message("%s, rate %.0f: %.3f of the bound, %.3f of the limit "
		      "used, %.2f messages a request\n",
		      what, rate, credit_sim_bound_use(sim),
		      credit_sim_used(sim, since),
		      (double)counts->messages / (double)counts->asked);
}

/* A jump within a second must neither exceed the limit nor waste it. */
static void test_jump_within_a_second(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		credit_sim_t *sim = create(rates[i]);
		ms_t since;

		credit_sim_set_demand(sim, rates[i] * USUAL);
		credit_sim_run(sim, 5000);
		credit_sim_set_demand(sim, rates[i] * USUAL * JUMP);
		since = credit_sim_now(sim);
		credit_sim_run(sim, 6500);
		report(sim, "jump", rates[i], since);
		assert_true(credit_sim_bound_use(sim) <= 1);
		assert_true(credit_sim_used(sim, since) >= 0.9);
		assert_true(credit_sim_counts(sim)->retry_max <=
			    CREDIT_RETRY_MAX_MS);
		credit_sim_destroy(sim);
	}
}

/* An organisation that asks for less than its limit is not refused. */
static void test_use_below_limit_is_granted(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		credit_sim_t *sim = create(rates[i]);

		credit_sim_set_demand(sim, rates[i] * USUAL);
		credit_sim_run(sim, 20000);
		report(sim, "usual use", rates[i], 0);
		print_message("%d of %d refused\n",
			      (int)credit_sim_counts(sim)->refused,
			      (int)credit_sim_counts(sim)->asked);
		assert_true(credit_sim_counts(sim)->refused * 100 <=
			    credit_sim_counts(sim)->asked);
		credit_sim_destroy(sim);
	}
}

static void freeze_it(credit_sim_t *sim)
{
	credit_sim_freeze(sim, credit_sim_home(sim), TRUE);
}

static void kill_it(credit_sim_t *sim)
{
	credit_sim_kill(sim, credit_sim_home(sim));
}

/*
 * Nor is it refused while the home changes, but for a few requests of a large
 * one, as the next home does not know what was granted.
 */
static void check_change(const char *what, void (*fault)(credit_sim_t *sim),
			 double rate)
{
	credit_sim_t *sim = create(rate);
	credit_sim_counts_t before;
	const credit_sim_counts_t *after = credit_sim_counts(sim);
	int refused;
	int asked;

	credit_sim_set_demand(sim, rate * USUAL);
	credit_sim_run(sim, 4000);
	before = *after;
	fault(sim);
	credit_sim_run(sim, 4000);
	refused = (int)(after->refused - before.refused);
	asked = (int)(after->asked - before.asked);
	print_message("%s, rate %.0f: %d of %d refused\n", what, rate, refused,
		      asked);
	assert_true(refused * 10 <= asked);
	if (rate <= SMALL)
		assert_int_equal(refused, 0);
	credit_sim_destroy(sim);
}

static void test_use_below_limit_while_home_changes(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		check_change("home dies", kill_it, rates[i]);
		check_change("home freezes", freeze_it, rates[i]);
	}
}

/* The demand is four times the limit during the fault and after it. */
static void run_fault(const char *what, void (*fault)(credit_sim_t *sim),
		      void (*end)(credit_sim_t *sim))
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		credit_sim_t *sim = create(rates[i]);
		ms_t since;

		credit_sim_set_demand(sim, rates[i] * USUAL);
		credit_sim_run(sim, 3000);
		credit_sim_set_demand(sim, rates[i] * USUAL * JUMP);
		credit_sim_run(sim, 2000);
		since = credit_sim_now(sim);
		fault(sim);
		credit_sim_run(sim, 8000);
		report(sim, what, rates[i], since);
		end(sim);
		since = credit_sim_now(sim);
		credit_sim_run(sim, 8000);
		report(sim, "afterwards", rates[i], since);
		assert_true(credit_sim_bound_use(sim) <= 1);
		assert_true(credit_sim_used(sim, since) >= 0.9);
		credit_sim_destroy(sim);
	}
}

static guint home;

static void kill_home(credit_sim_t *sim)
{
	home = credit_sim_home(sim);
	credit_sim_kill(sim, home);
}

static void start_home(credit_sim_t *sim)
{
	credit_sim_start(sim, home);
}

/* A home that dies takes no credit with it beyond a moment, and adds none. */
static void test_home_dies(void **state)
{
	run_fault("home dies", kill_home, start_home);
}

static void freeze_home(credit_sim_t *sim)
{
	home = credit_sim_home(sim);
	credit_sim_freeze(sim, home, TRUE);
}

static void wake_home(credit_sim_t *sim)
{
	credit_sim_freeze(sim, home, FALSE);
}

/* A home that wakes up must not grant again what others granted meanwhile. */
static void test_home_freezes_and_wakes(void **state)
{
	run_fault("home freezes", freeze_home, wake_home);
}

static void cut_half(credit_sim_t *sim)
{
	credit_sim_partition(sim, INSTANCES / 2, TRUE, FALSE);
}

static void join_half(credit_sim_t *sim)
{
	credit_sim_partition(sim, INSTANCES / 2, FALSE, FALSE);
}

/* Both halves of a partition must not have the whole limit each. */
static void test_partitioned_halves(void **state)
{
	run_fault("halves partitioned", cut_half, join_half);
}

static void cut_third(credit_sim_t *sim)
{
	credit_sim_partition(sim, INSTANCES / 3, TRUE, TRUE);
}

static void join_third(credit_sim_t *sim)
{
	credit_sim_partition(sim, INSTANCES / 3, FALSE, TRUE);
}

/* Those cut off from the store must count as gone before the others do so. */
static void test_third_cut_off(void **state)
{
	run_fault("third cut off, also from the store", cut_third, join_third);
}

static void block_home(credit_sim_t *sim)
{
	guint i;

	home = credit_sim_home(sim);
	for (i = 0; i < INSTANCES; i++)
		if (i != home)
			credit_sim_block(sim, home, i, TRUE);
}

static void unblock_home(credit_sim_t *sim)
{
	guint i;

	for (i = 0; i < INSTANCES; i++)
		credit_sim_block(sim, home, i, FALSE);
}

/* A home whose answers are lost grants to itself, and the next one to others.
 */
static void test_home_answers_lost(void **state)
{
	run_fault("home's messages lost", block_home, unblock_home);
}

static void kill_all(credit_sim_t *sim)
{
	guint i;

	for (i = 0; i < INSTANCES; i++)
		credit_sim_kill(sim, i);
	credit_sim_run(sim, 300);
	for (i = 0; i < INSTANCES; i++)
		credit_sim_start(sim, i);
}

static void nothing(credit_sim_t *sim)
{
}

/* Nobody knows what was granted before; the bound holds all the same. */
static void test_all_killed_at_once(void **state)
{
	run_fault("all killed", kill_all, nothing);
}

/* A lower limit binds, and a higher one is used within a second. */
static void test_limit_lowered_and_raised(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		credit_sim_t *sim = create(rates[i]);
		ms_t since;

		credit_sim_set_demand(sim, rates[i] * 4);
		credit_sim_run(sim, 5000);
		credit_sim_set_limit(sim, rates[i] / 3, rates[i] / 3);
		credit_sim_run(sim, 10000);
		credit_sim_set_limit(sim, rates[i], rates[i]);
		credit_sim_run(sim, 1000);
		since = credit_sim_now(sim);
		credit_sim_run(sim, 10000);
		report(sim, "limit lowered and raised", rates[i], since);
		assert_true(credit_sim_bound_use(sim) <= 1);
		assert_true(credit_sim_used(sim, since) >= 0.9);
		credit_sim_destroy(sim);
	}
}

/* The cost in messages, for instances in two numbers. */
static void test_messages(void **state)
{
	static const guint counts[] = {76, 1000};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		credit_sim_options_t options = {
			.seed = 3,
			.nodes = counts[i],
			.rate = LARGE,
			.burst = LARGE,
			.slack = SLACK,
			.cost_min = 200,
			.cost_max = 4500,
		};
		credit_sim_t *sim = credit_sim_create(&options);
		const credit_sim_counts_t *result = credit_sim_counts(sim);

		credit_sim_set_demand(sim, LARGE * USUAL);
		credit_sim_run(sim, 3000);
		print_message("%u instances: %.3f messages a request\n",
			      counts[i],
			      (double)result->messages / (double)result->asked);
		assert_true(result->messages <= 2 * result->asked);
		credit_sim_destroy(sim);
	}
}

/* One home and one client without messages between them. */
typedef struct {
	credit_limit_t limit;
	GRand *rand;
	credit_home_t *home;
	credit_client_t *client;
	int sent;
	int64_t last_sent;
	int returned;
	int results;
	credit_verdict_t verdict;
} fixture_t;

static gboolean on_limit(void *ctx, const char *organisation,
			 credit_limit_t *limit)
{
	*limit = ((fixture_t *)ctx)->limit;
	return limit->rate > 0;
}

static void on_probe(void *ctx)
{
}

static gboolean on_send_ask(void *ctx, const char *name, int64_t id,
			    const credit_ask_t *ask)
{
	fixture_t *fixture = ctx;

	fixture->sent++;
	fixture->last_sent = id;
	return TRUE;
}

static void on_send_return(void *ctx, const char *name,
			   const char *organisation, double cost, int64_t epoch)
{
	((fixture_t *)ctx)->returned++;
}

static void on_result(void *ctx, credit_id_t id, const credit_result_t *result)
{
	fixture_t *fixture = ctx;

	fixture->results++;
	fixture->verdict = result->answer.verdict;
}

static void fixture_init(fixture_t *fixture, double rate, double burst)
{
	static const credit_home_actions_t home_actions = {on_limit, on_probe};
	static const credit_client_actions_t client_actions = {
		on_send_ask, on_send_return, on_result};
	credit_client_options_t options = {"self", NULL, 0, NULL, -10000};

	*fixture = (fixture_t){.limit = {rate, burst}};
	fixture->rand = g_rand_new_with_seed(1);
	fixture->home =
		credit_home_create(0, fixture->rand, &home_actions, fixture);
	options.home = fixture->home;
	options.rand = fixture->rand;
	fixture->client =
		credit_client_create(&options, &client_actions, fixture);
}

static void fixture_clear(fixture_t *fixture)
{
	credit_client_destroy(fixture->client);
	credit_home_destroy(fixture->home);
	g_rand_free(fixture->rand);
}

static credit_id_t ask(fixture_t *fixture, ms_t now, double cost)
{
	credit_request_t request = {"o", fixture->limit, cost};
	credit_result_t result;
	credit_id_t id =
		credit_client_ask(fixture->client, now, &request, &result);

	fixture->verdict = result.answer.verdict;
	return id;
}

/* Credit that is returned twice would let an organisation exceed its limit. */
static void test_returns_exactly_once(void **state)
{
	fixture_t fixture;
	credit_id_t id;

	fixture_init(&fixture, 1, 10);
	id = ask(&fixture, 0, 20);
	assert_int_equal(fixture.verdict, CREDIT_GRANTED);
	ask(&fixture, 1, 20);
	assert_int_equal(fixture.verdict, CREDIT_REFUSED);
	credit_client_end(fixture.client, 2, id, FALSE);
	credit_client_end(fixture.client, 2, id, FALSE);
	id = ask(&fixture, 3, 20);
	assert_int_equal(fixture.verdict, CREDIT_GRANTED);
	ask(&fixture, 4, 1);
	assert_int_equal(fixture.verdict, CREDIT_REFUSED);
	/* Nothing is returned for a request that may have run. */
	credit_client_end(fixture.client, 5, id, TRUE);
	ask(&fixture, 6, 1);
	assert_int_equal(fixture.verdict, CREDIT_REFUSED);
	/* Nor what another process granted. */
	assert_false(credit_home_return(fixture.home, 7, "o", 20, 99));
	fixture_clear(&fixture);
}

/* An answer that comes too late, or for a request that ended, is returned. */
static void test_late_grant_is_returned(void **state)
{
	credit_answer_t granted = {CREDIT_GRANTED, 5, 0, 1};
	fixture_t fixture;
	credit_id_t id;

	/* "z" is first in the hash order for "o" among itself and "self". */
	fixture_init(&fixture, 1000, 1000);
	credit_client_set_connected(fixture.client, 0, "z", TRUE);
	id = ask(&fixture, 0, 1);
	assert_int_equal(fixture.verdict, CREDIT_PENDING);
	credit_client_end(fixture.client, 1, id, FALSE);
	credit_client_on_answer(fixture.client, 2, "z", fixture.last_sent,
				&granted);
	credit_client_on_answer(fixture.client, 3, "z", fixture.last_sent,
				&granted);
	assert_int_equal(fixture.returned, 1);
	assert_int_equal(fixture.results, 0);

	/* A silent home is left out, and its answer is returned. */
	ask(&fixture, 10, 1);
	assert_int_equal(credit_client_tick(fixture.client, 11), 160);
	credit_client_tick(fixture.client, 160);
	assert_int_equal(fixture.results, 1);
	assert_int_equal(fixture.verdict, CREDIT_GRANTED);
	credit_client_on_answer(fixture.client, 170, "z", fixture.last_sent,
				&granted);
	assert_int_equal(fixture.returned, 2);
	fixture_clear(&fixture);
}

/* A request within the limit isn't refused because its connection was lost. */
static void test_lost_connection(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 1000, 1000);
	credit_client_set_connected(fixture.client, 0, "z", TRUE);
	ask(&fixture, 0, 1);
	assert_int_equal(fixture.verdict, CREDIT_PENDING);
	credit_client_set_connected(fixture.client, 1, "z", FALSE);
	assert_int_equal(fixture.results, 1);
	assert_int_equal(fixture.verdict, CREDIT_GRANTED);
	fixture_clear(&fixture);
}

/* A home that is behind the document must not refuse. */
static void test_unknown_at_home_uses_even_share(void **state)
{
	credit_answer_t unknown = {CREDIT_UNKNOWN, 5, 0, 0};
	fixture_t fixture;

	fixture_init(&fixture, 1000, 1000);
	credit_client_set_connected(fixture.client, 0, "z", TRUE);
	credit_client_set_live(fixture.client, 2, TRUE);
	ask(&fixture, 0, 1);
	credit_client_on_answer(fixture.client, 5, "z", fixture.last_sent,
				&unknown);
	assert_int_equal(fixture.results, 1);
	assert_int_equal(fixture.verdict, CREDIT_GRANTED);
	fixture_clear(&fixture);
}

/* A stall of this process must not make it take all homes for silent. */
static void test_own_stall(void **state)
{
	credit_answer_t granted = {CREDIT_GRANTED, 5, 0, 1};
	fixture_t fixture;

	fixture_init(&fixture, 1000, 1000);
	credit_client_set_connected(fixture.client, 0, "z", TRUE);
	ask(&fixture, 0, 1);
	credit_client_tick(fixture.client, 2000);
	assert_int_equal(fixture.results, 0);
	credit_client_on_answer(fixture.client, 2001, "z", fixture.last_sent,
				&granted);
	assert_int_equal(fixture.results, 1);
	assert_int_equal(fixture.returned, 0);
	fixture_clear(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_jump_within_a_second),
		cmocka_unit_test(test_use_below_limit_is_granted),
		cmocka_unit_test(test_use_below_limit_while_home_changes),
		cmocka_unit_test(test_home_dies),
		cmocka_unit_test(test_home_freezes_and_wakes),
		cmocka_unit_test(test_partitioned_halves),
		cmocka_unit_test(test_third_cut_off),
		cmocka_unit_test(test_home_answers_lost),
		cmocka_unit_test(test_all_killed_at_once),
		cmocka_unit_test(test_limit_lowered_and_raised),
		cmocka_unit_test(test_messages),
		cmocka_unit_test(test_returns_exactly_once),
		cmocka_unit_test(test_late_grant_is_returned),
		cmocka_unit_test(test_lost_connection),
		cmocka_unit_test(test_unknown_at_home_uses_even_share),
		cmocka_unit_test(test_own_stall),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
