#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

/*
 * The endpoints that this instance knows, and the load balancing among them.
 *
 * An endpoint is used while it is listed as ready.  Once it is leaving or gone
 * it gets no new request, and it is freed when its last request has ended.  An
 * endpoint that restarts under its old name is another incarnation: its load,
 * failures and adapters are forgotten.
 *
 * A request for a plain service goes to the least loaded endpoint, as of its
 * last answer and the requests sent since; if endpoints state how long work
 * takes there, by route/even_load.h.  A request for an adapter goes to
 * the first endpoint in the order of a rendezvous hash whose load is within a
 * bound (consistent hashing with bounded loads), so that each adapter and its
 * prompts stay on the same engine.  The load of an engine that states how long
 * work takes there is weighed by that: a slow one counts as fuller than a fast
 * one with as many requests.
 *
 * An engine reads prompts between the decode steps of its streams, so one long
 * prompt delays all its streams at once.  A few engines, the first in the order
 * of a separate hash, are reserved for long prompts; short ones go there only
 * when the load of the others is high.  A prompt that is short by the usual
 * pace may be long at a slow engine, and the reverse.
 *
 * A load may take longer than expected.  An engine that did not have an adapter
 * yet is chosen again, since another one would have to load it as well.
 *
 * An endpoint whose requests fail is ejected for a time that grows with each
 * failure, unless all endpoints are ejected.
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "route/request_limit.h"

typedef struct fleet fleet_t;

/* One incarnation of an endpoint. */
typedef struct endpoint fleet_endpoint_t;

/* An endpoint as listed by the platform. */
typedef struct {
	const char *id;
	const char *service;
	const char *address; /* numeric IP address */
	int port;
	const char *failure_domain;
	int64_t started_at; /* distinguishes incarnations of one id */
	gboolean is_leaving;
	int places; /* requests that it can run at once */
	gboolean is_engine;
	char *const *models; /* base models that an engine holds, or NULL */
} endpoint_info_t;

/* The load that an endpoint reports with an answer. */
typedef struct {
	int running;
	int waiting;
	int places;
	/* Time that work takes there now, 100 as usual; 0 if not stated. */
	int work_percent;
} endpoint_load_t;

/* instance: the name of this one. */
fleet_t *fleet_create(const char *instance, const char *failure_domain);
void fleet_destroy(fleet_t *fleet);

/*
 * Sets the source of random numbers for the choice among plain endpoints that
 * state how long work takes; see route/even_load.h.  Without one, they are
 * chosen as those that do not state it.  The caller keeps it.
 */
void fleet_set_rand(fleet_t *fleet, GRand *rand);

/* Adds or updates an endpoint, or replaces it by another incarnation. */
fleet_endpoint_t *fleet_update_endpoint(fleet_t *fleet,
					const endpoint_info_t *info);

/* Removes an endpoint that is no longer listed. */
void fleet_remove_endpoint(fleet_t *fleet, const char *id);

/* Returns the listed incarnation, or NULL. */
fleet_endpoint_t *fleet_find(const fleet_t *fleet, const char *id);

/* A reference keeps an incarnation alive after it was removed. */
fleet_endpoint_t *fleet_endpoint_ref(fleet_endpoint_t *endpoint);
void fleet_endpoint_unref(fleet_endpoint_t *endpoint);

const char *fleet_endpoint_id(const fleet_endpoint_t *endpoint);
const char *fleet_endpoint_service(const fleet_endpoint_t *endpoint);
const char *fleet_endpoint_address(const fleet_endpoint_t *endpoint);
int fleet_endpoint_port(const fleet_endpoint_t *endpoint);
/* Distinguishes incarnations of one id. */
int64_t fleet_endpoint_started_at(const fleet_endpoint_t *endpoint);
int fleet_endpoint_places(const fleet_endpoint_t *endpoint);
/* Whether the endpoint holds this base model; TRUE if model is NULL. */
gboolean fleet_endpoint_has_model(const fleet_endpoint_t *endpoint,
				  const char *model);
/* FALSE once the endpoint is leaving, gone or replaced. */
gboolean fleet_endpoint_is_usable(const fleet_endpoint_t *endpoint);

/* Whether an endpoint may be sent a request, and why not. */
typedef enum {
	STANDING_OPEN,
	STANDING_GONE,	  /* unlisted, or listed as leaving */
	STANDING_LEAVING, /* it said itself that it is leaving */
	STANDING_QUIET,	  /* it asked for a time without requests */
	STANDING_LIMITED  /* it named a limit; this instance's share is used */
} standing_t;

standing_t fleet_endpoint_standing(const fleet_endpoint_t *endpoint, ms_t now);

/* The endpoint says that it is leaving: for good, as this incarnation. */
void fleet_endpoint_note_leaving(fleet_t *fleet, fleet_endpoint_t *endpoint);

gboolean fleet_endpoint_has_said_leaving(const fleet_endpoint_t *endpoint);

/*
 * Another instance has heard so from the endpoint.  The endpoint is passed over
 * for some time, in which the platform's list should show it.
 */
void fleet_endpoint_hint_leaving(fleet_endpoint_t *endpoint, ms_t now);

/*
 * The endpoint wants nothing of this instance for this time: no request, order
 * or report.  The first request after it has to be answered before another one
 * is sent.
 */
void fleet_endpoint_note_quiet(fleet_endpoint_t *endpoint, ms_t now, ms_t time);
/* It has answered, and not asked for quiet. */
void fleet_endpoint_note_answer(fleet_endpoint_t *endpoint, ms_t now);
/* Returns the end of that time; in the past if there is none. */
ms_t fleet_endpoint_quiet_until(const fleet_endpoint_t *endpoint);

/* An instance, also this one, has started or ended. */
void fleet_set_instance(fleet_t *fleet, ms_t now, const char *instance,
			gboolean is_alive);

/*
 * The endpoint takes so many calls a second from all instances together.  It
 * said so to this instance now, or to another one a moment ago.
 */
void fleet_endpoint_note_limit(fleet_t *fleet, fleet_endpoint_t *endpoint,
			       ms_t now, double per_s, gboolean is_own);
void fleet_endpoint_end_limit(fleet_endpoint_t *endpoint);
/* Returns NULL if the endpoint names none. */
request_limit_t *fleet_endpoint_limit(const fleet_endpoint_t *endpoint);
/* Visits the listed endpoints. */
void fleet_foreach(const fleet_t *fleet,
		   void (*visit)(void *ctx, fleet_endpoint_t *endpoint),
		   void *ctx);
/* Whether this instance is the one that sends orders to the engine. */
void fleet_endpoint_set_holder(fleet_t *fleet, fleet_endpoint_t *endpoint,
			       ms_t now, gboolean is_holder);
/* Returns the time until its limit leaves room for a call of this instance. */
ms_t fleet_endpoint_limit_wait(const fleet_endpoint_t *endpoint, ms_t now);
/* Counts an order or a report. */
void fleet_endpoint_count_call(fleet_endpoint_t *endpoint, ms_t now);

/*
 * Returns the shortest time after which an endpoint of the service takes one
 * more request, and why it takes none now; 0 if one may be sent a request or
 * none is known.  The caller has left after time_left.
 */
ms_t fleet_refusal_time(fleet_t *fleet, ms_t now, const char *service,
			ms_t time_left, standing_t *why);

/* Returns the version of the adapter that is resident there, or 0. */
int64_t fleet_endpoint_adapter(const fleet_endpoint_t *endpoint,
			       const char *adapter);
/* A version of 0 means that the adapter is no longer resident. */
void fleet_endpoint_set_adapter(fleet_endpoint_t *endpoint, const char *adapter,
				int64_t version);

/*
 * Keep room in the endpoint's limit for a request that waits to be sent, or
 * give it up.
 */
void fleet_endpoint_reserve(fleet_endpoint_t *endpoint);
void fleet_endpoint_unreserve(fleet_endpoint_t *endpoint);

/*
 * Whether a request with a reservation may be sent: the endpoint may have said
 * otherwise since.
 */
gboolean fleet_endpoint_takes_reserved(const fleet_endpoint_t *endpoint,
				       ms_t now);

/* Count a request that is sent, and one that has ended. */
void fleet_endpoint_begin(fleet_endpoint_t *endpoint, ms_t now);
void fleet_endpoint_end(fleet_endpoint_t *endpoint);

void fleet_endpoint_note_load(fleet_endpoint_t *endpoint, ms_t now,
			      const endpoint_load_t *load);
/*
 * Returns how long work takes at the endpoint, in percent of the usual time, as
 * a moving average of what it stated; 0 if it has never stated it.
 */
int fleet_endpoint_work_percent(const fleet_endpoint_t *endpoint);
/*
 * Returns the newest statement if the other instances should hear of it, as a
 * change of a plain endpoint that was not passed on yet, or 0.  The caller
 * passes it on.
 */
int fleet_endpoint_take_work_news(fleet_endpoint_t *endpoint, ms_t now);
/* Another instance has passed on such a statement. */
void fleet_endpoint_note_shared_work(fleet_endpoint_t *endpoint, ms_t now,
				     int work_percent);
/* Record the outcome of a request for the detection of failing endpoints. */
void fleet_endpoint_note_success(fleet_endpoint_t *endpoint);
void fleet_endpoint_note_failure(fleet_endpoint_t *endpoint, ms_t now);
/* The endpoint refused a request because it is full. */
void fleet_endpoint_note_full(fleet_endpoint_t *endpoint, ms_t now);

/*
 * Returns the difference between the highest and the lowest estimated load of
 * the plain endpoints of one service that state how long work takes, in percent
 * of their places; the largest of all services.
 */
int fleet_imbalance(const fleet_t *fleet, ms_t now);

/* Returns the known running and waiting requests, divided by the places. */
double fleet_endpoint_load(const fleet_endpoint_t *endpoint, ms_t now);

/* How the pause that a prompt causes compares to the limit of its route. */
typedef enum {
	PROMPT_ANY,   /* the route has no limit on pauses */
	PROMPT_SHORT, /* below the limit */
	PROMPT_LONG   /* close to the limit, or above it */
} prompt_length_t;

typedef struct {
	const char *service;
	const char *model;   /* the base model; NULL for a plain service */
	const char *adapter; /* MODEL/NAME; NULL for none */
	int64_t version;     /* the oldest acceptable version */
	prompt_length_t prompt;
	/*
	 * Time of reading the prompt at an engine of the usual pace, as a share
	 * of the longest time of a short prompt; 0 if unknown.  An engine that
	 * states its pace is judged by that.
	 */
	double prefill_share;
	GPtrArray *tried; /* fleet_endpoint_t to be excluded, or NULL */
	/* The engine whose load of the adapter was late, or NULL; preferred. */
	fleet_endpoint_t *again;
	/* Whether the endpoint can load an adapter now; NULL: all can. */
	gboolean (*may_load)(void *ctx, const fleet_endpoint_t *endpoint);
	void *ctx;
} fleet_query_t;

typedef struct {
	fleet_endpoint_t *endpoint; /* NULL if there is none */
	gboolean is_resident;	    /* the request can be sent at once */
	/* Another endpoint that should load the adapter as well, or NULL. */
	fleet_endpoint_t *replica;
} fleet_choice_t;

void fleet_choose(fleet_t *fleet, ms_t now, const fleet_query_t *query,
		  fleet_choice_t *choice);

#endif
