#ifndef ADMIN_PROGRAM_H
#define ADMIN_PROGRAM_H

/* The program hc-admin: its settings, servers and graceful shutdown. */

#include "serve/process.h"

typedef struct admin_program admin_program_t;

admin_program_t *admin_program_create(void);

/* Returns the settings that only this program has. */
const setting_t *admin_program_settings(admin_program_t *program);

/*
 * Listens and starts to follow the document.  Fails with ERROR_INVALID or
 * ERROR_UNAVAILABLE.
 */
gboolean admin_program_start(admin_program_t *program, process_t *process,
			     GError **error);

/* Shuts down gracefully: ends the process once no request is open. */
void admin_program_stop(admin_program_t *program);

/* Appends the members of hc-admin to the JSON object of /status. */
void admin_program_status(admin_program_t *program, GString *json);

/* The program is ready once it has a document in force. */
gboolean admin_program_is_ready(admin_program_t *program);

/* Call after the loop has ended. */
void admin_program_destroy(admin_program_t *program);

#endif
