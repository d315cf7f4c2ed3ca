#include "request/assemble.h"

#include <string.h>

#define COUNT_UNKNOWN (-1)

struct assemble {
	assemble_deliver_t deliver;
	void *ctx;
	int64_t next;	 /* number of the first piece not delivered */
	int64_t count;	 /* number of pieces, or COUNT_UNKNOWN */
	int64_t highest; /* highest buffered number, or -1 */
	size_t buffered_bytes;
	/* The buffered pieces, by number modulo the window. */
	GBytes *buffer[ASSEMBLE_WINDOW];
};

assemble_t *assemble_create(assemble_deliver_t deliver, void *ctx)
{
	assemble_t *assemble = g_new0(assemble_t, 1);

	assemble->deliver = deliver;
	assemble->ctx = ctx;
	assemble->count = COUNT_UNKNOWN;
	assemble->highest = -1;
	return assemble;
}

static void clear_buffer(assemble_t *assemble)
{
	if (assemble->highest >= 0) {
		for (int i = 0; i < ASSEMBLE_WINDOW; i++)
			g_clear_pointer(&assemble->buffer[i], g_bytes_unref);
	}
	assemble->highest = -1;
	assemble->buffered_bytes = 0;
}

void assemble_destroy(assemble_t *assemble)
{
	if (!assemble)
		return;
	clear_buffer(assemble);
	g_free(assemble);
}

static void deliver_piece(assemble_t *assemble, const char *data, size_t size)
{
	int64_t number = assemble->next++;

	g_assert(assemble->count == COUNT_UNKNOWN || number < assemble->count);
	assemble->deliver(assemble->ctx, number, data, size);
}

/* Deliver the buffered pieces that are now next in order. */
static void deliver_buffered(assemble_t *assemble)
{
	while (assemble->highest >= assemble->next) {
		GBytes **slot =
			&assemble->buffer[assemble->next % ASSEMBLE_WINDOW];
		GBytes *piece = *slot;
		gconstpointer data;
		gsize size;

		if (!piece)
			return;
		*slot = NULL;
		data = g_bytes_get_data(piece, &size);
		assemble->buffered_bytes -= size;
		deliver_piece(assemble, data, size);
		g_bytes_unref(piece);
	}
	assemble->highest = -1;
	g_assert(assemble->buffered_bytes == 0);
}

static assemble_result_t buffer_piece(assemble_t *assemble, int64_t number,
				      const char *data, size_t size,
				      GError **error)
{
	GBytes **slot = &assemble->buffer[number % ASSEMBLE_WINDOW];

	if (*slot)
		return ASSEMBLE_DUPLICATE;
	if (assemble->buffered_bytes + size > ASSEMBLE_BYTES_MAX) {
		error_set(error, ERROR_TOO_LARGE,
			  "more than %d bytes of pieces are buffered while "
			  "piece %" G_GINT64_FORMAT
			  " is missing; send pieces in order",
			  ASSEMBLE_BYTES_MAX, assemble->next);
		return ASSEMBLE_REJECTED;
	}
	*slot = g_bytes_new(data, size);
	assemble->buffered_bytes += size;
	assemble->highest = MAX(assemble->highest, number);
	return ASSEMBLE_ACCEPTED;
}

assemble_result_t assemble_add(assemble_t *assemble, int64_t number,
			       const char *data, size_t size, GError **error)
{
	if (number < 0 ||
	    (assemble->count != COUNT_UNKNOWN && number >= assemble->count)) {
		error_set(error, ERROR_PROTOCOL,
			  "piece number %" G_GINT64_FORMAT " is outside the "
			  "answer; number pieces from 0 up to the declared "
			  "count",
			  number);
		return ASSEMBLE_REJECTED;
	}
	if (number < assemble->next)
		return ASSEMBLE_DUPLICATE;
	if (number - assemble->next >= ASSEMBLE_WINDOW) {
		error_set(error, ERROR_TOO_LARGE,
			  "piece %" G_GINT64_FORMAT " is more than %d ahead "
			  "of the next one; send pieces in order",
			  number, ASSEMBLE_WINDOW);
		return ASSEMBLE_REJECTED;
	}
	if (number > assemble->next)
		return buffer_piece(assemble, number, data, size, error);
	deliver_piece(assemble, data, size);
	deliver_buffered(assemble);
	return ASSEMBLE_ACCEPTED;
}

gboolean assemble_set_count(assemble_t *assemble, int64_t count, GError **error)
{
	gboolean is_same =
		assemble->count == COUNT_UNKNOWN || assemble->count == count;

	if (count < 0 || !is_same || count < assemble->next ||
	    count <= assemble->highest) {
		error_set(error, ERROR_PROTOCOL,
			  "a count of %" G_GINT64_FORMAT " pieces contradicts "
			  "the earlier count or the received pieces; declare "
			  "the count once",
			  count);
		return FALSE;
	}
	assemble->count = count;
	return TRUE;
}

int64_t assemble_next(const assemble_t *assemble)
{
	return assemble->next;
}

gboolean assemble_is_complete(const assemble_t *assemble)
{
	g_assert(assemble->count == COUNT_UNKNOWN ||
		 assemble->next <= assemble->count);
	return assemble->next == assemble->count;
}

void assemble_discard_buffer(assemble_t *assemble)
{
	clear_buffer(assemble);
	assemble->count = COUNT_UNKNOWN;
}

void assemble_restart(assemble_t *assemble)
{
	assemble_discard_buffer(assemble);
	assemble->next = 0;
}
