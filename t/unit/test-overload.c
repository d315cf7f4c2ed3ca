/*
 * More requests for an engine than it can run: priorities, shares of the
 * organisations, and refusals.  Each comment names the load that a test models,
 * or the failure that it guards against.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "front/adapters_private.h"
#include "hold/admission_queue.h"
#include "hold/fair_queue.h"

#define SEED	      3
#define PLACES	      16
#define RUN_TIME_MS   1500
#define HIGH_WAIT_MS  800
#define LOW_WAIT_MS   20000
#define HIGH_PRIORITY 0
#define LOW_PRIORITY  2
#define REQUESTS_MAX  20000

typedef struct {
	ticket_t *ticket;
	int priority;
	int flow;
	ms_t submitted_at;
	ms_t admitted_at; /* -1 before */
	ms_t run_time;
} request_t;

/* An engine, and what was offered to its queue. */
typedef struct {
	admission_queue_t *queue;
	GRand *rand;
	request_t *requests;
	int count;
	ms_t now;
} fixture_t;

typedef struct {
	int offered;
	int served;
	int late; /* admitted after the limit of the priority */
	int refused;
} result_t;

static void on_admitted(void *ctx, ticket_t *ticket)
{
	const fixture_t *fixture = ctx;
	request_t *request = ticket_data(ticket);

	request->admitted_at = fixture->now;
}

static void fixture_init(fixture_t *fixture, gboolean is_policy_on)
{
	static const admission_queue_options_t options = {
		.places = PLACES, .prefill_per_ms = 1000};
	static const admission_queue_actions_t actions = {on_admitted};

	memset(fixture, 0, sizeof(*fixture));
	fixture->rand = g_rand_new_with_seed(SEED);
	fixture->requests = g_new0(request_t, REQUESTS_MAX);
	fixture->queue = admission_queue_create(&options, &actions, fixture);
	admission_queue_set_policy(fixture->queue, is_policy_on);
}

static void fixture_release(fixture_t *fixture)
{
	admission_queue_destroy(fixture->queue);
	g_free(fixture->requests);
	g_rand_free(fixture->rand);
}

static request_t *offer_of_flow(fixture_t *fixture, int flow, int priority,
				ms_t wait_max)
{
	char name[16];
	request_t *request = &fixture->requests[fixture->count++];
	admission_queue_request_t asked = {
		.prompt = 100, .priority = priority, .wait_max = wait_max};
	ms_t wait;

	g_snprintf(name, sizeof(name), "%d", flow);
	asked.flow = name;
	asked.cost = fair_queue_cost(100, 200);
	request->flow = flow;
	request->priority = priority;
	request->submitted_at = fixture->now;
	request->admitted_at = -1;
	request->run_time = g_rand_int_range(fixture->rand, RUN_TIME_MS / 2,
					     RUN_TIME_MS * 3 / 2);
	request->ticket = admission_queue_submit(fixture->queue, fixture->now,
						 &asked, request, &wait);
	return request;
}

static request_t *offer(fixture_t *fixture, int priority, ms_t wait_max)
{
	return offer_of_flow(fixture, 0, priority, wait_max);
}

/* Offers requests of one priority at random. */
static void offer_at_rate(fixture_t *fixture, int priority, double per_s,
			  ms_t wait_max)
{
	if (g_rand_double(fixture->rand) < per_s / 1000)
		offer(fixture, priority, wait_max);
}

/* Ends what has run, and admits what waits. */
static void step(fixture_t *fixture)
{
	int i;

	for (i = 0; i < fixture->count; i++) {
		request_t *request = &fixture->requests[i];

		if (!request->ticket || request->admitted_at < 0 ||
		    fixture->now - request->admitted_at < request->run_time)
			continue;
		admission_queue_done(fixture->queue, fixture->now,
				     request->ticket, TRUE);
		request->ticket = NULL;
	}
	admission_queue_tick(fixture->queue, fixture->now);
	fixture->now++;
}

static result_t result_of(const fixture_t *fixture, int priority,
			  ms_t late_after)
{
	result_t result = {0};
	int i;

	for (i = 0; i < fixture->count; i++) {
		const request_t *request = &fixture->requests[i];

		if (request->priority != priority)
			continue;
		result.offered++;
		if (request->admitted_at < 0 && !request->ticket) {
			result.refused++;
			continue;
		}
		if (request->admitted_at < 0)
			continue;
		result.served++;
		result.late += request->admitted_at - request->submitted_at >
			       late_after;
	}
	return result;
}

/*
 * A burst of streams that may wait 20 s beside streams that may wait 150 ms for
 * a place: without a reserve the former take each place as it is free.
 */
static result_t run_burst(gboolean is_policy_on, result_t *low)
{
	fixture_t fixture;
	result_t high;

	fixture_init(&fixture, is_policy_on);
	while (fixture.now < 30000) {
		offer_at_rate(&fixture, HIGH_PRIORITY, 3, 150);
		if (fixture.now > 5000 && fixture.now < 15000)
			offer_at_rate(&fixture, LOW_PRIORITY, 20, LOW_WAIT_MS);
		step(&fixture);
	}
	high = result_of(&fixture, HIGH_PRIORITY, HIGH_WAIT_MS);
	*low = result_of(&fixture, LOW_PRIORITY, LOW_WAIT_MS);
	fixture_release(&fixture);
	return high;
}

static void test_burst_of_low_priority(void **state)
{
	result_t low_before;
	result_t low_after;
	result_t before = run_burst(FALSE, &low_before);
	result_t after = run_burst(TRUE, &low_after);

	print_message("high refused: %d of %d before, %d after; "
		      "low served: %d before, %d after\n",
		      before.refused, before.offered, after.refused,
		      low_before.served, low_after.served);
	assert_true(before.refused > before.offered / 10);
	assert_true(after.refused < before.refused / 2);
	assert_true(low_after.served * 10 > low_before.served * 8);
}

/* No high priority came for two seconds: low ones use every place. */
static void test_no_reserve_without_high_priority(void **state)
{
	fixture_t fixture;
	int i;

	fixture_init(&fixture, TRUE);
	for (i = 0; i < PLACES; i++)
		offer(&fixture, LOW_PRIORITY, LOW_WAIT_MS);
	step(&fixture);
	assert_int_equal(admission_queue_running(fixture.queue), PLACES);
	fixture_release(&fixture);
	fixture_init(&fixture, TRUE);
	offer(&fixture, HIGH_PRIORITY, 150);
	for (i = 0; i < PLACES; i++)
		offer(&fixture, LOW_PRIORITY, LOW_WAIT_MS);
	step(&fixture);
	assert_int_equal(admission_queue_running(fixture.queue), PLACES - 1);
	assert_int_equal(admission_queue_reserve(fixture.queue, fixture.now,
						 HIGH_PRIORITY),
			 0);
	fixture.now += ADMISSION_RESERVE_AGE_MS;
	assert_int_equal(admission_queue_reserve(fixture.queue, fixture.now,
						 LOW_PRIORITY),
			 0);
	step(&fixture);
	fixture_release(&fixture);
}

/* High priorities alone exceed the engine: low ones keep their share of it. */
static void test_low_priority_is_not_starved(void **state)
{
	fixture_t fixture;
	result_t low;

	fixture_init(&fixture, TRUE);
	while (fixture.now < 30000) {
		offer_at_rate(&fixture, HIGH_PRIORITY, 40, HIGH_WAIT_MS);
		offer_at_rate(&fixture, LOW_PRIORITY, 3, LOW_WAIT_MS);
		step(&fixture);
	}
	low = result_of(&fixture, LOW_PRIORITY, LOW_WAIT_MS);
	print_message("low: %d served of %d\n", low.served, low.offered);
	/* An eighth of 16 places is two, of 1.5 s each for 30 s. */
	assert_in_range(low.served, 30, 44);
	fixture_release(&fixture);
}

/* Where nothing asks for the policy, priorities are as they were. */
static void test_no_policy_no_reserve(void **state)
{
	fixture_t fixture;
	int i;

	fixture_init(&fixture, FALSE);
	offer(&fixture, HIGH_PRIORITY, 150);
	for (i = 1; i < PLACES; i++)
		offer(&fixture, LOW_PRIORITY, LOW_WAIT_MS);
	step(&fixture);
	assert_int_equal(admission_queue_running(fixture.queue), PLACES);
	assert_int_equal(admission_queue_reserve(fixture.queue, fixture.now,
						 LOW_PRIORITY),
			 0);
	fixture_release(&fixture);
}

#define FLOWS 8

/* Each organisation asks for 2 requests a second, the first for six times. */
static void run_flows(gboolean is_policy_on, result_t *results)
{
	fixture_t fixture;
	int i;

	fixture_init(&fixture, is_policy_on);
	memset(results, 0, FLOWS * sizeof(*results));
	while (fixture.now < 30000) {
		for (i = 0; i < FLOWS; i++) {
			double per_s = i ? 2 : 12;

			if (g_rand_double(fixture.rand) < per_s / 1000)
				offer_of_flow(&fixture, i, 1, HIGH_WAIT_MS);
		}
		step(&fixture);
	}
	for (i = 0; i < fixture.count; i++) {
		const request_t *request = &fixture.requests[i];

		results[request->flow].offered++;
		results[request->flow].served += request->admitted_at >= 0;
	}
	fixture_release(&fixture);
}

static double share_served(const result_t *results, int from, int to)
{
	int offered = 0;
	int served = 0;
	int i;

	for (i = from; i < to; i++) {
		offered += results[i].offered;
		served += results[i].served;
	}
	return (double)served / offered;
}

/*
 * One organisation at six times the use of the others, 26 requests a second for
 * places of 10.7: by arrival it takes half of them, and all are refused alike.
 */
static void test_one_organisation_at_six_times(void **state)
{
	result_t before[FLOWS];
	result_t after[FLOWS];
	int i;

	run_flows(FALSE, before);
	run_flows(TRUE, after);
	print_message("served of the one: %.2f before, %.2f after; "
		      "of the others: %.2f before, %.2f after\n",
		      share_served(before, 0, 1), share_served(after, 0, 1),
		      share_served(before, 1, FLOWS),
		      share_served(after, 1, FLOWS));
	assert_true(share_served(after, 1, FLOWS) >
		    1.25 * share_served(before, 1, FLOWS));
	for (i = 0; i < FLOWS; i++)
		assert_true(share_served(after, i, i + 1) >
			    share_served(after, 0, FLOWS) / 4);
	/* Nothing is left idle for that. */
	assert_true(share_served(after, 0, FLOWS) >
		    0.95 * share_served(before, 0, FLOWS));
}

/* A flow that was idle gains nothing, and a new one starts beside the others.
 */
static void test_idle_flow_banks_nothing(void **state)
{
	fair_queue_t *flows = fair_queue_create();
	fair_flow_t *flow;
	int64_t start;
	int i;

	for (i = 0; i < 50; i++) {
		flow = fair_queue_add(flows, 0, "busy", 1000, &start);
		fair_queue_serve(flows, start);
		fair_queue_end(flows, flow, 0);
	}
	assert_int_equal(start, 49000);
	assert_int_equal(fair_queue_start(flows, 0, "new"), 49000);
	assert_int_equal(fair_queue_start(flows, 0, "busy"), 50000);
	/* A request that has not run gives its cost back. */
	flow = fair_queue_add(flows, 0, "busy", 1000, &start);
	fair_queue_end(flows, flow, 1000);
	assert_int_equal(fair_queue_start(flows, 0, "busy"), 50000);
	fair_queue_destroy(flows);
}

/* Callers may name any flow and cost: neither the memory nor a sum overflows.
 */
static void test_many_flows_and_absurd_costs(void **state)
{
	fair_queue_t *flows = fair_queue_create();
	int i;

	for (i = 0; i < 100000; i++) {
		char name[16];
		fair_flow_t *flow;
		int64_t start;

		g_snprintf(name, sizeof(name), "%d", i);
		flow = fair_queue_add(flows, i, name,
				      fair_queue_cost(INT64_MAX, INT64_MAX),
				      &start);
		assert_true(start >= 0);
		fair_queue_serve(flows, start);
		fair_queue_end(flows, flow, 0);
	}
	assert_int_equal(fair_queue_cost(-5, -5), 1);
	fair_queue_destroy(flows);
}

/*
 * A holder dies with a full queue, and all that waited there asks its successor
 * at once, six times as much of one organisation first.  The successor knows no
 * counters; still the others are not queued behind the first.
 */
static void test_holder_changes(void **state)
{
	fixture_t fixture;
	request_t *others[FLOWS];
	int i;

	fixture_init(&fixture, TRUE);
	for (i = 0; i < 200; i++)
		offer_of_flow(&fixture, 0, 1, LOW_WAIT_MS);
	step(&fixture);
	fixture_release(&fixture);
	fixture_init(&fixture, TRUE);
	for (i = 0; i < 2 * PLACES; i++)
		offer_of_flow(&fixture, 0, 1, LOW_WAIT_MS);
	for (i = 1; i < FLOWS; i++)
		others[i] = offer_of_flow(&fixture, i, 1, HIGH_WAIT_MS);
	step(&fixture);
	for (i = 1; i < FLOWS; i++) {
		assert_non_null(others[i]->ticket);
		assert_int_equal(others[i]->admitted_at, 0);
	}
	fixture_release(&fixture);
}

/*
 * An organisation is refused, and newcomers are served for a while.  When it
 * returns in time it starts where it would have then; later it banks nothing.
 */
static void test_returning_goes_before_newcomers(void **state)
{
	fair_queue_t *flows = fair_queue_create();
	fair_flow_t *flow;
	int64_t start;
	int i;

	fair_queue_refuse(flows, 0, "refused");
	for (i = 0; i < 5; i++) {
		flow = fair_queue_add(flows, i, "busy", 1000, &start);
		fair_queue_serve(flows, start);
		fair_queue_end(flows, flow, 0);
	}
	assert_int_equal(fair_queue_start(flows, 300, "new"), 4000);
	assert_int_equal(fair_queue_start(flows, 300, "refused"), 0);
	assert_int_equal(fair_queue_start(flows, FAIR_RETURN_MS, "refused"),
			 4000);
	/* It returns once for each refusal. */
	flow = fair_queue_add(flows, 300, "refused", 1000, &start);
	fair_queue_end(flows, flow, 0);
	assert_int_equal(fair_queue_start(flows, 300, "refused"), 4000);
	fair_queue_destroy(flows);
}

/*
 * Overload while higher priorities keep coming: by the queue ahead alone most
 * of what is not refused at once gets a place after its deadline.
 */
static void run_deadlines(gboolean is_policy_on, result_t *low, result_t *high)
{
	fixture_t fixture;

	fixture_init(&fixture, is_policy_on);
	while (fixture.now < 40000) {
		offer_at_rate(&fixture, HIGH_PRIORITY, 6, HIGH_WAIT_MS);
		offer_at_rate(&fixture, LOW_PRIORITY, 12, 3000);
		step(&fixture);
	}
	*high = result_of(&fixture, HIGH_PRIORITY, HIGH_WAIT_MS);
	*low = result_of(&fixture, LOW_PRIORITY, 3000);
	fixture_release(&fixture);
}

static void test_refused_at_once_by_deadline(void **state)
{
	result_t low_before;
	result_t low_after;
	result_t high;

	run_deadlines(FALSE, &low_before, &high);
	run_deadlines(TRUE, &low_after, &high);
	print_message("low late: %d of %d before, %d of %d after\n",
		      low_before.late, low_before.served, low_after.late,
		      low_after.served);
	assert_true(low_before.late > low_before.served / 2);
	assert_true(low_after.late < low_after.served / 5);
	assert_true(low_after.served * 10 > low_before.served * 8);
}

/*
 * Forty callers are refused within a moment: the times named to them are spread
 * over the places that become free, not one time for all.
 */
static void test_retry_times_are_spread(void **state)
{
	admission_queue_request_t request = {.prompt = 1, .wait_max = 50};
	GHashTable *times = g_hash_table_new(NULL, NULL);
	fixture_t fixture;
	ms_t expected;
	ms_t wait;
	int i;

	fixture_init(&fixture, TRUE);
	for (i = 0; i < 2 * PLACES; i++)
		offer(&fixture, HIGH_PRIORITY, LOW_WAIT_MS);
	step(&fixture);
	expected = admission_queue_estimate_wait(fixture.queue, fixture.now,
						 &request);
	for (i = 0; i < 40; i++) {
		assert_null(admission_queue_submit(fixture.queue, fixture.now,
						   &request, NULL, &wait));
		assert_in_range(wait, expected,
				expected + ADMISSION_RETRY_SPREAD_MS);
		g_hash_table_add(times, GINT_TO_POINTER(wait));
	}
	assert_true(g_hash_table_size(times) >= 10);
	g_hash_table_destroy(times);
	fixture_release(&fixture);
}

/*
 * A peer of an older version sends ADMIT without organisation and cost; and
 * where neither is known, ADMIT is as it was.
 */
static void test_old_peer_without_flow(void **state)
{
	admission_t admission = {.engine = "engine", .adapter = "base/a"};
	const char *flows[] = {NULL, NULL, "org"};
	const int64_t costs[] = {0, 700, 700};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(flows); i++) {
		admission_t received = {0};
		admission_id_t id;
		msgpack_unpacked message;
		codec_writer_t writer;
		codec_reader_t reader;
		int type;

		admission.request.flow = flows[i];
		admission.request.cost = costs[i];
		message_write_admit(&writer, 7, &admission);
		msgpack_unpacked_init(&message);
		msgpack_unpack_next(&message, writer.buffer.data,
				    writer.buffer.size, NULL);
		codec_read_init(&reader, &message.data, &type);
		assert_int_equal(reader.left, costs[i] ? 12 : 10);
		assert_true(message_read_admit(&reader, &id, &received));
		assert_int_equal(received.request.cost, costs[i]);
		assert_int_equal(g_strcmp0(received.request.flow, flows[i]), 0);
		g_free((char *)received.engine);
		g_free((char *)received.adapter);
		g_free((char *)received.request.flow);
		msgpack_unpacked_destroy(&message);
		codec_write_release(&writer);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_of_low_priority),
		cmocka_unit_test(test_no_reserve_without_high_priority),
		cmocka_unit_test(test_low_priority_is_not_starved),
		cmocka_unit_test(test_no_policy_no_reserve),
		cmocka_unit_test(test_one_organisation_at_six_times),
		cmocka_unit_test(test_idle_flow_banks_nothing),
		cmocka_unit_test(test_many_flows_and_absurd_costs),
		cmocka_unit_test(test_holder_changes),
		cmocka_unit_test(test_old_peer_without_flow),
		cmocka_unit_test(test_returning_goes_before_newcomers),
		cmocka_unit_test(test_refused_at_once_by_deadline),
		cmocka_unit_test(test_retry_times_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
