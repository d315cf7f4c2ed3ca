/* A client rejects a server that has a certificate instead of the key. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include "base/error.h"
#include "wire/channel.h"

#define SECRET	   "the membership key"
#define LIFETIME_S 3600

static gboolean on_plain(void *ctx, const char *data, size_t size)
{
	fail_msg("the channel delivered plaintext");
	return FALSE;
}

static X509 *make_certificate(EVP_PKEY *key)
{
	X509 *certificate = X509_new();
	X509_NAME *name = X509_get_subject_name(certificate);

	X509_set_version(certificate, X509_VERSION_3);
	X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
	X509_gmtime_adj(X509_getm_notAfter(certificate), LIFETIME_S);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)"owner", -1, -1, 0);
	X509_set_issuer_name(certificate, name);
	X509_set_pubkey(certificate, key);
	assert_true(X509_sign(certificate, key, NULL) > 0);
	return certificate;
}

static SSL *make_rogue(SSL_CTX *tls)
{
	EVP_PKEY *key = EVP_PKEY_Q_keygen(NULL, NULL, "EC", "P-256");
	X509 *certificate = make_certificate(key);
	SSL *ssl;

	assert_int_equal(SSL_CTX_use_certificate(tls, certificate), 1);
	assert_int_equal(SSL_CTX_use_PrivateKey(tls, key), 1);
	ssl = SSL_new(tls);
	SSL_set_bio(ssl, BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
	SSL_set_accept_state(ssl);
	EVP_PKEY_free(key);
	X509_free(certificate);
	return ssl;
}

static void test_certificate_refused(void **state)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());
	GBytes *secret = g_bytes_new_static(SECRET, strlen(SECRET));
	channel_keys_t *keys = channel_keys_create(secret, NULL);
	channel_t *client = channel_create_client(keys, CHANNEL_KEY_CURRENT);
	GByteArray *hello = channel_swap_output(client, g_byte_array_new());
	SSL *rogue = make_rogue(tls);
	GError *error = NULL;
	char *answer;
	long size;

	BIO_write(SSL_get_rbio(rogue), hello->data, (int)hello->len);
	SSL_do_handshake(rogue);
	size = BIO_get_mem_data(SSL_get_wbio(rogue), &answer);
	/* More than an alert: the rogue server continued without the key. */
	assert_true(size > 256);
	assert_false(channel_feed(client, answer, (size_t)size, on_plain, NULL,
				  &error));
	assert_int_equal(error_kind(error), ERROR_UNAUTHENTICATED);
	assert_false(channel_is_open(client));
	g_error_free(error);
	SSL_free(rogue);
	SSL_CTX_free(tls);
	g_byte_array_free(hello, TRUE);
	channel_destroy(client);
	channel_keys_destroy(keys);
	g_bytes_unref(secret);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_certificate_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
