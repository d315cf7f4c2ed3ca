#include "serve/peers.h"

#include <string.h>

#include "base/error.h"

#define RECONNECT_FIRST_MS 100
#define RECONNECT_MAX_MS   5000

typedef struct {
	peers_t *peers;
	char *name;
	char *address;
	int port;
	conn_t *conn;
	gboolean is_up;
	gboolean is_forgotten;
	channel_key_t key; /* to offer next */
	uv_timer_t timer;
	uint64_t delay_ms;
} peer_t;

struct peers {
	const conn_identity_t *identity;
	peers_events_t events;
	void *ctx;
	GHashTable *table; /* name to peer_t */
};

peers_t *peers_create(const conn_identity_t *identity,
		      const peers_events_t *events, void *ctx)
{
	peers_t *peers = g_new0(peers_t, 1);

	peers->identity = identity;
	peers->events = *events;
	peers->ctx = ctx;
	peers->table = g_hash_table_new(g_str_hash, g_str_equal);
	return peers;
}

static void on_timer_closed(uv_handle_t *handle)
{
	peer_t *peer = handle->data;

	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

static void peer_close(peer_t *peer)
{
	peer->is_forgotten = TRUE;
	if (peer->conn)
		conn_close(peer->conn);
	peer->conn = NULL;
	uv_close((uv_handle_t *)&peer->timer, on_timer_closed);
}

void peers_destroy(peers_t *peers)
{
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		peer_close(peer);
	g_hash_table_destroy(peers->table);
	g_free(peers);
}

static void on_ready(void *ctx, conn_t *conn)
{
	peer_t *peer = ctx;

	peer->is_up = TRUE;
	peer->delay_ms = RECONNECT_FIRST_MS;
	peer->peers->events.on_up(peer->peers->ctx, peer->name);
}

static void on_message(void *ctx, conn_t *conn, const msgpack_object *message)
{
	peer_t *peer = ctx;

	peer->peers->events.on_message(peer->peers->ctx, peer->name, message);
}

static void on_reconnect(uv_timer_t *timer);

/* While keys are rotated a peer may not know the current one yet. */
static void choose_key(peer_t *peer, const GError *reason)
{
	if (error_kind(reason) == ERROR_UNAUTHENTICATED &&
	    peer->key == CHANNEL_KEY_CURRENT &&
	    channel_keys_has_previous(peer->peers->identity->keys))
		peer->key = CHANNEL_KEY_PREVIOUS;
	else
		peer->key = CHANNEL_KEY_CURRENT;
}

static void on_close(void *ctx, conn_t *conn, const GError *reason)
{
	peer_t *peer = ctx;
	gboolean was_up = peer->is_up;

	peer->conn = NULL;
	peer->is_up = FALSE;
	choose_key(peer, reason);
	uv_timer_start(&peer->timer, on_reconnect, peer->delay_ms, 0);
	peer->delay_ms = MIN(peer->delay_ms * 2, RECONNECT_MAX_MS);
	if (was_up)
		peer->peers->events.on_down(peer->peers->ctx, peer->name);
}

static void peer_connect(peer_t *peer)
{
	static const conn_events_t events = {on_ready, on_message, on_close};

	peer->conn = conn_connect(peer->peers->identity, peer->key,
				  peer->address, peer->port, &events, peer);
}

static void on_reconnect(uv_timer_t *timer)
{
	peer_t *peer = timer->data;

	if (!peer->is_forgotten && !peer->conn)
		peer_connect(peer);
}

void peers_add(peers_t *peers, const char *name, const char *address, int port)
{
	peer_t *peer = g_hash_table_lookup(peers->table, name);

	if (peer && peer->port == port && !strcmp(peer->address, address))
		return;
	if (peer)
		peers_remove(peers, name);
	peer = g_new0(peer_t, 1);
	peer->peers = peers;
	peer->name = g_strdup(name);
	peer->address = g_strdup(address);
	peer->port = port;
	peer->delay_ms = RECONNECT_FIRST_MS;
	uv_timer_init(peers->identity->loop, &peer->timer);
	peer->timer.data = peer;
	g_hash_table_insert(peers->table, peer->name, peer);
	peer_connect(peer);
}

void peers_remove(peers_t *peers, const char *name)
{
	peer_t *peer = g_hash_table_lookup(peers->table, name);

	if (!peer)
		return;
	g_hash_table_remove(peers->table, name);
	peer_close(peer);
}

gboolean peers_is_connected(const peers_t *peers, const char *name)
{
	const peer_t *peer = g_hash_table_lookup(peers->table, name);

	return peer && peer->is_up;
}

gboolean peers_send(peers_t *peers, const char *name, codec_writer_t *message)
{
	peer_t *peer = g_hash_table_lookup(peers->table, name);

	if (!peer || !peer->is_up) {
		codec_write_release(message);
		return FALSE;
	}
	conn_send(peer->conn, message);
	return TRUE;
}

void peers_foreach(const peers_t *peers,
		   void (*visit)(void *ctx, const char *name, gboolean is_up),
		   void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		visit(ctx, peer->name, peer->is_up);
	}
}
