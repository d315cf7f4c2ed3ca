#ifndef WIRE_DERIVE_H
#define WIRE_DERIVE_H

/*
 * What is derived by HKDF-SHA256 from the secret that all instances share.
 */

#include <glib.h>

#define DERIVE_SECRET_SIZE 32
#define DERIVE_ID_SIZE	   17 /* 16 hexadecimal digits and NUL */

/* The pre-shared key of TLS. */
void derive_psk(GBytes *shared, unsigned char *secret);

/* The public id of that key. */
void derive_psk_id(GBytes *shared, char *id);

#endif
