#ifndef OWNER_RUN_H
#define OWNER_RUN_H

/*
 * One run of a request at an owner: its requester, the pieces of its answer and
 * its result.
 *
 * The pieces of a non-idempotent run are stored, up to RUN_STORED_MAX bytes, so
 * that a repeat with the same request identifier gets the answer of this run.
 */

#include <glib.h>

#include "base/clock.h"
#include "owner/endpoint_client.h"
#include "serve/message.h"
#include "trace/traceparent.h"

#define RUN_STORED_MAX (1024 * 1024)

typedef enum { RUN_QUEUED, RUN_STARTED, RUN_ENDED } run_state_t;

typedef struct {
	struct endpoint *endpoint;
	uint64_t id; /* key of this request in slots_t */
	message_run_t *message;
	void *requester; /* connection of the entry; NULL if it is closed */
	run_state_t state;
	gboolean is_start_sent; /* MESSAGE_STARTED was sent */
	client_run_t *call;	/* while the state is RUN_STARTED */
	GPtrArray *pieces;	/* of GBytes; NULL if the run is idempotent */
	size_t stored_size;	/* bytes in pieces */
	gboolean is_overflowed; /* the answer exceeded RUN_STORED_MAX */
	ms_t ended_at;
	message_done_t *done;	  /* sent again to a repeat of the request */
	message_failed_t *failed; /* sent again to a repeat of the request */
	ms_t arrived_at;
	ms_t started_at;
	int64_t started_us;
	traceparent_t span;
} run_t;

/* Takes ownership of message. */
run_t *run_create(uint64_t id, message_run_t *message, void *requester,
		  ms_t now);
void run_destroy(run_t *run);

/*
 * Returns the answer of a run that is done, encoded as in
 * claim/stored_answer.h, or NULL if it exceeded RUN_STORED_MAX.  Free it with
 * g_string_free().
 */
GString *run_encode_answer(const run_t *run, gboolean is_engine);

/* Stores a piece of the answer; does nothing for an idempotent run. */
void run_store_piece(run_t *run, const char *data, size_t size);

#endif
