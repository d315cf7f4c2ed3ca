/*
 * Tests of frames: fed byte by byte, oversized, and random bytes.  Modified and
 * replayed frames are rejected by the channel (test-channel.c).
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "wire/codec.h"
#include "wire/frame.h"

#define PAYLOAD_MAX 4096
#define FUZZ_ROUNDS 20000
#define FUZZ_SEED   7

typedef struct {
	int count;
	int64_t sum;
} tally_t;

static gboolean on_message(void *ctx, const msgpack_object *message)
{
	tally_t *tally = ctx;
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	tally->sum += codec_read_int(&reader, 0, INT64_MAX);
	tally->count++;
	return TRUE;
}

static void append_number(GByteArray *out, int64_t number)
{
	codec_writer_t writer;

	codec_write_init(&writer, 5, 1);
	codec_write_int(&writer, number);
	frame_append(out, writer.buffer.data, writer.buffer.size);
	codec_write_release(&writer);
}

static void test_frames_in_pieces(void **state)
{
	frame_reader_t *reader = frame_reader_create(PAYLOAD_MAX);
	GByteArray *bytes = g_byte_array_new();
	tally_t tally = {0, 0};
	guint i;

	for (i = 0; i < 10; i++)
		append_number(bytes, i);
	for (i = 0; i < bytes->len; i++)
		assert_true(frame_reader_feed(reader, (char *)bytes->data + i,
					      1, on_message, &tally, NULL));
	assert_int_equal(tally.count, 10);
	assert_int_equal(tally.sum, 45);
	g_byte_array_free(bytes, TRUE);
	frame_reader_destroy(reader);
}

static void feed_expecting(GByteArray *bytes, error_kind_t kind)
{
	frame_reader_t *reader = frame_reader_create(PAYLOAD_MAX);
	tally_t tally = {0, 0};
	GError *error = NULL;

	assert_false(frame_reader_feed(reader, (char *)bytes->data, bytes->len,
				       on_message, &tally, &error));
	assert_int_equal(error_kind(error), kind);
	assert_int_equal(tally.count, 0);
	g_error_free(error);
	frame_reader_destroy(reader);
}

static void test_oversized_refused(void **state)
{
	GByteArray *bytes = g_byte_array_new();
	char payload[PAYLOAD_MAX + 1] = {0};

	frame_append(bytes, payload, sizeof(payload));
	feed_expecting(bytes, ERROR_TOO_LARGE);
	g_byte_array_free(bytes, TRUE);
}

static void test_random_bytes_never_crash(void **state)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		frame_reader_t *reader = frame_reader_create(PAYLOAD_MAX);
		char bytes[128] = {0};
		tally_t tally = {0, 0};
		gint32 size = g_rand_int_range(rand, 1, sizeof(bytes));
		gint32 i;

		for (i = 0; i < size; i++)
			bytes[i] = (char)g_rand_int_range(rand, 0, 256);
		/* Set a matching length, so that the payload reaches the
		 * decoder. */
		memset(bytes, 0, FRAME_HEADER_SIZE);
		bytes[3] = (char)MAX(0, size - FRAME_HEADER_SIZE);
		frame_reader_feed(reader, bytes, (size_t)size, on_message,
				  &tally, NULL);
		frame_reader_destroy(reader);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frames_in_pieces),
		cmocka_unit_test(test_oversized_refused),
		cmocka_unit_test(test_random_bytes_never_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
