#include "wire/derive.h"

#include <openssl/core_names.h>
#include <openssl/kdf.h>
#include <openssl/params.h>
#include <string.h>

#define ID_BYTES ((DERIVE_ID_SIZE - 1) / 2)

static void expand(GBytes *shared, const char *label, unsigned char *out,
		   size_t size)
{
	gsize shared_size;
	gconstpointer data = g_bytes_get_data(shared, &shared_size);
	EVP_KDF *kdf = EVP_KDF_fetch(NULL, "HKDF", NULL);
	EVP_KDF_CTX *ctx = EVP_KDF_CTX_new(kdf);
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(OSSL_KDF_PARAM_DIGEST,
						 "SHA256", 0),
		OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_KEY,
						  (void *)data, shared_size),
		OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_INFO,
						  (void *)label, strlen(label)),
		OSSL_PARAM_construct_end()};

	g_assert(ctx && EVP_KDF_derive(ctx, out, size, params) == 1);
	EVP_KDF_CTX_free(ctx);
	EVP_KDF_free(kdf);
}

void derive_psk(GBytes *shared, unsigned char *secret)
{
	expand(shared, "hawthorncross psk 1", secret, DERIVE_SECRET_SIZE);
}

void derive_psk_id(GBytes *shared, char *id)
{
	unsigned char bytes[ID_BYTES];
	size_t i;

	expand(shared, "hawthorncross psk id 1", bytes, sizeof(bytes));
	for (i = 0; i < sizeof(bytes); i++)
		g_snprintf(id + 2 * i, 3, "%02x", bytes[i]);
}
