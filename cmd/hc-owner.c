/*
 * hc-owner: owns endpoints, places adapters, and runs requests.
 *
 * See docs/commands/hc-owner.md.
 */

#include "owner/owner.h"

static void on_stop(void *ctx)
{
	owner_stop(ctx);
}

static void on_status(void *ctx, GString *json)
{
	owner_status(ctx, json);
}

static gboolean is_ready(void *ctx)
{
	return owner_is_ready(ctx);
}

int main(int argc, char **argv)
{
	owner_t *owner = owner_create();
	process_options_t options = {
		.name = "hc-owner",
		.usage = "Owns endpoints, places adapters and runs requests.",
		.on_stop = on_stop,
		.on_status = on_status,
		.is_ready = is_ready,
		.ctx = owner,
	};
	process_t *process = process_create(argc, argv, &options);
	GError *error = NULL;
	int code;

	if (!owner_start(owner, process, &error))
		process_fail(process, error);
	code = process_run(process);
	owner_destroy(owner);
	process_destroy(process);
	return code;
}
