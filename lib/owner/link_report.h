#ifndef OWNER_CLIENT_REPORT_H
#define OWNER_CLIENT_REPORT_H

/* Parser of an engine's load report: its slots and its number of runs. */

#include "owner/link.h"

/*
 * Returns FALSE if the text is not a valid report.  The caller passes an empty
 * report and releases it in both cases.
 */
gboolean client_report_parse(const char *text, size_t size,
			     client_report_t *report);
void client_report_release(client_report_t *report);

#endif
