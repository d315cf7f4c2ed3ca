#include <poll.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "http/http_server_private.h"

/*
 * Detects clients that disconnect while their request is processed.  h2o does
 * not read from a connection during that time, so without this check it would
 * notice only when a write fails.
 *
 * A client that only shut down its sending side can't be told from one that
 * closed the connection until something is sent: the host of a closed one then
 * replies with a reset.  Two things can be sent without changing the response:
 * an interim response before its head, and a comment within server-sent events.
 */

/* Minimum time between two such probes of one client. */
#define PROBE_INTERVAL_MS 1000

#define HTTP_1_1 0x101

static const char interim[] = "HTTP/1.1 102 Processing\r\n\r\n";
static const char comment[] = ":\n\n";

static h2o_socket_t *request_socket(http_request_t *request)
{
	h2o_conn_t *conn = request->req->conn;

	return conn->callbacks->get_socket(conn);
}

/* Returns FALSE if no probe is possible or sending it fails. */
static gboolean probe(http_request_t *request)
{
	h2o_socket_t *sock = request_socket(request);
	ssize_t sent;

	if (request->is_event_stream) {
		http_stream_write(request, comment, strlen(comment));
		return TRUE;
	}
	/* Bypassing h2o is safe: it writes nothing itself before the response.
	 */
	if (request->generator || sock->ssl || request->req->version < HTTP_1_1)
		return FALSE;
	sent = send(h2o_socket_get_fd(sock), interim, strlen(interim),
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	return sent == (ssize_t)strlen(interim);
}

static void on_half_closed(http_request_t *request)
{
	uint64_t now = uv_now(request->server->loop);

	if (request->probe_due > now)
		return;
	if (!request->probe_due)
		counter_add(counter_get("hc_http_half_closed_total"), 1);
	request->probe_due = now + PROBE_INTERVAL_MS;
	if (!probe(request))
		http_request_abandon(request);
}

static void handle_poll_events(http_request_t *request, short events)
{
	if (events & (POLLHUP | POLLERR))
		http_request_abandon(request);
	else if (events & POLLRDHUP)
		on_half_closed(request);
}

void hangup_check(uv_timer_t *timer)
{
	http_server_t *server = timer->data;
	size_t count = server->active;
	struct pollfd *fds;
	http_request_t **polled;
	http_request_t *request;
	size_t used = 0;
	size_t i;

	if (TAILQ_EMPTY(&server->accepted_conns))
		uv_timer_stop(timer);
	accepted_conn_check_bodies(server);
	if (++server->body_checks < HANGUP_CHECK_MS / BODY_CHECK_MS)
		return;
	server->body_checks = 0;
	if (!count)
		return;
	fds = g_new0(struct pollfd, count);
	polled = g_new0(http_request_t *, count);
	TAILQ_FOREACH (request, &server->requests, link) {
		if (!request->req || request->is_ended || used == count)
			continue;
		fds[used].fd = h2o_socket_get_fd(request_socket(request));
		fds[used].events = POLLRDHUP;
		polled[used++] = request;
	}
	if (poll(fds, used, 0) > 0) {
		for (i = 0; i < used; i++)
			handle_poll_events(polled[i], fds[i].revents);
	}
	g_free(fds);
	g_free(polled);
}
