#ifndef STANDIN_PROGRAM_H
#define STANDIN_PROGRAM_H

/* Functions shared by the stand-in programs. */

#include <glib.h>
#include <uv.h>

#define STANDIN_PORT_MAX 65535

/* Parses a decimal number from 0 to max; returns FALSE if it is not one. */
gboolean standin_parse_number(const char *text, int max, int *number);

/* Prints the line 'listening 127.0.0.1:PORT'; runs until SIGTERM or SIGINT. */
void standin_run(uv_loop_t *loop, int port);

#endif
