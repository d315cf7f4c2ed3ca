#ifndef ADMIN_FLEET_H
#define ADMIN_FLEET_H

/*
 * Sends a GET request for one path to every program on every instance.
 *
 * The instances are the records under "hc/instance/" in the key-value service.
 * A record is a JSON object; its member "http" maps the name of a program to
 * the "IP:PORT" at which it listens; the other members are ignored:
 *
 *	{"http": {"hc-entry": "10.0.0.1:8080", "hc-owner": "10.0.0.1:8081"}}
 */

#include <glib.h>

#include "http/http_client.h"
#include "kv/kv.h"

#define FLEET_PREFIX "hc/instance/"

typedef struct {
	char *instance;
	char *program;
	char *address; /* "IP:PORT" */
	char *body;    /* of a response with status 200, else NULL */
	size_t size;
	char *fault; /* why there is no body, else NULL */
} fleet_response_t;

/* responses holds fleet_response_t; it is valid only during the call. */
typedef void (*fleet_done_t)(void *ctx, const GPtrArray *responses,
			     const GError *error);

/* Calls done once all programs have responded, never before it returns. */
void fleet_query(kv_t *kv, http_client_t *client, const char *path,
		 fleet_done_t done, void *ctx);

#endif
