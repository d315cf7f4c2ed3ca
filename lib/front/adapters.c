#include "front/adapters.h"

#include <openssl/rand.h>
#include <string.h>

#include "base/json_member.h"
#include "base/log.h"
#include "front/adapters_private.h"

/* Keys of this project in the key-value service. */
#define KEY_INSTANCE   "hc/instance/"
#define KEY_ENGINE     "hc/engine/"
#define KEY_MEMBERSHIP "hc/key"

/* Size of the key that the instances share, before hexadecimal encoding. */
#define MEMBERSHIP_KEY_BYTES 32

/* The lease is renewed three times per TTL, which leaves time for retries. */
#define LEASE_RENEW_DIVISOR 3
/* The clocks of two machines drift apart by less than this part of a lease. */
#define LEASE_MARGIN_DIVISOR	10
#define LEASE_RETRY_INTERVAL_MS 200
/*
 * Calls are priced, also those that fail.  Once the store is back, a poll
 * notices it earlier than this.
 */
#define LEASE_RETRY_INTERVAL_MAX_MS 3200

typedef struct {
	adapters_t *adapters;
	char *engine;
} claim_t;

static ms_t now_of(const adapters_t *adapters)
{
	return ms_clock_now(process_clock(adapters->process));
}

static void on_claimed(void *ctx, kv_status_t status, int64_t revision,
		       const GError *error)
{
	claim_t *claim = ctx;

	claim->adapters->pending_writes--;
	engine_locks_write_done(claim->adapters->engine_locks,
				now_of(claim->adapters), claim->engine,
				status == KV_DONE ? revision : 0);
	if (status != KV_DONE && status != KV_CONFLICT)
		log_warn("engine claim failed", "endpoint", claim->engine,
			 "error", error ? error->message : "", NULL);
	g_free(claim->engine);
	g_free(claim);
}

static void write_record(adapters_t *adapters, const char *engine,
			 int64_t revision, const char *holder, int64_t lease,
			 kv_write_done_t done, void *ctx)
{
	char *key = g_strconcat(KEY_ENGINE, engine, NULL);
	char *value = g_strdup_printf(
		"{\"holder\":\"%s\",\"lease\":%" G_GINT64_FORMAT
		",\"history\":%" G_GINT64_FORMAT "}",
		holder, (gint64)lease,
		(gint64)engine_locks_history(adapters->engine_locks));
	kv_write_t write = {key, revision, value, strlen(value), 0};

	adapters->pending_writes++;
	kv_write(adapters->kv, &write, 1, done, ctx);
	g_free(key);
	g_free(value);
}

static void claim_engine(void *ctx, const char *engine, int64_t revision)
{
	adapters_t *adapters = ctx;
	claim_t *claim = g_new0(claim_t, 1);

	claim->adapters = adapters;
	claim->engine = g_strdup(engine);
	write_record(adapters, engine, revision,
		     process_settings(adapters->process)->instance,
		     lease_id(adapters->lease), on_claimed, claim);
}

static void on_engine_held(void *ctx, const char *engine)
{
	held_engine_begin(ctx, engine);
}

static void on_engine_lost(void *ctx, const char *engine)
{
	held_engine_end(ctx, engine);
}

static void on_membership_key_written(void *ctx, kv_status_t status,
				      int64_t revision, const GError *error)
{
	adapters_t *adapters = ctx;

	/*
	 * If several instances write a key, the watch delivers the first one.
	 */
	adapters->pending_writes--;
	adapters->is_key_requested = status == KV_DONE || status == KV_CONFLICT;
}

/* Returns NULL if there is no randomness. */
static char *generate_membership_key(void)
{
	unsigned char bytes[MEMBERSHIP_KEY_BYTES];
	char *text;
	guint i;

	if (RAND_bytes(bytes, sizeof(bytes)) != 1) {
		log_error("can't generate the membership key", NULL, NULL);
		return NULL;
	}
	text = g_malloc(2 * MEMBERSHIP_KEY_BYTES + 1);
	for (i = 0; i < MEMBERSHIP_KEY_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", bytes[i]);
	return text;
}

/* Writes the key in use again if the service has forgotten it. */
static void write_membership_key(adapters_t *adapters)
{
	char *text = adapters->key ? g_strdup(adapters->key)
				   : generate_membership_key();
	kv_write_t write = {KEY_MEMBERSHIP, KV_REVISION_ABSENT, text,
			    2 * MEMBERSHIP_KEY_BYTES, 0};

	if (!text)
		return;
	adapters->is_key_requested = TRUE;
	adapters->pending_writes++;
	kv_write(adapters->kv, &write, 1, on_membership_key_written, adapters);
	g_free(text);
}

static void tick_held(gpointer key, gpointer held, gpointer now)
{
	held_engine_tick(held, *(ms_t *)now);
}

static void on_tick(void *ctx)
{
	adapters_t *adapters = ctx;
	ms_t now = now_of(adapters);

	adapters->now = now;
	adapters_credit_tick(adapters, now);
	if (!adapters->is_synced)
		return;
	if (!adapters->is_key_stored && !adapters->is_key_requested)
		write_membership_key(adapters);
	lease_tick(adapters->lease, now);
	if (!adapters->is_stopping) {
		engine_locks_set_lease(adapters->engine_locks, now,
				       lease_id(adapters->lease));
		engine_locks_tick(adapters->engine_locks, now,
				  lease_valid_until(adapters->lease));
	}
	g_hash_table_foreach(adapters->held, tick_held, &now);
	adapters_set_overload_gauges(adapters);
}

/* Work is always due soon while engines are held or no lease is held. */
static ms_t on_due(void *ctx)
{
	const adapters_t *adapters = ctx;
	gboolean has_work =
		g_hash_table_size(adapters->held) || !lease_id(adapters->lease);

	return has_work && !adapters->is_stopping ? 0 : MS_NEVER;
}

static void wake(void *ctx)
{
	/* The ticker runs at least every TICKER_MAX_MS. */
}

static lease_t *create_lease(adapters_t *adapters)
{
	lease_t *lease;
	lease_options_t options = {
		.instance = process_settings(adapters->process)->instance,
		.record = adapters->record,
		.ttl = adapters->options.lease_ttl,
		.margin = adapters->options.lease_ttl / LEASE_MARGIN_DIVISOR,
		.renew_interval =
			adapters->options.lease_ttl / LEASE_RENEW_DIVISOR,
		.retry_interval = LEASE_RETRY_INTERVAL_MS,
		.retry_interval_max = LEASE_RETRY_INTERVAL_MAX_MS,
		.wake = wake,
		.ctx = adapters,
	};

	lease = lease_create(adapters->kv, &options);
	lease_set_single_process(lease);
	return lease;
}

static engine_locks_t *create_holdings(adapters_t *adapters)
{
	static const engine_locks_actions_t actions = {
		claim_engine, on_engine_held, on_engine_lost};
	engine_locks_options_t options = {
		.instance = process_settings(adapters->process)->instance,
		.lease_ttl = adapters->options.lease_ttl,
		.order_gap = adapters->options.order_gap,
	};

	return engine_locks_create(&options, now_of(adapters), &actions,
				   adapters);
}

adapters_t *adapters_create(process_t *process, kv_t *kv, fleet_t *fleet,
			    const adapters_options_t *options,
			    const adapters_events_t *events, void *ctx)
{
	static const ticker_actions_t actions = {on_tick, on_due};
	adapters_t *adapters = g_new0(adapters_t, 1);
	uv_loop_t *loop = process_loop(process);

	adapters->process = process;
	adapters->kv = kv;
	adapters->fleet = fleet;
	adapters->options = *options;
	adapters->events = *events;
	adapters->ctx = ctx;
	adapters->record =
		*options->peer_address
			? g_strdup(options->peer_address)
			: g_strdup_printf("%s:%d", options->listen_address,
					  options->listen_port);
	adapters->client = http_client_create(loop);
	adapters->lease = create_lease(adapters);
	adapters->engine_locks = create_holdings(adapters);
	adapters->held = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       held_engine_destroy);
	adapters->unresponsive_holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	adapters->sent_admissions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, sent_admission_free);
	adapters->self_replies = g_queue_new();
	uv_timer_init(loop, &adapters->self_timer);
	adapters->requesters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	adapters->extended_requesters = g_hash_table_new(NULL, NULL);
	adapters->extended_holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	adapters->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	adapters->orders = counter_get("hc_orders_total");
	adapters->reports = counter_get("hc_reports_total");
	adapters->refused = counter_get("hc_asks_refused_total");
	adapters_create_overload_metrics(adapters);
	adapters->order_time = histogram_get("hc_order_ms");
	adapters_credit_create(adapters);
	adapters->ticker =
		ticker_create(loop, process_clock(process), &actions, adapters);
	return adapters;
}

static void on_released(void *ctx, kv_status_t status, int64_t revision,
			const GError *error)
{
	((adapters_t *)ctx)->pending_writes--;
}

static void release_engine(void *ctx, const char *engine, int64_t revision)
{
	write_record(ctx, engine, revision, "", 0, on_released, ctx);
}

void adapters_stop(adapters_t *adapters)
{
	if (adapters->is_stopping)
		return;
	adapters->is_stopping = TRUE;
	engine_locks_foreach_held(adapters->engine_locks, release_engine,
				  adapters);
	lease_release(adapters->lease);
}

gboolean adapters_is_stopped(const adapters_t *adapters)
{
	return adapters->is_stopping && !adapters->pending_writes &&
	       lease_is_released(adapters->lease);
}

void adapters_begin_history(adapters_t *adapters, int64_t history,
			    gboolean is_other)
{
	engine_locks_begin_history(adapters->engine_locks, now_of(adapters),
				   lease_valid_until(adapters->lease), history);
	if (is_other)
		lease_begin_history(adapters->lease);
}

void adapters_on_store_regained(adapters_t *adapters)
{
	lease_retry_now(adapters->lease);
}

static void apply_engine_record(adapters_t *adapters, const char *engine,
				const kv_item_t *item)
{
	ms_t now = now_of(adapters);
	engine_lock_t record = {.holder = ""};
	JsonNode *node;
	JsonObject *object = NULL;

	if (!item->value) {
		engine_locks_set_record(adapters->engine_locks, now, engine,
					&record);
		return;
	}
	node = json_load_node(item->value);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		object = json_node_get_object(node);
	record.holder = json_member_text(object, "holder");
	record.revision = item->revision;
	/* Missing in a record of a build that knew of one history only. */
	json_member_int(object, "history", &record.history);
	if (record.holder &&
	    json_member_int(object, "lease", &record.incarnation))
		engine_locks_set_record(adapters->engine_locks, now, engine,
					&record);
	else
		log_warn("engine record unreadable", "endpoint", engine, NULL);
	if (node)
		json_node_free(node);
}

static void apply_membership_key(adapters_t *adapters, const kv_item_t *item)
{
	GBytes *key;

	adapters->is_key_stored = item->value != NULL;
	if (!item->value) {
		adapters->is_key_requested = FALSE;
		return;
	}
	if (adapters->key) {
		if (strcmp(adapters->key, item->value))
			log_error("membership key differs from the one in use; "
				  "restart the instances",
				  NULL, NULL);
		return;
	}
	adapters->key = g_strdup(item->value);
	key = g_bytes_new(item->value, item->size);
	adapters_peers_start(adapters, key);
	g_bytes_unref(key);
}

void adapters_on_item(adapters_t *adapters, const kv_item_t *item)
{
	ms_t now = now_of(adapters);

	if (!strcmp(item->key, KEY_MEMBERSHIP)) {
		apply_membership_key(adapters, item);
	} else if (g_str_has_prefix(item->key, KEY_INSTANCE)) {
		const char *name = item->key + strlen(KEY_INSTANCE);

		engine_locks_set_instance(adapters->engine_locks, now, name,
					  item->value ? item->lease : 0);
		adapters_peers_set_instance(adapters, name, item->value);
		adapters->events.on_instance(adapters->ctx, name,
					     item->value != NULL);
	} else if (g_str_has_prefix(item->key, KEY_ENGINE)) {
		apply_engine_record(adapters, item->key + strlen(KEY_ENGINE),
				    item);
	}
}

void adapters_on_synced(adapters_t *adapters)
{
	adapters->is_synced = TRUE;
}

void adapters_set_engine(adapters_t *adapters, const char *engine,
			 gboolean is_listed)
{
	engine_locks_set_engine(adapters->engine_locks, now_of(adapters),
				engine, is_listed);
}

typedef struct {
	const char *adapter;
	int64_t version;
	ms_t now;
} declaration_t;

static void declare(gpointer key, gpointer value, gpointer ctx)
{
	held_engine_t *held = value;
	const declaration_t *declaration = ctx;

	if (held->cache)
		adapter_cache_require_version(held->cache, declaration->now,
					      declaration->adapter,
					      declaration->version);
}

void adapters_declare(adapters_t *adapters, const char *adapter,
		      int64_t version)
{
	declaration_t declaration = {adapter, version, now_of(adapters)};

	g_hash_table_foreach(adapters->held, declare, &declaration);
}

static gboolean is_backed_off(const adapters_t *adapters, const char *holder)
{
	const ms_t *since =
		g_hash_table_lookup(adapters->unresponsive_holders, holder);

	return since && now_of(adapters) - *since < HOLDER_BACKOFF_MS;
}

gboolean adapters_can_reach_holder(const adapters_t *adapters,
				   const char *engine)
{
	const char *holder =
		engine_locks_holder(adapters->engine_locks, engine);

	if (g_hash_table_contains(adapters->held, engine))
		return TRUE;
	return holder && adapters->peers &&
	       peers_is_connected(adapters->peers, holder) &&
	       !is_backed_off(adapters, holder);
}

guint adapters_instance_count(const adapters_t *adapters)
{
	return MAX(engine_locks_instance_count(adapters->engine_locks), 1);
}

void adapters_status(const adapters_t *adapters, GString *json)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	gboolean is_first = TRUE;
	guint admissions = 0;

	g_string_append_printf(json, ",\"instances\":%u,\"held\":{",
			       adapters_instance_count(adapters));
	g_hash_table_iter_init(&iter, adapters->held);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const held_engine_t *held = value;
		const held_admission_t *admission;

		TAILQ_FOREACH (admission, &held->admissions, link)
			admissions++;
		g_string_append_printf(
			json, "%s\"%s\":%u", is_first ? "" : ",", (char *)id,
			held->cache ? adapter_cache_count(held->cache) : 0);
		is_first = FALSE;
	}
	g_string_append_printf(json, "},\"admissions\":%u", admissions);
}
