#ifndef OWNER_HOSTING_H
#define OWNER_HOSTING_H

/*
 * The endpoints that this instance owns, by identifier, and the load grants of
 * their services.
 */

#include <glib.h>

#include "config/document.h"
#include "owner/endpoint.h"
#include "owner/grants.h"
#include "serve/live_owners.h"

typedef struct hosting hosting_t;

typedef struct {
	/* As in endpoint_actions_t. */
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
			 const orphan_run_t *end);
	gboolean (*may_serve)(void *ctx, endpoint_t *endpoint);
	/* An adapter became resident on an endpoint, or is gone from it. */
	void (*placed)(void *ctx, endpoint_t *endpoint, const char *adapter,
		       gboolean is_resident);
	/* To the owner on another instance. */
	void (*send_owner)(void *ctx, const char *instance,
			   const void *message);
	/* Whether that owner is in reach. */
	gboolean (*is_up)(void *ctx, const char *instance);
} hosting_actions_t;

/* env, self and view outlive the object. */
hosting_t *hosting_create(const endpoint_env_t *env, const char *self,
			  const live_owners_t *view,
			  const hosting_actions_t *actions, void *ctx);
void hosting_destroy(hosting_t *hosting);

/* Take the limits of weight stores from a newer document. */
void hosting_configure(hosting_t *hosting, document_t *document);

/* Own an endpoint from now on, under an epoch. */
endpoint_t *hosting_take(hosting_t *hosting, const document_endpoint_t *entry,
			 int64_t epoch);
void hosting_drop(hosting_t *hosting, const char *endpoint);

/* NULL if it is not owned here. */
endpoint_t *hosting_find(const hosting_t *hosting, const char *endpoint);

/* The endpoint that has a run of this identifier, or NULL. */
endpoint_t *hosting_find_run(const hosting_t *hosting, const char *request);

void hosting_requester_gone(hosting_t *hosting, void *requester);

/* WANT, WITHDRAW, LOAD_ENDED and GRANT from the owner of another instance. */
void hosting_receive(hosting_t *hosting, const char *from, const char *endpoint,
		     const void *message);

/* The live owners have changed. */
void hosting_view_changed(hosting_t *hosting);

/* Take no new work on any endpoint. */
void hosting_leave(hosting_t *hosting);
gboolean hosting_is_idle(const hosting_t *hosting);

void hosting_tick(hosting_t *hosting);

/* Whether a request or a load waits for a tick, or may do so any moment. */
gboolean hosting_is_busy(const hosting_t *hosting);

unsigned int hosting_count(const hosting_t *hosting);
void hosting_each(const hosting_t *hosting,
		  void (*visit)(void *ctx, endpoint_t *endpoint), void *ctx);

#endif
