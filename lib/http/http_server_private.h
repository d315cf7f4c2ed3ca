#ifndef HTTP_HTTP_SERVER_PRIVATE_H
#define HTTP_HTTP_SERVER_PRIVATE_H

/* Declarations shared by the http_server*.c files. */

#include <h2o.h>
#include <sys/queue.h>

#include "http/http_server.h"

typedef struct {
	h2o_handler_t super;
	char *prefix;
	http_server_t *server;
	http_handler_t handler;
	void *ctx;
} route_t;

typedef struct stream_generator {
	h2o_generator_t super;
	http_request_t *request;
} stream_generator_t;

struct http_request {
	TAILQ_ENTRY(http_request) link;
	http_server_t *server;
	h2o_req_t *req; /* NULL once h2o has disposed of it */
	stream_generator_t *generator;
	http_abort_t on_abort;
	void *abort_ctx;
	gboolean is_ended;  /* by the handler or an abort */
	gboolean is_broken; /* abort the transfer */
	gboolean is_sending;
	gboolean is_final_sent;
	gboolean is_event_stream;
	uint64_t probe_due; /* uv_now() time; 0: not half-closed */
	GString *sending;
	GString *pending;
	GHashTable *texts; /* strings returned by the getters */
};

TAILQ_HEAD(request_list, http_request);
TAILQ_HEAD(accepted_conn_list, accepted_conn);

struct http_server {
	uv_loop_t *loop;
	http_server_options_t options;
	h2o_globalconf_t config;
	h2o_hostconf_t *host;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	uv_timer_t hangup_timer;
	GArray *routes; /* of route_t, until listening */
	gboolean is_listening;
	int port;
	struct request_list requests;
	guint body_checks; /* since the last check for hang-ups */
	size_t active;
	http_authorizer_t authorizer; /* may be NULL */
	void *authorizer_ctx;
	size_t buffered_max;
	struct accepted_conn_list accepted_conns; /* one per accepted socket */
	size_t accepted; /* those that were not told to close */
};

/* Interval at which connections of open requests are checked for a hang-up. */
#define HANGUP_CHECK_MS 50

/*
 * Interval at which incomplete bodies are checked: a loopback client sends some
 * 10 MB in it.
 */
#define BODY_CHECK_MS 10

/* Timer callback; timer->data is the server. */
void hangup_check(uv_timer_t *timer);

/* Ends a request whose client has disconnected. */
void http_request_abandon(http_request_t *request);

/*
 * Tracks an accepted socket until it is closed.  The hang-up timer runs while
 * any socket is tracked.
 */
void accepted_conn_track(http_server_t *server, h2o_socket_t *sock,
			 uv_tcp_t *tcp);

/* Detaches all sockets from a server that is destroyed before they close. */
void accepted_conn_detach_all(http_server_t *server);

/* Records that the request was read completely. */
void accepted_conn_request_complete(h2o_req_t *req);

/*
 * Checks all requests whose body is incomplete: rejects those that the
 * authorizer rejects, and those beyond the limit of buffered bytes.
 */
void accepted_conn_check_bodies(http_server_t *server);

/* Returns whether the request was rejected before its body was complete. */
gboolean accepted_conn_is_rejected(h2o_req_t *req);

/* Makes h2o's own error responses JSON; call it before listening. */
void errors_register(http_server_t *server);

gboolean errors_check_head_size(const h2o_req_t *req, GError **error);

/* Wraps a request of h2o, whose body may be incomplete. */
http_request_t *http_request_create(http_server_t *server, h2o_req_t *req);

#endif
