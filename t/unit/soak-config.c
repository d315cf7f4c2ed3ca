/*
 * Racing operators, lost and late answers, lagging watches, outages, cut-off
 * and restarted followers, and a peer that offers older generations.
 *
 * Checked: a generation holds one text everywhere, a commit that was refused is
 * never seen, no follower goes back, and once the service answers and peers
 * talk a commit is in force everywhere within FORCE_MS.
 *
 * SEEDS sets how many seeds are run; SEED runs one and prints its trace.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "config/follower.h"
#include "config/store.h"
#include "fake_kv.h"

#define FOLLOWERS	8
#define OPERATORS	2
#define STEP_MS		50
#define CHAOS_MS	30000
#define FORCE_MS	6000
#define PROBE_MS	500
#define SETTLE_MS	40000
#define PEER_DELAY_MAX	60
#define PARSE_DELAY_MAX 400
#define COMMITS_MAX	4000
#define LARGE_EVERY	25
#define LARGE_LINES	18000
#define FILLER_LINES	400
#define DEFAULT_SEEDS	150
#define WEIGHT_SCALE	1e6
#define ADAPTERS	3

typedef struct run run_t;

typedef struct {
	run_t *run;
	int index;
	kv_t *kv;
	follower_t *follower;
	int64_t highest; /* since it was started */
	gboolean is_cut; /* from its peers */
	int life;
	int next_peer; /* probed in turn */
} member_t;

typedef struct {
	run_t *run;
	kv_t *kv;
	config_store_t *store;
	gboolean is_busy;
	int commit; /* the number of the last one */
	int64_t accepted;
} writer_t;

struct run {
	guint32 seed;
	GRand *rand;
	fake_kv_t *fake;
	member_t members[FOLLOWERS];
	writer_t writers[OPERATORS];
	int commits;
	int64_t newest;			  /* accepted, as far as known */
	char state[COMMITS_MAX];	  /* 'a' accepted, 'r' refused, '?' */
	GHashTable *commit_of_generation; /* as seen in force */
	gboolean is_traced;
};

/* A message between peers. */
typedef struct {
	run_t *run;
	int to;
	int life;
	int from;
	int64_t generation; /* of an offer; 0: question or answer */
	char *name;
	uint64_t ticket;
	GBytes *bytes;
	gboolean is_answer;
} message_t;

static gboolean chance(run_t *run, int in_thousand)
{
	return g_rand_int_range(run->rand, 0, 1000) < in_thousand;
}

static void trace(run_t *run, const char *what, int who, int64_t number)
{
	if (run->is_traced)
		print_message("%" G_GINT64_FORMAT " %s %d %" G_GINT64_FORMAT
			      "\n",
			      fake_kv_now(run->fake), what, who, number);
}

static void check(run_t *run, gboolean holds, const char *what)
{
	if (holds)
		return;
	print_error("seed %u at %" G_GINT64_FORMAT
		    ": %s; replay with SEED=%u\n",
		    run->seed, fake_kv_now(run->fake), what, run->seed);
	fail();
}

static char *make_text(int commit)
{
	GString *text = g_string_new(NULL);
	/* Now and then more chunks than one transaction holds, all new. */
	gboolean is_large = commit % LARGE_EVERY == 5;
	int lines = is_large ? LARGE_LINES : FILLER_LINES;
	int i;

	g_string_append_printf(
		text,
		"{\"format\": 1, \"batch_weight\": %.6f, \"regions\": {},\n"
		"\"base_models\": {\"b\": {\"adapters\": [\"first@1\",\n"
		"\"commit@%d\",\n\"last@1\"]}},\n"
		"\"services\": [], \"endpoints\": [],\n"
		"\"callers\": [], \"operators\": [{\"name\": \"o\", \"role\": "
		"\"editor\", \"token_sha256\": [\"%064x\"]}]}\n",
		commit / WEIGHT_SCALE, commit, 1);
	for (i = 0; i < lines; i++)
		g_string_append_printf(text, "// line %d of commit %d\n", i,
				       is_large || i % 50 == 0 ? commit : 0);
	return g_string_free(text, FALSE);
}

static void message_free(message_t *message)
{
	g_free(message->name);
	if (message->bytes)
		g_bytes_unref(message->bytes);
	g_free(message);
}

static void on_delivery(void *ctx);

static void post(message_t *message)
{
	run_t *run = message->run;
	ms_t delay = g_rand_int_range(run->rand, 1, PEER_DELAY_MAX);

	message->life = run->members[message->to].life;
	fake_kv_schedule(run->fake, fake_kv_now(run->fake) + delay, on_delivery,
			 message);
}

static void answer(member_t *member, const message_t *question)
{
	message_t *message = g_new0(message_t, 1);

	message->run = member->run;
	message->to = question->from;
	message->from = member->index;
	message->ticket = question->ticket;
	message->bytes = follower_serve(member->follower, question->name);
	message->is_answer = TRUE;
	post(message);
}

static void offer(run_t *run, int from, int to, int64_t generation)
{
	message_t *message = g_new0(message_t, 1);

	message->run = run;
	message->from = from;
	message->to = to;
	message->generation = generation;
	post(message);
}

/* A probe carries a generation, and so does its acknowledgement. */
static void take_offer(member_t *member, const message_t *message)
{
	int64_t generation = follower_generation(member->follower);
	char peer[8];

	g_snprintf(peer, sizeof(peer), "%d", message->from);
	follower_offer(member->follower, message->generation, peer);
	if (generation > message->generation)
		offer(member->run, member->index, message->from, generation);
}

static void on_delivery(void *ctx)
{
	message_t *message = ctx;
	member_t *member = &message->run->members[message->to];
	gsize size = 0;
	const char *data = NULL;

	if (message->life != member->life || member->is_cut ||
	    message->run->members[message->from].is_cut)
		goto lost;
	if (message->bytes)
		data = g_bytes_get_data(message->bytes, &size);
	if (message->generation)
		take_offer(member, message);
	else if (message->is_answer)
		follower_peer_answer(member->follower, message->ticket, data,
				     size);
	else
		answer(member, message);
lost:
	message_free(message);
}

static void on_ask_peer(void *ctx, const char *peer, const char *name,
			uint64_t ticket)
{
	member_t *member = ctx;
	message_t *message = g_new0(message_t, 1);

	message->run = member->run;
	message->to = (int)strtol(peer, NULL, 10);
	message->from = member->index;
	message->name = g_strdup(name);
	message->ticket = ticket;
	post(message);
}

/* Whether the adapters are of the same text as the rest. */
static gboolean has_adapters(const document_t *document, int commit)
{
	char *id = g_strdup_printf("commit@%d", commit);
	gboolean ok = document_find_adapter_id(document, id) &&
		      document_find_adapter_id(document, "first@1") &&
		      document_adapter_count(document) == ADAPTERS;

	g_free(id);
	return ok;
}

static void on_document(void *ctx, document_t *document)
{
	member_t *member = ctx;
	run_t *run = member->run;
	int64_t generation = document_generation(document);
	int commit =
		(int)(document_batch_weight(document) * WEIGHT_SCALE + 0.5);
	gpointer key = GINT_TO_POINTER((gint)generation);
	gpointer seen = g_hash_table_lookup(run->commit_of_generation, key);

	trace(run, "in force", member->index, generation);
	check(run, generation > member->highest, "a generation fell");
	member->highest = generation;
	check(run, !seen || GPOINTER_TO_INT(seen) == commit,
	      "two texts of one generation");
	check(run, run->state[commit] != 'r', "a refused text is in force");
	check(run, has_adapters(document, commit), "other adapters");
	g_hash_table_insert(run->commit_of_generation, key,
			    GINT_TO_POINTER(commit));
}

static void on_parsed(void *ctx)
{
	follower_parse_end(ctx);
}

/* As on a thread: the result comes later, maybe after a restart. */
static void on_parse(void *ctx, follower_parse_t *parse)
{
	member_t *member = ctx;
	run_t *run = member->run;
	ms_t delay = g_rand_int_range(run->rand, 1, PARSE_DELAY_MAX);

	follower_parse_run(parse);
	fake_kv_schedule(run->fake, fake_kv_now(run->fake) + delay, on_parsed,
			 parse);
}

static void start(run_t *run, int index)
{
	const follower_actions_t actions = {on_document, on_ask_peer, on_parse};
	member_t *member = &run->members[index];

	member->run = run;
	member->index = index;
	member->life++;
	member->highest = 0;
	member->kv = fake_kv_connect(run->fake);
	member->follower = follower_create(member->kv, &actions, member,
					   fake_kv_now(run->fake));
	follower_set_watching(member->follower, index < 2);
}

static void stop(member_t *member)
{
	kv_destroy(member->kv);
	follower_destroy(member->follower);
}

static void on_commit(void *ctx, const store_result_t *result,
		      const GError *error)
{
	writer_t *writer = ctx;
	run_t *run = writer->run;

	writer->is_busy = FALSE;
	writer->accepted = error ? 0 : result->generation;
	trace(run, error ? "not accepted" : "accepted", writer->commit,
	      result->generation);
	run->newest = MAX(run->newest, result->generation);
	if (!error)
		run->state[writer->commit] = 'a';
	else if (error_kind(error) != ERROR_INTERRUPTED)
		run->state[writer->commit] = 'r';
}

static void check_states(run_t *run)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, run->commit_of_generation);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check(run, run->state[GPOINTER_TO_INT(value)] != 'r',
		      "a refused text was in force");
}

static void write_one(writer_t *writer)
{
	run_t *run = writer->run;
	store_change_t change = {0};
	char name[16];
	char *text;

	if (writer->is_busy || run->commits + 1 >= COMMITS_MAX)
		return;
	writer->is_busy = TRUE;
	writer->commit = ++run->commits;
	text = make_text(writer->commit);
	g_snprintf(name, sizeof(name), "%d", writer->commit);
	change.base = run->newest;
	change.text = text;
	change.size = strlen(text);
	change.commit = name;
	change.author = "o";
	run->state[writer->commit] = '?';
	trace(run, "commit", writer->commit, run->newest);
	config_store_commit(writer->store, &change, on_commit, writer);
	g_free(text);
}

static void probe(run_t *run, int from)
{
	member_t *member = &run->members[from];
	int64_t generation = follower_generation(member->follower);

	member->next_peer = (member->next_peer + 1) % FOLLOWERS;
	/* 0 would be no offer: an empty member says that it knows of nothing.
	 */
	offer(run, from, member->next_peer, MAX(generation, 1));
}

static void step(run_t *run)
{
	ms_t now = fake_kv_now(run->fake) + STEP_MS;
	int i;

	fake_kv_run(run->fake, now);
	for (i = 0; i < OPERATORS; i++)
		config_store_tick(run->writers[i].store, now);
	for (i = 0; i < FOLLOWERS; i++) {
		follower_tick(run->members[i].follower, now);
		if (now % PROBE_MS < STEP_MS)
			probe(run, i);
	}
}

static void shake_service(run_t *run)
{
	fake_kv_faults_t faults = {1, 40, 1000, 50, 100, 50, 8000, 5000};

	fake_kv_set_faults(run->fake, &faults);
	if (chance(run, 20))
		fake_kv_set_mode(run->fake, FAKE_KV_REFUSING);
	else if (chance(run, 20))
		fake_kv_set_mode(run->fake, FAKE_KV_SILENT);
	else if (chance(run, 100))
		fake_kv_set_mode(run->fake, FAKE_KV_UP);
}

static void shake(run_t *run)
{
	int who = g_rand_int_range(run->rand, 0, FOLLOWERS);
	member_t *member = &run->members[who];

	shake_service(run);
	if (chance(run, 40))
		write_one(&run->writers[0]);
	if (chance(run, 40))
		write_one(&run->writers[1]);
	if (chance(run, 20)) {
		trace(run, "restart", who, 0);
		stop(member);
		start(run, who);
	}
	if (chance(run, 30))
		member->is_cut = !member->is_cut;
	if (chance(run, 30))
		fake_kv_cut(run->fake, member->kv, chance(run, 500),
			    chance(run, 500));
	/* A peer that speaks of the past. */
	if (chance(run, 200) && run->newest > 1)
		offer(run, who, g_rand_int_range(run->rand, 0, FOLLOWERS),
		      g_rand_int_range(run->rand, 1, (gint32)run->newest));
}

static void calm(run_t *run)
{
	fake_kv_faults_t faults = {1, 5, 1000, 0, 0, 0, 0, 0};
	int i;

	/* Also without faults a watch may lag far behind. */
	if (chance(run, 500))
		faults.watch_lag_max = 60000;
	fake_kv_set_mode(run->fake, FAKE_KV_UP);
	fake_kv_set_faults(run->fake, &faults);
	for (i = 0; i < FOLLOWERS; i++) {
		run->members[i].is_cut = FALSE;
		fake_kv_cut(run->fake, run->members[i].kv, FALSE, FALSE);
	}
}

static gboolean is_everywhere(run_t *run, int64_t generation)
{
	int i;

	for (i = 0; i < FOLLOWERS; i++) {
		if (follower_generation(run->members[i].follower) < generation)
			return FALSE;
	}
	return TRUE;
}

/* Commit until one is accepted; its generation. */
static int64_t commit_in_calm(run_t *run)
{
	writer_t *writer = &run->writers[0];
	ms_t until = fake_kv_now(run->fake) + SETTLE_MS;

	while (writer->is_busy || run->writers[1].is_busy)
		step(run);
	writer->accepted = 0;
	while (!writer->accepted && fake_kv_now(run->fake) < until) {
		write_one(writer);
		step(run);
	}
	check(run, writer->accepted > 0, "no commit is accepted in calm");
	return writer->accepted;
}

static void run_seed(guint32 seed, gboolean is_traced)
{
	run_t *run = g_new0(run_t, 1);
	int64_t generation;
	ms_t until;
	int i;

	run->seed = seed;
	run->is_traced = is_traced;
	run->rand = g_rand_new_with_seed(seed);
	run->fake = fake_kv_create(seed);
	run->commit_of_generation = g_hash_table_new(NULL, NULL);
	for (i = 0; i < OPERATORS; i++) {
		run->writers[i].run = run;
		run->writers[i].kv = fake_kv_connect(run->fake);
		run->writers[i].store =
			config_store_create(run->writers[i].kv, 5, 0);
	}
	for (i = 0; i < FOLLOWERS; i++)
		start(run, i);
	until = fake_kv_now(run->fake) + CHAOS_MS;
	while (fake_kv_now(run->fake) < until) {
		shake(run);
		step(run);
	}
	calm(run);
	generation = commit_in_calm(run);
	until = fake_kv_now(run->fake) + FORCE_MS;
	while (!is_everywhere(run, generation) &&
	       fake_kv_now(run->fake) < until)
		step(run);
	check(run, is_everywhere(run, generation),
	      "not in force everywhere in time");
	check_states(run);
	for (i = 0; i < FOLLOWERS; i++)
		stop(&run->members[i]);
	for (i = 0; i < OPERATORS; i++) {
		kv_destroy(run->writers[i].kv);
		config_store_destroy(run->writers[i].store);
	}
	/* Deliver what is left, so that it is freed. */
	for (i = 0; i < FOLLOWERS; i++)
		run->members[i].life++;
	fake_kv_run(run->fake, fake_kv_now(run->fake) + SETTLE_MS);
	fake_kv_destroy(run->fake);
	g_hash_table_destroy(run->commit_of_generation);
	g_rand_free(run->rand);
	g_free(run);
}

static void test_soak(void **state)
{
	const char *seeds = getenv("SEEDS");
	const char *seed = getenv("SEED");
	guint32 count = DEFAULT_SEEDS;
	guint32 i;

	if (seed) {
		run_seed((guint32)strtoul(seed, NULL, 10), TRUE);
		return;
	}
	if (seeds)
		count = (guint32)strtoul(seeds, NULL, 10);
	for (i = 1; i <= count; i++)
		run_seed(i, FALSE);
	print_message("%u seeds\n", count);
	assert_true(counter_value(counter_get(
			    "hc_config_news_total{kind=\"revised\"}")) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(test_soak)};

	log_init("soak-config", "test", LOG_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
