#include "standin/program.h"

#include <signal.h>
#include <stdio.h>

gboolean standin_parse_number(const char *text, int max, int *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, (guint64)max, &value,
					NULL))
		return FALSE;
	*number = (int)value;
	return TRUE;
}

static void on_signal(uv_signal_t *signal, int number)
{
	uv_stop(signal->loop);
}

void standin_run(uv_loop_t *loop, int port)
{
	uv_signal_t signals[2];

	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(loop, &signals[0]);
	uv_signal_start(&signals[0], on_signal, SIGTERM);
	uv_signal_init(loop, &signals[1]);
	uv_signal_start(&signals[1], on_signal, SIGINT);
	printf("listening 127.0.0.1:%d\n", port);
	fflush(stdout);
	uv_run(loop, UV_RUN_DEFAULT);
}
