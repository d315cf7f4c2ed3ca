#include "standin/kv_service.h"

#include <string.h>
#include <sys/queue.h>

#include "http/http_server.h"
#include "standin/kv_gateway.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)

/* Interval of checks of leases, delayed calls and delayed events. */
#define TICK_MS		 5
#define RATE_WINDOW_MS	 1000
#define CODE_UNAVAILABLE 14
#define CODE_EXHAUSTED	 8

/* A delayed call; it takes effect even if the client disconnects. */
typedef struct delayed_call {
	TAILQ_ENTRY(delayed_call) link;
	http_request_t *request; /* NULL once the client has disconnected */
	ms_t due;
	char *path;
	char *body;
	size_t size;
} delayed_call_t;

typedef struct {
	ms_t due;
	GString *text;
} delayed_event_t;

typedef struct open_watch {
	TAILQ_ENTRY(open_watch) link;
	kv_service_t *service;
	http_request_t *request;
	char *key;
	char *end;
	GQueue delayed_events; /* delayed_event_t */
} open_watch_t;

TAILQ_HEAD(delayed_list, delayed_call);
TAILQ_HEAD(watch_list, open_watch);

struct kv_service {
	uv_loop_t *loop;
	http_server_t *server;
	kv_store_t *store;
	ms_clock_t *clock;
	uv_timer_t tick;
	kv_service_faults_t faults;
	kv_service_stats_t stats;
	struct delayed_list delayed;
	struct watch_list watches;
	ms_t rate_window_start;
	int64_t rate_window_calls;
};

static void respond(http_request_t *request, const gateway_response_t *response)
{
	http_respond(request, response->status, "application/json", NULL,
		     response->body->str, response->body->len);
}

static void delayed_event_free(gpointer data)
{
	delayed_event_t *event = data;

	g_string_free(event->text, TRUE);
	g_free(event);
}

static void watch_free(open_watch_t *watch)
{
	TAILQ_REMOVE(&watch->service->watches, watch, link);
	g_queue_clear_full(&watch->delayed_events, delayed_event_free);
	g_free(watch->key);
	g_free(watch->end);
	g_free(watch);
}

static gboolean watch_covers(const open_watch_t *watch, const char *key)
{
	if (!watch->end)
		return !strcmp(key, watch->key);
	return strcmp(key, watch->key) >= 0 &&
	       (!*watch->end || strcmp(key, watch->end) < 0);
}

static void queue_event(void *ctx, const kv_record_t *record)
{
	open_watch_t *watch = ctx;
	kv_service_t *service = watch->service;
	delayed_event_t *event;

	if (!watch_covers(watch, record->key))
		return;
	event = g_new0(delayed_event_t, 1);
	event->due = ms_clock_now(service->clock) + service->faults.watch_lag;
	event->text = g_string_new(NULL);
	gateway_append_event(event->text, record);
	g_queue_push_tail(&watch->delayed_events, event);
}

static void queue_event_on_watches(void *ctx, const kv_record_t *record)
{
	kv_service_t *service = ctx;
	open_watch_t *watch;

	TAILQ_FOREACH (watch, &service->watches, link)
		queue_event(watch, record);
}

static void send_due_events(open_watch_t *watch, ms_t now)
{
	delayed_event_t *event;

	while ((event = g_queue_peek_head(&watch->delayed_events)) &&
	       event->due <= now) {
		g_queue_pop_head(&watch->delayed_events);
		http_stream_write(watch->request, event->text->str,
				  event->text->len);
		delayed_event_free(event);
	}
}

static void send_all_due_events(kv_service_t *service)
{
	ms_t now = ms_clock_now(service->clock);
	open_watch_t *watch = TAILQ_FIRST(&service->watches);

	if (service->faults.mode != KV_SERVICE_UP)
		return;
	while (watch) {
		open_watch_t *next = TAILQ_NEXT(watch, link);

		send_due_events(watch, now);
		watch = next;
	}
}

static void on_watch_abort(void *ctx, http_request_t *request)
{
	watch_free(ctx);
}

static void abort_watches(kv_service_t *service)
{
	open_watch_t *watch = TAILQ_FIRST(&service->watches);

	while (watch) {
		http_request_t *request = watch->request;
		open_watch_t *next = TAILQ_NEXT(watch, link);

		http_request_on_abort(request, NULL, NULL);
		watch_free(watch);
		http_stream_break(request);
		watch = next;
	}
}

static void count_call(kv_service_t *service, const char *path)
{
	if (!strcmp(path, "/v3/kv/range"))
		service->stats.reads++;
	else if (strstr(path, "/lease/"))
		service->stats.lease_calls++;
	else if (!strcmp(path, "/v3/watch"))
		service->stats.watches++;
	else
		service->stats.writes++;
}

static gboolean is_over_rate(kv_service_t *service)
{
	ms_t now = ms_clock_now(service->clock);

	if (!service->faults.rate_limit)
		return FALSE;
	if (now - service->rate_window_start >= RATE_WINDOW_MS) {
		service->rate_window_start = now;
		service->rate_window_calls = 0;
	}
	return service->rate_window_calls++ >= service->faults.rate_limit;
}

/* Returns TRUE if the call was refused or gets no response. */
static gboolean refuse_call(kv_service_t *service, http_request_t *request)
{
	gateway_response_t response = {0, NULL};

	if (service->faults.mode == KV_SERVICE_SILENT)
		return TRUE;
	response.body = g_string_new(NULL);
	if (service->faults.mode == KV_SERVICE_REFUSING)
		gateway_error(&response, 503, CODE_UNAVAILABLE,
			      "etcdserver: no leader");
	else if (is_over_rate(service))
		gateway_error(&response, 429, CODE_EXHAUSTED,
			      "etcdserver: too many requests");
	if (response.status) {
		service->stats.refused++;
		respond(request, &response);
	}
	g_string_free(response.body, TRUE);
	return response.status != 0;
}

/* request is NULL if the client has disconnected. */
static void apply_call(kv_service_t *service, http_request_t *request,
		       const char *path, const char *body, size_t size)
{
	gateway_response_t response = {200, g_string_new(NULL)};
	gboolean is_write = strcmp(path, "/v3/kv/range") != 0;

	gateway_apply(service->store, path, body, size,
		      ms_clock_now(service->clock), &response);
	send_all_due_events(service);
	if (request && is_write && response.status == 200 &&
	    service->faults.lose > 0) {
		service->faults.lose--;
		http_stream_begin(request, 200, "application/json", NULL);
		http_stream_break(request);
	} else if (request) {
		respond(request, &response);
	}
	g_string_free(response.body, TRUE);
}

static void on_delayed_abort(void *ctx, http_request_t *request)
{
	((delayed_call_t *)ctx)->request = NULL;
}

static void delay_call(kv_service_t *service, http_request_t *request)
{
	delayed_call_t *call = g_new0(delayed_call_t, 1);
	const char *body = http_request_body(request, &call->size);

	call->request = request;
	call->due = ms_clock_now(service->clock) + service->faults.delay;
	call->path = g_strdup(http_request_path(request));
	call->body = g_malloc0(call->size + 1);
	memcpy(call->body, body, call->size);
	http_request_on_abort(request, on_delayed_abort, call);
	TAILQ_INSERT_TAIL(&service->delayed, call, link);
}

static void apply_delayed_calls(kv_service_t *service)
{
	ms_t now = ms_clock_now(service->clock);
	delayed_call_t *call = TAILQ_FIRST(&service->delayed);

	while (call) {
		delayed_call_t *next = TAILQ_NEXT(call, link);

		if (call->due <= now) {
			TAILQ_REMOVE(&service->delayed, call, link);
			if (call->request)
				http_request_on_abort(call->request, NULL,
						      NULL);
			apply_call(service, call->request, call->path,
				   call->body, call->size);
			g_free(call->path);
			g_free(call->body);
			g_free(call);
		}
		call = next;
	}
}

static void on_call(void *ctx, http_request_t *request)
{
	kv_service_t *service = ctx;
	const char *path = http_request_path(request);
	const char *body;
	size_t size;

	count_call(service, path);
	if (refuse_call(service, request))
		return;
	if (service->faults.delay > 0) {
		delay_call(service, request);
		return;
	}
	body = http_request_body(request, &size);
	apply_call(service, request, path, body, size);
}

static void on_watch(void *ctx, http_request_t *request)
{
	kv_service_t *service = ctx;
	open_watch_t *watch;
	GString *line;
	const char *body;
	size_t size;
	int64_t start = 0;

	count_call(service, "/v3/watch");
	if (refuse_call(service, request))
		return;
	watch = g_new0(open_watch_t, 1);
	watch->service = service;
	watch->request = request;
	TAILQ_INSERT_TAIL(&service->watches, watch, link);
	body = http_request_body(request, &size);
	line = g_string_new(NULL);
	http_stream_begin(request, 200, "application/json", NULL);
	if (!gateway_parse_watch(body, size, &watch->key, &watch->end,
				 &start) ||
	    (start &&
	     !kv_store_replay(service->store, start - 1, queue_event, watch))) {
		gateway_append_watch_state(
			line, kv_store_revision(service->store), "canceled");
		watch_free(watch);
		http_stream_write(request, line->str, line->len);
		http_stream_end(request);
	} else {
		gateway_append_watch_state(
			line, kv_store_revision(service->store), "created");
		http_request_on_abort(request, on_watch_abort, watch);
		http_stream_write(request, line->str, line->len);
	}
	g_string_free(line, TRUE);
}

static gboolean parse_mode(const char *text, kv_service_mode_t *mode)
{
	if (!strcmp(text, "up"))
		*mode = KV_SERVICE_UP;
	else if (!strcmp(text, "refuse"))
		*mode = KV_SERVICE_REFUSING;
	else if (!strcmp(text, "silent"))
		*mode = KV_SERVICE_SILENT;
	else
		return FALSE;
	return TRUE;
}

/* Returns FALSE if the parameter is present and not a number of 0 or more. */
static gboolean read_number(http_request_t *request, const char *name,
			    int64_t *value)
{
	const char *text = http_request_query(request, name);
	guint64 number;

	if (!text)
		return TRUE;
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &number, NULL))
		return FALSE;
	*value = (int64_t)number;
	return TRUE;
}

static void on_control(void *ctx, http_request_t *request)
{
	kv_service_t *service = ctx;
	kv_service_faults_t faults = service->faults;
	const char *mode = http_request_query(request, "outage");
	GError *error = NULL;

	if ((mode && !parse_mode(mode, &faults.mode)) ||
	    !read_number(request, "slow", &faults.delay) ||
	    !read_number(request, "lose", &faults.lose) ||
	    !read_number(request, "watch_lag", &faults.watch_lag) ||
	    !read_number(request, "rate", &faults.rate_limit)) {
		error_set(&error, ERROR_INVALID,
			  "invalid value; use outage=up|refuse|silent or "
			  "slow, lose, watch_lag, rate as numbers");
		http_respond_error(request, error, OUTCOME_NOT_RUN, 0);
		g_error_free(error);
		return;
	}
	kv_service_set_faults(service, &faults);
	http_respond(request, 200, "application/json", NULL, "{}", 2);
}

static void on_stats(void *ctx, http_request_t *request)
{
	const kv_service_t *service = ctx;
	const kv_service_stats_t *stats = &service->stats;
	const open_watch_t *watch;
	int open = 0;
	char *text;

	TAILQ_FOREACH (watch, &service->watches, link)
		open++;
	text = g_strdup_printf(
		"{\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
		",\"lease_calls\":%" G_GINT64_FORMAT
		",\"watches\":%" G_GINT64_FORMAT
		",\"refused\":%" G_GINT64_FORMAT
		",\"watches_open\":%d,\"revision\":%" G_GINT64_FORMAT "}\n",
		stats->reads, stats->writes, stats->lease_calls, stats->watches,
		stats->refused, open, kv_store_revision(service->store));
	http_respond(request, 200, "application/json", NULL, text,
		     strlen(text));
	g_free(text);
}

static void on_tick(uv_timer_t *timer)
{
	kv_service_t *service = timer->data;

	kv_store_expire(service->store, ms_clock_now(service->clock));
	apply_delayed_calls(service);
	send_all_due_events(service);
}

kv_service_t *kv_service_create(uv_loop_t *loop, int port)
{
	http_server_options_t options = {"127.0.0.1", port, BODY_MAX_BYTES,
					 NULL,	      0,    FALSE};
	kv_service_t *service = g_new0(kv_service_t, 1);

	service->loop = loop;
	service->clock = ms_clock_create_system();
	service->store = kv_store_create(queue_event_on_watches, service);
	TAILQ_INIT(&service->delayed);
	TAILQ_INIT(&service->watches);
	service->server = http_server_create(loop, &options);
	http_server_route(service->server, "/v3/kv", on_call, service);
	http_server_route(service->server, "/v3/lease", on_call, service);
	http_server_route(service->server, "/v3/watch", on_watch, service);
	http_server_route(service->server, "/control/stats", on_stats, service);
	http_server_route(service->server, "/control", on_control, service);
	return service;
}

gboolean kv_service_listen(kv_service_t *service, GError **error)
{
	if (!http_server_listen(service->server, error))
		return FALSE;
	uv_timer_init(service->loop, &service->tick);
	service->tick.data = service;
	uv_timer_start(&service->tick, on_tick, TICK_MS, TICK_MS);
	return TRUE;
}

int kv_service_port(const kv_service_t *service)
{
	return http_server_port(service->server);
}

void kv_service_close(kv_service_t *service)
{
	abort_watches(service);
	uv_close((uv_handle_t *)&service->tick, NULL);
	http_server_close(service->server);
}

void kv_service_destroy(kv_service_t *service)
{
	delayed_call_t *call;

	while ((call = TAILQ_FIRST(&service->delayed))) {
		TAILQ_REMOVE(&service->delayed, call, link);
		g_free(call->path);
		g_free(call->body);
		g_free(call);
	}
	http_server_destroy(service->server);
	kv_store_destroy(service->store);
	ms_clock_destroy(service->clock);
	g_free(service);
}

void kv_service_set_faults(kv_service_t *service,
			   const kv_service_faults_t *faults)
{
	service->faults = *faults;
	if (faults->mode == KV_SERVICE_REFUSING)
		abort_watches(service);
}

const kv_service_faults_t *kv_service_faults(const kv_service_t *service)
{
	return &service->faults;
}

const kv_service_stats_t *kv_service_stats(const kv_service_t *service)
{
	return &service->stats;
}

kv_store_t *kv_service_store(kv_service_t *service)
{
	return service->store;
}
