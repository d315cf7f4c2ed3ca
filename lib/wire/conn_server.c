#include "wire/conn_private.h"

#define LISTEN_BACKLOG 1024

struct conn_server {
	const conn_identity_t *identity;
	conn_events_t events;
	void *ctx;
	uv_tcp_t tcp;
	int port;
	TAILQ_HEAD(, conn) pending; /* without a hello yet, oldest first */
	int pending_count;
};

void conn_end_pending(conn_t *conn)
{
	conn_server_t *server = conn->server;

	if (!server)
		return;
	TAILQ_REMOVE(&server->pending, conn, pending);
	server->pending_count--;
	conn->server = NULL;
}

/*
 * A handshake takes milliseconds, so the oldest pending connection is the least
 * likely to belong to a real peer.
 */
static void evict_oldest_pending(conn_server_t *server)
{
	int max = server->identity->pending_max;

	if (server->pending_count < (max ? max : CONN_PENDING_MAX))
		return;
	conn_fail(TAILQ_FIRST(&server->pending), ERROR_OVERLOADED,
		  "too many peers have not completed their handshake");
}

static void add_pending(conn_server_t *server, conn_t *conn)
{
	conn->is_accepted = TRUE;
	conn->server = server;
	TAILQ_INSERT_TAIL(&server->pending, conn, pending);
	server->pending_count++;
}

static void on_connection(uv_stream_t *listener, int status)
{
	conn_server_t *server = listener->data;
	const conn_identity_t *identity = server->identity;
	conn_t *conn;

	if (status < 0)
		return;
	evict_oldest_pending(server);
	conn = conn_create(identity, channel_create_server(identity->keys),
			   &server->events, server->ctx);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		conn_close(conn);
		return;
	}
	add_pending(server, conn);
	conn_start(conn);
}

conn_server_t *conn_listen(const conn_identity_t *identity, const char *host,
			   int port, const conn_events_t *events, void *ctx,
			   GError **error)
{
	conn_server_t *server = g_new0(conn_server_t, 1);
	struct sockaddr_in addr;
	int addr_size = sizeof(addr);
	int rc;

	server->identity = identity;
	server->events = *events;
	server->ctx = ctx;
	TAILQ_INIT(&server->pending);
	uv_tcp_init(identity->loop, &server->tcp);
	server->tcp.data = server;
	rc = uv_ip4_addr(host, port, &addr);
	if (!rc)
		rc = uv_tcp_bind(&server->tcp, (struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&server->tcp, LISTEN_BACKLOG,
			       on_connection);
	if (!rc)
		rc = uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&addr,
					&addr_size);
	server->port = ntohs(addr.sin_port);
	if (!rc)
		return server;
	error_set(error, ERROR_UNAVAILABLE,
		  "cannot listen on %s port %d: %s; choose a free port", host,
		  port, uv_strerror(rc));
	conn_server_close(server);
	return NULL;
}

int conn_server_port(const conn_server_t *server)
{
	return server->port;
}

static void on_server_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void conn_server_close(conn_server_t *server)
{
	while (!TAILQ_EMPTY(&server->pending))
		conn_end_pending(TAILQ_FIRST(&server->pending));
	uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}
