/*
 * Engines that state how long work takes there; each comment names the load
 * that a test models, or the failure that it guards against.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/hash.h"
#include "front/adapters_private.h"
#include "hold/admission_queue.h"
#include "hold/engine_pace.h"
#include "route/fleet.h"

#define SEED	       11
#define PREFILL_PER_MS 40.0

/*
 * An engine states 170, and 425 in one of four answers.  Scaled by the newest
 * figure the prefill bucket would swing by 2.5 with each answer.
 */
static void test_moments_do_not_swing(void **state)
{
	engine_pace_t pace;
	ms_t now;
	int i = 0;

	engine_pace_init(&pace);
	for (now = 0; now < 10000; now += 200, i++) {
		engine_pace_note(&pace, now, i % 4 == 2 ? 425 : 170);
		assert_int_equal(engine_pace_percent(&pace, now), 170);
	}
	/* A change that lasts is followed after four answers. */
	for (i = 0; i < 4; i++, now += 200)
		engine_pace_note(&pace, now, 425);
	assert_int_equal(engine_pace_percent(&pace, now), 425);
}

/* No answer for two seconds: the engine counts as usual, not as it once was. */
static void test_pace_of_silent_engine_is_usual(void **state)
{
	engine_pace_t pace;

	engine_pace_init(&pace);
	assert_int_equal(engine_pace_percent(&pace, 0), 100);
	assert_int_equal(engine_pace_stated(&pace, 0), 0);
	engine_pace_note(&pace, 500, 0);
	assert_int_equal(engine_pace_stated(&pace, 500), 0);
	engine_pace_note(&pace, 1000, 170);
	assert_int_equal(engine_pace_stated(&pace, 2999), 170);
	assert_int_equal(engine_pace_stated(&pace, 3000), 0);
	assert_int_equal(engine_pace_percent(&pace, 3000), 100);
	/* Absurd statements don't stop the engine's queue. */
	engine_pace_note(&pace, 4000, 99999);
	assert_int_equal(engine_pace_percent(&pace, 4000),
			 ENGINE_PACE_MAX_PERCENT);
}

static fleet_endpoint_t *add_engine(fleet_t *fleet, int number,
				    int64_t started_at, int places)
{
	char *models[] = {(char *)"base", NULL};
	char id[16];
	endpoint_info_t info = {
		.id = id,
		.service = "assist",
		.address = "10.0.0.1",
		.port = 80,
		.failure_domain = number % 3 ? "a" : "b",
		.started_at = started_at,
		.places = places,
		.is_engine = TRUE,
		.models = models,
	};

	g_snprintf(id, sizeof(id), "%d", number);
	return fleet_update_endpoint(fleet, &info);
}

/* An engine restarts: what it stated before does not describe it any more. */
static void test_restarted_engine(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	fleet_endpoint_t *engine = add_engine(fleet, 1, 1, 16);
	endpoint_load_t load = {.running = 1, .places = 16};
	engine_pace_t pace;

	load.work_percent = 170;
	fleet_endpoint_note_load(engine, 0, &load);
	assert_int_equal(fleet_endpoint_work_percent(engine), 170);
	engine = add_engine(fleet, 1, 2, 16);
	assert_int_equal(fleet_endpoint_work_percent(engine), 0);
	engine_pace_init(&pace);
	engine_pace_note(&pace, 0, 170);
	engine_pace_init(&pace);
	assert_int_equal(engine_pace_percent(&pace, 0), 100);
	fleet_destroy(fleet);
}

/* Opens what was written as a peer receives it; texts point into the writer. */
static int open_message(codec_writer_t *writer, msgpack_unpacked *message,
			codec_reader_t *reader)
{
	int type;

	msgpack_unpacked_init(message);
	assert_int_equal(msgpack_unpack_next(message, writer->buffer.data,
					     writer->buffer.size, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	codec_read_init(reader, &message->data, &type);
	return type;
}

/*
 * A peer of an older version sends RELEASE and replies without the last field.
 * They have to be understood, and mean that nothing was stated.
 */
static void test_old_peer(void **state)
{
	admission_end_t end = {0};
	holder_reply_t reply = {0};
	admission_id_t id;
	msgpack_unpacked message;
	codec_writer_t writer;
	codec_reader_t reader;
	char *engine;
	int type;
	int i;

	codec_write_init(&writer, MESSAGE_RELEASE, 3);
	codec_write_text(&writer, "engine");
	codec_write_int(&writer, 7);
	codec_write_bool(&writer, TRUE);
	open_message(&writer, &message, &reader);
	assert_true(message_read_release(&reader, &engine, &id, &end));
	assert_int_equal(id, 7);
	assert_true(end.has_run);
	assert_int_equal(end.work_percent, 0);
	g_free(engine);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
	codec_write_init(&writer, MESSAGE_ADMITTED, 6);
	for (i = 1; i <= 6; i++)
		codec_write_int(&writer, i);
	type = open_message(&writer, &message, &reader);
	assert_true(message_read_reply(&reader, type, &reply));
	assert_int_equal(reply.waiting, 4);
	assert_int_equal(reply.work_percent, 0);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
}

/*
 * An older peer does not read a field that it doesn't know: engines that state
 * nothing give messages as before.  What is stated arrives.
 */
static void test_fields_only_if_stated(void **state)
{
	const admission_end_t silent = {.has_run = TRUE};
	const admission_end_t stated = {.has_run = TRUE, .work_percent = 170};
	holder_reply_t reply = {.type = MESSAGE_ADMITTED, .admission = 3};
	holder_reply_t received = {0};
	admission_end_t end = {0};
	admission_id_t id;
	msgpack_unpacked message;
	codec_writer_t writer;
	codec_reader_t reader;
	char *engine;
	int type;

	message_write_release(&writer, "engine", 7, &silent);
	open_message(&writer, &message, &reader);
	assert_int_equal(reader.left, 3);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
	message_write_release(&writer, "engine", 7, &stated);
	open_message(&writer, &message, &reader);
	assert_true(message_read_release(&reader, &engine, &id, &end));
	assert_int_equal(end.work_percent, 170);
	g_free(engine);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
	message_write_reply(&writer, &reply);
	open_message(&writer, &message, &reader);
	assert_int_equal(reader.left, 6);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
	reply.work_percent = 70;
	message_write_reply(&writer, &reply);
	type = open_message(&writer, &message, &reader);
	assert_true(message_read_reply(&reader, type, &received));
	assert_int_equal(received.work_percent, 70);
	msgpack_unpacked_destroy(&message);
	codec_write_release(&writer);
}

/*
 * The choices of a fleet in which no engine states its pace, as the version
 * before paces made them: 12 engines under changing loads, 3,000 requests.
 */
#define CHOICES_BEFORE_PACES UINT64_C(10686347342702126703)

static void test_choices_without_pace(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	GRand *rand = g_rand_new_with_seed(SEED);
	GString *choices = g_string_new(NULL);
	fleet_endpoint_t *engines[12];
	int i;

	for (i = 0; i < 12; i++)
		engines[i] = add_engine(fleet, i, 1, 10);
	for (i = 0; i < 3000; i++) {
		ms_t now = i * 10;
		char adapter[32];
		fleet_query_t query = {.service = "assist", .model = "base"};
		fleet_endpoint_t *some = engines[g_rand_int_range(rand, 0, 12)];
		endpoint_load_t load = {0};
		fleet_choice_t choice;

		load.running = g_rand_int_range(rand, 0, 16);
		load.places = 10;
		fleet_endpoint_note_load(some, now, &load);
		g_snprintf(adapter, sizeof(adapter), "base/a%d",
			   g_rand_int_range(rand, 0, 40));
		if (g_rand_int_range(rand, 0, 4))
			query.adapter = adapter;
		query.prompt = (prompt_length_t)g_rand_int_range(rand, 0, 3);
		fleet_choose(fleet, now, &query, &choice);
		g_string_append_printf(
			choices, "%s,%d,%s;",
			fleet_endpoint_id(choice.endpoint), choice.is_resident,
			choice.replica ? fleet_endpoint_id(choice.replica)
				       : "");
		if (query.adapter && !g_rand_int_range(rand, 0, 3))
			fleet_endpoint_set_adapter(choice.endpoint, adapter, 1);
	}
	assert_int_equal(hash_rendezvous("choices", choices->str),
			 CHOICES_BEFORE_PACES);
	g_string_free(choices, TRUE);
	g_rand_free(rand);
	fleet_destroy(fleet);
}

/* Slow engines are chosen less under the same load, and fast ones more. */
static void test_slow_engine_counts_as_fuller(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	int used[12] = {0};
	int slow = 0;
	int i;

	for (i = 0; i < 12; i++) {
		endpoint_load_t load = {.running = 5, .places = 10};

		load.work_percent = i % 3 ? 70 : 170;
		fleet_endpoint_note_load(add_engine(fleet, i, 1, 10), 0, &load);
	}
	for (i = 0; i < 600; i++) {
		char adapter[32];
		fleet_query_t query = {.service = "assist",
				       .model = "base",
				       .adapter = adapter};
		fleet_choice_t choice;

		g_snprintf(adapter, sizeof(adapter), "base/a%d", i);
		fleet_choose(fleet, 0, &query, &choice);
		used[atoi(fleet_endpoint_id(choice.endpoint))]++;
	}
	for (i = 0; i < 12; i += 3)
		slow += used[i];
	/* A third of the choices by the number of requests alone. */
	assert_true(slow < 600 / 6);
	fleet_destroy(fleet);
}

/*
 * Prompts that are read in 0.8 of the longest time of a short one: a slow
 * engine would pause its streams for 1.36 times that.  Long ones fit a fast
 * engine.
 */
static void test_prompt_length_by_pace(void **state)
{
	fleet_t *fleet = fleet_create("front-1", "a");
	int i;

	for (i = 0; i < 12; i++) {
		endpoint_load_t load = {.running = 2, .places = 10};

		load.work_percent = i % 3 ? 70 : 170;
		fleet_endpoint_note_load(add_engine(fleet, i, 1, 10), 0, &load);
	}
	for (i = 0; i < 200; i++) {
		char adapter[32];
		fleet_query_t query = {.service = "assist",
				       .model = "base",
				       .adapter = adapter,
				       .prompt = PROMPT_SHORT,
				       .prefill_share = 0.8};
		fleet_choice_t choice;

		g_snprintf(adapter, sizeof(adapter), "base/a%d", i);
		fleet_choose(fleet, 0, &query, &choice);
		assert_int_not_equal(
			atoi(fleet_endpoint_id(choice.endpoint)) % 3, 0);
	}
	fleet_destroy(fleet);
}

/*
 * A model of engines that read the prompts of admitted requests between the
 * tokens of their streams: a step reads what was admitted during the step
 * before and makes one token for each stream.
 */
#define ENGINES	       6
#define PLACES	       16
#define DECODE_STEP_MS 30
#define STREAM_TOKENS  4
#define PAUSE_LIMIT_MS 300
#define TRIES	       5
#define WAIT_MAX_MS    150
#define STREAMS_MAX    20000
#define PER_S	       130 /* requests */

typedef struct model model_t;

typedef struct {
	model_t *model;
	int engine;
	int64_t prompt;
	ticket_t *ticket;
	int tokens_left;
	gboolean has_begun;
	gboolean is_late;
} stream_t;

struct model {
	fleet_t *fleet;
	GRand *rand;
	gboolean uses_pace;
	admission_queue_t *queues[ENGINES];
	engine_pace_t paces[ENGINES];
	fleet_endpoint_t *engines[ENGINES];
	double unread[ENGINES];	   /* prefill admitted since the step began */
	double step_ends[ENGINES]; /* time */
	double step_time[ENGINES];
	stream_t *streams;
	int count;
	int refused;
	int late[ENGINES];
	int served[ENGINES];
	ms_t now;
};

static int model_pace(int engine)
{
	return engine % 3 ? 70 : 170;
}

static void on_stream_admitted(void *ctx, ticket_t *ticket)
{
	model_t *model = ctx;
	stream_t *stream = ticket_data(ticket);

	stream->tokens_left = STREAM_TOKENS;
	model->unread[stream->engine] += (double)stream->prompt /
					 PREFILL_PER_MS *
					 model_pace(stream->engine) / 100;
}

static void model_note_load(model_t *model, int engine)
{
	const admission_queue_t *queue = model->queues[engine];
	endpoint_load_t load = {.running = admission_queue_running(queue),
				.waiting = admission_queue_waiting(queue),
				.places = PLACES};

	if (model->uses_pace)
		load.work_percent = model_pace(engine);
	fleet_endpoint_note_load(model->engines[engine], model->now, &load);
}

static void model_arrive(model_t *model)
{
	stream_t *stream = &model->streams[model->count++];
	GPtrArray *tried = g_ptr_array_new();
	char adapter[32];
	int i;

	stream->model = model;
	stream->prompt = g_rand_int_range(model->rand, 600, 2400);
	g_snprintf(adapter, sizeof(adapter), "base/a%d",
		   g_rand_int_range(model->rand, 0, 60));
	for (i = 0; i < TRIES && !stream->ticket; i++) {
		fleet_query_t query = {.service = "assist",
				       .model = "base",
				       .adapter = adapter,
				       .tried = tried};
		admission_queue_request_t request = {.prompt = stream->prompt,
						     .wait_max = WAIT_MAX_MS};
		fleet_choice_t choice;
		ms_t wait;

		fleet_choose(model->fleet, model->now, &query, &choice);
		stream->engine = atoi(fleet_endpoint_id(choice.endpoint));
		stream->ticket = admission_queue_submit(
			model->queues[stream->engine], model->now, &request,
			stream, &wait);
		model_note_load(model, stream->engine);
		g_ptr_array_add(tried, choice.endpoint);
	}
	model->refused += !stream->ticket;
	g_ptr_array_free(tried, TRUE);
}

static void stream_end(model_t *model, stream_t *stream)
{
	int engine = stream->engine;

	admission_queue_done(model->queues[engine], model->now, stream->ticket,
			     TRUE);
	stream->ticket = NULL;
	model->served[engine]++;
	model->late[engine] += stream->is_late;
	if (!model->uses_pace)
		return;
	engine_pace_note(&model->paces[engine], model->now, model_pace(engine));
	admission_queue_set_pace(
		model->queues[engine],
		engine_pace_percent(&model->paces[engine], model->now));
}

/* Each stream gets a token, and the next step begins. */
static void model_end_step(model_t *model, int engine)
{
	int i;

	for (i = 0; i < model->count; i++) {
		stream_t *stream = &model->streams[i];

		if (!stream->ticket || stream->engine != engine ||
		    !stream->tokens_left)
			continue;
		if (stream->has_begun &&
		    model->step_time[engine] > PAUSE_LIMIT_MS)
			stream->is_late = TRUE;
		stream->has_begun = TRUE;
		if (!--stream->tokens_left)
			stream_end(model, stream);
	}
	model->step_time[engine] = model->unread[engine] +
				   DECODE_STEP_MS * model_pace(engine) / 100.0;
	model->unread[engine] = 0;
	model->step_ends[engine] =
		(double)model->now + model->step_time[engine];
}

static void model_run(model_t *model, gboolean uses_pace, double per_s)
{
	static const admission_queue_options_t options = {
		.places = PLACES, .prefill_per_ms = PREFILL_PER_MS};
	static const admission_queue_actions_t actions = {on_stream_admitted};
	int i;

	memset(model, 0, sizeof(*model));
	model->uses_pace = uses_pace;
	model->fleet = fleet_create("front-1", "a");
	model->rand = g_rand_new_with_seed(SEED);
	model->streams = g_new0(stream_t, STREAMS_MAX);
	for (i = 0; i < ENGINES; i++) {
		model->queues[i] =
			admission_queue_create(&options, &actions, model);
		model->engines[i] = add_engine(model->fleet, i, 1, PLACES);
	}
	for (model->now = 0; model->now < 20000; model->now++) {
		if (g_rand_double(model->rand) < per_s / 1000)
			model_arrive(model);
		for (i = 0; i < ENGINES; i++) {
			admission_queue_tick(model->queues[i], model->now);
			if ((double)model->now >= model->step_ends[i])
				model_end_step(model, i);
		}
	}
}

static void model_release(model_t *model)
{
	int i;

	for (i = 0; i < ENGINES; i++)
		admission_queue_destroy(model->queues[i]);
	fleet_destroy(model->fleet);
	g_rand_free(model->rand);
	g_free(model->streams);
}

static int sum(const int *values)
{
	int total = 0;
	int i;

	for (i = 0; i < ENGINES; i++)
		total += values[i];
	return total;
}

/*
 * Engines of pace 170 beside those of 70: taken for equal, the slow ones pause
 * their streams for longer than 300 ms while the fast ones have time left.
 */
static void test_slow_engines_beside_fast_ones(void **state)
{
	model_t before;
	model_t after;

	model_run(&before, FALSE, PER_S);
	model_run(&after, TRUE, PER_S);
	print_message("before: %d late of %d, %d refused; "
		      "after: %d late of %d, %d refused\n",
		      sum(before.late), sum(before.served), before.refused,
		      sum(after.late), sum(after.served), after.refused);
	assert_true(sum(before.late) > sum(before.served) / 5);
	assert_int_equal(sum(after.late), 0);
	/* What the slow ones no longer take the fast ones do. */
	assert_true(sum(after.served) > sum(before.served));
	assert_true(after.served[1] > before.served[1]);
	assert_true(after.refused < before.refused);
	model_release(&before);
	model_release(&after);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_moments_do_not_swing),
		cmocka_unit_test(test_pace_of_silent_engine_is_usual),
		cmocka_unit_test(test_restarted_engine),
		cmocka_unit_test(test_old_peer),
		cmocka_unit_test(test_fields_only_if_stated),
		cmocka_unit_test(test_choices_without_pace),
		cmocka_unit_test(test_slow_engine_counts_as_fuller),
		cmocka_unit_test(test_prompt_length_by_pace),
		cmocka_unit_test(test_slow_engines_beside_fast_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
