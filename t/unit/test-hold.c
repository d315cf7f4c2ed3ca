/* Orders of the adapter cache to one engine. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "hold/adapter_cache.h"

#define SLOTS	 2
#define LOAD_MS	 250
#define AGAIN_MS 25

/* Records the actions of the cache. */
typedef struct {
	int orders;
	cache_order_kind_t kind;
	char adapter[32];
	int64_t sequence;
	int reports;
	GString *events;
} recorder_t;

static void send_order(void *ctx, const cache_order_t *order)
{
	recorder_t *recorder = ctx;

	recorder->orders++;
	recorder->kind = order->kind;
	recorder->sequence = order->sequence;
	g_snprintf(recorder->adapter, sizeof(recorder->adapter), "%s",
		   order->adapter ? order->adapter : "");
}

static void ask_report(void *ctx)
{
	((recorder_t *)ctx)->reports++;
}

static void ready(void *ctx, const char *adapter, int64_t version)
{
	g_string_append_printf(((recorder_t *)ctx)->events, "ready %s@%d;",
			       adapter, (int)version);
}

static void dropped(void *ctx, const char *adapter)
{
	g_string_append_printf(((recorder_t *)ctx)->events, "dropped %s;",
			       adapter);
}

static void refused(void *ctx, const char *adapter)
{
	g_string_append_printf(((recorder_t *)ctx)->events, "refused %s;",
			       adapter);
}

static const cache_actions_t actions = {send_order, ask_report, ready, dropped,
					refused};

static adapter_cache_t *create(recorder_t *recorder)
{
	static const cache_options_t options = {
		.slot_count = SLOTS,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 4,
	};

	memset(recorder, 0, sizeof(*recorder));
	recorder->events = g_string_new(NULL);
	return adapter_cache_create(&options, &actions, recorder);
}

static void destroy(adapter_cache_t *cache, recorder_t *recorder)
{
	adapter_cache_destroy(cache);
	g_string_free(recorder->events, TRUE);
}

/* Reports an engine with a base model that has accepted sequence orders. */
static void report(adapter_cache_t *cache, ms_t now, int64_t sequence,
		   const cache_resident_t *residents, guint count)
{
	const cache_report_t cache_report = {.sequence = sequence,
					     .has_model = TRUE,
					     .residents = residents,
					     .count = count};

	adapter_cache_handle_report(cache, now, &cache_report);
}

static void request(adapter_cache_t *cache, ms_t now, const char *adapter)
{
	int64_t resident;

	adapter_cache_request(cache, now, adapter, 0, &resident);
}

static void expect_order(recorder_t *recorder, int count,
			 cache_order_kind_t kind, const char *adapter,
			 int64_t sequence)
{
	assert_int_equal(recorder->orders, count);
	assert_int_equal(recorder->kind, kind);
	assert_string_equal(recorder->adapter, adapter);
	assert_int_equal(recorder->sequence, sequence);
}

static void expect_events(recorder_t *recorder, const char *text)
{
	assert_string_equal(recorder->events->str, text);
	g_string_truncate(recorder->events, 0);
}

/* Two loads, then one that needs an eviction, and a fast reload. */
static void test_load_and_evict(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);

	adapter_cache_tick(cache, 0, TRUE);
	assert_int_equal(recorder.reports, 1);
	request(cache, 0, "m/a");
	/* No order is sent before the first report. */
	adapter_cache_tick(cache, 5, TRUE);
	assert_int_equal(recorder.orders, 0);
	report(cache, 10, 7, NULL, 0);
	adapter_cache_tick(cache, 10, TRUE);
	expect_order(&recorder, 1, CACHE_ORDER_LOAD, "m/a", 7);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 12 + LOAD_MS - 1, TRUE);
	expect_events(&recorder, "");
	adapter_cache_tick(cache, 12 + LOAD_MS, TRUE);
	expect_events(&recorder, "ready m/a@1;");

	request(cache, 300, "m/b");
	adapter_cache_tick(cache, 300, TRUE);
	expect_order(&recorder, 2, CACHE_ORDER_LOAD, "m/b", 8);
	adapter_cache_handle_answer(cache, 302, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 302 + LOAD_MS, TRUE);
	expect_events(&recorder, "ready m/b@1;");

	/* An adapter in use is not evicted. */
	adapter_cache_use(cache, 600, "m/a");
	request(cache, 700, "m/c");
	adapter_cache_tick(cache, 700, TRUE);
	expect_order(&recorder, 3, CACHE_ORDER_UNLOAD, "m/b", 9);
	expect_events(&recorder, "dropped m/b;");
	adapter_cache_handle_answer(cache, 702, CACHE_ANSWER_DONE);
	adapter_cache_tick(cache, 710, TRUE);
	expect_order(&recorder, 4, CACHE_ORDER_LOAD, "m/c", 10);
	adapter_cache_handle_answer(cache, 712, CACHE_ANSWER_ACCEPTED);
	adapter_cache_use(cache, 712, "m/c");

	/* Both are in use: the request waits, and nothing is evicted for it. */
	adapter_cache_tick(cache, 712 + LOAD_MS, TRUE);
	g_string_truncate(recorder.events, 0);
	request(cache, 1000, "m/d");
	assert_true(adapter_cache_estimate_slot_wait(cache, "m/d") > 0);
	adapter_cache_tick(cache, 1000, TRUE);
	expect_events(&recorder, "");
	assert_int_equal(recorder.orders, 4);
	adapter_cache_cancel(cache, "m/d");

	/* A recently unloaded adapter is loaded ten times as fast. */
	adapter_cache_release(cache, 1100, "m/c");
	request(cache, 1100, "m/b");
	adapter_cache_tick(cache, 1100, TRUE);
	expect_order(&recorder, 5, CACHE_ORDER_UNLOAD, "m/c", 11);
	adapter_cache_handle_answer(cache, 1102, CACHE_ANSWER_DONE);
	adapter_cache_tick(cache, 1110, TRUE);
	adapter_cache_handle_answer(cache, 1112, CACHE_ANSWER_ACCEPTED);
	g_string_truncate(recorder.events, 0);
	adapter_cache_tick(cache, 1112 + AGAIN_MS, TRUE);
	expect_events(&recorder, "ready m/b@1;");
	destroy(cache, &recorder);
}

/*
 * An order without an answer is sent again with the same sequence number until
 * a report shows its outcome.
 */
static void test_order_without_answer(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	const cache_resident_t loading = {"m/a", 1, TRUE};

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 3, NULL, 0);
	request(cache, 0, "m/a");
	request(cache, 1, "m/b");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 110, CACHE_ANSWER_UNKNOWN);
	adapter_cache_tick(cache, 140, TRUE);
	report(cache, 141, 3, NULL, 0);
	adapter_cache_tick(cache, 150, TRUE);
	expect_order(&recorder, 2, CACHE_ORDER_LOAD, "m/a", 3);
	adapter_cache_handle_answer(cache, 152, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 180, TRUE);
	/* The first attempt was executed meanwhile; the next order follows. */
	report(cache, 181, 4, &loading, 1);
	adapter_cache_tick(cache, 190, TRUE);
	expect_order(&recorder, 3, CACHE_ORDER_LOAD, "m/b", 4);
	destroy(cache, &recorder);
}

/*
 * An unload order for an adapter that the engine no longer held left the
 * cache's sequence number one too high, and the engine refused each later
 * order.  The cache must adopt a lower number from a report that is not older
 * than its last accepted order.
 */
static void test_sequence_too_high(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 15, NULL, 0);
	request(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	request(cache, 20, "m/b");
	adapter_cache_tick(cache, 20, TRUE);
	expect_order(&recorder, 2, CACHE_ORDER_LOAD, "m/b", 16);
	adapter_cache_handle_answer(cache, 22, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 60, TRUE);
	/* This report may be older than the accepted order. */
	report(cache, 61, 15, NULL, 0);
	adapter_cache_tick(cache, 70, TRUE);
	adapter_cache_handle_answer(cache, 72, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 600, FALSE);
	/* This report is not older. */
	report(cache, 601, 15, NULL, 0);
	adapter_cache_tick(cache, 620, TRUE);
	assert_int_equal(recorder.sequence, 15);
	destroy(cache, &recorder);
}

/*
 * The holder's lease ends while a request waits behind four loads: the request
 * is refused at once, and the four loads still complete.
 */
static void test_orders_end(void **state)
{
	static const char *const names[] = {"m/a", "m/b", "m/c", "m/d", "m/e"};
	static const cache_options_t options = {
		.slot_count = 8,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 4,
	};
	recorder_t recorder;
	adapter_cache_t *cache;
	ms_t now = 10;
	int i;

	memset(&recorder, 0, sizeof(recorder));
	recorder.events = g_string_new(NULL);
	cache = adapter_cache_create(&options, &actions, &recorder);
	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	for (i = 0; i < 5; i++, now += 2) {
		request(cache, now, names[i]);
		adapter_cache_tick(cache, now, TRUE);
		if (i < CACHE_LOADS_MAX)
			adapter_cache_handle_answer(cache, now + 1,
						    CACHE_ANSWER_ACCEPTED);
	}
	assert_int_equal(recorder.orders, CACHE_LOADS_MAX);
	expect_events(&recorder, "");
	adapter_cache_tick(cache, now, FALSE);
	expect_events(&recorder, "refused m/e;");
	adapter_cache_tick(cache, now + LOAD_MS, FALSE);
	expect_events(&recorder,
		      "ready m/a@1;ready m/b@1;ready m/c@1;ready m/d@1;");
	destroy(cache, &recorder);
}

/* An adapter is missing as its load is late, or as the engine dropped it. */
static void test_adapter_missing(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	const cache_resident_t loading = {"m/a", 1, TRUE};
	const cache_resident_t confirmed = {"m/a", 1, FALSE};

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	request(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 12 + LOAD_MS, TRUE);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	adapter_cache_note_missing(cache, 300, "m/a");
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	recorder.reports = 0;
	adapter_cache_tick(cache, 301, TRUE);
	assert_int_equal(recorder.reports, 1);
	report(cache, 303, 1, &loading, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	report(cache, 400, 1, &confirmed, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	/*
	 * It was confirmed resident, and a report shows that it is gone.
	 * Guards against requests that are admitted again before the report.
	 */
	adapter_cache_note_missing(cache, 5000, "m/a");
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	adapter_cache_tick(cache, 5001, TRUE);
	report(cache, 5003, 1, NULL, 0);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	destroy(cache, &recorder);
}

/* A newer version is declared: the older one is not used and is replaced. */
static void test_newer_version(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	const cache_resident_t confirmed = {"m/a", 1, FALSE};
	int64_t resident;

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, &confirmed, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	adapter_cache_require_version(cache, 10, "m/a", 2);
	assert_true(strstr(recorder.events->str, "dropped m/a;") != NULL);
	assert_false(adapter_cache_request(cache, 11, "m/a", 0, &resident));
	adapter_cache_tick(cache, 20, TRUE);
	expect_order(&recorder, 1, CACHE_ORDER_LOAD, "m/a", 0);
	adapter_cache_handle_answer(cache, 22, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 22 + LOAD_MS, TRUE);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 2);
	destroy(cache, &recorder);
}

/* An engine starts empty: its base model is ordered once. */
static void test_base_model(void **state)
{
	const cache_report_t empty = {.sequence = 0};
	const cache_report_t busy = {.sequence = 1, .is_busy = TRUE};
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	ms_t now;

	adapter_cache_tick(cache, 0, TRUE);
	adapter_cache_handle_report(cache, 0, &empty);
	request(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	expect_order(&recorder, 1, CACHE_ORDER_LOAD_MODEL, "", 0);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	for (now = 20; now < 2000; now += 10) {
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_report(cache, now, &busy);
	}
	assert_int_equal(recorder.orders, 1);
	report(cache, now, 1, NULL, 0);
	adapter_cache_tick(cache, now + 10, TRUE);
	expect_order(&recorder, 2, CACHE_ORDER_LOAD, "m/a", 1);
	destroy(cache, &recorder);
}

/* The estimated wait for a load grows with the loads ahead of it. */
static void test_load_wait(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	int i;

	assert_int_equal(adapter_cache_estimate_load_wait(cache, "m/x"),
			 LOAD_MS);
	for (i = 0; i < 10; i++) {
		char *name = g_strdup_printf("m/%d", i);

		request(cache, 0, name);
		g_free(name);
	}
	/* At first all engines are assumed to load as much as this one. */
	assert_in_range(adapter_cache_estimate_load_wait(cache, "m/x"),
			10 * LOAD_MS / 4, 10 * LOAD_MS / 4 + LOAD_MS);
	for (i = 0; i < 10; i++) {
		char *name = g_strdup_printf("m/%d", i);

		adapter_cache_cancel(cache, name);
		g_free(name);
	}
	assert_int_equal(adapter_cache_estimate_load_wait(cache, "m/x"),
			 LOAD_MS);
	destroy(cache, &recorder);
}

/* Loads two adapters at once; returns the time until the second is usable. */
static ms_t load_pair(adapter_cache_t *cache, recorder_t *recorder, ms_t now,
		      int64_t sequence, gboolean is_early)
{
	char *names[2];
	cache_resident_t confirmed[2];
	ms_t ready_at = now;
	int i;

	for (i = 0; i < 2; i++) {
		names[i] = g_strdup_printf("m/%d", (int)sequence + i);
		confirmed[i] = (cache_resident_t){names[i], 1, FALSE};
		request(cache, now, names[i]);
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
	}
	if (is_early)
		report(cache, now + LOAD_MS, sequence + 2, confirmed, 2);
	while (!adapter_cache_version(cache, names[1]))
		adapter_cache_tick(cache, ++ready_at, FALSE);
	report(cache, ready_at + 1, sequence + 2, NULL, 0);
	for (i = 0; i < 2; i++)
		g_free(names[i]);
	return ready_at - now;
}

/* Loads two adapters at once, the second of which is late. */
static void load_pair_late(adapter_cache_t *cache, ms_t now, int64_t sequence)
{
	char *name = g_strdup_printf("m/late%d", (int)sequence);

	request(cache, now, "m/beside");
	request(cache, now, name);
	adapter_cache_tick(cache, now, TRUE);
	adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, now, TRUE);
	adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, now + 3 * LOAD_MS, FALSE);
	adapter_cache_note_missing(cache, now + 3 * LOAD_MS, name);
	report(cache, now + 5 * LOAD_MS, sequence + 2, NULL, 0);
	g_free(name);
}

/*
 * Many engines share one store.  While only this one loads several adapters at
 * once, they take no longer than one alone, and requests must not wait for a
 * report, or be refused.  When all engines load, loads are late, and the
 * estimate of contention rises; once reports show early loads it falls again.
 */
static void test_contention_estimate(void **state)
{
	static const cache_options_t options = {
		.slot_count = 8,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 0.8,
	};
	recorder_t recorder = {.events = g_string_new(NULL)};
	adapter_cache_t *cache =
		adapter_cache_create(&options, &actions, &recorder);
	ms_t now = 0;
	int64_t sequence = 0;
	int i;

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	assert_in_range(load_pair(cache, &recorder, now, sequence, FALSE),
			LOAD_MS, LOAD_MS * 1.1);
	for (i = 0; i < 4; i++)
		request(cache, now + 5000, i < 2 ? "m/x" : "m/y");
	assert_in_range(adapter_cache_estimate_load_wait(cache, "m/z"), LOAD_MS,
			2 * LOAD_MS);
	adapter_cache_cancel(cache, "m/x");
	adapter_cache_cancel(cache, "m/y");

	for (i = 0; i < 4; i++) {
		now += 10000;
		sequence += 2;
		load_pair_late(cache, now, sequence);
	}
	now += 10000;
	sequence += 2;
	assert_in_range(load_pair(cache, &recorder, now, sequence, FALSE),
			LOAD_MS * 2, LOAD_MS * 2 / 0.8 + 1);

	for (i = 0; i < 12; i++) {
		now += 10000;
		sequence += 2;
		load_pair(cache, &recorder, now, sequence, TRUE);
	}
	now += 10000;
	sequence += 2;
	assert_in_range(load_pair(cache, &recorder, now, sequence, FALSE),
			LOAD_MS, LOAD_MS * 1.1);
	destroy(cache, &recorder);
}

/* Makes the adapters m/a and m/b resident and in use since 1000. */
static void fill_slots(adapter_cache_t *cache)
{
	static const cache_resident_t residents[] = {{"m/a", 1, FALSE},
						     {"m/b", 1, FALSE}};

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 7, residents, 2);
	adapter_cache_use(cache, 1000, "m/a");
	adapter_cache_use(cache, 1000, "m/b");
}

/*
 * More adapters in use than slots, as with few slots and many rare adapters: a
 * request takes the slot of the first adapter that is no longer in use, the
 * oldest request first.
 */
static void test_waits_for_slot(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);

	fill_slots(cache);
	request(cache, 1100, "m/c");
	request(cache, 1200, "m/d");
	adapter_cache_tick(cache, 1200, TRUE);
	assert_int_equal(recorder.orders, 0);
	adapter_cache_release(cache, 1400, "m/b");
	adapter_cache_tick(cache, 1400, TRUE);
	expect_order(&recorder, 1, CACHE_ORDER_UNLOAD, "m/b", 7);
	adapter_cache_handle_answer(cache, 1402, CACHE_ANSWER_DONE);
	adapter_cache_tick(cache, 1402, TRUE);
	expect_order(&recorder, 2, CACHE_ORDER_LOAD, "m/c", 8);
	destroy(cache, &recorder);
}

/* A newer version takes the slot of the older one, ahead of waiting requests.
 */
static void test_new_version_needs_no_slot(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);

	fill_slots(cache);
	request(cache, 1100, "m/c");
	adapter_cache_require_version(cache, 1200, "m/a", 2);
	adapter_cache_tick(cache, 1200, TRUE);
	expect_order(&recorder, 1, CACHE_ORDER_LOAD, "m/a", 7);
	destroy(cache, &recorder);
}

/*
 * The expected wait for a slot follows from how long adapters are in use, and
 * from the requests ahead.
 */
static void test_slot_wait(void **state)
{
	recorder_t recorder;
	adapter_cache_t *cache = create(&recorder);
	ms_t now = 2000;
	int i;

	assert_int_equal(adapter_cache_estimate_slot_wait(cache, "m/c"), 0);
	fill_slots(cache);
	assert_int_equal(adapter_cache_estimate_slot_wait(cache, "m/a"), 0);
	assert_int_equal(adapter_cache_estimate_slot_wait(cache, "m/c"),
			 CACHE_INITIAL_USE_MS / SLOTS);
	for (i = 0; i < 200; i++, now += 400) {
		adapter_cache_release(cache, now, "m/b");
		assert_int_equal(adapter_cache_estimate_slot_wait(cache, "m/c"),
				 0);
		adapter_cache_use(cache, now, "m/b");
	}
	assert_in_range(adapter_cache_estimate_slot_wait(cache, "m/c"), 195,
			205);
	request(cache, now, "m/c");
	assert_in_range(adapter_cache_estimate_slot_wait(cache, "m/c"), 195,
			205);
	assert_in_range(adapter_cache_estimate_slot_wait(cache, "m/d"), 390,
			410);
	destroy(cache, &recorder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_and_evict),
		cmocka_unit_test(test_order_without_answer),
		cmocka_unit_test(test_sequence_too_high),
		cmocka_unit_test(test_orders_end),
		cmocka_unit_test(test_adapter_missing),
		cmocka_unit_test(test_newer_version),
		cmocka_unit_test(test_base_model),
		cmocka_unit_test(test_load_wait),
		cmocka_unit_test(test_contention_estimate),
		cmocka_unit_test(test_waits_for_slot),
		cmocka_unit_test(test_new_version_needs_no_slot),
		cmocka_unit_test(test_slot_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
