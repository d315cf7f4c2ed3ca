#include "hold/relay.h"

#include <string.h>

#include "base/hash.h"

/* The key of the rendezvous hash; all instances must use the same. */
static const char poller_key[] = "news";

struct relay {
	char *instance;
	ms_t poll_time;
	ms_t next_interval;	/* up to poll_time */
	double broadcast_max;	/* bytes to all instances together */
	GHashTable *alive;	/* names of live instances */
	int64_t known_revision; /* all updates up to it are known */
	int64_t sent_up_to;	/* end of the last broadcast */
	gboolean was_poller;
	gboolean is_in_sync; /* the last broadcast left no gap */
	ms_t received_at;    /* time of the last broadcast without a gap */
};

relay_t *relay_create(const relay_options_t *options)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->instance = g_strdup(options->instance);
	relay->poll_time = options->poll_time;
	relay->next_interval = MIN(RELAY_FIRST_POLL_MS, options->poll_time);
	relay->broadcast_max =
		options->link_bytes_per_s * RELAY_BROADCAST_MAX_MS / MS_PER_S;
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

static gboolean is_listed(const relay_t *relay)
{
	return g_hash_table_contains(relay->alive, relay->instance);
}

gboolean relay_is_poller(const relay_t *relay)
{
	uint64_t own_weight = hash_rendezvous(poller_key, relay->instance);
	GHashTableIter iter;
	gpointer name;
	int higher = 0;

	if (!is_listed(relay))
		return FALSE;
	g_hash_table_iter_init(&iter, relay->alive);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		higher += hash_rendezvous(poller_key, name) > own_weight;
	return higher < RELAY_POLLERS;
}

void relay_note_full_read(relay_t *relay, int64_t revision)
{
	relay->known_revision = MAX(relay->known_revision, revision);
	relay->sent_up_to = relay->known_revision;
}

void relay_note_poll(relay_t *relay, int64_t revision)
{
	relay->known_revision = MAX(relay->known_revision, revision);
	relay->next_interval = MIN(2 * relay->next_interval, relay->poll_time);
}

ms_t relay_poll_interval(const relay_t *relay)
{
	return relay->next_interval;
}

gboolean relay_prepare_broadcast(relay_t *relay, size_t size, int64_t *from,
				 int64_t *to)
{
	double total_size =
		(double)size * (double)g_hash_table_size(relay->alive);
	gboolean is_poller = relay_is_poller(relay);
	gboolean must_send = is_poller || relay->was_poller;

	relay->was_poller = is_poller;
	*from = total_size > relay->broadcast_max ? relay->known_revision
						  : relay->sent_up_to;
	*to = relay->known_revision;
	relay->sent_up_to = relay->known_revision;
	return must_send;
}

gboolean relay_receive_broadcast(relay_t *relay, ms_t now, int64_t from,
				 int64_t to)
{
	relay->is_in_sync = from <= relay->known_revision;
	if (!relay->is_in_sync)
		return FALSE;
	relay->known_revision = MAX(relay->known_revision, to);
	relay->received_at = now;
	return TRUE;
}

gboolean relay_may_skip_poll(const relay_t *relay, ms_t now, ms_t last)
{
	/* An instance that the others do not know receives no broadcasts. */
	if (!relay->is_in_sync || !is_listed(relay) || relay_is_poller(relay))
		return FALSE;
	return now - relay->received_at <
		       RELAY_TIMEOUT_POLLS * relay->poll_time &&
	       now - last < RELAY_SKIPPED_POLLS_MAX * relay->poll_time;
}
