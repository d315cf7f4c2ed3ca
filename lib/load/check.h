#ifndef LOAD_CHECK_H
#define LOAD_CHECK_H

/*
 * Checks the answer to one request against the expected output of the engine
 * stand-in (engine_model_token()), which depends on the adapter, the prompt and
 * the index of the token.  An order at a plain service must have run for the
 * first time.
 *
 * Does no I/O: the caller passes in the bytes of the answer as they arrive.
 */

#include <glib.h>
#include <stdint.h>

#include "base/error.h"

typedef struct check check_t;

typedef enum {
	VERDICT_RIGHT,	 /* complete and as expected */
	VERDICT_WRONG,	 /* complete, but not as expected */
	VERDICT_REFUSED, /* an error with a type and an outcome */
	VERDICT_CUT,	 /* incomplete or malformed, without a typed error */
	VERDICT_COUNT
} verdict_t;

typedef struct {
	verdict_t verdict;
	/* Set for VERDICT_REFUSED only. */
	char kind[32]; /* type of the error, such as "overloaded" */
	outcome_t outcome;
} check_result_t;

/*
 * Expect a completion of a number of tokens.  on_token is called for each token
 * of a streamed answer.
 */
check_t *check_create(const char *model, const char *prompt, int64_t tokens,
		      gboolean is_streamed, void (*on_token)(void *ctx),
		      void *ctx);
/*
 * Expect the answer of the plain service stand-in to an order: its id, and a
 * run count of 1.
 */
check_t *check_create_order(const char *order);

void check_destroy(check_t *check);

void check_head(check_t *check, int status);
void check_data(check_t *check, const char *data, size_t size);

/* Get the result; is_cut if the transfer was aborted. */
check_result_t check_end(check_t *check, gboolean is_cut);

const char *verdict_name(verdict_t verdict);

#endif
