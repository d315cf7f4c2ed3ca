#ifndef FRONT_ANSWER_CHECK_H
#define FRONT_ANSWER_CHECK_H

/*
 * Decides what becomes of an endpoint's answer, by its head and by what the
 * caller has received before it.  Asked once for each attempt.  No I/O.
 *
 * Not decided here: whether the bytes are an answer at all, of which length and
 * in which transfer coding (http1_reader), and whether the events of a resumed
 * stream go on where it broke off (event_order).
 */

#include <glib.h>

typedef struct {
	gboolean is_begun;  /* the caller has received a part of an answer */
	gboolean is_stream; /* the route's answers are streams of events */
	int status;
	gboolean is_signed; /* it has the endpoint's signature */
	/* It has a content coding: it is not the endpoint's own body. */
	gboolean is_encoded;
	gboolean is_event_stream; /* its content type is that of events */
} answer_facts_t;

typedef enum {
	/* A valid success, which begins or continues the caller's answer. */
	ANSWER_RELAY,
	/*
	 * No success.  Once it is complete, its status decides about another
	 * attempt; if the caller's answer has begun, no byte of it is relayed.
	 */
	ANSWER_HOLD,
	/* A success that isn't valid; the attempt has failed. */
	ANSWER_REFUSE
} answer_use_t;

/* *why is a short reason for logs if the result is ANSWER_REFUSE. */
answer_use_t answer_check(const answer_facts_t *facts, const char **why);

#endif
