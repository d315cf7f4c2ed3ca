/*
 * hcctl: command-line client of the administration API, for operators.
 *
 * See docs/commands/hcctl.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/version.h"
#include "ctl/ctl.h"

#define EXIT_USAGE 2

/* Options without a letter. */
enum { OPTION_AGAINST = 256, OPTION_RUNNING };

static const char usage[] =
	"usage: hcctl [options] COMMAND [ARGUMENT]\n"
	"\n"
	"  validate FILE      report all errors in a document\n"
	"  check FILE         report errors, useless entries and limits, and\n"
	"                     what a change does to callers\n"
	"  diff FILE          compare a document with the newest one\n"
	"  commit FILE        put a document in force\n"
	"  show               print the newest document\n"
	"  history            list the kept generations\n"
	"  status             show what is in force on each instance\n"
	"  trace ID           show the hops of one request\n"
	"\n"
	"  -a, --admin=IP:PORT    administration API address [127.0.0.1:7400]\n"
	"  -t, --token-file=FILE  operator token file (or HCCTL_TOKEN)\n"
	"  -T, --tls              connect with TLS\n"
	"  -A, --authorities=FILE trusted authorities in PEM form, with --tls\n"
	"  -g, --generation=N     diff, show: use N instead of the newest;\n"
	"                         commit: N is the base of FILE (required)\n"
	"  -n, --note=TEXT        commit: a note for the history\n"
	"  -o, --offline          validate: don't use the administration API\n"
	"      --against=FILE     check: compare with another document\n"
	"      --running          check: compare with the one in force, or\n"
	"                         with --generation\n"
	"  -j, --json             print responses as received; check: JSON\n"
	"  -h, --help             print this help\n"
	"  -V, --version          print the version\n"
	"\n"
	"Exit status: 0 done, 1 refused or failed, 2 wrong usage.\n"
	"FILE may be '-' for standard input.\n";

static const struct option options[] = {
	{"admin", required_argument, NULL, 'a'},
	{"token-file", required_argument, NULL, 't'},
	{"tls", no_argument, NULL, 'T'},
	{"authorities", required_argument, NULL, 'A'},
	{"generation", required_argument, NULL, 'g'},
	{"note", required_argument, NULL, 'n'},
	{"offline", no_argument, NULL, 'o'},
	{"json", no_argument, NULL, 'j'},
	{"against", required_argument, NULL, OPTION_AGAINST},
	{"running", no_argument, NULL, OPTION_RUNNING},
	{"help", no_argument, NULL, 'h'},
	{"version", no_argument, NULL, 'V'},
	{NULL, 0, NULL, 0},
};

static int usage_error(void)
{
	fputs(usage, stderr);
	return EXIT_USAGE;
}

/* Returns the exit status, or -1 to continue. */
static int parse_option(int option, ctl_options_t *ctl)
{
	switch (option) {
	case 'a':
		ctl->address = optarg;
		return -1;
	case 't':
		ctl->token_file = optarg;
		return -1;
	case 'T':
		ctl->is_tls = TRUE;
		return -1;
	case 'A':
		ctl->authorities = optarg;
		return -1;
	case 'g':
		if (g_ascii_string_to_signed(optarg, 10, 0, G_MAXINT64,
					     &ctl->generation, NULL))
			return -1;
		return usage_error();
	case 'n':
		ctl->note = optarg;
		return -1;
	case 'o':
		ctl->is_offline = TRUE;
		return -1;
	case 'j':
		ctl->is_json = TRUE;
		return -1;
	case OPTION_AGAINST:
		ctl->against = optarg;
		return -1;
	case OPTION_RUNNING:
		ctl->is_against_running = TRUE;
		return -1;
	case 'h':
		fputs(usage, stdout);
		return EXIT_SUCCESS;
	case 'V':
		puts("hcctl " HC_VERSION);
		return EXIT_SUCCESS;
	default:
		return usage_error();
	}
}

int main(int argc, char **argv)
{
	ctl_options_t ctl = {0};
	int option;
	int status;

	/* Errors go to standard error, and standard output is the result. */
	log_set_level(LOG_ERROR);
	ctl.address = "127.0.0.1:7400";
	ctl.generation = CTL_NO_GENERATION;
	while ((option = getopt_long(argc, argv, "a:t:TA:g:n:ojhV", options,
				     NULL)) != -1) {
		status = parse_option(option, &ctl);
		if (status >= 0)
			return status;
	}
	if (optind >= argc)
		return usage_error();
	ctl.command = argv[optind];
	ctl.argument = optind + 1 < argc ? argv[optind + 1] : NULL;
	if (optind + 2 < argc || !ctl_is_valid_usage(&ctl))
		return usage_error();
	return ctl_run(&ctl);
}
