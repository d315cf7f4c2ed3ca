#ifndef OWNER_TENURE_H
#define OWNER_TENURE_H

/*
 * The lease of this instance and its ownership of endpoints, joined with the
 * endpoints that it hosts: what own/ownership.h decides is carried out here.
 */

#include <glib.h>

#include "config/document.h"
#include "kv/kv.h"
#include "owner/endpoint.h"
#include "serve/process.h"
#include "serve/live_owners.h"

typedef struct tenure tenure_t;

typedef struct {
	/* Own an endpoint under an epoch; NULL if it is not in the document. */
	endpoint_t *(*take)(void *ctx, const char *endpoint, int64_t epoch);
	void (*drop)(void *ctx, const char *endpoint);
	/* The endpoint that is owned here, or NULL. */
	endpoint_t *(*find)(void *ctx, const char *endpoint);
} tenure_actions_t;

/* All outlive the tenure but kv, which is destroyed before it. */
tenure_t *tenure_create(process_t *process, kv_t *kv,
			const tenure_actions_t *actions, void *ctx);
void tenure_destroy(tenure_t *tenure);

void tenure_set_document(tenure_t *tenure, document_t *document);

/* The live owners that are not leaving share the endpoints out. */
void tenure_set_view(tenure_t *tenure, const live_owners_t *view);

void tenure_tick(tenure_t *tenure);
ms_t tenure_due(const tenure_t *tenure);

/* May work be handed to the endpoint now? */
gboolean tenure_may_serve(tenure_t *tenure, const char *endpoint);

/* For the actions of endpoint_t with the same names. */
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

/* Planned stop: release all endpoints, then the lease. */
void tenure_stop(tenure_t *tenure);
gboolean tenure_is_stopped(const tenure_t *tenure);

gboolean tenure_is_valid(const tenure_t *tenure);

#endif
