#ifndef ROUTE_FLEET_PRIVATE_H
#define ROUTE_FLEET_PRIVATE_H

/*
 * Declarations shared by the files that implement fleet.h: fleet.c knows the
 * endpoints, and fleet_choose.c balances the load among them.
 */

#include "route/fleet.h"

/* The engines are reserved for this long after a long prompt. */
#define LONG_ENGINE_RESERVE_MS 60000

struct endpoint {
	int references;
	char *id;
	char *service;
	char *address;
	int port;
	char *failure_domain;
	int64_t started_at;
	gboolean is_usable;
	gboolean has_said_leaving;
	ms_t leaving_hint_until; /* another instance was told so */
	ms_t quiet_until;
	/* The request after that time, until it is answered. */
	gboolean is_probe_due;
	ms_t probe_until;	/* no other one is sent before */
	request_limit_t *limit; /* NULL for none */
	guint reserved;		/* requests that wait to be sent */
	gboolean is_holder;	/* this instance is its holder */
	gboolean is_engine;
	char **models; /* NULL-terminated */
	int places;
	gboolean is_long_engine; /* reserved for long prompts */
	GHashTable *adapters;	 /* name to version */
	int in_flight;
	int in_flight_at_report; /* in_flight at reported_at */
	endpoint_load_t reported;
	ms_t reported_at;
	double work_percent;  /* moving average; 0 if never stated */
	double usual_others;  /* requests of others; see even_load.h */
	double usual_percent; /* 0 if never stated */
	ms_t usual_at;	      /* time of the last report in both */
	int stated_work;      /* newest statement, here or elsewhere */
	int shared_work;      /* as passed on last; 0: never */
	ms_t stated_work_at;
	ms_t shared_at; /* time since which shared_budget grew */
	double shared_budget;
	int failures;	     /* consecutive */
	double failure_rate; /* share of recent requests that failed */
	ms_t failed_at;	     /* time of the last failure */
	ms_t ejected_until;
	ms_t full_until;
};

struct fleet {
	char *instance; /* the name of this one */
	GRand *rand;	/* NULL: no random choice */
	char *failure_domain;
	GHashTable *instances; /* names of those alive, without this one */
	GHashTable *endpoints; /* id to fleet_endpoint_t */
	/* Services whose engines for long prompts must be selected again. */
	GHashTable *stale_services;
	ms_t long_prompt_at; /* time of the last long prompt */
};

/* Reserves engines of the service for long prompts; see fleet.h. */
void fleet_select_long_engines(const fleet_t *fleet, const char *service);

/* Whether the endpoint has reported its load lately. */
gboolean fleet_endpoint_is_load_known(const fleet_endpoint_t *endpoint,
				      ms_t now);

/* Counts a report in the moving averages; in fleet_even.c. */
void fleet_endpoint_note_usual(fleet_endpoint_t *endpoint, ms_t now,
			       const endpoint_load_t *load);

/*
 * Chooses among endpoints of a plain service by route/even_load.  Returns NULL
 * if none of them states how long work takes.
 */
fleet_endpoint_t *fleet_choose_even(const fleet_t *fleet, ms_t now,
				    const GPtrArray *list);

/* Added load, in requests per place, of an endpoint in another domain. */
double fleet_domain_cost(const fleet_t *fleet,
			 const fleet_endpoint_t *endpoint);
/* The same, of an endpoint whose recent requests have failed. */
double fleet_failure_cost(const fleet_endpoint_t *endpoint);

#endif
