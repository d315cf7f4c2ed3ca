/*
 * Rates of key-value service calls, by kind and virtual second, that ownership
 * and claims cause when idle, under load, and in recovery.  Prints the rates
 * and asserts that they stay below what the service can handle.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "claim/claim.h"
#include "own_sim.h"

#define SECOND		   1000
#define MINUTE		   (60 * SECOND)
#define WRITES_MAX	   300	/* per second; the service takes several 100 */
#define READS_MAX	   2000 /* per second */
#define KAPOK_INSTANCES	   9
#define KAPOK_ENDPOINTS	   12
#define KAPOK_LOAD_RATE_MS 400 /* 2.5 loads per second in total */

static void print_header(void)
{
	printf("%-28s %9s %9s %9s %9s\n", "per second", "reads", "writes",
	       "leases", "orders");
}

static void print_rates(const char *name, const fake_kv_stats_t *before,
			const fake_kv_stats_t *after, int orders, ms_t duration)
{
	double seconds = (double)duration / SECOND;
	double reads = (double)(after->reads - before->reads) / seconds;
	double writes = (double)(after->writes - before->writes) / seconds;
	double leases =
		(double)(after->lease_calls - before->lease_calls) / seconds;

	printf("%-28s %9.2f %9.2f %9.2f %9.2f\n", name, reads, writes, leases,
	       orders / seconds);
	assert_int_equal(after->watches_started, 0);
	assert_true(writes < WRITES_MAX);
	assert_true(reads < READS_MAX);
}

static void measure(own_sim_t *sim, const char *name, ms_t duration)
{
	fake_kv_t *kv = own_sim_kv(sim);
	fake_kv_stats_t before = *fake_kv_stats(kv);
	int orders = own_sim_order_count(sim);

	own_sim_run(sim, fake_kv_now(kv) + duration);
	assert_null(own_sim_violation(sim));
	print_rates(name, &before, fake_kv_stats(kv),
		    own_sim_order_count(sim) - orders, duration);
}

/* Returns the time until every endpoint is served. */
static ms_t wait_served(own_sim_t *sim, int endpoints, ms_t limit)
{
	ms_t start = fake_kv_now(own_sim_kv(sim));
	ms_t now = start;

	while (own_sim_served_endpoints(sim) < endpoints &&
	       now < start + limit) {
		own_sim_run(sim, now + SIM_TICK_MS);
		now = fake_kv_now(own_sim_kv(sim));
	}
	assert_int_equal(own_sim_served_endpoints(sim), endpoints);
	return now - start;
}

static void measure_takeover(guint32 seed)
{
	own_sim_options_t options = {
		KAPOK_INSTANCES, KAPOK_ENDPOINTS, seed, 0, 200, FALSE, 0};
	own_sim_t *sim = own_sim_create(&options);
	ms_t killed;
	ms_t stopped;

	own_sim_run(sim, 20 * SECOND + seed * 700);
	own_sim_kill(sim, 0);
	own_sim_update_members(sim);
	killed = wait_served(sim, KAPOK_ENDPOINTS, 30 * SECOND);
	own_sim_run(sim, fake_kv_now(own_sim_kv(sim)) + 20 * SECOND);
	own_sim_stop(sim, 1);
	own_sim_update_members(sim);
	stopped = wait_served(sim, KAPOK_ENDPOINTS, 30 * SECOND);
	printf("seed %u: served again %d ms after a kill, %d ms after a "
	       "planned stop\n",
	       seed, (int)killed, (int)stopped);
	own_sim_destroy(sim);
}

static void test_takeover_times(void **state)
{
	guint32 seed;

	for (seed = 1; seed <= 10; seed++)
		measure_takeover(seed);
}

static void measure_fleet(int instances, int endpoints, ms_t load_rate)
{
	own_sim_options_t options = {instances, endpoints, 1, 0, 0, FALSE, 0};
	char name[64];
	own_sim_t *sim;
	int i;

	options.load_interval = load_rate * endpoints;
	sim = own_sim_create(&options);
	g_snprintf(name, sizeof(name), "%d/%d starting (20 s)", instances,
		   endpoints);
	measure(sim, name, 20 * SECOND);
	g_snprintf(name, sizeof(name), "%d/%d %s (120 s)", instances, endpoints,
		   load_rate ? "under load" : "quiet");
	measure(sim, name, 120 * SECOND);
	own_sim_kill(sim, 0);
	own_sim_update_members(sim);
	measure(sim, "  one killed (20 s)", 20 * SECOND);
	for (i = 0; i < instances; i++) {
		own_sim_kill(sim, i);
		own_sim_start(sim, i);
	}
	own_sim_update_members(sim);
	measure(sim, "  all replaced (20 s)", 20 * SECOND);
	assert_int_equal(own_sim_served_endpoints(sim), endpoints);
	own_sim_destroy(sim);
}

static void test_ownership_rates(void **state)
{
	print_header();
	measure_fleet(3, 4, 0);
	measure_fleet(KAPOK_INSTANCES, KAPOK_ENDPOINTS, 0);
	measure_fleet(15, 20, 0);
	measure_fleet(KAPOK_INSTANCES, KAPOK_ENDPOINTS, KAPOK_LOAD_RATE_MS);
	measure_fleet(KAPOK_INSTANCES, KAPOK_ENDPOINTS, KAPOK_LOAD_RATE_MS / 2);
}

static void print_outage(own_sim_t *sim, const char *what, ms_t duration)
{
	int sent = own_sim_requests_sent(sim);
	int unserved = own_sim_requests_unserved(sim);
	int orders = own_sim_order_count(sim);

	own_sim_run(sim, fake_kv_now(own_sim_kv(sim)) + duration);
	assert_null(own_sim_violation(sim));
	printf("%-28s %9d %9d %9d\n", what, own_sim_requests_sent(sim) - sent,
	       own_sim_requests_unserved(sim) - unserved,
	       own_sim_order_count(sim) - orders);
}

/* During an outage resident adapters are served and none are loaded. */
static void test_outage(void **state)
{
	own_sim_options_t options = {
		KAPOK_INSTANCES, KAPOK_ENDPOINTS, 1, 0, 200, FALSE, 0};
	own_sim_t *sim;
	ms_t start;
	int unserved;
	int orders;

	options.load_interval = (ms_t)KAPOK_LOAD_RATE_MS * KAPOK_ENDPOINTS;
	sim = own_sim_create(&options);
	own_sim_run(sim, MINUTE);
	printf("%-28s %9s %9s %9s\n", "service", "sent", "refused", "orders");
	print_outage(sim, "up, 10 min", 10 * MINUTE);
	fake_kv_set_mode(own_sim_kv(sim), FAKE_KV_REFUSING);
	/* Orders of intents that are already recorded may still be sent. */
	print_outage(sim, "down, first second", SECOND);
	unserved = own_sim_requests_unserved(sim);
	orders = own_sim_order_count(sim);
	print_outage(sim, "down, the rest of 10 min", 10 * MINUTE - SECOND);
	assert_int_equal(own_sim_requests_unserved(sim), unserved);
	assert_int_equal(own_sim_order_count(sim), orders);
	fake_kv_set_mode(own_sim_kv(sim), FAKE_KV_UP);
	start = fake_kv_now(own_sim_kv(sim));
	while (own_sim_order_count(sim) == orders)
		own_sim_run(sim, fake_kv_now(own_sim_kv(sim)) + SIM_TICK_MS);
	printf("first order %d ms after the service was back\n",
	       (int)(fake_kv_now(own_sim_kv(sim)) - start));
	print_outage(sim, "up again, 1 min", MINUTE);
	own_sim_destroy(sim);
}

typedef struct {
	claims_t *claims;
	ms_t now;
	int granted;
} entry_t;

typedef struct {
	entry_t *entry;
	char name[32];
} request_t;

static void on_wake(void *ctx)
{
}

static void on_claim(void *ctx, const claim_answer_t *answer)
{
	request_t *request = ctx;
	entry_t *entry = request->entry;

	if (answer->result == CLAIM_GRANTED) {
		entry->granted++;
		claim_finish(entry->claims, entry->now, "caller", request->name,
			     OUTCOME_ANSWERED, "ok", 2);
	}
	g_free(request);
}

static void measure_claims(int instances, int requests_per_second)
{
	fake_kv_t *fake = fake_kv_create(1);
	GRand *rand = g_rand_new_with_seed(1);
	entry_t *entries = g_new0(entry_t, instances);
	lease_t **leases = g_new0(lease_t *, instances);
	fake_kv_stats_t before = {0};
	fake_kv_stats_t after = {0};
	char name[64];
	int sent = 0;
	ms_t now;
	int i;

	for (i = 0; i < instances; i++) {
		lease_options_t lease = {name,
					 "{}",
					 LEASE_TTL_MS,
					 LEASE_MARGIN_MS,
					 LEASE_RENEW_MS,
					 LEASE_RETRY_MS,
					 0,
					 on_wake,
					 NULL};
		claim_options_t options;
		kv_t *kv = fake_kv_connect(fake);

		g_snprintf(name, sizeof(name), "i%d", i);
		claim_options_init(&options);
		options.wake = on_wake;
		leases[i] = lease_create(kv, &lease);
		entries[i].claims =
			claims_create(kv, leases[i], rand, &options);
	}
	for (now = fake_kv_now(fake); now < 42 * SECOND; now += 10) {
		ms_t sending = CLAMP(now - 10 * SECOND, 0, 30 * SECOND);
		int due = (int)(sending * requests_per_second / SECOND);

		fake_kv_run(fake, now);
		if (now < 10 * SECOND)
			before = *fake_kv_stats(fake);
		if (now <= 40 * SECOND)
			after = *fake_kv_stats(fake);
		for (; sent < due; sent++) {
			request_t *request = g_new0(request_t, 1);

			request->entry = &entries[sent % instances];
			g_snprintf(request->name, sizeof(request->name), "%d",
				   sent);
			claim_begin(request->entry->claims, now,
				    &(claim_request_t){"caller", request->name,
						       request->name, 0, FALSE},
				    on_claim, request);
		}
		for (i = 0; i < instances; i++) {
			entries[i].now = now;
			claim_tick(entries[i].claims, now);
			lease_tick(leases[i], now);
		}
	}
	g_snprintf(name, sizeof(name), "%d entries, %d claims/s", instances,
		   requests_per_second);
	print_rates(name, &before, &after, 0, 30 * SECOND);
	for (i = 0; i < instances; i++)
		assert_true(entries[i].granted >= sent / instances);
	fake_kv_destroy(fake);
	for (i = 0; i < instances; i++) {
		claims_destroy(entries[i].claims);
		lease_destroy(leases[i]);
	}
	g_rand_free(rand);
	g_free(entries);
	g_free(leases);
}

static void test_claim_rates(void **state)
{
	print_header();
	measure_claims(KAPOK_INSTANCES, 0);
	measure_claims(KAPOK_INSTANCES, 10);
	measure_claims(KAPOK_INSTANCES, 100);
	measure_claims(KAPOK_INSTANCES, 1000);
	measure_claims(KAPOK_INSTANCES, 4000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ownership_rates),
		cmocka_unit_test(test_takeover_times),
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_claim_rates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
