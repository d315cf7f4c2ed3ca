/*
 * hc-front: accepts callers' requests and orders engines on the users'
 * platform.
 *
 * See docs/commands/hc-front.md.
 */

#include "front/front.h"

static void on_stop(void *ctx)
{
	front_stop(ctx);
}

static void on_status(void *ctx, GString *json)
{
	front_status(ctx, json);
}

static gboolean is_ready(void *ctx)
{
	return front_is_ready(ctx);
}

static void on_reload(void *ctx)
{
	front_reload(ctx);
}

int main(int argc, char **argv)
{
	front_t *front = front_create();
	process_options_t options = {
		.name = "hc-front",
		.usage = "Accepts callers' requests and orders engines on the "
			 "users' platform.",
		.extra = front_settings(front),
		.on_stop = on_stop,
		.on_status = on_status,
		.is_ready = is_ready,
		.on_reload = on_reload,
		.has_no_key_file = TRUE,
		.ctx = front,
	};
	process_t *process = process_create(argc, argv, &options);
	GError *error = NULL;

	if (!front_start(front, process, &error))
		process_fail(process, error);
	return process_run(process);
}
