/*
 * standin-proxy: TCP proxies on the loopback network with fault injection.
 * See docs/commands/standin-proxy.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/version.h"
#include "http/http_server.h"
#include "standin/link_proxy.h"
#include "standin/program.h"

#define EXIT_USAGE    2
#define BODY_MAX      1024
#define DELAY_MAX_MS  60000
#define CUT_MAX_BYTES 1000000
#define SPOIL_MAX     1000000

static const char usage[] = "usage: standin-proxy NAME=HOST:PORT...\n"
			    "\n"
			    "Each link listens on a free port of 127.0.0.1 and "
			    "passes on to HOST:PORT.\n"
			    "\n"
			    "  -h, --help       print this text\n"
			    "  -V, --version    print the version\n";

typedef struct {
	uv_loop_t *loop;
	GHashTable *links; /* name to link_proxy_t */
} proxies_t;

/* Returns -1 to continue, or the exit status. */
static int parse_options(int argc, char **argv)
{
	static const struct option options[] = {
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option = getopt_long(argc, argv, "hV", options, NULL);

	if (option == 'h') {
		fputs(usage, stdout);
		return EXIT_SUCCESS;
	}
	if (option == 'V') {
		printf("standin-proxy %s\n", HC_VERSION);
		return EXIT_SUCCESS;
	}
	if (option < 0 && optind < argc)
		return -1;
	fputs(usage, stderr);
	return EXIT_USAGE;
}

/* Adds the link NAME=HOST:PORT. */
static gboolean add_link(proxies_t *proxies, const char *argument,
			 GError **error)
{
	char **parts = g_strsplit_set(argument, "=:", 3);
	link_proxy_t *link = NULL;
	int port;

	if (g_strv_length(parts) != 3 ||
	    !standin_parse_number(parts[2], STANDIN_PORT_MAX, &port))
		error_set(error, ERROR_INVALID,
			  "'%s' is not a link; use NAME=HOST:PORT", argument);
	else
		link = link_proxy_create(proxies->loop, parts[1], port, error);
	if (link) {
		printf("listening %s 127.0.0.1:%d\n", parts[0],
		       link_proxy_port(link));
		g_hash_table_insert(proxies->links, g_strdup(parts[0]), link);
	}
	g_strfreev(parts);
	return link != NULL;
}

/* Applies a control request; returns FALSE if it is invalid. */
static gboolean apply_control(const proxies_t *proxies, http_request_t *request)
{
	const char *name = http_request_query(request, "link");
	const char *mode = http_request_query(request, "mode");
	const char *delay = http_request_query(request, "delay_ms");
	const char *kill = http_request_query(request, "kill");
	link_proxy_t *link =
		name ? g_hash_table_lookup(proxies->links, name) : NULL;
	const char *cut = http_request_query(request, "cut");
	const char *way = http_request_query(request, "as");
	const char *spoil = http_request_query(request, "spoil");
	int delay_ms;
	int cut_bytes;
	int every;

	if (!link ||
	    (delay && !standin_parse_number(delay, DELAY_MAX_MS, &delay_ms)) ||
	    (cut && !standin_parse_number(cut, CUT_MAX_BYTES, &cut_bytes)) ||
	    (cut &&
	     !link_proxy_set_cut(link, (size_t)cut_bytes, way ? way : "")) ||
	    (spoil && !standin_parse_number(spoil, SPOIL_MAX, &every)) ||
	    (mode && !link_proxy_set_mode(link, mode)))
		return FALSE;
	if (delay)
		link_proxy_set_delay(link, delay_ms);
	if (spoil)
		link_proxy_set_spoil(link, every);
	if (http_request_query(request, "reset"))
		link_proxy_reset(link);
	if (kill)
		link_proxy_kill(link, !strcmp(kill, "waiting"));
	return TRUE;
}

static void on_control(void *ctx, http_request_t *request)
{
	static const char done[] = "done\n";
	static const char invalid[] =
		"no such link, mode, delay, cut or spoil\n";
	gboolean is_applied = apply_control(ctx, request);
	const char *text = is_applied ? done : invalid;

	http_respond(request, is_applied ? 200 : 400, "text/plain", NULL, text,
		     strlen(text));
}

int main(int argc, char **argv)
{
	proxies_t proxies = {.loop = uv_default_loop()};
	http_server_options_t options = {.address = "127.0.0.1",
					 .body_max = BODY_MAX};
	http_server_t *server;
	GError *error = NULL;
	int status = parse_options(argc, argv);
	int i;

	if (status >= 0)
		return status;
	proxies.links = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = optind; i < argc; i++) {
		if (!add_link(&proxies, argv[i], &error)) {
			fprintf(stderr, "standin-proxy: %s\n", error->message);
			return EXIT_USAGE;
		}
	}
	server = http_server_create(proxies.loop, &options);
	http_server_route(server, "/control", on_control, &proxies);
	if (!http_server_listen(server, &error)) {
		fprintf(stderr, "standin-proxy: %s\n", error->message);
		return EXIT_FAILURE;
	}
	standin_run(proxies.loop, http_server_port(server));
	return EXIT_SUCCESS;
}
