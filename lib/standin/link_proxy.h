#ifndef STANDIN_LINK_PROXY_H
#define STANDIN_LINK_PROXY_H

/*
 * A TCP proxy on the loopback network that injects network faults into the link
 * between a program and a server: delay, loss in one or both directions, reset
 * connections, connections that go silent for good, and answers that are cut
 * off at any byte or state odd framing.
 *
 * Data and ends of streams that are blocked are forwarded in order once the
 * link is open again.  The proxy accepts new connections in every mode, as if
 * packets were lost only after the handshake.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"

typedef struct link_proxy link_proxy_t;

typedef enum {
	LINK_PROXY_OPEN,
	LINK_PROXY_SILENT,    /* blocked in both directions */
	LINK_PROXY_MUTE_TO,   /* blocked towards the target */
	LINK_PROXY_MUTE_FROM, /* blocked from the target */
	LINK_PROXY_MODE_COUNT
} link_proxy_mode_t;

/*
 * Listens on a free port of 127.0.0.1.  Fails with ERROR_INVALID if address is
 * not an IPv4 address, and with ERROR_UNAVAILABLE if no port can be bound.
 */
link_proxy_t *link_proxy_create(uv_loop_t *loop, const char *address, int port,
				GError **error);

/* The loop must run on until the handles are closed. */
void link_proxy_destroy(link_proxy_t *proxy);

/* Returns the port on which the proxy listens. */
int link_proxy_port(const link_proxy_t *proxy);

/*
 * Sets the mode by name: open, silent, mute_to or mute_from.  Returns FALSE if
 * there is no such mode.
 */
gboolean link_proxy_set_mode(link_proxy_t *proxy, const char *name);

/* Sets the minimum delay of data that is received from now on. */
void link_proxy_set_delay(link_proxy_t *proxy, ms_t delay);

/*
 * Makes all open connections silent for good, without a reset, as when a
 * middlebox forgets them; or only those on which the caller waits for an
 * answer. New connections work.
 */
void link_proxy_kill(link_proxy_t *proxy, gboolean is_waiting_only);

/*
 * Cuts off what comes from the target from now on: after this many bytes, a
 * connection ends in order ("end"), is reset ("reset"), or goes silent for good
 * ("silent").  "none" ends that.  Returns FALSE if there is no such way.
 */
gboolean link_proxy_set_cut(link_proxy_t *proxy, size_t bytes, const char *way);

/*
 * Spoils the first byte of the length or the transfer coding of each Nth answer
 * from now on; 0 for none.  A head has to come in one piece.
 */
void link_proxy_set_spoil(link_proxy_t *proxy, int every);

/* Resets all connections, on both sides. */
void link_proxy_reset(link_proxy_t *proxy);

#endif
