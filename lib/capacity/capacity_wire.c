#include <string.h>

#include "base/counter.h"
#include "capacity/capacity.h"
#include "serve/message.h"
#include "wire/channel.h"
#include "wire/frame.h"

#define PIECES	   50000
#define PIECE_SIZE 200 /* bytes; an event of an OpenAI-style stream */
#define KEY_SIZE   32
#define READ_SIZE  65536

#define COUNTER_UPDATES 1000000
#define METRICS		200
#define RENDERS		200
#define NS_PER_US	1000.0

typedef struct {
	frame_reader_t *reader;
	int count;
	int64_t bytes;
} receiver_t;

typedef struct {
	channel_keys_t *keys;
	channel_t *client;
	channel_t *server;
} channel_pair_t;

static gboolean on_piece(void *ctx, const msgpack_object *object)
{
	receiver_t *receiver = ctx;
	message_piece_t *piece = message_read(object, NULL);

	g_assert(piece && piece->type == MESSAGE_PIECE);
	receiver->count++;
	receiver->bytes += (int64_t)g_bytes_get_size(piece->data);
	message_free(piece);
	return TRUE;
}

static gboolean on_plaintext(void *ctx, const char *data, size_t size)
{
	receiver_t *receiver = ctx;

	return frame_reader_feed(receiver->reader, data, size, on_piece,
				 receiver, NULL);
}

/* Feed the pending output of one channel to the other. */
static void transfer_output(channel_t *from, channel_t *to,
			    receiver_t *receiver)
{
	GByteArray *bytes = channel_swap_output(from, g_byte_array_new());
	guint at;

	for (at = 0; at < bytes->len; at += READ_SIZE) {
		guint size = MIN(READ_SIZE, bytes->len - at);
		gboolean ok = channel_feed(to, (char *)bytes->data + at, size,
					   on_plaintext, receiver, NULL);

		g_assert(ok);
	}
	g_byte_array_unref(bytes);
}

static void open_pair(channel_pair_t *pair)
{
	char secret[KEY_SIZE] = {1};
	GBytes *key = g_bytes_new(secret, sizeof(secret));

	pair->keys = channel_keys_create(key, NULL);
	pair->client = channel_create_client(pair->keys, CHANNEL_KEY_CURRENT);
	pair->server = channel_create_server(pair->keys);
	transfer_output(pair->client, pair->server, NULL);
	transfer_output(pair->server, pair->client, NULL);
	transfer_output(pair->client, pair->server, NULL);
	g_assert(channel_is_open(pair->client));
	g_assert(channel_is_open(pair->server));
	g_bytes_unref(key);
}

static void close_pair(channel_pair_t *pair)
{
	channel_destroy(pair->client);
	channel_destroy(pair->server);
	channel_keys_destroy(pair->keys);
}

/* Send each piece with a call of its own, as when no output is pending. */
static void write_pieces(channel_t *channel, int count)
{
	GByteArray *plain = g_byte_array_new();
	char text[PIECE_SIZE];
	GBytes *data;
	int i;

	memset(text, 'x', sizeof(text));
	data = g_bytes_new(text, sizeof(text));
	for (i = 0; i < count; i++) {
		message_piece_t piece = {.type = MESSAGE_PIECE,
					 .request = "0123456789abcdef01234567",
					 .attempt = 1,
					 .number = i,
					 .data = data};
		codec_writer_t writer;

		message_write(&writer, &piece);
		g_byte_array_set_size(plain, 0);
		frame_append(plain, writer.buffer.data, writer.buffer.size);
		channel_send(channel, (char *)plain->data, plain->len, NULL);
		codec_write_release(&writer);
	}
	g_bytes_unref(data);
	g_byte_array_unref(plain);
}

void capacity_wire(report_t *report)
{
	receiver_t receiver = {.reader =
				       frame_reader_create(FRAME_PAYLOAD_MAX)};
	GByteArray *out;
	channel_pair_t pair;
	double start;

	open_pair(&pair);
	start = process_cpu_us();
	write_pieces(pair.client, PIECES);
	report_add(report, "wire.piece_send", "us", PIECE_SIZE,
		   (process_cpu_us() - start) / PIECES);
	out = channel_swap_output(pair.client, g_byte_array_new());
	report_add(report, "wire.piece_bytes", "bytes", PIECE_SIZE,
		   (double)out->len / PIECES);
	g_byte_array_unref(channel_swap_output(pair.client, out));
	start = process_cpu_us();
	transfer_output(pair.client, pair.server, &receiver);
	report_add(report, "wire.piece_receive", "us", PIECE_SIZE,
		   (process_cpu_us() - start) / PIECES);
	g_assert(receiver.count == PIECES);
	frame_reader_destroy(receiver.reader);
	close_pair(&pair);
}

void capacity_counters(report_t *report)
{
	counter_t *counter = counter_get("capacity_counter");
	histogram_t *histogram = histogram_get("capacity_histogram_ms");
	double start;
	int i;

	for (i = 0; i < METRICS; i++) {
		char *name = g_strdup_printf("capacity_m%d", i);

		counter_add(counter_get(name), 1);
		g_free(name);
	}
	start = process_cpu_us();
	for (i = 0; i < COUNTER_UPDATES; i++)
		counter_add(counter, i & 1);
	report_add(report, "counter.add", "ns", 1,
		   (process_cpu_us() - start) * NS_PER_US / COUNTER_UPDATES);
	start = process_cpu_us();
	for (i = 0; i < COUNTER_UPDATES; i++)
		histogram_add(histogram, i & 1023);
	report_add(report, "histogram.add", "ns", 1,
		   (process_cpu_us() - start) * NS_PER_US / COUNTER_UPDATES);
	start = process_cpu_us();
	for (i = 0; i < RENDERS; i++)
		g_free(counter_render());
	report_add(report, "counter.render", "us", METRICS,
		   (process_cpu_us() - start) / RENDERS);
}
