#ifndef FRONT_ORGANISATION_COUNTS_H
#define FRONT_ORGANISATION_COUNTS_H

/*
 * Counts requests and refusals of each organisation in the metrics
 * hc_organisation_requests_total and hc_organisation_refused_total.
 *
 * The first ORGANISATION_LABELS_MAX organisations have a label of their own
 * until the process ends, also if a later configuration lacks them; the others
 * are counted together as "other".
 */

#include <glib.h>

#define ORGANISATION_LABELS_MAX 32

typedef struct organisation_counts organisation_counts_t;

organisation_counts_t *organisation_counts_create(void);
void organisation_counts_destroy(organisation_counts_t *counts);

void organisation_counts_add_request(organisation_counts_t *counts,
				     const char *name);
/* A request that was counted before is refused: it has not run. */
void organisation_counts_add_refusal(organisation_counts_t *counts,
				     const char *name);

#endif
