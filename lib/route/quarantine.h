#ifndef ROUTE_QUARANTINE_H
#define ROUTE_QUARANTINE_H

/*
 * Which shared parts of prompts crash the engines that process them.
 *
 * A crash accuses each part of each request that ran on the engine, and most of
 * them are innocent.  What tells a guilty part from the others is that no
 * request with it is ever answered in full.  So a part is suspected from its
 * first crash on, an answer in full ends the suspicion, and a part that goes on
 * to be there when engines crash is held: requests with it are not sent.  A
 * part that has been answered before has to be there more often.
 *
 * Several engines that crash at the same moment most likely have another cause
 * in common, such as a rack without power.  Together they count half as much as
 * one engine that crashes alone.
 *
 * Several instances report one crash, each with the time at which its request
 * was sent.  An engine that starts again, also under its former id, crashes
 * once more if the request was sent after the last crash of it.
 *
 * A part is held for some time, longer each time.  Afterwards one more crash is
 * enough.  The instances end their holds one after the other, so that the first
 * request that is sent then can tell the others whether the part still crashes
 * engines.  Crashes and answers of all instances are to be noted here.
 *
 * No I/O and no clock: the time is an argument of each call.
 */

#include <glib.h>

#include "base/clock.h"

/* What a crash counts of one engine alone, and of several at the same moment.
 */
#define QUARANTINE_SCORE_ALONE	  2
#define QUARANTINE_SCORE_TOGETHER 1

/*
 * Scores at which a part is held: one that has never been answered, and one
 * that has been answered before.
 */
#define QUARANTINE_SCORE_MAX	    6
#define QUARANTINE_SCORE_PROVEN_MAX 10

/* Crashes less apart than this are at the same moment. */
#define QUARANTINE_SAME_MOMENT_MS 20

/* Without another crash a suspicion ends after this time. */
#define QUARANTINE_SUSPICION_MS 60000

/* How long a part is held at first; doubled each time up to the maximum. */
#define QUARANTINE_FIRST_MS (60 * MS_PER_S)
#define QUARANTINE_MAX_MS   (4 * 60 * 60 * MS_PER_S)

/* By how much an instance prolongs each hold at the most, at random. */
#define QUARANTINE_SPREAD_PERCENT 50

/*
 * Parts that are remembered as answered: between this number and twice of it.
 */
#define QUARANTINE_PROVEN_MAX 8192

typedef struct quarantine quarantine_t;

/* rand: spreads the ends of holds over the instances; NULL for no spread. */
quarantine_t *quarantine_create(GRand *rand);
void quarantine_destroy(quarantine_t *quarantine);

/*
 * An engine has crashed while a request with the part ran there; it was sent
 * at began_at, and so was any other one that the engine ran then, or before.
 * Returns TRUE if the part
 * is held from now on, and was not before.
 */
gboolean quarantine_note_crash(quarantine_t *quarantine, ms_t now,
			       const char *part, const char *engine,
			       ms_t began_at);

/*
 * A request with the part was answered in full.  Returns TRUE if that ends a
 * suspicion, or releases the part.
 */
gboolean quarantine_note_answer(quarantine_t *quarantine, const char *part);

/* Holds the part for this time, as another instance does. */
void quarantine_hold(quarantine_t *quarantine, ms_t now, const char *part,
		     ms_t time);

/* Returns how long the part is still held; 0 if it is not. */
ms_t quarantine_time_left(const quarantine_t *quarantine, ms_t now,
			  const char *part);

/* Calls visit for each part that is held. */
void quarantine_foreach_held(const quarantine_t *quarantine, ms_t now,
			     void (*visit)(void *ctx, const char *part,
					   ms_t time_left),
			     void *ctx);

#endif
