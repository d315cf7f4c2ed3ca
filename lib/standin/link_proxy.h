#ifndef STANDIN_LINK_PROXY_H
#define STANDIN_LINK_PROXY_H

/*
 * One link of the loopback network between a program and what it calls, for the
 * fault soak: a TCP proxy that passes bytes on, late, in one direction only or
 * not at all, and resets its connections.
 *
 * What is held up, bytes and ends of connections alike, is passed on in order
 * once the link is open again.  New connections are taken at all times, as by a
 * host whose packets are lost after the handshake.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"

typedef struct link_proxy link_proxy_t;

typedef enum {
	LINK_PROXY_OPEN,
	LINK_PROXY_SILENT,    /* nothing passes */
	LINK_PROXY_MUTE_TO,   /* nothing passes to the target */
	LINK_PROXY_MUTE_FROM, /* nothing passes from the target */
	LINK_PROXY_MODE_COUNT
} link_proxy_mode_t;

/* Listens on 127.0.0.1; ERROR_UNAVAILABLE if no port can be bound. */
link_proxy_t *link_proxy_create(uv_loop_t *loop, const char *address, int port,
				GError **error);

/* Its handles close with the next turns of the loop. */
void link_proxy_destroy(link_proxy_t *proxy);

/* The port that it listens on. */
int link_proxy_port(const link_proxy_t *proxy);

/* FALSE if no mode has this name: open, silent, mute_to or mute_from. */
gboolean link_proxy_set_mode(link_proxy_t *proxy, const char *name);

/* Bytes that come from now on are passed on so much later, at least. */
void link_proxy_set_delay(link_proxy_t *proxy, ms_t delay);

/* Reset all connections, on both sides. */
void link_proxy_reset(link_proxy_t *proxy);

#endif
