#include "serve/process.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/version.h"
#include "serve/membership_keys.h"

#define EXIT_FAILED 1
#define EXIT_USAGE  2

/* Spans in memory for /debug/spans. */
#define SPAN_BUFFER_SIZE 4096

#define SETTINGS_MAX 64

struct process {
	process_options_t options;
	process_settings_t settings;
	uv_loop_t *loop;
	ms_clock_t *clock;
	http_client_t *client;
	spans_t *spans;
	GRand *rand;
	channel_keys_t *keys;
	conn_identity_t identity;
	SSL_CTX *tls;
	http_server_t *status;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	char *path;
	gboolean is_stopping;
};

static void print_usage(const process_options_t *options, FILE *out)
{
	fprintf(out,
		"usage: %s --settings FILE [--check]\n"
		"%s\n"
		"  --settings FILE  JSON with comments\n"
		"  --check          check the settings and exit\n"
		"  --help           print this text\n"
		"  --version        print the version\n",
		options->name, options->usage);
}

static const char *parse_command_line(int argc, char **argv,
				      const process_options_t *options,
				      gboolean *is_check_only)
{
	static const struct option table[] = {
		{"settings", required_argument, NULL, 's'},
		{"check", no_argument, NULL, 'c'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'v'},
		{NULL, 0, NULL, 0}};
	const char *path = NULL;
	int option;

	while ((option = getopt_long(argc, argv, "s:", table, NULL)) != -1) {
		switch (option) {
		case 's':
			path = optarg;
			break;
		case 'c':
			*is_check_only = TRUE;
			break;
		case 'h':
			print_usage(options, stdout);
			exit(0);
		case 'v':
			printf("%s %s\n", options->name, HC_VERSION);
			exit(0);
		default:
			print_usage(options, stderr);
			exit(EXIT_USAGE);
		}
	}
	if (!path || optind < argc) {
		print_usage(options, stderr);
		exit(EXIT_USAGE);
	}
	return path;
}

static gboolean load_settings(process_t *process, const char *path,
			      char **level, GError **error)
{
	process_settings_t *settings = &process->settings;
	const setting_t common[] = {
		{"instance", SETTING_TEXT, &settings->instance, NULL, 0, 0},
		{"address", SETTING_TEXT, &settings->address, NULL, 0, 0},
		{"region", SETTING_TEXT, &settings->region, NULL, 0, 0},
		{"failure_domain", SETTING_TEXT, &settings->failure_domain,
		 NULL, 0, 0},
		{"entry_port", SETTING_INT, &settings->entry_port, "8000", 0,
		 65535},
		{"owner_port", SETTING_INT, &settings->owner_port, "8001", 0,
		 65535},
		{"admin_port", SETTING_INT, &settings->admin_port, "8002", 0,
		 65535},
		{"entry_status_port", SETTING_INT, &settings->entry_status_port,
		 "8003", 0, 65535},
		{"owner_status_port", SETTING_INT, &settings->owner_status_port,
		 "8004", 0, 65535},
		{"admin_status_port", SETTING_INT, &settings->admin_status_port,
		 "8005", 0, 65535},
		{"key_value_service", SETTING_LIST,
		 &settings->key_value_service, NULL, 0, 0},
		{"instance_list", SETTING_TEXT, &settings->instance_list, "", 0,
		 0},
		{"membership_key_file", SETTING_TEXT,
		 &settings->membership_key_file,
		 process->options.has_no_key_file ? "" : NULL, 0, 0},
		{"previous_membership_key_file", SETTING_TEXT,
		 &settings->previous_membership_key_file, "", 0, 0},
		{"tls_certificate", SETTING_TEXT, &settings->tls_certificate,
		 "", 0, 0},
		{"tls_key", SETTING_TEXT, &settings->tls_key, "", 0, 0},
		{"log_level", SETTING_TEXT, level, "info", 0, 0},
	};
	setting_t table[SETTINGS_MAX] = {0};
	const setting_t *extra = process->options.extra;
	size_t count = G_N_ELEMENTS(common);

	memcpy(table, common, sizeof(common));
	while (extra && extra->name) {
		g_assert(count < SETTINGS_MAX - 1);
		table[count++] = *extra++;
	}
	return settings_load(path, table, error);
}

static gboolean load_tls(process_t *process, GError **error)
{
	const process_settings_t *settings = &process->settings;

	if (!*settings->tls_certificate && !*settings->tls_key)
		return TRUE;
	process->tls = SSL_CTX_new(TLS_server_method());
	SSL_CTX_set_min_proto_version(process->tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(
		    process->tls, settings->tls_certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file(process->tls, settings->tls_key,
					SSL_FILETYPE_PEM) == 1 &&
	    SSL_CTX_check_private_key(process->tls) == 1)
		return TRUE;
	error_set(error, ERROR_INVALID,
		  "tls_certificate '%s' and tls_key '%s' do not match; "
		  "name PEM files of one key pair",
		  settings->tls_certificate, settings->tls_key);
	return FALSE;
}

static gboolean load_settings_and_keys(process_t *process, const char *path,
				       GError **error)
{
	char *level_name = NULL;
	log_level_t level;

	if (!load_settings(process, path, &level_name, error))
		return FALSE;
	if (!log_level_parse(level_name, &level)) {
		error_set(error, ERROR_INVALID,
			  "%s: unknown log_level '%s'; use debug, info, "
			  "warn or error",
			  path, level_name);
		return FALSE;
	}
	g_free(level_name);
	log_init(process->options.name, process->settings.instance, level);
	if (process->options.has_no_key_file &&
	    !*process->settings.membership_key_file)
		return load_tls(process, error);
	process->keys = membership_keys_load(
		process->settings.membership_key_file,
		process->settings.previous_membership_key_file, error);
	return process->keys && load_tls(process, error);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	process_t *process = handle->data;

	if (process->is_stopping) {
		log_warn("second signal, exiting immediately", NULL, NULL);
		exit(EXIT_FAILED);
	}
	process->is_stopping = TRUE;
	log_info("starting planned stop", NULL, NULL);
	process->options.on_stop(process->options.ctx);
}

static void on_reload_signal(uv_signal_t *handle, int signum)
{
	process_t *process = handle->data;

	process->options.on_reload(process->options.ctx);
}

static void watch_signal(process_t *process, uv_signal_t *handle,
			 uv_signal_cb on_caught, int signum)
{
	uv_signal_init(process->loop, handle);
	handle->data = process;
	uv_signal_start(handle, on_caught, signum);
	uv_unref((uv_handle_t *)handle);
}

process_t *process_create(int argc, char **argv,
			  const process_options_t *options)
{
	process_t *process;
	gboolean is_check_only = FALSE;
	const char *path =
		parse_command_line(argc, argv, options, &is_check_only);
	GError *error = NULL;

	memory_use_single_arena();
	process = g_new0(process_t, 1);
	process->options = *options;
	if (!load_settings_and_keys(process, path, &error)) {
		fprintf(stderr, "%s: %s\n", options->name, error->message);
		exit(EXIT_USAGE);
	}
	if (is_check_only)
		exit(0);
	process->loop = uv_default_loop();
	process->clock = ms_clock_create_system();
	process->client = http_client_create(process->loop);
	process->spans = spans_create(SPAN_BUFFER_SIZE, options->name,
				      process->settings.instance);
	process->rand = g_rand_new();
	process->path = g_strdup(path);
	watch_signal(process, &process->sigterm, on_signal, SIGTERM);
	watch_signal(process, &process->sigint, on_signal, SIGINT);
	if (options->on_reload)
		watch_signal(process, &process->sighup, on_reload_signal,
			     SIGHUP);
	return process;
}

static void settings_release(process_settings_t *settings)
{
	g_free(settings->instance);
	g_free(settings->address);
	g_free(settings->region);
	g_free(settings->failure_domain);
	g_strfreev(settings->key_value_service);
	g_free(settings->instance_list);
	g_free(settings->membership_key_file);
	g_free(settings->previous_membership_key_file);
	g_free(settings->tls_certificate);
	g_free(settings->tls_key);
}

void process_destroy(process_t *process)
{
	settings_release(&process->settings);
	spans_destroy(process->spans);
	g_rand_free(process->rand);
	ms_clock_destroy(process->clock);
	g_free(process->path);
	if (process->keys)
		channel_keys_destroy(process->keys);
	if (process->tls)
		SSL_CTX_free(process->tls);
	g_free(process);
}

int process_run(process_t *process)
{
	uv_run(process->loop, UV_RUN_DEFAULT);
	return 0;
}

void process_end(process_t *process)
{
	uv_stop(process->loop);
}

void process_fail(const process_t *process, const GError *error)
{
	fprintf(stderr, "%s: %s\n", process->options.name, error->message);
	exit(EXIT_FAILED);
}

const process_settings_t *process_settings(const process_t *process)
{
	return &process->settings;
}

uv_loop_t *process_loop(process_t *process)
{
	return process->loop;
}

ms_clock_t *process_clock(process_t *process)
{
	return process->clock;
}

http_client_t *process_client(process_t *process)
{
	return process->client;
}

const char *process_settings_path(const process_t *process)
{
	return process->path;
}

gboolean process_reload(process_t *process, GError **error)
{
	process_settings_t previous = process->settings;
	char *level_name = NULL;
	log_level_t level;
	gboolean ok;

	memset(&process->settings, 0, sizeof(process->settings));
	ok = load_settings(process, process->path, &level_name, error);
	if (ok && log_level_parse(level_name, &level))
		log_set_level(level);
	g_free(level_name);
	/* Other code holds pointers to the strings of the previous settings. */
	settings_release(&process->settings);
	process->settings = previous;
	return ok;
}

void process_set_keys(process_t *process, channel_keys_t *keys)
{
	g_assert(!process->keys);
	process->keys = keys;
}

void process_set_keepalive(process_t *process, ms_t keepalive)
{
	process->identity.keepalive = keepalive;
}

size_t process_clients_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return 0;
	return limit.rlim_cur / 2;
}

void process_set_pending_max(process_t *process, int connections)
{
	process->identity.pending_max = connections;
}

spans_t *process_spans(process_t *process)
{
	return process->spans;
}

GRand *process_rand(process_t *process)
{
	return process->rand;
}

const conn_identity_t *process_identity(process_t *process, const char *role)
{
	process->identity.loop = process->loop;
	process->identity.instance = process->settings.instance;
	process->identity.role = role;
	process->identity.keys = process->keys;
	return &process->identity;
}

SSL_CTX *process_tls(process_t *process)
{
	return process->tls;
}

static void respond_text(http_request_t *request, int status, const char *type,
			 const char *text)
{
	http_respond(request, status, type, NULL, text, strlen(text));
}

static void on_status(void *ctx, http_request_t *request)
{
	process_t *process = ctx;
	GString *json = g_string_new("{");

	g_string_append_printf(json, "\"instance\":\"%s\",\"program\":\"%s\"",
			       process->settings.instance,
			       process->options.name);
	g_string_append_printf(json, ",\"stopping\":%s",
			       process->is_stopping ? "true" : "false");
	process->options.on_status(process->options.ctx, json);
	g_string_append(json, "}\n");
	respond_text(request, 200, "application/json", json->str);
	g_string_free(json, TRUE);
}

static void on_metrics(void *ctx, http_request_t *request)
{
	char *text = counter_render();

	respond_text(request, 200, "text/plain; version=0.0.4", text);
	g_free(text);
}

static void on_health(void *ctx, http_request_t *request)
{
	respond_text(request, 200, "text/plain", "ok\n");
}

void process_handle_ready(void *ctx, http_request_t *request)
{
	process_t *process = ctx;

	if (!process->is_stopping &&
	    process->options.is_ready(process->options.ctx))
		respond_text(request, 200, "text/plain", "ready\n");
	else
		respond_text(request, 503, "text/plain", "not ready\n");
}

static void on_spans(void *ctx, http_request_t *request)
{
	process_t *process = ctx;
	const char *trace = http_request_query(request, "trace");
	char *json = spans_render(process->spans, trace ? trace : "");

	respond_text(request, 200, "application/json", json);
	g_free(json);
}

void process_route(process_t *process, http_server_t *server)
{
	http_server_route(server, "/status", on_status, process);
	http_server_route(server, "/metrics", on_metrics, process);
	http_server_route(server, "/healthz", on_health, process);
	http_server_route(server, "/readyz", process_handle_ready, process);
	http_server_route(server, "/debug/spans", on_spans, process);
}

gboolean process_split_address(const char *text, char **address, int *port,
			       GError **error)
{
	const char *colon = strrchr(text, ':');
	guint64 number;

	if (colon && g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535,
						&number, NULL)) {
		*address = g_strndup(text, (gsize)(colon - text));
		*port = (int)number;
		return TRUE;
	}
	error_set(error, ERROR_INVALID,
		  "'%s' is no address; write it as IP:PORT", text);
	return FALSE;
}
