#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

/*
 * An instance on the users' platform.  It forwards callers' requests directly
 * to the endpoints, and sends orders to the engines that it holds.  See
 * docs/design/platform.md.
 *
 * The instance is ready once it knows a configuration and the list of
 * endpoints, and until its planned stop begins.  A planned stop completes the
 * requests received so far, closes idle connections once the platform has
 * stopped sending new ones, and ends within the grace time of the settings.
 */

#include "serve/process.h"

typedef struct front front_t;

front_t *front_create(void);

/* Returns the table of settings for process_options_t.extra. */
const setting_t *front_settings(front_t *front);

/*
 * Fails with ERROR_INVALID for wrong settings and ERROR_UNAVAILABLE for an
 * address in use.
 */
gboolean front_start(front_t *front, process_t *process, GError **error);

void front_stop(front_t *front);
void front_reload(front_t *front);
void front_status(front_t *front, GString *json);
gboolean front_is_ready(front_t *front);

#endif
