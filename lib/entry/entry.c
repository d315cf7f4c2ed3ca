#include "entry/entry.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "entry/entry_private.h"
#include "kv/kv_etcd.h"

#define STATUS_MAX (64 * 1024)

ms_t entry_now(const entry_t *entry)
{
	return ms_clock_now(entry->env.clock);
}

/* Actions of the routing and of the exchanges. */

gboolean entry_send_to_owner(void *ctx, const char *instance,
			     const void *message)
{
	entry_t *entry = ctx;
	codec_writer_t writer;

	message_write(&writer, message);
	return peers_send(entry->peers, instance, &writer);
}

static void on_claim(void *ctx, exchange_t *exchange, gboolean is_known)
{
	entry_t *entry = ctx;

	entry_claims_begin(entry->claims, exchange, is_known);
}

static void on_settle(void *ctx, exchange_t *exchange, outcome_t outcome,
		      const char *answer, size_t size)
{
	entry_t *entry = ctx;

	entry_claims_settle(entry->claims, exchange, outcome, answer, size);
}

static void on_ended(void *ctx, exchange_t *exchange)
{
	entry_t *entry = ctx;

	entry_claims_detach(entry->claims, exchange);
	g_hash_table_remove(entry->exchanges, exchange_id(exchange));
}

/* Actions of the placement table and of the configuration follower. */

static void on_request_state(void *ctx, const char *owner)
{
	entry_t *entry = ctx;
	updates_message_t *ask = updates_message_new(UPDATES_SUBSCRIBE);
	codec_writer_t writer;

	updates_message_write(ask, &writer);
	peers_send(entry->peers, owner, &writer);
	updates_message_free(ask);
}

static gboolean is_owner_up(void *ctx, const char *owner)
{
	entry_t *entry = ctx;

	return peers_is_connected(entry->peers, owner);
}

static void on_document(void *ctx, document_t *document)
{
	entry_t *entry = ctx;

	document_ref(document);
	document_unref(entry->document);
	entry->document = document;
	entry_set_limits(entry, document);
}

static void on_request_part(void *ctx, const char *peer, const char *name,
			    uint64_t ticket)
{
	message_part_request_t ask = {MESSAGE_PART_REQUEST, (int64_t)ticket,
				      (char *)name};

	entry_send_to_owner(ctx, peer, &ask);
}

/* Actions of the quotas. */

static gboolean on_request_share(void *ctx, const char *limit, int64_t demand)
{
	message_share_request_t ask = {MESSAGE_SHARE_REQUEST, (char *)limit,
				       demand};
	entry_t *entry = ctx;
	const char *home = live_owners_choose(entry->view, limit);

	counter_add(counter_get("hc_entry_shares_asked_total"), 1);
	return home && entry_send_to_owner(entry, home, &ask);
}

static void on_apply_limit(void *ctx, quota_kind_t kind, const char *name,
			   const admit_limit_t *limit)
{
	entry_t *entry = ctx;

	if (kind == QUOTA_CALLER)
		admit_limit_caller(entry->admit, name, limit);
	else
		admit_limit_service(entry->admit, name, limit);
}

static void end_if_drained(entry_t *entry)
{
	if (!entry->is_stopping || http_server_active(entry->server) ||
	    g_hash_table_size(entry->exchanges) ||
	    !entry_claims_is_idle(entry->claims))
		return;
	if (!entry->is_released) {
		entry->is_released = TRUE;
		entry_claims_release(entry->claims);
	}
	if (entry_claims_is_released(entry->claims))
		process_end(entry->process);
}

static void on_tick(void *ctx)
{
	entry_t *entry = ctx;

	routing_tick(entry->routing, entry_now(entry));
	placement_feed_tick(entry->placement_feed, entry_now(entry));
	entry_claims_tick(entry->claims);
	if (entry_now(entry) >= entry->quota_due)
		entry->quota_due = quota_tick(entry->quota, entry_now(entry));
	end_if_drained(entry);
}

static ms_t on_due(void *ctx)
{
	const entry_t *entry = ctx;
	ms_t table;

	if (entry->is_stopping || routing_has_searches(entry->routing))
		return 0;
	table = placement_feed_due(entry->placement_feed);
	return MIN(table, entry_claims_due(entry->claims));
}

/* Report finished searches before the loop blocks. */
static void on_prepare(uv_prepare_t *prepare)
{
	entry_t *entry = prepare->data;

	if (routing_has_finished_searches(entry->routing))
		routing_tick(entry->routing, entry_now(entry));
}

/* Start and stop */

entry_t *entry_create(void)
{
	return g_new0(entry_t, 1);
}

const setting_t *entry_settings(entry_t *entry)
{
	entry->extra[0] = (setting_t){"places", SETTING_INT, &entry->places,
				      "2000",	1,	     1000000};
	return entry->extra;
}

static void create_parts(entry_t *entry)
{
	static const quota_actions_t quota = {on_request_share, on_apply_limit};
	static const routing_actions_t routing = {entry_send_to_owner,
						  is_owner_up};
	static const exchange_actions_t exchange = {
		entry_send_to_owner, on_claim, on_settle, on_ended};
	static const placement_feed_actions_t table = {on_request_state,
						       is_owner_up};
	const process_settings_t *settings = entry->settings;
	live_owner_t self = {settings->instance,
			     settings->address,
			     (int)settings->owner_port,
			     settings->region,
			     settings->failure_domain,
			     FALSE,
			     0};

	entry->view = live_owners_create();
	live_owners_set(entry->view, &self);
	entry->received_owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	entry->peers = peers_create(process_identity(entry->process, "entry"),
				    &entry_peers_events, entry);
	peers_add(entry->peers, settings->instance, settings->address,
		  (int)settings->owner_port);
	entry->placement_feed = placement_feed_create(
		process_rand(entry->process), settings->region,
		settings->failure_domain, &table, entry);
	entry->routing = routing_create(
		entry->view, placement_feed_table(entry->placement_feed),
		&routing, entry);
	entry->admit = admit_create(entry->places);
	entry->quota = quota_create(&quota, entry);
	entry->retry = retry_create(&RETRY_OPTIONS_DEFAULT,
				    process_rand(entry->process));
	entry->exchanges = g_hash_table_new(g_str_hash, g_str_equal);
	entry->env.loop = process_loop(entry->process);
	entry->env.clock = process_clock(entry->process);
	entry->env.routing = entry->routing;
	entry->env.admit = entry->admit;
	entry->env.retry = entry->retry;
	entry->env.spans = process_spans(entry->process);
	entry->env.actions = &exchange;
	entry->env.ctx = entry;
}

static gboolean create_config_client(entry_t *entry, GError **error)
{
	static const follower_actions_t follower = {
		.on_document = on_document,
		.ask_peer = on_request_part,
	};
	kv_etcd_options_t kv = {0};

	kv.loop = entry->env.loop;
	kv.addresses = (const char *const *)entry->settings->key_value_service;
	kv.timeout = KV_ETCD_TIMEOUT_MS;
	kv.calls_max = KV_ETCD_CALLS_MAX;
	kv.queue_max = KV_ETCD_QUEUE_MAX;
	entry->kv = kv_etcd_create(&kv, error);
	if (!entry->kv)
		return FALSE;
	entry->claims = entry_claims_create(entry->process, entry->kv);
	entry->follow =
		follow_create(entry->env.loop, entry->kv, &follower, entry);
	/* The owner of this instance watches on behalf of all its processes. */
	follower_set_watching(follow_get_follower(entry->follow), FALSE);
	return TRUE;
}

static gboolean listen_http(entry_t *entry, GError **error)
{
	const process_settings_t *settings = entry->settings;
	http_server_options_t callers = {
		settings->address,     (int)settings->entry_port,
		REQUEST_BODY_MAX,      process_tls(entry->process),
		process_clients_max(), TRUE};
	http_server_options_t status = {settings->address,
					(int)settings->entry_status_port,
					STATUS_MAX,
					NULL,
					HTTP_STATUS_CONNECTIONS_MAX,
					FALSE};

	entry->server = http_server_create(entry->env.loop, &callers);
	http_server_route(entry->server, "/", entry_handle_request, entry);
	http_server_set_authorizer(entry->server, entry_check_token, entry);
	entry->status = http_server_create(entry->env.loop, &status);
	process_route(entry->process, entry->status);
	if (!http_server_listen(entry->server, error) ||
	    !http_server_listen(entry->status, error))
		return FALSE;
	printf("listening %s:%d\n", settings->address,
	       http_server_port(entry->server));
	printf("status %s:%d\n", settings->address,
	       http_server_port(entry->status));
	fflush(stdout);
	return TRUE;
}

gboolean entry_start(entry_t *entry, process_t *process, GError **error)
{
	static const ticker_actions_t ticker = {on_tick, on_due};

	entry->process = process;
	entry->settings = process_settings(process);
	create_parts(entry);
	if (!create_config_client(entry, error) || !listen_http(entry, error))
		return FALSE;
	entry->ticker = ticker_create(entry->env.loop, entry->env.clock,
				      &ticker, entry);
	uv_prepare_init(entry->env.loop, &entry->prepare);
	entry->prepare.data = entry;
	uv_prepare_start(&entry->prepare, on_prepare);
	return TRUE;
}

void entry_stop(entry_t *entry)
{
	entry->is_stopping = TRUE;
	http_server_drain(entry->server);
}

void entry_status(entry_t *entry, GString *json)
{
	g_string_append_printf(
		json, ",\"generation\":%" G_GINT64_FORMAT,
		follower_generation(follow_get_follower(entry->follow)));
	g_string_append_printf(json, ",\"requests\":%u",
			       g_hash_table_size(entry->exchanges));
}

gboolean entry_is_ready(entry_t *entry)
{
	return entry->document && live_owners_count(entry->view);
}

void entry_destroy(entry_t *entry)
{
	if (entry->ticker)
		ticker_destroy(entry->ticker);
	g_free(entry);
}
