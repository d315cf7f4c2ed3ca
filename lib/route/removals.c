#include "route/removals.h"

struct removals {
	ms_t absence_min;
	ms_t drain;
	ms_t returned_at;   /* MS_NEVER if the service was never away */
	GHashTable *due_at; /* id of an endpoint to a ms_t */
};

removals_t *removals_create(ms_t heartbeat, ms_t drain)
{
	removals_t *removals = g_new0(removals_t, 1);

	removals->absence_min = heartbeat * REMOVALS_ABSENCE_PERCENT / 100;
	removals->drain = drain;
	removals->returned_at = MS_NEVER;
	removals->due_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return removals;
}

void removals_destroy(removals_t *removals)
{
	g_hash_table_destroy(removals->due_at);
	g_free(removals);
}

gboolean removals_note_return(removals_t *removals, ms_t now, ms_t absence)
{
	if (absence < removals->absence_min)
		return FALSE;
	removals->returned_at = now;
	return TRUE;
}

void removals_note_restored(removals_t *removals, ms_t now)
{
	removals->returned_at = now;
}

gboolean removals_defer(removals_t *removals, ms_t now, const char *id)
{
	ms_t due;

	if (removals->returned_at == MS_NEVER)
		return FALSE;
	due = MIN(removals->returned_at + REMOVALS_REAPPEAR_MS,
		  now + removals->drain);
	if (now >= due)
		return FALSE;
	g_hash_table_insert(removals->due_at, g_strdup(id),
			    g_memdup2(&due, sizeof(due)));
	return TRUE;
}

void removals_cancel(removals_t *removals, const char *id)
{
	g_hash_table_remove(removals->due_at, id);
}

/* Returns the id of the first one that is due, or NULL. */
static const char *find_first(const removals_t *removals, ms_t *due_at)
{
	const char *first = NULL;
	GHashTableIter iter;
	gpointer id;
	gpointer due;

	*due_at = MS_NEVER;
	g_hash_table_iter_init(&iter, removals->due_at);
	while (g_hash_table_iter_next(&iter, &id, &due)) {
		if (*(const ms_t *)due >= *due_at)
			continue;
		*due_at = *(const ms_t *)due;
		first = id;
	}
	return first;
}

ms_t removals_next(const removals_t *removals)
{
	ms_t due;

	find_first(removals, &due);
	return due;
}

char *removals_take_due(removals_t *removals, ms_t now)
{
	ms_t due;
	char *id = g_strdup(find_first(removals, &due));

	if (!id || now < due) {
		g_free(id);
		return NULL;
	}
	g_hash_table_remove(removals->due_at, id);
	return id;
}
