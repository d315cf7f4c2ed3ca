#include "wire/channel.h"

#include <openssl/bio.h>
#include <openssl/crypto.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <string.h>

#include "base/error.h"
#include "wire/derive.h"

#define RECORD_SIZE_MAX 16384 /* plaintext of a TLS record */
#define KEYS_MAX	2

/* Far below the limit of AES-GCM, 2^24 records for one key. */
#define RECORDS_PER_KEY (1 << 22)

typedef struct {
	unsigned char secret[DERIVE_SECRET_SIZE];
	char id[DERIVE_ID_SIZE];
} psk_t;

struct channel_keys {
	SSL_CTX *tls;
	BIO_METHOD *method;
	psk_t psk[KEYS_MAX]; /* by channel_key_t */
	int count;
};

struct channel {
	const channel_keys_t *keys;
	const psk_t *client_psk; /* offered by a client; NULL on a server */
	SSL *ssl;		 /* a server creates it on the first input */
	GByteArray *output;
	const char *input; /* remaining bytes in channel_feed() */
	size_t input_left;
	uint64_t records; /* sent with the current key */
	gboolean is_open;
	gboolean is_failed;
};

/* Abort if a call that can only fail for lack of memory failed. */
static void check_alloc(int rc)
{
	if (rc != 1)
		g_error("no memory for TLS");
}

/* TLS_AES_128_GCM_SHA256; its hash must match that of the pre-shared key. */
static const unsigned char cipher_suite[] = {0x13, 0x01};

/*
 * Create a session for each handshake: the server rejects sessions older than
 * five minutes, so a session can't be kept and reused.
 */
static SSL_SESSION *session_create(SSL *ssl, const psk_t *psk)
{
	SSL_SESSION *session = SSL_SESSION_new();

	g_assert(session);
	check_alloc(SSL_SESSION_set1_master_key(session, psk->secret,
						sizeof(psk->secret)));
	check_alloc(SSL_SESSION_set_cipher(session,
					   SSL_CIPHER_find(ssl, cipher_suite)));
	check_alloc(SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION));
	return session;
}

static int on_use_session(SSL *ssl, const EVP_MD *digest,
			  const unsigned char **id, size_t *id_size,
			  SSL_SESSION **session)
{
	const channel_t *channel = SSL_get_app_data(ssl);

	*id = (const unsigned char *)channel->client_psk->id;
	*id_size = strlen(channel->client_psk->id);
	*session = session_create(ssl, channel->client_psk);
	return 1;
}

/* An unknown key id yields no session, so the handshake fails. */
static int on_find_session(SSL *ssl, const unsigned char *id, size_t id_size,
			   SSL_SESSION **session)
{
	const channel_t *channel = SSL_get_app_data(ssl);
	const channel_keys_t *keys = channel->keys;
	int i;

	*session = NULL;
	for (i = 0; i < keys->count; i++) {
		const psk_t *psk = &keys->psk[i];

		if (id_size == strlen(psk->id) && !memcmp(id, psk->id, id_size))
			*session = session_create(ssl, psk);
	}
	return 1;
}

static int on_bio_write(BIO *bio, const char *data, int size)
{
	channel_t *channel = BIO_get_data(bio);

	g_byte_array_append(channel->output, (const guint8 *)data, (guint)size);
	return size;
}

static int on_bio_read(BIO *bio, char *data, int size)
{
	channel_t *channel = BIO_get_data(bio);
	size_t count = MIN((size_t)size, channel->input_left);

	BIO_clear_retry_flags(bio);
	if (!count) {
		BIO_set_retry_read(bio);
		return -1;
	}
	memcpy(data, channel->input, count);
	channel->input += count;
	channel->input_left -= count;
	return (int)count;
}

static long on_bio_control(BIO *bio, int command, long number, void *pointer)
{
	return command == BIO_CTRL_FLUSH;
}

static BIO_METHOD *method_create(void)
{
	BIO_METHOD *method = BIO_meth_new(
		BIO_get_new_index() | BIO_TYPE_SOURCE_SINK, "channel");

	g_assert(method);
	BIO_meth_set_write(method, on_bio_write);
	BIO_meth_set_read(method, on_bio_read);
	BIO_meth_set_ctrl(method, on_bio_control);
	return method;
}

static SSL_CTX *tls_create(void)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_method());

	g_assert(tls);
	check_alloc(SSL_CTX_set_min_proto_version(tls, TLS1_3_VERSION));
	check_alloc(SSL_CTX_set_max_proto_version(tls, TLS1_3_VERSION));
	check_alloc(SSL_CTX_set_ciphersuites(tls, "TLS_AES_128_GCM_SHA256"));
	check_alloc(SSL_CTX_set1_groups_list(tls, "X25519"));
	check_alloc(SSL_CTX_set_num_tickets(tls, 0));
	SSL_CTX_set_session_cache_mode(tls, SSL_SESS_CACHE_OFF);
	SSL_CTX_set_mode(tls, SSL_MODE_RELEASE_BUFFERS);
	SSL_CTX_set_psk_use_session_callback(tls, on_use_session);
	SSL_CTX_set_psk_find_session_callback(tls, on_find_session);
	return tls;
}

static void add_key(channel_keys_t *keys, GBytes *secret)
{
	psk_t *psk = &keys->psk[keys->count++];

	derive_psk(secret, psk->secret);
	derive_psk_id(secret, psk->id);
}

channel_keys_t *channel_keys_create(GBytes *current, GBytes *previous)
{
	channel_keys_t *keys = g_new0(channel_keys_t, 1);

	keys->tls = tls_create();
	keys->method = method_create();
	add_key(keys, current);
	if (previous)
		add_key(keys, previous);
	return keys;
}

void channel_keys_destroy(channel_keys_t *keys)
{
	SSL_CTX_free(keys->tls);
	BIO_meth_free(keys->method);
	OPENSSL_cleanse(keys->psk, sizeof(keys->psk));
	g_free(keys);
}

gboolean channel_keys_has_previous(const channel_keys_t *keys)
{
	return keys->count > CHANNEL_KEY_PREVIOUS;
}

const char *channel_keys_id(const channel_keys_t *keys, channel_key_t which)
{
	return keys->psk[which].id;
}

static channel_t *channel_create(const channel_keys_t *keys)
{
	channel_t *channel = g_new0(channel_t, 1);

	channel->keys = keys;
	channel->output = g_byte_array_new();
	return channel;
}

static void ssl_create(channel_t *channel)
{
	BIO *bio = BIO_new(channel->keys->method);

	channel->ssl = SSL_new(channel->keys->tls);
	g_assert(channel->ssl && bio);
	BIO_set_data(bio, channel);
	BIO_set_init(bio, 1);
	SSL_set_bio(channel->ssl, bio, bio);
	SSL_set_app_data(channel->ssl, channel);
	if (channel->client_psk) {
		/* Never accept a certificate in place of the key. */
		SSL_set_verify(channel->ssl, SSL_VERIFY_PEER, NULL);
		SSL_set_connect_state(channel->ssl);
	} else {
		SSL_set_accept_state(channel->ssl);
	}
}

channel_t *channel_create_client(const channel_keys_t *keys,
				 channel_key_t which)
{
	channel_t *channel = channel_create(keys);

	g_assert((int)which < keys->count);
	channel->client_psk = &keys->psk[which];
	ssl_create(channel);
	ERR_clear_error();
	SSL_do_handshake(channel->ssl);
	return channel;
}

/* TLS state is allocated on the first input, not for a silent peer. */
channel_t *channel_create_server(const channel_keys_t *keys)
{
	return channel_create(keys);
}

void channel_destroy(channel_t *channel)
{
	SSL_free(channel->ssl);
	g_byte_array_free(channel->output, TRUE);
	g_free(channel);
}

gboolean channel_is_open(const channel_t *channel)
{
	return channel->is_open;
}

static void fail_channel(channel_t *channel, GError **error)
{
	const char *reason = ERR_reason_error_string(ERR_peek_last_error());

	channel->is_failed = TRUE;
	if (channel->is_open)
		error_set(error, ERROR_PROTOCOL,
			  "a TLS record was modified or is missing (%s); the "
			  "connection will be reopened",
			  reason ? reason : "unknown");
	else
		error_set(error, ERROR_UNAUTHENTICATED,
			  "the peer does not hold the membership key (%s); "
			  "give all instances the same key",
			  reason ? reason : "unknown");
	ERR_clear_error();
}

/* FALSE and *error if an SSL call failed; needing more input is no failure. */
static gboolean check_result(channel_t *channel, int rc, GError **error)
{
	switch (SSL_get_error(channel->ssl, rc)) {
	case SSL_ERROR_NONE:
	case SSL_ERROR_WANT_READ:
		return TRUE;
	case SSL_ERROR_ZERO_RETURN:
		channel->is_failed = TRUE;
		error_set(
			error, ERROR_UNAVAILABLE,
			"the peer closed the connection; it will be reopened");
		return FALSE;
	default:
		fail_channel(channel, error);
		return FALSE;
	}
}

static gboolean do_handshake(channel_t *channel, GError **error)
{
	int rc = SSL_do_handshake(channel->ssl);

	if (!check_result(channel, rc, error))
		return FALSE;
	if (rc != 1)
		return TRUE;
	/* A handshake without the pre-shared key used a certificate. */
	if (!SSL_session_reused(channel->ssl)) {
		fail_channel(channel, error);
		return FALSE;
	}
	channel->is_open = TRUE;
	return TRUE;
}

static gboolean read_plaintext(channel_t *channel, channel_handler_t handler,
			       void *ctx, GError **error)
{
	char plaintext[RECORD_SIZE_MAX];
	size_t size;
	int rc;

	for (;;) {
		ERR_clear_error();
		rc = SSL_read_ex(channel->ssl, plaintext, sizeof(plaintext),
				 &size);
		if (rc != 1)
			return check_result(channel, rc, error);
		if (!handler(ctx, plaintext, size))
			return TRUE;
	}
}

gboolean channel_feed(channel_t *channel, const char *data, size_t size,
		      channel_handler_t handler, void *ctx, GError **error)
{
	if (channel->is_failed)
		return TRUE;
	channel->input = data;
	channel->input_left = size;
	if (!channel->ssl)
		ssl_create(channel);
	ERR_clear_error();
	if (!channel->is_open && !do_handshake(channel, error))
		return FALSE;
	if (channel->is_open)
		return read_plaintext(channel, handler, ctx, error);
	return TRUE;
}

gboolean channel_renew(channel_t *channel, GError **error)
{
	ERR_clear_error();
	channel->records = 0;
	if (SSL_key_update(channel->ssl, SSL_KEY_UPDATE_NOT_REQUESTED) == 1 &&
	    SSL_do_handshake(channel->ssl) == 1)
		return TRUE;
	fail_channel(channel, error);
	return FALSE;
}

gboolean channel_send(channel_t *channel, const char *data, size_t size,
		      GError **error)
{
	size_t written;

	g_assert(channel->is_open);
	if (channel->is_failed || !size)
		return TRUE;
	channel->records += size / RECORD_SIZE_MAX + 1;
	if (channel->records > RECORDS_PER_KEY &&
	    !channel_renew(channel, error))
		return FALSE;
	ERR_clear_error();
	if (SSL_write_ex(channel->ssl, data, size, &written) == 1)
		return TRUE;
	fail_channel(channel, error);
	return FALSE;
}

GByteArray *channel_swap_output(channel_t *channel, GByteArray *empty)
{
	GByteArray *output = channel->output;

	channel->output = empty;
	return output;
}

gboolean channel_has_output(const channel_t *channel)
{
	return channel->output->len > 0;
}
