#ifndef HOLD_ENGINE_PACE_H
#define HOLD_ENGINE_PACE_H

/*
 * How long work takes at an engine, in percent of the usual time, as its holder
 * knows it from the engine's answers to this and other instances.
 *
 * An engine states its usual pace in most answers and 2.5 times that at
 * moments.  The median of the newest statements follows the former and, after
 * some answers, a change that lasts.  Statements are ignored after
 * ENGINE_PACE_AGE_MS; with none left the pace is unknown and taken for usual.
 *
 * An object describes one incarnation of an engine.  No I/O and no clock: the
 * time is an argument of each call.
 */

#include <glib.h>

#include "base/clock.h"

/* The pace of an engine that does its work in the usual time. */
#define ENGINE_PACE_USUAL_PERCENT 100

/* Bounds of the result, whatever an engine states. */
#define ENGINE_PACE_MIN_PERCENT 25
#define ENGINE_PACE_MAX_PERCENT 800

/* A statement is ignored after this time. */
#define ENGINE_PACE_AGE_MS 2000

/* Number of statements of which the median is taken. */
#define ENGINE_PACE_STATEMENTS 7

typedef struct {
	int percent[ENGINE_PACE_STATEMENTS]; /* the newest ones, as a ring */
	ms_t noted_at[ENGINE_PACE_STATEMENTS];
	guint count; /* of all statements */
} engine_pace_t;

/* Forgets all statements: the engine is another incarnation. */
void engine_pace_init(engine_pace_t *pace);

/* The engine has stated its pace; 0 for an answer without a statement. */
void engine_pace_note(engine_pace_t *pace, ms_t now, int percent);

/* Returns the pace, or 0 if the engine has not stated it lately. */
int engine_pace_stated(const engine_pace_t *pace, ms_t now);

/* Returns the pace, ENGINE_PACE_USUAL_PERCENT if it is unknown. */
int engine_pace_percent(const engine_pace_t *pace, ms_t now);

#endif
