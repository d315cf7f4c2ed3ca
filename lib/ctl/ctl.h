#ifndef CTL_CTL_H
#define CTL_CTL_H

/*
 * The commands of hcctl.  Each makes one call of the administration API and
 * prints the response as lines of text; check makes one with --running only.
 */

#include <glib.h>
#include <stdint.h>

#define CTL_NO_GENERATION (-1)

typedef struct {
	const char *address; /* "IP:PORT" */
	const char *token_file;
	gboolean is_tls;
	const char *authorities;
	int64_t generation; /* or CTL_NO_GENERATION */
	const char *note;
	gboolean is_offline;
	gboolean is_json;
	const char *against; /* file to compare with, or NULL */
	gboolean is_against_running;
	const char *command;
	const char *argument;
} ctl_options_t;

/* Checks that the command exists and has the argument and options it needs. */
gboolean ctl_is_valid_usage(const ctl_options_t *options);

/* Runs the command; returns the exit status, 0 done or 1 refused or failed. */
int ctl_run(const ctl_options_t *options);

#endif
