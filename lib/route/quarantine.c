#include "route/quarantine.h"

#include <string.h>

#include "base/log.h"

typedef struct {
	GHashTable *engines; /* those that crashed, and when they last did */
	int score;
	guint moment;	   /* of the last crash that counts in the score */
	guint held_moment; /* of the crash that led to the last hold */
	ms_t last_crash_at;
	ms_t held_until;
	/* The holds of other instances may have ended from then on. */
	ms_t first_end_at;
	ms_t term; /* of the last hold; 0 if there was none */
	ms_t former_term;
} suspect_t;

struct quarantine {
	GRand *rand;
	/* The last moment at which engines crashed, numbered from 1. */
	guint moment;
	ms_t moment_at;
	char *moment_engine;  /* the first of them */
	gboolean is_together; /* others crashed at the same moment */
	GHashTable *suspects; /* part to suspect_t */
	/* Parts that were answered: the newer ones, and those before. */
	GHashTable *proven;
	GHashTable *proven_before;
};

static void suspect_free(gpointer data)
{
	suspect_t *suspect = data;

	g_hash_table_destroy(suspect->engines);
	g_free(suspect);
}

static GHashTable *create_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

quarantine_t *quarantine_create(GRand *rand)
{
	quarantine_t *quarantine = g_new0(quarantine_t, 1);

	quarantine->rand = rand;
	quarantine->suspects = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, suspect_free);
	quarantine->proven = create_set();
	quarantine->proven_before = create_set();
	return quarantine;
}

void quarantine_destroy(quarantine_t *quarantine)
{
	g_hash_table_destroy(quarantine->suspects);
	g_hash_table_destroy(quarantine->proven);
	g_hash_table_destroy(quarantine->proven_before);
	g_free(quarantine->moment_engine);
	g_free(quarantine);
}

static gboolean is_stale(const suspect_t *suspect, ms_t now)
{
	return !suspect->term &&
	       now - suspect->last_crash_at > QUARANTINE_SUSPICION_MS;
}

static gboolean remove_if_stale(gpointer part, gpointer value, gpointer now)
{
	return is_stale(value, *(const ms_t *)now);
}

static suspect_t *get_suspect(quarantine_t *quarantine, ms_t now,
			      const char *part)
{
	suspect_t *suspect = g_hash_table_lookup(quarantine->suspects, part);

	if (suspect && !is_stale(suspect, now))
		return suspect;
	/* Crashes are rare, so this is the time to drop old suspicions. */
	g_hash_table_foreach_remove(quarantine->suspects, remove_if_stale,
				    &now);
	suspect = g_new0(suspect_t, 1);
	suspect->engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(quarantine->suspects, g_strdup(part), suspect);
	return suspect;
}

static gboolean is_proven(const quarantine_t *quarantine, const char *part)
{
	return g_hash_table_contains(quarantine->proven, part) ||
	       g_hash_table_contains(quarantine->proven_before, part);
}

static void hold(suspect_t *suspect, ms_t now, ms_t time)
{
	suspect->first_end_at = now + time;
	suspect->held_until = suspect->first_end_at;
	suspect->former_term = suspect->term;
	suspect->term = time;
	suspect->held_moment = suspect->moment;
}

static ms_t draw_spread(const quarantine_t *quarantine, ms_t time)
{
	ms_t max = time * QUARANTINE_SPREAD_PERCENT / 100;

	return quarantine->rand
		       ? g_rand_int_range(quarantine->rand, 0, (gint32)max + 1)
		       : 0;
}

static gboolean must_be_held(const quarantine_t *quarantine,
			     const suspect_t *suspect, const char *part)
{
	int score_max = is_proven(quarantine, part)
				? QUARANTINE_SCORE_PROVEN_MAX
				: QUARANTINE_SCORE_MAX;

	/* After a hold one crash is enough. */
	return suspect->former_term || suspect->score >= score_max;
}

/* Another engine crashed at this moment: its crashes count less. */
static void reduce_scores(quarantine_t *quarantine)
{
	GHashTableIter iter;
	gpointer part;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->suspects);
	while (g_hash_table_iter_next(&iter, &part, &value)) {
		suspect_t *suspect = value;

		if (suspect->moment != quarantine->moment)
			continue;
		suspect->score -=
			QUARANTINE_SCORE_ALONE - QUARANTINE_SCORE_TOGETHER;
		if (!suspect->held_until ||
		    suspect->held_moment != quarantine->moment ||
		    must_be_held(quarantine, suspect, part))
			continue;
		suspect->held_until = 0;
		suspect->term = suspect->former_term;
		log_info("prompt part released", "part", part, "why",
			 "other engines crashed at the same moment", NULL);
	}
}

static void note_moment(quarantine_t *quarantine, ms_t now, const char *engine)
{
	if (quarantine->moment &&
	    now - quarantine->moment_at < QUARANTINE_SAME_MOMENT_MS) {
		if (!quarantine->is_together &&
		    strcmp(engine, quarantine->moment_engine) != 0) {
			quarantine->is_together = TRUE;
			reduce_scores(quarantine);
		}
		return;
	}
	quarantine->moment++;
	quarantine->moment_at = now;
	quarantine->is_together = FALSE;
	g_free(quarantine->moment_engine);
	quarantine->moment_engine = g_strdup(engine);
}

/* Returns FALSE if the crash was reported before. */
static gboolean add_crash(suspect_t *suspect, ms_t now, const char *engine,
			  ms_t began_at)
{
	const ms_t *last = g_hash_table_lookup(suspect->engines, engine);

	if (last && began_at <= *last)
		return FALSE;
	g_hash_table_insert(suspect->engines, g_strdup(engine),
			    g_memdup2(&now, sizeof(now)));
	return TRUE;
}

gboolean quarantine_note_crash(quarantine_t *quarantine, ms_t now,
			       const char *part, const char *engine,
			       ms_t began_at)
{
	suspect_t *suspect = get_suspect(quarantine, now, part);
	ms_t term = QUARANTINE_FIRST_MS;

	if (suspect->held_until && now >= suspect->held_until) {
		suspect->held_until = 0;
		g_hash_table_remove_all(suspect->engines);
	}
	/* Several instances report one crash. */
	if (!add_crash(suspect, now, engine, began_at))
		return FALSE;
	note_moment(quarantine, now, engine);
	/* The request may have been sent before the hold. */
	if (now < MIN(suspect->held_until, suspect->first_end_at) ||
	    suspect->moment == quarantine->moment)
		return FALSE;
	suspect->moment = quarantine->moment;
	suspect->last_crash_at = now;
	suspect->score += quarantine->is_together ? QUARANTINE_SCORE_TOGETHER
						  : QUARANTINE_SCORE_ALONE;
	if (!suspect->term && !must_be_held(quarantine, suspect, part))
		return FALSE;
	if (suspect->term)
		term = MIN(2 * suspect->term, QUARANTINE_MAX_MS);
	hold(suspect, now, term);
	suspect->held_until += draw_spread(quarantine, term);
	return TRUE;
}

gboolean quarantine_note_answer(quarantine_t *quarantine, const char *part)
{
	if (!g_hash_table_contains(quarantine->proven, part))
		g_hash_table_add(quarantine->proven, g_strdup(part));
	if (g_hash_table_size(quarantine->proven) > QUARANTINE_PROVEN_MAX) {
		g_hash_table_destroy(quarantine->proven_before);
		quarantine->proven_before = quarantine->proven;
		quarantine->proven = create_set();
	}
	return g_hash_table_remove(quarantine->suspects, part);
}

void quarantine_hold(quarantine_t *quarantine, ms_t now, const char *part,
		     ms_t time)
{
	suspect_t *suspect = get_suspect(quarantine, now, part);

	time = MIN(time, QUARANTINE_MAX_MS);
	if (now + time <= suspect->held_until)
		return;
	hold(suspect, now, time);
	/* That instance may end its hold after others do. */
	suspect->first_end_at =
		now + time * 100 / (100 + QUARANTINE_SPREAD_PERCENT);
}

ms_t quarantine_time_left(const quarantine_t *quarantine, ms_t now,
			  const char *part)
{
	const suspect_t *suspect =
		g_hash_table_lookup(quarantine->suspects, part);

	return suspect ? MAX(suspect->held_until - now, 0) : 0;
}

void quarantine_foreach_held(const quarantine_t *quarantine, ms_t now,
			     void (*visit)(void *ctx, const char *part,
					   ms_t time_left),
			     void *ctx)
{
	GHashTableIter iter;
	gpointer part;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->suspects);
	while (g_hash_table_iter_next(&iter, &part, &value)) {
		const suspect_t *suspect = value;

		if (now < suspect->held_until)
			visit(ctx, part, suspect->held_until - now);
	}
}
