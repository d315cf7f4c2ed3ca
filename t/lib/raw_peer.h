#ifndef RAW_PEER_H
#define RAW_PEER_H

/* A plain TCP socket that acts as the peer in tests of connections. */

#include <glib.h>

#include "wire/channel.h"

/* Connect to a loopback port; the caller closes the socket. */
int raw_connect(int port);

void raw_send(int fd, const void *data, size_t size);

/* Read all available data; returns whether the other side has closed. */
gboolean raw_is_closed(int fd);

/* Send the output of a channel, and feed it all available data. */
void raw_pump(int fd, channel_t *channel);

#endif
