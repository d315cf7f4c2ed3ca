#ifndef SERVE_PROCESS_H
#define SERVE_PROCESS_H

/*
 * The common part of the programs of an instance: command line, settings, event
 * loop, signals and the HTTP paths for operators.
 *
 * Command line: --settings FILE, --check, --help, --version.  Exit codes: 0
 * after a planned stop, 1 after a failure at run time, 2 for an invalid command
 * line or invalid settings.
 *
 * SIGTERM and SIGINT begin the planned stop; a second signal ends the process
 * immediately.
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

/* The settings of all programs; the strings live as long as the process. */
typedef struct {
	char *instance;
	char *address; /* the IP address of this instance */
	char *region;
	char *failure_domain;
	int64_t entry_port;	   /* for callers */
	int64_t owner_port;	   /* for other processes of hawthorncross */
	int64_t admin_port;	   /* for operators */
	int64_t entry_status_port; /* /status and /metrics of hc-entry */
	int64_t owner_status_port; /* the same for hc-owner */
	int64_t admin_status_port; /* the same for hc-admin */
	char **key_value_service;  /* "address:port" */
	char *instance_list;	   /* "address:port"; empty for none */
	char *membership_key_file;
	char *previous_membership_key_file; /* empty for none */
	char *tls_certificate;		    /* file; empty for plain text */
	char *tls_key;
} process_settings_t;

typedef struct {
	const char *name;	/* of the program */
	const char *usage;	/* one line of help, printed by --help */
	const setting_t *extra; /* further settings; ends with a NULL name */
	/* Begin the planned stop; call process_end() when it is done. */
	void (*on_stop)(void *ctx);
	/* Append the program's members to the JSON object of /status. */
	void (*on_status)(void *ctx, GString *json);
	/* Whether the program can serve requests now. */
	gboolean (*is_ready)(void *ctx);
	/* Handle SIGHUP; if NULL, the signal ends the process. */
	void (*on_reload)(void *ctx);
	/*
	 * The program may set the membership keys by process_set_keys(), so
	 * that the settings need not name a key file.
	 */
	gboolean has_no_key_file;
	void *ctx;
} process_options_t;

/* Read the command line and the settings; exits if they are invalid. */
process_t *process_create(int argc, char **argv,
			  const process_options_t *options);
void process_destroy(process_t *process);

/* Run the event loop until process_end(); returns the exit code. */
int process_run(process_t *process);

/* Stop the event loop, at the end of the planned stop. */
void process_end(process_t *process);

/* Print an error and exit with code 1. */
void process_fail(const process_t *process,
		  const GError *error) G_GNUC_NORETURN;

const process_settings_t *process_settings(const process_t *process);
uv_loop_t *process_loop(process_t *process);
ms_clock_t *process_clock(process_t *process);
http_client_t *process_client(process_t *process);
/* The path of the settings file, as given on the command line. */
const char *process_settings_path(const process_t *process);

/*
 * Read the settings file again.  Only log_level and the extra settings take
 * effect; the other common settings keep their values.  If the file is invalid,
 * log_level stays too, but the extra settings may have been read in part: the
 * program has to restore them from a copy.
 */
gboolean process_reload(process_t *process, GError **error);

/*
 * Set the membership keys and take ownership of them.  Must be called before
 * the first process_identity().
 */
void process_set_keys(process_t *process, channel_keys_t *keys);

/* Probe connections that are silent for this time; see wire/conn.h. */
void process_set_keepalive(process_t *process, ms_t keepalive);
/*
 * Returns how many clients a program may have at once: half of the descriptors
 * that the system allows it.
 */
size_t process_clients_max(void);
/* Limits the accepted connections without a hello; see conn_identity_t. */
void process_set_pending_max(process_t *process, int connections);

spans_t *process_spans(process_t *process);
GRand *process_rand(process_t *process);

/*
 * The identity for connections to other processes, in a role such as "owner".
 */
const conn_identity_t *process_identity(process_t *process, const char *role);

/* The TLS context made from the settings, or NULL for plain text. */
SSL_CTX *process_tls(process_t *process);

/* HTTP handler: 200 if the program is ready and not stopping, else 503. */
void process_handle_ready(void *ctx, http_request_t *request);

/* Add handlers for /status, /metrics, /healthz, /readyz and /debug/spans. */
void process_route(process_t *process, http_server_t *server);

/* Parse "address:port"; FALSE and ERROR_INVALID for anything else. */
gboolean process_split_address(const char *text, char **address, int *port,
			       GError **error);

#endif
