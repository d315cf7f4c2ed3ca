#ifndef OWNER_LINK_REPORT_H
#define OWNER_LINK_REPORT_H

/* Parser of an engine's load report: its slots and its number of runs. */

#include "owner/link.h"

/*
 * Returns FALSE if the text is not a valid report.  The caller passes an empty
 * report and releases it in both cases.
 */
gboolean link_report_parse(const char *text, size_t size,
			   link_report_t *report);
void link_report_release(link_report_t *report);

#endif
