/* Placement news: one sender and one reader, with messages lost between. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "member/placement_updates.h"

#define SEEDS	  200
#define STEPS	  400
#define STREAM	  99
#define ENDPOINTS 3
#define ADAPTERS  20

typedef struct {
	updates_sender_t *sender;
	updates_reader_t *reader;
	GHashTable *view; /* set of "endpoint adapter" */
	GPtrArray *asked;
	int delivered;
	ms_t now;
	double loss;
	GRand *rand;
} pair_t;

static updates_message_t *copy_message(const updates_message_t *message)
{
	codec_writer_t writer;
	msgpack_unpacked unpacked;
	updates_message_t *copy;

	updates_message_write(message, &writer);
	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, writer.buffer.data,
					     writer.buffer.size, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	copy = updates_message_read(&unpacked.data, NULL);
	assert_non_null(copy);
	msgpack_unpacked_destroy(&unpacked);
	codec_write_release(&writer);
	return copy;
}

static gboolean is_lost(pair_t *pair)
{
	return g_rand_double(pair->rand) < pair->loss;
}

static void on_send(void *ctx, const char *entry,
		    const updates_message_t *message)
{
	pair_t *pair = ctx;
	updates_message_t *copy = copy_message(message);

	if (!is_lost(pair))
		updates_reader_receive(pair->reader, "owner", copy, pair->now);
	updates_message_free(copy);
}

static void on_ask(void *ctx, const char *owner)
{
	pair_t *pair = ctx;

	if (!is_lost(pair))
		updates_sender_subscribe(pair->sender, "entry", pair->now);
}

static void on_reset(void *ctx, const char *owner)
{
	g_hash_table_remove_all(((pair_t *)ctx)->view);
}

static gboolean is_of_endpoint(gpointer key, gpointer value, gpointer endpoint)
{
	return g_str_has_prefix(key, endpoint);
}

static void on_endpoint(void *ctx, const char *owner,
			const updates_endpoint_t *endpoint)
{
	pair_t *pair = ctx;
	guint i;

	pair->delivered++;
	if (endpoint->is_dropped)
		g_hash_table_foreach_remove(pair->view, is_of_endpoint,
					    endpoint->endpoint);
	for (i = 0; i < endpoint->changes->len; i++) {
		const updates_change_t *change = endpoint->changes->pdata[i];
		char *key = g_strdup_printf("%s %s", endpoint->endpoint,
					    change->adapter);

		if (change->is_resident)
			g_hash_table_add(pair->view, key);
		else
			g_hash_table_remove(pair->view, key);
		if (!change->is_resident)
			g_free(key);
	}
}

static const updates_sender_events_t sender_events = {on_send};
static const updates_reader_events_t reader_events = {on_ask, on_reset,
						      on_endpoint};

static void pair_open(pair_t *pair, uint32_t seed, int bytes_per_second)
{
	updates_options_t options = {.stream = STREAM,
				     .bytes_per_second = bytes_per_second};

	memset(pair, 0, sizeof(*pair));
	pair->rand = g_rand_new_with_seed(seed);
	pair->sender = updates_sender_create(&options, &sender_events, pair);
	pair->reader = updates_reader_create(&reader_events, pair);
	pair->view =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	updates_reader_subscribe(pair->reader, "owner", pair->now);
}

static void pair_close(pair_t *pair)
{
	updates_sender_destroy(pair->sender);
	updates_reader_destroy(pair->reader);
	g_hash_table_destroy(pair->view);
	g_rand_free(pair->rand);
}

static void pair_run(pair_t *pair, ms_t duration)
{
	ms_t end = pair->now + duration;

	while (pair->now < end) {
		pair->now += 10;
		updates_sender_tick(pair->sender, pair->now);
		updates_reader_tick(pair->reader, pair->now);
	}
}

static void change_at_random(pair_t *pair, GHashTable *truth)
{
	char *endpoint = g_strdup_printf(
		"e%d", g_rand_int_range(pair->rand, 0, ENDPOINTS));
	char *adapter = g_strdup_printf(
		"a%d@1", g_rand_int_range(pair->rand, 0, ADAPTERS));
	char *key = g_strdup_printf("%s %s", endpoint, adapter);

	if (!g_rand_int_range(pair->rand, 0, 50)) {
		updates_sender_drop_endpoint(pair->sender, endpoint, pair->now);
		g_hash_table_foreach_remove(truth, is_of_endpoint, endpoint);
	} else if (g_hash_table_remove(truth, key)) {
		updates_sender_set_resident(pair->sender, endpoint, 1, adapter,
					    FALSE, pair->now);
	} else {
		updates_sender_set_resident(pair->sender, endpoint, 1, adapter,
					    TRUE, pair->now);
		g_hash_table_add(truth, g_strdup(key));
	}
	g_free(key);
	g_free(adapter);
	g_free(endpoint);
}

static void check_same(const pair_t *pair, GHashTable *truth, uint32_t seed)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, truth);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(pair->view, key))
			fail_msg("seed %u: %s was not told", seed,
				 (const char *)key);
	}
	assert_int_equal(g_hash_table_size(pair->view),
			 g_hash_table_size(truth));
}

static void test_random_changes(void **state)
{
	uint32_t seed;
	int i;

	for (seed = 1; seed <= SEEDS; seed++) {
		GHashTable *truth = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		pair_t pair;

		pair_open(&pair, seed, 1000);
		pair.loss = 0.2;
		for (i = 0; i < STEPS; i++) {
			change_at_random(&pair, truth);
			pair_run(&pair, g_rand_int_range(pair.rand, 0, 500));
		}
		/* One change that arrives shows the gaps before it. */
		pair.loss = 0;
		pair_run(&pair, 60000);
		change_at_random(&pair, truth);
		pair_run(&pair, 60000);
		check_same(&pair, truth, seed);
		pair_close(&pair);
		g_hash_table_destroy(truth);
	}
}

/* A restarted owner counts anew; what its predecessor told is void. */
static void test_new_stream_resets(void **state)
{
	updates_message_t *message = updates_message_new(UPDATES_CHANGES);
	pair_t pair;

	pair_open(&pair, 1, 0);
	updates_sender_set_resident(pair.sender, "e0", 1, "a@1", TRUE, 0);
	pair_run(&pair, 1000);
	assert_int_equal(g_hash_table_size(pair.view), 1);
	message->stream = STREAM + 1;
	message->sequence = 1;
	updates_reader_receive(pair.reader, "owner", message, pair.now);
	assert_true(updates_reader_due(pair.reader) != MS_NEVER);
	pair_run(&pair, 1000);
	assert_true(updates_reader_due(pair.reader) == MS_NEVER);
	updates_reader_unsubscribe(pair.reader, "owner");
	assert_int_equal(g_hash_table_size(pair.view), 0);
	updates_message_free(message);
	pair_close(&pair);
}

/*
 * An owner restarts so fast that its reader sees only a new connection.  The
 * new process knows nobody to tell, so the reader has to ask.
 */
static void test_new_connection_asks_anew(void **state)
{
	updates_options_t options = {.stream = STREAM + 1};
	pair_t pair;

	pair_open(&pair, 1, 0);
	updates_sender_set_resident(pair.sender, "e0", 1, "a@1", TRUE, 0);
	pair_run(&pair, 1000);
	assert_true(g_hash_table_contains(pair.view, "e0 a@1"));
	updates_sender_destroy(pair.sender);
	pair.sender = updates_sender_create(&options, &sender_events, &pair);
	updates_reader_connected(pair.reader, "owner", pair.now);
	updates_sender_set_resident(pair.sender, "e1", 2, "b@1", TRUE,
				    pair.now);
	pair_run(&pair, 1000);
	assert_true(g_hash_table_contains(pair.view, "e1 b@1"));
	assert_false(g_hash_table_contains(pair.view, "e0 a@1"));
	pair_close(&pair);
}

/* Changes wait while the rate is used up, and then go out as one. */
static void test_rate_is_bounded(void **state)
{
	updates_stats_t stats;
	pair_t pair;
	int i;

	pair_open(&pair, 1, 100);
	pair_run(&pair, 1000);
	for (i = 0; i < 3000; i++) {
		updates_sender_set_resident(pair.sender, "e0", 1, "a@1", i & 1,
					    pair.now);
		pair_run(&pair, 100);
	}
	updates_sender_stats(pair.sender, &stats);
	assert_true(stats.bytes_sent <= 100 * 301 + 2000);
	assert_true(stats.messages_sent < 600);
	pair_run(&pair, 60000);
	assert_int_equal(g_hash_table_size(pair.view), 1);
	pair_close(&pair);
}

static void test_load_is_told_when_it_doubles(void **state)
{
	updates_load_t load = {.running = 4};
	pair_t pair;
	int before;

	pair_open(&pair, 1, 0);
	updates_sender_set_load(pair.sender, "e0", 1, &load, 0);
	pair_run(&pair, 1000);
	before = pair.delivered;
	load.running = 7;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before);
	load.running = 8;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before + 1);
	load.is_leaving = TRUE;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before + 2);
	pair_close(&pair);
}

/* Of an engine that is quiet, whether it has room for another adapter. */
static void test_room_is_told(void **state)
{
	updates_load_t load = {0};
	pair_t pair;
	int before;

	pair_open(&pair, 1, 0);
	updates_sender_set_load(pair.sender, "e0", 1, &load, 0);
	pair_run(&pair, 1000);
	before = pair.delivered;
	load.victim_slots = 4;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before + 1);
	load.victim_slots = 2;
	load.free_slots = 1;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before + 1);
	load.victim_slots = 0;
	load.free_slots = 0;
	updates_sender_set_load(pair.sender, "e0", 1, &load, pair.now);
	pair_run(&pair, 1000);
	assert_int_equal(pair.delivered, before + 2);
	pair_close(&pair);
}

static void test_scope(void **state)
{
	assert_true(updates_should_subscribe("r", "d", "r", "other", 9));
	assert_false(updates_should_subscribe("r", "d", "r", "other", 175));
	assert_true(updates_should_subscribe("r", "d", "r", "d", 175));
	assert_false(updates_should_subscribe("r", "d", "s", "d", 9));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_changes),
		cmocka_unit_test(test_new_stream_resets),
		cmocka_unit_test(test_new_connection_asks_anew),
		cmocka_unit_test(test_rate_is_bounded),
		cmocka_unit_test(test_load_is_told_when_it_doubles),
		cmocka_unit_test(test_room_is_told),
		cmocka_unit_test(test_scope),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
