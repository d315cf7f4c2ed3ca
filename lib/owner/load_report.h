#ifndef OWNER_LOAD_REPORT_H
#define OWNER_LOAD_REPORT_H

/* Parser of an engine's load report: its slots and its number of runs. */

#include "owner/endpoint_client.h"

/*
 * Returns FALSE if the text is not a valid report.  The caller passes an empty
 * report and releases it in both cases.
 */
gboolean load_report_parse(const char *text, size_t size,
			   load_report_t *report);
void load_report_release(load_report_t *report);

#endif
