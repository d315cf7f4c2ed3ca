/* Lease of an instance whose previous process left its record behind. */

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

static lease_t *create(kv_t *kv, gboolean is_single_process)
{
	lease_options_t options = {.instance = "one",
				   .record = "10.0.0.1:80",
				   .ttl = TTL_MS,
				   .margin = 100,
				   .renew_interval = 1000,
				   .retry_interval = 100,
				   .wake = wake};

	lease_t *lease = lease_create(kv, &options);

	if (is_single_process)
		lease_set_single_process(lease);
	return lease;
}

/* The time until the second process holds a valid lease and record. */
static ms_t time_to_acquire(gboolean is_single_process)
{
	fake_kv_t *fake = fake_kv_create(1);
	kv_t *first_kv = fake_kv_connect(fake);
	kv_t *second_kv = fake_kv_connect(fake);
	lease_t *first = create(first_kv, is_single_process);
	lease_t *second = create(second_kv, is_single_process);
	ms_t now = fake_kv_now(fake);
	ms_t started;

	for (; !lease_is_valid(first, now); now += STEP_MS) {
		lease_tick(first, now);
		fake_kv_run(fake, now);
	}
	/* The first process is killed here: it makes no more calls. */
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

static void test_single_process_replaces_record(void **state)
{
	assert_true(time_to_acquire(TRUE) < 1000);
}

static void test_other_processes_wait_for_expiry(void **state)
{
	assert_true(time_to_acquire(FALSE) > TTL_MS / 2);
}

/* Runs until the lease is valid; returns its identifier. */
static int64_t acquire(fake_kv_t *fake, lease_t *lease, ms_t *now)
{
	ms_t end = *now + 1000;

	while (!lease_is_valid(lease, *now) && *now < end) {
		*now += STEP_MS;
		lease_tick(lease, *now);
		fake_kv_run(fake, *now);
	}
	assert_true(lease_is_valid(lease, *now));
	return lease_id(lease);
}

static void on_written(void *ctx, kv_status_t status, int64_t revision,
		       const GError *error)
{
	assert_int_equal(status, KV_DONE);
}

/*
 * The service has come back from an older copy, where a lease of this number
 * may be another instance's: only the record shows whose it is.
 */
static void test_older_copy(void **state)
{
	fake_kv_t *fake = fake_kv_create(1);
	kv_t *kv = fake_kv_connect(fake);
	lease_t *lease = create(kv, TRUE);
	char *key = lease_record_key("one");
	kv_write_t forget = {key, KV_REVISION_ANY, NULL, 0, 0};
	ms_t now = fake_kv_now(fake);
	int64_t id = acquire(fake, lease, &now);

	/* The copy has the record of this lease: it goes on. */
	lease_begin_history(lease);
	assert_false(lease_is_valid(lease, now));
	assert_int_equal(lease_id(lease), id);
	assert_int_equal(acquire(fake, lease, &now), id);
	/* It has none: the lease, which still exists, is not this one's. */
	kv_write(kv, &forget, 1, on_written, NULL);
	now += STEP_MS;
	fake_kv_run(fake, now);
	lease_begin_history(lease);
	assert_int_not_equal(acquire(fake, lease, &now), id);
	/* A renewal that was under way says nothing of whose lease it is. */
	id = lease_id(lease);
	kv_write(kv, &forget, 1, on_written, NULL);
	now += STEP_MS;
	fake_kv_run(fake, now);
	now += 1000;
	lease_tick(lease, now);
	lease_begin_history(lease);
	now += STEP_MS;
	fake_kv_run(fake, now);
	assert_false(lease_is_valid(lease, now));
	assert_int_not_equal(acquire(fake, lease, &now), id);
	g_free(key);
	kv_destroy(kv);
	lease_destroy(lease);
	fake_kv_destroy(fake);
}

#define OUTAGE_MS	 8000
#define RETRY_MS	 200
#define RETRY_MAX_MS	 3200
#define OUTAGE_CALLS_MAX 8

/*
 * The service is away for some seconds, and each call has a price: a large
 * fleet must not call all the time.  The lease is back right after the service.
 */
static void test_outage(void **state)
{
	fake_kv_t *fake = fake_kv_create(1);
	kv_t *kv = fake_kv_connect(fake);
	lease_options_t options = {.instance = "one",
				   .record = "10.0.0.1:80",
				   .ttl = 2000,
				   .margin = 200,
				   .renew_interval = 667,
				   .retry_interval = RETRY_MS,
				   .retry_interval_max = RETRY_MAX_MS,
				   .wake = wake};
	lease_t *lease = lease_create(kv, &options);
	ms_t now = fake_kv_now(fake);
	ms_t end = now + 1000;
	int64_t before;

	lease_set_single_process(lease);
	for (; now < end; now += STEP_MS) {
		lease_tick(lease, now);
		fake_kv_run(fake, now);
	}
	assert_true(lease_is_valid(lease, now));
	before = fake_kv_stats(fake)->lease_calls;
	fake_kv_set_mode(fake, FAKE_KV_REFUSING);
	for (end += OUTAGE_MS; now < end; now += STEP_MS) {
		lease_tick(lease, now);
		fake_kv_run(fake, now);
	}
	assert_false(lease_is_valid(lease, now));
	assert_in_range(fake_kv_stats(fake)->lease_calls - before, 4,
			OUTAGE_CALLS_MAX);
	fake_kv_set_mode(fake, FAKE_KV_UP);
	lease_retry_now(lease);
	for (end += 500; now < end; now += STEP_MS) {
		lease_tick(lease, now);
		fake_kv_run(fake, now);
	}
	assert_true(lease_is_valid(lease, now));
	kv_destroy(kv);
	lease_destroy(lease);
	fake_kv_destroy(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_single_process_replaces_record),
		cmocka_unit_test(test_other_processes_wait_for_expiry),
		cmocka_unit_test(test_older_copy),
		cmocka_unit_test(test_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
