#ifndef HTTP_TLS_H
#define HTTP_TLS_H

/*
 * TLS contexts for http_call_request_t; the caller frees them with
 * SSL_CTX_free().
 *
 * Errors: ERROR_INVALID; the message names the file and how to correct it.
 */

#include <glib.h>
#include <openssl/ssl.h>

/*
 * Creates a client context that trusts the authorities in a PEM file (NULL: the
 * system's) and requires a certificate for this IP address.
 */
SSL_CTX *tls_client_create(const char *authorities, const char *address,
			   GError **error);

#endif
