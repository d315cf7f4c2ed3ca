#include "fake_engine.h"

#define HISTORY_MAX 64

fake_engine_t *fake_engine_create(const char *id, gboolean checks_fencing)
{
	fake_engine_t *engine = g_new0(fake_engine_t, 1);

	engine->id = g_strdup(id);
	engine->checks_fencing = checks_fencing;
	engine->history = g_array_new(FALSE, TRUE, sizeof(engine_state_t));
	fake_engine_restart(engine);
	engine->now.restarts = 0;
	g_array_append_val(engine->history, engine->now);
	return engine;
}

void fake_engine_destroy(fake_engine_t *engine)
{
	g_array_free(engine->history, TRUE);
	g_free(engine->violation);
	g_free(engine->id);
	g_free(engine);
}

void fake_engine_tick(fake_engine_t *engine, ms_t now)
{
	int i;

	for (i = 0; i < ENGINE_SLOTS; i++) {
		engine_slot_t *slot = &engine->now.slots[i];

		if (slot->state == INTENT_LOADING && slot->load_end <= now)
			slot->state = INTENT_RESIDENT;
	}
	engine->now.at = now;
	g_array_append_val(engine->history, engine->now);
	if (engine->history->len > HISTORY_MAX)
		g_array_remove_index(engine->history, 0);
}

/* Returns whether another slot holds a resident copy of the adapter. */
static gboolean has_copy(const fake_engine_t *engine, int except)
{
	int i;

	for (i = 0; i < ENGINE_SLOTS; i++) {
		const engine_slot_t *slot = &engine->now.slots[i];

		if (i != except && slot->state == INTENT_RESIDENT &&
		    slot->adapter == engine->now.slots[except].adapter)
			return TRUE;
	}
	return FALSE;
}

static void note(fake_engine_t *engine, const char *what, int slot,
		 int64_t epoch)
{
	if (!engine->violation)
		engine->violation = g_strdup_printf(
			"%s: %s, slot %d, order of epoch %" G_GINT64_FORMAT
			", slot last changed by epoch %" G_GINT64_FORMAT,
			engine->id, what, slot, epoch,
			engine->now.slots[slot].epoch);
}

gboolean fake_engine_order(fake_engine_t *engine, ms_t now, int i, int adapter,
			   int64_t epoch, ms_t load_time)
{
	engine_slot_t *slot;

	if (engine->checks_fencing && epoch < engine->fence)
		return FALSE;
	engine->fence = MAX(engine->fence, epoch);
	if (i < 0)
		return TRUE;
	engine->orders++;
	slot = &engine->now.slots[i];
	if (slot->adapter >= 0 && engine->now.running[slot->adapter] > 0 &&
	    !has_copy(engine, i))
		note(engine, "an adapter that serves was unloaded", i, epoch);
	if (epoch < slot->epoch)
		note(engine, "an old order took effect", i, epoch);
	slot->epoch = epoch;
	slot->adapter = adapter;
	slot->state = adapter < 0 ? INTENT_EMPTY : INTENT_LOADING;
	slot->load_end = now + load_time;
	return TRUE;
}

gboolean fake_engine_run(fake_engine_t *engine, int adapter)
{
	int i;

	for (i = 0; i < ENGINE_SLOTS; i++) {
		const engine_slot_t *slot = &engine->now.slots[i];

		if (slot->state == INTENT_RESIDENT &&
		    slot->adapter == adapter) {
			engine->now.running[adapter]++;
			engine->runs++;
			return TRUE;
		}
	}
	return FALSE;
}

void fake_engine_end(fake_engine_t *engine, int adapter, int restarts)
{
	if (restarts == engine->now.restarts)
		engine->now.running[adapter]--;
}

void fake_engine_restart(fake_engine_t *engine)
{
	int i;

	engine->fence = 0;
	engine->now.restarts++;
	for (i = 0; i < ENGINE_SLOTS; i++) {
		engine->now.slots[i].state = INTENT_EMPTY;
		engine->now.slots[i].adapter = -1;
		engine->now.slots[i].epoch = 0;
	}
	for (i = 0; i < ENGINE_ADAPTERS; i++)
		engine->now.running[i] = 0;
}

const engine_state_t *fake_engine_report(const fake_engine_t *engine, ms_t at)
{
	guint i = engine->history->len;

	while (i > 1 &&
	       g_array_index(engine->history, engine_state_t, i - 1).at > at)
		i--;
	return &g_array_index(engine->history, engine_state_t, i - 1);
}
