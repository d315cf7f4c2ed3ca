#include "base/memory.h"

#include <malloc.h>

#define ARENAS 1

void memory_use_single_arena(void)
{
	mallopt(M_ARENA_MAX, ARENAS);
}
