/* The record of an instance whose former process left one behind. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fake_kv.h"
#include "own/lease.h"

#define TTL_MS	10000
#define STEP_MS 10

static void wake(void *ctx)
{
}

static lease_t *create(kv_t *kv, gboolean is_only_process)
{
	lease_options_t options = {.instance = "one",
				   .record = "10.0.0.1:80",
				   .ttl = TTL_MS,
				   .margin = 100,
				   .renew_interval = 1000,
				   .retry_interval = 100,
				   .wake = wake};

	lease_t *lease = lease_create(kv, &options);

	if (is_only_process)
		lease_set_single_process(lease);
	return lease;
}

/* The time until the second process's lease holds its record. */
static ms_t time_to_hold(gboolean is_only_process)
{
	fake_kv_t *fake = fake_kv_create(1);
	kv_t *first_kv = fake_kv_connect(fake);
	kv_t *second_kv = fake_kv_connect(fake);
	lease_t *first = create(first_kv, is_only_process);
	lease_t *second = create(second_kv, is_only_process);
	ms_t now = fake_kv_now(fake);
	ms_t started;

	for (; !lease_is_valid(first, now); now += STEP_MS) {
		lease_tick(first, now);
		fake_kv_run(fake, now);
	}
	/* The first process is killed here, and says nothing more. */
	started = now;
	for (; !lease_is_valid(second, now); now += STEP_MS) {
		lease_tick(second, now);
		fake_kv_run(fake, now);
		assert_true(now - started < 3 * TTL_MS);
	}
	kv_destroy(first_kv);
	kv_destroy(second_kv);
	lease_destroy(first);
	lease_destroy(second);
	fake_kv_destroy(fake);
	return now - started;
}

static void test_only_process_replaces(void **state)
{
	assert_true(time_to_hold(TRUE) < 1000);
}

static void test_others_wait(void **state)
{
	assert_true(time_to_hold(FALSE) > TTL_MS / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_process_replaces),
		cmocka_unit_test(test_others_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
