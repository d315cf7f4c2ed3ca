#ifndef LOAD_MODEL_PRIVATE_H
#define LOAD_MODEL_PRIVATE_H

/*
 * Shared by the files that implement load_model.h: load_model.c runs endpoints
 * and time, load_model_policies.c is what instances know and choose.
 */

#include "base/clock.h"
#include "load_model.h"
#include "route/fleet.h"

#define ENDPOINTS_MAX 8

typedef enum { EVENT_ARRIVAL, EVENT_END, EVENT_SPELL, EVENT_NEWS } event_kind_t;

typedef struct {
	int instance;
	double arrived_at;
	double work_ms;
	double wait;
	guint tried; /* a bit per endpoint */
} request_t;

typedef struct {
	double at;
	event_kind_t kind;
	int endpoint;
	request_t *request; /* of EVENT_END */
	int sender;	    /* of EVENT_NEWS, and what it passes on */
	int percent;
} event_t;

typedef struct {
	int base_percent;
	gboolean is_slow;
	int running;
	GQueue waiting;
} model_endpoint_t;

/* What an instance knows of an endpoint. */
typedef struct {
	int in_flight;
	int in_flight_at_report;
	int reported;
	int percent;
	double reported_at; /* negative: never */
	double percent_at;
	double full_until;
	double sent_at; /* time of the last own request */
	double usual_others;
	double usual_percent;
	double usual_at;
} known_t;

typedef struct {
	const load_model_options_t *options;
	/* Of their own, so that all policies meet the same load. */
	GRand *arrivals_rand;
	GRand *spells_rand;
	GRand *rand; /* of the policy */
	double now;
	double rate_per_ms;
	GArray *heap; /* event_t */
	model_endpoint_t endpoints[ENDPOINTS_MAX];
	GQueue common;
	fleet_t **fleets; /* of each instance */
	known_t *known;	  /* instances times endpoints */
	/* The last two reports of each endpoint that were passed on. */
	known_t heard[ENDPOINTS_MAX];
	known_t heard_before[ENDPOINTS_MAX];
	GArray *waits;
	GArray *times;
	int refused;
	int passed;
} load_model_t;

/* The requests at an endpoint. */
int load_model_running(const load_model_t *model, int index);
/* How long work takes there now, in percent of the usual time. */
int load_model_percent(const load_model_t *model, int index);

void load_model_push(load_model_t *model, event_t event);

void knowledge_create(load_model_t *model);
void knowledge_destroy(load_model_t *model);

/* Returns the endpoint for a request; -1 if all were tried. */
int knowledge_choose(load_model_t *model, const request_t *request);
void knowledge_begin(load_model_t *model, const request_t *request, int index);
void knowledge_refused(load_model_t *model, const request_t *request,
		       int index);
void knowledge_answered(load_model_t *model, const request_t *request,
			int index, int percent);
/* The other instances hear what one has passed on. */
void knowledge_heard(load_model_t *model, const event_t *news);

#endif
