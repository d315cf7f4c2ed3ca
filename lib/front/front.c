#include "front/front.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "front/front_private.h"
#include "platform/metadata_store.h"

/*
 * The platform takes an instance out of rotation after two probes, a second
 * apart, without a 200.
 */
#define ROTATION_MS 2500

/* The process ends this long before the grace time does. */
#define GRACE_MARGIN_MS 300

/* How often the planned stop checks whether it is complete. */
#define STOP_CHECK_MS 50

/*
 * Time between polls, in percent of the time within which a change must take
 * effect.  Three polls fit, so that one may be lost.
 */
#define POLL_INTERVAL_PERCENT 30

/*
 * Longest time between two polls of an instance that receives broadcasts, as a
 * share of the history that the store keeps.
 */
#define SKIP_HISTORY_SHARE 0.75

/*
 * Even if all instances that poll for the others fail at once, a fifth of that
 * time is left for a poll.
 */
G_STATIC_ASSERT(RELAY_AGE_MAX_PERCENT *POLL_INTERVAL_PERCENT / 100 <= 80);

/* Interval of checks for changed settings and of periodic work. */
#define SWEEP_MS 500

#define BYTES_PER_S_OF_MBPS (1e6 / 8)

/* Largest request body at the ready and metrics ports. */
#define STATUS_BODY_MAX 4096

/* Bytes of their incomplete requests. */
#define STATUS_BUFFERED_MAX (256 * 1024)

front_t *front_create(void)
{
	return g_new0(front_t, 1);
}

const setting_t *front_settings(front_t *front)
{
	front_settings_t *settings = &front->settings;
	const setting_t table[] = {
		{"callers_listen", SETTING_TEXT, &settings->callers_listen,
		 NULL, 0, 0},
		{"ready_listen", SETTING_TEXT, &settings->ready_listen, NULL, 0,
		 0},
		{"peer_address", SETTING_TEXT, &settings->peer_address, "", 0,
		 0},
		{"metrics_port", SETTING_INT, &settings->metrics_port, "0", 0,
		 65535},
		{"descriptors", SETTING_INT, &settings->descriptors, "4096",
		 1000, 1000000},
		{"grace_s", SETTING_NUMBER, &settings->grace_s, "8", 4, 600},
		{"order_gap_ms", SETTING_NUMBER, &settings->order_gap_ms,
		 "3000", 0, 600000},
		{"lease_ttl_ms", SETTING_INT, &settings->lease_ttl_ms, "2000",
		 1000, 600000},
		{"lease_ttl_min_ms", SETTING_NUMBER,
		 &settings->lease_ttl_min_ms, "1000", 1, 600000},
		{"config_ms", SETTING_NUMBER, &settings->config_ms, "2000", 100,
		 600000},
		{"drain_ms", SETTING_NUMBER, &settings->drain_ms, "2000", 100,
		 600000},
		{"heartbeat_ms", SETTING_NUMBER, &settings->heartbeat_ms,
		 "1200", 1, 600000},
		{"store_history_s", SETTING_NUMBER, &settings->store_history_s,
		 "20", 1, 1000000},
		{"repeat_share", SETTING_TEXT, &settings->repeat_share, "0.1",
		 0, 0},
		{"repeat_window_s", SETTING_NUMBER, &settings->repeat_window_s,
		 "10", 1, 3600},
		{"repeat_slack", SETTING_NUMBER, &settings->repeat_slack, "10",
		 0, 1000000},
		{"adapter_load_ms", SETTING_INT, &settings->adapter_load_ms,
		 "250", 1, 60000},
		{"adapter_again_ms", SETTING_INT, &settings->adapter_again_ms,
		 "25", 1, 60000},
		{"adapter_loads_percent", SETTING_INT,
		 &settings->adapter_loads_percent, "67", 1, 10000},
		{"prefill_per_s", SETTING_INT, &settings->prefill_per_s,
		 "38700", 1, 100000000},
		{"link_mbps", SETTING_NUMBER, &settings->link_mbps, "10", 1,
		 1000000},
		{"memory_mb", SETTING_NUMBER, &settings->memory_mb, "160", 32,
		 1000000},
		{"log_lines_max", SETTING_INT, &settings->log_lines_max, "200",
		 1, 100000},
		{"quota_slack", SETTING_NUMBER, &settings->quota_slack, "0", 0,
		 1e12},
		{NULL, SETTING_INT, NULL, NULL, 0, 0}};

	front->table = g_memdup2(table, sizeof(table));
	return front->table;
}

static void on_request(void *ctx, call_t *call)
{
	forward_begin(ctx, call);
}

static void on_gone(void *ctx, call_t *call)
{
	forward_on_caller_gone(call_data(call));
}

static void on_drained(void *ctx, call_t *call)
{
	forward_on_caller_drained(call_data(call));
}

static const route_limits_t *limits_in_force(void *ctx)
{
	front_t *front = ctx;

	return front->routes ? route_table_limits(front->routes) : NULL;
}

static void on_admitted(void *ctx, admission_id_t admission, int64_t version)
{
	forward_on_admitted(ctx, admission, version);
}

static void on_engine_load(void *ctx, const char *engine,
			   const endpoint_load_t *reported)
{
	front_t *front = ctx;
	fleet_endpoint_t *endpoint = fleet_find(front->fleet, engine);
	endpoint_load_t load = *reported;

	if (!endpoint)
		return;
	load.places = fleet_endpoint_places(endpoint);
	fleet_endpoint_note_load(endpoint, ms_clock_now(front->clock), &load);
}

static void on_queued(void *ctx, admission_id_t admission)
{
	forward_on_queued(ctx, admission);
}

static void on_refused(void *ctx, admission_id_t admission, refusal_t refusal,
		       ms_t retry_after)
{
	forward_on_refused(ctx, admission, refusal, retry_after);
}

static void on_adapter_unloaded(void *ctx, const char *engine,
				const char *adapter)
{
	front_t *front = ctx;
	fleet_endpoint_t *endpoint = fleet_find(front->fleet, engine);

	if (endpoint)
		fleet_endpoint_set_adapter(endpoint, adapter, 0);
}

static const service_t *service_of(void *ctx, const fleet_endpoint_t *engine)
{
	const front_t *front = ctx;

	if (!front->routes)
		return NULL;
	return route_table_service(front->routes,
				   fleet_endpoint_service(engine));
}

static gboolean has_organisations(void *ctx)
{
	const front_t *front = ctx;

	return front->routes && route_table_organisations(front->routes);
}

static int64_t declared_of(void *ctx, const char *adapter)
{
	front_t *front = ctx;
	const int64_t *version = g_hash_table_lookup(front->versions, adapter);

	return version ? *version : 0;
}

static ms_t settings_mtime(const front_t *front)
{
	struct stat file;

	if (stat(process_settings_path(front->process), &file) < 0)
		return 0;
	return (ms_t)file.st_mtim.tv_sec * MS_PER_S +
	       file.st_mtim.tv_nsec / 1000000;
}

static void on_sweep(uv_timer_t *timer)
{
	front_t *front = timer->data;
	ms_t changed_at = settings_mtime(front);

	front_forget_departed(front, ms_clock_now(front->clock));
	front_share_budget(front);
	counter_set(front->imbalance,
		    fleet_imbalance(front->fleet, ms_clock_now(front->clock)));
	if (changed_at && changed_at != front->settings_changed_at)
		front_reload(front);
}

void front_reload(front_t *front)
{
	front_settings_t previous = front->settings;
	GError *error = NULL;
	gboolean ok;

	front->settings_changed_at = settings_mtime(front);
	ok = process_reload(front->process, &error);
	if (ok) {
		log_info("settings read", "in_force",
			 "grace_s at once; other settings of hc-front at a "
			 "restart",
			 NULL);
		previous.grace_s = front->settings.grace_s;
	} else {
		log_warn("settings refused; the previous ones stay in force",
			 "error", error->message, NULL);
		g_clear_error(&error);
	}
	/* Strings of the former settings may be in use. */
	front->settings = previous;
}

static http_server_t *listen_status(front_t *front, const char *address,
				    int port, GError **error)
{
	http_server_options_t options = {.address = address,
					 .port = port,
					 .body_max = STATUS_BODY_MAX,
					 .connections_max =
						 HTTP_STATUS_CONNECTIONS_MAX};
	http_server_t *server =
		http_server_create(process_loop(front->process), &options);

	http_server_set_limits(server, HTTP_READ_TIMEOUT_MS,
			       STATUS_BUFFERED_MAX);
	http_server_route(server, headers_ready_path(), process_handle_ready,
			  front->process);
	process_route(front->process, server);
	if (http_server_listen(server, error))
		return server;
	return NULL;
}

static gboolean start_listeners(front_t *front, GError **error)
{
	static const callers_events_t events = {on_request, on_gone, on_drained,
						limits_in_force};
	callers_options_t options = {
		.loop = process_loop(front->process),
		.clock = front->clock,
		.budget = front->memory,
		.connections_max = front_connections_max(front),
	};
	char *callers = NULL;
	char *ready = NULL;
	int port = 0;
	gboolean ok;

	ok = process_split_address(front->settings.ready_listen, &ready, &port,
				   error);
	if (ok)
		front->ready = listen_status(front, ready, port, error);
	ok = ok && front->ready &&
	     process_split_address(front->settings.callers_listen, &callers,
				   &options.port, error);
	if (ok) {
		options.address = callers;
		front->callers =
			callers_create(&options, &events, front, error);
		ok = front->callers != NULL;
	}
	if (ok && front->settings.metrics_port) {
		front->metrics = listen_status(
			front, process_settings(front->process)->address,
			(int)front->settings.metrics_port, error);
		ok = front->metrics != NULL;
	}
	g_free(callers);
	g_free(ready);
	return ok;
}

static gboolean create_budget(front_t *front, GError **error)
{
	retry_budget_options_t options = {
		.slack = front->settings.repeat_slack,
		.window = (ms_t)(front->settings.repeat_window_s * MS_PER_S),
	};
	char *end;

	options.share = g_ascii_strtod(front->settings.repeat_share, &end);
	if (*end || options.share < 0 || options.share > 10) {
		error_set(error, ERROR_INVALID,
			  "setting 'repeat_share' is '%s'; give a number from "
			  "0 to 10",
			  front->settings.repeat_share);
		return FALSE;
	}
	front->budget = retry_budget_create(&options);
	return TRUE;
}

static ms_t gather_time(const front_t *front)
{
	double bound = MIN(front->settings.config_ms, front->settings.drain_ms);

	return (ms_t)(bound * POLL_INTERVAL_PERCENT / 100);
}

static relay_t *create_relay(const front_t *front)
{
	relay_options_t options = {
		.instance = process_settings(front->process)->instance,
		.poll_time = gather_time(front),
		.skip_max = (ms_t)(front->settings.store_history_s * MS_PER_S *
				   SKIP_HISTORY_SHARE),
		.link_bytes_per_s =
			front->settings.link_mbps * BYTES_PER_S_OF_MBPS,
	};

	return relay_create(&options);
}

static gboolean create_store(front_t *front, GError **error)
{
	metadata_store_options_t options = {
		.loop = process_loop(front->process),
		.clock = front->clock,
		.rand = front->rand,
		.poll_interval = front_poll_interval,
		.skip_time = front_poll_skip_time,
		.on_polled = front_on_polled,
		.on_regained = front_on_store_regained,
		.on_history = front_on_history,
		.ctx = front,
	};
	const char *address =
		process_settings(front->process)->key_value_service[0];
	char *host;

	if (!address) {
		error_set(error, ERROR_INVALID,
			  "setting 'key_value_service' is empty; name the "
			  "store's address");
		return FALSE;
	}
	if (!process_split_address(address, &host, &options.port, error))
		return FALSE;
	options.host = host;
	front->kv = metadata_store_create(&options);
	g_free(host);
	return TRUE;
}

static void create_adapters(front_t *front)
{
	static const adapters_events_t events = {
		.on_admitted = on_admitted,
		.on_engine_load = on_engine_load,
		.on_queued = on_queued,
		.on_refused = on_refused,
		.on_adapter_unloaded = on_adapter_unloaded,
		.on_updates = front_on_updates,
		.on_parts = front_on_parts,
		.on_notice = front_on_notice,
		.on_endpoint_news = front_on_endpoint_news,
		.on_peer = front_on_peer,
		.on_instance = front_on_instance,
		.service = service_of,
		.has_organisations = has_organisations,
		.declared = declared_of,
		.on_credit = forward_on_credit,
		.limit = front_organisation_limit,
	};
	const process_settings_t *settings = process_settings(front->process);
	adapters_options_t options = {
		.listen_address = settings->address,
		.listen_port = (int)settings->owner_port,
		.peer_address = front->settings.peer_address,
		.order_gap = (ms_t)ceil(front->settings.order_gap_ms),
		.lease_ttl = MAX(front->settings.lease_ttl_ms,
				 (ms_t)ceil(front->settings.lease_ttl_min_ms)),
		.load_time = front->settings.adapter_load_ms,
		.again_time = front->settings.adapter_again_ms,
		.loads_per_engine =
			(double)front->settings.adapter_loads_percent / 100,
		.prefill_per_ms =
			(double)front->settings.prefill_per_s / MS_PER_S,
		.quota_slack = front->settings.quota_slack,
	};

	front->adapters =
		adapters_create(front->process, front->kv, front->fleet,
				&options, &events, front);
}

static void create_metrics(front_t *front)
{
	front->requests = counter_get("hc_requests_total");
	front->answered =
		counter_get("hc_request_ends_total{outcome=\"answered\"}");
	front->refused =
		counter_get("hc_request_ends_total{outcome=\"refused\"}");
	front->failed =
		counter_get("hc_request_ends_total{outcome=\"failed\"}");
	front->gone = counter_get("hc_request_ends_total{outcome=\"gone\"}");
	front->unauthorized = counter_get("hc_unauthorized_total");
	front->organisation_counts = organisation_counts_create();
	front->repeats = counter_get("hc_repeats_total");
	front->leaving = counter_get("hc_endpoints_said_leaving_total");
	front->quiet = counter_get("hc_endpoints_asked_quiet_total");
	front->limited = counter_get("hc_endpoints_named_limit_total");
	front->work_shared = counter_get("hc_endpoint_work_passed_total");
	front->imbalance = counter_get("hc_endpoint_imbalance_percent");
	front->parts_held = counter_get("hc_prompt_parts_held_total");
	front->cut_answers = counter_get("hc_answers_cut_total");
	front->refused_answers = counter_get("hc_answers_refused_total");
	front->first_byte_time = histogram_get("hc_first_byte_ms");
	front->load_wait_time = histogram_get("hc_adapter_wait_ms");
}

/* Verifies the address that is published to the other instances. */
static gboolean check_peer_address(const front_t *front, GError **error)
{
	char *host = NULL;
	int port;
	gboolean ok = !*front->settings.peer_address ||
		      process_split_address(front->settings.peer_address, &host,
					    &port, error);

	g_free(host);
	return ok;
}

gboolean front_start(front_t *front, process_t *process, GError **error)
{
	static const mirror_events_t mirror_events = {front_on_item,
						      front_on_synced};
	links_options_t links = {process_loop(process), process_clock(process),
				 front_connections_max(front)};

	front->process = process;
	front->clock = process_clock(process);
	front->rand = process_rand(process);
	TAILQ_INIT(&front->forwards);
	front_create_memory(front);
	front->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	front_create_removals(front);
	front->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	front->replica_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	front->updates = kv_items_create();
	front->quarantine = quarantine_create(front->rand);
	front->crash_checks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	front->relay = create_relay(front);
	front->admissions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	front->credits = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL);
	create_metrics(front);
	front->fleet = fleet_create(process_settings(process)->instance,
				    process_settings(process)->failure_domain);
	fleet_set_rand(front->fleet, front->rand);
	front->links = links_create(&links);
	if (!check_peer_address(front, error) || !create_budget(front, error) ||
	    !create_store(front, error))
		return FALSE;
	create_adapters(front);
	front->mirror = mirror_create(front->kv, process_loop(process),
				      front->rand, &mirror_events, front);
	if (!start_listeners(front, error))
		return FALSE;
	front->settings_changed_at = settings_mtime(front);
	uv_timer_init(process_loop(process), &front->sweeper);
	front->sweeper.data = front;
	uv_timer_start(&front->sweeper, on_sweep, SWEEP_MS, SWEEP_MS);
	printf("listening %s\n", front->settings.callers_listen);
	fflush(stdout);
	log_set_rate_limit((int)front->settings.log_lines_max);
	log_info("started", "callers", front->settings.callers_listen, NULL);
	return TRUE;
}

static ms_t front_grace(const front_t *front)
{
	return (ms_t)(front->settings.grace_s * MS_PER_S) - GRACE_MARGIN_MS;
}

gboolean front_may_end_during(const front_t *front, ms_t time)
{
	ms_t passed = ms_clock_now(front->clock) - front->stopped_at;

	return front->stopped_at && passed >= ROTATION_MS &&
	       passed + time > front_grace(front);
}

/* Whether an answer of the ready or metrics port is not written yet. */
static gboolean status_is_busy(const front_t *front)
{
	return http_server_active(front->ready) ||
	       (front->metrics && http_server_active(front->metrics));
}

static void on_stop_check(uv_timer_t *timer)
{
	front_t *front = timer->data;
	ms_t passed = ms_clock_now(front->clock) - front->stopped_at;
	ms_t grace = front_grace(front);
	gboolean is_done = !callers_active(front->callers) &&
			   !status_is_busy(front) &&
			   adapters_is_stopped(front->adapters);

	if (passed >= ROTATION_MS)
		callers_close_idle(front->callers);
	if (passed < grace && (passed < ROTATION_MS || !is_done))
		return;
	/* The answers are sent before the process ends. */
	if (forward_end_all(front))
		return;
	log_info("stopped", "reason", is_done ? "done" : "grace time expired",
		 NULL);
	process_end(front->process);
}

void front_stop(front_t *front)
{
	front->stopped_at = ms_clock_now(front->clock);
	callers_drain(front->callers);
	adapters_stop(front->adapters);
	uv_timer_init(process_loop(front->process), &front->stopper);
	front->stopper.data = front;
	uv_timer_start(&front->stopper, on_stop_check, STOP_CHECK_MS,
		       STOP_CHECK_MS);
}

void front_status(front_t *front, GString *json)
{
	g_string_append_printf(
		json, ",\"configuration\":%" G_GINT64_FORMAT ",\"requests\":%u",
		(gint64)(front->routes ? route_table_version(front->routes)
				       : 0),
		callers_active(front->callers));
	adapters_status(front->adapters, json);
}

gboolean front_is_ready(front_t *front)
{
	return front->routes && mirror_is_synced(front->mirror);
}
