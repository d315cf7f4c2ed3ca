/* Membership, one decision at a time: two or three members, no network. */

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
	int told;
	gboolean endpoint_leaving;
	int endpoint_events;
} probe_t;

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
	probe_t *probe = ctx;

	g_ptr_array_add(probe->sent, copy_message(message));
}

static void on_change(void *ctx, const member_info_t *info)
{
	((probe_t *)ctx)->changes++;
}

static void on_endpoint(void *ctx, const char *endpoint, gboolean is_leaving)
{
	probe_t *probe = ctx;

	probe->endpoint_leaving = is_leaving;
	probe->endpoint_events++;
}

static void on_generation(void *ctx, const char *peer, int64_t generation)
{
	((probe_t *)ctx)->offered = generation;
}

static void on_told_to_leave(void *ctx)
{
	((probe_t *)ctx)->told++;
}

static const member_events_t events = {
	.send = on_send,
	.on_change = on_change,
	.on_endpoint = on_endpoint,
	.on_generation = on_generation,
	.on_told_to_leave = on_told_to_leave,
};

static member_place_t place = {"10.0.0.1", 80, 90, 91, "bc-lower", "mission"};

static void probe_open(probe_t *probe)
{
	member_options_t options = {.name = "self",
				    .place = &place,
				    .incarnation = INCARNATION,
				    .seed = 1};

	memset(probe, 0, sizeof(*probe));
	probe->sent = g_ptr_array_new_with_free_func(
		(GDestroyNotify)member_message_free);
	probe->member = member_create(&options, &events, probe, START);
}

static void probe_close(probe_t *probe)
{
	member_destroy(probe->member);
	g_ptr_array_unref(probe->sent);
}

/* A message from "peer" with one update. */
static void tell(probe_t *probe, member_kind_t kind, const char *name,
		 int64_t incarnation, member_state_t state, gboolean is_leaving,
		 ms_t now)
{
	member_message_t *message = member_message_new(MEMBER_GOSSIP, "peer");
	member_update_t *update =
		member_update_new(kind, name, incarnation, state);

	message->incarnation = 1;
	update->is_leaving = is_leaving;
	g_ptr_array_add(message->updates, update);
	member_receive(probe->member, message, now);
	member_message_free(message);
}

static member_state_t state_of(const probe_t *probe, const char *name)
{
	member_info_t info;

	assert_true(member_find(probe->member, name, &info));
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

/* Changed bytes give a message or an error, and nothing else. */
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
	probe_t probe;
	member_info_t info;

	probe_open(&probe);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "self", INCARNATION,
	     MEMBER_SUSPECT, FALSE, START);
	assert_true(member_find(probe.member, "self", &info));
	assert_int_equal(info.incarnation, INCARNATION + 1);
	assert_int_equal(info.state, MEMBER_ALIVE);
	/* What was said of an older life is no concern. */
	tell(&probe, MEMBER_UPDATE_INSTANCE, "self", INCARNATION, MEMBER_FAILED,
	     FALSE, START);
	assert_true(member_find(probe.member, "self", &info));
	assert_int_equal(info.incarnation, INCARNATION + 1);
	probe_close(&probe);
}

static void test_order_of_states(void **state)
{
	probe_t probe;

	probe_open(&probe);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE, FALSE,
	     START);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED, FALSE,
	     START);
	assert_int_equal(state_of(&probe, "b"), MEMBER_FAILED);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE, FALSE,
	     START);
	assert_int_equal(state_of(&probe, "b"), MEMBER_FAILED);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 6, MEMBER_ALIVE, TRUE, START);
	assert_int_equal(state_of(&probe, "b"), MEMBER_LEAVING);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 6, MEMBER_LEFT, TRUE, START);
	assert_int_equal(state_of(&probe, "b"), MEMBER_LEFT);
	probe_close(&probe);
}

/* Else a forgotten instance would be brought back by each peer in turn. */
static void test_dead_strangers_are_ignored(void **state)
{
	probe_t probe;
	member_info_t info;

	probe_open(&probe);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED, FALSE,
	     START);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "c", 5, MEMBER_LEFT, FALSE, START);
	assert_false(member_find(probe.member, "b", &info));
	assert_false(member_find(probe.member, "c", &info));
	probe_close(&probe);
}

/* One that is cut off one way takes everyone for failed. */
static void test_failed_accuse_nobody(void **state)
{
	probe_t probe;

	probe_open(&probe);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_ALIVE, FALSE,
	     START);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "peer", 1, MEMBER_FAILED, FALSE,
	     START);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_FAILED, FALSE,
	     START);
	assert_int_equal(state_of(&probe, "b"), MEMBER_ALIVE);
	probe_close(&probe);
}

static void test_flapping_is_damped(void **state)
{
	probe_t probe;
	ms_t now = START;
	int changes;
	int i;

	probe_open(&probe);
	for (i = 0; i < 4; i++) {
		tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 10 + i, MEMBER_ALIVE,
		     FALSE, now);
		assert_int_equal(state_of(&probe, "b"),
				 i < 3 ? MEMBER_ALIVE : MEMBER_SUSPECT);
		tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 10 + i, MEMBER_FAILED,
		     FALSE, now);
		now += 1000;
	}
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 20, MEMBER_ALIVE, FALSE, now);
	assert_int_equal(state_of(&probe, "b"), MEMBER_SUSPECT);
	changes = probe.changes;
	now += 10 * 60 * 1000;
	member_tick(probe.member, now);
	assert_int_equal(state_of(&probe, "b"), MEMBER_ALIVE);
	assert_int_equal(probe.changes, changes + 1);
	probe_close(&probe);
}

static void test_lagging_list(void **state)
{
	probe_t probe;
	ms_t now = START;

	probe_open(&probe);
	member_apply_listing(probe.member, "b", &place, FALSE, now);
	assert_int_equal(state_of(&probe, "b"), MEMBER_ALIVE);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 5, MEMBER_LEFT, TRUE, now);
	member_apply_listing(probe.member, "b", &place, FALSE, now);
	assert_int_equal(state_of(&probe, "b"), MEMBER_LEFT);
	/* Come anew; an old list still says that it leaves. */
	tell(&probe, MEMBER_UPDATE_INSTANCE, "b", 9, MEMBER_ALIVE, FALSE, now);
	member_apply_listing(probe.member, "b", &place, TRUE, now + 1000);
	assert_int_equal(state_of(&probe, "b"), MEMBER_ALIVE);
	now += MEMBER_LIST_LAG_MAX + 1;
	member_apply_listing(probe.member, "b", &place, TRUE, now);
	assert_int_equal(state_of(&probe, "b"), MEMBER_LEAVING);
	probe_close(&probe);
}

static void test_endpoint_stays_leaving(void **state)
{
	probe_t probe;
	ms_t now = START;

	probe_open(&probe);
	member_apply_endpoint_listing(probe.member, "e", TRUE, now);
	assert_true(member_endpoint_is_leaving(probe.member, "e"));
	member_apply_endpoint_listing(probe.member, "e", FALSE, now + 1000);
	assert_true(member_endpoint_is_leaving(probe.member, "e"));
	now += MEMBER_LIST_LAG_MAX + 2000;
	member_apply_endpoint_listing(probe.member, "e", FALSE, now);
	assert_false(member_endpoint_is_leaving(probe.member, "e"));
	/* An old word of a peer does not bring it back to leaving. */
	tell(&probe, MEMBER_UPDATE_ENDPOINT, "e", INCARNATION, MEMBER_ALIVE,
	     TRUE, now);
	assert_false(member_endpoint_is_leaving(probe.member, "e"));
	assert_int_equal(probe.endpoint_events, 2);
	probe_close(&probe);
}

static void test_told_to_leave(void **state)
{
	probe_t probe;
	member_info_t info;
	ms_t now = START;

	probe_open(&probe);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "self", INCARNATION, MEMBER_ALIVE,
	     TRUE, now);
	/* Just started: that was said of the one before. */
	assert_int_equal(probe.told, 0);
	assert_true(member_find(probe.member, "self", &info));
	now += MEMBER_LIST_LAG_MAX;
	tell(&probe, MEMBER_UPDATE_INSTANCE, "self", info.incarnation,
	     MEMBER_ALIVE, TRUE, now);
	assert_int_equal(probe.told, 1);
	member_leave(probe.member, now);
	assert_int_equal(state_of(&probe, "self"), MEMBER_LEAVING);
	probe_close(&probe);
}

static void test_generation_is_offered(void **state)
{
	member_message_t *message = member_message_new(MEMBER_GOSSIP, "peer");
	probe_t probe;

	probe_open(&probe);
	member_set_generation(probe.member, 7, START);
	message->generation = 6;
	member_receive(probe.member, message, START);
	assert_int_equal(probe.offered, 0);
	message->generation = 8;
	member_receive(probe.member, message, START);
	assert_int_equal(probe.offered, 8);
	member_message_free(message);
	probe_close(&probe);
}

static void test_answers_with_accusation(void **state)
{
	member_message_t *message = member_message_new(MEMBER_PING, "peer");
	const member_message_t *answer;
	const member_update_t *update;
	probe_t probe;

	probe_open(&probe);
	member_apply_listing(probe.member, "peer", &place, FALSE, START);
	tell(&probe, MEMBER_UPDATE_INSTANCE, "peer", 1, MEMBER_FAILED, FALSE,
	     START);
	message->incarnation = 1;
	message->sequence = 77;
	member_receive(probe.member, message, START);
	assert_int_equal(probe.sent->len, 1);
	answer = probe.sent->pdata[0];
	assert_int_equal(answer->type, MEMBER_ACK);
	assert_int_equal(answer->sequence, 77);
	update = answer->updates->pdata[0];
	assert_string_equal(update->name, "peer");
	assert_int_equal(update->state, MEMBER_FAILED);
	member_message_free(message);
	probe_close(&probe);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_message_round_trip),
		cmocka_unit_test(test_message_fuzz),
		cmocka_unit_test(test_suspicion_is_refuted),
		cmocka_unit_test(test_order_of_states),
		cmocka_unit_test(test_dead_strangers_are_ignored),
		cmocka_unit_test(test_failed_accuse_nobody),
		cmocka_unit_test(test_flapping_is_damped),
		cmocka_unit_test(test_lagging_list),
		cmocka_unit_test(test_endpoint_stays_leaving),
		cmocka_unit_test(test_told_to_leave),
		cmocka_unit_test(test_generation_is_offered),
		cmocka_unit_test(test_answers_with_accusation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
