#ifndef STANDIN_LIST_SERVICE_H
#define STANDIN_LIST_SERVICE_H

/*
 * A stand-in for the platform's list of instances and endpoints: an HTTP server
 * on 127.0.0.1 with a configurable lag and fault injection.
 *
 *	GET /instances
 *	    {"instances": [{"name", "address", "region", "failure_domain",
 *	    "state": "live" | "leaving"}], "endpoints": [as for instances]}
 *	POST /control?add=NAME&kind=instance&address=A&region=R&failure_domain=D
 *	POST /control?leave=NAME
 *	POST /control?remove=NAME
 *	POST /control?outage=on|off
 *	POST /control?slow=MS
 *	POST /control?lag=MS
 *
 * A change appears in the list after the lag.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"

typedef struct list_service list_service_t;

/* Port 0 selects a free port; the lag is in milliseconds. */
list_service_t *list_service_create(uv_loop_t *loop, int port, ms_t lag);

/* Listens on 127.0.0.1; fails with ERROR_UNAVAILABLE if the port is in use. */
gboolean list_service_listen(list_service_t *service, GError **error);
int list_service_port(const list_service_t *service);

/* Closes the server; call list_service_destroy() after the loop has ended. */
void list_service_close(list_service_t *service);
void list_service_destroy(list_service_t *service);

#endif
