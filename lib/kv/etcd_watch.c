#include "kv/etcd_watch.h"

#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "kv/etcd_json.h"

/* Maximum line length; a longer line ends the watch. */
#define LINE_MAX_BYTES (4 * 1024 * 1024)

struct kv_watch {
	TAILQ_ENTRY(kv_watch) link;
	etcd_watches_t *watches;
	http_call_t *call; /* NULL after it has ended or was cancelled */
	char *body;
	guint address;	  /* index of the address in use */
	guint attempts;	  /* number of addresses tried so far */
	GString *line;	  /* an incomplete line */
	gboolean is_busy; /* in a callback; freed after it */
	gboolean is_stopped;
	kv_watch_event_t on_event;
	kv_watch_end_t on_end;
	void *ctx;
};

TAILQ_HEAD(watch_list, kv_watch);

struct etcd_watches {
	http_client_t *client;
	const GArray *addresses;
	guint *current;
	struct watch_list open;
	counter_t *started;
	counter_t *open_gauge;
};

etcd_watches_t *etcd_watches_create(http_client_t *client,
				    const GArray *addresses, guint *current)
{
	etcd_watches_t *watches = g_new0(etcd_watches_t, 1);

	watches->client = client;
	watches->addresses = addresses;
	watches->current = current;
	TAILQ_INIT(&watches->open);
	watches->started = counter_get("hc_kv_calls_total{kind=\"watch\"}");
	watches->open_gauge = counter_get("hc_kv_watches");
	return watches;
}

static void watch_free(kv_watch_t *watch)
{
	g_string_free(watch->line, TRUE);
	g_free(watch->body);
	g_free(watch);
}

static void watch_detach(kv_watch_t *watch)
{
	watch->is_stopped = TRUE;
	TAILQ_REMOVE(&watch->watches->open, watch, link);
	counter_add(watch->watches->open_gauge, -1);
	if (watch->call)
		http_call_cancel(watch->call);
	watch->call = NULL;
}

void etcd_watch_stop(kv_watch_t *watch)
{
	if (watch->is_stopped)
		return;
	watch_detach(watch);
	if (!watch->is_busy)
		watch_free(watch);
}

void etcd_watches_destroy(etcd_watches_t *watches)
{
	kv_watch_t *watch = TAILQ_FIRST(&watches->open);

	while (watch) {
		kv_watch_t *next = TAILQ_NEXT(watch, link);

		etcd_watch_stop(watch);
		watch = next;
	}
	g_free(watches);
}

/* Call with is_busy set; the calling function frees the watch. */
static void watch_fail(kv_watch_t *watch, const GError *error)
{
	if (watch->is_stopped)
		return;
	watch_detach(watch);
	watch->on_end(watch->ctx, error);
}

static void handle_line(kv_watch_t *watch, const char *line, size_t size)
{
	GArray *items = kv_items_create();
	GError *error = NULL;
	guint i;

	if (!etcd_parse_watch(line, size, items, &error)) {
		watch_fail(watch, error);
		g_clear_error(&error);
	}
	for (i = 0; i < items->len && !watch->is_stopped; i++)
		watch->on_event(watch->ctx,
				&g_array_index(items, kv_item_t, i));
	g_array_free(items, TRUE);
}

static void handle_lines(kv_watch_t *watch)
{
	GString *line = watch->line;
	char *newline;

	while (!watch->is_stopped &&
	       (newline = memchr(line->str, '\n', line->len))) {
		size_t size = (size_t)(newline - line->str);

		if (size)
			handle_line(watch, line->str, size);
		g_string_erase(line, 0, (gssize)size + 1);
	}
}

static void on_data(void *ctx, const char *data, size_t size)
{
	kv_watch_t *watch = ctx;
	GError *error = NULL;

	watch->is_busy = TRUE;
	g_string_append_len(watch->line, data, (gssize)size);
	handle_lines(watch);
	if (watch->line->len > LINE_MAX_BYTES) {
		error_set(
			&error, ERROR_TOO_LARGE,
			"a watch event is larger than %d bytes; read the keys",
			LINE_MAX_BYTES);
		watch_fail(watch, error);
		g_clear_error(&error);
	}
	watch->is_busy = FALSE;
	if (watch->is_stopped)
		watch_free(watch);
}

static void watch_connect(kv_watch_t *watch);

static void on_call_end(void *ctx, int status, const GError *error)
{
	kv_watch_t *watch = ctx;
	etcd_watches_t *watches = watch->watches;
	GError *ended = NULL;

	watch->call = NULL;
	if (!status && watch->attempts < watches->addresses->len) {
		watch->address = (watch->address + 1) % watches->addresses->len;
		*watches->current = watch->address;
		watch_connect(watch);
		return;
	}
	watch->is_busy = TRUE;
	error_set(&ended, ERROR_UNAVAILABLE,
		  "the watch ended (status %d: %s); read the keys and watch "
		  "again",
		  status, error ? error->message : "closed by the service");
	watch_fail(watch, ended);
	g_clear_error(&ended);
	watch_free(watch);
}

static void watch_connect(kv_watch_t *watch)
{
	static const http_header_t headers[] = {
		{"content-type", "application/json"}, {NULL, NULL}};
	static const http_call_events_t events = {NULL, on_data, on_call_end};
	etcd_watches_t *watches = watch->watches;
	const etcd_address_t *address = &g_array_index(
		watches->addresses, etcd_address_t, watch->address);
	http_call_request_t request = {
		.host = address->host,
		.port = address->port,
		.method = "POST",
		.path = "/v3/watch",
		.headers = headers,
		.body = watch->body,
		.body_size = strlen(watch->body),
		.is_fresh = TRUE,
	};

	watch->attempts++;
	watch->call =
		http_call_start(watches->client, &request, &events, watch);
}

kv_watch_t *etcd_watch_start(etcd_watches_t *watches, const char *prefix,
			     int64_t after, kv_watch_event_t on_event,
			     kv_watch_end_t on_end, void *ctx)
{
	kv_watch_t *watch = g_new0(kv_watch_t, 1);

	watch->watches = watches;
	watch->body = etcd_render_watch(prefix, after);
	watch->address = *watches->current;
	watch->line = g_string_new(NULL);
	watch->on_event = on_event;
	watch->on_end = on_end;
	watch->ctx = ctx;
	TAILQ_INSERT_TAIL(&watches->open, watch, link);
	counter_add(watches->started, 1);
	counter_add(watches->open_gauge, 1);
	watch_connect(watch);
	return watch;
}
