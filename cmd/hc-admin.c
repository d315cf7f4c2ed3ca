/*
 * hc-admin: the administration API and the console of forms.
 *
 * See docs/commands/hc-admin.md.
 */

#include "admin/program.h"
#include "base/memory.h"

static void on_stop(void *ctx)
{
	admin_program_stop(ctx);
}

static void on_status(void *ctx, GString *json)
{
	admin_program_status(ctx, json);
}

static gboolean is_ready(void *ctx)
{
	return admin_program_is_ready(ctx);
}

int main(int argc, char **argv)
{
	admin_program_t *program = admin_program_create();
	process_options_t options = {
		.name = "hc-admin",
		.usage = "Serves the administration API and the console.",
		.extra = admin_program_settings(program),
		.on_stop = on_stop,
		.on_status = on_status,
		.is_ready = is_ready,
		.ctx = program,
	};
	process_t *process;
	GError *error = NULL;
	int code;

	memory_use_single_arena();
	process = process_create(argc, argv, &options);
	if (!admin_program_start(program, process, &error))
		process_fail(process, error);
	code = process_run(process);
	admin_program_destroy(program);
	process_destroy(process);
	return code;
}
