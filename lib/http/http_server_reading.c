#include <sys/socket.h>

#include "base/counter.h"
#include "http/http_server_private.h"

/*
 * Checks requests whose body is incomplete.  h2o 2.2.5 calls the handler only
 * once the body is complete and has no callback for the end of the head, but it
 * can enumerate the requests of all connections, including those being read.
 * They are therefore checked periodically.
 */

/* Retry-After of temporary rejections. */
#define RETRY_AFTER_MS 1000

/* State of one accepted connection. */
typedef struct accepted_conn {
	TAILQ_ENTRY(accepted_conn) link;
	http_server_t *server;	/* NULL once that is destroyed */
	gboolean is_unfinished; /* a request is partly read */
	gboolean is_checked;	/* authorizer called for this request */
	gboolean is_rejected;	/* by the authorizer or the size limit */
	gboolean is_served;	/* a request was read completely */
	gboolean is_evicted;	/* it was shut down and will close */
	uv_tcp_t *tcp;		/* of h2o's socket */
} accepted_conn_t;

typedef struct {
	GPtrArray *bodies; /* of h2o_req_t */
} walk_t;

static void on_socket_close(void *data)
{
	accepted_conn_t *conn = data;

	if (conn->is_unfinished || !conn->is_served)
		counter_add(counter_get("hc_http_unfinished_total"), 1);
	if (conn->server) {
		TAILQ_REMOVE(&conn->server->accepted_conns, conn, link);
		conn->server->accepted -= !conn->is_evicted;
	}
	g_free(conn);
}

/* h2o closes a connection once it finds it shut down. */
static void evict(accepted_conn_t *conn)
{
	uv_os_fd_t fd;

	conn->is_evicted = TRUE;
	conn->server->accepted--;
	counter_add(counter_get("hc_http_evicted_total"), 1);
	if (!uv_fileno((uv_handle_t *)conn->tcp, &fd))
		shutdown(fd, SHUT_RDWR);
}

/* Closes connections above the limit; the newest is the last of the list. */
static void keep_limit(http_server_t *server)
{
	const http_server_options_t *options = &server->options;
	accepted_conn_t *conn;

	if (!options->connections_max ||
	    server->accepted <= options->connections_max)
		return;
	TAILQ_FOREACH (conn, &server->accepted_conns, link) {
		if (conn->is_evicted ||
		    (options->keeps_served && conn->is_served))
			continue;
		evict(conn);
		return;
	}
}

void accepted_conn_track(http_server_t *server, h2o_socket_t *sock,
			 uv_tcp_t *tcp)
{
	accepted_conn_t *conn = g_new0(accepted_conn_t, 1);

	server->accepted++;
	conn->server = server;
	conn->tcp = tcp;
	if (TAILQ_EMPTY(&server->accepted_conns))
		uv_timer_start(&server->hangup_timer, hangup_check,
			       BODY_CHECK_MS, BODY_CHECK_MS);
	TAILQ_INSERT_TAIL(&server->accepted_conns, conn, link);
	sock->on_close.cb = on_socket_close;
	sock->on_close.data = conn;
	keep_limit(server);
}

void accepted_conn_detach_all(http_server_t *server)
{
	accepted_conn_t *conn;

	while ((conn = TAILQ_FIRST(&server->accepted_conns))) {
		TAILQ_REMOVE(&server->accepted_conns, conn, link);
		conn->server = NULL;
	}
}

static accepted_conn_t *accepted_conn_of(h2o_req_t *req, h2o_socket_t **sock)
{
	*sock = req->conn->callbacks->get_socket(req->conn);
	return *sock ? (*sock)->on_close.data : NULL;
}

void accepted_conn_request_complete(h2o_req_t *req)
{
	h2o_socket_t *sock;
	accepted_conn_t *conn = accepted_conn_of(req, &sock);

	if (!conn)
		return;
	conn->is_unfinished = FALSE;
	conn->is_checked = FALSE;
	conn->is_served = TRUE;
}

gboolean accepted_conn_is_rejected(h2o_req_t *req)
{
	h2o_socket_t *sock;
	accepted_conn_t *conn = accepted_conn_of(req, &sock);

	return conn && conn->is_rejected;
}

static int collect_body(h2o_req_t *req, void *data)
{
	walk_t *walk = data;
	h2o_socket_t *sock;
	accepted_conn_t *conn = accepted_conn_of(req, &sock);

	/* pathconf is set once the request was passed to a handler. */
	if (!conn || req->pathconf || !sock->input->size)
		return 0;
	conn->is_unfinished = TRUE;
	if (req->timestamps.request_body_begin_at.tv_sec)
		g_ptr_array_add(walk->bodies, req);
	return 0;
}

/* Responds and closes, as h2o itself does for a body that is too large. */
static void reject(http_server_t *server, h2o_req_t *req, GError *error,
		   ms_t retry_after)
{
	h2o_socket_t *sock;
	accepted_conn_t *conn = accepted_conn_of(req, &sock);

	conn->is_unfinished = FALSE;
	conn->is_served = TRUE;
	conn->is_rejected = TRUE;
	h2o_socket_read_stop(sock);
	req->http1_is_persistent = 0;
	h2o_req_bind_conf(req, server->host, &server->host->fallback_path);
	counter_add(counter_get("hc_http_refused_bodies_total"), 1);
	http_respond_error(http_request_create(server, req), error,
			   OUTCOME_NOT_RUN, retry_after);
	g_error_free(error);
}

/* Calls the authorizer; if it rejects the request, responds, returns FALSE. */
static gboolean authorize(http_server_t *server, h2o_req_t *req)
{
	h2o_socket_t *sock;
	accepted_conn_t *conn = accepted_conn_of(req, &sock);
	char *authorization = NULL;
	GError *error;
	ssize_t at;

	if (!server->authorizer || conn->is_checked)
		return TRUE;
	conn->is_checked = TRUE;
	at = h2o_find_header(&req->headers, H2O_TOKEN_AUTHORIZATION, -1);
	if (at != -1) {
		h2o_iovec_t value = req->headers.entries[at].value;

		authorization = g_strndup(value.base, value.len);
	}
	error = server->authorizer(server->authorizer_ctx, authorization);
	g_free(authorization);
	if (!error)
		return TRUE;
	reject(server, req, error,
	       error_kind(error) == ERROR_UNAVAILABLE ? RETRY_AFTER_MS : 0);
	return FALSE;
}

static void check_body(http_server_t *server, h2o_req_t *req, size_t *buffered)
{
	GError *error = NULL;
	h2o_socket_t *sock;

	if (!authorize(server, req))
		return;
	accepted_conn_of(req, &sock);
	*buffered += sock->input->size;
	if (*buffered <= server->buffered_max)
		return;
	*buffered -= sock->input->size;
	error_set(&error, ERROR_OVERLOADED,
		  "too many incomplete bodies are buffered; retry later");
	reject(server, req, error, RETRY_AFTER_MS);
}

void accepted_conn_check_bodies(http_server_t *server)
{
	walk_t walk = {g_ptr_array_new()};
	size_t buffered = 0;
	guint i;

	server->config.http1.callbacks.foreach_request(&server->context,
						       collect_body, &walk);
	for (i = 0; i < walk.bodies->len; i++)
		check_body(server, walk.bodies->pdata[i], &buffered);
	g_ptr_array_free(walk.bodies, TRUE);
}
