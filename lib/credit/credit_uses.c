#include "credit/credit_uses.h"

#include <string.h>

struct credit_uses {
	credit_window_t granted; /* by anyone */
	GHashTable *untold;	 /* home to credit_window_t */
};

credit_uses_t *credit_uses_create(void)
{
	credit_uses_t *uses = g_new0(credit_uses_t, 1);

	uses->untold =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return uses;
}

void credit_uses_destroy(credit_uses_t *uses)
{
	g_hash_table_destroy(uses->untold);
	g_free(uses);
}

/* All that was granted, if the home has not been asked before. */
static credit_window_t *untold(credit_uses_t *uses, const char *home)
{
	credit_window_t *window = g_hash_table_lookup(uses->untold, home);

	if (window)
		return window;
	window = g_memdup2(&uses->granted, sizeof(uses->granted));
	g_hash_table_insert(uses->untold, g_strdup(home), window);
	return window;
}

void credit_uses_note_granted(credit_uses_t *uses, ms_t now, const char *home,
			      double cost)
{
	GHashTableIter iter;
	gpointer name;
	gpointer window;

	credit_window_add(&uses->granted, now, cost);
	g_hash_table_iter_init(&iter, uses->untold);
	while (g_hash_table_iter_next(&iter, &name, &window)) {
		if (g_strcmp0(name, home))
			credit_window_add(window, now, cost);
	}
}

void credit_uses_note_returned(credit_uses_t *uses, ms_t now, const char *home,
			       double cost)
{
	GHashTableIter iter;
	gpointer name;
	gpointer window;

	credit_window_take(&uses->granted, now, cost);
	g_hash_table_iter_init(&iter, uses->untold);
	while (g_hash_table_iter_next(&iter, &name, &window)) {
		if (g_strcmp0(name, home))
			credit_window_take(window, now, cost);
	}
}

credit_window_t *credit_uses_tell(credit_uses_t *uses, ms_t now,
				  const char *home, credit_ask_t *ask)
{
	credit_window_t *window = untold(uses, home);
	credit_window_t *told;

	ask->elsewhere_count = credit_window_read(window, now, ask->elsewhere);
	if (!ask->elsewhere_count)
		return NULL;
	told = g_memdup2(window, sizeof(*window));
	memset(window, 0, sizeof(*window));
	return told;
}

void credit_uses_tell_again(credit_uses_t *uses, ms_t now, const char *home,
			    const credit_window_t *told)
{
	credit_use_t list[CREDIT_SLOTS];
	guint count;
	guint i;

	if (!told)
		return;
	count = credit_window_read(told, now, list);
	for (i = 0; i < count; i++)
		credit_window_add(untold(uses, home), now - list[i].age,
				  list[i].amount);
}

void credit_uses_forget(credit_uses_t *uses, const char *home)
{
	g_hash_table_remove(uses->untold, home);
}
