#ifndef BENCH_PROFILE_H
#define BENCH_PROFILE_H

/*
 * The size and the load of a service, as parameters of an experiment.
 *
 * Profiles are settings files in etc/bench/.  All numbers are integers, with
 * the unit in the name of the setting.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	char *name;
	int64_t endpoints;
	int64_t instances;
	int64_t adapters; /* 0 for a plain service */
	int64_t slots;
	int64_t places; /* maximum batch size of an engine */
	int64_t loads_per_1000s;
	int64_t transit_limit;
	int64_t load_ms;
	int64_t skew_thousandths; /* exponent of the Zipf distribution */
	int64_t requests_per_1000s;
	int64_t round_min; /* requests in a round */
	int64_t round_max;
	int64_t think_ms; /* mean delay from an answer to the next request */
	int64_t prompt_tokens;
	int64_t answer_tokens;
	int64_t step_base_us;
	int64_t step_place_us;
	int64_t prefill_token_us;
	int64_t callers;
	int64_t seconds;
	int64_t patience_ms;
	int64_t stall_weight_thousandths;
} profile_t;

profile_t *profile_load(const char *path, GError **error);
void profile_destroy(profile_t *profile);

/* Answers a second of all engines with full batches. */
double profile_capacity(const profile_t *profile);

#endif
