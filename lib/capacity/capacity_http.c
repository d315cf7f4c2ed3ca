#include <string.h>

#include "capacity/capacity.h"
#include "http/http_client.h"
#include "wire/conn.h"

#define REQUESTS   5000
#define CONCURRENT 32
#define PIECES	   20000
#define PIECE_SIZE 200
#define BODY_MAX   65536
#define KEY_SIZE   32
#define MESSAGES   20000

/* Iterations of the loop that are enough to close all handles. */
#define CLOSE_ITERATIONS 200

typedef struct {
	uv_loop_t loop;
	http_server_t *server;
	http_client_t *client;
	int remaining;
	int in_flight;
	int64_t bytes;
	uv_idle_t idle;
	http_request_t *stream;
	int pieces_left;
} http_run_t;

static void on_request(void *ctx, http_request_t *request)
{
	http_respond(request, 200, "application/json", NULL, "{}", 2);
}

/* Write one piece per loop iteration, as an engine emits single tokens. */
static void on_idle(uv_idle_t *idle)
{
	http_run_t *run = idle->data;
	char piece[PIECE_SIZE];

	memset(piece, 'x', sizeof(piece));
	if (run->pieces_left--) {
		http_stream_write(run->stream, piece, sizeof(piece));
		return;
	}
	uv_idle_stop(idle);
	http_stream_end(run->stream);
}

static void on_stream(void *ctx, http_request_t *request)
{
	http_run_t *run = ctx;

	run->stream = request;
	run->pieces_left = PIECES;
	http_stream_begin(request, 200, "text/event-stream", NULL);
	uv_idle_start(&run->idle, on_idle);
}

static void start_call(http_run_t *run, const char *path);

static void on_data(void *ctx, const char *data, size_t size)
{
	((http_run_t *)ctx)->bytes += (int64_t)size;
}

static void on_end(void *ctx, int status, const GError *error)
{
	http_run_t *run = ctx;

	g_assert(!error && status == 200);
	run->in_flight--;
	if (run->remaining > 0)
		start_call(run, "/plain");
	else if (!run->in_flight)
		uv_stop(&run->loop);
}

static void start_call(http_run_t *run, const char *path)
{
	static const http_call_events_t events = {
		.on_data = on_data,
		.on_end = on_end,
	};
	http_call_request_t request = {
		.host = "127.0.0.1",
		.port = http_server_port(run->server),
		.method = "GET",
		.path = path,
	};

	run->remaining--;
	run->in_flight++;
	http_call_start(run->client, &request, &events, run);
}

static void measure_requests(http_run_t *run, report_t *report)
{
	double start = process_cpu_us();
	int i;

	run->remaining = REQUESTS;
	for (i = 0; i < CONCURRENT; i++)
		start_call(run, "/plain");
	uv_run(&run->loop, UV_RUN_DEFAULT);
	report_add(report, "http.request_both_sides", "us", CONCURRENT,
		   (process_cpu_us() - start) / REQUESTS);
}

static void measure_stream(http_run_t *run, report_t *report)
{
	double start = process_cpu_us();

	run->bytes = 0;
	run->remaining = 1;
	start_call(run, "/stream");
	uv_run(&run->loop, UV_RUN_DEFAULT);
	g_assert(run->bytes == (int64_t)PIECES * PIECE_SIZE);
	report_add(report, "http.piece_both_sides", "us", PIECE_SIZE,
		   (process_cpu_us() - start) / PIECES);
}

void capacity_http(report_t *report)
{
	http_server_options_t options = {.address = "127.0.0.1",
					 .body_max = BODY_MAX};
	http_run_t run = {.remaining = 0};
	int i;

	uv_loop_init(&run.loop);
	uv_idle_init(&run.loop, &run.idle);
	run.idle.data = &run;
	run.server = http_server_create(&run.loop, &options);
	http_server_route(run.server, "/plain", on_request, &run);
	http_server_route(run.server, "/stream", on_stream, &run);
	g_assert(http_server_listen(run.server, NULL));
	run.client = http_client_create(&run.loop);
	measure_requests(&run, report);
	measure_stream(&run, report);
	http_client_destroy(run.client);
	http_server_close(run.server);
	uv_close((uv_handle_t *)&run.idle, NULL);
	for (i = 0; i < CLOSE_ITERATIONS; i++)
		uv_run(&run.loop, UV_RUN_NOWAIT);
	http_server_destroy(run.server);
}

typedef struct {
	uv_loop_t loop;
	int ready;
	int expected;
	int remaining;
} conn_run_t;

static void on_ready(void *ctx, conn_t *conn)
{
	conn_run_t *run = ctx;

	if (++run->ready == run->expected)
		uv_stop(&run->loop);
}

static void send_number(conn_t *conn, int number)
{
	codec_writer_t writer;

	codec_write_init(&writer, 1, 1);
	codec_write_int(&writer, number);
	conn_send(conn, &writer);
}

/* Echo each message until MESSAGES have been exchanged. */
static void on_message(void *ctx, conn_t *conn, const msgpack_object *message)
{
	conn_run_t *run = ctx;

	if (!run->remaining--)
		uv_stop(&run->loop);
	else
		send_number(conn, run->remaining);
}

static void on_close(void *ctx, conn_t *conn, const GError *reason)
{
}

static const conn_events_t conn_events = {on_ready, on_message, on_close};

void capacity_connections(report_t *report, int count)
{
	char secret[KEY_SIZE] = {1};
	GBytes *key = g_bytes_new(secret, sizeof(secret));
	channel_keys_t *keys = channel_keys_create(key, NULL);
	conn_run_t run = {.expected = 2 * count, .remaining = MESSAGES};
	conn_identity_t identity = {.loop = &run.loop,
				    .instance = "i0",
				    .role = "owner",
				    .keys = keys};
	conn_t **conns = g_new0(conn_t *, count);
	conn_server_t *server;
	double before;
	double start;
	int i;

	uv_loop_init(&run.loop);
	server = conn_listen(&identity, "127.0.0.1", 0, &conn_events, &run,
			     NULL);
	g_assert(server);
	before = allocated_bytes();
	start = process_cpu_us();
	for (i = 0; i < count; i++)
		conns[i] = conn_connect(&identity, CHANNEL_KEY_CURRENT,
					"127.0.0.1", conn_server_port(server),
					&conn_events, &run);
	uv_run(&run.loop, UV_RUN_DEFAULT);
	report_add(report, "conn.open_both_sides", "us", count,
		   (process_cpu_us() - start) / count);
	report_add(report, "conn.memory_one_side", "bytes", count,
		   (allocated_bytes() - before) / (2.0 * count));
	start = process_cpu_us();
	send_number(conns[0], 0);
	uv_run(&run.loop, UV_RUN_DEFAULT);
	report_add(report, "conn.message_both_sides", "us", count,
		   (process_cpu_us() - start) / MESSAGES);
	conn_server_close(server);
	for (i = 0; i < count; i++)
		conn_close(conns[i]);
	for (i = 0; i < CLOSE_ITERATIONS; i++)
		uv_run(&run.loop, UV_RUN_NOWAIT);
	channel_keys_destroy(keys);
	g_bytes_unref(key);
	g_free(conns);
}
