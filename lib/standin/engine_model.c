#include "standin/engine_model.h"

#include <string.h>

#include "base/hash.h"
#include "standin/engine_model_private.h"

static void ledger_entry_free(gpointer data)
{
	ledger_entry_t *entry = data;

	g_free(entry->adapter);
	g_free(entry);
}

engine_model_t *engine_model_create(const engine_options_t *options,
				    store_model_t *store,
				    const engine_events_t *events)
{
	engine_model_t *engine = g_new0(engine_model_t, 1);

	engine->options = *options;
	engine->order_token = g_strdup(options->order_token);
	engine->events = *events;
	engine->store = store;
	engine->slots = g_new0(slot_t, options->slots);
	TAILQ_INIT(&engine->runs);
	engine->ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       ledger_entry_free);
	engine->violations = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&engine->reports);
	return engine;
}

static void run_free(engine_model_t *engine, engine_run_t *run)
{
	TAILQ_REMOVE(&engine->runs, run, link);
	g_assert(TAILQ_FIRST(&engine->runs) != run);
	if (run->is_running)
		engine->running--;
	g_free(run->request);
	g_free(run->adapter);
	g_free(run->prompt);
	g_free(run);
}

void engine_model_destroy(engine_model_t *engine)
{
	int i;

	while (!TAILQ_EMPTY(&engine->runs))
		run_free(engine, TAILQ_FIRST(&engine->runs));
	for (i = 0; i < engine->options.slots; i++)
		g_free(engine->slots[i].adapter);
	g_free(engine->slots);
	g_hash_table_destroy(engine->ledger);
	g_ptr_array_free(engine->violations, TRUE);
	engine_clear_reports(engine);
	g_free(engine->order_token);
	g_free(engine);
}

static gboolean is_resident(const engine_model_t *engine, const char *adapter)
{
	int i;

	for (i = 0; i < engine->options.slots; i++) {
		const slot_t *slot = &engine->slots[i];

		if (slot->state == SLOT_RESIDENT &&
		    !strcmp(slot->adapter, adapter))
			return TRUE;
	}
	return FALSE;
}

static ledger_entry_t *ledger_get_entry(engine_model_t *engine,
					const char *request,
					const char *adapter)
{
	ledger_entry_t *entry = g_hash_table_lookup(engine->ledger, request);

	if (!entry) {
		entry = g_new0(ledger_entry_t, 1);
		entry->adapter = g_strdup(adapter);
		g_hash_table_insert(engine->ledger, g_strdup(request), entry);
	}
	if (strcmp(entry->adapter, adapter) != 0)
		g_ptr_array_add(engine->violations,
				g_strdup_printf("request %s ran on %s and %s",
						request, entry->adapter,
						adapter));
	return entry;
}

static engine_run_t *find_run(engine_model_t *engine, const char *request)
{
	engine_run_t *run;

	TAILQ_FOREACH (run, &engine->runs, link) {
		if (!strcmp(run->request, request))
			return run;
	}
	return NULL;
}

engine_run_t *engine_model_start_run(engine_model_t *engine,
				     const engine_request_t *request,
				     void *reader, GError **error)
{
	engine_run_t *run;

	if (!is_resident(engine, request->adapter)) {
		error_set(error, ERROR_NOT_FOUND,
			  "adapter '%s' is not resident; load it first",
			  request->adapter);
		return NULL;
	}
	ledger_get_entry(engine, request->request, request->adapter)->count++;
	run = g_new0(engine_run_t, 1);
	run->request = g_strdup(request->request);
	run->adapter = g_strdup(request->adapter);
	run->prompt = g_strdup(request->prompt);
	run->priority = request->priority;
	run->max_tokens = request->max_tokens;
	run->reader = reader;
	TAILQ_INSERT_TAIL(&engine->runs, run, link);
	return run;
}

char *engine_model_token(const char *adapter, const char *prompt, int index)
{
	char *seed = g_strdup_printf("%s|%s|%d", adapter, prompt, index);
	char *text =
		g_strdup_printf("%04x ", (guint)(hash_text(seed) & 0xffff));

	g_free(seed);
	return text;
}

static void deliver_token(engine_model_t *engine, engine_run_t *run, int index)
{
	char *text;

	if (!run->reader || index < run->from)
		return;
	text = engine_model_token(run->adapter, run->prompt, index);
	engine->events.on_token(run->reader, index, text);
	g_free(text);
}

engine_run_t *engine_model_resume(engine_model_t *engine, const char *request,
				  int from, void *reader, GError **error)
{
	engine_run_t *run = find_run(engine, request);
	int index;

	if (!run) {
		error_set(error, ERROR_NOT_FOUND,
			  "no run of request '%s'; it can't be resumed",
			  request);
		return NULL;
	}
	if (run->reader)
		engine->events.on_end(run->reader, TRUE);
	run->reader = reader;
	run->from = from;
	for (index = from; index < run->produced && run->reader; index++)
		deliver_token(engine, run, index);
	if (run->is_finished && run->reader) {
		run->reader = NULL;
		run->detached_at = engine->now;
		engine->events.on_end(reader, FALSE);
	}
	return run;
}

void engine_model_detach(engine_model_t *engine, void *reader)
{
	engine_run_t *run;

	TAILQ_FOREACH (run, &engine->runs, link) {
		if (run->reader != reader)
			continue;
		run->reader = NULL;
		run->detached_at = engine->now;
		return;
	}
}

gboolean engine_model_cancel(engine_model_t *engine, const char *request)
{
	engine_run_t *run = find_run(engine, request);
	void *reader;

	if (!run)
		return FALSE;
	reader = run->reader;
	run_free(engine, run);
	if (reader)
		engine->events.on_end(reader, TRUE);
	return TRUE;
}

static gboolean check_order(engine_model_t *engine, int slot, int64_t fence,
			    const char *token, GError **error)
{
	if (engine->order_token && g_strcmp0(engine->order_token, token) != 0) {
		error_set(error, ERROR_FORBIDDEN,
			  "the order token is wrong; use the one of this "
			  "endpoint");
		return FALSE;
	}
	if (slot < -1 || slot >= engine->options.slots) {
		error_set(error, ERROR_INVALID, "no slot %d; use 0 to %d", slot,
			  engine->options.slots - 1);
		return FALSE;
	}
	if (!engine->options.checks_fence)
		return TRUE;
	if (fence < engine->fence) {
		error_set(error, ERROR_FENCED,
			  "fencing number %" G_GINT64_FORMAT
			  " is below %" G_GINT64_FORMAT,
			  fence, engine->fence);
		return FALSE;
	}
	engine->fence = fence;
	return TRUE;
}

/*
 * Empties a slot.  Runs that still use its adapter are interrupted and recorded
 * as violations.
 */
static void empty_slot(engine_model_t *engine, slot_t *slot)
{
	engine_run_t *run;
	engine_run_t *next;

	if (slot->state == SLOT_LOADING) {
		store_model_end(engine->store);
		g_clear_pointer(&slot->adapter, g_free);
		slot->state = SLOT_EMPTY;
		return;
	}
	slot->state = SLOT_EMPTY;
	for (run = TAILQ_FIRST(&engine->runs); run; run = next) {
		void *reader = run->reader;

		next = TAILQ_NEXT(run, link);
		if (run->is_finished || strcmp(run->adapter, slot->adapter))
			continue;
		if (is_resident(engine, run->adapter))
			continue;
		g_ptr_array_add(
			engine->violations,
			g_strdup_printf("%s unloaded beneath request %s",
					run->adapter, run->request));
		run_free(engine, run);
		if (reader)
			engine->events.on_end(reader, TRUE);
	}
	g_clear_pointer(&slot->adapter, g_free);
}

static void end_order(engine_model_t *engine, void *order, error_kind_t kind,
		      const char *why)
{
	GError *error = NULL;

	if (why)
		error_set(&error, kind, "%s", why);
	engine->events.on_order_done(order, error);
	g_clear_error(&error);
}

void engine_model_load(engine_model_t *engine, int slot, const char *adapter,
		       int64_t fence, const char *token, void *order)
{
	GError *error = NULL;
	slot_t *at;

	if (!check_order(engine, slot, fence, token, &error)) {
		engine->events.on_order_done(order, error);
		g_error_free(error);
		return;
	}
	if (slot == -1) {
		end_order(engine, order, 0, NULL);
		return;
	}
	at = &engine->slots[slot];
	if (at->state == SLOT_RESIDENT && !strcmp(at->adapter, adapter)) {
		end_order(engine, order, 0, NULL);
		return;
	}
	if (at->state == SLOT_LOADING) {
		end_order(engine, order, ERROR_CONFLICT,
			  "the slot is loading; wait until the load ends");
		return;
	}
	if (at->state == SLOT_RESIDENT)
		empty_slot(engine, at);
	at->state = SLOT_LOADING;
	at->adapter = g_strdup(adapter);
	at->order = order;
	at->load_end = store_model_begin(engine->store, engine->now);
}

void engine_model_unload(engine_model_t *engine, int slot, const char *adapter,
			 int64_t fence, const char *token, void *order)
{
	GError *error = NULL;
	slot_t *at;

	if (slot < 0 || !check_order(engine, slot, fence, token, &error)) {
		if (!error)
			error_set(&error, ERROR_INVALID, "no slot %d", slot);
		engine->events.on_order_done(order, error);
		g_error_free(error);
		return;
	}
	at = &engine->slots[slot];
	if (at->state == SLOT_RESIDENT && !strcmp(at->adapter, adapter))
		empty_slot(engine, at);
	end_order(engine, order, 0, NULL);
}

static void end_loads(engine_model_t *engine)
{
	int i;

	for (i = 0; i < engine->options.slots; i++) {
		slot_t *slot = &engine->slots[i];

		if (slot->state != SLOT_LOADING || slot->load_end > engine->now)
			continue;
		store_model_end(engine->store);
		if (engine->failing_loads > 0) {
			engine->failing_loads--;
			slot->state = SLOT_EMPTY;
			g_clear_pointer(&slot->adapter, g_free);
			end_order(engine, slot->order, ERROR_LOAD_FAILED,
				  "the load failed; try again later");
			continue;
		}
		slot->state = SLOT_RESIDENT;
		end_order(engine, slot->order, 0, NULL);
	}
}

/* Starts waiting runs in free places, the highest priority first. */
static void start_waiting_runs(engine_model_t *engine)
{
	while (engine->running < engine->options.places) {
		engine_run_t *best = NULL;
		engine_run_t *run;

		TAILQ_FOREACH (run, &engine->runs, link) {
			if (run->is_running || run->is_finished)
				continue;
			if (!best || run->priority > best->priority)
				best = run;
		}
		if (!best)
			return;
		best->is_running = TRUE;
		engine->running++;
	}
}

static void finish_run(engine_model_t *engine, engine_run_t *run)
{
	void *reader = run->reader;

	run->is_finished = TRUE;
	run->is_running = FALSE;
	engine->running--;
	run->reader = NULL;
	run->detached_at = engine->now;
	ledger_get_entry(engine, run->request, run->adapter)->finished++;
	if (reader)
		engine->events.on_end(reader, FALSE);
}

static void run_step(engine_model_t *engine)
{
	engine_run_t *run;
	engine_run_t *next;

	start_waiting_runs(engine);
	if (!engine->running)
		return;
	engine->steps++;
	engine->step_places += (uint64_t)engine->running;
	for (run = TAILQ_FIRST(&engine->runs); run; run = next) {
		next = TAILQ_NEXT(run, link);
		if (!run->is_running)
			continue;
		ledger_get_entry(engine, run->request, run->adapter)->tokens++;
		deliver_token(engine, run, run->produced++);
		if (run->produced >= run->max_tokens)
			finish_run(engine, run);
	}
}

static void free_detached_runs(engine_model_t *engine)
{
	engine_run_t *run;
	engine_run_t *next;

	for (run = TAILQ_FIRST(&engine->runs); run; run = next) {
		next = TAILQ_NEXT(run, link);
		if (!run->reader &&
		    engine->now - run->detached_at > engine->options.linger_ms)
			run_free(engine, run);
	}
}

void engine_model_tick(engine_model_t *engine, ms_t now)
{
	engine->now = now;
	if (engine->is_frozen)
		return;
	end_loads(engine);
	if (now >= engine->next_step_at) {
		engine->next_step_at = now + engine->options.step_ms;
		run_step(engine);
		engine_record_report(engine);
	}
	free_detached_runs(engine);
}

void engine_model_fail_loads(engine_model_t *engine, int count)
{
	engine->failing_loads = count;
}

void engine_model_restart(engine_model_t *engine)
{
	int i;

	while (!TAILQ_EMPTY(&engine->runs)) {
		engine_run_t *run = TAILQ_FIRST(&engine->runs);
		void *reader = run->reader;

		run_free(engine, run);
		if (reader)
			engine->events.on_end(reader, TRUE);
	}
	for (i = 0; i < engine->options.slots; i++) {
		slot_t *slot = &engine->slots[i];

		if (slot->state == SLOT_LOADING) {
			store_model_end(engine->store);
			end_order(engine, slot->order, ERROR_LOAD_FAILED,
				  "the engine restarted; load again");
		}
		slot->state = SLOT_EMPTY;
		g_clear_pointer(&slot->adapter, g_free);
	}
	engine->fence = 0;
	engine_clear_reports(engine);
}

void engine_model_freeze(engine_model_t *engine, gboolean is_frozen)
{
	engine->is_frozen = is_frozen;
}
