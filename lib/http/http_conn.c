#include "http/http_conn.h"

#include <openssl/err.h>

#include "http/tcp.h"

/* Size of one read. */
#define READ_SIZE (16 * 1024)

struct http_conn {
	uv_tcp_t tcp;
	uv_timer_t failure; /* reports what failed at once */
	const char *failure_why;
	int handles; /* libuv handles not yet closed */
	uv_connect_t connect;
	SSL *ssl; /* NULL for plain text */
	BIO *received;
	BIO *to_send;
	http_conn_events_t events;
	void *ctx;
	guint writes; /* in progress */
	gboolean is_open;
	gboolean is_closed;
};

typedef struct {
	uv_write_t write;
	http_conn_t *conn;
	char *text;
} conn_write_t;

static void on_handle_closed(uv_handle_t *handle)
{
	http_conn_t *conn = handle->data;

	if (--conn->handles)
		return;
	SSL_free(conn->ssl);
	g_free(conn);
}

void http_conn_close(http_conn_t *conn)
{
	conn->is_closed = TRUE;
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&conn->failure, on_handle_closed);
}

static void conn_end(http_conn_t *conn, http_conn_end_t end, const char *why)
{
	if (conn->is_closed)
		return;
	http_conn_close(conn);
	conn->events.on_end(conn->ctx, end, why);
}

static void conn_fail(http_conn_t *conn, const char *why)
{
	conn_end(conn, conn->is_open ? HTTP_CONN_LOST : HTTP_CONN_NOT_OPENED,
		 why);
}

static void on_failure(uv_timer_t *timer)
{
	http_conn_t *conn = timer->data;

	conn_fail(conn, conn->failure_why);
}

/* Reports a failure after the current call has returned. */
static void fail_later(http_conn_t *conn, const char *why)
{
	conn->failure_why = why;
	uv_timer_start(&conn->failure, on_failure, 0, 0);
}

static void on_written(uv_write_t *write, int status)
{
	conn_write_t *req = (conn_write_t *)write;
	http_conn_t *conn = req->conn;

	conn->writes--;
	g_free(req->text);
	g_free(req);
	if (status < 0)
		conn_fail(conn, uv_strerror(status));
}

/* Takes ownership of text. */
static void write_bytes(http_conn_t *conn, char *text, size_t size)
{
	conn_write_t *req = g_new0(conn_write_t, 1);
	uv_buf_t buffer = uv_buf_init(text, (unsigned int)size);
	int code;

	req->conn = conn;
	req->text = text;
	code = uv_write(&req->write, (uv_stream_t *)&conn->tcp, &buffer, 1,
			on_written);
	if (!code) {
		conn->writes++;
		return;
	}
	g_free(req->text);
	g_free(req);
	fail_later(conn, uv_strerror(code));
}

/* Sends what OpenSSL has written. */
static void flush_tls(http_conn_t *conn)
{
	size_t size = BIO_ctrl_pending(conn->to_send);
	char *text;

	if (!size || conn->is_closed)
		return;
	text = g_malloc(size);
	BIO_read(conn->to_send, text, (int)size);
	write_bytes(conn, text, size);
}

/* Ends the connection unless OpenSSL only needs more input. */
static void check_tls(http_conn_t *conn, int result)
{
	const char *reason;

	switch (SSL_get_error(conn->ssl, result)) {
	case SSL_ERROR_NONE:
	case SSL_ERROR_WANT_READ:
		return;
	case SSL_ERROR_ZERO_RETURN:
		conn_end(conn, HTTP_CONN_CLOSED, "closed");
		return;
	default:
		reason = ERR_reason_error_string(ERR_peek_last_error());
		ERR_clear_error();
		conn_fail(conn, reason ? reason : "TLS failed");
	}
}

static void negotiate_tls(http_conn_t *conn)
{
	int result;

	ERR_clear_error();
	result = SSL_do_handshake(conn->ssl);
	flush_tls(conn);
	if (result != 1) {
		check_tls(conn, result);
		return;
	}
	conn->is_open = TRUE;
	conn->events.on_open(conn->ctx);
}

static void read_tls(http_conn_t *conn, const char *data, size_t size)
{
	char text[READ_SIZE];
	int read = 1;

	BIO_write(conn->received, data, (int)size);
	if (!conn->is_open)
		negotiate_tls(conn);
	while (read > 0 && conn->is_open && !conn->is_closed) {
		ERR_clear_error();
		read = SSL_read(conn->ssl, text, sizeof(text));
		if (read > 0)
			conn->events.on_data(conn->ctx, text, (size_t)read);
		else
			check_tls(conn, read);
	}
	flush_tls(conn);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_SIZE];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	http_conn_t *conn = stream->data;

	if (conn->is_closed || !size)
		return;
	if (size > 0 && conn->ssl)
		read_tls(conn, buffer->base, (size_t)size);
	else if (size > 0)
		conn->events.on_data(conn->ctx, buffer->base, (size_t)size);
	else if (size == UV_EOF && !conn->ssl && !tcp_was_reset(&conn->tcp))
		conn_end(conn, HTTP_CONN_CLOSED, "closed");
	else
		conn_fail(conn, uv_strerror((int)size));
}

static void on_connected(uv_connect_t *connect, int status)
{
	http_conn_t *conn = connect->data;

	if (conn->is_closed)
		return;
	if (status < 0) {
		conn_fail(conn, uv_strerror(status));
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (conn->ssl) {
		negotiate_tls(conn);
		return;
	}
	conn->is_open = TRUE;
	conn->events.on_open(conn->ctx);
}

static void tls_create(http_conn_t *conn, SSL_CTX *tls)
{
	conn->ssl = SSL_new(tls);
	conn->received = BIO_new(BIO_s_mem());
	conn->to_send = BIO_new(BIO_s_mem());
	g_assert(conn->ssl && conn->received && conn->to_send);
	SSL_set_bio(conn->ssl, conn->received, conn->to_send);
	SSL_set_connect_state(conn->ssl);
}

http_conn_t *http_conn_open(uv_loop_t *loop, const char *address, int port,
			    SSL_CTX *tls, const http_conn_events_t *events,
			    void *ctx)
{
	http_conn_t *conn = g_new0(http_conn_t, 1);
	struct sockaddr_in to;
	int code;

	conn->events = *events;
	conn->ctx = ctx;
	conn->handles = 2;
	uv_tcp_init(loop, &conn->tcp);
	uv_timer_init(loop, &conn->failure);
	conn->tcp.data = conn;
	conn->failure.data = conn;
	conn->connect.data = conn;
	if (tls)
		tls_create(conn, tls);
	code = uv_ip4_addr(address, port, &to);
	if (!code)
		code = uv_tcp_connect(&conn->connect, &conn->tcp,
				      (const struct sockaddr *)&to,
				      on_connected);
	if (code)
		fail_later(conn, uv_strerror(code));
	return conn;
}

void http_conn_send(http_conn_t *conn, char *text, size_t size)
{
	if (!conn->ssl) {
		write_bytes(conn, text, size);
		return;
	}
	ERR_clear_error();
	if (SSL_write(conn->ssl, text, (int)size) <= 0)
		fail_later(conn, "TLS failed");
	g_free(text);
	flush_tls(conn);
}

gboolean http_conn_is_quiet(const http_conn_t *conn)
{
	return !conn->writes && tcp_is_silent(&conn->tcp);
}

void http_conn_set_referenced(http_conn_t *conn, gboolean is_referenced)
{
	if (is_referenced)
		uv_ref((uv_handle_t *)&conn->tcp);
	else
		uv_unref((uv_handle_t *)&conn->tcp);
}
