#ifndef KV_KV_ETCD_H
#define KV_KV_ETCD_H

/*
 * Implements kv.h over the etcd v3 JSON gateway.
 *
 * Each call has a timeout.  Addresses are tried in turn: a call tries the next
 * one if no connection could be made; a read does so after any error.  At most
 * calls_max calls are in flight; further calls wait in a bounded queue.
 *
 * Meaning of the statuses:
 *  - KV_FAILED: nothing was sent, or the service rejected the call before it
 *    took effect (a 4xx status, no leader), or the queue is full
 *    (ERROR_OVERLOADED); for reads, any error;
 *  - KV_UNKNOWN: the call was sent, and its answer is missing, incomplete,
 *    malformed (ERROR_PROTOCOL), oversized (ERROR_TOO_LARGE) or a 5xx status.
 *
 * Counters: hc_kv_calls_total by kind (read, write, lease, watch),
 * hc_kv_answers_total by status, and the gauge hc_kv_watches.
 */

#include <uv.h>

#include "kv/kv.h"

typedef struct {
	uv_loop_t *loop;
	const char *const *addresses; /* "IP:PORT", NULL-terminated */
	ms_t timeout;		      /* of each attempt of a call */
	size_t calls_max;	      /* maximum number of calls in flight */
	size_t queue_max;	      /* maximum number of queued calls */
} kv_etcd_options_t;

#define KV_ETCD_TIMEOUT_MS 2000
#define KV_ETCD_CALLS_MAX  32
#define KV_ETCD_QUEUE_MAX  1024

/* NULL and ERROR_INVALID for a malformed address. */
kv_t *kv_etcd_create(const kv_etcd_options_t *options, GError **error);

#endif
