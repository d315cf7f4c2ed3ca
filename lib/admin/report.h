#ifndef ADMIN_REPORT_H
#define ADMIN_REPORT_H

/*
 * Response bodies of the administration API as JSON.  The calling function owns
 * the returned nodes.
 */

#include <json-glib/json-glib.h>

#include "config/diff.h"
#include "config/store.h"
#include "config/validate.h"

/* {"valid": ..., "count": ..., "faults": [...]} */
JsonNode *report_faults(const faults_t *faults);

/* As report_faults(), with an error of kind "invalid". */
JsonNode *report_invalid(const faults_t *faults);

/* {"generation": ..., "differences": [...]} */
JsonNode *report_differences(int64_t generation, const GPtrArray *differences);

/*
 * An error of kind "conflict", with the newest generation and the
 * differences from it to the refused document.
 */
JsonNode *report_conflict(const store_result_t *result, const GError *error);

/* {"generations": [...]} */
JsonNode *report_history(const manifest_t *const *records, size_t count);

/* {"generation": ..., "chunks_written": ..., "bytes_written": ...} */
JsonNode *report_accepted(const store_result_t *result);

#endif
