#ifndef STANDIN_KV_GATEWAY_H
#define STANDIN_KV_GATEWAY_H

/* Applies calls of the etcd v3 JSON gateway to a kv_store_t; does no I/O. */

#include <glib.h>
#include <json-glib/json-glib.h>

#include "standin/kv_store.h"

typedef struct {
	int status; /* HTTP status */
	GString *body;
} gateway_response_t;

/* Sets the response to an error in the format of the gateway. */
void gateway_error(gateway_response_t *response, int status, int code,
		   const char *message);

/* Applies the call of a path and appends to the body of the response. */
void gateway_apply(kv_store_t *store, const char *path, const char *body,
		   size_t size, ms_t now, gateway_response_t *response);

/*
 * Parses a watch request; returns FALSE if it is malformed.  Free the key and
 * the end in either case.
 */
gboolean gateway_parse_watch(const char *body, size_t size, char **key,
			     char **end, int64_t *start_revision);

/* Appends the line for one watch event. */
void gateway_append_event(GString *text, const kv_record_t *record);

/* Appends the line that opens or ends a watch. */
void gateway_append_watch_state(GString *text, int64_t revision,
				const char *state);

#endif
