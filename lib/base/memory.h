#ifndef BASE_MEMORY_H
#define BASE_MEMORY_H

/*
 * Limits malloc to one arena.  By default glibc gives each thread its own
 * arena, and every arena in which a large document was parsed would retain its
 * freed memory.  Lock contention is no concern, as the programs are
 * single-threaded apart from that parsing.
 *
 * Call this before any other function in main().
 */
void memory_use_single_arena(void);

#endif
