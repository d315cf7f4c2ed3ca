#ifndef CTL_CTL_PRINT_H
#define CTL_CTL_PRINT_H

/* Prints responses of the administration API as lines of text. */

#include <json-glib/json-glib.h>
#include <stdint.h>

/* Returns FALSE if the command has to exit with status 1. */
typedef gboolean (*ctl_print_t)(JsonObject *response);

gboolean ctl_print_faults(JsonObject *response);
gboolean ctl_print_differences(JsonObject *response);
gboolean ctl_print_accepted(JsonObject *response);
gboolean ctl_print_history(JsonObject *response);
gboolean ctl_print_status(JsonObject *response);
gboolean ctl_print_trace(JsonObject *response);

/* Prints an error to standard error, after its faults and differences. */
void ctl_print_error(JsonObject *response);

void ctl_print_fault(const char *path, int64_t line, const char *cause,
		     const char *remedy);
void ctl_print_fault_count(int64_t count);

#endif
