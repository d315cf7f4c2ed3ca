#include "serve/placement_feed.h"

#include <string.h>

/* Interval at which the load of an endpoint without updates is re-applied. */
#define REFRESH_MS 5000

/* Rates are sent as integers, in requests per 1000 s. */
#define RATE_SCALE 1000.0

typedef struct {
	char *endpoint;
	char *owner;
	gboolean is_local;
	int64_t epoch;
	uint64_t sequence;
	slots_utilization_t load;
	ms_t applied_at;
} endpoint_row_t;

struct placement_feed {
	placement_feed_actions_t actions;
	void *ctx;
	const char *region;
	const char *failure_domain;
	placement_t *placement;
	updates_reader_t *reader;
	GHashTable *rows; /* endpoint to endpoint_row_t */
	ms_t now;	  /* of the event being handled */
};

static void row_free(gpointer data)
{
	endpoint_row_t *row = data;

	g_free(row->endpoint);
	g_free(row->owner);
	g_free(row);
}

void placement_feed_load_to_update(const slots_utilization_t *load,
				   updates_load_t *news)
{
	news->running = load->running;
	news->waiting = load->waiting;
	news->waiting_load = load->waiting_load;
	news->concurrency = load->concurrency;
	news->free_slots = load->free_slots;
	news->victim_slots = load->victim_slots;
	news->victim_rate = (int)(load->victim_rate * RATE_SCALE);
	news->is_leaving = load->leaving;
}

void placement_feed_load_from_update(const updates_load_t *news,
				     slots_utilization_t *load)
{
	load->running = news->running;
	load->waiting = news->waiting;
	load->waiting_load = news->waiting_load;
	load->concurrency = news->concurrency;
	load->free_slots = news->free_slots;
	load->victim_slots = news->victim_slots;
	load->victim_rate = news->victim_rate / RATE_SCALE;
	load->leaving = news->is_leaving;
}

static endpoint_row_t *get_row(placement_feed_t *feed, const char *endpoint,
			       const char *owner, int64_t epoch)
{
	endpoint_row_t *row = g_hash_table_lookup(feed->rows, endpoint);

	if (!row) {
		row = g_new0(endpoint_row_t, 1);
		row->endpoint = g_strdup(endpoint);
		g_hash_table_insert(feed->rows, row->endpoint, row);
	}
	if (epoch < row->epoch)
		return NULL;
	if (g_strcmp0(row->owner, owner) != 0) {
		g_free(row->owner);
		row->owner = g_strdup(owner);
	}
	/*
	 * A higher epoch belongs to a new ownership, also of a local endpoint.
	 */
	if (epoch > row->epoch) {
		row->sequence = 0;
		row->is_local = FALSE;
	}
	row->epoch = epoch;
	return row;
}

/* Apply an update of one endpoint to the placement table. */
static void apply_update(placement_feed_t *feed, endpoint_row_t *row,
			 const char *const *added, const char *const *removed)
{
	placement_update_t news = {0};

	news.endpoint = row->endpoint;
	news.owner = row->owner;
	news.epoch = (uint64_t)row->epoch;
	/*
	 * The first update of an epoch replaces the state of the previous one.
	 */
	news.snapshot = row->sequence == 0;
	news.sequence = ++row->sequence;
	news.added = added;
	news.removed = news.snapshot ? NULL : removed;
	news.load = row->load;
	row->applied_at = feed->now;
	placement_apply(feed->placement, feed->now, &news);
}

static void remove_row(placement_feed_t *feed, const char *endpoint)
{
	placement_remove_endpoint(feed->placement, endpoint);
	g_hash_table_remove(feed->rows, endpoint);
}

/* Events of the update reader */

static void on_request_state(void *ctx, const char *owner)
{
	placement_feed_t *feed = ctx;

	feed->actions.ask(feed->ctx, owner);
}

static void on_reset(void *ctx, const char *owner)
{
	placement_feed_t *feed = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_row_t *row = value;

		if (row->is_local || g_strcmp0(row->owner, owner) != 0)
			continue;
		placement_remove_endpoint(feed->placement, row->endpoint);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_endpoint(void *ctx, const char *owner,
			const updates_endpoint_t *endpoint)
{
	GPtrArray *added = g_ptr_array_new();
	GPtrArray *removed = g_ptr_array_new();
	placement_feed_t *feed = ctx;
	endpoint_row_t *row;
	guint i;

	for (i = 0; i < endpoint->changes->len; i++) {
		const updates_change_t *change = endpoint->changes->pdata[i];

		g_ptr_array_add(change->is_resident ? added : removed,
				change->adapter);
	}
	g_ptr_array_add(added, NULL);
	g_ptr_array_add(removed, NULL);
	row = get_row(feed, endpoint->endpoint, owner, endpoint->epoch);
	if (row && !row->is_local) {
		placement_feed_load_from_update(&endpoint->load, &row->load);
		if (endpoint->is_dropped)
			remove_row(feed, endpoint->endpoint);
		else
			apply_update(feed, row,
				     (const char *const *)added->pdata,
				     (const char *const *)removed->pdata);
	}
	g_ptr_array_free(added, TRUE);
	g_ptr_array_free(removed, TRUE);
}

placement_feed_t *placement_feed_create(GRand *rand, const char *region,
					const char *failure_domain,
					const placement_feed_actions_t *actions,
					void *ctx)
{
	static const updates_reader_events_t events = {on_request_state,
						       on_reset, on_endpoint};
	placement_feed_t *feed = g_new0(placement_feed_t, 1);
	placement_config_t config;

	feed->actions = *actions;
	feed->ctx = ctx;
	feed->region = region;
	feed->failure_domain = failure_domain;
	placement_config_init(&config);
	feed->placement = placement_create(&config, rand);
	feed->reader = updates_reader_create(&events, feed);
	feed->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	return feed;
}

void placement_feed_destroy(placement_feed_t *feed)
{
	updates_reader_destroy(feed->reader);
	placement_destroy(feed->placement);
	g_hash_table_destroy(feed->rows);
	g_free(feed);
}

placement_t *placement_feed_table(placement_feed_t *feed)
{
	return feed->placement;
}

static gboolean should_follow(const placement_feed_t *feed,
			      const live_owners_t *view, const char *owner)
{
	const live_owner_t *info = live_owners_find(view, owner);

	return info && updates_should_subscribe(
			       feed->region, feed->failure_domain, info->region,
			       info->failure_domain,
			       live_owners_count_region(view, feed->region));
}

void placement_feed_follow(placement_feed_t *feed, const live_owners_t *view,
			   const char *owner, ms_t now)
{
	feed->now = now;
	if (should_follow(feed, view, owner))
		updates_reader_subscribe(feed->reader, owner, now);
}

void placement_feed_follow_connected(placement_feed_t *feed,
				     const live_owners_t *view,
				     const char *owner, ms_t now)
{
	feed->now = now;
	if (should_follow(feed, view, owner))
		updates_reader_connected(feed->reader, owner, now);
}

void placement_feed_unfollow(placement_feed_t *feed, const char *owner)
{
	updates_reader_unsubscribe(feed->reader, owner);
}

void placement_feed_handle_message(placement_feed_t *feed, const char *owner,
				   const updates_message_t *message, ms_t now)
{
	feed->now = now;
	updates_reader_receive(feed->reader, owner, message, now);
}

void placement_feed_update_local(placement_feed_t *feed, const char *endpoint,
				 const char *owner, int64_t epoch,
				 const char *added, const char *removed,
				 const slots_utilization_t *load, ms_t now)
{
	const char *const add[] = {added, NULL};
	const char *const remove[] = {removed, NULL};
	endpoint_row_t *row = get_row(feed, endpoint, owner, epoch);

	if (!row)
		return;
	feed->now = now;
	row->is_local = TRUE;
	row->load = *load;
	apply_update(feed, row, added ? add : NULL, removed ? remove : NULL);
}

void placement_feed_remove_local(placement_feed_t *feed, const char *endpoint)
{
	endpoint_row_t *row = g_hash_table_lookup(feed->rows, endpoint);

	if (row && row->is_local)
		remove_row(feed, endpoint);
}

ms_t placement_feed_due(const placement_feed_t *feed)
{
	return updates_reader_due(feed->reader);
}

void placement_feed_tick(placement_feed_t *feed, ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	feed->now = now;
	updates_reader_tick(feed->reader, now);
	g_hash_table_iter_init(&iter, feed->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_row_t *row = value;

		if (!row->is_local && now - row->applied_at >= REFRESH_MS &&
		    feed->actions.is_up(feed->ctx, row->owner))
			apply_update(feed, row, NULL, NULL);
	}
}
