/*
 * Membership under random faults in virtual time: crashes, restarts, planned
 * stops, flapping, one-way partitions, and loss of a failure domain or a
 * region.  SEEDS sets the number of small fleets; a fleet of 350 runs once.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fake_net.h"

#define SEEDS_DEFAULT 300
#define MEMBERS_MIN   8
#define MEMBERS_MAX   16
#define FAULT_ROUNDS  12
#define LOSS	      0.02

/* Sanitizers slow the large fleet down tenfold. */
#ifdef __SANITIZE_ADDRESS__
#define FLEET 80
#else
#define FLEET 350
#endif
#define FLEET_SEED 350

/* Time in which all instances must run a new document, in milliseconds. */
#define IN_FORCE_WITHIN 6000

/* Simulated time to fetch and parse an offered document, in milliseconds. */
#define FETCH_AND_PARSE 400

/* Fleets of 2 to 4 instances, and the time in which all detect a crash. */
#define FEW_MIN		  2
#define FEW_MAX		  4
#define FEW_FAILED_WITHIN 15000
/* Maximum failures detected per pair in a one-way partition of 5 min. */
#define FEW_FLAPS 4
/* A pause too short to be detected as a failure, in milliseconds. */
#define FEW_PAUSE 4000

#define MINUTE ((ms_t)60 * 1000)
#define HOUR   (60 * MINUTE)

/* Share of membership, sent and received, in 3 KB/s of control traffic. */
#define BUDGET_BYTES_PER_SECOND 2200

/* One-time burst of the token buckets, in bytes. */
#define BUDGET_BURST 40000

typedef struct {
	uint32_t seed;
	int from; /* -1: no partition */
	int to;	  /* -1: all */
	gboolean is_region_cut;
} faults_t;

static gboolean is_cut(const fake_net_t *net, const fake_node_t *from,
		       const fake_node_t *to)
{
	const faults_t *faults = net->ctx;

	if (faults->is_region_cut &&
	    strcmp(from->place.region, to->place.region) != 0)
		return TRUE;
	return from->index == faults->from &&
	       (faults->to < 0 || to->index == faults->to);
}

static int count_running(const fake_net_t *net)
{
	int count = 0;
	int i;

	for (i = 0; i < net->count; i++)
		count += !!net->nodes[i].member;
	return count;
}

static void stop_planned(fake_net_t *net, int index)
{
	member_t *member = net->nodes[index].member;

	member_leave(member, net->now);
	fake_net_run(net, 3000);
	member_end_leave(member, net->now);
	fake_net_run(net, 500);
	fake_net_kill(net, index);
}

static void flap(fake_net_t *net, int index)
{
	int i;

	for (i = 0; i < 4; i++) {
		fake_net_kill(net, index);
		fake_net_run(net, 5000);
		fake_net_start(net, index);
		fake_net_run(net, 5000);
	}
}

static void lose_domain(fake_net_t *net, const char *domain)
{
	int i;

	for (i = 0; i < net->count; i++) {
		fake_node_t *node = &net->nodes[i];

		if (node->member && !strcmp(node->place.failure_domain, domain))
			fake_net_kill(net, i);
	}
}

static void inject_fault(fake_net_t *net, GRand *rand)
{
	faults_t *faults = net->ctx;
	int index = g_rand_int_range(rand, 0, net->count);
	fake_node_t *node = &net->nodes[index];

	if (!node->member) {
		fake_net_start(net, index);
		return;
	}
	switch (g_rand_int_range(rand, 0, 6)) {
	case 0:
		fake_net_kill(net, index);
		break;
	case 1:
		stop_planned(net, index);
		break;
	case 2:
		flap(net, index);
		break;
	case 3:
		faults->from = index;
		faults->to = g_rand_int_range(rand, -1, net->count);
		break;
	case 4:
		faults->is_region_cut = !faults->is_region_cut;
		break;
	default:
		lose_domain(net, node->place.failure_domain);
		break;
	}
}

static void end_faults(fake_net_t *net)
{
	faults_t *faults = net->ctx;

	faults->from = -1;
	faults->is_region_cut = FALSE;
	/* The platform starts instances until three run. */
	while (count_running(net) < 3) {
		int i = 0;

		while (net->nodes[i].member)
			i++;
		fake_net_start(net, i);
	}
	fake_net_list(net);
}

static void clear_bytes(fake_net_t *net)
{
	int i;

	for (i = 0; i < net->count; i++) {
		net->nodes[i].bytes_sent = 0;
		net->nodes[i].bytes_received = 0;
	}
}

static void check_bytes(const fake_net_t *net, ms_t duration)
{
	int64_t limit =
		BUDGET_BYTES_PER_SECOND * duration / 1000 + BUDGET_BURST;
	int i;

	for (i = 0; i < net->count; i++) {
		const fake_node_t *node = &net->nodes[i];

		if (node->bytes_sent + node->bytes_received <= limit)
			continue;
		fail_msg("instance %d spent %lld + %lld bytes in %lld ms", i,
			 (long long)node->bytes_sent,
			 (long long)node->bytes_received, (long long)duration);
	}
}

static void settle(fake_net_t *net, const char *what)
{
	const faults_t *faults = net->ctx;
	ms_t bound = member_convergence_bound(net->count, net->period);
	ms_t taken = fake_net_settle(net, bound);

	if (taken == MS_NEVER)
		fail_msg("seed %u: views differ %lld ms after %s", faults->seed,
			 (long long)bound, what);
	printf("%d members, seed %u: %s settled in %lld ms\n", net->count,
	       faults->seed, what, (long long)taken);
}

static void run_seed(uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int count = g_rand_int_range(rand, MEMBERS_MIN, MEMBERS_MAX + 1);
	fake_net_t *net = fake_net_create(count, 2, 4, seed);
	faults_t faults = {.seed = seed, .from = -1};
	ms_t start;
	int i;

	net->is_cut = is_cut;
	net->ctx = &faults;
	net->loss = LOSS;
	fake_net_start_all(net);
	settle(net, "the start");
	clear_bytes(net);
	start = net->now;
	for (i = 0; i < FAULT_ROUNDS; i++) {
		inject_fault(net, rand);
		fake_net_run(net, g_rand_int_range(rand, 100, 30000));
	}
	end_faults(net);
	settle(net, "the faults");
	check_bytes(net, net->now - start);
	for (i = 0; !net->nodes[i].member; i++)
		;
	fake_net_kill(net, i);
	settle(net, "a silent failure");
	fake_net_destroy(net);
	g_rand_free(rand);
}

static void test_small_fleets(void **state)
{
	const char *text = getenv("SEEDS");
	int seeds = text ? atoi(text) : SEEDS_DEFAULT;
	int seed;

	for (seed = 1; seed <= seeds; seed++)
		run_seed((uint32_t)seed);
}

static int few_failures; /* changes to FAILED, summed over all views */

static void count_failures(fake_node_t *node, const member_info_t *info)
{
	few_failures += info->state == MEMBER_FAILED;
}

static gboolean is_paused(const fake_net_t *net, const fake_node_t *from,
			  const fake_node_t *to)
{
	const faults_t *faults = net->ctx;

	return from->index == faults->from || to->index == faults->from;
}

/*
 * Maximum number of changes to FAILED while the messages of one instance to all
 * others are lost.  With one other, each may consider the other failed once.
 * With several, the instance gets no replies and considers them failed, but
 * still receives their messages and so considers them recovered at times, until
 * flap damping ends that.
 */
static int few_failures_max(int count)
{
	int pairs = count * (count - 1);

	return count == 2 ? pairs : pairs * FEW_FLAPS;
}

/*
 * Lost messages and a short pause cause no failure, and a one-way partition
 * only a bounded number.
 */
static void check_few_stable(fake_net_t *net, faults_t *faults)
{
	few_failures = 0;
	fake_net_run(net, 5 * MINUTE);
	net->is_cut = is_paused;
	faults->from = 0;
	fake_net_run(net, FEW_PAUSE);
	faults->from = -1;
	fake_net_run(net, MINUTE);
	if (few_failures)
		fail_msg("%d members, seed %u: a running instance was "
			 "considered failed",
			 net->count, faults->seed);
	net->is_cut = is_cut;
	faults->from = 0;
	faults->to = -1;
	fake_net_run(net, 5 * MINUTE);
	if (few_failures > few_failures_max(net->count))
		fail_msg("%d members, seed %u: %d changes in a one-way cut",
			 net->count, faults->seed, few_failures);
	faults->from = -1;
	settle(net, "a one-way cut");
	fake_net_run(net, MINUTE);
}

/* The time until all others consider a killed instance failed. */
static ms_t check_few_failed(fake_net_t *net, const faults_t *faults)
{
	ms_t start = net->now;

	fake_net_kill(net, 0);
	while (!fake_net_all_see(net, net->nodes[0].name, MEMBER_FAILED)) {
		if (net->now - start > FEW_FAILED_WITHIN)
			fail_msg("%d members, seed %u: a silent failure is "
				 "not known after %d ms",
				 net->count, faults->seed, FEW_FAILED_WITHIN);
		fake_net_run(net, 100);
	}
	return net->now - start;
}

static void run_few(int count, uint32_t seed, ms_t *longest)
{
	fake_net_t *net = fake_net_create(count, 1, 1, seed);
	faults_t faults = {.seed = seed, .from = -1};
	ms_t taken;

	net->is_cut = is_cut;
	net->ctx = &faults;
	net->loss = LOSS;
	net->on_change = count_failures;
	fake_net_start_all(net);
	settle(net, "the start");
	check_few_stable(net, &faults);
	taken = check_few_failed(net, &faults);
	*longest = MAX(*longest, taken);
	fake_net_destroy(net);
}

static void test_few(void **state)
{
	const char *text = getenv("SEEDS");
	int seeds = text ? atoi(text) : SEEDS_DEFAULT;
	int count;
	int seed;

	for (count = FEW_MIN; count <= FEW_MAX; count++) {
		ms_t longest = 0;

		for (seed = 1; seed <= seeds; seed++)
			run_few(count, (uint32_t)seed, &longest);
		printf("%d members: a silent failure is known in %lld ms at "
		       "most\n",
		       count, (long long)longest);
	}
}

/* Run for a duration and check the bytes of this time against the budget. */
static void run_within_budget(fake_net_t *net, ms_t duration)
{
	clear_bytes(net);
	fake_net_run(net, duration);
	check_bytes(net, duration);
}

static void check_leave(fake_net_t *net, int index)
{
	const fake_node_t *node = &net->nodes[index];
	ms_t start = net->now;

	member_leave(node->member, net->now);
	while (!fake_net_all_see(net, node->name, MEMBER_LEAVING)) {
		assert_true(net->now - start <=
			    member_convergence_bound(net->count, net->period));
		fake_net_run(net, 100);
	}
	printf("%d members: a leave is known to all in %lld ms\n", net->count,
	       (long long)(net->now - start));
}

/* Apply offered documents once FETCH_AND_PARSE has passed. */
static gboolean apply_offers(fake_net_t *net, ms_t *due, int64_t generation)
{
	gboolean is_everywhere = TRUE;
	int i;

	for (i = 0; i < net->count; i++) {
		fake_node_t *node = &net->nodes[i];
		member_info_t info;

		if (!node->member)
			continue;
		member_find(node->member, node->name, &info);
		if (info.generation == generation)
			continue;
		is_everywhere = FALSE;
		if (node->generation_offered < generation)
			continue;
		if (!due[i])
			due[i] = net->now + FETCH_AND_PARSE;
		else if (net->now >= due[i])
			member_set_generation(node->member, generation,
					      net->now);
	}
	return is_everywhere;
}

/* A new document on one instance reaches all others through gossip only. */
static void check_generation(fake_net_t *net, int index, int64_t generation)
{
	ms_t *due = g_new0(ms_t, net->count);
	ms_t start = net->now;

	member_set_generation(net->nodes[index].member, generation, net->now);
	while (!apply_offers(net, due, generation)) {
		assert_true(net->now - start <= IN_FORCE_WITHIN);
		fake_net_run(net, FAKE_STEP);
	}
	printf("%d members: a generation is in force in %lld ms\n", net->count,
	       (long long)(net->now - start));
	g_free(due);
}

static void check_domain(fake_net_t *net)
{
	int i;

	clear_bytes(net);
	lose_domain(net, net->nodes[0].place.failure_domain);
	settle(net, "the loss of a failure domain");
	fake_net_run(net, MINUTE);
	for (i = 0; i < net->count; i++) {
		if (!net->nodes[i].member)
			fake_net_start(net, i);
	}
	settle(net, "the return of a failure domain");
}

static void test_large_fleet(void **state)
{
	fake_net_t *net = fake_net_create(FLEET, 2, 4, FLEET_SEED);
	faults_t faults = {.seed = FLEET_SEED, .from = -1};

	net->is_cut = is_cut;
	net->ctx = &faults;
	net->loss = LOSS;
	fake_net_start_all(net);
	settle(net, "the start");
	check_generation(net, 3, 1);
	run_within_budget(net, 5 * MINUTE);
	fake_net_kill(net, 1);
	settle(net, "a silent failure");
	fake_net_start(net, 1);
	settle(net, "a join");
	check_leave(net, 2);
	check_generation(net, 3, 2);
	check_domain(net);
	faults.is_region_cut = TRUE;
	run_within_budget(net, HOUR);
	faults.is_region_cut = FALSE;
	clear_bytes(net);
	settle(net, "an hour without the other region");
	run_within_budget(net, 2 * MINUTE);
	fake_net_destroy(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few),
		cmocka_unit_test(test_small_fleets),
		cmocka_unit_test(test_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
