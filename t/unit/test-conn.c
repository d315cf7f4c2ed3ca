/*
 * Tests of connections on loopback: hello, echo, wrong and rotated keys,
 * unencrypted bytes, modified records, a truncated handshake, another protocol
 * version, oversized frames, and one or many silent peers.  Each test checks
 * that a connection opened before it still works afterwards.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/error.h"
#include "raw_peer.h"
#include "serve/peers.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define SECRET		"the membership key"
#define OTHER		"another membership"
#define DEADLINE_MS	20000
#define NS_A_MS		1000000
#define HANDSHAKE_MS	3000 /* HANDSHAKE_TIMEOUT_MS of conn.c */
#define PENDING_MAX	8
#define SILENT		(PENDING_MAX + 3)
#define MESSAGE_NUMBER	7
#define MESSAGE_HELLO	0
#define FRAME_TOO_LARGE (FRAME_PAYLOAD_MAX + 1)

typedef struct {
	uv_loop_t loop;
	uv_timer_t tick;
	channel_keys_t *keys;
	conn_identity_t identity;
	conn_server_t *server;
	int server_ready;
	int server_closed;
	error_kind_t server_reason; /* of the last connection closed */
	conn_t *persistent;	    /* must stay open during each test */
	int client_ready;
	int client_closed;
	error_kind_t client_reason;
	int64_t echoed;
} net_t;

static channel_keys_t *make_keys(const char *current, const char *previous)
{
	GBytes *first = g_bytes_new(current, strlen(current));
	GBytes *second =
		previous ? g_bytes_new(previous, strlen(previous)) : NULL;
	channel_keys_t *keys = channel_keys_create(first, second);

	g_bytes_unref(first);
	if (second)
		g_bytes_unref(second);
	return keys;
}

static void send_number(conn_t *conn, int64_t number)
{
	codec_writer_t writer;

	codec_write_init(&writer, MESSAGE_NUMBER, 1);
	codec_write_int(&writer, number);
	conn_send(conn, &writer);
}

static int64_t read_number(const msgpack_object *message)
{
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	assert_int_equal(type, MESSAGE_NUMBER);
	return codec_read_int(&reader, 0, INT64_MAX);
}

/* The server sends a message as soon as the client's hello is accepted. */
static void on_server_ready(void *ctx, conn_t *conn)
{
	net_t *net = ctx;

	net->server_ready++;
	send_number(conn, 1);
}

static void on_server_message(void *ctx, conn_t *conn,
			      const msgpack_object *message)
{
	send_number(conn, read_number(message));
}

static void on_server_close(void *ctx, conn_t *conn, const GError *reason)
{
	net_t *net = ctx;

	net->server_closed++;
	net->server_reason = error_kind(reason);
}

static void on_client_ready(void *ctx, conn_t *conn)
{
	net_t *net = ctx;

	net->client_ready++;
	assert_string_equal(conn_peer_instance(conn), "i1");
	assert_string_equal(conn_peer_role(conn), "owner");
}

static void on_client_message(void *ctx, conn_t *conn,
			      const msgpack_object *message)
{
	net_t *net = ctx;

	net->echoed = read_number(message);
}

static void on_client_close(void *ctx, conn_t *conn, const GError *reason)
{
	net_t *net = ctx;

	net->client_closed++;
	net->client_reason = error_kind(reason);
	if (conn == net->persistent)
		net->persistent = NULL;
}

static const conn_events_t server_events = {on_server_ready, on_server_message,
					    on_server_close};
static const conn_events_t client_events = {on_client_ready, on_client_message,
					    on_client_close};

static uint64_t now_ms(void)
{
	return uv_hrtime() / NS_A_MS;
}

/* Run the loop until *number reaches wanted; fails after the deadline. */
static void run_until(net_t *net, const int *number, int wanted)
{
	uint64_t end = now_ms() + DEADLINE_MS;

	while (*number < wanted) {
		assert_true(now_ms() < end);
		uv_run(&net->loop, UV_RUN_ONCE);
	}
}

static void on_tick(uv_timer_t *timer)
{
}

static conn_t *connect_with(net_t *net, const conn_identity_t *identity)
{
	return conn_connect(identity, CHANNEL_KEY_CURRENT, "127.0.0.1",
			    conn_server_port(net->server), &client_events, net);
}

static void expect_echo(net_t *net, int64_t number)
{
	uint64_t end = now_ms() + DEADLINE_MS;

	assert_non_null(net->persistent);
	send_number(net->persistent, number);
	while (net->echoed != number) {
		assert_true(now_ms() < end);
		uv_run(&net->loop, UV_RUN_ONCE);
	}
}

/* Create a listener and a connection that stays open. */
static void net_setup(net_t *net)
{
	memset(net, 0, sizeof(*net));
	uv_loop_init(&net->loop);
	uv_timer_init(&net->loop, &net->tick);
	uv_timer_start(&net->tick, on_tick, 1, 1);
	net->keys = make_keys(SECRET, NULL);
	net->identity.loop = &net->loop;
	net->identity.instance = "i1";
	net->identity.role = "owner";
	net->identity.keys = net->keys;
	net->identity.pending_max = PENDING_MAX;
	net->server = conn_listen(&net->identity, "127.0.0.1", 0,
				  &server_events, net, NULL);
	assert_non_null(net->server);
	net->persistent = connect_with(net, &net->identity);
	run_until(net, &net->client_ready, 1);
	run_until(net, &net->server_ready, 1);
	expect_echo(net, 100);
}

/* Check that the connection of net_setup() still works, and close all. */
static void net_teardown(net_t *net)
{
	int closed = net->server_closed;

	expect_echo(net, 101);
	conn_close(net->persistent);
	run_until(net, &net->server_closed, closed + 1);
	conn_server_close(net->server);
	uv_close((uv_handle_t *)&net->tick, NULL);
	uv_run(&net->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&net->loop), 0);
	channel_keys_destroy(net->keys);
}

static int64_t refused_count(const char *kind)
{
	char name[64];

	g_snprintf(name, sizeof(name), "hc_conn_refused_total{kind=\"%s\"}",
		   kind);
	return counter_value(counter_get(name));
}

/* Complete the TLS handshake on a raw socket, with the right key. */
static channel_t *raw_open(net_t *net, int fd)
{
	uint64_t end = now_ms() + DEADLINE_MS;
	channel_t *channel =
		channel_create_client(net->keys, CHANNEL_KEY_CURRENT);

	while (!channel_is_open(channel)) {
		assert_true(now_ms() < end);
		raw_pump(fd, channel);
		uv_run(&net->loop, UV_RUN_ONCE);
	}
	return channel;
}

static void expect_closed(net_t *net, int fd, error_kind_t kind)
{
	run_until(net, &net->server_closed, 1);
	assert_int_equal(net->server_closed, 1);
	assert_int_equal(net->server_reason, kind);
	uv_run(&net->loop, UV_RUN_ONCE);
	assert_true(raw_is_closed(fd));
	close(fd);
}

static void test_hello_and_echo(void **state)
{
	net_t net;

	net_setup(&net);
	net_teardown(&net);
}

/*
 * Guards against the end of the process when connect() fails at once, as for an
 * address without a route.
 */
static void test_unreachable_address(void **state)
{
	net_t net;

	net_setup(&net);
	net.client_closed = 0;
	conn_connect(&net.identity, CHANNEL_KEY_CURRENT, "255.255.255.255", 80,
		     &client_events, &net);
	assert_int_equal(net.client_closed, 0);
	run_until(&net, &net.client_closed, 1);
	assert_int_equal(net.client_reason, ERROR_UNAVAILABLE);
	/* Closed before the failure is reported. */
	conn_close(conn_connect(&net.identity, CHANNEL_KEY_CURRENT,
				"255.255.255.255", 80, &client_events, &net));
	expect_echo(&net, 102);
	assert_int_equal(net.client_closed, 1);
	net_teardown(&net);
}

static void test_wrong_key(void **state)
{
	int64_t before = refused_count("unauthenticated");
	conn_identity_t wrong;
	net_t net;

	net_setup(&net);
	wrong = net.identity;
	wrong.keys = make_keys(OTHER, NULL);
	connect_with(&net, &wrong);
	run_until(&net, &net.client_closed, 1);
	run_until(&net, &net.server_closed, 1);
	assert_int_equal(net.client_reason, ERROR_UNAUTHENTICATED);
	assert_int_equal(net.server_reason, ERROR_UNAUTHENTICATED);
	assert_int_equal(net.client_ready, 1);
	assert_int_equal(net.server_ready, 1);
	assert_int_equal(refused_count("unauthenticated"), before + 2);
	net_teardown(&net);
	channel_keys_destroy((channel_keys_t *)wrong.keys);
}

static void on_peer_up(void *ctx, const char *name)
{
	int *up = ctx;

	++*up;
}

static void on_peer_down(void *ctx, const char *name)
{
}

static void on_peer_message(void *ctx, const char *name,
			    const msgpack_object *message)
{
}

/* A peer with the new key connects to one that has only the old key. */
static void test_rotated_key(void **state)
{
	static const peers_events_t events = {on_peer_up, on_peer_down,
					      on_peer_message};
	conn_identity_t rotated;
	peers_t *peers;
	net_t net;
	int up = 0;

	net_setup(&net);
	rotated = net.identity;
	rotated.keys = make_keys(OTHER, SECRET);
	peers = peers_create(&rotated, &events, &up);
	peers_add(peers, "i1", "127.0.0.1", conn_server_port(net.server));
	run_until(&net, &up, 1);
	run_until(&net, &net.server_ready, 2);
	assert_int_equal(net.server_reason, ERROR_UNAUTHENTICATED);
	peers_destroy(peers);
	run_until(&net, &net.server_closed, 2);
	net_teardown(&net);
	channel_keys_destroy((channel_keys_t *)rotated.keys);
}

static void test_unencrypted_bytes(void **state)
{
	static const char request[] = "GET /status HTTP/1.1\r\n\r\n";
	int64_t before = refused_count("unauthenticated");
	net_t net;
	int fd;

	net_setup(&net);
	fd = raw_connect(conn_server_port(net.server));
	raw_send(fd, request, sizeof(request));
	expect_closed(&net, fd, ERROR_UNAUTHENTICATED);
	assert_int_equal(refused_count("unauthenticated"), before + 1);
	net_teardown(&net);
}

static void test_truncated_client_hello(void **state)
{
	int64_t before = refused_count("unavailable");
	channel_t *channel;
	GByteArray *hello;
	net_t net;
	int fd;

	net_setup(&net);
	fd = raw_connect(conn_server_port(net.server));
	channel = channel_create_client(net.keys, CHANNEL_KEY_CURRENT);
	hello = channel_swap_output(channel, g_byte_array_new());
	raw_send(fd, hello->data, hello->len / 2);
	shutdown(fd, SHUT_WR);
	expect_closed(&net, fd, ERROR_UNAVAILABLE);
	assert_int_equal(refused_count("unavailable"), before + 1);
	g_byte_array_free(hello, TRUE);
	channel_destroy(channel);
	net_teardown(&net);
}

static void test_modified_record(void **state)
{
	int64_t before = refused_count("protocol");
	channel_t *channel;
	GByteArray *record;
	net_t net;
	int fd;

	net_setup(&net);
	fd = raw_connect(conn_server_port(net.server));
	channel = raw_open(&net, fd);
	raw_pump(fd, channel);
	assert_true(channel_send(channel, "text", 4, NULL));
	record = channel_swap_output(channel, g_byte_array_new());
	record->data[record->len - 1] ^= 1;
	raw_send(fd, record->data, record->len);
	expect_closed(&net, fd, ERROR_PROTOCOL);
	assert_int_equal(refused_count("protocol"), before + 1);
	g_byte_array_free(record, TRUE);
	channel_destroy(channel);
	net_teardown(&net);
}

static void expect_frame_refused(const void *data, size_t size,
				 error_kind_t kind)
{
	int64_t before = refused_count(error_kind_name(kind));
	channel_t *channel;
	net_t net;
	int fd;

	net_setup(&net);
	fd = raw_connect(conn_server_port(net.server));
	channel = raw_open(&net, fd);
	assert_true(channel_send(channel, data, size, NULL));
	raw_pump(fd, channel);
	expect_closed(&net, fd, kind);
	assert_int_equal(net.server_ready, 1);
	assert_int_equal(refused_count(error_kind_name(kind)), before + 1);
	channel_destroy(channel);
	net_teardown(&net);
}

static void test_other_version(void **state)
{
	GByteArray *frame = g_byte_array_new();
	codec_writer_t hello;

	codec_write_init(&hello, MESSAGE_HELLO, 4);
	codec_write_text(&hello, "hawthorncross");
	codec_write_int(&hello, CONN_VERSION + 1);
	codec_write_text(&hello, "owner");
	codec_write_text(&hello, "i2");
	frame_append(frame, hello.buffer.data, hello.buffer.size);
	codec_write_release(&hello);
	expect_frame_refused(frame->data, frame->len, ERROR_PROTOCOL);
	g_byte_array_free(frame, TRUE);
}

static void test_frame_too_large(void **state)
{
	uint32_t length = htonl(FRAME_TOO_LARGE);

	expect_frame_refused(&length, sizeof(length), ERROR_TOO_LARGE);
}

/* A silent peer is closed at the timeout, not earlier. */
static void test_silent_peer(void **state)
{
	int64_t before = refused_count("timeout");
	uint64_t start;
	net_t net;
	int fd;

	net_setup(&net);
	start = now_ms();
	fd = raw_connect(conn_server_port(net.server));
	expect_closed(&net, fd, ERROR_TIMEOUT);
	assert_true(now_ms() - start >= HANDSHAKE_MS - 1);
	assert_int_equal(refused_count("timeout"), before + 1);
	net_teardown(&net);
}

static void test_too_many_silent_peers(void **state)
{
	int64_t before = refused_count("overloaded");
	int fds[SILENT];
	conn_t *second;
	net_t net;
	int i;

	net_setup(&net);
	for (i = 0; i < SILENT; i++)
		fds[i] = raw_connect(conn_server_port(net.server));
	run_until(&net, &net.server_closed, SILENT - PENDING_MAX);
	assert_int_equal(net.server_reason, ERROR_OVERLOADED);
	/* The oldest pending connection is closed, so a real peer can connect.
	 */
	second = connect_with(&net, &net.identity);
	run_until(&net, &net.client_ready, 2);
	run_until(&net, &net.server_ready, 2);
	assert_int_equal(net.server_closed, SILENT - PENDING_MAX + 1);
	assert_int_equal(refused_count("overloaded"),
			 before + net.server_closed);
	uv_run(&net.loop, UV_RUN_ONCE);
	for (i = 0; i < SILENT; i++) {
		assert_int_equal(raw_is_closed(fds[i]),
				 i < SILENT - PENDING_MAX + 1);
		close(fds[i]);
	}
	run_until(&net, &net.server_closed, SILENT);
	conn_close(second);
	run_until(&net, &net.server_closed, SILENT + 1);
	net_teardown(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hello_and_echo),
		cmocka_unit_test(test_unreachable_address),
		cmocka_unit_test(test_wrong_key),
		cmocka_unit_test(test_rotated_key),
		cmocka_unit_test(test_unencrypted_bytes),
		cmocka_unit_test(test_truncated_client_hello),
		cmocka_unit_test(test_modified_record),
		cmocka_unit_test(test_other_version),
		cmocka_unit_test(test_frame_too_large),
		cmocka_unit_test(test_silent_peer),
		cmocka_unit_test(test_too_many_silent_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
