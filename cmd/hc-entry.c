/*
 * hc-entry: accepts callers' requests and streams the responses back.
 *
 * See docs/commands/hc-entry.md.
 */

#include "entry/entry.h"

static void on_stop(void *ctx)
{
	entry_stop(ctx);
}

static void on_status(void *ctx, GString *json)
{
	entry_status(ctx, json);
}

static gboolean is_ready(void *ctx)
{
	return entry_is_ready(ctx);
}

int main(int argc, char **argv)
{
	entry_t *entry = entry_create();
	process_options_t options = {
		.name = "hc-entry",
		.usage = "Accepts callers' requests and streams the responses "
			 "back.",
		.extra = entry_settings(entry),
		.on_stop = on_stop,
		.on_status = on_status,
		.is_ready = is_ready,
		.ctx = entry,
	};
	process_t *process = process_create(argc, argv, &options);
	GError *error = NULL;
	int code;

	if (!entry_start(entry, process, &error))
		process_fail(process, error);
	code = process_run(process);
	entry_destroy(entry);
	process_destroy(process);
	return code;
}
