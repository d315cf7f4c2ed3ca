#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

/*
 * An instance on the users' platform: callers' requests go from here straight
 * to the endpoints, and this instance's part of the engines is ordered from
 * here.  See docs/design/platform.md.
 *
 * It is ready once a configuration and the list of endpoints are known, and
 * until its planned stop begins.  The planned stop ends what was read, closes
 * kept connections once the platform sends no more new ones, and is over within
 * the grace time of the settings.
 */

#include "serve/process.h"

typedef struct front front_t;

front_t *front_create(void);

/* For process_options_t.extra. */
const setting_t *front_settings(front_t *front);

/* Errors: ERROR_INVALID for settings, ERROR_UNAVAILABLE for a taken address. */
gboolean front_start(front_t *front, process_t *process, GError **error);

void front_stop(front_t *front);
void front_reload(front_t *front);
void front_status(front_t *front, GString *json);
gboolean front_is_ready(front_t *front);

#endif
