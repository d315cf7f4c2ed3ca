#include "wire/channel.h"

#include <openssl/bio.h>
#include <openssl/crypto.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <string.h>

#include "base/error.h"
#include "wire/derive.h"

#define PLAIN_SIZE 16384 /* the largest record */
#define KEYS_MAX   2

/* Far below the 2^24 records that AES-GCM allows for one key. */
#define RECORDS_A_KEY (1 << 22)

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
	const psk_t *offered; /* by the client */
	SSL *ssl;	      /* of a server, made for the first bytes */
	GByteArray *output;
	const char *input; /* what is being fed */
	size_t input_left;
	uint64_t records; /* sent with the present key */
	gboolean is_open;
	gboolean is_broken;
};

/* What fails for want of memory only. */
static void must(int rc)
{
	if (rc != 1)
		g_error("no memory for TLS");
}

/* The first cipher suite of TLS 1.3, whose hash is that of the keys. */
static const unsigned char suite[] = {0x13, 0x01};

/*
 * Made anew for each handshake: the server refuses a session that is older than
 * five minutes, so that one kept since the start would serve no longer.
 */
static SSL_SESSION *session_create(SSL *ssl, const psk_t *psk)
{
	SSL_SESSION *session = SSL_SESSION_new();

	g_assert(session);
	must(SSL_SESSION_set1_master_key(session, psk->secret,
					 sizeof(psk->secret)));
	must(SSL_SESSION_set_cipher(session, SSL_CIPHER_find(ssl, suite)));
	must(SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION));
	return session;
}

static int on_use_session(SSL *ssl, const EVP_MD *digest,
			  const unsigned char **id, size_t *id_size,
			  SSL_SESSION **session)
{
	const channel_t *channel = SSL_get_app_data(ssl);

	*id = (const unsigned char *)channel->offered->id;
	*id_size = strlen(channel->offered->id);
	*session = session_create(ssl, channel->offered);
	return 1;
}

/* A key that isn't ours yields no session, and so no handshake. */
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
	size_t taken = MIN((size_t)size, channel->input_left);

	BIO_clear_retry_flags(bio);
	if (!taken) {
		BIO_set_retry_read(bio);
		return -1;
	}
	memcpy(data, channel->input, taken);
	channel->input += taken;
	channel->input_left -= taken;
	return (int)taken;
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
	must(SSL_CTX_set_min_proto_version(tls, TLS1_3_VERSION));
	must(SSL_CTX_set_max_proto_version(tls, TLS1_3_VERSION));
	must(SSL_CTX_set_ciphersuites(tls, "TLS_AES_128_GCM_SHA256"));
	must(SSL_CTX_set1_groups_list(tls, "X25519"));
	must(SSL_CTX_set_num_tickets(tls, 0));
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

static void make_ssl(channel_t *channel)
{
	BIO *bio = BIO_new(channel->keys->method);

	channel->ssl = SSL_new(channel->keys->tls);
	g_assert(channel->ssl && bio);
	BIO_set_data(bio, channel);
	BIO_set_init(bio, 1);
	SSL_set_bio(channel->ssl, bio, bio);
	SSL_set_app_data(channel->ssl, channel);
	if (channel->offered) {
		/* No certificate is ever trusted in place of the key. */
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
	channel->offered = &keys->psk[which];
	make_ssl(channel);
	ERR_clear_error();
	SSL_do_handshake(channel->ssl);
	return channel;
}

/* A peer that says nothing costs no TLS state. */
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

static void refuse(channel_t *channel, GError **error)
{
	const char *reason = ERR_reason_error_string(ERR_peek_last_error());

	channel->is_broken = TRUE;
	if (channel->is_open)
		error_set(error, ERROR_PROTOCOL,
			  "a record was changed or is missing (%s); the "
			  "connection is made anew",
			  reason ? reason : "unknown");
	else
		error_set(error, ERROR_UNAUTHENTICATED,
			  "the peer does not hold the membership key (%s); "
			  "give all instances the same key",
			  reason ? reason : "unknown");
	ERR_clear_error();
}

/* FALSE and *error for a fault; what is missing is no fault. */
static gboolean check(channel_t *channel, int rc, GError **error)
{
	switch (SSL_get_error(channel->ssl, rc)) {
	case SSL_ERROR_NONE:
	case SSL_ERROR_WANT_READ:
		return TRUE;
	case SSL_ERROR_ZERO_RETURN:
		channel->is_broken = TRUE;
		error_set(error, ERROR_UNAVAILABLE,
			  "the peer closed the connection; it is made anew");
		return FALSE;
	default:
		refuse(channel, error);
		return FALSE;
	}
}

static gboolean shake_hands(channel_t *channel, GError **error)
{
	int rc = SSL_do_handshake(channel->ssl);

	if (!check(channel, rc, error))
		return FALSE;
	if (rc != 1)
		return TRUE;
	/* A handshake without the key would be by certificate. */
	if (!SSL_session_reused(channel->ssl)) {
		refuse(channel, error);
		return FALSE;
	}
	channel->is_open = TRUE;
	return TRUE;
}

static gboolean read_plain(channel_t *channel, channel_handler_t handler,
			   void *ctx, GError **error)
{
	char plain[PLAIN_SIZE];
	size_t size;
	int rc;

	for (;;) {
		ERR_clear_error();
		rc = SSL_read_ex(channel->ssl, plain, sizeof(plain), &size);
		if (rc != 1)
			return check(channel, rc, error);
		if (!handler(ctx, plain, size))
			return TRUE;
	}
}

gboolean channel_feed(channel_t *channel, const char *data, size_t size,
		      channel_handler_t handler, void *ctx, GError **error)
{
	if (channel->is_broken)
		return TRUE;
	channel->input = data;
	channel->input_left = size;
	if (!channel->ssl)
		make_ssl(channel);
	ERR_clear_error();
	if (!channel->is_open && !shake_hands(channel, error))
		return FALSE;
	if (channel->is_open)
		return read_plain(channel, handler, ctx, error);
	return TRUE;
}

gboolean channel_renew(channel_t *channel, GError **error)
{
	ERR_clear_error();
	channel->records = 0;
	if (SSL_key_update(channel->ssl, SSL_KEY_UPDATE_NOT_REQUESTED) == 1 &&
	    SSL_do_handshake(channel->ssl) == 1)
		return TRUE;
	refuse(channel, error);
	return FALSE;
}

gboolean channel_send(channel_t *channel, const char *data, size_t size,
		      GError **error)
{
	size_t written;

	g_assert(channel->is_open);
	if (channel->is_broken || !size)
		return TRUE;
	channel->records += size / PLAIN_SIZE + 1;
	if (channel->records > RECORDS_A_KEY && !channel_renew(channel, error))
		return FALSE;
	ERR_clear_error();
	if (SSL_write_ex(channel->ssl, data, size, &written) == 1)
		return TRUE;
	refuse(channel, error);
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
