#include "admin/program.h"

#include <stdio.h>
#include <string.h>

#include "admin/admin.h"
#include "config/store.h"
#include "kv/kv_etcd.h"

/* How long a graceful shutdown waits for open requests. */
#define DRAIN_MAX_MS   30000
#define DRAIN_CHECK_MS 20

#define KEPT_GENERATIONS_MIN 2
#define KEPT_GENERATIONS_MAX 10000

#define STATUS_BODY_MAX 1024

#define SETTINGS_COUNT 3

struct admin_program {
	setting_t settings[SETTINGS_COUNT];
	char *bootstrap_sha256;
	int64_t kept_generations;
	process_t *process;
	http_server_t *server; /* for operators */
	http_server_t *status; /* for other programs */
	kv_t *kv;
	admin_t *admin;
	uv_timer_t drain_timer;
	ms_t drain_since;
};

admin_program_t *admin_program_create(void)
{
	admin_program_t *program = g_new0(admin_program_t, 1);
	const setting_t settings[SETTINGS_COUNT] = {
		{"bootstrap_token_sha256", SETTING_TEXT,
		 &program->bootstrap_sha256, "", 0, 0},
		{"kept_generations", SETTING_INT, &program->kept_generations,
		 G_STRINGIFY(STORE_KEPT_DEFAULT), KEPT_GENERATIONS_MIN,
		 KEPT_GENERATIONS_MAX},
		{NULL, SETTING_TEXT, NULL, NULL, 0, 0},
	};

	memcpy(program->settings, settings, sizeof(settings));
	return program;
}

const setting_t *admin_program_settings(admin_program_t *program)
{
	return program->settings;
}

static gboolean connect_kv(admin_program_t *program, GError **error)
{
	const process_settings_t *settings = process_settings(program->process);
	kv_etcd_options_t options = {0};

	if (!*settings->key_value_service) {
		error_set(error, ERROR_INVALID,
			  "setting 'key_value_service' is empty; list the "
			  "IP:PORT of "
			  "the key-value service");
		return FALSE;
	}
	options.loop = process_loop(program->process);
	options.addresses = (const char *const *)settings->key_value_service;
	options.timeout = KV_ETCD_TIMEOUT_MS;
	options.calls_max = KV_ETCD_CALLS_MAX;
	options.queue_max = KV_ETCD_QUEUE_MAX;
	program->kv = kv_etcd_create(&options, error);
	return program->kv != NULL;
}

static void create_admin(admin_program_t *program)
{
	admin_options_t options = {0};

	options.loop = process_loop(program->process);
	options.server = program->server;
	options.client = process_client(program->process);
	options.kv = program->kv;
	options.bootstrap_sha256 = program->bootstrap_sha256;
	options.kept_generations = program->kept_generations;
	program->admin = admin_create(&options);
}

/* Only the listener for operators supports TLS. */
static void create_servers(admin_program_t *program)
{
	const process_settings_t *settings = process_settings(program->process);
	uv_loop_t *loop = process_loop(program->process);
	const http_server_options_t operators = {
		settings->address,     (int)settings->admin_port,
		DOCUMENT_SIZE_MAX,     process_tls(program->process),
		process_clients_max(), TRUE};
	const http_server_options_t status = {settings->address,
					      (int)settings->admin_status_port,
					      STATUS_BODY_MAX,
					      NULL,
					      HTTP_STATUS_CONNECTIONS_MAX,
					      FALSE};

	program->server = http_server_create(loop, &operators);
	program->status = http_server_create(loop, &status);
	process_route(program->process, program->status);
}

gboolean admin_program_start(admin_program_t *program, process_t *process,
			     GError **error)
{
	const char *address = process_settings(process)->address;

	program->process = process;
	if (!connect_kv(program, error))
		return FALSE;
	create_servers(program);
	create_admin(program);
	uv_timer_init(process_loop(process), &program->drain_timer);
	program->drain_timer.data = program;
	if (!http_server_listen(program->server, error) ||
	    !http_server_listen(program->status, error))
		return FALSE;
	printf("listening %s:%d\n", address, http_server_port(program->server));
	printf("status %s:%d\n", address, http_server_port(program->status));
	fflush(stdout);
	return TRUE;
}

static void on_drain_check(uv_timer_t *timer)
{
	admin_program_t *program = timer->data;
	ms_t now = ms_clock_now(process_clock(program->process));

	if (!http_server_active(program->server) ||
	    now - program->drain_since >= DRAIN_MAX_MS)
		process_end(program->process);
}

void admin_program_stop(admin_program_t *program)
{
	program->drain_since = ms_clock_now(process_clock(program->process));
	http_server_drain(program->server);
	uv_timer_start(&program->drain_timer, on_drain_check, 0,
		       DRAIN_CHECK_MS);
}

void admin_program_status(admin_program_t *program, GString *json)
{
	document_t *document = admin_document(program->admin);

	g_string_append_printf(json, ",\"generation\":%" G_GINT64_FORMAT,
			       document ? document_generation(document) : 0);
}

gboolean admin_program_is_ready(admin_program_t *program)
{
	return admin_document(program->admin) != NULL;
}

void admin_program_destroy(admin_program_t *program)
{
	http_server_close(program->server);
	http_server_close(program->status);
	kv_destroy(program->kv);
	admin_destroy(program->admin);
	g_free(program->bootstrap_sha256);
	g_free(program);
}
