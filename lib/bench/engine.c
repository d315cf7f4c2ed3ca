#include "bench/engine.h"

#define US_PER_MS 1000.0

/* Prefixes in the cache; the oldest one is replaced. */
#define CACHE_SIZE 64

/* Share of a prompt that needs no prefill if its prefix is cached. */
#define CACHED_SHARE 0.8

typedef struct {
	uint64_t id;
	int prefill; /* prompt tokens left to process */
	int answer;  /* tokens left to generate */
	gboolean has_first_token;
} sequence_t;

struct engine {
	sim_t *sim;
	const profile_t *profile;
	engine_actions_t actions;
	void *ctx;
	GArray *batch; /* sequence_t */
	int in_step;   /* length of the prefix of batch in the current step */
	gboolean is_stepping;
	uint64_t cache[CACHE_SIZE];
	int cache_next;
	double time_remainder; /* rounding error carried to the next step, ms */
	int generation;	       /* restarts; older events are ignored */
};

engine_t *engine_create(sim_t *sim, const profile_t *profile,
			const engine_actions_t *actions, void *ctx)
{
	engine_t *engine = g_new0(engine_t, 1);

	engine->sim = sim;
	engine->profile = profile;
	engine->actions = *actions;
	engine->ctx = ctx;
	engine->batch = g_array_new(FALSE, FALSE, sizeof(sequence_t));
	return engine;
}

void engine_destroy(engine_t *engine)
{
	g_array_free(engine->batch, TRUE);
	g_free(engine);
}

static sequence_t *sequence(const engine_t *engine, int index)
{
	return &g_array_index(engine->batch, sequence_t, index);
}

static gboolean is_cached(const engine_t *engine, uint64_t prefix)
{
	int i;

	for (i = 0; i < CACHE_SIZE; i++)
		if (engine->cache[i] == prefix)
			return TRUE;
	return FALSE;
}

static double step_time(engine_t *engine)
{
	const profile_t *profile = engine->profile;
	double time = (double)profile->step_base_us;
	int i;

	for (i = 0; i < engine->in_step; i++) {
		sequence_t *member = sequence(engine, i);

		time += (double)profile->step_place_us;
		time += (double)profile->prefill_token_us * member->prefill;
		member->prefill = 0;
	}
	return time / US_PER_MS;
}

static void begin_step(void *ctx, void *arg);

static void schedule(engine_t *engine, ms_t when, sim_call_t call)
{
	sim_at(engine->sim, when, call, engine,
	       GINT_TO_POINTER(engine->generation));
}

static void finish(engine_t *engine, GArray *ended)
{
	unsigned int i;

	for (i = 0; i < ended->len; i++)
		engine->actions.ended(engine->ctx,
				      g_array_index(ended, uint64_t, i));
	g_array_free(ended, TRUE);
}

static void end_step(void *ctx, void *arg)
{
	engine_t *engine = ctx;
	GArray *ended = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	int i;

	if (GPOINTER_TO_INT(arg) != engine->generation) {
		g_array_free(ended, TRUE);
		return;
	}
	for (i = engine->in_step - 1; i >= 0; i--) {
		sequence_t *member = sequence(engine, i);
		uint64_t id = member->id;

		if (!member->has_first_token)
			engine->actions.first_token(engine->ctx, id);
		member->has_first_token = TRUE;
		if (--member->answer > 0)
			continue;
		g_array_append_val(ended, id);
		g_array_remove_index(engine->batch, i);
	}
	engine->is_stepping = FALSE;
	finish(engine, ended);
	if (!engine->is_stepping) {
		engine->is_stepping = TRUE;
		schedule(engine, sim_now(engine->sim), begin_step);
	}
}

static void begin_step(void *ctx, void *arg)
{
	engine_t *engine = ctx;
	double time;
	ms_t whole;

	if (GPOINTER_TO_INT(arg) != engine->generation)
		return;
	/*
	 * Requests of a lost owner still run when the new owner submits its
	 * own, so the batch may be larger than the places.
	 */
	engine->in_step =
		MIN((int)engine->batch->len, (int)engine->profile->places);
	if (engine->in_step == 0) {
		engine->is_stepping = FALSE;
		return;
	}
	time = step_time(engine) + engine->time_remainder;
	whole = MAX((ms_t)time, 1);
	engine->time_remainder = time - (double)whole;
	engine->actions.step(engine->ctx, engine->in_step, time,
			     engine->actions.is_waiting(engine->ctx));
	schedule(engine, sim_now(engine->sim) + whole, end_step);
}

/* On a plain service requests run independently, without a batch. */
static void end_plain(void *ctx, void *arg)
{
	engine_t *engine = ctx;
	uint64_t id = GPOINTER_TO_SIZE(arg);

	engine->actions.first_token(engine->ctx, id);
	engine->actions.ended(engine->ctx, id);
}

static void start_plain(engine_t *engine, uint64_t id, int answer)
{
	double share = (double)answer / (double)engine->profile->answer_tokens;
	double time = (double)engine->profile->step_base_us * share / US_PER_MS;

	sim_at(engine->sim, sim_now(engine->sim) + MAX((ms_t)time, 1),
	       end_plain, engine, GSIZE_TO_POINTER(id));
}

void engine_start(engine_t *engine, uint64_t id, uint64_t prefix, int prompt,
		  int answer)
{
	sequence_t member = {.id = id, .prefill = prompt, .answer = answer};

	if (engine->profile->adapters == 0) {
		start_plain(engine, id, answer);
		return;
	}
	if (is_cached(engine, prefix)) {
		member.prefill = (int)(prompt * (1 - CACHED_SHARE));
	} else {
		engine->cache[engine->cache_next] = prefix;
		engine->cache_next = (engine->cache_next + 1) % CACHE_SIZE;
	}
	g_array_append_val(engine->batch, member);
	if (engine->is_stepping)
		return;
	engine->is_stepping = TRUE;
	schedule(engine, sim_now(engine->sim), begin_step);
}

void engine_restart(engine_t *engine)
{
	int i;

	engine->generation++;
	engine->is_stepping = FALSE;
	engine->in_step = 0;
	g_array_set_size(engine->batch, 0);
	for (i = 0; i < CACHE_SIZE; i++)
		engine->cache[i] = 0;
}
