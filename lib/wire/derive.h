#ifndef WIRE_DERIVE_H
#define WIRE_DERIVE_H

/*
 * Keys derived by HKDF-SHA256 from the secret that all instances share.
 */

#include <glib.h>

#define DERIVE_SECRET_SIZE 32
#define DERIVE_ID_SIZE	   17 /* 16 hexadecimal digits and NUL */

/* Derive the TLS pre-shared key. */
void derive_psk(GBytes *shared, unsigned char *secret);

/* Derive the public id of the pre-shared key. */
void derive_psk_id(GBytes *shared, char *id);

#endif
