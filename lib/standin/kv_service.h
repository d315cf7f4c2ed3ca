#ifndef STANDIN_KV_SERVICE_H
#define STANDIN_KV_SERVICE_H

/*
 * A stand-in for the platform's key-value service: the part of the etcd v3 JSON
 * gateway that kv_etcd uses, in memory, with fault injection.
 *
 * It serves /v3/kv/range, /v3/kv/put, /v3/kv/txn, /v3/lease/grant,
 * /v3/lease/keepalive, /v3/lease/revoke (also /v3/kv/lease/revoke) and
 * /v3/watch.  /control sets the faults, and /control/stats counts calls (see
 * docs/commands/standin-kv.md).
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "standin/kv_store.h"

typedef struct kv_service kv_service_t;

typedef enum {
	KV_SERVICE_UP,
	KV_SERVICE_REFUSING, /* calls fail with 503 and no effect; watches end
			      */
	KV_SERVICE_SILENT    /* calls get no response and have no effect */
} kv_service_mode_t;

typedef struct {
	kv_service_mode_t mode;
	ms_t delay;	    /* until a call takes effect */
	int64_t lose;	    /* number of writes whose response to lose */
	ms_t watch_lag;	    /* until an event is sent */
	int64_t rate_limit; /* calls per second; 0 for no limit */
} kv_service_faults_t;

typedef struct {
	int64_t reads;
	int64_t writes;
	int64_t lease_calls;
	int64_t watches; /* number of watch calls */
	int64_t refused; /* by the rate limit or KV_SERVICE_REFUSING */
} kv_service_stats_t;

kv_service_t *kv_service_create(uv_loop_t *loop, int port);

/* Listens on 127.0.0.1; fails with ERROR_UNAVAILABLE if the port is in use. */
gboolean kv_service_listen(kv_service_t *service, GError **error);
int kv_service_port(const kv_service_t *service);

/* Closes the server; call kv_service_destroy() after the loop has ended. */
void kv_service_close(kv_service_t *service);
void kv_service_destroy(kv_service_t *service);

void kv_service_set_faults(kv_service_t *service,
			   const kv_service_faults_t *faults);
const kv_service_faults_t *kv_service_faults(const kv_service_t *service);
const kv_service_stats_t *kv_service_stats(const kv_service_t *service);
kv_store_t *kv_service_store(kv_service_t *service);

#endif
