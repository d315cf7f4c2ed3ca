#ifndef FOLLOW_FOLLOW_H
#define FOLLOW_FOLLOW_H

/*
 * A follower on a libuv loop: it is ticked by a timer, and documents are parsed
 * on the loop's thread pool.
 */

#include <uv.h>

#include "config/follower.h"

typedef struct follow follow_t;

/* The member parse of the actions is not used; ctx is for the others. */
follow_t *follow_create(uv_loop_t *loop, kv_t *kv,
			const follower_actions_t *actions, void *ctx);

/* For offers, answers of peers, and the document in force. */
follower_t *follow_get_follower(follow_t *follow);

/* Stop the timer, so that the loop can end. */
void follow_stop(follow_t *follow);

/* After the loop has ended and the kv_t is destroyed. */
void follow_destroy(follow_t *follow);

#endif
