/*
 * standin-kv: a stand-in for the platform's key-value service on 127.0.0.1.
 * See docs/commands/standin-kv.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/version.h"
#include "standin/kv_service.h"
#include "standin/program.h"

#define EXIT_USAGE 2

static const char usage[] =
	"usage: standin-kv [--port PORT]\n"
	"\n"
	"  -p, --port PORT  listen on 127.0.0.1:PORT; 0 (default) for a free "
	"port\n"
	"  -h, --help       print this text\n"
	"  -V, --version    print the version\n";

/* Returns -1 to continue, or the exit status. */
static int parse_options(int argc, char **argv, int *port)
{
	static const struct option options[] = {
		{"port", required_argument, NULL, 'p'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "p:hV", options, NULL)) >= 0) {
		if (option == 'p' &&
		    standin_parse_number(optarg, STANDIN_PORT_MAX, port))
			continue;
		if (option == 'h') {
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		}
		if (option == 'V') {
			printf("standin-kv %s\n", HC_VERSION);
			return EXIT_SUCCESS;
		}
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	if (optind == argc)
		return -1;
	fputs(usage, stderr);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	uv_loop_t *loop = uv_default_loop();
	kv_service_t *service;
	GError *error = NULL;
	int port = 0;
	int status = parse_options(argc, argv, &port);

	if (status >= 0)
		return status;
	service = kv_service_create(loop, port);
	if (!kv_service_listen(service, &error)) {
		fprintf(stderr, "standin-kv: %s\n", error->message);
		return EXIT_FAILURE;
	}
	standin_run(loop, kv_service_port(service));
	return EXIT_SUCCESS;
}
