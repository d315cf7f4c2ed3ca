#ifndef SERVE_PROCESS_H
#define SERVE_PROCESS_H

/*
 * What the programs of an instance have in common: their command line, their
 * settings, the loop, the signals and the HTTP paths for operators.
 *
 * Command line: --settings FILE, --check, --help, --version.  Exit codes: 0 for
 * a planned stop, 1 for a failure at work, 2 for a wrong command line or wrong
 * settings.
 *
 * SIGTERM and SIGINT begin the planned stop; the second one ends the process at
 * once.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "base/settings.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "trace/span.h"
#include "wire/conn.h"

typedef struct process process_t;

/* Settings that all programs have; the texts live as long as the process. */
typedef struct {
	char *instance;
	char *address; /* the IP number of this instance */
	char *region;
	char *failure_domain;
	int64_t entry_port;	   /* callers */
	int64_t owner_port;	   /* other processes of the project */
	int64_t admin_port;	   /* operators */
	int64_t entry_status_port; /* /status and /metrics of hc-entry */
	int64_t owner_status_port; /* likewise of hc-owner */
	int64_t admin_status_port; /* likewise of hc-admin */
	char **key_value_service;  /* "address:port" */
	char *instance_list;	   /* "address:port"; empty for none */
	char *membership_key_file;
	char *previous_membership_key_file; /* empty for none */
	char *tls_certificate;		    /* file; empty for plain text */
	char *tls_key;
} process_settings_t;

typedef struct {
	const char *name;	/* of the program */
	const char *usage;	/* what it does, for --help */
	const setting_t *extra; /* further settings; ends with a NULL name */
	/* The planned stop begins. */
	void (*on_stop)(void *ctx);
	/* The program's part of /status: members of a JSON object. */
	void (*on_status)(void *ctx, GString *json);
	/* Whether it can do its work now. */
	gboolean (*is_ready)(void *ctx);
	/* SIGHUP: read the settings again; NULL to end at this signal. */
	void (*on_reload)(void *ctx);
	/*
	 * The membership key comes from elsewhere, by process_set_keys(); the
	 * settings need not name a file.
	 */
	gboolean has_no_key_file;
	void *ctx;
} process_options_t;

/* Read the command line and the settings; exits on a fault. */
process_t *process_create(int argc, char **argv,
			  const process_options_t *options);
void process_destroy(process_t *process);

/* Serve until process_end(); returns the exit code. */
int process_run(process_t *process);

/* End the loop: the planned stop is done. */
void process_end(process_t *process);

/* Print an error and exit with code 1. */
void process_fail(const process_t *process,
		  const GError *error) G_GNUC_NORETURN;

const process_settings_t *process_settings(const process_t *process);
uv_loop_t *process_loop(process_t *process);
ms_clock_t *process_clock(process_t *process);
http_client_t *process_client(process_t *process);
/* The path of the settings file, as on the command line. */
const char *process_settings_path(const process_t *process);

/*
 * Read the settings file again into the common and the extra settings; those
 * in force stay as they are if it has a fault.
 */
gboolean process_reload(process_t *process, GError **error);

/* Before the first process_identity(); takes the keys. */
void process_set_keys(process_t *process, channel_keys_t *keys);

spans_t *process_spans(process_t *process);
GRand *process_rand(process_t *process);

/* For connections between processes, under a role such as "owner". */
const conn_identity_t *process_identity(process_t *process, const char *role);

/* The TLS context of the settings, or NULL for plain text. */
SSL_CTX *process_tls(process_t *process);

/* A handler of HTTP requests: 200 if ready and not stopping, else 503. */
void process_handle_ready(void *ctx, http_request_t *request);

/* Add the paths /status /metrics /healthz /readyz and /debug/spans. */
void process_route(process_t *process, http_server_t *server);

/* Split "address:port"; FALSE and ERROR_INVALID for anything else. */
gboolean process_split_address(const char *text, char **address, int *port,
			       GError **error);

#endif
