#ifndef HOLD_ENGINE_LOCKS_H
#define HOLD_ENGINE_LOCKS_H

/*
 * Which engines this instance holds, that is, may send orders to.
 *
 * The record `hc/engine/ID` names the holder and its incarnation (the lease of
 * its process).  It is taken by compare-and-swap, and the revision of that
 * write is the fencing number of all orders of this tenure: it only grows.
 *
 * A holder orders only while its lease is certainly valid.  A successor takes a
 * record once the holder's instance is gone from the key-value service, and
 * sends its first order no sooner than the predecessor's lease can have ended
 * on its own clock, plus a gap for what may still be under way.  A process that
 * starts anew on the same instance takes its records back at once: no other
 * instance has ordered in between, or the record would be changed.
 *
 * A record that nobody holds goes to the instance that assign_endpoints() gives
 * it to; after HOLDINGS_ORPHAN_MS anybody takes it.
 *
 * Decision code: the time comes in with each call, actions go out through
 * callbacks, which must not call back.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Until an engine that its chosen holder did not take is taken by another:
 * about a lease.
 */
#define HOLDINGS_ORPHAN_MS 2000

/*
 * After its start an instance waits for the others to appear; chosen: a poll
 * of theirs (600 ms) and an answer.
 */
#define HOLDINGS_SETTLE_MS 800

/* Between attempts to take one record; chosen. */
#define HOLDINGS_RETRY_MS 300

typedef struct engine_locks engine_locks_t;

typedef struct {
	const char *instance; /* this one; copied */
	ms_t lease_ttl;	      /* of every instance */
	ms_t order_gap;	      /* between orders of two holders */
} engine_locks_options_t;

typedef struct {
	/* Write the record if its revision is still this (0: none yet). */
	void (*take)(void *ctx, const char *engine, int64_t revision);
	/* A tenure began, or ended. */
	void (*held)(void *ctx, const char *engine);
	void (*lost)(void *ctx, const char *engine);
} engine_locks_actions_t;

engine_locks_t *engine_locks_create(const engine_locks_options_t *options,
				    ms_t now,
				    const engine_locks_actions_t *actions,
				    void *ctx);
void engine_locks_destroy(engine_locks_t *engine_locks);

/* A live instance and its lease; a lease of 0 means that it is gone. */
void engine_locks_set_instance(engine_locks_t *engine_locks, ms_t now,
			       const char *instance, int64_t lease);
guint engine_locks_instance_count(const engine_locks_t *engine_locks);

/* A listed engine, or one that is listed no longer. */
void engine_locks_set_engine(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, gboolean is_listed);

/*
 * The record of an engine.  An empty holder has released it; a revision of 0
 * means that there is none.  Older revisions than one seen are passed over.
 */
void engine_locks_set_record(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, const char *holder,
			     int64_t incarnation, int64_t revision);

/* The lease of this process; 0 while it has none. */
void engine_locks_set_lease(engine_locks_t *engine_locks, ms_t now,
			    int64_t lease);

/* The outcome of take(): the new revision, or 0. */
void engine_locks_write_done(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, int64_t revision);

/* Take what is due; valid_until is that of the lease of this process. */
void engine_locks_tick(engine_locks_t *engine_locks, ms_t now,
		       ms_t valid_until);

/* The instance that holds the engine and is alive, or NULL. */
const char *engine_locks_holder(const engine_locks_t *engine_locks,
				const char *engine);

/* Asked right before each order. */
gboolean engine_locks_may_order(const engine_locks_t *engine_locks, ms_t now,
				ms_t valid_until, const char *engine);

/* The fencing number; asserts engine_locks_may_order(). */
int64_t engine_locks_fencing_number(engine_locks_t *engine_locks, ms_t now,
				    ms_t valid_until, const char *engine);

/* Visit the engines held here and the revisions of their records. */
void engine_locks_foreach_held(const engine_locks_t *engine_locks,
			       void (*visit)(void *ctx, const char *engine,
					     int64_t revision),
			       void *ctx);

#endif
