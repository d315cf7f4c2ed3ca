#ifndef CAPACITY_CAPACITY_H
#define CAPACITY_CAPACITY_H

/*
 * Microbenchmarks of the parts of an instance.
 *
 * Each function runs one round of a benchmark and adds its figures to a report.
 * CPU time is measured for the whole process, so nothing else may run in it.
 */

#include <stdint.h>

#include "capacity/report.h"

/* CPU time and size of encoding, framing and encrypting a piece of an answer.
 */
void capacity_wire(report_t *report);

/* Memory and CPU time of connections between processes, on loopback. */
void capacity_connections(report_t *report, int count);

/* CPU time of HTTP requests and streamed pieces, client and server together. */
void capacity_http(report_t *report);

/* CPU time of updating and rendering counters and histograms. */
void capacity_counters(report_t *report);

/* Memory, lookups and updates of a placement table with resident adapters. */
void capacity_placement(report_t *report, int adapters);

/* CPU time of assigning endpoints to members. */
void capacity_assign(report_t *report, int members, int endpoints);

/* Placement news from one owner to its followers, for an hour of virtual time.
 */
void capacity_news(report_t *report, int followers, double changes_per_hour,
		   uint32_t seed);

/* The size of a news message with a number of changes. */
void capacity_news_size(report_t *report, int changes);

#endif
