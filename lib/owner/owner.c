#include "owner/owner.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/owner_private.h"

#define STATUS_MAX (64 * 1024)

/* How often the load of each endpoint is looked at for news. */
#define LOAD_NEWS_MS  100
#define QUOTA_TICK_MS 1000

ms_t owner_now(const owner_t *owner)
{
	return ms_clock_now(owner->env.clock);
}

const char *owner_self(const owner_t *owner)
{
	return owner->settings->instance;
}

void owner_send_conn(conn_t *conn, const void *message)
{
	codec_writer_t writer;

	message_write(&writer, message);
	conn_send(conn, &writer);
}

gboolean owner_send_peer(owner_t *owner, const char *instance,
			 const void *message)
{
	codec_writer_t writer;

	message_write(&writer, message);
	return membership_send(owner->membership, instance, &writer);
}

/* Actions of the hosting. */

static void on_send(void *ctx, void *requester, const void *message)
{
	owner_send_conn(requester, message);
}

static void on_intend(void *ctx, endpoint_t *endpoint, int slot,
		      const char *adapter, gboolean is_load)
{
	owner_t *owner = ctx;

	tenure_intend(owner->tenure, endpoint, slot, adapter, is_load);
}

static gboolean on_may_order(void *ctx, endpoint_t *endpoint, int slot,
			     int64_t *fence)
{
	owner_t *owner = ctx;

	return tenure_may_order(owner->tenure, endpoint, slot, fence);
}

static void on_settled(void *ctx, endpoint_t *endpoint, int slot,
		       const char *adapter)
{
	owner_t *owner = ctx;

	tenure_settled(owner->tenure, endpoint, slot, adapter);
}

static void on_order_lost(void *ctx, endpoint_t *endpoint, int slot)
{
	owner_t *owner = ctx;

	tenure_order_lost(owner->tenure, endpoint, slot);
}

static void on_reported(void *ctx, endpoint_t *endpoint,
			const link_report_t *report, ms_t as_of)
{
	owner_t *owner = ctx;

	tenure_reported(owner->tenure, endpoint, report, as_of);
}

static void on_restarted(void *ctx, endpoint_t *endpoint)
{
	owner_t *owner = ctx;

	tenure_restarted(owner->tenure, endpoint);
}

static gboolean on_may_serve(void *ctx, endpoint_t *endpoint)
{
	owner_t *owner = ctx;

	return tenure_may_serve(owner->tenure, endpoint_id(endpoint));
}

static void on_orphaned(void *ctx, endpoint_t *endpoint,
			const orphan_run_t *end)
{
	owner_t *owner = ctx;

	orphans_add(owner->orphans, end);
}

static void on_wake_orphans(void *ctx)
{
	owner_t *owner = ctx;

	owner->orphans_due = 0;
}

/* A wake during the tick asks for the next one. */
static void tick_orphans(owner_t *owner, ms_t now)
{
	ms_t due;

	if (now < owner->orphans_due)
		return;
	owner->orphans_due = MS_NEVER;
	due = orphans_tick(owner->orphans, now);
	owner->orphans_due = MIN(owner->orphans_due, due);
}

/* Tell entries and homes about an endpoint of this owner. */
static void publish(owner_t *owner, endpoint_t *endpoint, const char *added,
		    const char *removed)
{
	const char *id = endpoint_id(endpoint);
	int64_t epoch = endpoint_epoch(endpoint);
	ms_t now = owner_now(owner);
	slots_utilization_t load;
	updates_load_t news;

	slots_get_utilization(endpoint_slots(endpoint), now, &load);
	placement_feed_load_to_update(&load, &news);
	placement_feed_update_local(owner->table, id, owner_self(owner), epoch,
				    added, removed, &load, now);
	if (added)
		updates_sender_set_resident(owner->news, id, epoch, added, TRUE,
					    now);
	if (removed)
		updates_sender_set_resident(owner->news, id, epoch, removed,
					    FALSE, now);
	updates_sender_set_load(owner->news, id, epoch, &news, now);
}

static void on_placed(void *ctx, endpoint_t *endpoint, const char *adapter,
		      gboolean is_resident)
{
	publish(ctx, endpoint, is_resident ? adapter : NULL,
		is_resident ? NULL : adapter);
}

static void on_send_owner(void *ctx, const char *instance, const void *message)
{
	owner_send_peer(ctx, instance, message);
}

static gboolean on_is_up(void *ctx, const char *instance)
{
	owner_t *owner = ctx;

	return !strcmp(instance, owner_self(owner)) ||
	       membership_is_up(owner->membership, instance);
}

/* Actions of the tenure. */

static endpoint_t *on_take(void *ctx, const char *id, int64_t epoch)
{
	owner_t *owner = ctx;
	const document_endpoint_t *entry =
		document_find_endpoint(owner->document, id);
	endpoint_t *endpoint;

	if (!entry)
		return NULL;
	endpoint = hosting_take(owner->hosting, entry, epoch);
	if (membership_endpoint_is_leaving(owner->membership, id))
		endpoint_leave(endpoint);
	publish(owner, endpoint, NULL, NULL);
	return endpoint;
}

static void on_drop(void *ctx, const char *id)
{
	owner_t *owner = ctx;

	placement_feed_remove_local(owner->table, id);
	updates_sender_drop_endpoint(owner->news, id, owner_now(owner));
	hosting_drop(owner->hosting, id);
}

static endpoint_t *on_find(void *ctx, const char *id)
{
	owner_t *owner = ctx;

	return hosting_find(owner->hosting, id);
}

/* The home tells an owner that an adapter has one replica too many. */
static void on_home_drop(void *ctx, const char *id, const char *adapter)
{
	owner_t *owner = ctx;
	endpoint_t *endpoint = hosting_find(owner->hosting, id);
	const char *other =
		placement_owner(placement_feed_table(owner->table), id);
	message_demote_t demote = {MESSAGE_DEMOTE, (char *)id, (char *)adapter};

	if (endpoint)
		endpoint_demote(endpoint, adapter);
	else if (other)
		owner_send_peer(owner, other, &demote);
}

gboolean owner_may_hold(void *ctx, const char *id, const char *name)
{
	const owner_t *owner = ctx;
	const document_endpoint_t *entry = NULL;
	const document_adapter_t *adapter;

	if (owner->document)
		entry = document_find_endpoint(owner->document, id);
	if (!entry || entry->service->kind != SERVICE_ENGINE)
		return FALSE;
	adapter = document_find_adapter_id(owner->document, name);
	/* One of a newer document is for the engine to judge. */
	return !adapter ||
	       !strcmp(adapter->base_model, entry->service->base_model);
}

/* News. */

static void on_news(void *ctx, const char *follower,
		    const updates_message_t *message)
{
	owner_t *owner = ctx;
	conn_t *conn = g_hash_table_lookup(owner->followers, follower);
	codec_writer_t writer;

	if (!conn)
		return;
	updates_message_write(message, &writer);
	conn_send(conn, &writer);
}

static void on_ask_news(void *ctx, const char *instance)
{
	owner_t *owner = ctx;
	updates_message_t *ask = updates_message_new(UPDATES_SUBSCRIBE);
	codec_writer_t writer;

	updates_message_write(ask, &writer);
	membership_send(owner->membership, instance, &writer);
	updates_message_free(ask);
}

/* Events of the membership. */

/* A few owners watch the manifest; the others hear of changes from peers. */
#define DOCUMENT_WATCHERS 3

static void follow_owner(void *ctx, const live_owner_t *seen)
{
	owner_t *owner = ctx;

	if (membership_is_up(owner->membership, seen->instance))
		placement_feed_follow(owner->table,
				      membership_view(owner->membership),
				      seen->instance, owner_now(owner));
}

static void follow_news(owner_t *owner)
{
	const live_owners_t *view = membership_view(owner->membership);

	live_owners_foreach(view, follow_owner, owner);
	if (owner->follow)
		follower_set_watching(
			follow_get_follower(owner->follow),
			live_owners_is_top_ranked(view, "document",
						  owner_self(owner),
						  DOCUMENT_WATCHERS));
}

static void on_view(void *ctx)
{
	owner_t *owner = ctx;
	const live_owners_t *view;

	if (!owner->membership)
		return;
	view = membership_view(owner->membership);
	tenure_set_view(owner->tenure, view);
	hosting_view_changed(owner->hosting);
	owner_view_changed(owner);
	follow_news(owner);
}

static void on_up(void *ctx, const char *instance)
{
	owner_t *owner = ctx;

	placement_feed_follow_connected(owner->table,
					membership_view(owner->membership),
					instance, owner_now(owner));
}

static void on_down(void *ctx, const char *instance)
{
}

static void on_generation(void *ctx, const char *instance, int64_t generation)
{
	owner_t *owner = ctx;

	follower_offer(follow_get_follower(owner->follow), generation,
		       instance);
}

static void on_endpoint(void *ctx, const char *id, gboolean is_leaving)
{
	owner_t *owner = ctx;
	endpoint_t *endpoint = hosting_find(owner->hosting, id);

	if (!endpoint || !is_leaving)
		return;
	endpoint_leave(endpoint);
	publish(owner, endpoint, NULL, NULL);
}

static void on_told_to_leave(void *ctx)
{
	owner_stop(ctx);
}

/* Actions of the follower. */

static void on_document(void *ctx, document_t *document)
{
	owner_t *owner = ctx;

	document_ref(document);
	document_unref(owner->document);
	owner->document = document;
	hosting_configure(owner->hosting, document);
	home_set_stall_weight(owner->home,
			      1.0 - document_batch_weight(document));
	tenure_set_document(owner->tenure, document);
	membership_set_generation(owner->membership,
				  document_generation(document));
	owner_view_changed(owner);
}

static void on_ask_peer(void *ctx, const char *peer, const char *name,
			uint64_t ticket)
{
	message_part_request_t ask = {MESSAGE_PART_REQUEST, (int64_t)ticket,
				      (char *)name};

	owner_send_peer(ctx, peer, &ask);
}

static void publish_load(void *ctx, endpoint_t *endpoint)
{
	publish(ctx, endpoint, NULL, NULL);
}

static void end_if_done(owner_t *owner)
{
	if (!owner->is_stopping)
		return;
	if (!owner->is_released && hosting_is_idle(owner->hosting) &&
	    !orphans_pending_count(owner->orphans)) {
		owner->is_released = TRUE;
		tenure_stop(owner->tenure);
	}
	if (owner->is_released && tenure_is_stopped(owner->tenure)) {
		membership_left(owner->membership);
		process_end(owner->process);
	}
}

static void on_tick(void *ctx)
{
	owner_t *owner = ctx;
	ms_t now = owner_now(owner);

	tenure_tick(owner->tenure);
	membership_tick(owner->membership);
	hosting_tick(owner->hosting);
	tick_orphans(owner, now);
	if (now >= owner->next_load_news) {
		owner->next_load_news = now + LOAD_NEWS_MS;
		hosting_each(owner->hosting, publish_load, owner);
	}
	updates_sender_tick(owner->news, now);
	placement_feed_tick(owner->table, now);
	if (now >= owner->home_due)
		owner->home_due = home_tick(owner->home, now);
	if (now >= owner->next_quota_tick) {
		owner->next_quota_tick = now + QUOTA_TICK_MS;
		quota_home_tick(owner->quota_home, now);
	}
	end_if_done(owner);
}

static ms_t on_due(void *ctx)
{
	const owner_t *owner = ctx;
	ms_t due = owner->next_load_news;

	if (owner->is_stopping || hosting_is_busy(owner->hosting))
		return 0;
	due = MIN(due, owner->orphans_due);
	due = MIN(due, tenure_due(owner->tenure));
	due = MIN(due, membership_due(owner->membership));
	due = MIN(due, updates_sender_due(owner->news));
	return MIN(due, placement_feed_due(owner->table));
}

/* Start and stop. */

owner_t *owner_create(void)
{
	return g_new0(owner_t, 1);
}

static void create_serving(owner_t *owner)
{
	static const hosting_actions_t hosting = {
		.send = on_send,
		.intend = on_intend,
		.may_order = on_may_order,
		.settled = on_settled,
		.order_lost = on_order_lost,
		.reported = on_reported,
		.restarted = on_restarted,
		.orphaned = on_orphaned,
		.may_serve = on_may_serve,
		.placed = on_placed,
		.send_owner = on_send_owner,
		.is_up = on_is_up,
	};
	static const home_actions_t home = {on_home_drop, owner_may_hold};
	static const placement_feed_actions_t table = {on_ask_news, on_is_up};
	static const updates_sender_events_t news = {on_news};
	updates_options_t news_options = {0};
	home_config_t home_config;

	owner->table = placement_feed_create(
		owner->env.rand, owner->settings->region,
		owner->settings->failure_domain, &table, owner);
	news_options.stream = (int64_t)g_rand_int(owner->env.rand);
	owner->news = updates_sender_create(&news_options, &news, owner);
	owner->followers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->locals = g_hash_table_new(NULL, NULL);
	owner->quota_home = quota_home_create();
	home_config_init(&home_config);
	owner->home =
		home_create(&home_config, placement_feed_table(owner->table),
			    &home, owner, owner->env.rand);
	owner->hosting = hosting_create(&owner->env, owner_self(owner),
					membership_view(owner->membership),
					&hosting, owner);
}

static gboolean create_agreement(owner_t *owner, GError **error)
{
	static const membership_events_t membership = {
		.on_view = on_view,
		.on_up = on_up,
		.on_down = on_down,
		.on_message = owner_take_peer,
		.on_generation = on_generation,
		.on_endpoint = on_endpoint,
		.on_told_to_leave = on_told_to_leave,
	};
	static const tenure_actions_t tenure = {on_take, on_drop, on_find};
	static const follower_actions_t follower = {
		.on_document = on_document,
		.ask_peer = on_ask_peer,
	};
	kv_etcd_options_t kv = {0};
	orphan_options_t orphans;

	kv.loop = owner->env.loop;
	kv.addresses = (const char *const *)owner->settings->key_value_service;
	kv.timeout = KV_ETCD_TIMEOUT_MS;
	kv.calls_max = KV_ETCD_CALLS_MAX;
	kv.queue_max = KV_ETCD_QUEUE_MAX;
	owner->kv = kv_etcd_create(&kv, error);
	if (!owner->kv)
		return FALSE;
	orphan_options_init(&orphans);
	orphans.wake = on_wake_orphans;
	orphans.ctx = owner;
	owner->orphans = orphans_create(owner->kv, &orphans);
	owner->tenure =
		tenure_create(owner->process, owner->kv, &tenure, owner);
	owner->membership = membership_create(owner->process, owner->kv,
					      &membership, owner, error);
	if (!owner->membership)
		return FALSE;
	create_serving(owner);
	on_view(owner);
	owner->follow =
		follow_create(owner->env.loop, owner->kv, &follower, owner);
	return TRUE;
}

static gboolean listen_all(owner_t *owner, GError **error)
{
	const process_settings_t *settings = owner->settings;
	http_server_options_t http = {settings->address,
				      (int)settings->owner_status_port,
				      STATUS_MAX, NULL};

	owner->server = conn_listen(
		process_identity(owner->process, "owner"), settings->address,
		(int)settings->owner_port, &owner_conn_events, owner, error);
	if (!owner->server)
		return FALSE;
	owner->status = http_server_create(owner->env.loop, &http);
	process_route(owner->process, owner->status);
	if (!http_server_listen(owner->status, error))
		return FALSE;
	printf("listening %s:%d\n", settings->address,
	       conn_server_port(owner->server));
	printf("status %s:%d\n", settings->address,
	       http_server_port(owner->status));
	fflush(stdout);
	return TRUE;
}

gboolean owner_start(owner_t *owner, process_t *process, GError **error)
{
	static const ticker_actions_t ticker = {on_tick, on_due};

	owner->process = process;
	owner->settings = process_settings(process);
	owner->env.loop = process_loop(process);
	owner->env.client = process_client(process);
	owner->env.clock = process_clock(process);
	owner->env.rand = process_rand(process);
	owner->env.spans = process_spans(process);
	if (!create_agreement(owner, error) || !listen_all(owner, error))
		return FALSE;
	owner->ticker = ticker_create(owner->env.loop, owner->env.clock,
				      &ticker, owner);
	return TRUE;
}

void owner_stop(owner_t *owner)
{
	if (owner->is_stopping)
		return;
	owner->is_stopping = TRUE;
	membership_leave(owner->membership);
	hosting_leave(owner->hosting);
	owner_view_changed(owner);
}

void owner_status(owner_t *owner, GString *json)
{
	g_string_append_printf(
		json, ",\"generation\":%" G_GINT64_FORMAT,
		follower_generation(follow_get_follower(owner->follow)));
	g_string_append_printf(json, ",\"endpoints\":%u",
			       hosting_count(owner->hosting));
	g_string_append_printf(
		json, ",\"members\":%u,\"lease\":%s",
		live_owners_count(membership_view(owner->membership)),
		tenure_is_valid(owner->tenure) ? "true" : "false");
}

gboolean owner_is_ready(owner_t *owner)
{
	return owner->document != NULL;
}

void owner_destroy(owner_t *owner)
{
	if (owner->ticker)
		ticker_destroy(owner->ticker);
	g_free(owner);
}
