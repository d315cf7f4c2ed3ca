/*
 * Slots, step by step: what goes in, and the actions that come out as text.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sched/slots.h"

typedef struct {
	slots_t *slots;
	GRand *rand;
	GString *log;
} bench_t;

static void on_start(void *ctx, uint64_t id, int slot)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "start %d@%d;", (int)id, slot);
}

static void on_refuse(void *ctx, uint64_t id, error_kind_t kind,
		      ms_t retry_after)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "refuse %d %s%s;", (int)id,
			       error_kind_name(kind),
			       retry_after > 0 ? " later" : "");
}

static void on_stop(void *ctx, uint64_t id)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "stop %d;", (int)id);
}

static void on_want(void *ctx, const load_request_t *want)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "want %s %dx p%d%s;", want->adapter,
			       want->waiting, want->priority,
			       want->ahead ? " ahead" : "");
}

static void on_withdraw(void *ctx, const char *adapter)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "withdraw %s;", adapter);
}

static void on_load(void *ctx, int slot, const char *adapter)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "load %s@%d;", adapter, slot);
}

static void on_unload(void *ctx, int slot, const char *adapter)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "unload %s@%d;", adapter, slot);
}

static void on_unused(void *ctx, const char *adapter)
{
	bench_t *bench = ctx;

	g_string_append_printf(bench->log, "unused %s;", adapter);
}

static void on_placed(void *ctx, const char *adapter, gboolean resident)
{
	bench_t *bench = ctx;

	slots_utilization_t load;

	/* Owners tell how loaded they are along with what is resident. */
	slots_get_utilization(bench->slots, 0, &load);
	g_string_append_printf(bench->log, "%s %s;", resident ? "in" : "out",
			       adapter);
}

static const slots_actions_t slots_actions = {
	.start = on_start,
	.refuse = on_refuse,
	.stop = on_stop,
	.want_load = on_want,
	.withdraw_load = on_withdraw,
	.order_load = on_load,
	.order_unload = on_unload,
	.grant_unused = on_unused,
	.placed = on_placed,
};

static bench_t *bench_create_holding(int slot_count, int concurrency,
				     int queue_limit, ms_t hold_time,
				     ms_t reload_time)
{
	bench_t *bench = g_new0(bench_t, 1);
	slots_config_t config;

	slots_config_init(&config, slot_count, concurrency);
	config.queue_limit = queue_limit;
	config.hold_time = hold_time;
	if (reload_time) {
		config.load_time = reload_time / 2;
		config.grant_time = reload_time / 2;
	}
	bench->log = g_string_new(NULL);
	bench->rand = g_rand_new_with_seed(1);
	bench->slots =
		slots_create(&config, &slots_actions, bench, bench->rand);
	return bench;
}

static bench_t *bench_create(int slot_count, int concurrency, int queue_limit)
{
	return bench_create_holding(slot_count, concurrency, queue_limit, 0, 0);
}

static void bench_destroy(bench_t *bench)
{
	slots_destroy(bench->slots);
	g_rand_free(bench->rand);
	g_string_free(bench->log, TRUE);
	g_free(bench);
}

static void expect(bench_t *bench, const char *log)
{
	assert_string_equal(bench->log->str, log);
	g_string_truncate(bench->log, 0);
}

static void submit(bench_t *bench, ms_t now, uint64_t id, const char *adapter,
		   int priority)
{
	slots_request_t request = {.id = id,
				   .adapter = adapter,
				   .priority = priority,
				   .arrival = now,
				   .deadline = MS_NEVER};

	slots_submit(bench->slots, now, &request);
}

/* Load an adapter into a slot, with one request run to its end. */
static void make_resident(bench_t *bench, ms_t now, const char *adapter,
			  int slot)
{
	submit(bench, now, 1000, adapter, 0);
	assert_true(slots_grant(bench->slots, now, adapter));
	slots_load_ended(bench->slots, now, slot, TRUE);
	slots_request_ended(bench->slots, now, 1000, TRUE);
	g_string_truncate(bench->log, 0);
}

static void test_one_load_serves_all_who_wait(void **state)
{
	bench_t *bench = bench_create(1, 4, 8);

	submit(bench, 0, 1, "a@1", 0);
	submit(bench, 0, 2, "a@1", 2);
	expect(bench, "want a@1 1x p0;want a@1 2x p2;");
	assert_true(slots_grant(bench->slots, 10, "a@1"));
	expect(bench, "load a@1@0;");
	assert_false(slots_grant(bench->slots, 10, "a@1"));
	slots_load_ended(bench->slots, 260, 0, TRUE);
	expect(bench, "in a@1;start 2@0;start 1@0;");
	bench_destroy(bench);
}

static void test_serving_adapter_is_not_unloaded(void **state)
{
	bench_t *bench = bench_create(1, 4, 8);

	submit(bench, 0, 1, "a@1", 0);
	slots_grant(bench->slots, 0, "a@1");
	slots_load_ended(bench->slots, 250, 0, TRUE);
	submit(bench, 300, 2, "b@1", 0);
	expect(bench, "want a@1 1x p0;load a@1@0;in a@1;start 1@0;");
	/* Nothing can be unloaded, so nothing is asked for. */
	assert_false(slots_grant(bench->slots, 300, "b@1"));
	slots_request_ended(bench->slots, 400, 1, FALSE);
	expect(bench, "");
	slots_uncertain_resolved(bench->slots, 500, 1);
	expect(bench, "want b@1 1x p0;");
	slots_pin(bench->slots, "a@1");
	assert_false(slots_grant(bench->slots, 500, "b@1"));
	slots_unpin(bench->slots, 600, "a@1");
	expect(bench, "want b@1 1x p0;");
	assert_true(slots_grant(bench->slots, 600, "b@1"));
	expect(bench, "out a@1;unload a@1@0;");
	slots_unload_ended(bench->slots, 610, 0, TRUE);
	slots_load_ended(bench->slots, 860, 0, TRUE);
	expect(bench, "load b@1@0;in b@1;start 2@0;");
	bench_destroy(bench);
}

static void test_popularity_decides_and_not_recency(void **state)
{
	bench_t *bench = bench_create(2, 4, 8);

	make_resident(bench, 0, "hot@1", 0);
	submit(bench, 10, 1, "hot@1", 0);
	slots_request_ended(bench->slots, 20, 1, TRUE);
	make_resident(bench, 30, "cold@1", 1);
	submit(bench, 40, 2, "new@1", 0);
	g_string_truncate(bench->log, 0);
	slots_grant(bench->slots, 50, "new@1");
	expect(bench, "out cold@1;unload cold@1@1;");
	bench_destroy(bench);
}

static void test_adapter_in_use_is_held(void **state)
{
	/* Reloads are dear, so that the whole time is held. */
	bench_t *bench = bench_create_holding(1, 4, 8, 4000, 4000);

	make_resident(bench, 0, "a@1", 0);
	submit(bench, 100, 1, "b@1", 0);
	expect(bench, "");
	assert_int_equal(slots_tick(bench->slots, 100), 4000);
	slots_tick(bench->slots, 3999);
	expect(bench, "");
	slots_tick(bench->slots, 4000);
	expect(bench, "want b@1 1x p0;");
	bench_destroy(bench);
}

static void test_hold_is_bounded_by_what_a_reload_takes(void **state)
{
	bench_t *bench = bench_create_holding(1, 4, 8, 4000, 100);

	/* A grant after 50 ms and a load of 50 ms, as was estimated. */
	submit(bench, 0, 1000, "a@1", 0);
	assert_true(slots_grant(bench->slots, 50, "a@1"));
	slots_load_ended(bench->slots, 100, 0, TRUE);
	slots_request_ended(bench->slots, 100, 1000, TRUE);
	g_string_truncate(bench->log, 0);
	submit(bench, 110, 1, "b@1", 0);
	expect(bench, "");
	slots_tick(bench->slots, 499);
	expect(bench, "");
	slots_tick(bench->slots, 501);
	expect(bench, "want b@1 1x p0;");
	bench_destroy(bench);
}

static void test_demoted_adapter_goes_first(void **state)
{
	bench_t *bench = bench_create(2, 4, 8);

	make_resident(bench, 0, "hot@1", 0);
	submit(bench, 10, 1, "hot@1", 0);
	slots_request_ended(bench->slots, 20, 1, TRUE);
	make_resident(bench, 30, "cold@1", 1);
	slots_demote(bench->slots, 30, "hot@1");
	submit(bench, 40, 2, "new@1", 0);
	g_string_truncate(bench->log, 0);
	slots_grant(bench->slots, 50, "new@1");
	expect(bench, "out hot@1;unload hot@1@0;");
	bench_destroy(bench);
}

static void test_lower_priority_is_displaced(void **state)
{
	bench_t *bench = bench_create(1, 1, 2);

	submit(bench, 0, 1, "a@1", 1);
	submit(bench, 1, 2, "a@1", 0);
	submit(bench, 2, 3, "a@1", 0);
	submit(bench, 3, 4, "a@1", 2);
	expect(bench, "want a@1 1x p1;want a@1 2x p1;"
		      "refuse 3 overloaded later;"
		      "refuse 2 overloaded later;want a@1 2x p2;");
	bench_destroy(bench);
}

static void test_hopeless_request_is_refused_at_once(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);
	slots_request_t request = {
		.id = 1, .adapter = "a@1", .arrival = 0, .deadline = 200};

	/* A load alone takes longer than the time to the deadline. */
	slots_submit(bench->slots, 0, &request);
	expect(bench, "refuse 1 overloaded later;");
	bench_destroy(bench);
}

static void test_waiting_has_a_bound(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);
	ms_t due;

	submit(bench, 0, 1, "a@1", 0);
	due = slots_tick(bench->slots, 0);
	assert_true(due > 0 && due < MS_NEVER);
	slots_tick(bench->slots, due - 1);
	expect(bench, "want a@1 1x p0;");
	slots_tick(bench->slots, due);
	expect(bench, "refuse 1 overloaded later;withdraw a@1;");
	bench_destroy(bench);
}

static void test_failed_load_backs_off_with_a_bound(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);
	ms_t now = 0;
	int i;

	submit(bench, now, 1, "a@1", 0);
	for (i = 0; i < 3; i++) {
		assert_true(slots_grant(bench->slots, now, "a@1"));
		slots_load_ended(bench->slots, now, 0, FALSE);
		assert_false(slots_grant(bench->slots, now, "a@1"));
		if (i < 2)
			now = slots_tick(bench->slots, now);
		slots_tick(bench->slots, now);
	}
	expect(bench, "want a@1 1x p0;load a@1@0;want a@1 1x p0;load a@1@0;"
		      "want a@1 1x p0;load a@1@0;refuse 1 load_failed later;");
	bench_destroy(bench);
}

/* Refusals for a slow load must not last: nothing would correct them. */
static void test_slow_load_is_forgotten(void **state)
{
	bench_t *bench = bench_create(2, 1, 8);

	submit(bench, 0, 1, "a@1", 0);
	slots_grant(bench->slots, 0, "a@1");
	slots_load_ended(bench->slots, 100000, 0, TRUE);
	submit(bench, 100000, 2, "b@1", 0);
	expect(bench, "want a@1 1x p0;load a@1@0;in a@1;start 1@0;"
		      "refuse 2 overloaded later;");
	submit(bench, 130000, 3, "b@1", 0);
	expect(bench, "want b@1 1x p0;");
	bench_destroy(bench);
}

static void test_cancel(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);

	make_resident(bench, 0, "a@1", 0);
	submit(bench, 10, 1, "a@1", 0);
	submit(bench, 10, 2, "a@1", 0);
	slots_cancel(bench->slots, 20, 1);
	slots_cancel(bench->slots, 20, 2);
	expect(bench, "start 1@0;stop 1;refuse 2 cancelled;");
	slots_request_ended(bench->slots, 30, 1, TRUE);
	assert_true(slots_is_idle(bench->slots));
	bench_destroy(bench);
}

static void test_leaving_takes_nothing_new(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);

	make_resident(bench, 0, "a@1", 0);
	submit(bench, 10, 1, "a@1", 0);
	submit(bench, 10, 2, "a@1", 0);
	slots_start_leaving(bench->slots, 20);
	submit(bench, 30, 3, "a@1", 0);
	expect(bench, "start 1@0;refuse 2 unavailable;refuse 3 unavailable;");
	assert_false(slots_is_idle(bench->slots));
	slots_request_ended(bench->slots, 40, 1, TRUE);
	assert_true(slots_is_idle(bench->slots));
	bench_destroy(bench);
}

static void test_takeover_counts_residents_as_serving(void **state)
{
	bench_t *bench = bench_create(2, 1, 8);

	slots_quarantine(bench->slots, 0, 1);
	slots_add_resident(bench->slots, 0, 0, "a@1");
	submit(bench, 10, 1, "b@1", 0);
	expect(bench, "in a@1;");
	slots_clear_predecessor_busy(bench->slots, 20, 0);
	expect(bench, "want b@1 1x p0;");
	slots_release(bench->slots, 30, 1);
	assert_true(slots_grant(bench->slots, 40, "b@1"));
	expect(bench, "load b@1@1;");
	slots_engine_restarted(bench->slots, 50);
	expect(bench, "out a@1;unused b@1;want b@1 1x p0;");
	bench_destroy(bench);
}

static void test_load_ahead_spares_what_is_in_demand(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);

	make_resident(bench, 0, "a@1", 0);
	slots_expect_request(bench->slots, 10, "b@1", 0.35);
	expect(bench, "want b@1 0x p0 ahead;");
	assert_false(slots_grant(bench->slots, 10, "b@1"));
	expect(bench, "");
	bench_destroy(bench);
}

static void test_load_ahead_follows_its_unload(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);

	make_resident(bench, 0, "a@1", 0);
	slots_demote(bench->slots, 10, "a@1");
	slots_expect_request(bench->slots, 10, "b@1", 0.35);
	expect(bench, "want b@1 0x p0 ahead;");
	assert_true(slots_grant(bench->slots, 20, "b@1"));
	expect(bench, "out a@1;unload a@1@0;");
	slots_unload_ended(bench->slots, 30, 0, TRUE);
	expect(bench, "load b@1@0;");
	bench_destroy(bench);
}

static void test_late_unload_ends_a_load_ahead(void **state)
{
	bench_t *bench = bench_create(1, 1, 8);

	make_resident(bench, 0, "a@1", 0);
	slots_demote(bench->slots, 10, "a@1");
	slots_expect_request(bench->slots, 10, "b@1", 0.35);
	expect(bench, "want b@1 0x p0 ahead;");
	assert_true(slots_grant(bench->slots, 20, "b@1"));
	expect(bench, "out a@1;unload a@1@0;");
	slots_unload_ended(bench->slots, 60000, 0, TRUE);
	expect(bench, "unused b@1;");
	bench_destroy(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_load_serves_all_who_wait),
		cmocka_unit_test(test_serving_adapter_is_not_unloaded),
		cmocka_unit_test(test_popularity_decides_and_not_recency),
		cmocka_unit_test(test_adapter_in_use_is_held),
		cmocka_unit_test(test_hold_is_bounded_by_what_a_reload_takes),
		cmocka_unit_test(test_demoted_adapter_goes_first),
		cmocka_unit_test(test_lower_priority_is_displaced),
		cmocka_unit_test(test_hopeless_request_is_refused_at_once),
		cmocka_unit_test(test_waiting_has_a_bound),
		cmocka_unit_test(test_failed_load_backs_off_with_a_bound),
		cmocka_unit_test(test_slow_load_is_forgotten),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_leaving_takes_nothing_new),
		cmocka_unit_test(test_takeover_counts_residents_as_serving),
		cmocka_unit_test(test_load_ahead_spares_what_is_in_demand),
		cmocka_unit_test(test_load_ahead_follows_its_unload),
		cmocka_unit_test(test_late_unload_ends_a_load_ahead),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
