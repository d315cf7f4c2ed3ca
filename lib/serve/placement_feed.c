#include "serve/placement_feed.h"

#include <string.h>

/* The load of a quiet endpoint is repeated so often. */
#define REFRESH_MS 5000

/* Rates go over the wire as requests in 1000 s. */
#define RATE_SCALE 1000.0

typedef struct {
	char *endpoint;
	char *owner;
	gboolean is_local;
	int64_t epoch;
	uint64_t sequence;
	slots_utilization_t load;
	ms_t told_at;
} row_t;

struct table {
	placement_feed_actions_t actions;
	void *ctx;
	const char *region;
	const char *failure_domain;
	placement_t *placement;
	updates_reader_t *reader;
	GHashTable *rows; /* endpoint to row_t */
	ms_t now;	  /* of the event being handled */
};

static void row_free(gpointer data)
{
	row_t *row = data;

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

static row_t *get_row(placement_feed_t *table, const char *endpoint,
		      const char *owner, int64_t epoch)
{
	row_t *row = g_hash_table_lookup(table->rows, endpoint);

	if (!row) {
		row = g_new0(row_t, 1);
		row->endpoint = g_strdup(endpoint);
		g_hash_table_insert(table->rows, row->endpoint, row);
	}
	if (epoch < row->epoch)
		return NULL;
	if (g_strcmp0(row->owner, owner) != 0) {
		g_free(row->owner);
		row->owner = g_strdup(owner);
	}
	/* A higher epoch is of another tenure, also where one was local. */
	if (epoch > row->epoch) {
		row->sequence = 0;
		row->is_local = FALSE;
	}
	row->epoch = epoch;
	return row;
}

/* Tell the placement table of an endpoint. */
static void tell(placement_feed_t *table, row_t *row, const char *const *added,
		 const char *const *removed)
{
	placement_update_t news = {0};

	news.endpoint = row->endpoint;
	news.owner = row->owner;
	news.epoch = (uint64_t)row->epoch;
	/* Nothing is known of what a former epoch had. */
	news.snapshot = row->sequence == 0;
	news.sequence = ++row->sequence;
	news.added = added;
	news.removed = news.snapshot ? NULL : removed;
	news.load = row->load;
	row->told_at = table->now;
	placement_apply(table->placement, table->now, &news);
}

static void forget_row(placement_feed_t *table, const char *endpoint)
{
	placement_remove_endpoint(table->placement, endpoint);
	g_hash_table_remove(table->rows, endpoint);
}

/* Events of the reader. */

static void on_ask(void *ctx, const char *owner)
{
	placement_feed_t *table = ctx;

	table->actions.ask(table->ctx, owner);
}

static void on_reset(void *ctx, const char *owner)
{
	placement_feed_t *table = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;

		if (row->is_local || g_strcmp0(row->owner, owner) != 0)
			continue;
		placement_remove_endpoint(table->placement, row->endpoint);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_endpoint(void *ctx, const char *owner,
			const updates_endpoint_t *endpoint)
{
	GPtrArray *added = g_ptr_array_new();
	GPtrArray *removed = g_ptr_array_new();
	placement_feed_t *table = ctx;
	row_t *row;
	guint i;

	for (i = 0; i < endpoint->changes->len; i++) {
		const updates_change_t *change = endpoint->changes->pdata[i];

		g_ptr_array_add(change->is_resident ? added : removed,
				change->adapter);
	}
	g_ptr_array_add(added, NULL);
	g_ptr_array_add(removed, NULL);
	row = get_row(table, endpoint->endpoint, owner, endpoint->epoch);
	if (row && !row->is_local) {
		placement_feed_load_from_update(&endpoint->load, &row->load);
		if (endpoint->is_dropped)
			forget_row(table, endpoint->endpoint);
		else
			tell(table, row, (const char *const *)added->pdata,
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
	static const updates_reader_events_t events = {on_ask, on_reset,
						       on_endpoint};
	placement_feed_t *table = g_new0(placement_feed_t, 1);
	placement_config_t config;

	table->actions = *actions;
	table->ctx = ctx;
	table->region = region;
	table->failure_domain = failure_domain;
	placement_config_init(&config);
	table->placement = placement_create(&config, rand);
	table->reader = updates_reader_create(&events, table);
	table->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	return table;
}

void placement_feed_destroy(placement_feed_t *table)
{
	updates_reader_destroy(table->reader);
	placement_destroy(table->placement);
	g_hash_table_destroy(table->rows);
	g_free(table);
}

placement_t *placement_feed_table(placement_feed_t *table)
{
	return table->placement;
}

static gboolean should_follow(const placement_feed_t *table,
			      const live_owners_t *view, const char *owner)
{
	const live_owner_t *seen = live_owners_find(view, owner);

	return seen && updates_should_subscribe(
			       table->region, table->failure_domain,
			       seen->region, seen->failure_domain,
			       live_owners_count_region(view, table->region));
}

void placement_feed_follow(placement_feed_t *table, const live_owners_t *view,
			   const char *owner, ms_t now)
{
	table->now = now;
	if (should_follow(table, view, owner))
		updates_reader_subscribe(table->reader, owner, now);
}

void placement_feed_follow_connected(placement_feed_t *table,
				     const live_owners_t *view,
				     const char *owner, ms_t now)
{
	table->now = now;
	if (should_follow(table, view, owner))
		updates_reader_connected(table->reader, owner, now);
}

void placement_feed_unfollow(placement_feed_t *table, const char *owner)
{
	updates_reader_unsubscribe(table->reader, owner);
}

void placement_feed_handle_message(placement_feed_t *table, const char *owner,
				   const updates_message_t *message, ms_t now)
{
	table->now = now;
	updates_reader_receive(table->reader, owner, message, now);
}

void placement_feed_update_local(placement_feed_t *table, const char *endpoint,
				 const char *owner, int64_t epoch,
				 const char *added, const char *removed,
				 const slots_utilization_t *load, ms_t now)
{
	const char *const add[] = {added, NULL};
	const char *const gone[] = {removed, NULL};
	row_t *row = get_row(table, endpoint, owner, epoch);

	if (!row)
		return;
	table->now = now;
	row->is_local = TRUE;
	row->load = *load;
	tell(table, row, added ? add : NULL, removed ? gone : NULL);
}

void placement_feed_remove_local(placement_feed_t *table, const char *endpoint)
{
	row_t *row = g_hash_table_lookup(table->rows, endpoint);

	if (row && row->is_local)
		forget_row(table, endpoint);
}

ms_t placement_feed_due(const placement_feed_t *table)
{
	return updates_reader_due(table->reader);
}

void placement_feed_tick(placement_feed_t *table, ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	table->now = now;
	updates_reader_tick(table->reader, now);
	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;

		if (!row->is_local && now - row->told_at >= REFRESH_MS &&
		    table->actions.is_up(table->ctx, row->owner))
			tell(table, row, NULL, NULL);
	}
}
