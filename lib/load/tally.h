#ifndef LOAD_TALLY_H
#define LOAD_TALLY_H

/*
 * Statistics of the requests to one target: events, verdicts and latencies.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

#include "load/check.h"

typedef struct tally tally_t;

typedef enum {
	SERIES_FIRST_TOKEN, /* from the first attempt to the first token */
	SERIES_INTER_TOKEN, /* between two tokens */
	SERIES_WHOLE,	    /* from the first attempt to the end of an answer
			       that is VERDICT_RIGHT */
	SERIES_COUNT
} series_t;

/* Events that are counted in addition to verdicts. */
typedef enum {
	TALLY_SENT,	   /* requests, retries not counted */
	TALLY_RETRIED,	   /* retries */
	TALLY_UNREACHABLE, /* connection failed */
	TALLY_TIMEOUT,
	TALLY_EVENT_COUNT
} tally_event_t;

tally_t *tally_create(void);
void tally_destroy(tally_t *tally);

void tally_count(tally_t *tally, tally_event_t event);
void tally_add_result(tally_t *tally, const check_result_t *result);
void tally_time(tally_t *tally, series_t series, int64_t duration_us);

int64_t tally_verdicts(const tally_t *tally, verdict_t verdict);

/* A percentile (0 to 100) in ms by nearest rank, or -1 without samples. */
double tally_percentile(tally_t *tally, series_t series, double percent);

/* Print as text to stdout, or render as a JSON object. */
void tally_print(tally_t *tally, const char *target);
JsonObject *tally_json(tally_t *tally);

#endif
