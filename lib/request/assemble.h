#ifndef REQUEST_ASSEMBLE_H
#define REQUEST_ASSEMBLE_H

/*
 * Reassembly of the numbered pieces of one answer.
 *
 * Pieces are numbered from 0.  Each piece is delivered once and in order, as
 * soon as all pieces before it have been delivered.  A piece that arrives early
 * is buffered within a window; a duplicate is dropped.  The answer is complete
 * when its number of pieces is known and all of them have been delivered.
 */

#include <glib.h>
#include <stdint.h>

#include "base/error.h"

/* Limits of the buffer: pieces after the first missing one, and their bytes. */
#define ASSEMBLE_WINDOW	   1024
#define ASSEMBLE_BYTES_MAX (4 * 1024 * 1024)

typedef struct assemble assemble_t;

/* Called for each piece in order; data is valid only during the call. */
typedef void (*assemble_deliver_t)(void *ctx, int64_t number, const char *data,
				   size_t size);

typedef enum {
	ASSEMBLE_ACCEPTED,  /* delivered or buffered */
	ASSEMBLE_DUPLICATE, /* received before; dropped */
	ASSEMBLE_REJECTED   /* dropped, *error is set */
} assemble_result_t;

assemble_t *assemble_create(assemble_deliver_t deliver, void *ctx);
void assemble_destroy(assemble_t *assemble);

/*
 * Add a piece.  Fails with ERROR_PROTOCOL if the number is negative or not
 * below the number of pieces, and with ERROR_TOO_LARGE if the piece does not
 * fit into the buffer.
 */
assemble_result_t assemble_add(assemble_t *assemble, int64_t number,
			       const char *data, size_t size, GError **error);

/*
 * Set the number of pieces of the answer.  Fails with ERROR_PROTOCOL if it was
 * set to a different number before, or if a later piece was received.
 */
gboolean assemble_set_count(assemble_t *assemble, int64_t count,
			    GError **error);

/* The number of the first missing piece, from which a stream is resumed. */
int64_t assemble_next(const assemble_t *assemble);

/* Whether all pieces of the answer have been delivered. */
gboolean assemble_is_complete(const assemble_t *assemble);

/*
 * Drop the buffered pieces and the number of pieces, before another attempt
 * resumes the stream.  Delivered pieces still count as delivered.
 */
void assemble_discard_buffer(assemble_t *assemble);

/* Start over at piece 0; allowed only if the caller has received nothing. */
void assemble_restart(assemble_t *assemble);

#endif
