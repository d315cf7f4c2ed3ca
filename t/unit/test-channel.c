/*
 * Tests of channels: current, previous, wrong and missing keys; modified,
 * replayed, missing and truncated records; confidentiality; key updates;
 * corrupted ClientHello messages.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <openssl/ssl.h>

#include "base/error.h"
#include "wire/channel.h"

#define SECRET	    "the membership key"
#define OTHER	    "another membership"
#define TEXT	    "the caller's own words, which nobody else may read"
#define LONG_SIZE   (1024 * 1024)
#define FUZZ_ROUNDS 5000
#define FUZZ_SEED   11
#define HEADER_SIZE 5 /* header of a TLS record */
#define MESSAGES    100
#define KEY_SIZE    32

typedef struct {
	channel_keys_t *client_keys;
	channel_keys_t *server_keys;
	channel_t *client;
	channel_t *server;
	GByteArray *received; /* plaintext received by either side */
	GError *error;
} pair_t;

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

static void pair_init(pair_t *pair, channel_keys_t *client,
		      channel_keys_t *server, channel_key_t which)
{
	memset(pair, 0, sizeof(*pair));
	pair->client_keys = client;
	pair->server_keys = server;
	pair->client = channel_create_client(client, which);
	pair->server = channel_create_server(server);
	pair->received = g_byte_array_new();
}

static void pair_release(pair_t *pair)
{
	channel_destroy(pair->client);
	channel_destroy(pair->server);
	channel_keys_destroy(pair->client_keys);
	channel_keys_destroy(pair->server_keys);
	g_byte_array_free(pair->received, TRUE);
	g_clear_error(&pair->error);
}

static gboolean on_plain(void *ctx, const char *data, size_t size)
{
	pair_t *pair = ctx;

	g_byte_array_append(pair->received, (const guint8 *)data, (guint)size);
	return TRUE;
}

static gboolean feed(pair_t *pair, channel_t *to, GByteArray *bytes)
{
	g_clear_error(&pair->error);
	return channel_feed(to, (char *)bytes->data, bytes->len, on_plain, pair,
			    &pair->error);
}

static gboolean transfer(pair_t *pair, channel_t *from, channel_t *to)
{
	GByteArray *bytes = channel_swap_output(from, g_byte_array_new());
	gboolean ok = feed(pair, to, bytes);

	g_byte_array_free(bytes, TRUE);
	return ok;
}

static gboolean do_handshake(pair_t *pair)
{
	return transfer(pair, pair->client, pair->server) &&
	       transfer(pair, pair->server, pair->client) &&
	       transfer(pair, pair->client, pair->server);
}

static void pair_open(pair_t *pair)
{
	pair_init(pair, make_keys(SECRET, NULL), make_keys(SECRET, NULL),
		  CHANNEL_KEY_CURRENT);
	assert_true(do_handshake(pair));
	assert_true(channel_is_open(pair->client));
	assert_true(channel_is_open(pair->server));
}

/* Returns the encrypted bytes that the client sends for a text. */
static GByteArray *encrypt_text(pair_t *pair, const char *text)
{
	assert_true(channel_send(pair->client, text, strlen(text), NULL));
	return channel_swap_output(pair->client, g_byte_array_new());
}

static void expect_received(pair_t *pair, const char *text)
{
	assert_int_equal(pair->received->len, strlen(text));
	assert_memory_equal(pair->received->data, text, pair->received->len);
	g_byte_array_set_size(pair->received, 0);
}

static void expect_failed(pair_t *pair)
{
	assert_int_equal(error_kind(pair->error), ERROR_PROTOCOL);
	assert_int_equal(pair->received->len, 0);
	assert_true(channel_has_output(pair->server)); /* the alert */
}

static void test_both_directions(void **state)
{
	char *text = g_strnfill(LONG_SIZE, 'y');
	pair_t pair;

	pair_open(&pair);
	assert_true(channel_send(pair.client, TEXT, strlen(TEXT), NULL));
	assert_true(transfer(&pair, pair.client, pair.server));
	expect_received(&pair, TEXT);
	assert_true(channel_send(pair.server, text, LONG_SIZE, NULL));
	assert_true(transfer(&pair, pair.server, pair.client));
	expect_received(&pair, text);
	pair_release(&pair);
	g_free(text);
}

/* Feeds the server one byte at a time, including the handshake. */
static void test_byte_by_byte(void **state)
{
	GByteArray *bytes;
	pair_t pair;
	guint i;

	pair_init(&pair, make_keys(SECRET, NULL), make_keys(SECRET, NULL),
		  CHANNEL_KEY_CURRENT);
	bytes = channel_swap_output(pair.client, g_byte_array_new());
	for (i = 0; i < bytes->len; i++)
		assert_true(channel_feed(pair.server, (char *)bytes->data + i,
					 1, on_plain, &pair, NULL));
	g_byte_array_free(bytes, TRUE);
	assert_true(transfer(&pair, pair.server, pair.client));
	bytes = encrypt_text(&pair, TEXT);
	for (i = 0; i < bytes->len; i++)
		assert_true(channel_feed(pair.server, (char *)bytes->data + i,
					 1, on_plain, &pair, NULL));
	expect_received(&pair, TEXT);
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);
}

static void test_ciphertext_hides_text(void **state)
{
	GByteArray *bytes;
	pair_t pair;

	pair_open(&pair);
	bytes = encrypt_text(&pair, TEXT);
	assert_true(bytes->len > strlen(TEXT));
	assert_null(memmem(bytes->data, bytes->len, TEXT, strlen(TEXT)));
	assert_null(memmem(bytes->data, bytes->len, TEXT, KEY_SIZE / 2));
	assert_true(feed(&pair, pair.server, bytes));
	expect_received(&pair, TEXT);
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);
}

/* Two streams with the same key and text differ in their ciphertext. */
static void test_streams_differ(void **state)
{
	GByteArray *bytes[2];
	pair_t pair[2];
	int i;

	for (i = 0; i < 2; i++) {
		pair_open(&pair[i]);
		bytes[i] = encrypt_text(&pair[i], TEXT);
	}
	assert_int_equal(bytes[0]->len, bytes[1]->len);
	assert_memory_not_equal(bytes[0]->data + HEADER_SIZE,
				bytes[1]->data + HEADER_SIZE, KEY_SIZE);
	assert_false(feed(&pair[0], pair[0].server, bytes[1]));
	expect_failed(&pair[0]);
	for (i = 0; i < 2; i++) {
		g_byte_array_free(bytes[i], TRUE);
		pair_release(&pair[i]);
	}
}

static void expect_refused(channel_keys_t *client, channel_keys_t *server)
{
	pair_t pair;

	pair_init(&pair, client, server, CHANNEL_KEY_CURRENT);
	assert_false(transfer(&pair, pair.client, pair.server));
	assert_int_equal(error_kind(pair.error), ERROR_UNAUTHENTICATED);
	assert_false(channel_is_open(pair.server));
	/* The alert makes the client fail too. */
	assert_false(transfer(&pair, pair.server, pair.client));
	assert_int_equal(error_kind(pair.error), ERROR_UNAUTHENTICATED);
	assert_false(channel_is_open(pair.client));
	pair_release(&pair);
}

static void test_wrong_key_refused(void **state)
{
	expect_refused(make_keys(OTHER, NULL), make_keys(SECRET, NULL));
	expect_refused(make_keys(OTHER, SECRET), make_keys(SECRET, NULL));
	expect_refused(make_keys(SECRET, NULL),
		       make_keys(OTHER, "and a third"));
}

static void expect_accepted(channel_keys_t *client, channel_keys_t *server,
			    channel_key_t which)
{
	pair_t pair;

	pair_init(&pair, client, server, which);
	assert_true(do_handshake(&pair));
	assert_true(channel_is_open(pair.client));
	assert_true(channel_is_open(pair.server));
	assert_true(channel_send(pair.server, TEXT, strlen(TEXT), NULL));
	assert_true(transfer(&pair, pair.server, pair.client));
	expect_received(&pair, TEXT);
	pair_release(&pair);
}

/* All combinations of keys during a rotation from OTHER to SECRET. */
static void test_previous_key_accepted(void **state)
{
	expect_accepted(make_keys(OTHER, NULL), make_keys(SECRET, OTHER),
			CHANNEL_KEY_CURRENT);
	expect_accepted(make_keys(SECRET, OTHER), make_keys(OTHER, NULL),
			CHANNEL_KEY_PREVIOUS);
	expect_accepted(make_keys(SECRET, OTHER), make_keys(SECRET, OTHER),
			CHANNEL_KEY_CURRENT);
	expect_accepted(make_keys(SECRET, OTHER), make_keys(SECRET, NULL),
			CHANNEL_KEY_CURRENT);
	expect_accepted(make_keys(SECRET, NULL), make_keys(SECRET, OTHER),
			CHANNEL_KEY_CURRENT);
}

static int on_forged(SSL *ssl, const EVP_MD *digest, const unsigned char **id,
		     size_t *id_size, SSL_SESSION **session)
{
	static const unsigned char cipher_suite[] = {0x13, 0x01};
	static const unsigned char wrong_key[KEY_SIZE] = {1};

	*id = SSL_get_app_data(ssl);
	*id_size = strlen((const char *)*id);
	*session = SSL_SESSION_new();
	SSL_SESSION_set1_master_key(*session, wrong_key, sizeof(wrong_key));
	SSL_SESSION_set_cipher(*session, SSL_CIPHER_find(ssl, cipher_suite));
	SSL_SESSION_set_protocol_version(*session, TLS1_3_VERSION);
	return 1;
}

/*
 * The ClientHello of a plain OpenSSL client that knows a public key id but not
 * the key; NULL for a client without a key.
 */
static GByteArray *forged_hello(const char *id)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_client_method());
	GByteArray *bytes = g_byte_array_new();
	SSL *ssl;
	char *data;
	long size;

	if (id)
		SSL_CTX_set_psk_use_session_callback(tls, on_forged);
	ssl = SSL_new(tls);
	SSL_set_app_data(ssl, (void *)id);
	SSL_set_bio(ssl, BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
	SSL_connect(ssl);
	size = BIO_get_mem_data(SSL_get_wbio(ssl), &data);
	g_byte_array_append(bytes, (guint8 *)data, (guint)size);
	SSL_free(ssl);
	SSL_CTX_free(tls);
	return bytes;
}

static void expect_hello_refused(const char *id)
{
	GByteArray *bytes = forged_hello(id);
	pair_t pair;

	pair_init(&pair, make_keys(SECRET, NULL), make_keys(SECRET, NULL),
		  CHANNEL_KEY_CURRENT);
	assert_false(feed(&pair, pair.server, bytes));
	assert_int_equal(error_kind(pair.error), ERROR_UNAUTHENTICATED);
	assert_false(channel_is_open(pair.server));
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);
}

static void test_forged_id_and_no_key_refused(void **state)
{
	channel_keys_t *keys = make_keys(SECRET, NULL);

	expect_hello_refused(channel_keys_id(keys, CHANNEL_KEY_CURRENT));
	expect_hello_refused(NULL);
	channel_keys_destroy(keys);
}

static void test_key_ids(void **state)
{
	channel_keys_t *a = make_keys(SECRET, OTHER);
	channel_keys_t *b = make_keys(OTHER, NULL);

	assert_true(channel_keys_has_previous(a));
	assert_false(channel_keys_has_previous(b));
	assert_string_equal(channel_keys_id(a, CHANNEL_KEY_PREVIOUS),
			    channel_keys_id(b, CHANNEL_KEY_CURRENT));
	assert_string_not_equal(channel_keys_id(a, CHANNEL_KEY_CURRENT),
				channel_keys_id(b, CHANNEL_KEY_CURRENT));
	channel_keys_destroy(a);
	channel_keys_destroy(b);
}

static void test_unencrypted_bytes_refused(void **state)
{
	static const char request[] = "GET /status HTTP/1.1\r\n\r\n";
	pair_t pair;

	pair_init(&pair, make_keys(SECRET, NULL), make_keys(SECRET, NULL),
		  CHANNEL_KEY_CURRENT);
	assert_false(channel_feed(pair.server, request, sizeof(request),
				  on_plain, &pair, &pair.error));
	assert_int_equal(error_kind(pair.error), ERROR_UNAUTHENTICATED);
	/* Input after an error is ignored. */
	assert_true(transfer(&pair, pair.client, pair.server));
	assert_false(channel_is_open(pair.server));
	pair_release(&pair);
}

/* Flips one bit in each byte of a record, including its header. */
static void test_flipped_record_refused(void **state)
{
	guint size = 1;
	guint at;

	for (at = 0; at < size; at++) {
		GByteArray *bytes;
		pair_t pair;

		pair_open(&pair);
		bytes = encrypt_text(&pair, TEXT);
		size = bytes->len;
		bytes->data[at] ^= (guint8)(1 << (at % 8));
		/* A larger length makes the server wait for more bytes. */
		if (feed(&pair, pair.server, bytes))
			assert_in_range(at, 3, HEADER_SIZE - 1);
		else
			assert_int_equal(error_kind(pair.error),
					 ERROR_PROTOCOL);
		assert_int_equal(pair.received->len, 0);
		g_byte_array_free(bytes, TRUE);
		pair_release(&pair);
	}
}

static void test_replayed_and_missing_refused(void **state)
{
	GByteArray *bytes;
	pair_t pair;

	pair_open(&pair);
	bytes = encrypt_text(&pair, TEXT);
	assert_true(feed(&pair, pair.server, bytes));
	expect_received(&pair, TEXT);
	assert_false(feed(&pair, pair.server, bytes));
	expect_failed(&pair);
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);

	pair_open(&pair);
	g_byte_array_free(encrypt_text(&pair, "lost on the way"), TRUE);
	bytes = encrypt_text(&pair, TEXT);
	assert_false(feed(&pair, pair.server, bytes));
	expect_failed(&pair);
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);
}

static void test_truncated_record_not_delivered(void **state)
{
	GByteArray *bytes;
	pair_t pair;

	pair_open(&pair);
	bytes = encrypt_text(&pair, TEXT);
	g_byte_array_set_size(bytes, bytes->len - 1);
	assert_true(feed(&pair, pair.server, bytes));
	assert_int_equal(pair.received->len, 0);
	g_byte_array_free(bytes, TRUE);
	pair_release(&pair);
}

static void test_renewed_key(void **state)
{
	pair_t pair;
	int i;

	pair_open(&pair);
	for (i = 0; i < MESSAGES; i++) {
		channel_t *from = i % 2 ? pair.client : pair.server;
		channel_t *to = i % 2 ? pair.server : pair.client;

		assert_true(channel_renew(from, NULL));
		assert_true(channel_has_output(from));
		assert_true(channel_send(from, TEXT, strlen(TEXT), NULL));
		assert_true(transfer(&pair, from, to));
		expect_received(&pair, TEXT);
	}
	pair_release(&pair);
}

static void test_corrupted_client_hello_refused(void **state)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	channel_keys_t *keys = make_keys(SECRET, NULL);
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		channel_t *client =
			channel_create_client(keys, CHANNEL_KEY_CURRENT);
		channel_t *server = channel_create_server(keys);
		GByteArray *bytes =
			channel_swap_output(client, g_byte_array_new());
		guint i = (guint)g_rand_int_range(rand, 0, (gint32)bytes->len);
		pair_t pair = {.received = g_byte_array_new()};

		bytes->data[i] ^= (guint8)g_rand_int_range(rand, 1, 256);
		for (i++; i < bytes->len; i++)
			bytes->data[i] = (guint8)g_rand_int_range(rand, 0, 256);
		/* The server may wait for more bytes, but must not reply. */
		if (channel_feed(server, (char *)bytes->data, bytes->len,
				 on_plain, &pair, &pair.error))
			assert_false(channel_has_output(server));
		else
			assert_int_equal(error_kind(pair.error),
					 ERROR_UNAUTHENTICATED);
		g_clear_error(&pair.error);
		assert_int_equal(pair.received->len, 0);
		g_byte_array_free(pair.received, TRUE);
		g_byte_array_free(bytes, TRUE);
		channel_destroy(client);
		channel_destroy(server);
	}
	channel_keys_destroy(keys);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_both_directions),
		cmocka_unit_test(test_byte_by_byte),
		cmocka_unit_test(test_ciphertext_hides_text),
		cmocka_unit_test(test_streams_differ),
		cmocka_unit_test(test_wrong_key_refused),
		cmocka_unit_test(test_previous_key_accepted),
		cmocka_unit_test(test_forged_id_and_no_key_refused),
		cmocka_unit_test(test_key_ids),
		cmocka_unit_test(test_unencrypted_bytes_refused),
		cmocka_unit_test(test_flipped_record_refused),
		cmocka_unit_test(test_replayed_and_missing_refused),
		cmocka_unit_test(test_truncated_record_not_delivered),
		cmocka_unit_test(test_renewed_key),
		cmocka_unit_test(test_corrupted_client_hello_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
