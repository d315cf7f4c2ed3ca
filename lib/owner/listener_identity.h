#ifndef OWNER_LISTENER_IDENTITY_H
#define OWNER_LISTENER_IDENTITY_H

/*
 * An identifier of the listening socket of an owner, used to prove that a
 * former process has ended.
 *
 * hc-owner listens at its address and port before it requests a lease and until
 * it exits.  Within one boot and one network namespace the kernel lets only one
 * process listen there.  So two processes with the same identifier never ran at
 * the same time.
 */

/*
 * Returns a hash of the boot identifier, the network namespace, the address and
 * the port, or an empty string if the kernel does not provide the first two.
 * Free it with g_free().
 */
char *listener_identity(const char *address, int port);

#endif
