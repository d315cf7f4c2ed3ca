/* Assignment of endpoints, and parsing of valid and malformed records. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "claim/claim_record.h"
#include "own/assign.h"
#include "own/record.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED   5
#define MEMBERS_MAX 350

typedef struct {
	char names[MEMBERS_MAX][8];
	assign_member_t members[MEMBERS_MAX];
	GPtrArray *ids;
	assign_endpoint_t *endpoints;
	int *owners;
	int endpoint_count;
} fleet_t;

static const char *const domains[] = {"abbotsford", "chilliwack", "mission"};

static void fleet_init(fleet_t *fleet, int member_count, int endpoint_count)
{
	int i;

	fleet->endpoint_count = endpoint_count;
	fleet->ids = g_ptr_array_new_with_free_func(g_free);
	fleet->endpoints = g_new0(assign_endpoint_t, endpoint_count);
	fleet->owners = g_new0(int, endpoint_count);
	for (i = 0; i < member_count; i++) {
		g_snprintf(fleet->names[i], sizeof(fleet->names[i]), "i%d", i);
		fleet->members[i].name = fleet->names[i];
		fleet->members[i].failure_domain = domains[i % 3];
	}
	for (i = 0; i < endpoint_count; i++) {
		char *id = g_strdup_printf("e%d", i);

		g_ptr_array_add(fleet->ids, id);
		fleet->endpoints[i].id = id;
		fleet->endpoints[i].failure_domain = domains[i % 3];
	}
}

static void fleet_release(fleet_t *fleet)
{
	g_ptr_array_free(fleet->ids, TRUE);
	g_free(fleet->endpoints);
	g_free(fleet->owners);
}

static void check_balance(fleet_t *fleet, int member_count)
{
	int counts[MEMBERS_MAX] = {0};
	int share = fleet->endpoint_count / member_count;
	int i;

	assign_endpoints(fleet->endpoints, (size_t)fleet->endpoint_count,
			 fleet->members, (size_t)member_count, fleet->owners);
	for (i = 0; i < fleet->endpoint_count; i++)
		counts[fleet->owners[i]]++;
	for (i = 0; i < member_count; i++)
		assert_in_range(counts[i], share, share + 1);
}

static void test_assignment_is_even(void **state)
{
	fleet_t fleet;
	int count;

	fleet_init(&fleet, 9, 12);
	for (count = 1; count <= 9; count++)
		check_balance(&fleet, count);
	assign_endpoints(fleet.endpoints, 12, NULL, 0, fleet.owners);
	assert_int_equal(fleet.owners[0], -1);
	fleet_release(&fleet);
}

/* Prints how many endpoints change owner when the last member leaves. */
static void check_movement(int member_count, int endpoint_count)
{
	fleet_t fleet;
	int *before;
	int moved = 0;
	int near = 0;
	int i;

	fleet_init(&fleet, member_count, endpoint_count);
	check_balance(&fleet, member_count);
	before = g_memdup2(fleet.owners, sizeof(int) * (size_t)endpoint_count);
	for (i = 0; i < endpoint_count; i++)
		near += !strcmp(fleet.members[before[i]].failure_domain,
				fleet.endpoints[i].failure_domain);
	check_balance(&fleet, member_count - 1);
	for (i = 0; i < endpoint_count; i++)
		moved += before[i] != fleet.owners[i];
	printf("%d members, %d endpoints: %d in their own failure domain, %d "
	       "moved when one member left\n",
	       member_count, endpoint_count, near, moved);
	g_free(before);
	fleet_release(&fleet);
}

static void test_movement(void **state)
{
	check_movement(9, 12);
	check_movement(9, 120);
	check_movement(350, 3400);
}

static void test_record_round_trip(void **state)
{
	endpoint_record_t *record = endpoint_record_create(2);
	endpoint_record_t *read;
	char *text;

	slot_intent_set(&record->slots[1], INTENT_LOADING, 7, "a@1");
	record->epoch = 7;
	record->incarnation = 12;
	text = endpoint_record_render(record);
	read = endpoint_record_parse(text, strlen(text), NULL);
	assert_non_null(read);
	assert_int_equal(read->epoch, 7);
	assert_true(intent_is_open(&read->slots[1]));
	assert_string_equal(read->slots[1].adapter, "a@1");
	endpoint_record_destroy(read);
	endpoint_record_destroy(record);
	g_free(text);
}

static void test_malformed_records_are_rejected(void **state)
{
	static const char valid[] =
		"{\"owner\":\"i0\",\"incarnation\":3,\"epoch\":4,\"sequence\":"
		"2,"
		"\"hold\":0,\"held\":[\"a@1\"],\"slots\":[{\"state\":"
		"\"resident\",\"epoch\":4,\"adapter\":\"a@1\"}]}";
	static const char claim[] =
		"{\"state\":\"running\",\"nonce\":\"n\",\"request\":\"r\","
		"\"instance\":\"i\",\"incarnation\":3,\"body\":\"b\"}";
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	GError *error = NULL;
	int round;

	assert_null(endpoint_record_parse("{\"owner\":1}", 11, &error));
	assert_int_equal(error_kind(error), ERROR_PROTOCOL);
	g_error_free(error);
	for (round = 0; round < FUZZ_ROUNDS; round++) {
		char text[sizeof(valid)];
		char other[sizeof(claim)];
		endpoint_record_t *record;
		claim_record_t read;

		memcpy(text, valid, sizeof(text));
		memcpy(other, claim, sizeof(other));
		text[g_rand_int_range(rand, 0, sizeof(text) - 1)] =
			(char)g_rand_int_range(rand, 1, 256);
		other[g_rand_int_range(rand, 0, sizeof(other) - 1)] =
			(char)g_rand_int_range(rand, 1, 256);
		record = endpoint_record_parse(text, strlen(text), NULL);
		if (record)
			endpoint_record_destroy(record);
		if (claim_record_parse(other, strlen(other), &read, NULL))
			claim_record_clear(&read);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_assignment_is_even),
		cmocka_unit_test(test_movement),
		cmocka_unit_test(test_record_round_trip),
		cmocka_unit_test(test_malformed_records_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
