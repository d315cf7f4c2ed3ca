#ifndef CONFIG_GARBAGE_H
#define CONFIG_GARBAGE_H

/*
 * What a commit deletes: generations beyond those kept, and chunks that no kept
 * generation uses any more.
 *
 * The deletions are part of the transaction that accepts the commit.  So a
 * chunk is never deleted under another commit that counts on it: that commit's
 * condition on the head fails.
 */

#include "config/chunk.h"
#include "kv/kv.h"

/* Writes of one transaction, with what they point at. */
typedef struct {
	GArray *list;	    /* of kv_write_t */
	GPtrArray *strings; /* owned */
	size_t bytes;	    /* of all values */
} writes_t;

void writes_init(writes_t *writes);
void writes_release(writes_t *writes);

/* Takes over key and value; a NULL value deletes the key. */
void writes_add(writes_t *writes, char *key, int64_t expected, char *value,
		size_t size);

typedef struct {
	GPtrArray *history; /* of manifest_t, the oldest first */
	GPtrArray *pending; /* of manifest_t */
	const manifest_t *accepted;
	int64_t base; /* the generation before the accepted one */
	int64_t kept;
} collect_input_t;

/* Add at most room writes. */
void collect(const collect_input_t *input, size_t room, writes_t *writes);

#endif
