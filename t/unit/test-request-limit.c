/* Test route/request_limit.h: fleets that share the limit of one endpoint. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka.h needs the four above. */
#include <cmocka.h>

#include "route/request_limit.h"

#define INSTANCES_MAX 200
#define WINDOW_MS     4000

/* From a call until all instances know what its answer says. */
#define NEWS_MS 50

typedef struct {
	ms_t due;
	guint instance;
} answer_t;

/* One endpoint that names its limit in each answer, and the instances. */
typedef struct {
	request_share_t share;
	request_limit_t *limits[INSTANCES_MAX];
	GArray *calls; /* ms_t of each call, in their order */
	GQueue *answers;
	ms_t now;
} fixture_t;

static void begin(fixture_t *fixture, double per_s, guint instances)
{
	guint i;

	fixture->share = (request_share_t){per_s, instances, 0, FALSE, FALSE};
	fixture->calls = g_array_new(FALSE, FALSE, sizeof(ms_t));
	fixture->answers = g_queue_new();
	fixture->now = 1000;
	for (i = 0; i < instances; i++) {
		fixture->share.rank = i;
		fixture->limits[i] =
			request_limit_create(fixture->now, &fixture->share);
	}
}

static void end(fixture_t *fixture)
{
	guint i;

	for (i = 0; i < fixture->share.instances; i++)
		request_limit_destroy(fixture->limits[i]);
	g_array_free(fixture->calls, TRUE);
	g_queue_free_full(fixture->answers, g_free);
}

/* Delivers the answers that are due, and what they are announced with. */
static void pass_ms(fixture_t *fixture)
{
	answer_t *answer;
	guint i;

	fixture->now++;
	while ((answer = g_queue_peek_head(fixture->answers)) &&
	       answer->due <= fixture->now) {
		request_limit_t *limit = fixture->limits[answer->instance];

		request_limit_confirm(limit, fixture->now, TRUE);
		if (request_limit_announce(limit, fixture->now)) {
			for (i = 0; i < fixture->share.instances; i++)
				request_limit_confirm(fixture->limits[i],
						      fixture->now, FALSE);
		}
		g_free(g_queue_pop_head(fixture->answers));
	}
}

/* One request through an instance; returns whether it was sent. */
static gboolean ask(fixture_t *fixture, guint instance)
{
	request_limit_t *limit = fixture->limits[instance];
	answer_t *answer;

	if (request_limit_wait(limit, fixture->now, 0))
		return FALSE;
	request_limit_count(limit, fixture->now);
	g_array_append_val(fixture->calls, fixture->now);
	answer = g_new0(answer_t, 1);
	answer->due = fixture->now + NEWS_MS;
	answer->instance = instance;
	g_queue_push_tail(fixture->answers, answer);
	return TRUE;
}

static guint most_calls(const fixture_t *fixture)
{
	guint most = 0;
	guint first = 0;
	guint last;

	for (last = 0; last < fixture->calls->len; last++) {
		while (g_array_index(fixture->calls, ms_t, last) -
			       g_array_index(fixture->calls, ms_t, first) >
		       WINDOW_MS)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

/* The calls in 4 s that the limit allows. */
static double allowed(double per_s)
{
	return 1.5 * per_s * WINDOW_MS / MS_PER_S + 5;
}

static const double limits[] = {0, 0.3, 1, 1.9, 2, 2.7, 8, 40, 300};
static const guint fleets[] = {1, 2, 3, 9, 81, 195};

typedef void (*check_t)(double per_s, guint instances);

static void for_all(check_t check)
{
	guint i;
	guint j;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		for (j = 0; j < G_N_ELEMENTS(fleets); j++)
			check(limits[i], fleets[j]);
	}
}

/* All instances have more requests than the endpoint takes. */
static void check_demand(double per_s, guint instances)
{
	fixture_t fixture;
	ms_t until;
	guint i;

	begin(&fixture, per_s, instances);
	for (until = fixture.now + 30000; fixture.now < until;
	     pass_ms(&fixture)) {
		for (i = 0; i < instances; i++)
			ask(&fixture, i);
	}
	assert_true(most_calls(&fixture) <= allowed(per_s));
	/* What it offers is used. */
	assert_true(fixture.calls->len >= 0.8 * per_s * 30 - 2);
	end(&fixture);
}

static void test_keeps_limit_under_demand(void **state)
{
	for_all(check_demand);
}

/*
 * Nothing is asked for a long time, and then of all instances but the first
 * ones, which are the senders, at once.
 */
static void check_quiet(double per_s, guint instances)
{
	fixture_t fixture;
	ms_t until;
	guint i;

	begin(&fixture, per_s, instances);
	fixture.now += 60000;
	for (until = fixture.now + 8000; fixture.now < until;
	     pass_ms(&fixture)) {
		for (i = MIN(instances / 2, 20); i < instances; i++)
			ask(&fixture, i);
	}
	assert_true(most_calls(&fixture) <= allowed(per_s));
	end(&fixture);
}

/* The last instance alone has requests: it learns whether the limit holds. */
static void check_one_asks(double per_s, guint instances)
{
	fixture_t fixture;
	guint sent = 0;
	ms_t until;

	begin(&fixture, per_s, instances);
	for (until = fixture.now + 1000000; fixture.now < until && !sent;
	     pass_ms(&fixture))
		sent += ask(&fixture, instances - 1);
	assert_int_equal(sent, 1);
	end(&fixture);
}

static void test_one_that_hears_nothing_asks(void **state)
{
	for_all(check_one_asks);
}

static void test_keeps_limit_after_quiet(void **state)
{
	for_all(check_quiet);
}

/*
 * Half of the instances know a different number of instances, and therefore
 * other senders, for a time.
 */
static void check_change(double per_s, guint instances)
{
	fixture_t fixture;
	ms_t until;
	guint i;

	if (instances < 3)
		return;
	begin(&fixture, per_s, instances);
	for (until = fixture.now + 20000; fixture.now < until;
	     pass_ms(&fixture)) {
		for (i = 0; i < instances; i++) {
			request_share_t share = fixture.share;

			/* Rank 0 is not known to the others any more. */
			share.instances -= i % 2;
			share.rank = i - (i % 2);
			if (fixture.now % 700 == i % 700)
				request_limit_set_share(fixture.limits[i],
							fixture.now, &share);
			ask(&fixture, i);
		}
	}
	assert_true(most_calls(&fixture) <= allowed(per_s));
	end(&fixture);
}

static void test_keeps_limit_while_instances_disagree(void **state)
{
	for_all(check_change);
}

/* Orders of an engine's holder are not held back, but are made up for. */
static void test_orders_count(void **state)
{
	request_share_t share = {2, 9, 8, TRUE, TRUE};
	request_limit_t *limit = request_limit_create(0, &share);

	assert_true(request_limit_wait(limit, 1000, 0) > 0);
	assert_int_equal(request_limit_wait(limit, 2001, 0), 0);
	assert_true(request_limit_wait(limit, 2001, 1) > 0);
	request_limit_count(limit, 2001);
	request_limit_count(limit, 2001);
	assert_true(request_limit_wait(limit, 5000, 0) > 0);
	assert_int_equal(request_limit_wait(limit, 6100, 0), 0);
	request_limit_destroy(limit);
}

static ms_t promise(request_limit_t *limit, ms_t now, ms_t time_left)
{
	ms_t time = request_limit_promised_time(limit, now);

	request_limit_promise(limit, now, time_left);
	return time;
}

/* Callers are told different times, as many as the endpoint takes. */
static void test_promises_are_spread(void **state)
{
	request_share_t share = {2, 4, 3, FALSE, FALSE};
	request_limit_t *limit = request_limit_create(0, &share);

	assert_int_equal(promise(limit, 0, 10000), 2000);
	assert_int_equal(promise(limit, 0, 10000), 4000);
	/* One that will have left is told the truth, and no time is lost. */
	assert_int_equal(promise(limit, 1000, 1000), 5000);
	assert_int_equal(promise(limit, 1000, 10000), 5000);
	assert_int_equal(promise(limit, 60000, 10000), 2000);
	request_limit_destroy(limit);
}

static void test_announced_at_times(void **state)
{
	request_share_t share = {2, 4, 0, FALSE, FALSE};
	request_limit_t *limit = request_limit_create(5000, &share);

	assert_true(request_limit_announce(limit, 5000));
	assert_false(request_limit_announce(limit, 5900));
	assert_true(request_limit_announce(limit, 6000));
	/* Another number is told at once. */
	share.per_s = 3;
	request_limit_set_share(limit, 6100, &share);
	assert_true(request_limit_announce(limit, 6100));
	request_limit_confirm(limit, 7000, FALSE);
	assert_false(request_limit_is_witnessed(limit, 7000));
	request_limit_confirm(limit, 7100, TRUE);
	assert_true(request_limit_is_witnessed(limit, 7900));
	assert_false(request_limit_is_witnessed(limit, 8200));
	request_limit_destroy(limit);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keeps_limit_under_demand),
		cmocka_unit_test(test_keeps_limit_after_quiet),
		cmocka_unit_test(test_one_that_hears_nothing_asks),
		cmocka_unit_test(test_keeps_limit_while_instances_disagree),
		cmocka_unit_test(test_orders_count),
		cmocka_unit_test(test_promises_are_spread),
		cmocka_unit_test(test_announced_at_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
