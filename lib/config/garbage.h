#ifndef CONFIG_GARBAGE_H
#define CONFIG_GARBAGE_H

/*
 * Garbage collection during a commit: deletes generations beyond the retention
 * limit, and chunks that no retained generation uses any more.
 *
 * The deletions are part of the transaction that accepts the commit.  A
 * concurrent commit that relies on a deleted chunk therefore can't be accepted:
 * its condition on the head fails.
 */

#include "config/chunk.h"
#include "kv/kv.h"

/* The writes of one transaction and the strings that they refer to. */
typedef struct {
	GArray *list;	    /* of kv_write_t */
	GPtrArray *strings; /* owned */
	size_t bytes;	    /* total size of all values */
} writes_t;

void writes_init(writes_t *writes);
void writes_release(writes_t *writes);

/* Takes ownership of key and value; a NULL value deletes the key. */
void writes_add(writes_t *writes, char *key, int64_t expected, char *value,
		size_t size);

typedef struct {
	GPtrArray *history; /* of manifest_t, oldest first */
	GPtrArray *pending; /* of manifest_t */
	const manifest_t *accepted;
	int64_t base; /* the generation that the accepted one is based on */
	int64_t kept; /* number of generations to retain */
} garbage_input_t;

/* Append at most max_writes writes. */
void collect_garbage(const garbage_input_t *input, size_t max_writes,
		     writes_t *writes);

#endif
