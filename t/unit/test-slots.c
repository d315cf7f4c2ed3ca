/*
 * Unit tests of the slots of an endpoint.  Each callback appends an event to a
 * text log, which is compared with the expected log.
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
} fixture_t;

static void on_start(void *ctx, uint64_t id, int slot)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "start %d@%d;", (int)id, slot);
}

static void on_refuse(void *ctx, uint64_t id, error_kind_t kind,
		      ms_t retry_after)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "refuse %d %s%s;", (int)id,
			       error_kind_name(kind),
			       retry_after > 0 ? " later" : "");
}

static void on_stop(void *ctx, uint64_t id)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "stop %d;", (int)id);
}

static void on_request_load(void *ctx, const load_request_t *params)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "want %s %dx p%d%s;",
			       params->adapter, params->waiting,
			       params->priority, params->ahead ? " ahead" : "");
}

static void on_cancel_load(void *ctx, const char *adapter)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "withdraw %s;", adapter);
}

static void on_order_load(void *ctx, int slot, const char *adapter)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "load %s@%d;", adapter, slot);
}

static void on_order_unload(void *ctx, int slot, const char *adapter)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "unload %s@%d;", adapter, slot);
}

static void on_grant_unused(void *ctx, const char *adapter)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->log, "unused %s;", adapter);
}

static void on_residency_change(void *ctx, const char *adapter,
				gboolean resident)
{
	fixture_t *fixture = ctx;

	slots_utilization_t load;

	/* Owners read the utilization in this callback. */
	slots_get_utilization(fixture->slots, 0, &load);
	g_string_append_printf(fixture->log, "%s %s;", resident ? "in" : "out",
			       adapter);
}

static const slots_actions_t slots_actions = {
	.start = on_start,
	.refuse = on_refuse,
	.stop = on_stop,
	.want_load = on_request_load,
	.withdraw_load = on_cancel_load,
	.order_load = on_order_load,
	.order_unload = on_order_unload,
	.grant_unused = on_grant_unused,
	.placed = on_residency_change,
};

static fixture_t *fixture_create_with_hold(int slot_count, int concurrency,
					   int queue_limit, ms_t hold_time,
					   ms_t reload_time)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	slots_config_t config;

	slots_config_init(&config, slot_count, concurrency);
	config.queue_limit = queue_limit;
	config.hold_time = hold_time;
	if (reload_time) {
		config.load_time = reload_time / 2;
		config.grant_time = reload_time / 2;
	}
	fixture->log = g_string_new(NULL);
	fixture->rand = g_rand_new_with_seed(1);
	fixture->slots =
		slots_create(&config, &slots_actions, fixture, fixture->rand);
	return fixture;
}

static fixture_t *fixture_create(int slot_count, int concurrency,
				 int queue_limit)
{
	return fixture_create_with_hold(slot_count, concurrency, queue_limit, 0,
					0);
}

static void fixture_destroy(fixture_t *fixture)
{
	slots_destroy(fixture->slots);
	g_rand_free(fixture->rand);
	g_string_free(fixture->log, TRUE);
	g_free(fixture);
}

static void expect(fixture_t *fixture, const char *log)
{
	assert_string_equal(fixture->log->str, log);
	g_string_truncate(fixture->log, 0);
}

static void submit(fixture_t *fixture, ms_t now, uint64_t id,
		   const char *adapter, int priority)
{
	slots_request_t request = {.id = id,
				   .adapter = adapter,
				   .priority = priority,
				   .arrival = now,
				   .deadline = MS_NEVER};

	slots_submit(fixture->slots, now, &request);
}

/* Load an adapter into a slot by running one request to its end. */
static void make_resident(fixture_t *fixture, ms_t now, const char *adapter,
			  int slot)
{
	submit(fixture, now, 1000, adapter, 0);
	assert_true(slots_grant(fixture->slots, now, adapter));
	slots_load_ended(fixture->slots, now, slot, TRUE);
	slots_request_ended(fixture->slots, now, 1000, TRUE);
	g_string_truncate(fixture->log, 0);
}

static void test_one_load_serves_all_waiting_requests(void **state)
{
	fixture_t *fixture = fixture_create(1, 4, 8);

	submit(fixture, 0, 1, "a@1", 0);
	submit(fixture, 0, 2, "a@1", 2);
	expect(fixture, "want a@1 1x p0;want a@1 2x p2;");
	assert_true(slots_grant(fixture->slots, 10, "a@1"));
	expect(fixture, "load a@1@0;");
	assert_false(slots_grant(fixture->slots, 10, "a@1"));
	slots_load_ended(fixture->slots, 260, 0, TRUE);
	expect(fixture, "in a@1;start 2@0;start 1@0;");
	fixture_destroy(fixture);
}

static void test_serving_adapter_is_not_unloaded(void **state)
{
	fixture_t *fixture = fixture_create(1, 4, 8);

	submit(fixture, 0, 1, "a@1", 0);
	slots_grant(fixture->slots, 0, "a@1");
	slots_load_ended(fixture->slots, 250, 0, TRUE);
	submit(fixture, 300, 2, "b@1", 0);
	expect(fixture, "want a@1 1x p0;load a@1@0;in a@1;start 1@0;");
	/* No adapter can be evicted, so no load was requested. */
	assert_false(slots_grant(fixture->slots, 300, "b@1"));
	slots_request_ended(fixture->slots, 400, 1, FALSE);
	expect(fixture, "");
	slots_uncertain_resolved(fixture->slots, 500, 1);
	expect(fixture, "want b@1 1x p0;");
	slots_pin(fixture->slots, "a@1");
	assert_false(slots_grant(fixture->slots, 500, "b@1"));
	slots_unpin(fixture->slots, 600, "a@1");
	expect(fixture, "want b@1 1x p0;");
	assert_true(slots_grant(fixture->slots, 600, "b@1"));
	expect(fixture, "out a@1;unload a@1@0;");
	slots_unload_ended(fixture->slots, 610, 0, TRUE);
	slots_load_ended(fixture->slots, 860, 0, TRUE);
	expect(fixture, "load b@1@0;in b@1;start 2@0;");
	fixture_destroy(fixture);
}

static void test_eviction_by_popularity_not_recency(void **state)
{
	fixture_t *fixture = fixture_create(2, 4, 8);

	make_resident(fixture, 0, "hot@1", 0);
	submit(fixture, 10, 1, "hot@1", 0);
	slots_request_ended(fixture->slots, 20, 1, TRUE);
	make_resident(fixture, 30, "cold@1", 1);
	submit(fixture, 40, 2, "new@1", 0);
	g_string_truncate(fixture->log, 0);
	slots_grant(fixture->slots, 50, "new@1");
	expect(fixture, "out cold@1;unload cold@1@1;");
	fixture_destroy(fixture);
}

static void test_recently_used_adapter_is_held(void **state)
{
	/* A reload takes long, so that hold_time is not shortened. */
	fixture_t *fixture = fixture_create_with_hold(1, 4, 8, 4000, 4000);

	make_resident(fixture, 0, "a@1", 0);
	submit(fixture, 100, 1, "b@1", 0);
	expect(fixture, "");
	assert_int_equal(slots_tick(fixture->slots, 100), 4000);
	slots_tick(fixture->slots, 3999);
	expect(fixture, "");
	slots_tick(fixture->slots, 4000);
	expect(fixture, "want b@1 1x p0;");
	fixture_destroy(fixture);
}

static void test_hold_is_bounded_by_reload_time(void **state)
{
	fixture_t *fixture = fixture_create_with_hold(1, 4, 8, 4000, 100);

	/* The grant and the load each take 50 ms, as estimated. */
	submit(fixture, 0, 1000, "a@1", 0);
	assert_true(slots_grant(fixture->slots, 50, "a@1"));
	slots_load_ended(fixture->slots, 100, 0, TRUE);
	slots_request_ended(fixture->slots, 100, 1000, TRUE);
	g_string_truncate(fixture->log, 0);
	submit(fixture, 110, 1, "b@1", 0);
	expect(fixture, "");
	slots_tick(fixture->slots, 499);
	expect(fixture, "");
	slots_tick(fixture->slots, 501);
	expect(fixture, "want b@1 1x p0;");
	fixture_destroy(fixture);
}

static void test_demoted_adapter_is_evicted_first(void **state)
{
	fixture_t *fixture = fixture_create(2, 4, 8);

	make_resident(fixture, 0, "hot@1", 0);
	submit(fixture, 10, 1, "hot@1", 0);
	slots_request_ended(fixture->slots, 20, 1, TRUE);
	make_resident(fixture, 30, "cold@1", 1);
	slots_demote(fixture->slots, 30, "hot@1");
	submit(fixture, 40, 2, "new@1", 0);
	g_string_truncate(fixture->log, 0);
	slots_grant(fixture->slots, 50, "new@1");
	expect(fixture, "out hot@1;unload hot@1@0;");
	fixture_destroy(fixture);
}

static void test_lower_priority_is_displaced(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 2);

	submit(fixture, 0, 1, "a@1", 1);
	submit(fixture, 1, 2, "a@1", 0);
	submit(fixture, 2, 3, "a@1", 0);
	submit(fixture, 3, 4, "a@1", 2);
	expect(fixture, "want a@1 1x p1;want a@1 2x p1;"
			"refuse 3 overloaded later;"
			"refuse 2 overloaded later;want a@1 2x p2;");
	fixture_destroy(fixture);
}

static void test_request_is_refused_if_load_misses_deadline(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);
	slots_request_t request = {
		.id = 1, .adapter = "a@1", .arrival = 0, .deadline = 200};

	/* The estimated load time exceeds the time to the deadline. */
	slots_submit(fixture->slots, 0, &request);
	expect(fixture, "refuse 1 overloaded later;");
	fixture_destroy(fixture);
}

static void test_queued_request_times_out(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);
	ms_t due;

	submit(fixture, 0, 1, "a@1", 0);
	due = slots_tick(fixture->slots, 0);
	assert_true(due > 0 && due < MS_NEVER);
	slots_tick(fixture->slots, due - 1);
	expect(fixture, "want a@1 1x p0;");
	slots_tick(fixture->slots, due);
	expect(fixture, "refuse 1 overloaded later;withdraw a@1;");
	fixture_destroy(fixture);
}

static void test_failed_loads_are_retried_then_refused(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);
	ms_t now = 0;
	int i;

	submit(fixture, now, 1, "a@1", 0);
	for (i = 0; i < 3; i++) {
		assert_true(slots_grant(fixture->slots, now, "a@1"));
		slots_load_ended(fixture->slots, now, 0, FALSE);
		assert_false(slots_grant(fixture->slots, now, "a@1"));
		if (i < 2)
			now = slots_tick(fixture->slots, now);
		slots_tick(fixture->slots, now);
	}
	expect(fixture,
	       "want a@1 1x p0;load a@1@0;want a@1 1x p0;load a@1@0;"
	       "want a@1 1x p0;load a@1@0;refuse 1 load_failed later;");
	fixture_destroy(fixture);
}

/*
 * A very slow load raises the estimate, so that requests are refused.  The
 * estimate must decay, since refused requests yield no new samples.
 */
static void test_load_time_estimate_decays(void **state)
{
	fixture_t *fixture = fixture_create(2, 1, 8);

	submit(fixture, 0, 1, "a@1", 0);
	slots_grant(fixture->slots, 0, "a@1");
	slots_load_ended(fixture->slots, 100000, 0, TRUE);
	submit(fixture, 100000, 2, "b@1", 0);
	expect(fixture, "want a@1 1x p0;load a@1@0;in a@1;start 1@0;"
			"refuse 2 overloaded later;");
	submit(fixture, 130000, 3, "b@1", 0);
	expect(fixture, "want b@1 1x p0;");
	fixture_destroy(fixture);
}

static void test_cancel(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);

	make_resident(fixture, 0, "a@1", 0);
	submit(fixture, 10, 1, "a@1", 0);
	submit(fixture, 10, 2, "a@1", 0);
	slots_cancel(fixture->slots, 20, 1);
	slots_cancel(fixture->slots, 20, 2);
	expect(fixture, "start 1@0;stop 1;refuse 2 cancelled;");
	slots_request_ended(fixture->slots, 30, 1, TRUE);
	assert_true(slots_is_idle(fixture->slots));
	fixture_destroy(fixture);
}

static void test_leaving_refuses_queued_and_new_requests(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);

	make_resident(fixture, 0, "a@1", 0);
	submit(fixture, 10, 1, "a@1", 0);
	submit(fixture, 10, 2, "a@1", 0);
	slots_start_leaving(fixture->slots, 20);
	submit(fixture, 30, 3, "a@1", 0);
	expect(fixture, "start 1@0;refuse 2 unavailable;refuse 3 unavailable;");
	assert_false(slots_is_idle(fixture->slots));
	slots_request_ended(fixture->slots, 40, 1, TRUE);
	assert_true(slots_is_idle(fixture->slots));
	fixture_destroy(fixture);
}

static void test_takeover_keeps_residents_until_idle(void **state)
{
	fixture_t *fixture = fixture_create(2, 1, 8);

	slots_quarantine(fixture->slots, 0, 1);
	slots_add_resident(fixture->slots, 0, 0, "a@1");
	submit(fixture, 10, 1, "b@1", 0);
	expect(fixture, "in a@1;");
	slots_clear_predecessor_busy(fixture->slots, 20, 0);
	expect(fixture, "want b@1 1x p0;");
	slots_release(fixture->slots, 30, 1);
	assert_true(slots_grant(fixture->slots, 40, "b@1"));
	expect(fixture, "load b@1@1;");
	slots_engine_restarted(fixture->slots, 50);
	expect(fixture, "out a@1;unused b@1;want b@1 1x p0;");
	fixture_destroy(fixture);
}

static void test_prefetch_keeps_adapter_in_demand(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);

	make_resident(fixture, 0, "a@1", 0);
	slots_expect_request(fixture->slots, 10, "b@1", 0.35);
	expect(fixture, "want b@1 0x p0 ahead;");
	assert_false(slots_grant(fixture->slots, 10, "b@1"));
	expect(fixture, "");
	fixture_destroy(fixture);
}

static void test_prefetch_follows_its_unload(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);

	make_resident(fixture, 0, "a@1", 0);
	slots_demote(fixture->slots, 10, "a@1");
	slots_expect_request(fixture->slots, 10, "b@1", 0.35);
	expect(fixture, "want b@1 0x p0 ahead;");
	assert_true(slots_grant(fixture->slots, 20, "b@1"));
	expect(fixture, "out a@1;unload a@1@0;");
	slots_unload_ended(fixture->slots, 30, 0, TRUE);
	expect(fixture, "load b@1@0;");
	fixture_destroy(fixture);
}

static void test_late_unload_cancels_prefetch(void **state)
{
	fixture_t *fixture = fixture_create(1, 1, 8);

	make_resident(fixture, 0, "a@1", 0);
	slots_demote(fixture->slots, 10, "a@1");
	slots_expect_request(fixture->slots, 10, "b@1", 0.35);
	expect(fixture, "want b@1 0x p0 ahead;");
	assert_true(slots_grant(fixture->slots, 20, "b@1"));
	expect(fixture, "out a@1;unload a@1@0;");
	slots_unload_ended(fixture->slots, 60000, 0, TRUE);
	expect(fixture, "unused b@1;");
	fixture_destroy(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_load_serves_all_waiting_requests),
		cmocka_unit_test(test_serving_adapter_is_not_unloaded),
		cmocka_unit_test(test_eviction_by_popularity_not_recency),
		cmocka_unit_test(test_recently_used_adapter_is_held),
		cmocka_unit_test(test_hold_is_bounded_by_reload_time),
		cmocka_unit_test(test_demoted_adapter_is_evicted_first),
		cmocka_unit_test(test_lower_priority_is_displaced),
		cmocka_unit_test(
			test_request_is_refused_if_load_misses_deadline),
		cmocka_unit_test(test_queued_request_times_out),
		cmocka_unit_test(test_failed_loads_are_retried_then_refused),
		cmocka_unit_test(test_load_time_estimate_decays),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_leaving_refuses_queued_and_new_requests),
		cmocka_unit_test(test_takeover_keeps_residents_until_idle),
		cmocka_unit_test(test_prefetch_keeps_adapter_in_demand),
		cmocka_unit_test(test_prefetch_follows_its_unload),
		cmocka_unit_test(test_late_unload_cancels_prefetch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
