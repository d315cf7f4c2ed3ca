#include "base/log.h"
#include "front/front_private.h"
#include "platform/decode.h"

/*
 * How long it is known that an endpoint was removed; far longer than a copy
 * from which the store may come back is old.
 */
#define DEPARTED_KEEP_MS (120 * MS_PER_S)

/* An endpoint that was removed. */
typedef struct {
	int64_t started_at;
	ms_t since;
} departed_t;

static void log_item(const char *event, const kv_item_t *item, const char *why)
{
	char *revision =
		g_strdup_printf("%" G_GINT64_FORMAT, (gint64)item->revision);

	log_info(event, "key", item->key, "revision", revision, "why", why,
		 NULL);
	g_free(revision);
}

void front_share_budget(front_t *front)
{
	guint instances = adapters_instance_count(front->adapters);

	retry_budget_set_instances(front->budget, instances);
}

static void apply_configuration(front_t *front, const kv_item_t *item)
{
	GError *error = NULL;
	route_table_t *routes;
	char *text;

	if (!item->value) {
		log_item("configuration kept", item, "item deleted");
		return;
	}
	routes = decode_configuration(item->value, item->size, &error);
	if (!routes) {
		log_item("configuration refused", item, error->message);
		g_clear_error(&error);
		return;
	}
	if (front->routes &&
	    route_table_version(routes) <= route_table_version(front->routes)) {
		log_item("configuration refused", item,
			 "not newer than the one in force");
		route_table_unref(routes);
		return;
	}
	if (front->routes)
		route_table_unref(front->routes);
	front->routes = routes;
	text = g_strdup_printf("version %" G_GINT64_FORMAT " of %u routes",
			       (gint64)route_table_version(routes),
			       route_table_count(routes));
	log_item("configuration in force", item, text);
	g_free(text);
}

static void note_departed(front_t *front, const char *id)
{
	const fleet_endpoint_t *endpoint = fleet_find(front->fleet, id);
	departed_t *departed;

	if (!endpoint)
		return;
	departed = g_new(departed_t, 1);
	departed->started_at = fleet_endpoint_started_at(endpoint);
	departed->since = ms_clock_now(front->clock);
	g_hash_table_insert(front->departed, g_strdup(id), departed);
}

static gboolean is_forgotten(gpointer key, gpointer departed, gpointer now)
{
	return *(const ms_t *)now - ((const departed_t *)departed)->since >
	       DEPARTED_KEEP_MS;
}

/*
 * Whether a record is older than what is known of the endpoint: the store came
 * back from a copy.
 */
static gboolean is_outdated(const front_t *front, const endpoint_info_t *info)
{
	const fleet_endpoint_t *known = fleet_find(front->fleet, info->id);
	const departed_t *departed =
		g_hash_table_lookup(front->departed, info->id);

	if (!mirror_is_restoring(front->mirror))
		return FALSE;
	if (departed && info->started_at <= departed->started_at)
		return TRUE;
	if (!known || info->started_at > fleet_endpoint_started_at(known))
		return FALSE;
	return info->started_at < fleet_endpoint_started_at(known) ||
	       (!info->is_leaving && !fleet_endpoint_is_usable(known));
}

static void remove_endpoint(front_t *front, const char *id)
{
	note_departed(front, id);
	log_info("endpoint removed", "endpoint", id, NULL);
	fleet_remove_endpoint(front->fleet, id);
	adapters_set_engine(front->adapters, id, FALSE);
	forward_on_endpoint_gone(front, id);
}

static void on_removal_due(uv_timer_t *timer);

static void schedule_removals(front_t *front)
{
	ms_t next = removals_next(front->removals);
	ms_t wait = next - ms_clock_now(front->clock);

	if (next != MS_NEVER)
		uv_timer_start(&front->removal_timer, on_removal_due,
			       (uint64_t)MAX(wait, 0), 0);
}

static void on_removal_due(uv_timer_t *timer)
{
	front_t *front = timer->data;
	ms_t now = ms_clock_now(front->clock);
	char *id;

	while ((id = removals_take_due(front->removals, now))) {
		remove_endpoint(front, id);
		g_free(id);
	}
	schedule_removals(front);
}

static void handle_endpoint_removal(front_t *front, const char *id)
{
	if (!removals_defer(front->removals, ms_clock_now(front->clock), id)) {
		remove_endpoint(front, id);
		return;
	}
	log_info("endpoint removal deferred", "endpoint", id, "why",
		 "its record may have expired while the store was away", NULL);
	schedule_removals(front);
}

/*
 * Returns whether the change matters to other instances; a heartbeat does not.
 */
static gboolean apply_endpoint(front_t *front, const char *id,
			       const kv_item_t *item)
{
	decoded_endpoint_t decoded;
	fleet_endpoint_t *previous = fleet_find(front->fleet, id);
	fleet_endpoint_t *endpoint;
	const char *model = NULL;
	gboolean had_model;
	gboolean is_new;
	gboolean was_usable = previous && fleet_endpoint_is_usable(previous);
	GError *error = NULL;

	if (!item->value) {
		if (previous)
			handle_endpoint_removal(front, id);
		return TRUE;
	}
	removals_cancel(front->removals, id);
	if (!decode_endpoint(id, item->value, item->size, &decoded, &error)) {
		log_item("endpoint unreadable", item, error->message);
		g_clear_error(&error);
		if (previous)
			remove_endpoint(front, id);
		return TRUE;
	}
	if (is_outdated(front, &decoded.info)) {
		log_item("endpoint record outdated", item,
			 "the store came back from an older copy");
		decoded_endpoint_release(&decoded);
		return FALSE;
	}
	if (decoded.info.models)
		model = decoded.info.models[0];
	had_model = previous && fleet_endpoint_has_model(previous, model);
	endpoint = fleet_update_endpoint(front->fleet, &decoded.info);
	g_hash_table_remove(front->departed, id);
	is_new = endpoint != previous || !had_model ||
		 fleet_endpoint_is_usable(endpoint) != was_usable;
	if (endpoint != previous ||
	    fleet_endpoint_is_usable(endpoint) != was_usable)
		log_item("endpoint listed", item,
			 fleet_endpoint_is_usable(endpoint) ? "ready"
							    : "leaving");
	if (decoded.info.is_engine && endpoint != previous)
		adapters_set_engine(front->adapters, id, TRUE);
	decoded_endpoint_release(&decoded);
	if (endpoint != previous ||
	    (was_usable && !fleet_endpoint_is_usable(endpoint)))
		forward_on_endpoint_gone(front, id);
	return is_new;
}

static void apply_version(front_t *front, const kv_item_t *item)
{
	char *adapter;
	int64_t version;
	const int64_t *known;
	GError *error = NULL;

	if (!item->value)
		return;
	if (!decode_version(item->value, item->size, &adapter, &version,
			    &error)) {
		log_item("version unreadable", item, error->message);
		g_clear_error(&error);
		return;
	}
	known = g_hash_table_lookup(front->versions, adapter);
	if (known && *known >= version) {
		g_free(adapter);
		return;
	}
	log_item("version declared", item, adapter);
	adapters_declare(front->adapters, adapter, version);
	g_hash_table_insert(front->versions, adapter,
			    g_memdup2(&version, sizeof(version)));
}

static gboolean apply_item(front_t *front, const kv_item_t *item)
{
	const char *name;

	switch (decode_key(item->key, &name)) {
	case ITEM_CONFIGURATION:
		apply_configuration(front, item);
		break;
	case ITEM_ENDPOINT:
		return apply_endpoint(front, name, item);
	case ITEM_VERSION:
		apply_version(front, item);
		break;
	case ITEM_OTHER:
		adapters_on_item(front->adapters, item);
		front_share_budget(front);
		break;
	}
	return TRUE;
}

void front_on_item(void *ctx, const kv_item_t *item)
{
	front_t *front = ctx;
	kv_item_t copy = *item;

	/*
	 * Items of the first read are not sent: the others have read them, too.
	 */
	if (!apply_item(front, item) || !mirror_is_synced(front->mirror))
		return;
	copy.key = g_strdup(item->key);
	copy.value =
		item->value ? g_memdup2(item->value, item->size + 1) : NULL;
	g_array_append_val(front->updates, copy);
}

static size_t updates_size(const front_t *front)
{
	size_t size = 0;
	guint i;

	for (i = 0; i < front->updates->len; i++)
		size += g_array_index(front->updates, kv_item_t, i).size;
	return size;
}

static void broadcast_updates(front_t *front)
{
	store_updates_t updates = {
		.items = (const kv_item_t *)(const void *)front->updates->data,
		.count = front->updates->len,
	};

	if (relay_prepare_broadcast(front->relay, updates_size(front),
				    &updates.range) &&
	    front->adapters) {
		if (updates.range.from == updates.range.to)
			updates.count = 0;
		adapters_send_updates(front->adapters, &updates);
	}
	g_array_set_size(front->updates, 0);
}

void front_on_polled(void *ctx, int64_t revision, ms_t as_of)
{
	front_t *front = ctx;

	relay_note_poll(front->relay, revision, as_of);
	broadcast_updates(front);
}

ms_t front_poll_interval(void *ctx)
{
	return relay_poll_interval(((front_t *)ctx)->relay);
}

ms_t front_poll_skip_time(void *ctx, ms_t last)
{
	front_t *front = ctx;

	return relay_skip_time(front->relay, ms_clock_now(front->clock), last);
}

void front_on_updates(void *ctx, const char *sender,
		      const store_updates_t *updates)
{
	front_t *front = ctx;
	size_t i;

	if (!mirror_is_synced(front->mirror) ||
	    relay_is_outdated(front->relay, &updates->range))
		return;
	if (!relay_receive_broadcast(front->relay, ms_clock_now(front->clock),
				     sender, &updates->range)) {
		mirror_poll_now(front->mirror);
		return;
	}
	for (i = 0; i < updates->count; i++)
		mirror_apply(front->mirror, &updates->items[i]);
}

void front_on_instance(void *ctx, const char *instance, gboolean is_alive)
{
	front_t *front = ctx;

	relay_set_instance(front->relay, instance, is_alive);
	fleet_set_instance(front->fleet, ms_clock_now(front->clock), instance,
			   is_alive);
}

void front_on_synced(void *ctx)
{
	front_t *front = ctx;

	/*
	 * Instances that have not read these items notice it from the
	 * revisions, and only from them: the store need not have told them that
	 * it dropped its history.
	 */
	g_array_set_size(front->updates, 0);
	relay_note_full_read(front->relay, mirror_revision(front->mirror));
	log_info("items read", NULL, NULL);
	adapters_on_synced(front->adapters);
	broadcast_updates(front);
}

void front_on_history(void *ctx, int64_t history, gboolean is_other)
{
	front_t *front = ctx;

	adapters_begin_history(front->adapters, history, is_other);
	if (!is_other) {
		relay_set_history(front->relay, history);
		return;
	}
	relay_begin_history(front->relay, history);
	/* Records that it has lost are written again, as after an outage. */
	removals_note_restored(front->removals, ms_clock_now(front->clock));
	g_array_set_size(front->updates, 0);
	mirror_begin_history(front->mirror);
}

void front_on_store_regained(void *ctx, ms_t absence)
{
	front_t *front = ctx;

	if (removals_note_return(front->removals, ms_clock_now(front->clock),
				 absence))
		log_info("endpoint records may have expired", "why",
			 "the store was away for some heartbeats", NULL);
	adapters_on_store_regained(front->adapters);
}

void front_create_removals(front_t *front)
{
	front->removals = removals_create((ms_t)front->settings.heartbeat_ms,
					  (ms_t)front->settings.drain_ms);
	uv_timer_init(process_loop(front->process), &front->removal_timer);
	front->removal_timer.data = front;
}

void front_forget_departed(front_t *front, ms_t now)
{
	g_hash_table_foreach_remove(front->departed, is_forgotten, &now);
}
