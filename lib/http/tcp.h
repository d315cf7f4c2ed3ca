#ifndef HTTP_TCP_H
#define HTTP_TCP_H

/* What libuv does not tell about a TCP connection. */

#include <glib.h>
#include <uv.h>

/*
 * Returns whether a connection whose EOF was reported has been reset: libuv
 * reports EOF after a partial read in either case.
 */
gboolean tcp_was_reset(const uv_tcp_t *tcp);

/* Returns how many bytes the kernel holds that the peer has not acknowledged.
 */
size_t tcp_unacknowledged(const uv_tcp_t *tcp);

/* Returns whether nothing, not even EOF, waits to be read. */
gboolean tcp_is_silent(const uv_tcp_t *tcp);

#endif
