#ifndef FRONT_ADAPTERS_H
#define FRONT_ADAPTERS_H

/*
 * Brings adapters to engines: this instance's part as a holder of engines, and
 * its part as one that asks the holders.
 *
 * What hold/holdings.h and hold/adapter_cache.h decide is carried out here:
 * records are written, engines are ordered and asked for reports.  Instances
 * talk by frames (wire/conn.h): a want goes to the engine's holder, which tells
 * all who wanted an adapter when it is there, and when it is to go.
 */

#include <glib.h>

#include "kv/kv.h"
#include "route/fleet.h"
#include "serve/process.h"

typedef struct adapters adapters_t;

typedef struct {
	/* The adapter can be used there; a version of 0: no longer. */
	void (*on_adapter)(void *ctx, const char *engine, const char *adapter,
			   int64_t version);
	/* It can't be brought there now. */
	void (*on_refused)(void *ctx, const char *engine, const char *adapter);
	/* The adapter slots of an engine's service, and its base model. */
	int (*slots)(void *ctx, const fleet_endpoint_t *engine,
		     const char **model);
	/* The version of an adapter that was declared last; 0 for none. */
	int64_t (*declared)(void *ctx, const char *adapter);
} adapters_events_t;

typedef struct {
	const char *listen_address; /* for the other instances */
	int listen_port;
	ms_t order_gap; /* between orders of two holders */
	ms_t lease_ttl;
} adapters_options_t;

/* All but the options outlive the object. */
adapters_t *adapters_create(process_t *process, kv_t *kv, fleet_t *fleet,
			    const adapters_options_t *options,
			    const adapters_events_t *events, void *ctx);

/* Planned stop: give the engines back and release the lease. */
void adapters_stop(adapters_t *adapters);
gboolean adapters_is_stopped(const adapters_t *adapters);

/* An item of this project in the key-value service; no value: it is gone. */
void adapters_on_item(adapters_t *adapters, const kv_item_t *item);

/* All items were read once. */
void adapters_on_synced(adapters_t *adapters);

/* An engine is listed, or no longer. */
void adapters_set_engine(adapters_t *adapters, const char *engine,
			 gboolean is_listed);

/* A newer version of an adapter was declared. */
void adapters_declare(adapters_t *adapters, const char *adapter,
		      int64_t version);

/* Whether a want would reach the engine's holder. */
gboolean adapters_may_load(const adapters_t *adapters, const char *engine);

/* Ask for an adapter; on_adapter() or on_refused() follows, maybe at once. */
void adapters_want(adapters_t *adapters, const char *engine,
		   const char *adapter, int64_t version);

/* A request uses the adapter there. */
void adapters_used(adapters_t *adapters, const char *engine,
		   const char *adapter);

/* Instances that are known to be alive, this one counted; at least 1. */
guint adapters_instance_count(const adapters_t *adapters);

/* Members of a JSON object for /status. */
void adapters_status(const adapters_t *adapters, GString *json);

#endif
