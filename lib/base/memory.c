#include "base/memory.h"

#include <malloc.h>

#define ARENA_MAX 1

void memory_use_single_arena(void)
{
	mallopt(M_ARENA_MAX, ARENA_MAX);
}
