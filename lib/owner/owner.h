#ifndef OWNER_OWNER_H
#define OWNER_OWNER_H

/*
 * hc-owner: the process of an instance that owns endpoints.
 *
 * Only the owner of an endpoint sends requests and load or unload orders to it.
 * An owner also chooses the endpoint for requests of the adapters whose home it
 * is, and grants loads from a weight store if it is the store's broker.
 */

#include "serve/process.h"

typedef struct owner owner_t;

owner_t *owner_create(void);

/*
 * Listens on the configured ports and starts the timers.  On FALSE, the error
 * is ERROR_UNAVAILABLE or ERROR_INVALID.
 */
gboolean owner_start(owner_t *owner, process_t *process, GError **error);

/* Starts a planned stop; the process ends when all requests have ended. */
void owner_stop(owner_t *owner);

/* Appends this process's members to the JSON object that /status returns. */
void owner_status(owner_t *owner, GString *json);

/* Returns whether a configuration document is in force. */
gboolean owner_is_ready(owner_t *owner);

void owner_destroy(owner_t *owner);

#endif
