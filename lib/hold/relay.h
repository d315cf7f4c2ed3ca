#ifndef HOLD_RELAY_H
#define HOLD_RELAY_H

/*
 * Who polls the key-value service for news, and who is told by them.
 *
 * Calls of the service are priced and its rates grow more slowly than the
 * fleet.  So a few instances, chosen by a rendezvous hash over those that are
 * alive, poll it as often as news has to be acted on, and tell the others after
 * each poll.  The others poll it rarely while they are told, and as often
 * themselves once they have heard nothing for some time.  Two instances may
 * choose differently for a moment; that costs calls and nothing else.
 *
 * Who polls changes when an instance comes or goes, and a message may be lost.
 * So each telling says from which revision of the service to which it reaches,
 * and one that does not follow on what an instance knows does not count: it
 * polls.  One that polled for all until now tells once more, since the poll
 * that named its successor may have brought other news.
 *
 * What one instance sends to all others passes its own line, before all else
 * that it sends.  News too large for that is not told: the telling begins where
 * it ends, so that each of the others polls for it.
 *
 * Decision code: the time comes in with each call.
 */

#include <glib.h>

#include "base/clock.h"

/* Instances that poll for all; one may die unnoticed for a moment. */
#define RELAY_WATCHERS 2

/*
 * Without news of a watcher for so many poll times, an instance polls itself.
 * That is seen a poll time late at most, and three poll times are less than the
 * time in which news has to be acted on.
 */
#define RELAY_TIMEOUT_POLLS 2

/*
 * An instance that is told polls at least once in so many poll times, so that
 * its revision stays within the history that the service keeps: 10 s of 20 s.
 */
#define RELAY_SKIPS_MAX 16

/*
 * Bytes of one telling to all others together: a fifth of a second of the
 * slowest line that sites name, 10 Mbit/s.  A configuration of 1,050 routes
 * told to 75 others held that line for ten seconds.
 */
#define RELAY_TOLD_MAX_BYTES ((size_t)256 * 1024)

typedef struct relay relay_t;

/* poll_time: from one poll to the next of an instance that polls for all. */
relay_t *relay_create(const char *instance, ms_t poll_time);
void relay_destroy(relay_t *relay);

/* An instance is alive, or no longer. */
void relay_set_instance(relay_t *relay, const char *instance,
			gboolean is_alive);

/* Whether this instance polls for all. */
gboolean relay_is_watcher(const relay_t *relay);

/* All items were read, as of this revision. */
void relay_note_full_read(relay_t *relay, int64_t revision);

/* A poll brought all that came until this revision. */
void relay_note_poll(relay_t *relay, int64_t revision);

/*
 * After each poll: whether its news, of so many bytes, is to be told.  If so,
 * what was taken since the last call is all that came after from and until to;
 * nothing of it is to be told if both are the same.
 */
gboolean relay_prepare_broadcast(relay_t *relay, size_t size, int64_t *from,
				 int64_t *to);

/*
 * A watcher tells what came after from and until to.  FALSE if it does not
 * follow on what is known here; then its items are not to be taken.
 */
gboolean relay_receive_broadcast(relay_t *relay, ms_t now, int64_t from,
				 int64_t to);

/* Whether a poll that is due may be left out; last is the time of the last. */
gboolean relay_may_skip_poll(const relay_t *relay, ms_t now, ms_t last);

#endif
