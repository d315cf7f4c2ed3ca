#ifndef FRONT_EVENT_ORDER_H
#define FRONT_EVENT_ORDER_H

/*
 * Follows the ids of a stream's events, so that a stream goes on at another
 * endpoint exactly where it broke off.  No I/O.
 *
 * Ids that are whole numbers have to increase; how far they are apart is
 * learned from the stream.  Of other ids only a repeat of the last is noticed.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	char *last_id;	/* of the newest event; NULL if it can't be resumed */
	int64_t number; /* last_id as a number, or -1 */
	int64_t step;	/* largest between two events; 0 if not known */
} event_order_t;

/* last_id: that after which the caller resumes a stream, or NULL. */
void event_order_init(event_order_t *order, const char *last_id);
void event_order_release(event_order_t *order);

/*
 * Checks an event of an endpoint's answer, and records it if it is in order.
 * text is the complete event.  resumed: it belongs to a resumed answer, and is
 * the first one of it for EVENT_RESUMES.  Returns NULL, or what is wrong.
 */
typedef enum { EVENT_OF_RUN, EVENT_RESUMES, EVENT_OF_RESUMED } event_place_t;

const char *event_order_accept(event_order_t *order, const char *text,
			       size_t size, event_place_t place);

/* Whether an event is a piece of the answer, and not a comment. */
gboolean event_has_data(const char *text, size_t size);

#endif
