#ifndef HTTP_HTTP_CONN_H
#define HTTP_HTTP_CONN_H

/*
 * The client side of a TCP connection on a libuv loop, in plain text or over
 * TLS.
 *
 * No function invokes a callback before it returns.  After on_end(), or
 * http_conn_close(), the connection is closed, no callback follows, and it must
 * not be used any more.
 */

#include <glib.h>
#include <openssl/ssl.h>
#include <uv.h>

typedef struct http_conn http_conn_t;

typedef enum {
	HTTP_CONN_NOT_OPENED, /* nothing was sent */
	HTTP_CONN_CLOSED,     /* the peer has closed its side in order */
	HTTP_CONN_LOST	      /* reset, or not closed in order */
} http_conn_end_t;

typedef struct {
	/* Open, with TLS negotiated. */
	void (*on_open)(void *ctx);
	/* May close the connection. */
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* why is a short reason, valid until on_end() returns. */
	void (*on_end)(void *ctx, http_conn_end_t end, const char *why);
} http_conn_events_t;

/* address: IPv4; tls: NULL for plain text. */
http_conn_t *http_conn_open(uv_loop_t *loop, const char *address, int port,
			    SSL_CTX *tls, const http_conn_events_t *events,
			    void *ctx);
void http_conn_close(http_conn_t *conn);

/* Sends text, which is freed with g_free(); the connection must be open. */
void http_conn_send(http_conn_t *conn, char *text, size_t size);

/* Returns whether all was sent, and nothing has come since the last on_data. */
gboolean http_conn_is_quiet(const http_conn_t *conn);

/* A connection that is not referenced does not keep its loop running. */
void http_conn_set_referenced(http_conn_t *conn, gboolean is_referenced);

#endif
