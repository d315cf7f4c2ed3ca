#ifndef WIRE_CHANNEL_H
#define WIRE_CHANNEL_H

/*
 * The encrypted stream beneath a connection: TLS 1.3 with an external
 * pre-shared key, using OpenSSL.
 *
 * A channel does no I/O.  Network bytes are passed to channel_feed() and
 * fetched by channel_swap_output(); plaintext is passed to channel_send() and
 * delivered to the handler.  Both sides authenticate by a membership key.
 * Session keys are agreed by X25519 (forward secrecy), so a key that leaks
 * later does not decrypt recorded streams.
 *
 * The secret that the instances share is never used directly: the pre-shared
 * key and its public id are both derived from it by HKDF.  A side accepts the
 * current key and, if there is one, the previous key.
 *
 * No close_notify is sent: when a connection ends, whatever was not
 * acknowledged by a message counts as lost.
 *
 * Errors: ERROR_UNAUTHENTICATED during the handshake, for a peer that has no
 * key or does not speak TLS; ERROR_PROTOCOL after it, for a modified, replayed
 * or missing record; ERROR_UNAVAILABLE if the peer sent close_notify.  After an
 * error the output may hold an alert for the peer, and the channel ignores
 * further input.
 */

#include <glib.h>

typedef struct channel channel_t;
typedef struct channel_keys channel_keys_t;

typedef enum { CHANNEL_KEY_CURRENT, CHANNEL_KEY_PREVIOUS } channel_key_t;

/* Receives plaintext; returning FALSE stops channel_feed() without an error. */
typedef gboolean (*channel_handler_t)(void *ctx, const char *data, size_t size);

/* Derive the keys; previous may be NULL.  The secrets are not kept. */
channel_keys_t *channel_keys_create(GBytes *current, GBytes *previous);
/* Wipe and free the keys.  All channels that use them must be destroyed. */
void channel_keys_destroy(channel_keys_t *keys);
gboolean channel_keys_has_previous(const channel_keys_t *keys);
/* The public id of a key, which reveals nothing about the secret. */
const char *channel_keys_id(const channel_keys_t *keys, channel_key_t which);

/* Create the client side; the output then holds the ClientHello. */
channel_t *channel_create_client(const channel_keys_t *keys,
				 channel_key_t which);
/* Create the server side. */
channel_t *channel_create_server(const channel_keys_t *keys);
void channel_destroy(channel_t *channel);

/* Whether the handshake is complete, so that the peer is authenticated. */
gboolean channel_is_open(const channel_t *channel);

/* Process network bytes; the handler may call channel_send(), not this. */
gboolean channel_feed(channel_t *channel, const char *data, size_t size,
		      channel_handler_t handler, void *ctx, GError **error);

/* Encrypt plaintext into the output; the channel must be open. */
gboolean channel_send(channel_t *channel, const char *data, size_t size,
		      GError **error);

/* Update the sending key; channel_send() also does this when due. */
gboolean channel_renew(channel_t *channel, GError **error);

/* Return the output and replace it by an empty array. */
GByteArray *channel_swap_output(channel_t *channel, GByteArray *empty);
gboolean channel_has_output(const channel_t *channel);

#endif
