#ifndef OWNER_RUN_H
#define OWNER_RUN_H

/*
 * One run at an owner: who wants it, what it has yielded, how it ended.
 *
 * Pieces of a non-idempotent run are kept, up to RUN_KEPT_MAX bytes, so that
 * whoever comes with the same request identifier can be given the answer of
 * this run.
 */

#include <glib.h>

#include "base/clock.h"
#include "owner/endpoint_client.h"
#include "serve/message.h"
#include "trace/traceparent.h"

#define RUN_KEPT_MAX (1024 * 1024)

typedef enum { RUN_QUEUED, RUN_STARTED, RUN_ENDED } run_state_t;

typedef struct {
	struct endpoint *endpoint;
	uint64_t id; /* within slots_t */
	message_run_t *message;
	void *requester; /* NULL if nobody is there to be told */
	run_state_t state;
	gboolean is_announced; /* MESSAGE_STARTED was sent */
	link_run_t *call;      /* while started */
	GPtrArray *pieces;     /* of GBytes; NULL if none are kept */
	size_t kept;	       /* bytes in pieces */
	gboolean is_overflowed;
	ms_t ended_at;
	message_done_t *done;	  /* for a late attachment */
	message_failed_t *failed; /* likewise */
	ms_t arrived_at;
	ms_t started_at;
	int64_t started_us;
	traceparent_t span;
} run_t;

run_t *run_create(uint64_t id, message_run_t *message, void *requester,
		  ms_t now);
void run_destroy(run_t *run);

/*
 * The kept answer of a run that is done, as in claim/kept_answer.h; NULL if it
 * was too long.  Free with g_string_free().
 */
GString *run_answer(const run_t *run, gboolean is_engine);

/* Keep a piece, if this run keeps them. */
void run_keep(run_t *run, const char *data, size_t size);

#endif
