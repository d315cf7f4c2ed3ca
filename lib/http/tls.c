#include "http/tls.h"

#include "base/error.h"

SSL_CTX *tls_client_create(const char *authorities, const char *address,
			   GError **error)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_client_method());
	int ok;

	g_assert(tls);
	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	if (authorities)
		ok = SSL_CTX_load_verify_locations(tls, authorities, NULL);
	else
		ok = SSL_CTX_set_default_verify_paths(tls);
	if (ok != 1 || X509_VERIFY_PARAM_set1_ip_asc(SSL_CTX_get0_param(tls),
						     address) != 1) {
		error_set(
			error, ERROR_INVALID,
			"can't set up verification of %s with the authorities "
			"in %s; give a PEM file and an IP address",
			address, authorities ? authorities : "the system");
		SSL_CTX_free(tls);
		return NULL;
	}
	SSL_CTX_set_verify(tls, SSL_VERIFY_PEER, NULL);
	return tls;
}
