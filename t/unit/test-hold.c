/* Which adapters an engine is ordered to hold. */

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

/* What the cache asked for. */
typedef struct {
	int orders;
	cache_order_kind_t kind;
	char adapter[32];
	int64_t sequence;
	int reports;
	GString *told;
} seen_t;

static void send_order(void *ctx, const cache_order_t *order)
{
	seen_t *seen = ctx;

	seen->orders++;
	seen->kind = order->kind;
	seen->sequence = order->sequence;
	g_snprintf(seen->adapter, sizeof(seen->adapter), "%s",
		   order->adapter ? order->adapter : "");
}

static void ask_report(void *ctx)
{
	((seen_t *)ctx)->reports++;
}

static void ready(void *ctx, const char *adapter, int64_t version)
{
	g_string_append_printf(((seen_t *)ctx)->told, "ready %s@%d;", adapter,
			       (int)version);
}

static void dropped(void *ctx, const char *adapter)
{
	g_string_append_printf(((seen_t *)ctx)->told, "dropped %s;", adapter);
}

static void refused(void *ctx, const char *adapter)
{
	g_string_append_printf(((seen_t *)ctx)->told, "refused %s;", adapter);
}

static const cache_actions_t actions = {send_order, ask_report, ready, dropped,
					refused};

static adapter_cache_t *create(seen_t *seen)
{
	static const cache_options_t options = {
		.slot_count = SLOTS,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 4,
	};

	memset(seen, 0, sizeof(*seen));
	seen->told = g_string_new(NULL);
	return adapter_cache_create(&options, &actions, seen);
}

static void destroy(adapter_cache_t *cache, seen_t *seen)
{
	adapter_cache_destroy(cache);
	g_string_free(seen->told, TRUE);
}

/* An engine with its base model that accepted so many orders. */
static void report(adapter_cache_t *cache, ms_t now, int64_t sequence,
		   const cache_resident_t *residents, guint count)
{
	const cache_report_t at = {.sequence = sequence,
				   .has_model = TRUE,
				   .residents = residents,
				   .count = count};

	adapter_cache_handle_report(cache, now, &at);
}

static void want(adapter_cache_t *cache, ms_t now, const char *adapter)
{
	int64_t resident;

	adapter_cache_request(cache, now, adapter, 0, &resident);
}

static void expect_order(seen_t *seen, int count, cache_order_kind_t kind,
			 const char *adapter, int64_t sequence)
{
	assert_int_equal(seen->orders, count);
	assert_int_equal(seen->kind, kind);
	assert_string_equal(seen->adapter, adapter);
	assert_int_equal(seen->sequence, sequence);
}

static void expect_told(seen_t *seen, const char *text)
{
	assert_string_equal(seen->told->str, text);
	g_string_truncate(seen->told, 0);
}

/* A cold and a hot load, then one that needs room. */
static void test_load_and_make_room(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);

	adapter_cache_tick(cache, 0, TRUE);
	assert_int_equal(seen.reports, 1);
	want(cache, 0, "m/a");
	/* Nothing is ordered before a report. */
	adapter_cache_tick(cache, 5, TRUE);
	assert_int_equal(seen.orders, 0);
	report(cache, 10, 7, NULL, 0);
	adapter_cache_tick(cache, 10, TRUE);
	expect_order(&seen, 1, CACHE_ORDER_LOAD, "m/a", 7);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 12 + LOAD_MS - 1, TRUE);
	expect_told(&seen, "");
	adapter_cache_tick(cache, 12 + LOAD_MS, TRUE);
	expect_told(&seen, "ready m/a@1;");

	want(cache, 300, "m/b");
	adapter_cache_tick(cache, 300, TRUE);
	expect_order(&seen, 2, CACHE_ORDER_LOAD, "m/b", 8);
	adapter_cache_handle_answer(cache, 302, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 302 + LOAD_MS, TRUE);
	expect_told(&seen, "ready m/b@1;");

	/* The one that is in use stays. */
	adapter_cache_use(cache, 600, "m/a");
	want(cache, 700, "m/c");
	adapter_cache_tick(cache, 700, TRUE);
	expect_order(&seen, 3, CACHE_ORDER_UNLOAD, "m/b", 9);
	expect_told(&seen, "dropped m/b;");
	adapter_cache_handle_answer(cache, 702, CACHE_ANSWER_DONE);
	adapter_cache_tick(cache, 710, TRUE);
	expect_order(&seen, 4, CACHE_ORDER_LOAD, "m/c", 10);
	adapter_cache_handle_answer(cache, 712, CACHE_ANSWER_ACCEPTED);
	adapter_cache_use(cache, 712, "m/c");

	/* Both are in use: no room, told at once. */
	adapter_cache_tick(cache, 712 + LOAD_MS, TRUE);
	g_string_truncate(seen.told, 0);
	want(cache, 1000, "m/d");
	adapter_cache_tick(cache, 1000, TRUE);
	expect_told(&seen, "refused m/d;");
	assert_int_equal(seen.orders, 4);

	/* Held before, it is back ten times as fast. */
	adapter_cache_release(cache, 1100, "m/c");
	want(cache, 1100, "m/b");
	adapter_cache_tick(cache, 1100, TRUE);
	expect_order(&seen, 5, CACHE_ORDER_UNLOAD, "m/c", 11);
	adapter_cache_handle_answer(cache, 1102, CACHE_ANSWER_DONE);
	adapter_cache_tick(cache, 1110, TRUE);
	adapter_cache_handle_answer(cache, 1112, CACHE_ANSWER_ACCEPTED);
	g_string_truncate(seen.told, 0);
	adapter_cache_tick(cache, 1112 + AGAIN_MS, TRUE);
	expect_told(&seen, "ready m/b@1;");
	destroy(cache, &seen);
}

/* No answer: the same order again, with the same number, until it is seen. */
static void test_order_without_answer(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);
	const cache_resident_t coming = {"m/a", 1, TRUE};

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 3, NULL, 0);
	want(cache, 0, "m/a");
	want(cache, 1, "m/b");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 110, CACHE_ANSWER_UNKNOWN);
	adapter_cache_tick(cache, 140, TRUE);
	report(cache, 141, 3, NULL, 0);
	adapter_cache_tick(cache, 150, TRUE);
	expect_order(&seen, 2, CACHE_ORDER_LOAD, "m/a", 3);
	adapter_cache_handle_answer(cache, 152, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 180, TRUE);
	/* The first one was carried out meanwhile: on to the next. */
	report(cache, 181, 4, &coming, 1);
	adapter_cache_tick(cache, 190, TRUE);
	expect_order(&seen, 3, CACHE_ORDER_LOAD, "m/b", 4);
	destroy(cache, &seen);
}

/*
 * Seen on the users' bench: an unload of what was gone left the count of orders
 * one too high, and each later order was refused for the rest of the day.
 */
static void test_count_too_high(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 15, NULL, 0);
	want(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	want(cache, 20, "m/b");
	adapter_cache_tick(cache, 20, TRUE);
	expect_order(&seen, 2, CACHE_ORDER_LOAD, "m/b", 16);
	adapter_cache_handle_answer(cache, 22, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 60, TRUE);
	/* This may be older than the accepted order. */
	report(cache, 61, 15, NULL, 0);
	adapter_cache_tick(cache, 70, TRUE);
	adapter_cache_handle_answer(cache, 72, CACHE_ANSWER_STALE);
	adapter_cache_tick(cache, 600, FALSE);
	/* This is not. */
	report(cache, 601, 15, NULL, 0);
	adapter_cache_tick(cache, 620, TRUE);
	assert_int_equal(seen.sequence, 15);
	destroy(cache, &seen);
}

/*
 * The holder's lease ends while a want waits behind four loads: it is refused
 * at once, and what is on its way is still awaited.
 */
static void test_no_more_orders(void **state)
{
	static const char *const names[] = {"m/a", "m/b", "m/c", "m/d", "m/e"};
	static const cache_options_t options = {
		.slot_count = 8,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 4,
	};
	seen_t seen;
	adapter_cache_t *cache;
	ms_t now = 10;
	int i;

	memset(&seen, 0, sizeof(seen));
	seen.told = g_string_new(NULL);
	cache = adapter_cache_create(&options, &actions, &seen);
	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	for (i = 0; i < 5; i++, now += 2) {
		want(cache, now, names[i]);
		adapter_cache_tick(cache, now, TRUE);
		if (i < CACHE_COMING_MAX)
			adapter_cache_handle_answer(cache, now + 1,
						    CACHE_ANSWER_ACCEPTED);
	}
	assert_int_equal(seen.orders, CACHE_COMING_MAX);
	expect_told(&seen, "");
	adapter_cache_tick(cache, now, FALSE);
	expect_told(&seen, "refused m/e;");
	adapter_cache_tick(cache, now + LOAD_MS, FALSE);
	expect_told(&seen, "ready m/a@1;ready m/b@1;ready m/c@1;ready m/d@1;");
	destroy(cache, &seen);
}

/* A request came too early, or what was there is gone. */
static void test_missing(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);
	const cache_resident_t coming = {"m/a", 1, TRUE};
	const cache_resident_t there = {"m/a", 1, FALSE};

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	want(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 12 + LOAD_MS, TRUE);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	adapter_cache_note_missing(cache, 300, "m/a");
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	seen.reports = 0;
	adapter_cache_tick(cache, 301, TRUE);
	assert_int_equal(seen.reports, 1);
	report(cache, 303, 1, &coming, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	report(cache, 400, 1, &there, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	/* It was there for certain, and a report shows that it is not. */
	adapter_cache_note_missing(cache, 5000, "m/a");
	adapter_cache_tick(cache, 5001, TRUE);
	report(cache, 5003, 1, NULL, 0);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 0);
	destroy(cache, &seen);
}

/* A newer version: the older one is used no more, and is replaced. */
static void test_newer_version(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);
	const cache_resident_t there = {"m/a", 1, FALSE};
	int64_t resident;

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, &there, 1);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 1);
	adapter_cache_require_version(cache, 10, "m/a", 2);
	assert_true(strstr(seen.told->str, "dropped m/a;") != NULL);
	assert_false(adapter_cache_request(cache, 11, "m/a", 0, &resident));
	adapter_cache_tick(cache, 20, TRUE);
	expect_order(&seen, 1, CACHE_ORDER_LOAD, "m/a", 0);
	adapter_cache_handle_answer(cache, 22, CACHE_ANSWER_ACCEPTED);
	adapter_cache_tick(cache, 22 + LOAD_MS, TRUE);
	assert_int_equal(adapter_cache_version(cache, "m/a"), 2);
	destroy(cache, &seen);
}

/* An engine that started empty: its base model is ordered once. */
static void test_base_model(void **state)
{
	const cache_report_t empty = {.sequence = 0};
	const cache_report_t busy = {.sequence = 1, .is_busy = TRUE};
	seen_t seen;
	adapter_cache_t *cache = create(&seen);
	ms_t now;

	adapter_cache_tick(cache, 0, TRUE);
	adapter_cache_handle_report(cache, 0, &empty);
	want(cache, 0, "m/a");
	adapter_cache_tick(cache, 10, TRUE);
	expect_order(&seen, 1, CACHE_ORDER_LOAD_MODEL, "", 0);
	adapter_cache_handle_answer(cache, 12, CACHE_ANSWER_ACCEPTED);
	for (now = 20; now < 2000; now += 10) {
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_report(cache, now, &busy);
	}
	assert_int_equal(seen.orders, 1);
	report(cache, now, 1, NULL, 0);
	adapter_cache_tick(cache, now + 10, TRUE);
	expect_order(&seen, 2, CACHE_ORDER_LOAD, "m/a", 1);
	destroy(cache, &seen);
}

/* The store of weights is the bound: the wait for one more load is told. */
static void test_load_wait(void **state)
{
	seen_t seen;
	adapter_cache_t *cache = create(&seen);
	int i;

	assert_int_equal(adapter_cache_estimate_load_wait(cache, "m/x"),
			 LOAD_MS);
	for (i = 0; i < 10; i++) {
		char *name = g_strdup_printf("m/%d", i);

		want(cache, 0, name);
		g_free(name);
	}
	/* All engines load as much, and the store carries four for each. */
	assert_in_range(adapter_cache_estimate_load_wait(cache, "m/x"),
			10 * LOAD_MS / 4, 10 * LOAD_MS / 4 + LOAD_MS);
	for (i = 0; i < 10; i++) {
		char *name = g_strdup_printf("m/%d", i);

		adapter_cache_cancel(cache, name);
		g_free(name);
	}
	assert_int_equal(adapter_cache_estimate_load_wait(cache, "m/x"),
			 LOAD_MS);
	destroy(cache, &seen);
}

/* Load two adapters beside each other; returns when the second is usable. */
static ms_t load_two(adapter_cache_t *cache, seen_t *seen, ms_t now,
		     int64_t sequence, gboolean is_early)
{
	char *names[2];
	cache_resident_t there[2];
	ms_t due = now;
	int i;

	for (i = 0; i < 2; i++) {
		names[i] = g_strdup_printf("m/%d", (int)sequence + i);
		there[i] = (cache_resident_t){names[i], 1, FALSE};
		want(cache, now, names[i]);
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
	}
	if (is_early)
		report(cache, now + LOAD_MS, sequence + 2, there, 2);
	while (!adapter_cache_version(cache, names[1]))
		adapter_cache_tick(cache, ++due, FALSE);
	report(cache, due + 1, sequence + 2, NULL, 0);
	for (i = 0; i < 2; i++)
		g_free(names[i]);
	return due - now;
}

/*
 * Load: many engines before one store, of which only this one loads several
 * adapters at once.  The loads take no longer than one alone; once that was
 * seen, requests no longer wait for a report, or are refused.  When loads are
 * late the store is taken to be crowded again.
 */
static void test_quiet_fleet(void **state)
{
	static const cache_options_t options = {
		.slot_count = 8,
		.load_time = LOAD_MS,
		.again_time = AGAIN_MS,
		.loads_per_engine = 0.8,
	};
	seen_t seen = {.told = g_string_new(NULL)};
	adapter_cache_t *cache =
		adapter_cache_create(&options, &actions, &seen);
	ms_t now = 0;
	int64_t sequence = 0;
	ms_t first;
	ms_t quiet;
	int i;

	adapter_cache_tick(cache, 0, TRUE);
	report(cache, 0, 0, NULL, 0);
	first = load_two(cache, &seen, now, sequence, FALSE);
	assert_int_equal(first, LOAD_MS * 2 / 0.8);
	for (i = 0; i < 12; i++) {
		now += 10000;
		sequence += 2;
		load_two(cache, &seen, now, sequence, TRUE);
	}
	now += 10000;
	sequence += 2;
	quiet = load_two(cache, &seen, now, sequence, FALSE);
	assert_in_range(quiet, LOAD_MS, LOAD_MS * 1.1);
	for (i = 0; i < 4; i++)
		want(cache, now + 5000, i < 2 ? "m/x" : "m/y");
	assert_in_range(adapter_cache_estimate_load_wait(cache, "m/z"), LOAD_MS,
			2 * LOAD_MS);

	/* A wave at all engines: what is presumed there is not. */
	adapter_cache_cancel(cache, "m/x");
	adapter_cache_cancel(cache, "m/y");
	for (i = 0; i < 4; i++) {
		char *name = g_strdup_printf("m/late%d", i);

		now += 10000;
		want(cache, now, "m/beside");
		want(cache, now, name);
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
		adapter_cache_tick(cache, now, TRUE);
		adapter_cache_handle_answer(cache, now, CACHE_ANSWER_ACCEPTED);
		sequence += 2;
		adapter_cache_tick(cache, now + 2 * LOAD_MS, FALSE);
		adapter_cache_note_missing(cache, now + 2 * LOAD_MS, name);
		report(cache, now + 4 * LOAD_MS, sequence + 2, NULL, 0);
		g_free(name);
	}
	now += 10000;
	sequence += 2;
	assert_in_range(load_two(cache, &seen, now, sequence, FALSE),
			LOAD_MS * 2, LOAD_MS * 2 / 0.8 + 1);
	destroy(cache, &seen);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_and_make_room),
		cmocka_unit_test(test_order_without_answer),
		cmocka_unit_test(test_count_too_high),
		cmocka_unit_test(test_no_more_orders),
		cmocka_unit_test(test_missing),
		cmocka_unit_test(test_newer_version),
		cmocka_unit_test(test_base_model),
		cmocka_unit_test(test_load_wait),
		cmocka_unit_test(test_quiet_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
