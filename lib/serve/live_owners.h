#ifndef SERVE_LIVE_OWNERS_H
#define SERVE_LIVE_OWNERS_H

/*
 * The live owners as seen by one process, and the choice of one for a key.
 *
 * The views of two processes may differ for a short time.  The roles that
 * live_owners_choose() assigns (homes, brokers) hold only soft state, so a
 * difference costs performance but not correctness.
 */

#include <glib.h>
#include <stdint.h>

typedef struct live_owners live_owners_t;

typedef struct {
	const char *instance;
	const char *address; /* an IP address */
	int owner_port;
	const char *region;
	const char *failure_domain;
	gboolean is_leaving;
	int64_t generation; /* of the configuration in force there */
} live_owner_t;

live_owners_t *live_owners_create(void);
void live_owners_destroy(live_owners_t *view);

/* Add or replace an owner; copies the strings. */
void live_owners_set(live_owners_t *view, const live_owner_t *owner);
void live_owners_remove(live_owners_t *view, const char *instance);

/* NULL if there is none; valid until the view changes. */
const live_owner_t *live_owners_find(const live_owners_t *view,
				     const char *instance);

unsigned int live_owners_count(const live_owners_t *view);

/*
 * Choose an owner for a key by rendezvous hashing over those that are not
 * leaving; NULL if there are none.
 */
const char *live_owners_choose(const live_owners_t *view, const char *key);

/* The number of owners in a region. */
int live_owners_count_region(const live_owners_t *view, const char *region);

/*
 * Whether an owner is among the count owners with the highest rendezvous
 * weights for a key.
 */
gboolean live_owners_is_top_ranked(const live_owners_t *view, const char *key,
				   const char *instance, int count);

void live_owners_foreach(const live_owners_t *view,
			 void (*visit)(void *ctx, const live_owner_t *owner),
			 void *ctx);

#endif
