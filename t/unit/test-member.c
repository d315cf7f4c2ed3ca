/* Unit tests of one membership that receives crafted messages. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "fake_net.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED   11
#define START	    1000
#define INCARNATION 500

typedef struct {
	member_t *member;
	GPtrArray *sent; /* of member_message_t, decoded copies */
	int changes;
	int64_t offered;
	int leave_requests;
	gboolean endpoint_leaving;
	int endpoint_events;
} fixture_t;

static member_message_t *copy_message(const member_message_t *message)
{
	codec_writer_t writer;
	msgpack_unpacked unpacked;
	member_message_t *copy;

	member_message_write(message, &writer);
	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, writer.buffer.data,
					     writer.buffer.size, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	copy = member_message_read(&unpacked.data, NULL);
	assert_non_null(copy);
	msgpack_unpacked_destroy(&unpacked);
	codec_write_release(&writer);
	return copy;
}

static void on_send(void *ctx, const char *to, const member_place_t *place,
		    const member_message_t *message)
{
	fixture_t *fixture = ctx;

	g_ptr_array_add(fixture->sent, copy_message(message));
}

static void on_change(void *ctx, const member_info_t *info)
{
	((fixture_t *)ctx)->changes++;
}

static void on_endpoint(void *ctx, const char *endpoint, gboolean is_leaving)
{
	fixture_t *fixture = ctx;

	fixture->endpoint_leaving = is_leaving;
	fixture->endpoint_events++;
}

static void on_generation(void *ctx, const char *peer, int64_t generation)
{
	((fixture_t *)ctx)->offered = generation;
}

static void on_told_to_leave(void *ctx)
{
	((fixture_t *)ctx)->leave_requests++;
}

static const member_events_t events = {
	.send = on_send,
	.on_change = on_change,
	.on_endpoint = on_endpoint,
	.on_generation = on_generation,
	.on_told_to_leave = on_told_to_leave,
};

static member_place_t place = {"10.0.0.1", 80, 90, 91, "bc-lower", "mission"};

static void fixture_setup(fixture_t *fixture)
{
	member_options_t options = {.name = "self",
				    .place = &place,
				    .incarnation = INCARNATION,
				    .seed = 1};

	memset(fixture, 0, sizeof(*fixture));
	fixture->sent = g_ptr_array_new_with_free_func(
		(GDestroyNotify)member_message_free);
	fixture->member = member_create(&options, &events, fixture, START);
}

static void fixture_teardown(fixture_t *fixture)
{
	member_destroy(fixture->member);
	g_ptr_array_unref(fixture->sent);
}

/* Receive a message from "peer" with one update. */
static void receive_update(fixture_t *fixture, member_kind_t kind,
			   const char *name, int64_t incarnation,
			   member_state_t state, gboolean is_leaving, ms_t now)
{
	member_message_t *message = member_message_new(MEMBER_GOSSIP, "peer");
	member_update_t *update =
		member_update_new(kind, name, incarnation, state);

	message->incarnation = 1;
	update->is_leaving = is_leaving;
	g_ptr_array_add(message->updates, update);
	member_receive(fixture->member, message, now);
	member_message_free(message);
}

static member_state_t state_of(const fixture_t *fixture, const char *name)
{
	member_info_t info;

	assert_true(member_find(fixture->member, name, &info));
	return info.state;
}

static void test_message_round_trip(void **state)
{
	member_message_t *message = member_message_new(MEMBER_PING, "a");
	member_update_t *update =
		member_update_new(MEMBER_UPDATE_INSTANCE, "b", 7, MEMBER_LEFT);
	member_message_t *copy;

	message->generation = 42;
	message->target = g_strdup("c");
	update->place = member_place_copy(&place);
	g_ptr_array_add(message->updates, update);
	copy = copy_message(message);
	assert_int_equal(copy->generation, 42);
	assert_string_equal(copy->target, "c");
	update = copy->updates->pdata[0];
	assert_int_equal(update->incarnation, 7);
	assert_int_equal(update->state, MEMBER_LEFT);
	assert_true(member_place_equal(update->place, &place));
	member_message_free(copy);
	member_message_free(message);
}

/* A corrupted message decodes to a message or fails with an error. */
static void test_message_fuzz(void **state)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	member_message_t *message = member_message_new(MEMBER_PING, "a");
	member_update_t *update =
		member_update_new(MEMBER_UPDATE_INSTANCE, "b", 7, MEMBER_ALIVE);
	codec_writer_t writer;
	int refused = 0;
	int i;

	update->place = member_place_copy(&place);
	g_ptr_array_add(message->updates, update);
	member_message_write(message, &writer);
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		size_t size = writer.buffer.size;
		char *bytes = g_memdup2(writer.buffer.data, size);
		member_message_t *copy;
		msgpack_unpacked unpacked;
		GError *error = NULL;

		bytes[g_rand_int_range(rand, 0, (int)size)] =
			(char)g_rand_int(rand);
		msgpack_unpacked_init(&unpacked);
		if (msgpack_unpack_next(&unpacked, bytes, size, NULL) ==
		    MSGPACK_UNPACK_SUCCESS) {
			copy = member_message_read(&unpacked.data, &error);
			assert_true(!copy == !!error);
			if (error)
				assert_int_equal(error_kind(error),
						 ERROR_PROTOCOL);
			refused += !!error;
			member_message_free(copy);
			g_clear_error(&error);
		}
		msgpack_unpacked_destroy(&unpacked);
		g_free(bytes);
	}
	assert_true(refused > 0);
	codec_write_release(&writer);
	member_message_free(message);
	g_rand_free(rand);
}

static void test_suspicion_is_refuted(void **state)
{
	fixture_t fixture;
	member_info_t info;

	fixture_setup(&fixture);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "self", INCARNATION,
		       MEMBER_SUSPECT, FALSE, START);
	assert_true(member_find(fixture.member, "self", &info));
	assert_int_equal(info.incarnation, INCARNATION + 1);
	assert_int_equal(info.state, MEMBER_ALIVE);
	/* An update with an older incarnation is ignored. */
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "self", INCARNATION,
		       MEMBER_FAILED, FALSE, START);
	assert_true(member_find(fixture.member, "self", &info));
	assert_int_equal(info.incarnation, INCARNATION + 1);
	fixture_teardown(&fixture);
}

static void test_state_precedence(void **state)
{
	fixture_t fixture;

	fixture_setup(&fixture);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE,
		       FALSE, START);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED,
		       FALSE, START);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_FAILED);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE,
		       FALSE, START);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_FAILED);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 6, MEMBER_ALIVE,
		       TRUE, START);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_LEAVING);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 6, MEMBER_LEFT,
		       TRUE, START);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_LEFT);
	fixture_teardown(&fixture);
}

/* Otherwise peers would bring back an instance that was removed. */
static void test_unknown_failed_ignored(void **state)
{
	fixture_t fixture;
	member_info_t info;

	fixture_setup(&fixture);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED,
		       FALSE, START);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "c", 5, MEMBER_LEFT,
		       FALSE, START);
	assert_false(member_find(fixture.member, "b", &info));
	assert_false(member_find(fixture.member, "c", &info));
	fixture_teardown(&fixture);
}

/* An instance that can't receive considers every other instance failed. */
static void test_failure_claims_of_failed_ignored(void **state)
{
	fixture_t fixture;

	fixture_setup(&fixture);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE,
		       FALSE, START);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "peer", 1,
		       MEMBER_FAILED, FALSE, START);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED,
		       FALSE, START);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_ALIVE);
	fixture_teardown(&fixture);
}

static void test_flapping_is_damped(void **state)
{
	fixture_t fixture;
	ms_t now = START;
	int changes;
	int i;

	fixture_setup(&fixture);
	for (i = 0; i < 4; i++) {
		receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 10 + i,
			       MEMBER_ALIVE, FALSE, now);
		assert_int_equal(state_of(&fixture, "b"),
				 i < 3 ? MEMBER_ALIVE : MEMBER_SUSPECT);
		receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 10 + i,
			       MEMBER_FAILED, FALSE, now);
		now += 1000;
	}
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 20, MEMBER_ALIVE,
		       FALSE, now);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_SUSPECT);
	changes = fixture.changes;
	now += 10 * 60 * 1000;
	member_tick(fixture.member, now);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_ALIVE);
	assert_int_equal(fixture.changes, changes + 1);
	fixture_teardown(&fixture);
}

static void test_lagging_list(void **state)
{
	fixture_t fixture;
	ms_t now = START;

	fixture_setup(&fixture);
	member_apply_listing(fixture.member, "b", &place, FALSE, now);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_ALIVE);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_LEFT,
		       TRUE, now);
	member_apply_listing(fixture.member, "b", &place, FALSE, now);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_LEFT);
	/* Restarted, while an outdated list still marks it as leaving. */
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "b", 9, MEMBER_ALIVE,
		       FALSE, now);
	member_apply_listing(fixture.member, "b", &place, TRUE, now + 1000);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_ALIVE);
	now += MEMBER_LIST_LAG_MAX + 1;
	member_apply_listing(fixture.member, "b", &place, TRUE, now);
	assert_int_equal(state_of(&fixture, "b"), MEMBER_LEAVING);
	fixture_teardown(&fixture);
}

static void test_endpoint_stays_leaving(void **state)
{
	fixture_t fixture;
	ms_t now = START;

	fixture_setup(&fixture);
	member_apply_endpoint_listing(fixture.member, "e", TRUE, now);
	assert_true(member_endpoint_is_leaving(fixture.member, "e"));
	member_apply_endpoint_listing(fixture.member, "e", FALSE, now + 1000);
	assert_true(member_endpoint_is_leaving(fixture.member, "e"));
	now += MEMBER_LIST_LAG_MAX + 2000;
	member_apply_endpoint_listing(fixture.member, "e", FALSE, now);
	assert_false(member_endpoint_is_leaving(fixture.member, "e"));
	/* An outdated update of a peer does not mark it as leaving again. */
	receive_update(&fixture, MEMBER_UPDATE_ENDPOINT, "e", INCARNATION,
		       MEMBER_ALIVE, TRUE, now);
	assert_false(member_endpoint_is_leaving(fixture.member, "e"));
	assert_int_equal(fixture.endpoint_events, 2);
	fixture_teardown(&fixture);
}

static void test_leave_requested(void **state)
{
	fixture_t fixture;
	member_info_t info;
	ms_t now = START;

	fixture_setup(&fixture);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "self", INCARNATION,
		       MEMBER_ALIVE, TRUE, now);
	/* Just started: the update concerns the previous process. */
	assert_int_equal(fixture.leave_requests, 0);
	assert_true(member_find(fixture.member, "self", &info));
	now += MEMBER_LIST_LAG_MAX;
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "self",
		       info.incarnation, MEMBER_ALIVE, TRUE, now);
	assert_int_equal(fixture.leave_requests, 1);
	member_leave(fixture.member, now);
	assert_int_equal(state_of(&fixture, "self"), MEMBER_LEAVING);
	fixture_teardown(&fixture);
}

static void test_generation_is_offered(void **state)
{
	member_message_t *message = member_message_new(MEMBER_GOSSIP, "peer");
	fixture_t fixture;

	fixture_setup(&fixture);
	member_set_generation(fixture.member, 7, START);
	message->generation = 6;
	member_receive(fixture.member, message, START);
	assert_int_equal(fixture.offered, 0);
	message->generation = 8;
	member_receive(fixture.member, message, START);
	assert_int_equal(fixture.offered, 8);
	member_message_free(message);
	fixture_teardown(&fixture);
}

static void test_ack_reports_failed_state(void **state)
{
	member_message_t *message = member_message_new(MEMBER_PING, "peer");
	const member_message_t *ack;
	const member_update_t *update;
	fixture_t fixture;

	fixture_setup(&fixture);
	member_apply_listing(fixture.member, "peer", &place, FALSE, START);
	receive_update(&fixture, MEMBER_UPDATE_INSTANCE, "peer", 1,
		       MEMBER_FAILED, FALSE, START);
	message->incarnation = 1;
	message->sequence = 77;
	member_receive(fixture.member, message, START);
	assert_int_equal(fixture.sent->len, 1);
	ack = fixture.sent->pdata[0];
	assert_int_equal(ack->type, MEMBER_ACK);
	assert_int_equal(ack->sequence, 77);
	update = ack->updates->pdata[0];
	assert_string_equal(update->name, "peer");
	assert_int_equal(update->state, MEMBER_FAILED);
	member_message_free(message);
	fixture_teardown(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_message_round_trip),
		cmocka_unit_test(test_message_fuzz),
		cmocka_unit_test(test_suspicion_is_refuted),
		cmocka_unit_test(test_state_precedence),
		cmocka_unit_test(test_unknown_failed_ignored),
		cmocka_unit_test(test_failure_claims_of_failed_ignored),
		cmocka_unit_test(test_flapping_is_damped),
		cmocka_unit_test(test_lagging_list),
		cmocka_unit_test(test_endpoint_stays_leaving),
		cmocka_unit_test(test_leave_requested),
		cmocka_unit_test(test_generation_is_offered),
		cmocka_unit_test(test_ack_reports_failed_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
