#ifndef HOLD_ENGINE_LOCKS_H
#define HOLD_ENGINE_LOCKS_H

/*
 * The locks on engines: only the instance that holds the lock on an engine may
 * send orders to it.
 *
 * The record `hc/engine/ID` names the holder and its incarnation (the lease of
 * its process).  It is acquired by compare-and-swap.  The revision of that
 * write, after the number of the service's history, is the fencing number of
 * all orders sent while the instance holds the lock, so it only grows.
 *
 * A holder sends orders only while its lease is certainly valid.  A successor
 * acquires the lock once the holder's instance is gone from the key-value
 * service.  It sends its first order only after the predecessor's lease has
 * expired on the predecessor's own clock, and after a further gap for orders
 * that may still be in transit.  A restarted process of the same instance
 * acquires its locks again and sends orders at once: if another instance had
 * held the lock in between, the record would name it.
 *
 * The service may come back from an older copy: it has another history then, in
 * which locks may have their former holders or none.  The last holder may not
 * know that yet, but it sends no order after its lease has expired.  So no
 * orders are sent for that time and the gap, whoever the record names.  Only a
 * holder whose lease expired less than the gap ago goes on: a successor would
 * still have waited.  A
 * record of a former history does not say who held the lock last; a process
 * that finds one, or none, as it starts waits alike, unless the engine says
 * that it has never had an order.
 *
 * A lock without a holder is acquired by the instance to which
 * assign_endpoints() assigns the engine.  If it does not acquire it, the others
 * follow one after the other in the order of a rendezvous hash, from
 * ENGINE_LOCKS_ORPHAN_MS on, so that a large fleet does not write all at once.
 * Who is assigned what, and the order of succession, are computed once for each
 * set of live instances and listed engines.
 *
 * No I/O and no clock: the time is an argument of each call, and actions are
 * callbacks, which must not call back.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Delay until the first other instance may acquire a lock that the assigned
 * instance has not acquired: about the lease's TTL.
 */
#define ENGINE_LOCKS_ORPHAN_MS 2000

/* Delay between one such instance and the next: a poll and a write. */
#define ENGINE_LOCKS_SUCCESSION_MS 1000

/*
 * Delay after the start of an instance until it acquires locks that it did not
 * hold before, so that all live instances are known: one poll interval of the
 * others (600 ms) and the answer to the poll.
 */
#define ENGINE_LOCKS_STARTUP_MS 800

/*
 * Interval at which all engines are looked at while nothing has changed; short
 * beside the delays above.
 */
#define ENGINE_LOCKS_SCAN_MS 50

/* Interval of attempts to acquire one lock. */
#define ENGINE_LOCKS_RETRY_MS 300

typedef struct engine_locks engine_locks_t;

typedef struct {
	const char *instance; /* this instance; copied */
	ms_t lease_ttl;	      /* of every instance */
	ms_t order_gap;	      /* between orders of two holders */
} engine_locks_options_t;

typedef struct {
	/* Write the record if it still has this revision (0: no record). */
	void (*take)(void *ctx, const char *engine, int64_t revision);
	/* This instance has acquired the lock, or has lost it. */
	void (*held)(void *ctx, const char *engine);
	void (*lost)(void *ctx, const char *engine);
} engine_locks_actions_t;

engine_locks_t *engine_locks_create(const engine_locks_options_t *options,
				    ms_t now,
				    const engine_locks_actions_t *actions,
				    void *ctx);
void engine_locks_destroy(engine_locks_t *engine_locks);

/* Sets the lease of a live instance; 0 means that the instance is gone. */
void engine_locks_set_instance(engine_locks_t *engine_locks, ms_t now,
			       const char *instance, int64_t lease);
guint engine_locks_instance_count(const engine_locks_t *engine_locks);

/* Adds a listed engine, or marks it as no longer listed. */
void engine_locks_set_engine(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, gboolean is_listed);

/*
 * The service has the history with this number, as this instance learns now.
 * All records have to be set again if it is not the first one.  valid_until is
 * of this process's lease in the history before.
 */
void engine_locks_begin_history(engine_locks_t *engine_locks, ms_t now,
				ms_t valid_until, int64_t history);
/* Returns 0 while it is not known. */
int64_t engine_locks_history(const engine_locks_t *engine_locks);

/* The record of an engine. */
typedef struct {
	const char *holder;  /* empty if the lock was released */
	int64_t incarnation; /* the holder's lease */
	int64_t revision;    /* 0 if there is no record */
	int64_t history;     /* in which it was written */
} engine_lock_t;

/*
 * Sets the record of an engine.  A revision that is not newer than the known
 * one in this history is ignored.
 */
void engine_locks_set_record(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, const engine_lock_t *record);

/* Sets the lease of this process; 0 while it has none. */
void engine_locks_set_lease(engine_locks_t *engine_locks, ms_t now,
			    int64_t lease);

/* Handles the result of take(): the new revision, or 0 if it failed. */
void engine_locks_write_done(engine_locks_t *engine_locks, ms_t now,
			     const char *engine, int64_t revision);

/*
 * Calls take() for each lock that this instance should acquire, while the lease
 * of this process is valid, that is, before valid_until.
 */
void engine_locks_tick(engine_locks_t *engine_locks, ms_t now,
		       ms_t valid_until);

/* Returns the live instance that holds the lock, or NULL. */
const char *engine_locks_holder(const engine_locks_t *engine_locks,
				const char *engine);

/* The engine has had no order since it started: nobody has held its lock. */
void engine_locks_note_untouched(engine_locks_t *engine_locks,
				 const char *engine);

/* Whether an order may be sent now; to be checked right before each order. */
gboolean engine_locks_may_order(const engine_locks_t *engine_locks, ms_t now,
				ms_t valid_until, const char *engine);

/*
 * Returns the fencing number for an order to be sent now; asserts
 * engine_locks_may_order().
 */
int64_t engine_locks_fencing_number(engine_locks_t *engine_locks, ms_t now,
				    ms_t valid_until, const char *engine);

/* Calls visit() for each lock held here, with the revision of its record. */
void engine_locks_foreach_held(const engine_locks_t *engine_locks,
			       void (*visit)(void *ctx, const char *engine,
					     int64_t revision),
			       void *ctx);

#endif
