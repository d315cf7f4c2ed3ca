#ifndef HOLD_RELAY_H
#define HOLD_RELAY_H

/*
 * Which instances poll the key-value service for updates, and how the others
 * receive them.
 *
 * Calls of the service have a cost, and its rate limits grow more slowly than
 * the fleet.  So a few instances, the pollers, poll it as often as updates have
 * to be acted on, and broadcast the updates to the others after each poll.  The
 * pollers are the first live instances in the order of a rendezvous hash.  The
 * others poll rarely while they receive broadcasts, and as often as a poller
 * once they have received none for some time.  Two instances may choose
 * different pollers for a moment; that costs additional calls and nothing else.
 *
 * Pollers change when an instance comes or goes, and a message may be lost.  So
 * each broadcast states the revisions of the service between which it is
 * complete.  An instance that does not know the first of them ignores the
 * broadcast and polls.  An instance that stops being a poller sends one more
 * broadcast, since the poll that named its successor may have returned further
 * updates.
 *
 * A poller may be slow and a broadcast may be held up on its way, so what it
 * says is as old as the poll behind it, not as its arrival.  It carries the
 * time of that poll by the sender's clock.  The receiver takes the quickest
 * broadcast of each sender for one without delay, and what another one takes
 * longer for its age.  The first one of a sender only sets that scale.
 *
 * The service may come back from an older copy and give out revisions again.
 * Its histories are numbered, and a broadcast states the one that its revisions
 * belong to.  A former one says nothing; a later one shows that this instance
 * has to poll.
 *
 * A broadcast to all instances occupies the sender's network link ahead of all
 * other traffic.  Updates too large for that are not broadcast: the broadcast
 * then covers an empty range that starts after them, so that each of the others
 * notices the gap and polls.
 *
 * After a start many changes arrive that others wait for, so the first polls
 * follow each other faster, each after twice the time of the one before.
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>

#include "base/clock.h"

/*
 * Number of pollers: more than one, as the death of one may go unnoticed for a
 * moment.
 */
#define RELAY_POLLERS 2

/*
 * Age of what an instance knows at which it polls for itself, in percent of a
 * poll interval.  A poller that waits for an update broadcasts every other
 * interval.
 */
#define RELAY_AGE_MAX_PERCENT 250

/* Most by which the steady clocks of two machines differ in speed, as a share.
 */
#define RELAY_DRIFT_MAX 0.0005

/* The interval of the first polls after a start. */
#define RELAY_FIRST_POLL_MS 150

/*
 * Limit on the time for which one broadcast to all instances may occupy the
 * sender's link.
 */
#define RELAY_BROADCAST_MAX_MS 200

/*
 * Limit on the size of the updates in one broadcast: half of the largest
 * message that an instance accepts (wire/frame.h).
 */
#define RELAY_BROADCAST_MAX_BYTES (2 * 1024 * 1024)

typedef struct relay relay_t;

typedef struct {
	const char *instance; /* copied */
	ms_t poll_time;	      /* usual poll interval of a poller */
	/*
	 * An instance that receives broadcasts still polls this long after its
	 * last poll, so that its revision stays within the history that the
	 * service keeps.
	 */
	ms_t skip_max;
	double link_bytes_per_s; /* bandwidth of the instance's own link */
} relay_options_t;

/* What a broadcast says of itself. */
typedef struct {
	/* All updates after revision from up to revision to are in it. */
	int64_t from;
	int64_t to;
	/*
	 * No update after revision to had been made then, by the sender's
	 * clock; RELAY_AGE_UNKNOWN if the sender does not tell.
	 */
	ms_t as_of;
	/*
	 * The service's history; RELAY_HISTORY_UNKNOWN if the sender does not
	 * tell.
	 */
	int64_t history;
} relay_range_t;

#define RELAY_AGE_UNKNOWN     (-1)
#define RELAY_HISTORY_UNKNOWN (-1)

relay_t *relay_create(const relay_options_t *options);
void relay_destroy(relay_t *relay);

/* Adds a live instance, or removes one that is gone. */
void relay_set_instance(relay_t *relay, const char *instance,
			gboolean is_alive);

/* The number of the service's history, as it is stated for the first time. */
void relay_set_history(relay_t *relay, int64_t history);
/* The service has another history: nothing of it is known yet. */
void relay_begin_history(relay_t *relay, int64_t history);

/* Whether this instance is a poller. */
gboolean relay_is_poller(const relay_t *relay);

/* This instance has read all items, as of this revision. */
void relay_note_full_read(relay_t *relay, int64_t revision);

/*
 * A poll has returned all updates up to this revision, which were all that
 * existed at the time as_of.
 */
void relay_note_poll(relay_t *relay, int64_t revision, ms_t as_of);

/*
 * To be called after each poll; size is the size of the updates in bytes.
 * Returns whether to broadcast.  If so, *range tells which the updates since
 * the last call are.  If its revisions are equal, the broadcast carries none.
 */
gboolean relay_prepare_broadcast(relay_t *relay, size_t size,
				 relay_range_t *range);

/* Whether a broadcast is of a former history, and must be ignored. */
gboolean relay_is_outdated(const relay_t *relay, const relay_range_t *range);

/*
 * Handles a broadcast of the instance named sender.  Returns FALSE if updates
 * before it are missing here; its items must then be ignored.
 */
gboolean relay_receive_broadcast(relay_t *relay, ms_t now, const char *sender,
				 const relay_range_t *range);

/* Returns the time from the last poll to the next one. */
ms_t relay_poll_interval(const relay_t *relay);

/*
 * Returns for how long a poll that is due may still be left out, 0 if not at
 * all; last is the time of the last poll.
 */
ms_t relay_skip_time(const relay_t *relay, ms_t now, ms_t last);

#endif
