#ifndef SERVE_VIEW_H
#define SERVE_VIEW_H

/*
 * The live owners as seen by one process, and the choice of one for a key.
 *
 * The views of two processes may differ for a short time.  The roles that
 * view_choose() assigns (homes, brokers) hold only soft state, so a difference
 * costs performance but not correctness.
 */

#include <glib.h>
#include <stdint.h>

typedef struct live_owners view_t;

typedef struct {
	const char *instance;
	const char *address; /* an IP address */
	int owner_port;
	const char *region;
	const char *failure_domain;
	gboolean is_leaving;
	int64_t generation; /* of the configuration in force there */
} view_owner_t;

view_t *view_create(void);
void view_destroy(view_t *view);

/* Add or replace an owner; copies the strings. */
void view_set(view_t *view, const view_owner_t *owner);
void view_remove(view_t *view, const char *instance);

/* NULL if there is none; valid until the view changes. */
const view_owner_t *view_find(const view_t *view, const char *instance);

unsigned int view_count(const view_t *view);

/*
 * Choose an owner for a key by rendezvous hashing over those that are not
 * leaving; NULL if there are none.
 */
const char *view_choose(const view_t *view, const char *key);

/* The number of owners in a region. */
int view_count_region(const view_t *view, const char *region);

/*
 * Whether an owner is among the count owners with the highest rendezvous
 * weights for a key.
 */
gboolean view_is_chosen(const view_t *view, const char *key,
			const char *instance, int count);

void view_each(const view_t *view,
	       void (*visit)(void *ctx, const view_owner_t *owner), void *ctx);

#endif
