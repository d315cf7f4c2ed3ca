#include "serve/live_owners.h"

#include <string.h>

#include "base/hash.h"

struct view {
	GHashTable *owners; /* instance to live_owner_t */
};

static void owner_free(gpointer data)
{
	live_owner_t *owner = data;

	g_free((char *)owner->instance);
	g_free((char *)owner->address);
	g_free((char *)owner->region);
	g_free((char *)owner->failure_domain);
	g_free(owner);
}

live_owners_t *live_owners_create(void)
{
	live_owners_t *view = g_new0(live_owners_t, 1);

	view->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     owner_free);
	return view;
}

void live_owners_destroy(live_owners_t *view)
{
	g_hash_table_destroy(view->owners);
	g_free(view);
}

void live_owners_set(live_owners_t *view, const live_owner_t *owner)
{
	live_owner_t *copy = g_memdup2(owner, sizeof(*owner));

	copy->instance = g_strdup(owner->instance);
	copy->address = g_strdup(owner->address);
	copy->region = g_strdup(owner->region);
	copy->failure_domain = g_strdup(owner->failure_domain);
	g_hash_table_replace(view->owners, (char *)copy->instance, copy);
}

void live_owners_remove(live_owners_t *view, const char *instance)
{
	g_hash_table_remove(view->owners, instance);
}

const live_owner_t *live_owners_find(const live_owners_t *view,
				     const char *instance)
{
	return g_hash_table_lookup(view->owners, instance);
}

unsigned int live_owners_count(const live_owners_t *view)
{
	return g_hash_table_size(view->owners);
}

const char *live_owners_choose(const live_owners_t *view, const char *key)
{
	const char *chosen = NULL;
	GHashTableIter iter;
	uint64_t best = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, view->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const live_owner_t *owner = value;
		uint64_t weight;

		if (owner->is_leaving)
			continue;
		weight = hash_rendezvous(key, owner->instance);
		/* Equal weights: the name decides, the same everywhere. */
		if (!chosen || weight > best ||
		    (weight == best && strcmp(owner->instance, chosen) > 0)) {
			best = weight;
			chosen = owner->instance;
		}
	}
	return chosen;
}

int live_owners_count_region(const live_owners_t *view, const char *region)
{
	GHashTableIter iter;
	gpointer value;
	int count = 0;

	g_hash_table_iter_init(&iter, view->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const live_owner_t *owner = value;

		count += !g_strcmp0(owner->region, region);
	}
	return count;
}

gboolean live_owners_is_top_ranked(const live_owners_t *view, const char *key,
				   const char *instance, int count)
{
	uint64_t own = hash_rendezvous(key, instance);
	GHashTableIter iter;
	gpointer value;
	int better = 0;

	g_hash_table_iter_init(&iter, view->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const live_owner_t *owner = value;

		if (owner->is_leaving || !strcmp(owner->instance, instance))
			continue;
		better += hash_rendezvous(key, owner->instance) > own;
	}
	return better < count;
}

void live_owners_foreach(const live_owners_t *view,
			 void (*visit)(void *ctx, const live_owner_t *owner),
			 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(ctx, value);
}
