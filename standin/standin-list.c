/*
 * standin-list: a stand-in for the platform's list of instances on 127.0.0.1.
 * See docs/commands/standin-list.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/version.h"
#include "standin/list_service.h"
#include "standin/program.h"

#define EXIT_USAGE  2
#define LAG_DEFAULT 2000
#define LAG_MAX	    3600000

typedef struct {
	int port;
	int lag; /* milliseconds */
} options_t;

static const char usage[] =
	"usage: standin-list [--port PORT] [--lag-ms MS]\n"
	"\n"
	"  -p, --port PORT  listen on 127.0.0.1:PORT; 0 (default) for a free "
	"port\n"
	"  -l, --lag-ms MS  changes show after MS milliseconds (default 2000)\n"
	"  -h, --help       print this text\n"
	"  -V, --version    print the version\n";

/* Returns -1 to continue, or the exit status. */
static int parse_options(int argc, char **argv, options_t *parsed)
{
	static const struct option options[] = {
		{"port", required_argument, NULL, 'p'},
		{"lag-ms", required_argument, NULL, 'l'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "p:l:hV", options, NULL)) >=
	       0) {
		if (option == 'p' &&
		    standin_parse_number(optarg, STANDIN_PORT_MAX,
					 &parsed->port))
			continue;
		if (option == 'l' &&
		    standin_parse_number(optarg, LAG_MAX, &parsed->lag))
			continue;
		if (option == 'h') {
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		}
		if (option == 'V') {
			printf("standin-list %s\n", HC_VERSION);
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
	list_service_t *service;
	options_t options = {.lag = LAG_DEFAULT};
	GError *error = NULL;
	int status = parse_options(argc, argv, &options);

	if (status >= 0)
		return status;
	service = list_service_create(loop, options.port, options.lag);
	if (!list_service_listen(service, &error)) {
		fprintf(stderr, "standin-list: %s\n", error->message);
		return EXIT_FAILURE;
	}
	standin_run(loop, list_service_port(service));
	return EXIT_SUCCESS;
}
