#include "hold/relay.h"

#include <string.h>

#include "base/hash.h"

/* The key by which watchers are chosen. */
static const char watcher_key[] = "news";

struct relay {
	char *instance;
	ms_t poll_time;
	GHashTable *alive; /* names of instances */
	int64_t known;	   /* all news until this revision was taken */
	int64_t told;	   /* what relay_prepare_broadcast() reached last */
	gboolean was_watcher;
	gboolean has_heard;
	ms_t heard_at;
};

relay_t *relay_create(const char *instance, ms_t poll_time)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->instance = g_strdup(instance);
	relay->poll_time = poll_time;
	relay->alive =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return relay;
}

void relay_destroy(relay_t *relay)
{
	g_hash_table_destroy(relay->alive);
	g_free(relay->instance);
	g_free(relay);
}

void relay_set_instance(relay_t *relay, const char *instance, gboolean is_alive)
{
	if (is_alive)
		g_hash_table_add(relay->alive, g_strdup(instance));
	else
		g_hash_table_remove(relay->alive, instance);
}

static gboolean is_known(const relay_t *relay)
{
	return g_hash_table_contains(relay->alive, relay->instance);
}

gboolean relay_is_watcher(const relay_t *relay)
{
	uint64_t own = hash_rendezvous(watcher_key, relay->instance);
	GHashTableIter iter;
	gpointer name;
	int better = 0;

	if (!is_known(relay))
		return FALSE;
	g_hash_table_iter_init(&iter, relay->alive);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		better += hash_rendezvous(watcher_key, name) > own;
	return better < RELAY_WATCHERS;
}

void relay_note_full_read(relay_t *relay, int64_t revision)
{
	relay_note_poll(relay, revision);
	relay->told = relay->known;
}

void relay_note_poll(relay_t *relay, int64_t revision)
{
	relay->known = MAX(relay->known, revision);
}

gboolean relay_prepare_broadcast(relay_t *relay, size_t size, int64_t *from,
				 int64_t *to)
{
	size_t all = size * g_hash_table_size(relay->alive);
	gboolean is_watcher = relay_is_watcher(relay);
	gboolean is_due = is_watcher || relay->was_watcher;

	relay->was_watcher = is_watcher;
	*from = all > RELAY_TOLD_MAX_BYTES ? relay->known : relay->told;
	*to = relay->known;
	relay->told = relay->known;
	return is_due;
}

gboolean relay_receive_broadcast(relay_t *relay, ms_t now, int64_t from,
				 int64_t to)
{
	relay->has_heard = from <= relay->known;
	if (!relay->has_heard)
		return FALSE;
	relay->known = MAX(relay->known, to);
	relay->heard_at = now;
	return TRUE;
}

gboolean relay_may_skip_poll(const relay_t *relay, ms_t now, ms_t last)
{
	/* Nobody tells one that the others do not know. */
	if (!relay->has_heard || !is_known(relay) || relay_is_watcher(relay))
		return FALSE;
	return now - relay->heard_at < RELAY_TIMEOUT_POLLS * relay->poll_time &&
	       now - last < RELAY_SKIPS_MAX * relay->poll_time;
}
