#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t hash_text(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

uint64_t hash_rendezvous(const char *key, const char *member)
{
	return XXH3_64bits_withSeed(key, strlen(key), hash_text(member));
}
