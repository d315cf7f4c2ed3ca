#ifndef OWNER_OWNERSHIP_DRIVER_H
#define OWNER_OWNERSHIP_DRIVER_H

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
#include "serve/live_owners.h"

typedef struct ownership_driver ownership_driver_t;

typedef struct {
	/*
	 * Called when this instance becomes the owner of an endpoint under an
	 * epoch.  Returns NULL if the endpoint is not in the document.
	 */
	endpoint_t *(*acquired)(void *ctx, const char *endpoint, int64_t epoch);
	/* Called when this instance is no longer the owner of an endpoint. */
	void (*lost)(void *ctx, const char *endpoint);
	/* Returns an endpoint that this instance owns, or NULL. */
	endpoint_t *(*find)(void *ctx, const char *endpoint);
} ownership_driver_actions_t;

/* All arguments outlive the object but kv, which is destroyed before it. */
ownership_driver_t *
ownership_driver_create(process_t *process, kv_t *kv,
			const ownership_driver_actions_t *actions, void *ctx);
void ownership_driver_destroy(ownership_driver_t *driver);

void ownership_driver_set_document(ownership_driver_t *driver,
				   document_t *document);

/* The endpoints are assigned to the live owners that are not leaving. */
void ownership_driver_set_view(ownership_driver_t *driver,
			       const live_owners_t *view);

/* Runs the lease and ownership timers that are due. */
void ownership_driver_tick(ownership_driver_t *driver);
ms_t ownership_driver_due(const ownership_driver_t *driver);

/* Returns whether requests may be sent to the endpoint now. */
gboolean ownership_driver_may_serve(ownership_driver_t *driver,
				    const char *endpoint);

/* Implementations of the members of endpoint_actions_t with these names. */
void ownership_driver_record_intent(ownership_driver_t *driver,
				    endpoint_t *endpoint, int slot,
				    const char *adapter, gboolean is_load);
gboolean ownership_driver_may_order(ownership_driver_t *driver,
				    endpoint_t *endpoint, int slot,
				    int64_t *fence);
void ownership_driver_order_ended(ownership_driver_t *driver,
				  endpoint_t *endpoint, int slot,
				  const char *adapter);
void ownership_driver_order_lost(ownership_driver_t *driver,
				 endpoint_t *endpoint, int slot);
void ownership_driver_reported(ownership_driver_t *driver, endpoint_t *endpoint,
			       const load_report_t *report, ms_t as_of);
void ownership_driver_restarted(ownership_driver_t *driver,
				endpoint_t *endpoint);

/* Releases all endpoints, then the lease, for a planned stop. */
void ownership_driver_stop(ownership_driver_t *driver);
gboolean ownership_driver_is_stopped(const ownership_driver_t *driver);

/* Returns whether the lease is valid now. */
gboolean ownership_driver_lease_is_valid(const ownership_driver_t *driver);

#endif
