#ifndef FRONT_MEMORY_BUDGET_H
#define FRONT_MEMORY_BUDGET_H

/*
 * Accounts for the memory that callers make an instance keep, and decides who
 * may keep more.  It does no I/O and reads no clock.
 *
 * Part of the budget is a reserve for requests of ordinary size: a large body
 * can't use it, so that small requests are read while large ones wait.  Answers
 * have a limit of their own within the budget.
 */

#include <glib.h>

#include "base/clock.h"

/* A request whose body is at most this large is of ordinary size. */
#define ORDINARY_BODY_BYTES (64 * 1024)

typedef enum {
	MEMORY_CONNECTIONS, /* their state */
	MEMORY_HEADS,
	MEMORY_BODIES_READ, /* of incomplete requests */
	MEMORY_BODIES_KEPT, /* of delivered requests, for a retry */
	MEMORY_PIPELINED,   /* received after the current request */
	MEMORY_UNSENT,	    /* answers queued for callers */
	MEMORY_ANSWERS,	    /* answers kept until they are relayed */
	MEMORY_PARTS
} memory_part_t;

typedef struct memory_budget memory_budget_t;

/* Sizes in bytes; answers_max limits answers kept and unsent together. */
memory_budget_t *memory_budget_create(size_t total, size_t reserve,
				      size_t answers_max);
void memory_budget_destroy(memory_budget_t *budget);

/*
 * Changes the size of a part, and its gauge
 * hc_callers_memory_bytes{part="..."}.
 */
void memory_budget_change(memory_budget_t *budget, memory_part_t part,
			  gssize change);
size_t memory_budget_used(const memory_budget_t *budget, memory_part_t part);
size_t memory_budget_used_by_all(const memory_budget_t *budget);

/* Whether a request may keep size more; is_ordinary: it may use the reserve. */
gboolean memory_budget_has_room(const memory_budget_t *budget, size_t size,
				gboolean is_ordinary);
/* The largest body that is ever kept. */
size_t memory_budget_body_max(const memory_budget_t *budget);
/*
 * Whether waiting frees memory: a quarter of the budget is held by requests
 * that were delivered, and by their answers.
 */
gboolean memory_budget_is_freed_soon(const memory_budget_t *budget);
/* Whether answers use more than their limit. */
gboolean memory_budget_is_short_for_answers(const memory_budget_t *budget);

/*
 * Weight of an incomplete request that holds these bytes and has received
 * nothing for this time.  The one with the greatest weight is refused first; 0
 * if it holds too little to be worth it.
 */
guint64 memory_request_weight(size_t held, ms_t silent);

/*
 * Progress of a body: it is too slow if within one window it brings less than
 * BODY_RATE_MIN a second.
 */
#define BODY_RATE_MIN 64

typedef struct {
	ms_t since;
	size_t bytes;
} body_progress_t;

void body_progress_begin(body_progress_t *progress, ms_t now);
void body_progress_add(body_progress_t *progress, size_t size);
/* Begins the next window if the present one is over. */
gboolean body_progress_is_slow(body_progress_t *progress, ms_t now,
			       ms_t window);

#endif
