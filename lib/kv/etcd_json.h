#ifndef KV_ETCD_JSON_H
#define KV_ETCD_JSON_H

/*
 * Bodies of the etcd v3 JSON gateway: requests are rendered, answers parsed.
 *
 * Keys and values are base64, 64-bit numbers are decimal strings.  Parsers
 * return FALSE and ERROR_PROTOCOL for what they can't read.  Rendered bodies
 * are freed with g_free().
 */

#include "base/json_member.h"
#include "kv/kv.h"

/*
 * A number, as a decimal string or as it is.  A missing one is 0, as protobuf
 * leaves out default values.
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

/* lease is 0 for a lease that has lapsed. */
gboolean etcd_parse_lease(const char *text, size_t size, int64_t *lease,
			  GError **error);

/* One line of a watch; an end of the watch is ERROR_UNAVAILABLE. */
gboolean etcd_parse_watch(const char *text, size_t size, GArray *items,
			  GError **error);

/* The message of an error body, or the empty string; free with g_free(). */
char *etcd_parse_error(const char *text, size_t size);

#endif
