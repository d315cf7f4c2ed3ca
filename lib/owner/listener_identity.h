#ifndef OWNER_PLACE_H
#define OWNER_PLACE_H

/*
 * Where the process of an owner is, told apart from every place where another
 * process could run at the same time.
 *
 * hc-owner listens at its address and port before it asks for a lease, and
 * until it ends.  Within one boot and one network namespace the kernel lets one
 * process listen there.  So two processes at one place ran one after the other.
 */

/* Empty if the kernel doesn't tell; free with g_free(). */
char *place_identity(const char *address, int port);

#endif
