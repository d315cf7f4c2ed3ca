#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

/*
 * Commits documents to the key-value service and reads them back.
 *
 * A commit specifies the generation that it is based on.  Its new chunks, its
 * manifest and its history record are written in one transaction that is
 * conditional on the head.  If the chunks don't fit into that transaction, they
 * are written ahead of it and listed in a pending record.  Of two concurrent
 * commits one is accepted; the other ends with ERROR_CONFLICT.
 *
 * If the answer to a transaction is lost, the history is read to find out
 * whether it took effect, and the transaction is retried if it did not.
 *
 * A commit also deletes generations beyond the retention limit, in the same
 * transaction, together with the chunks that no retained generation uses.
 *
 * The text must be validated before it is committed.  The store uses no sockets
 * and no clock: its owner calls config_store_tick() several times a second.
 */

#include <glib.h>

#include "base/clock.h"
#include "config/chunk.h"
#include "kv/kv.h"

/* Default number of retained generations. */
#define STORE_KEPT_DEFAULT 200

/* How long a commit is retried, in milliseconds. */
#define STORE_TIMEOUT_MS 15000

typedef struct config_store config_store_t;

typedef struct {
	int64_t base; /* the generation it is based on; 0 for none */
	/*
	 * A generation that is in force somewhere.  The new one is higher, even
	 * if the service was restored from an older backup.
	 */
	int64_t floor;
	const char *text;
	size_t size;
	/* Unique identifier of the attempt; finds it if the answer is lost. */
	const char *commit;
	const char *author;
	const char *note; /* may be NULL */
	ms_t wall_time;	  /* milliseconds since 1970 */
} store_change_t;

typedef struct {
	/* The accepted generation; the newest one after ERROR_CONFLICT. */
	int64_t generation;
	/* Author of the newest generation after ERROR_CONFLICT, else NULL. */
	const char *author;
	/* From the newest to the rejected text, of difference_t, or NULL. */
	const GPtrArray *differences;
	/* Amount written by an accepted commit. */
	size_t chunks_written;
	size_t bytes_written;
} store_result_t;

/*
 * Errors: ERROR_CONFLICT; ERROR_TOO_LARGE; ERROR_UNAVAILABLE: definitely not
 * committed; ERROR_INTERRUPTED: may have been committed, check the history.
 */
typedef void (*store_commit_done_t)(void *ctx, const store_result_t *result,
				    const GError *error);

/* text and manifest are valid during the call, and NULL on an error. */
typedef void (*store_read_done_t)(void *ctx, const manifest_t *manifest,
				  const char *text, size_t size,
				  const GError *error);

/* Records are ordered from newest to oldest. */
typedef void (*store_history_done_t)(void *ctx,
				     const manifest_t *const *records,
				     size_t count, const GError *error);

/* kept is the number of retained generations, at least 2. */
config_store_t *config_store_create(kv_t *kv, int64_t kept, ms_t now);

/* Destroy the kv_t first: it must not call back afterwards. */
void config_store_destroy(config_store_t *store);

void config_store_tick(config_store_t *store, ms_t now);

/* Copies the change.  Never calls back before it returns. */
void config_store_commit(config_store_t *store, const store_change_t *change,
			 store_commit_done_t done, void *ctx);

/* Read a generation (0: the newest); ERROR_NOT_FOUND if not retained. */
void config_store_read(config_store_t *store, int64_t generation,
		       store_read_done_t done, void *ctx);

void config_store_history(config_store_t *store, store_history_done_t done,
			  void *ctx);

#endif
