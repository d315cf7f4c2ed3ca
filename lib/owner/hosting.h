#ifndef OWNER_HOSTING_H
#define OWNER_HOSTING_H

/*
 * The endpoints that this instance owns, by identifier, and the load grants of
 * all services in the document.
 */

#include <glib.h>

#include "config/document.h"
#include "owner/endpoint.h"
#include "owner/grants.h"
#include "serve/view.h"

typedef struct hosting hosting_t;

typedef struct {
	/* Forwarded from endpoint_actions_t, down to may_serve. */
	void (*send)(void *ctx, void *requester, const void *message);
	void (*intend)(void *ctx, endpoint_t *endpoint, int slot,
		       const char *adapter, gboolean is_load);
	gboolean (*may_order)(void *ctx, endpoint_t *endpoint, int slot,
			      int64_t *fence);
	void (*settled)(void *ctx, endpoint_t *endpoint, int slot,
			const char *adapter);
	void (*order_lost)(void *ctx, endpoint_t *endpoint, int slot);
	void (*reported)(void *ctx, endpoint_t *endpoint,
			 const link_report_t *report, ms_t as_of);
	void (*restarted)(void *ctx, endpoint_t *endpoint);
	void (*orphaned)(void *ctx, endpoint_t *endpoint,
			 const orphan_end_t *end);
	gboolean (*may_serve)(void *ctx, endpoint_t *endpoint);
	/* An adapter became resident on an endpoint, or was removed from it. */
	void (*placed)(void *ctx, endpoint_t *endpoint, const char *adapter,
		       gboolean is_resident);
	/* Sends a message to the owner on another instance. */
	void (*send_owner)(void *ctx, const char *instance,
			   const void *message);
	/* Returns whether the owner on that instance is connected. */
	gboolean (*is_up)(void *ctx, const char *instance);
} hosting_actions_t;

/* env, self and view outlive the object. */
hosting_t *hosting_create(const endpoint_env_t *env, const char *self,
			  const view_t *view, const hosting_actions_t *actions,
			  void *ctx);
void hosting_destroy(hosting_t *hosting);

/* Applies the weight store limits of a newer document. */
void hosting_configure(hosting_t *hosting, document_t *document);

/* Adds an endpoint that this instance now owns under the given epoch. */
endpoint_t *hosting_take(hosting_t *hosting, const document_endpoint_t *entry,
			 int64_t epoch);
/* Retires an endpoint that has another owner now; its streams continue. */
void hosting_drop(hosting_t *hosting, const char *endpoint);

/* Returns NULL if this instance does not own the endpoint. */
endpoint_t *hosting_find(const hosting_t *hosting, const char *endpoint);

/*
 * Returns the endpoint, owned or retired, that has a run with this request
 * identifier, or NULL.
 */
endpoint_t *hosting_find_run(const hosting_t *hosting, const char *request);

/* The connection of a requester was closed. */
void hosting_requester_gone(hosting_t *hosting, void *requester);

/*
 * Handles a message of type WANT, WITHDRAW, LOAD_ENDED or GRANT that the owner
 * on another instance sent.
 */
void hosting_receive(hosting_t *hosting, const char *from, const char *endpoint,
		     const void *message);

/* Chooses the broker of each weight store anew after a change of the view. */
void hosting_view_changed(hosting_t *hosting);

/* Stops accepting requests on all endpoints. */
void hosting_leave(hosting_t *hosting);
/* Returns whether no run is left on any endpoint, owned or retired. */
gboolean hosting_is_idle(const hosting_t *hosting);

void hosting_tick(hosting_t *hosting);

/*
 * Returns whether hosting_tick() must be called at the shortest interval: a
 * request runs or is queued, or a load waits for a grant of the broker here.
 */
gboolean hosting_is_busy(const hosting_t *hosting);

unsigned int hosting_count(const hosting_t *hosting);
void hosting_each(const hosting_t *hosting,
		  void (*visit)(void *ctx, endpoint_t *endpoint), void *ctx);

#endif
