#include "hold/relay.h"

#include <math.h>
#include <string.h>

#include "base/hash.h"

/* The key of the rendezvous hash; all instances must use the same. */
static const char poller_key[] = "news";

/* An instance that broadcasts. */
typedef struct {
	ms_t as_of; /* of its newest broadcast, by its clock */
	/*
	 * The least, in ms, that the time here exceeded as_of on arrival.  It
	 * increases slowly, as one clock may run faster than the other.
	 */
	double quickest;
} sender_t;

struct relay {
	char *instance;
	ms_t poll_time;
	ms_t skip_max;
	ms_t next_interval;	/* up to poll_time */
	double broadcast_max;	/* bytes to all instances together */
	GHashTable *alive;	/* names of live instances */
	int64_t history;	/* 0 while it is not known */
	int64_t known_revision; /* all updates up to it are known */
	int64_t sent_up_to;	/* end of the last broadcast */
	ms_t polled_as_of;	/* of the last poll or full read */
	gboolean was_poller;
	GHashTable *senders; /* name to sender_t */
	gboolean is_in_sync; /* the last broadcast left no gap */
	/* Time up to which broadcasts show that nothing is missing. */
	ms_t complete_until;
};

relay_t *relay_create(const relay_options_t *options)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->instance = g_strdup(options->instance);
	relay->poll_time = options->poll_time;
	relay->skip_max = options->skip_max;
	relay->next_interval = MIN(RELAY_FIRST_POLL_MS, options->poll_time);
	relay->broadcast_max =
		options->link_bytes_per_s * RELAY_BROADCAST_MAX_MS / MS_PER_S;
	relay->alive =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	relay->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return relay;
}

void relay_destroy(relay_t *relay)
{
	g_hash_table_destroy(relay->senders);
	g_hash_table_destroy(relay->alive);
	g_free(relay->instance);
	g_free(relay);
}

void relay_set_instance(relay_t *relay, const char *instance, gboolean is_alive)
{
	if (is_alive) {
		g_hash_table_add(relay->alive, g_strdup(instance));
		return;
	}
	g_hash_table_remove(relay->alive, instance);
	g_hash_table_remove(relay->senders, instance);
}

void relay_set_history(relay_t *relay, int64_t history)
{
	relay->history = history;
}

void relay_begin_history(relay_t *relay, int64_t history)
{
	relay_set_history(relay, history);
	relay->known_revision = 0;
	relay->sent_up_to = 0;
	relay->polled_as_of = RELAY_AGE_UNKNOWN;
	relay->is_in_sync = FALSE;
	relay->complete_until = 0;
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
	relay->polled_as_of = RELAY_AGE_UNKNOWN;
	relay->known_revision = MAX(relay->known_revision, revision);
	relay->sent_up_to = relay->known_revision;
}

void relay_note_poll(relay_t *relay, int64_t revision, ms_t as_of)
{
	relay->polled_as_of = as_of;
	relay->known_revision = MAX(relay->known_revision, revision);
	relay->next_interval = MIN(2 * relay->next_interval, relay->poll_time);
}

ms_t relay_poll_interval(const relay_t *relay)
{
	return relay->next_interval;
}

gboolean relay_prepare_broadcast(relay_t *relay, size_t size,
				 relay_range_t *range)
{
	double total_size =
		(double)size * (double)g_hash_table_size(relay->alive);
	gboolean is_poller = relay_is_poller(relay);
	gboolean must_send = is_poller || relay->was_poller;
	gboolean is_too_large = total_size > relay->broadcast_max ||
				size > RELAY_BROADCAST_MAX_BYTES;

	relay->was_poller = is_poller;
	range->from = is_too_large ? relay->known_revision : relay->sent_up_to;
	range->to = relay->known_revision;
	range->as_of = relay->polled_as_of;
	range->history = relay->history;
	relay->sent_up_to = relay->known_revision;
	return must_send;
}

/*
 * Translates as_of from the sender's clock to the one here; 0 if its age is not
 * known.
 */
static ms_t translate_as_of(relay_t *relay, ms_t now, const char *name,
			    ms_t as_of)
{
	sender_t *sender = g_hash_table_lookup(relay->senders, name);
	double lag = (double)(now - as_of);
	double drift;

	if (as_of == RELAY_AGE_UNKNOWN)
		return 0;
	/* Its clock starts anew if its machine does. */
	if (!sender || as_of < sender->as_of) {
		sender = g_new(sender_t, 1);
		*sender = (sender_t){.as_of = as_of, .quickest = lag};
		g_hash_table_insert(relay->senders, g_strdup(name), sender);
		return 0;
	}
	drift = (double)(as_of - sender->as_of) * RELAY_DRIFT_MAX;
	sender->as_of = as_of;
	sender->quickest = MIN(sender->quickest + drift, lag);
	return as_of + (ms_t)floor(sender->quickest);
}

gboolean relay_is_outdated(const relay_t *relay, const relay_range_t *range)
{
	return range->history != RELAY_HISTORY_UNKNOWN &&
	       range->history < relay->history;
}

gboolean relay_receive_broadcast(relay_t *relay, ms_t now, const char *sender,
				 const relay_range_t *range)
{
	ms_t as_of = translate_as_of(relay, now, sender, range->as_of);

	relay->is_in_sync = range->history <= relay->history &&
			    range->from <= relay->known_revision;
	if (!relay->is_in_sync)
		return FALSE;
	relay->known_revision = MAX(relay->known_revision, range->to);
	relay->complete_until = MAX(relay->complete_until, as_of);
	return TRUE;
}

ms_t relay_skip_time(const relay_t *relay, ms_t now, ms_t last)
{
	ms_t age_max = relay->poll_time * RELAY_AGE_MAX_PERCENT / 100;
	ms_t due = last + relay->skip_max;

	/* An instance that the others do not know receives no broadcasts. */
	if (!relay->is_in_sync || !is_listed(relay) || relay_is_poller(relay))
		return 0;
	due = MIN(due, relay->complete_until + age_max);
	return MAX(due - now, 0);
}
