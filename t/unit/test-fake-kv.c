/* The fake key-value service keeps the promises of kv.h under its faults. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_kv.h"

typedef struct {
	int calls;
	kv_status_t status;
	int64_t value; /* revision or lease */
	size_t count;
	char text[64];
	int events;
	int ends;
} seen_t;

static void on_write(void *ctx, kv_status_t status, int64_t revision,
		     const GError *error)
{
	seen_t *seen = ctx;

	seen->calls++;
	seen->status = status;
	seen->value = revision;
}

static void on_read(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	seen_t *seen = ctx;

	seen->calls++;
	seen->status = status;
	seen->count = count;
	if (count)
		g_strlcpy(seen->text, items[0].value, sizeof(seen->text));
}

static void on_event(void *ctx, const kv_item_t *item)
{
	seen_t *seen = ctx;

	seen->events++;
	g_strlcpy(seen->text, item->value ? item->value : "(deleted)",
		  sizeof(seen->text));
}

static void on_end(void *ctx, const GError *error)
{
	((seen_t *)ctx)->ends++;
}

static void put(kv_t *kv, const char *key, int64_t expected, const char *value,
		int64_t lease, seen_t *seen)
{
	kv_write_t write = {key, expected, value, strlen(value), lease};

	kv_write(kv, &write, 1, on_write, seen);
}

static void step(fake_kv_t *fake, ms_t duration)
{
	fake_kv_run(fake, fake_kv_now(fake) + duration);
}

static void test_compare_and_swap(void **state)
{
	fake_kv_t *fake = fake_kv_create(1);
	kv_t *kv = fake_kv_connect(fake);
	seen_t seen = {0};

	put(kv, "a", KV_REVISION_ABSENT, "one", 0, &seen);
	assert_int_equal(seen.calls, 0);
	step(fake, 10);
	assert_int_equal(seen.status, KV_DONE);
	put(kv, "a", KV_REVISION_ABSENT, "two", 0, &seen);
	step(fake, 10);
	assert_int_equal(seen.status, KV_CONFLICT);
	kv_read(kv, "a", on_read, &seen);
	step(fake, 10);
	assert_string_equal(seen.text, "one");
	assert_int_equal(seen.calls, 3);
	fake_kv_destroy(fake);
}

static void test_lost_answer_took_effect(void **state)
{
	fake_kv_t *fake = fake_kv_create(2);
	kv_t *kv = fake_kv_connect(fake);
	seen_t seen = {0};

	fake_kv_lose_answers(fake, 1);
	put(kv, "a", KV_REVISION_ABSENT, "one", 0, &seen);
	step(fake, 2000);
	assert_int_equal(seen.calls, 1);
	assert_int_equal(seen.status, KV_UNKNOWN);
	assert_non_null(kv_store_get(fake_kv_store(fake), "a"));
	fake_kv_set_mode(fake, FAKE_KV_REFUSING);
	put(kv, "b", KV_REVISION_ABSENT, "one", 0, &seen);
	step(fake, 2000);
	assert_int_equal(seen.status, KV_FAILED);
	assert_null(kv_store_get(fake_kv_store(fake), "b"));
	fake_kv_destroy(fake);
}

static void test_lease_and_watch(void **state)
{
	fake_kv_t *fake = fake_kv_create(3);
	kv_t *kv = fake_kv_connect(fake);
	kv_store_t *store = fake_kv_store(fake);
	int64_t lease = kv_store_lease_grant(store, 500, fake_kv_now(fake));
	seen_t seen = {0};
	seen_t written = {0};

	put(kv, "p/a", KV_REVISION_ABSENT, "one", lease, &written);
	step(fake, 10);
	kv_watch(kv, "p/", written.value - 1, on_event, on_end, &seen);
	step(fake, 10);
	assert_int_equal(seen.events, 1);
	step(fake, 600);
	assert_int_equal(seen.events, 2);
	assert_string_equal(seen.text, "(deleted)");
	fake_kv_set_mode(fake, FAKE_KV_REFUSING);
	step(fake, 100);
	assert_int_equal(seen.ends, 1);
	fake_kv_destroy(fake);
}

static void test_frozen_process_gets_its_callbacks_later(void **state)
{
	fake_kv_t *fake = fake_kv_create(4);
	kv_t *kv = fake_kv_connect(fake);
	seen_t seen = {0};

	put(kv, "a", KV_REVISION_ABSENT, "one", 0, &seen);
	fake_kv_set_paused(fake, kv, TRUE);
	step(fake, 5000);
	assert_int_equal(seen.calls, 0);
	fake_kv_set_paused(fake, kv, FALSE);
	step(fake, 1);
	assert_int_equal(seen.calls, 1);
	fake_kv_destroy(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_compare_and_swap),
		cmocka_unit_test(test_lost_answer_took_effect),
		cmocka_unit_test(test_lease_and_watch),
		cmocka_unit_test(test_frozen_process_gets_its_callbacks_later),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
