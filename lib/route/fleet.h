#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

/*
 * The endpoints that this instance knows, and the choice among them.
 *
 * An endpoint is used while it is listed as ready.  Once it is leaving or gone
 * it gets no new request; it stays in the fleet until the last request that it
 * runs has ended.  An endpoint that starts anew under its old name is another
 * incarnation: what was known of it is forgotten.
 *
 * Plain services: the least loaded endpoint, by what its last answer told and
 * what was sent since.  Engines: adapters go to endpoints in the order of a
 * rendezvous hash, so that each adapter and its prompts stay where they are,
 * and on to the next endpoint when the first has more than its share of load.
 *
 * An engine reads prompts between the tokens of its streams, so that one long
 * prompt makes all its streams late at once.  A few engines, the first in the
 * order of a hash of their own, read the long prompts; short ones go there only
 * when the others have much to do.
 *
 * A load may take longer than was supposed: an engine that lacked an adapter is
 * chosen again, since another would have to fetch it as well.
 *
 * An endpoint whose requests fail is left out for a time that grows with each
 * failure, unless all are.  Decision code: the time comes in with each call.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

typedef struct fleet fleet_t;

/* One incarnation of an endpoint. */
typedef struct endpoint fleet_endpoint_t;

/* What the platform lists of an endpoint. */
typedef struct {
	const char *id;
	const char *service;
	const char *address; /* an IP number */
	int port;
	const char *failure_domain;
	int64_t started_at; /* tells incarnations of one id apart */
	gboolean is_leaving;
	int places; /* requests that it runs at once */
	gboolean is_engine;
	char *const *models; /* base models that an engine holds; or NULL */
} endpoint_info_t;

/* What an endpoint tells of itself with an answer. */
typedef struct {
	int running;
	int waiting;
	int places;
} endpoint_load_t;

fleet_t *fleet_create(const char *failure_domain);
void fleet_destroy(fleet_t *fleet);

/* Add, change, or replace by another incarnation. */
fleet_endpoint_t *fleet_update_endpoint(fleet_t *fleet,
					const endpoint_info_t *info);

/* No longer listed. */
void fleet_remove_endpoint(fleet_t *fleet, const char *id);

/* The listed incarnation, or NULL. */
fleet_endpoint_t *fleet_find(const fleet_t *fleet, const char *id);

/* A reference keeps an incarnation alive after it was removed. */
fleet_endpoint_t *fleet_endpoint_ref(fleet_endpoint_t *endpoint);
void fleet_endpoint_unref(fleet_endpoint_t *endpoint);

const char *fleet_endpoint_id(const fleet_endpoint_t *endpoint);
const char *fleet_endpoint_service(const fleet_endpoint_t *endpoint);
const char *fleet_endpoint_address(const fleet_endpoint_t *endpoint);
int fleet_endpoint_port(const fleet_endpoint_t *endpoint);
int fleet_endpoint_places(const fleet_endpoint_t *endpoint);
/* Whether it holds this base model; TRUE for NULL. */
gboolean fleet_endpoint_has_model(const fleet_endpoint_t *endpoint,
				  const char *model);
/* FALSE once it is leaving, gone or replaced. */
gboolean fleet_endpoint_is_usable(const fleet_endpoint_t *endpoint);

/* The version of an adapter that is resident there, or 0. */
int64_t fleet_endpoint_adapter(const fleet_endpoint_t *endpoint,
			       const char *adapter);
/* A version of 0 means that the adapter is no longer there. */
void fleet_endpoint_set_adapter(fleet_endpoint_t *endpoint, const char *adapter,
				int64_t version);

/* A request was sent, and has ended. */
void fleet_endpoint_begin(fleet_endpoint_t *endpoint);
void fleet_endpoint_end(fleet_endpoint_t *endpoint);

void fleet_endpoint_note_load(fleet_endpoint_t *endpoint, ms_t now,
			      const endpoint_load_t *load);
/* The endpoint worked as it should, or it did not. */
void fleet_endpoint_note_success(fleet_endpoint_t *endpoint);
void fleet_endpoint_note_failure(fleet_endpoint_t *endpoint, ms_t now);
/* It refused a request for want of room. */
void fleet_endpoint_note_full(fleet_endpoint_t *endpoint, ms_t now);

/* Requests there for each place, running and waiting, as far as is known. */
double fleet_endpoint_load(const fleet_endpoint_t *endpoint, ms_t now);

/* How long the reading of a prompt pauses the streams of an engine. */
typedef enum {
	PROMPT_ANY,   /* nothing is stated of pauses: any engine will do */
	PROMPT_SHORT, /* not by itself for longer than they may */
	PROMPT_LONG   /* for about as long as they may, or longer */
} prompt_length_t;

typedef struct {
	const char *service;
	const char *model;   /* the base model; NULL for a plain service */
	const char *adapter; /* NULL for none; with the model's name */
	int64_t version;     /* the oldest version that will do */
	prompt_length_t prompt;
	GPtrArray *tried; /* fleet_endpoint_t to be left out, or NULL */
	/* Was to have the adapter and lacked it; chosen if it may be. */
	fleet_endpoint_t *again; /* or NULL */
	/* Whether an adapter can be brought there now; NULL: everywhere. */
	gboolean (*may_load)(void *ctx, const fleet_endpoint_t *endpoint);
	void *ctx;
} fleet_query_t;

typedef struct {
	fleet_endpoint_t *endpoint; /* NULL if there is none */
	gboolean is_resident;	    /* the request can be sent at once */
	/* Another endpoint that should get the adapter as well, or NULL. */
	fleet_endpoint_t *replica;
} fleet_choice_t;

void fleet_choose(fleet_t *fleet, ms_t now, const fleet_query_t *query,
		  fleet_choice_t *choice);

#endif
