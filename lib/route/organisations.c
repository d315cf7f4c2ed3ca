#include "route/organisations.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <string.h>

#define HASH_KEY_BYTES 32

/* Of HMAC-SHA256. */
#define DIGEST_BYTES 32

typedef struct {
	unsigned char bytes[DIGEST_BYTES];
} digest_t;

struct organisations {
	/*
	 * Has the hash key, and is reset for each use: setting up another one
	 * takes seven times as long as the hash of a key.
	 */
	EVP_MAC_CTX *mac;
	GPtrArray *list;       /* of organisation_t */
	GHashTable *by_name;   /* name to organisation_t */
	GHashTable *by_digest; /* digest_t of a key to organisation_t */
};

static void organisation_free(gpointer data)
{
	organisation_t *organisation = data;

	g_free(organisation->name);
	g_free(organisation);
}

static guint digest_hash(gconstpointer data)
{
	guint hash;

	memcpy(&hash, data, sizeof(hash));
	return hash;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, DIGEST_BYTES) == 0;
}

static EVP_MAC_CTX *create_mac(void)
{
	EVP_MAC *hmac = EVP_MAC_fetch(NULL, OSSL_MAC_NAME_HMAC, NULL);
	EVP_MAC_CTX *mac = hmac ? EVP_MAC_CTX_new(hmac) : NULL;
	char digest[] = "SHA256";
	OSSL_PARAM params[] = {OSSL_PARAM_construct_utf8_string(
				       OSSL_MAC_PARAM_DIGEST, digest, 0),
			       OSSL_PARAM_construct_end()};
	unsigned char hash_key[HASH_KEY_BYTES];

	if (!mac || RAND_bytes(hash_key, sizeof(hash_key)) != 1 ||
	    !EVP_MAC_init(mac, hash_key, sizeof(hash_key), params))
		g_error("no keyed hash; check the OpenSSL installation");
	OPENSSL_cleanse(hash_key, sizeof(hash_key));
	EVP_MAC_free(hmac);
	return mac;
}

organisations_t *organisations_create(void)
{
	organisations_t *organisations = g_new0(organisations_t, 1);

	organisations->mac = create_mac();
	organisations->list = g_ptr_array_new_with_free_func(organisation_free);
	organisations->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	organisations->by_digest =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
	return organisations;
}

void organisations_destroy(organisations_t *organisations)
{
	if (!organisations)
		return;
	g_hash_table_destroy(organisations->by_digest);
	g_hash_table_destroy(organisations->by_name);
	g_ptr_array_free(organisations->list, TRUE);
	EVP_MAC_CTX_free(organisations->mac);
	g_free(organisations);
}

static gboolean is_printable(const char *text)
{
	const char *at;

	for (at = text; *at; at++) {
		if (!g_ascii_isprint(*at))
			return FALSE;
	}
	return at > text;
}

static void digest_key(const organisations_t *organisations, const char *key,
		       digest_t *digest)
{
	size_t size = 0;

	if (!EVP_MAC_init(organisations->mac, NULL, 0, NULL) ||
	    !EVP_MAC_update(organisations->mac, (const unsigned char *)key,
			    strlen(key)) ||
	    !EVP_MAC_final(organisations->mac, digest->bytes, &size,
			   sizeof(digest->bytes)) ||
	    size != sizeof(digest->bytes))
		g_error("the keyed hash failed; check the OpenSSL "
			"installation");
}

organisation_t *organisations_add(organisations_t *organisations,
				  const char *name)
{
	organisation_t *organisation;

	if (!is_printable(name) || organisations_find(organisations, name))
		return NULL;
	organisation = g_new0(organisation_t, 1);
	organisation->name = g_strdup(name);
	organisation->priority = -1;
	g_ptr_array_add(organisations->list, organisation);
	g_hash_table_insert(organisations->by_name, organisation->name,
			    organisation);
	return organisation;
}

gboolean organisations_add_key(organisations_t *organisations,
			       organisation_t *organisation, const char *key)
{
	digest_t digest;

	if (!is_printable(key) || strlen(key) > ORGANISATION_KEY_BYTES)
		return FALSE;
	digest_key(organisations, key, &digest);
	if (g_hash_table_contains(organisations->by_digest, &digest))
		return FALSE;
	g_hash_table_insert(organisations->by_digest,
			    g_memdup2(&digest, sizeof(digest)), organisation);
	return TRUE;
}

const organisation_t *
organisations_find_key(const organisations_t *organisations, const char *key)
{
	digest_t digest;

	if (strlen(key) > ORGANISATION_KEY_BYTES)
		return NULL;
	digest_key(organisations, key, &digest);
	return g_hash_table_lookup(organisations->by_digest, &digest);
}

const organisation_t *organisations_find(const organisations_t *organisations,
					 const char *name)
{
	return g_hash_table_lookup(organisations->by_name, name);
}

void organisations_foreach(const organisations_t *organisations,
			   void (*each)(void *ctx,
					const organisation_t *organisation),
			   void *ctx)
{
	guint i;

	for (i = 0; i < organisations->list->len; i++)
		each(ctx, organisations->list->pdata[i]);
}
