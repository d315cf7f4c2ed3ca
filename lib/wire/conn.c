#include "wire/conn_private.h"

#include <signal.h>
#include <string.h>

#include "base/counter.h"

#define HANDSHAKE_TIMEOUT_MS 3000
#define NAME_MAX_SIZE	     64

/* Bytes queued for a slow peer before it is disconnected. */
#define SEND_QUEUE_MAX (32 * 1024 * 1024)

static const char magic[] = "hawthorncross";

/* After its time, an answer that has arrived already is still read. */
#define PROBE_GRACE_MS 50

/* Message types of connections themselves; the owner defines all others. */
enum { MESSAGE_HELLO = 0, MESSAGE_PROBE = 90, MESSAGE_PROBE_ANSWER = 91 };

static void conn_free(conn_t *conn)
{
	channel_destroy(conn->channel);
	frame_reader_destroy(conn->reader);
	g_byte_array_free(conn->send_queue, TRUE);
	g_byte_array_free(conn->writing, TRUE);
	g_free(conn->peer_role);
	g_free(conn->peer_instance);
	g_free(conn);
}

static void on_handle_closed(uv_handle_t *handle)
{
	conn_t *conn = handle->data;

	if (--conn->handles == 0)
		conn_free(conn);
}

void conn_close(conn_t *conn)
{
	if (conn->state == STATE_CLOSED)
		return;
	conn->state = STATE_CLOSED;
	conn_end_pending(conn);
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
	uv_close((uv_handle_t *)&conn->probe_timer, on_handle_closed);
}

static void count_close(const conn_t *conn, error_kind_t kind)
{
	char name[NAME_MAX_SIZE];

	counter_add(counter_get("hc_conn_closed_total"), 1);
	if (kind == ERROR_UNAVAILABLE &&
	    (!conn->is_accepted || conn->state == STATE_READY))
		return;
	g_snprintf(name, sizeof(name), "hc_conn_refused_total{kind=\"%s\"}",
		   error_kind_name(kind));
	counter_add(counter_get(name), 1);
}

/* Try to send the pending output, such as a TLS alert, before closing. */
static void send_alert(conn_t *conn)
{
	GByteArray *output;
	uv_buf_t buf;

	if (conn->is_writing || conn->state == STATE_CONNECTING)
		return;
	conn->writing = output =
		channel_swap_output(conn->channel, conn->writing);
	buf = uv_buf_init((char *)output->data, output->len);
	if (output->len)
		uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
}

void conn_fail(conn_t *conn, error_kind_t kind, const char *reason)
{
	GError *error = NULL;

	if (conn->state == STATE_CLOSED)
		return;
	error_set(&error, kind, "%s", reason);
	count_close(conn, kind);
	send_alert(conn);
	conn_close(conn);
	conn->events.on_close(conn->ctx, conn, error);
	g_error_free(error);
}

static void flush(conn_t *conn);

static void on_written(uv_write_t *req, int status)
{
	conn_t *conn = req->data;

	conn->is_writing = FALSE;
	if (conn->state == STATE_CLOSED)
		return;
	g_byte_array_set_size(conn->writing, 0);
	if (status < 0) {
		conn_fail(conn, ERROR_UNAVAILABLE,
			  "cannot write to the peer; the connection will be "
			  "reopened");
		return;
	}
	flush(conn);
}

/* Deferred, so that conn_send() never calls back. */
static void on_send_failed(uv_timer_t *timer)
{
	conn_fail(timer->data, ERROR_INTERNAL,
		  "cannot encrypt a message; the connection will be reopened");
}

/* Encrypt all queued frames at once, to use as few TLS records as possible. */
static void encrypt(conn_t *conn)
{
	if (!channel_is_open(conn->channel))
		return;
	if (!channel_send(conn->channel, (char *)conn->send_queue->data,
			  conn->send_queue->len, NULL))
		uv_timer_start(&conn->timer, on_send_failed, 0, 0);
	g_byte_array_set_size(conn->send_queue, 0);
}

static void flush(conn_t *conn)
{
	uv_buf_t buf;

	if (conn->is_writing)
		return;
	encrypt(conn);
	if (!channel_has_output(conn->channel))
		return;
	conn->writing = channel_swap_output(conn->channel, conn->writing);
	buf = uv_buf_init((char *)conn->writing->data, conn->writing->len);
	conn->is_writing = TRUE;
	conn->write_req.data = conn;
	uv_write(&conn->write_req, (uv_stream_t *)&conn->tcp, &buf, 1,
		 on_written);
}

/* Deferred, so that conn_send() never calls back. */
static void on_send_queue_full(uv_timer_t *timer)
{
	conn_fail(timer->data, ERROR_OVERLOADED,
		  "the peer reads too slowly; the connection will be reopened");
}

static void append_empty_message(conn_t *conn, int type)
{
	codec_writer_t message;

	codec_write_init(&message, type, 0);
	frame_append(conn->send_queue, message.buffer.data,
		     message.buffer.size);
	codec_write_release(&message);
}

static void on_probe_timer(uv_timer_t *timer)
{
	conn_t *conn = timer->data;

	if (!conn->is_probe_late) {
		/*
		 * After a pause of this process the answer may be there,
		 * unread.
		 */
		conn->is_probe_late = TRUE;
		uv_timer_start(timer, on_probe_timer, PROBE_GRACE_MS, 0);
		return;
	}
	conn_fail(conn, ERROR_TIMEOUT,
		  "the peer does not answer; the connection will be reopened");
}

static void send_probe(conn_t *conn)
{
	append_empty_message(conn, MESSAGE_PROBE);
	if (!conn->answers_probes)
		return;
	conn->is_probe_late = FALSE;
	uv_timer_start(&conn->probe_timer, on_probe_timer,
		       (uint64_t)conn->identity->keepalive, 0);
}

/* Sends a probe along with a message if the peer has been silent for long. */
static void probe_if_silent(conn_t *conn)
{
	uint64_t silence = uv_now(conn->identity->loop) - conn->received_at;

	if (conn->state == STATE_READY && conn->identity->keepalive &&
	    conn->answers_probes &&
	    !uv_is_active((uv_handle_t *)&conn->probe_timer) &&
	    silence >= (uint64_t)conn->identity->keepalive)
		send_probe(conn);
}

static void note_received(conn_t *conn)
{
	conn->received_at = uv_now(conn->identity->loop);
	uv_timer_stop(&conn->probe_timer);
}

void conn_send(conn_t *conn, codec_writer_t *message)
{
	if (conn->state != STATE_CLOSED) {
		probe_if_silent(conn);
		frame_append(conn->send_queue, message->buffer.data,
			     message->buffer.size);
		if (conn->send_queue->len > SEND_QUEUE_MAX)
			uv_timer_start(&conn->timer, on_send_queue_full, 0, 0);
		else
			flush(conn);
	}
	codec_write_release(message);
}

static void send_hello(conn_t *conn)
{
	codec_writer_t hello;

	codec_write_init(&hello, MESSAGE_HELLO, 4);
	codec_write_text(&hello, magic);
	codec_write_int(&hello, CONN_VERSION);
	codec_write_text(&hello, conn->identity->role);
	codec_write_text(&hello, conn->identity->instance);
	conn_send(conn, &hello);
}

static void receive_hello(conn_t *conn, const msgpack_object *message)
{
	codec_reader_t reader;
	char *text;
	gboolean is_magic;
	int64_t version;
	int type;

	codec_read_init(&reader, message, &type);
	text = codec_read_text(&reader, sizeof(magic));
	is_magic = g_strcmp0(text, magic) == 0;
	g_free(text);
	version = codec_read_int(&reader, 0, INT32_MAX);
	conn->peer_role = codec_read_text(&reader, NAME_MAX_SIZE);
	conn->peer_instance = codec_read_text(&reader, NAME_MAX_SIZE);
	if (type != MESSAGE_HELLO || !is_magic || version != CONN_VERSION) {
		conn_fail(
			conn, ERROR_PROTOCOL,
			"the peer speaks another protocol or version; run the "
			"same version on all instances");
		return;
	}
	if (!codec_read_end(&reader) || !conn->peer_role ||
	    !conn->peer_instance) {
		conn_fail(conn, ERROR_PROTOCOL,
			  "the peer's hello is malformed");
		return;
	}
	conn->state = STATE_READY;
	conn_end_pending(conn);
	uv_timer_stop(&conn->timer);
	if (conn->identity->keepalive)
		send_probe(conn);
	conn->events.on_ready(conn->ctx, conn);
}

/* Handles the messages of the connection itself; returns FALSE for others. */
static gboolean handle_probe(conn_t *conn, const msgpack_object *message)
{
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	if (type == MESSAGE_PROBE)
		append_empty_message(conn, MESSAGE_PROBE_ANSWER);
	else if (type == MESSAGE_PROBE_ANSWER)
		conn->answers_probes = TRUE;
	else
		return FALSE;
	return TRUE;
}

static gboolean on_frame(void *ctx, const msgpack_object *message)
{
	conn_t *conn = ctx;

	switch (conn->state) {
	case STATE_HELLO:
		receive_hello(conn, message);
		break;
	case STATE_READY:
		if (!handle_probe(conn, message))
			conn->events.on_message(conn->ctx, conn, message);
		break;
	default:
		break;
	}
	return conn->state != STATE_CLOSED;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char shared[64 * 1024];

	*buf = uv_buf_init(shared, sizeof(shared));
}

/*
 * Send our hello once the TLS handshake is complete, before any message that is
 * sent in reaction to the peer's hello.
 */
static void start_hello(conn_t *conn)
{
	if (conn->state != STATE_KEY || !channel_is_open(conn->channel))
		return;
	conn->state = STATE_HELLO;
	send_hello(conn);
}

static gboolean on_plain(void *ctx, const char *data, size_t size)
{
	conn_t *conn = ctx;
	GError *error = NULL;

	start_hello(conn);
	if (!frame_reader_feed(conn->reader, data, size, on_frame, conn,
			       &error)) {
		conn_fail(conn, error_kind(error), error->message);
		g_error_free(error);
	}
	return conn->state != STATE_CLOSED;
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	conn_t *conn = stream->data;
	GError *error = NULL;

	if (size < 0) {
		conn_fail(
			conn, ERROR_UNAVAILABLE,
			"the peer closed the connection; it will be reopened");
		return;
	}
	note_received(conn);
	if (!channel_feed(conn->channel, buf->base, (size_t)size, on_plain,
			  conn, &error)) {
		conn_fail(conn, error_kind(error), error->message);
		g_error_free(error);
		return;
	}
	if (conn->state == STATE_CLOSED)
		return;
	start_hello(conn);
	flush(conn);
}

static void on_handshake_timeout(uv_timer_t *timer)
{
	conn_fail(timer->data, ERROR_TIMEOUT,
		  "the peer did not complete its handshake in time");
}

conn_t *conn_create(const conn_identity_t *identity, channel_t *channel,
		    const conn_events_t *events, void *ctx)
{
	conn_t *conn = g_new0(conn_t, 1);

	/* A closed peer is detected by the failed write instead. */
	signal(SIGPIPE, SIG_IGN);
	conn->identity = identity;
	conn->events = *events;
	conn->ctx = ctx;
	conn->channel = channel;
	conn->reader = frame_reader_create(FRAME_PAYLOAD_MAX);
	conn->send_queue = g_byte_array_new();
	conn->writing = g_byte_array_new();
	uv_tcp_init(identity->loop, &conn->tcp);
	uv_timer_init(identity->loop, &conn->timer);
	conn->tcp.data = conn;
	uv_timer_init(identity->loop, &conn->probe_timer);
	conn->timer.data = conn;
	conn->probe_timer.data = conn;
	conn->handles = 3;
	uv_timer_start(&conn->timer, on_handshake_timeout, HANDSHAKE_TIMEOUT_MS,
		       0);
	return conn;
}

void conn_start(conn_t *conn)
{
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->state = STATE_KEY;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	flush(conn);
}

static void on_connected(uv_connect_t *req, int status)
{
	conn_t *conn = req->data;

	if (conn->state == STATE_CLOSED)
		return;
	if (status < 0) {
		conn_fail(conn, ERROR_UNAVAILABLE,
			  "cannot connect; check that the peer runs");
		return;
	}
	conn_start(conn);
}

static void on_connect_failed(uv_timer_t *timer)
{
	conn_fail(timer->data, ERROR_UNAVAILABLE,
		  "cannot connect; check the peer's address");
}

conn_t *conn_connect(const conn_identity_t *identity, channel_key_t key,
		     const char *host, int port, const conn_events_t *events,
		     void *ctx)
{
	channel_t *channel = channel_create_client(identity->keys, key);
	conn_t *conn = conn_create(identity, channel, events, ctx);
	struct sockaddr_in addr;
	int rc;

	conn->connect_req.data = conn;
	rc = uv_ip4_addr(host, port, &addr);
	if (!rc)
		rc = uv_tcp_connect(&conn->connect_req, &conn->tcp,
				    (struct sockaddr *)&addr, on_connected);
	if (rc)
		uv_timer_start(&conn->timer, on_connect_failed, 0, 0);
	return conn;
}

const char *conn_peer_instance(const conn_t *conn)
{
	return conn->peer_instance;
}

const char *conn_peer_role(const conn_t *conn)
{
	return conn->peer_role;
}

void conn_set_data(conn_t *conn, void *data)
{
	conn->data = data;
}

void *conn_data(const conn_t *conn)
{
	return conn->data;
}
