#ifndef BASE_HASH_H
#define BASE_HASH_H

/*
 * Hash functions that give the same result on every instance.
 */

#include <glib.h>
#include <stdint.h>

uint64_t hash_text(const char *text);

/*
 * Returns the rendezvous hashing weight of a member for a key.  A key belongs
 * to the member with the highest weight, so that adding or removing a member
 * moves only the keys of that member.
 */
uint64_t hash_rendezvous(const char *key, const char *member);

#endif
