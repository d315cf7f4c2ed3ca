/*
 * Soak test of claims under seeded faults: several entries claim the same keys
 * while answers are lost, the service is down, and entries are paused, killed
 * and replaced.  Fails if a request runs twice or has no outcome.  SEEDS sets
 * the number of runs; SEED runs a single seed.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "claim/claim.h"
#include "claim/claim_record.h"
#include "claim/orphan.h"
#include "fake_kv.h"

#define DEFAULT_SEEDS	 300
#define ENTRIES		 3
#define KEYS		 60
#define TICK		 20
#define FAULTS_END	 30000
#define SETTLE		 30000
#define REQUEST_INTERVAL 60
#define FAULT_INTERVAL	 1500
#define RUN_TIME_MAX	 1500
#define NOT_RUN_RATIO	 6 /* 1 of N runs is reported as not run */
/* Only keys that are multiples of this are used with two bodies. */
#define MISMATCH_KEY_STEP 20
#define RETRY_RATIO	  4
#define TRACE_LINES	  80

struct sim;

typedef struct {
	struct sim *sim;
	int index;
	int generation;
	gboolean is_up;
	gboolean is_frozen;
	kv_t *kv;
	lease_t *lease;
	claims_t *claims;
	GRand *rand;
	GHashTable *open; /* request_t without a result */
} entry_t;

typedef struct {
	int runs; /* times that the request took effect */
	int running;
	gboolean is_answered;
	gboolean is_orphan; /* answered, and reported by the owner */
} key_state_t;

typedef struct sim {
	guint32 seed;
	fake_kv_t *kv;
	GRand *rand;
	entry_t entries[ENTRIES];
	key_state_t key_states[KEYS];
	int results[CLAIM_MISMATCH + 1];
	/* The owner, which sees all runs and is not subject to faults. */
	kv_t *owner_kv;
	orphans_t *orphans;
	int requests;
	GQueue trace;
	char *violation;
} sim_t;

/* A request that a caller sent to an entry. */
typedef struct {
	entry_t *entry;
	int generation;
	int key;
	gboolean is_other_body;
	gboolean runs;
	char id[32];
} request_t;

static sim_t *current;
static int totals[CLAIM_MISMATCH + 1];

static void trace(sim_t *sim, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_queue_push_tail(
		&sim->trace,
		g_strdup_printf("%6d %s\n", (int)fake_kv_now(sim->kv), text));
	g_free(text);
	if (sim->trace.length > TRACE_LINES)
		g_free(g_queue_pop_head(&sim->trace));
}

static void print_trace(const sim_t *sim)
{
	GList *line;

	for (line = sim->trace.head; line; line = line->next)
		fprintf(stderr, "%s", (char *)line->data);
	fprintf(stderr, "seed %u\n", sim->seed);
}

/* Prints the trace and the seed when an assertion in lib/ fails. */
static void on_assertion(const char *text)
{
	if (current)
		print_trace(current);
	fputs(text, stderr);
}

static void record_violation(sim_t *sim, const char *what, int key)
{
	if (!sim->violation)
		sim->violation = g_strdup_printf("%s (key %d)", what, key);
}

static void on_wake(void *ctx)
{
}

/* The owner saw the outcome of a run whose entry did not. */
static void report_orphan(sim_t *sim, const request_t *request, const char *key)
{
	orphan_run_t end = {OUTCOME_NOT_RUN, "caller", key,
			    request->id,     NULL,     0};

	if (request->runs) {
		end.outcome = OUTCOME_ANSWERED;
		end.answer = key;
		end.answer_size = strlen(key);
		sim->key_states[request->key].is_answered = TRUE;
		sim->key_states[request->key].is_orphan = TRUE;
	}
	orphans_add(sim->orphans, &end);
}

static void on_run_end(void *ctx)
{
	request_t *request = ctx;
	entry_t *entry = request->entry;
	sim_t *sim = entry->sim;
	key_state_t *state = &sim->key_states[request->key];
	gboolean is_alive = entry->generation == request->generation;
	gboolean is_lost = !is_alive || !g_rand_int_range(sim->rand, 0, 8);
	outcome_t outcome;
	char name[16];

	if (is_alive && entry->is_frozen) {
		fake_kv_schedule(sim->kv, fake_kv_now(sim->kv) + TICK,
				 on_run_end, request);
		return;
	}
	state->running--;
	if (is_lost)
		outcome = OUTCOME_UNKNOWN;
	else
		outcome = request->runs ? OUTCOME_ANSWERED : OUTCOME_NOT_RUN;
	state->is_answered |= outcome == OUTCOME_ANSWERED;
	g_snprintf(name, sizeof(name), "key/%d", request->key);
	/* The entry died or lost its connection to the owner. */
	if (is_lost && g_rand_boolean(sim->rand))
		report_orphan(sim, request, name);
	if (is_alive)
		claim_finish(entry->claims, fake_kv_now(sim->kv), "caller",
			     name, outcome, name, strlen(name));
	g_free(request);
}

/* Runs a granted request.  Some are later proved not to have run. */
static void run(request_t *request)
{
	sim_t *sim = request->entry->sim;
	key_state_t *state = &sim->key_states[request->key];

	request->runs = g_rand_int_range(sim->rand, 0, NOT_RUN_RATIO) != 0;
	state->runs += request->runs;
	if (state->running++)
		record_violation(sim, "granted while already running",
				 request->key);
	if (state->runs > 1)
		record_violation(sim, "ran twice", request->key);
	fake_kv_schedule(sim->kv,
			 fake_kv_now(sim->kv) +
				 g_rand_int_range(sim->rand, 1, RUN_TIME_MAX),
			 on_run_end, request);
}

static void check_done(sim_t *sim, const request_t *request,
		       const claim_answer_t *answer)
{
	const key_state_t *state = &sim->key_states[request->key];

	if (answer->outcome == OUTCOME_ANSWERED &&
	    (!state->is_answered || !answer->answer))
		record_violation(
			sim, "CLAIM_DONE as answered without a recorded answer",
			request->key);
}

static void submit_key(entry_t *entry, int key);

static void on_claim(void *ctx, const claim_answer_t *answer)
{
	request_t *request = ctx;
	entry_t *entry = request->entry;
	sim_t *sim = entry->sim;

	trace(sim, "i%d key %d: %d outcome %d", entry->index, request->key,
	      answer->result, answer->outcome);
	if (!g_hash_table_remove(entry->open, request))
		record_violation(sim, "a request got two results",
				 request->key);
	sim->results[answer->result]++;
	if (answer->result == CLAIM_GRANTED) {
		run(request);
		return;
	}
	if (answer->result == CLAIM_DONE)
		check_done(sim, request, answer);
	if (answer->result == CLAIM_MISMATCH &&
	    request->key % MISMATCH_KEY_STEP != 0)
		record_violation(sim, "CLAIM_MISMATCH for an equal body",
				 request->key);
	/* Some callers retry at once, from within the callback. */
	if (answer->result != CLAIM_GRANTED &&
	    fake_kv_now(sim->kv) < FAULTS_END &&
	    !g_rand_int_range(sim->rand, 0, RETRY_RATIO))
		submit_key(entry, request->key);
	g_free(request);
}

static void submit_key(entry_t *entry, int key)
{
	sim_t *sim = entry->sim;
	request_t *request = g_new0(request_t, 1);
	char name[16];

	request->entry = entry;
	request->generation = entry->generation;
	request->key = key;
	request->is_other_body = request->key % MISMATCH_KEY_STEP == 0 &&
				 g_rand_boolean(sim->rand);
	g_snprintf(name, sizeof(name), "key/%d", request->key);
	g_snprintf(request->id, sizeof(request->id), "r%d", sim->requests++);
	g_hash_table_add(entry->open, request);
	claim_begin(entry->claims, fake_kv_now(sim->kv),
		    &(claim_request_t){"caller", name, request->id,
				       request->is_other_body,
				       g_rand_boolean(sim->rand)},
		    on_claim, request);
}

static void submit(sim_t *sim)
{
	entry_t *entry = &sim->entries[g_rand_int_range(sim->rand, 0, ENTRIES)];

	if (entry->is_up && !entry->is_frozen)
		submit_key(entry, g_rand_int_range(sim->rand, 0, KEYS));
}

static void start(sim_t *sim, int index)
{
	entry_t *entry = &sim->entries[index];
	lease_options_t lease = {"",  "{}", 3000,    300,  800,
				 200, 0,    on_wake, entry};
	claim_options_t options;
	char name[16];

	claim_options_init(&options);
	options.wake = on_wake;
	entry->sim = sim;
	entry->index = index;
	entry->is_up = TRUE;
	entry->is_frozen = FALSE;
	entry->generation++;
	g_snprintf(name, sizeof(name), "i%d.%d", index, entry->generation);
	lease.instance = name;
	entry->kv = fake_kv_connect(sim->kv);
	entry->open = g_hash_table_new_full(NULL, NULL, NULL, NULL);
	entry->rand = g_rand_new_with_seed(g_rand_int(sim->rand));
	entry->lease = lease_create(entry->kv, &lease);
	entry->claims =
		claims_create(entry->kv, entry->lease, entry->rand, &options);
}

static void start_owner(sim_t *sim)
{
	orphan_options_t options;

	orphan_options_init(&options);
	options.wake = on_wake;
	sim->owner_kv = fake_kv_connect(sim->kv);
	sim->orphans = orphans_create(sim->owner_kv, &options);
}

static void free_request(gpointer request, gpointer value, gpointer unused)
{
	g_free(request);
}

static void kill_entry(sim_t *sim, int index)
{
	entry_t *entry = &sim->entries[index];

	if (!entry->is_up)
		return;
	trace(sim, "i%d is killed", index);
	entry->is_up = FALSE;
	entry->generation++;
	kv_destroy(entry->kv);
	claims_destroy(entry->claims);
	lease_destroy(entry->lease);
	g_rand_free(entry->rand);
	/* The callers of pending requests lose their connection. */
	g_hash_table_foreach(entry->open, free_request, NULL);
	g_hash_table_destroy(entry->open);
}

static void heal(sim_t *sim)
{
	int i;

	fake_kv_clear_faults(sim->kv);
	fake_kv_set_mode(sim->kv, FAKE_KV_UP);
	for (i = 0; i < ENTRIES; i++) {
		entry_t *entry = &sim->entries[i];

		if (!entry->is_up || !entry->is_frozen)
			continue;
		entry->is_frozen = FALSE;
		fake_kv_set_paused(sim->kv, entry->kv, FALSE);
	}
}

static void fault(sim_t *sim)
{
	static const fake_kv_faults_t lossy = {1,   40, 500,  60,
					       200, 80, 2500, 0};
	int i = g_rand_int_range(sim->rand, 0, ENTRIES);

	if (g_rand_boolean(sim->rand))
		heal(sim);
	switch (g_rand_int_range(sim->rand, 0, 7)) {
	case 0:
		fake_kv_set_mode(sim->kv, FAKE_KV_REFUSING);
		break;
	case 1:
		fake_kv_set_mode(sim->kv, FAKE_KV_SILENT);
		break;
	case 2:
		fake_kv_set_faults(sim->kv, &lossy);
		break;
	case 3:
		fake_kv_lose_answers(sim->kv, 4);
		break;
	case 4:
		kill_entry(sim, i);
		break;
	default:
		if (!sim->entries[i].is_up)
			break;
		trace(sim, "i%d freezes", i);
		sim->entries[i].is_frozen = TRUE;
		fake_kv_set_paused(sim->kv, sim->entries[i].kv, TRUE);
	}
	if (!sim->entries[i].is_up && g_rand_boolean(sim->rand))
		start(sim, i);
}

static void advance(sim_t *sim)
{
	int i;

	fake_kv_run(sim->kv, fake_kv_now(sim->kv) + TICK);
	for (i = 0; i < ENTRIES; i++) {
		entry_t *entry = &sim->entries[i];

		if (!entry->is_up || entry->is_frozen)
			continue;
		claim_tick(entry->claims, fake_kv_now(sim->kv));
		lease_tick(entry->lease, fake_kv_now(sim->kv));
	}
	orphans_tick(sim->orphans, fake_kv_now(sim->kv));
	if (!sim->violation)
		return;
	print_trace(sim);
	fail_msg("seed %u: %s", sim->seed, sim->violation);
}

/* Checks that no claim is left in state running by an entry that is alive. */
static void check_records(sim_t *sim)
{
	kv_store_t *store = fake_kv_store(sim->kv);
	GPtrArray *found = kv_store_range(store, "hc/claim/", "hc/claim0");
	guint i;

	for (i = 0; i < found->len; i++) {
		const kv_record_t *stored = found->pdata[i];
		claim_record_t record;

		if (!claim_record_parse(stored->value, stored->size, &record,
					NULL)) {
			record_violation(sim, "a claim record is invalid", -1);
			continue;
		}
		if (record.state == CLAIM_RUNNING &&
		    kv_store_has_lease(store, record.incarnation))
			record_violation(sim,
					 "a claim of a live entry stays in "
					 "state running",
					 -1);
		claim_record_clear(&record);
	}
	g_ptr_array_unref(found);
}

/* Checks that each answer that the owner reported is in its claim. */
static void check_answers(sim_t *sim)
{
	kv_store_t *store = fake_kv_store(sim->kv);
	int i;

	for (i = 0; i < KEYS; i++) {
		const kv_record_t *stored;
		claim_record_t record;
		char name[16];
		char *key;

		if (!sim->key_states[i].is_orphan)
			continue;
		g_snprintf(name, sizeof(name), "key/%d", i);
		key = claim_record_key("caller", name);
		stored = kv_store_get(store, key);
		g_free(key);
		if (!stored || !claim_record_parse(stored->value, stored->size,
						   &record, NULL)) {
			record_violation(
				sim,
				"the claim of an answered request is missing",
				i);
			continue;
		}
		if (record.state != CLAIM_ANSWERED)
			record_violation(
				sim, "an answer is not stored in its claim", i);
		claim_record_clear(&record);
	}
}

/* Checks that every request has a result after the faults ended. */
static void check_end(sim_t *sim)
{
	int i;

	for (i = 0; i < ENTRIES; i++) {
		if (claims_pending_count(sim->entries[i].claims))
			record_violation(sim, "a claim is never resolved", -1);
		if (g_hash_table_size(sim->entries[i].open))
			record_violation(sim, "a request got no result", -1);
	}
	if (orphans_pending_count(sim->orphans))
		record_violation(
			sim, "the outcome of an orphan is never written", -1);
	check_records(sim);
	check_answers(sim);
}

static void run_seed(guint32 seed)
{
	sim_t *sim = g_new0(sim_t, 1);
	int i;

	current = sim;
	sim->seed = seed;
	sim->kv = fake_kv_create(seed);
	sim->rand = g_rand_new_with_seed(seed + 1);
	start_owner(sim);
	for (i = 0; i < ENTRIES; i++)
		start(sim, i);
	while (fake_kv_now(sim->kv) < FAULTS_END) {
		advance(sim);
		if (g_rand_int_range(sim->rand, 0, REQUEST_INTERVAL) < TICK)
			submit(sim);
		if (g_rand_int_range(sim->rand, 0, FAULT_INTERVAL) < TICK)
			fault(sim);
	}
	heal(sim);
	for (i = 0; i < ENTRIES; i++) {
		if (!sim->entries[i].is_up)
			start(sim, i);
	}
	while (fake_kv_now(sim->kv) < FAULTS_END + SETTLE)
		advance(sim);
	check_end(sim);
	advance(sim);
	for (i = 0; i <= CLAIM_MISMATCH; i++)
		totals[i] += sim->results[i];
	for (i = 0; i < ENTRIES; i++)
		kill_entry(sim, i);
	kv_destroy(sim->owner_kv);
	orphans_destroy(sim->orphans);
	fake_kv_destroy(sim->kv);
	g_rand_free(sim->rand);
	g_queue_clear_full(&sim->trace, g_free);
	current = NULL;
	g_free(sim);
}

static void test_claims_under_faults(void **state)
{
	const char *one = getenv("SEED");
	const char *many = getenv("SEEDS");
	guint32 seeds = many ? (guint32)g_ascii_strtoull(many, NULL, 10)
			     : DEFAULT_SEEDS;
	guint32 seed;

	if (one) {
		run_seed((guint32)g_ascii_strtoull(one, NULL, 10));
		return;
	}
	for (seed = 1; seed <= seeds; seed++)
		run_seed(seed);
	printf("granted %d, running elsewhere %d, done %d, refused %d, "
	       "mismatch %d\n",
	       totals[CLAIM_GRANTED], totals[CLAIM_RUNNING_ELSEWHERE],
	       totals[CLAIM_DONE], totals[CLAIM_REFUSED],
	       totals[CLAIM_MISMATCH]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_claims_under_faults),
	};

	g_set_printerr_handler(on_assertion);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
