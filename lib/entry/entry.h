#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

/*
 * hc-entry: the process of an instance that serves the requests of callers.
 */

#include "serve/process.h"

typedef struct entry entry_t;

entry_t *entry_create(void);

/* The settings that only hc-entry has; ends with a NULL name. */
const setting_t *entry_settings(entry_t *entry);

/*
 * Create all parts and listen; ERROR_UNAVAILABLE or ERROR_INVALID on failure.
 */
gboolean entry_start(entry_t *entry, process_t *process, GError **error);

/* Begin a planned stop; the process ends once all requests have ended. */
void entry_stop(entry_t *entry);

/* Append the members that hc-entry adds to the JSON object of /status. */
void entry_status(entry_t *entry, GString *json);

/* Whether a configuration document is in force and an owner is known. */
gboolean entry_is_ready(entry_t *entry);

void entry_destroy(entry_t *entry);

#endif
