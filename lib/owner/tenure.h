#ifndef OWNER_TENURE_H
#define OWNER_TENURE_H

/*
 * Holds the lease of this instance and applies the decisions of own/ownership.h
 * to its endpoints: acquires, fences and releases them, and records the intent
 * of each load and unload order.
 */

#include <glib.h>

#include "config/document.h"
#include "kv/kv.h"
#include "owner/endpoint.h"
#include "serve/process.h"
#include "serve/view.h"

typedef struct tenure tenure_t;

typedef struct {
	/*
	 * Called when this instance becomes the owner of an endpoint under an
	 * epoch.  Returns NULL if the endpoint is not in the document.
	 */
	endpoint_t *(*take)(void *ctx, const char *endpoint, int64_t epoch);
	/* Called when this instance is no longer the owner of an endpoint. */
	void (*drop)(void *ctx, const char *endpoint);
	/* Returns an endpoint that this instance owns, or NULL. */
	endpoint_t *(*find)(void *ctx, const char *endpoint);
} tenure_actions_t;

/* All arguments outlive the object but kv, which is destroyed before it. */
tenure_t *tenure_create(process_t *process, kv_t *kv,
			const tenure_actions_t *actions, void *ctx);
void tenure_destroy(tenure_t *tenure);

void tenure_set_document(tenure_t *tenure, document_t *document);

/* The endpoints are assigned to the live owners that are not leaving. */
void tenure_set_view(tenure_t *tenure, const view_t *view);

/* Runs the lease and ownership timers that are due. */
void tenure_tick(tenure_t *tenure);
ms_t tenure_due(const tenure_t *tenure);

/* Returns whether requests may be sent to the endpoint now. */
gboolean tenure_may_serve(tenure_t *tenure, const char *endpoint);

/* Implementations of the members of endpoint_actions_t with these names. */
void tenure_intend(tenure_t *tenure, endpoint_t *endpoint, int slot,
		   const char *adapter, gboolean is_load);
gboolean tenure_may_order(tenure_t *tenure, endpoint_t *endpoint, int slot,
			  int64_t *fence);
void tenure_settled(tenure_t *tenure, endpoint_t *endpoint, int slot,
		    const char *adapter);
void tenure_order_lost(tenure_t *tenure, endpoint_t *endpoint, int slot);
void tenure_reported(tenure_t *tenure, endpoint_t *endpoint,
		     const link_report_t *report, ms_t as_of);
void tenure_restarted(tenure_t *tenure, endpoint_t *endpoint);

/* Releases all endpoints, then the lease, for a planned stop. */
void tenure_stop(tenure_t *tenure);
gboolean tenure_is_stopped(const tenure_t *tenure);

/* Returns whether the lease is valid now. */
gboolean tenure_is_valid(const tenure_t *tenure);

#endif
