#ifndef FOLLOW_FOLLOW_H
#define FOLLOW_FOLLOW_H

/*
 * Runs a follower on a libuv loop: a timer ticks it, and documents are parsed
 * on the thread pool of libuv.
 */

#include <uv.h>

#include "config/follower.h"

typedef struct follow follow_t;

/* actions->parse is ignored; ctx is passed to the other actions. */
follow_t *follow_create(uv_loop_t *loop, kv_t *kv,
			const follower_actions_t *actions, void *ctx);

/* The follower, to pass offers and peers' replies and read the document. */
follower_t *follow_get_follower(follow_t *follow);

/* Close the timer, so that the loop can end. */
void follow_stop(follow_t *follow);

/* Free; call after the loop has ended and the kv_t is destroyed. */
void follow_destroy(follow_t *follow);

#endif
