#ifndef BASE_MEMORY_H
#define BASE_MEMORY_H

/*
 * Keep freed memory in one place.  By default the C library gives each thread
 * an arena of its own, and each that once parsed a large document would keep
 * its memory; the programs run one thread but for that.
 *
 * To be called first in main().
 */
void memory_use_single_arena(void);

#endif
