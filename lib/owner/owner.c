#include "owner/owner.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/owner_private.h"

#define STATUS_MAX (64 * 1024)

/* Interval of publishing the load of each endpoint in the news. */
#define LOAD_NEWS_MS  100
#define QUOTA_TICK_MS 1000

ms_t owner_now(const owner_t *owner)
{
	return ms_clock_now(owner->env.clock);
}

const char *owner_instance(const owner_t *owner)
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

/* Actions of the owned endpoints. */

static void on_send(void *ctx, void *requester, const void *message)
{
	owner_send_conn(requester, message);
}

static void on_record_intent(void *ctx, endpoint_t *endpoint, int slot,
			     const char *adapter, gboolean is_load)
{
	owner_t *owner = ctx;

	ownership_driver_record_intent(owner->ownership, endpoint, slot,
				       adapter, is_load);
}

static gboolean on_may_order(void *ctx, endpoint_t *endpoint, int slot,
			     int64_t *fence)
{
	owner_t *owner = ctx;

	return ownership_driver_may_order(owner->ownership, endpoint, slot,
					  fence);
}

static void on_order_ended(void *ctx, endpoint_t *endpoint, int slot,
			   const char *adapter)
{
	owner_t *owner = ctx;

	ownership_driver_order_ended(owner->ownership, endpoint, slot, adapter);
}

static void on_order_lost(void *ctx, endpoint_t *endpoint, int slot)
{
	owner_t *owner = ctx;

	ownership_driver_order_lost(owner->ownership, endpoint, slot);
}

static void on_slots_reported(void *ctx, endpoint_t *endpoint,
			      const load_report_t *report, ms_t as_of)
{
	owner_t *owner = ctx;

	ownership_driver_reported(owner->ownership, endpoint, report, as_of);
}

static void on_engine_restarted(void *ctx, endpoint_t *endpoint)
{
	owner_t *owner = ctx;

	ownership_driver_restarted(owner->ownership, endpoint);
}

static gboolean on_may_serve(void *ctx, endpoint_t *endpoint)
{
	owner_t *owner = ctx;

	return ownership_driver_may_serve(owner->ownership,
					  endpoint_id(endpoint));
}

static void on_run_orphaned(void *ctx, endpoint_t *endpoint,
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

static void tick_orphans(owner_t *owner, ms_t now)
{
	ms_t due;

	if (now < owner->orphans_due)
		return;
	/* A callback during the tick may request an earlier one. */
	owner->orphans_due = MS_NEVER;
	due = orphans_tick(owner->orphans, now);
	owner->orphans_due = MIN(owner->orphans_due, due);
}

/* Publishes load and resident adapters of an endpoint to entries and homes. */
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
	placement_feed_update_local(owner->table, id, owner_instance(owner),
				    epoch, added, removed, &load, now);
	if (added)
		updates_sender_set_resident(owner->news, id, epoch, added, TRUE,
					    now);
	if (removed)
		updates_sender_set_resident(owner->news, id, epoch, removed,
					    FALSE, now);
	updates_sender_set_load(owner->news, id, epoch, &news, now);
}

static void on_residency_changed(void *ctx, endpoint_t *endpoint,
				 const char *adapter, gboolean is_resident)
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

	return !strcmp(instance, owner_instance(owner)) ||
	       membership_is_up(owner->membership, instance);
}

/* Actions of the ownership driver. */

static endpoint_t *on_acquired(void *ctx, const char *id, int64_t epoch)
{
	owner_t *owner = ctx;
	const document_endpoint_t *entry =
		document_find_endpoint(owner->document, id);
	endpoint_t *endpoint;

	if (!entry)
		return NULL;
	endpoint = owned_endpoints_add(owner->endpoints, entry, epoch);
	if (membership_endpoint_is_leaving(owner->membership, id))
		endpoint_drain(endpoint);
	publish(owner, endpoint, NULL, NULL);
	return endpoint;
}

static void on_lost(void *ctx, const char *id)
{
	owner_t *owner = ctx;

	placement_feed_remove_local(owner->table, id);
	updates_sender_drop_endpoint(owner->news, id, owner_now(owner));
	owned_endpoints_retire(owner->endpoints, id);
}

static endpoint_t *on_find(void *ctx, const char *id)
{
	owner_t *owner = ctx;

	return owned_endpoints_find(owner->endpoints, id);
}

/* Demotes a replica: its home found that the adapter has one too many. */
static void on_demote(void *ctx, const char *id, const char *adapter)
{
	owner_t *owner = ctx;
	endpoint_t *endpoint = owned_endpoints_find(owner->endpoints, id);
	const char *other =
		placement_owner(placement_feed_table(owner->table), id);
	message_demote_t demote = {MESSAGE_DEMOTE, (char *)id, (char *)adapter};

	if (endpoint)
		endpoint_demote(endpoint, adapter);
	else if (other)
		owner_send_peer(owner, other, &demote);
}

gboolean owner_is_compatible(void *ctx, const char *id, const char *name)
{
	const owner_t *owner = ctx;
	const document_endpoint_t *entry = NULL;
	const document_adapter_t *adapter;

	if (owner->document)
		entry = document_find_endpoint(owner->document, id);
	if (!entry || entry->service->kind != SERVICE_ENGINE)
		return FALSE;
	adapter = document_find_adapter_id(owner->document, name);
	/* Let the engine decide about an adapter that this document lacks. */
	return !adapter ||
	       !strcmp(adapter->base_model, entry->service->base_model);
}

/* News. */

static void on_news(void *ctx, const char *subscriber,
		    const updates_message_t *message)
{
	owner_t *owner = ctx;
	conn_t *conn = g_hash_table_lookup(owner->subscribers, subscriber);
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

/* This many owners watch the manifest; peers announce changes to the rest. */
#define DOCUMENT_WATCHERS 3

static void subscribe_to_owner(void *ctx, const live_owner_t *member)
{
	owner_t *owner = ctx;

	if (membership_is_up(owner->membership, member->instance))
		placement_feed_follow(owner->table,
				      membership_view(owner->membership),
				      member->instance, owner_now(owner));
}

static void update_subscriptions(owner_t *owner)
{
	const live_owners_t *view = membership_view(owner->membership);

	live_owners_foreach(view, subscribe_to_owner, owner);
	if (owner->follow)
		follower_set_watching(
			follow_get_follower(owner->follow),
			live_owners_is_top_ranked(view, "document",
						  owner_instance(owner),
						  DOCUMENT_WATCHERS));
}

static void on_view(void *ctx)
{
	owner_t *owner = ctx;
	const live_owners_t *view;

	if (!owner->membership)
		return;
	view = membership_view(owner->membership);
	ownership_driver_set_view(owner->ownership, view);
	owned_endpoints_view_changed(owner->endpoints);
	owner_view_changed(owner);
	update_subscriptions(owner);
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
	endpoint_t *endpoint = owned_endpoints_find(owner->endpoints, id);

	if (!endpoint || !is_leaving)
		return;
	endpoint_drain(endpoint);
	publish(owner, endpoint, NULL, NULL);
}

static void on_leave_requested(void *ctx)
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
	owned_endpoints_configure(owner->endpoints, document);
	home_set_stall_weight(owner->home,
			      1.0 - document_batch_weight(document));
	ownership_driver_set_document(owner->ownership, document);
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

static void finish_stop(owner_t *owner)
{
	if (!owner->is_stopping)
		return;
	if (!owner->is_releasing && owned_endpoints_is_idle(owner->endpoints) &&
	    !orphans_pending_count(owner->orphans)) {
		owner->is_releasing = TRUE;
		ownership_driver_stop(owner->ownership);
	}
	if (owner->is_releasing &&
	    ownership_driver_is_stopped(owner->ownership)) {
		membership_left(owner->membership);
		process_end(owner->process);
	}
}

static void on_tick(void *ctx)
{
	owner_t *owner = ctx;
	ms_t now = owner_now(owner);

	ownership_driver_tick(owner->ownership);
	membership_tick(owner->membership);
	owned_endpoints_tick(owner->endpoints);
	tick_orphans(owner, now);
	if (now >= owner->next_load_news) {
		owner->next_load_news = now + LOAD_NEWS_MS;
		owned_endpoints_foreach(owner->endpoints, publish_load, owner);
	}
	updates_sender_tick(owner->news, now);
	placement_feed_tick(owner->table, now);
	if (now >= owner->home_due)
		owner->home_due = home_tick(owner->home, now);
	if (now >= owner->next_quota_tick) {
		owner->next_quota_tick = now + QUOTA_TICK_MS;
		quota_home_tick(owner->quota_home, now);
	}
	finish_stop(owner);
}

static ms_t on_due(void *ctx)
{
	const owner_t *owner = ctx;
	ms_t due = owner->next_load_news;

	if (owner->is_stopping || owned_endpoints_is_busy(owner->endpoints))
		return 0;
	due = MIN(due, owner->orphans_due);
	due = MIN(due, ownership_driver_due(owner->ownership));
	due = MIN(due, membership_due(owner->membership));
	due = MIN(due, updates_sender_due(owner->news));
	return MIN(due, placement_feed_due(owner->table));
}

/* Start and stop. */

owner_t *owner_create(void)
{
	return g_new0(owner_t, 1);
}

static void create_scheduling(owner_t *owner)
{
	static const owned_endpoints_actions_t endpoints = {
		.send = on_send,
		.record_intent = on_record_intent,
		.may_order = on_may_order,
		.order_ended = on_order_ended,
		.order_lost = on_order_lost,
		.slots_reported = on_slots_reported,
		.engine_restarted = on_engine_restarted,
		.run_orphaned = on_run_orphaned,
		.may_serve = on_may_serve,
		.residency_changed = on_residency_changed,
		.send_owner = on_send_owner,
		.is_up = on_is_up,
	};
	static const home_actions_t home = {on_demote, owner_is_compatible};
	static const placement_feed_actions_t table = {on_ask_news, on_is_up};
	static const updates_sender_events_t news = {on_news};
	updates_options_t news_options = {0};
	home_config_t home_config;

	owner->table = placement_feed_create(
		owner->env.rand, owner->settings->region,
		owner->settings->failure_domain, &table, owner);
	news_options.stream = (int64_t)g_rand_int(owner->env.rand);
	owner->news = updates_sender_create(&news_options, &news, owner);
	owner->subscribers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->local_conns = g_hash_table_new(NULL, NULL);
	owner->quota_home = quota_home_create();
	home_config_init(&home_config);
	owner->home =
		home_create(&home_config, placement_feed_table(owner->table),
			    &home, owner, owner->env.rand);
	owner->endpoints = owned_endpoints_create(
		&owner->env, owner_instance(owner),
		membership_view(owner->membership), &endpoints, owner);
}

static gboolean create_coordination(owner_t *owner, GError **error)
{
	static const membership_events_t membership = {
		.on_view = on_view,
		.on_up = on_up,
		.on_down = on_down,
		.on_message = owner_receive_peer,
		.on_generation = on_generation,
		.on_endpoint = on_endpoint,
		.on_leave_requested = on_leave_requested,
	};
	static const ownership_driver_actions_t ownership = {on_acquired,
							     on_lost, on_find};
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
	owner->ownership = ownership_driver_create(owner->process, owner->kv,
						   &ownership, owner);
	owner->membership = membership_create(owner->process, owner->kv,
					      &membership, owner, error);
	if (!owner->membership)
		return FALSE;
	create_scheduling(owner);
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
				      STATUS_MAX,
				      NULL,
				      HTTP_STATUS_CONNECTIONS_MAX,
				      FALSE};

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
	if (!create_coordination(owner, error) || !listen_all(owner, error))
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
	owned_endpoints_drain(owner->endpoints);
	owner_view_changed(owner);
}

void owner_status(owner_t *owner, GString *json)
{
	g_string_append_printf(
		json, ",\"generation\":%" G_GINT64_FORMAT,
		follower_generation(follow_get_follower(owner->follow)));
	g_string_append_printf(json, ",\"endpoints\":%u",
			       owned_endpoints_count(owner->endpoints));
	g_string_append_printf(
		json, ",\"members\":%u,\"lease\":%s",
		live_owners_count(membership_view(owner->membership)),
		ownership_driver_lease_is_valid(owner->ownership) ? "true"
								  : "false");
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
