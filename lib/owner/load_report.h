#ifndef OWNER_LINK_REPORT_H
#define OWNER_LINK_REPORT_H

/* Reads the load report of an engine: its slots, and how much runs there. */

#include "owner/endpoint_client.h"

/*
 * FALSE for anything that is no report; release it in both cases.  It is empty
 * at first.
 */
gboolean link_report_parse(const char *text, size_t size,
			   link_report_t *report);
void link_report_release(link_report_t *report);

#endif
