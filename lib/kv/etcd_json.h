#ifndef KV_ETCD_JSON_H
#define KV_ETCD_JSON_H

/*
 * Renders requests and parses answers of the etcd v3 JSON gateway.
 *
 * Keys and values are base64, 64-bit integers are decimal strings.  Parsers
 * return FALSE and ERROR_PROTOCOL for malformed input.  Free rendered bodies
 * with g_free().
 */

#include "base/json_member.h"
#include "kv/kv.h"

/*
 * Returns an integer member, given as a decimal string or a JSON number.  A
 * missing one is 0, as protobuf omits default values.
 */
int64_t etcd_member_int(JsonObject *object, const char *name);

char *etcd_render_range(const char *key, gboolean is_prefix);
char *etcd_render_txn(const kv_write_t *writes, size_t count);
char *etcd_render_lease_grant(ms_t ttl);
char *etcd_render_lease(int64_t lease);
char *etcd_render_watch(const char *prefix, int64_t after);

gboolean etcd_parse_range(const char *text, size_t size, GArray *items,
			  int64_t *revision, GError **error);
gboolean etcd_parse_txn(const char *text, size_t size, gboolean *is_done,
			int64_t *revision, GError **error);

/* lease is set to 0 if the lease has expired. */
gboolean etcd_parse_lease(const char *text, size_t size, int64_t *lease,
			  GError **error);

/* Parse one line of a watch; ERROR_UNAVAILABLE if etcd cancelled the watch. */
gboolean etcd_parse_watch(const char *text, size_t size, GArray *items,
			  GError **error);

/* Returns the message of an error body or ""; free with g_free(). */
char *etcd_parse_error(const char *text, size_t size);

#endif
