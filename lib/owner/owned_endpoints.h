#ifndef OWNER_OWNED_ENDPOINTS_H
#define OWNER_OWNED_ENDPOINTS_H

/*
 * The endpoints that this instance owns, by identifier, and the load grants of
 * all services in the document.
 */

#include <glib.h>

#include "config/document.h"
#include "owner/endpoint.h"
#include "owner/grants.h"
#include "serve/live_owners.h"

typedef struct owned_endpoints owned_endpoints_t;

typedef struct {
	/* Forwarded from endpoint_actions_t, down to may_serve. */
	void (*send)(void *ctx, void *requester, const void *message);
	void (*record_intent)(void *ctx, endpoint_t *endpoint, int slot,
			      const char *adapter, gboolean is_load);
	gboolean (*may_order)(void *ctx, endpoint_t *endpoint, int slot,
			      int64_t *fence);
	void (*order_ended)(void *ctx, endpoint_t *endpoint, int slot,
			    const char *adapter);
	void (*order_lost)(void *ctx, endpoint_t *endpoint, int slot);
	void (*slots_reported)(void *ctx, endpoint_t *endpoint,
			       const load_report_t *report, ms_t as_of);
	void (*engine_restarted)(void *ctx, endpoint_t *endpoint);
	void (*run_orphaned)(void *ctx, endpoint_t *endpoint,
			     const orphan_run_t *end);
	gboolean (*may_serve)(void *ctx, endpoint_t *endpoint);
	/* An adapter became resident on an endpoint, or was removed from it. */
	void (*residency_changed)(void *ctx, endpoint_t *endpoint,
				  const char *adapter, gboolean is_resident);
	/* Sends a message to the owner on another instance. */
	void (*send_owner)(void *ctx, const char *instance,
			   const void *message);
	/* Returns whether the owner on that instance is connected. */
	gboolean (*is_up)(void *ctx, const char *instance);
} owned_endpoints_actions_t;

/* env, self and view outlive the object. */
owned_endpoints_t *
owned_endpoints_create(const endpoint_env_t *env, const char *self,
		       const live_owners_t *view,
		       const owned_endpoints_actions_t *actions, void *ctx);
void owned_endpoints_destroy(owned_endpoints_t *owned);

/* Applies the weight store limits of a newer document. */
void owned_endpoints_configure(owned_endpoints_t *owned, document_t *document);

/* Adds an endpoint that this instance now owns under the given epoch. */
endpoint_t *owned_endpoints_add(owned_endpoints_t *owned,
				const document_endpoint_t *entry,
				int64_t epoch);
/* Retires an endpoint that has another owner now; its streams continue. */
void owned_endpoints_retire(owned_endpoints_t *owned, const char *endpoint);

/* Returns NULL if this instance does not own the endpoint. */
endpoint_t *owned_endpoints_find(const owned_endpoints_t *owned,
				 const char *endpoint);

/*
 * Returns the endpoint, owned or retired, that has a run with this request
 * identifier, or NULL.
 */
endpoint_t *owned_endpoints_find_run(const owned_endpoints_t *owned,
				     const char *request);

/* The connection of a requester was closed. */
void owned_endpoints_requester_closed(owned_endpoints_t *owned,
				      void *requester);

/*
 * Handles a message of type MESSAGE_LOAD_REQUEST, MESSAGE_LOAD_CANCEL,
 * MESSAGE_LOAD_ENDED or MESSAGE_GRANT that the owner on another instance sent.
 */
void owned_endpoints_receive(owned_endpoints_t *owned, const char *from,
			     const char *endpoint, const void *message);

/* Chooses the broker of each weight store anew after a change of the view. */
void owned_endpoints_view_changed(owned_endpoints_t *owned);

/* Stops accepting requests on all endpoints. */
void owned_endpoints_drain(owned_endpoints_t *owned);
/* Returns whether no run is left on any endpoint, owned or retired. */
gboolean owned_endpoints_is_idle(const owned_endpoints_t *owned);

void owned_endpoints_tick(owned_endpoints_t *owned);

/*
 * Returns whether owned_endpoints_tick() must be called at the shortest
 * interval: a request runs or is queued, or a load waits for a grant of the
 * broker here.
 */
gboolean owned_endpoints_is_busy(const owned_endpoints_t *owned);

unsigned int owned_endpoints_count(const owned_endpoints_t *owned);
void owned_endpoints_foreach(const owned_endpoints_t *owned,
			     void (*visit)(void *ctx, endpoint_t *endpoint),
			     void *ctx);

#endif
