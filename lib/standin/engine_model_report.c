/* Renders the load report and the ledger as JSON. */

#include "base/json_build.h"
#include "standin/engine_model_private.h"

#include <json-glib/json-glib.h>
#include <string.h>

static const char *const slot_names[] = {"empty", "loading", "resident"};

static void report_free(gpointer data)
{
	report_t *report = data;

	g_free(report->text);
	g_free(report);
}

static int count_unfinished(engine_model_t *engine, const char *adapter)
{
	engine_run_t *run;
	int count = 0;

	TAILQ_FOREACH (run, &engine->runs, link) {
		if (!run->is_finished && !strcmp(run->adapter, adapter))
			count++;
	}
	return count;
}

static char *render_report(engine_model_t *engine)
{
	JsonBuilder *builder = json_builder_new();
	engine_run_t *run;
	int waiting = 0;
	int i;

	TAILQ_FOREACH (run, &engine->runs, link) {
		if (!run->is_running && !run->is_finished)
			waiting++;
	}
	json_builder_begin_object(builder);
	json_build_int(builder, "fence", engine->fence);
	json_build_int(builder, "running", engine->running);
	json_build_int(builder, "waiting", waiting);
	json_build_int(builder, "places", engine->options.places);
	json_builder_set_member_name(builder, "slots");
	json_builder_begin_array(builder);
	for (i = 0; i < engine->options.slots; i++) {
		const slot_t *slot = &engine->slots[i];
		const char *adapter = slot->adapter ? slot->adapter : "";

		json_builder_begin_object(builder);
		json_build_int(builder, "slot", i);
		json_build_text(builder, "state", slot_names[slot->state]);
		json_build_text(builder, "adapter", adapter);
		json_build_int(builder, "running",
			       count_unfinished(engine, adapter));
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return json_build_end(builder, FALSE);
}

void engine_record_report(engine_model_t *engine)
{
	report_t *report = g_new0(report_t, 1);

	report->at = engine->now;
	report->text = render_report(engine);
	g_queue_push_tail(&engine->reports, report);
	while (g_queue_get_length(&engine->reports) > 1) {
		report_t *second = g_queue_peek_nth(&engine->reports, 1);

		if (second->at > engine->now - engine->options.report_lag_ms)
			return;
		report_free(g_queue_pop_head(&engine->reports));
	}
}

char *engine_model_report(engine_model_t *engine)
{
	const report_t *oldest = g_queue_peek_head(&engine->reports);

	if (!oldest)
		return render_report(engine);
	return g_strdup(oldest->text);
}

char *engine_model_ledger(engine_model_t *engine)
{
	JsonBuilder *builder = json_builder_new();
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	json_builder_begin_object(builder);
	json_build_int(builder, "steps", (int64_t)engine->steps);
	json_build_int(builder, "step_places", (int64_t)engine->step_places);
	json_builder_set_member_name(builder, "violations");
	json_builder_begin_array(builder);
	for (i = 0; i < engine->violations->len; i++)
		json_builder_add_string_value(builder,
					      engine->violations->pdata[i]);
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "runs");
	json_builder_begin_array(builder);
	g_hash_table_iter_init(&iter, engine->ledger);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const ledger_entry_t *entry = value;

		json_builder_begin_object(builder);
		json_build_text(builder, "request", key);
		json_build_text(builder, "adapter", entry->adapter);
		json_build_int(builder, "count", entry->count);
		json_build_int(builder, "finished", entry->finished);
		json_build_int(builder, "tokens", entry->tokens);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return json_build_end(builder, FALSE);
}

void engine_clear_reports(engine_model_t *engine)
{
	g_queue_clear_full(&engine->reports, report_free);
}
