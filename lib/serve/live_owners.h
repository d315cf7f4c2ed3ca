#ifndef SERVE_LIVE_OWNERS_H
#define SERVE_LIVE_OWNERS_H

/*
 * The live owners as one process sees them, and who of them answers for a key.
 *
 * Two processes may see different owners for a moment.  What is chosen by
 * live_owners_choose() (homes, brokers) is soft state, so that this costs speed
 * and never correctness.
 */

#include <glib.h>
#include <stdint.h>

typedef struct view live_owners_t;

typedef struct {
	const char *instance;
	const char *address; /* an IP number */
	int owner_port;
	const char *region;
	const char *failure_domain;
	gboolean is_leaving;
	int64_t generation; /* of the document in force there */
} live_owner_t;

live_owners_t *live_owners_create(void);
void live_owners_destroy(live_owners_t *view);

/* Add or replace; the texts are copied. */
void live_owners_set(live_owners_t *view, const live_owner_t *owner);
void live_owners_remove(live_owners_t *view, const char *instance);

/* NULL if it is not there; valid until the next change. */
const live_owner_t *live_owners_find(const live_owners_t *view,
				     const char *instance);

unsigned int live_owners_count(const live_owners_t *view);

/*
 * Rendezvous hashing over the owners that are not leaving; NULL if there are
 * none.
 */
const char *live_owners_choose(const live_owners_t *view, const char *key);

/* Owners in a region. */
int live_owners_count_region(const live_owners_t *view, const char *region);

/*
 * Whether the weight of an owner for a key is among the highest few, as many as
 * count.
 */
gboolean live_owners_is_top_ranked(const live_owners_t *view, const char *key,
				   const char *instance, int count);

void live_owners_foreach(const live_owners_t *view,
			 void (*visit)(void *ctx, const live_owner_t *owner),
			 void *ctx);

#endif
