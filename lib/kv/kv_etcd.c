#include "kv/kv_etcd.h"

#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "http/http_client.h"
#include "kv/etcd_json.h"
#include "kv/etcd_watch.h"

/* Maximum size of an answer in bytes. */
#define ANSWER_MAX (16 * 1024 * 1024)

typedef enum { CALL_READ, CALL_WRITE, CALL_LEASE } call_kind_t;

typedef struct kv_etcd kv_etcd_t;

typedef struct etcd_call {
	TAILQ_ENTRY(etcd_call) link;
	kv_etcd_t *etcd;
	call_kind_t kind;
	const char *path;
	char *body;
	size_t attempts; /* number of addresses tried so far */
	guint address;	 /* index of the address in use */
	http_call_t *http;
	union {
		kv_read_done_t read;
		kv_write_done_t write;
		kv_lease_done_t lease;
	} done;
	void *done_ctx;
} etcd_call_t;

TAILQ_HEAD(call_list, etcd_call);

struct kv_etcd {
	uv_loop_t *loop;
	http_client_t *client;
	GArray *addresses; /* etcd_address_t */
	guint current;	   /* index of the address for new calls */
	ms_t timeout;
	size_t calls_max;
	size_t queue_max;
	struct call_list in_flight;
	struct call_list waiting;
	struct call_list refused;
	size_t in_flight_count;
	size_t waiting_count;
	uv_timer_t refusal_timer;
	etcd_watches_t *watches;
	counter_t *calls[CALL_LEASE + 1];
	counter_t *answers[KV_UNKNOWN + 1];
};

/* The result of a call of any kind. */
typedef struct {
	kv_status_t status;
	int64_t number; /* revision or lease */
	GArray *items;
	GError *error;
} answer_t;

static void call_free(etcd_call_t *call)
{
	g_free(call->body);
	g_free(call);
}

static void call_finish(etcd_call_t *call, const answer_t *answer)
{
	kv_item_t *items = NULL;
	size_t count = 0;

	counter_add(call->etcd->answers[answer->status], 1);
	if (answer->items) {
		items = (kv_item_t *)(void *)answer->items->data;
		count = answer->items->len;
	}
	if (call->kind == CALL_READ)
		call->done.read(call->done_ctx, answer->status, items, count,
				answer->number, answer->error);
	else if (call->kind == CALL_WRITE)
		call->done.write(call->done_ctx, answer->status, answer->number,
				 answer->error);
	else
		call->done.lease(call->done_ctx, answer->status, answer->number,
				 answer->error);
}

static void answer_release(answer_t *answer)
{
	if (answer->items)
		g_array_free(answer->items, TRUE);
	g_clear_error(&answer->error);
}

static void call_start(etcd_call_t *call);
static void call_start_at_next_address(etcd_call_t *call);

static void start_waiting(kv_etcd_t *etcd)
{
	while (etcd->in_flight_count < etcd->calls_max && etcd->waiting_count) {
		etcd_call_t *call = TAILQ_FIRST(&etcd->waiting);

		TAILQ_REMOVE(&etcd->waiting, call, link);
		etcd->waiting_count--;
		call->address = etcd->current;
		call_start(call);
	}
}

static void parse_answer(etcd_call_t *call, const char *body, size_t size,
			 answer_t *answer)
{
	gboolean is_done = TRUE;
	gboolean is_valid;

	if (call->kind == CALL_READ) {
		answer->items = kv_items_create();
		is_valid = etcd_parse_range(body, size, answer->items,
					    &answer->number, &answer->error);
	} else if (call->kind == CALL_WRITE) {
		is_valid = etcd_parse_txn(body, size, &is_done, &answer->number,
					  &answer->error);
	} else if (strstr(call->path, "revoke")) {
		is_valid = TRUE;
	} else {
		is_valid = etcd_parse_lease(body, size, &answer->number,
					    &answer->error);
		is_done = answer->number != 0;
	}
	if (!is_valid) {
		answer->status = KV_UNKNOWN;
		g_clear_pointer(&answer->items, g_array_unref);
	} else {
		answer->status = is_done ? KV_DONE : KV_CONFLICT;
	}
}

/* Decide from an HTTP error status whether the call may have taken effect. */
static void parse_error_status(call_kind_t kind, int status, const char *body,
			       size_t size, answer_t *answer)
{
	char *message = etcd_parse_error(body, size);
	gboolean is_certain =
		(status >= 400 && status < 500 && status != 408) ||
		strstr(message, "no leader");

	answer->status = is_certain ? KV_FAILED : KV_UNKNOWN;
	if (kind == CALL_LEASE && strstr(message, "lease not found"))
		answer->status = KV_CONFLICT;
	error_set(&answer->error,
		  status == 429 ? ERROR_OVERLOADED : ERROR_UNAVAILABLE,
		  "the key-value service answered %d (%.100s); try again later",
		  status, message);
	g_free(message);
}

static gboolean may_try_next(const etcd_call_t *call, int status,
			     const GError *error)
{
	if (call->attempts >= call->etcd->addresses->len)
		return FALSE;
	if (call->kind == CALL_READ)
		return error || status >= 500;
	return error && error_kind(error) == ERROR_UNAVAILABLE;
}

static void on_answer(void *ctx, int status, const char *body, size_t size,
		      const GError *error)
{
	etcd_call_t *call = ctx;
	kv_etcd_t *etcd = call->etcd;
	answer_t answer = {KV_DONE, 0, NULL, NULL};

	TAILQ_REMOVE(&etcd->in_flight, call, link);
	etcd->in_flight_count--;
	if (may_try_next(call, status, error)) {
		call_start_at_next_address(call);
		return;
	}
	if (error) {
		answer.status = error_kind(error) == ERROR_UNAVAILABLE
					? KV_FAILED
					: KV_UNKNOWN;
		answer.error = g_error_copy(error);
	} else if (status == 200) {
		parse_answer(call, body, size, &answer);
	} else {
		parse_error_status(call->kind, status, body, size, &answer);
	}
	if (call->kind == CALL_READ && answer.status == KV_UNKNOWN)
		answer.status = KV_FAILED;
	start_waiting(etcd);
	call_finish(call, &answer);
	answer_release(&answer);
	call_free(call);
}

static void call_start(etcd_call_t *call)
{
	static const http_header_t headers[] = {
		{"content-type", "application/json"}, {NULL, NULL}};
	kv_etcd_t *etcd = call->etcd;
	const etcd_address_t *address =
		&g_array_index(etcd->addresses, etcd_address_t, call->address);
	http_call_request_t request = {
		.host = address->host,
		.port = address->port,
		.method = "POST",
		.path = call->path,
		.headers = headers,
		.body = call->body,
		.body_size = strlen(call->body),
		.timeout = etcd->timeout,
	};

	call->attempts++;
	TAILQ_INSERT_TAIL(&etcd->in_flight, call, link);
	etcd->in_flight_count++;
	call->http = http_call_buffered(etcd->client, &request, ANSWER_MAX,
					on_answer, call);
}

/* Calls that failed at the same address all move to the same next one. */
static void call_start_at_next_address(etcd_call_t *call)
{
	kv_etcd_t *etcd = call->etcd;

	call->address = (call->address + 1) % etcd->addresses->len;
	etcd->current = call->address;
	call_start(call);
}

static void on_refusal_timer(uv_timer_t *timer)
{
	kv_etcd_t *etcd = timer->data;
	struct call_list refused = TAILQ_HEAD_INITIALIZER(refused);
	etcd_call_t *call;

	TAILQ_CONCAT(&refused, &etcd->refused, link);
	while ((call = TAILQ_FIRST(&refused))) {
		answer_t answer = {KV_FAILED, 0, NULL, NULL};

		TAILQ_REMOVE(&refused, call, link);
		error_set(
			&answer.error, ERROR_OVERLOADED,
			"too many calls are queued for the key-value service; "
			"try again later");
		call_finish(call, &answer);
		answer_release(&answer);
		call_free(call);
	}
}

/* Takes ownership of body. */
static etcd_call_t *call_create(kv_etcd_t *etcd, call_kind_t kind,
				const char *path, char *body, void *done_ctx)
{
	etcd_call_t *call = g_new0(etcd_call_t, 1);

	call->etcd = etcd;
	call->kind = kind;
	call->path = path;
	call->body = body;
	call->done_ctx = done_ctx;
	counter_add(etcd->calls[kind], 1);
	return call;
}

static void call_submit(etcd_call_t *call)
{
	kv_etcd_t *etcd = call->etcd;

	if (etcd->in_flight_count < etcd->calls_max) {
		call->address = etcd->current;
		call_start(call);
	} else if (etcd->waiting_count < etcd->queue_max) {
		TAILQ_INSERT_TAIL(&etcd->waiting, call, link);
		etcd->waiting_count++;
	} else {
		TAILQ_INSERT_TAIL(&etcd->refused, call, link);
		uv_timer_start(&etcd->refusal_timer, on_refusal_timer, 0, 0);
	}
}

static void etcd_read(void *ctx, const char *key, gboolean is_prefix,
		      kv_read_done_t done, void *done_ctx)
{
	etcd_call_t *call =
		call_create(ctx, CALL_READ, "/v3/kv/range",
			    etcd_render_range(key, is_prefix), done_ctx);

	call->done.read = done;
	call_submit(call);
}

static void etcd_write(void *ctx, const kv_write_t *writes, size_t count,
		       kv_write_done_t done, void *done_ctx)
{
	etcd_call_t *call =
		call_create(ctx, CALL_WRITE, "/v3/kv/txn",
			    etcd_render_txn(writes, count), done_ctx);

	call->done.write = done;
	call_submit(call);
}

static void submit_lease(kv_etcd_t *etcd, const char *path, char *body,
			 kv_lease_done_t done, void *done_ctx)
{
	etcd_call_t *call = call_create(etcd, CALL_LEASE, path, body, done_ctx);

	call->done.lease = done;
	call_submit(call);
}

static void etcd_lease_grant(void *ctx, ms_t ttl, kv_lease_done_t done,
			     void *done_ctx)
{
	submit_lease(ctx, "/v3/lease/grant", etcd_render_lease_grant(ttl), done,
		     done_ctx);
}

static void etcd_lease_renew(void *ctx, int64_t lease, kv_lease_done_t done,
			     void *done_ctx)
{
	submit_lease(ctx, "/v3/lease/keepalive", etcd_render_lease(lease), done,
		     done_ctx);
}

static void etcd_lease_revoke(void *ctx, int64_t lease, kv_lease_done_t done,
			      void *done_ctx)
{
	submit_lease(ctx, "/v3/lease/revoke", etcd_render_lease(lease), done,
		     done_ctx);
}

static kv_watch_t *etcd_watch(void *ctx, const char *prefix, int64_t after,
			      kv_watch_event_t on_event, kv_watch_end_t on_end,
			      void *watch_ctx)
{
	kv_etcd_t *etcd = ctx;

	return etcd_watch_start(etcd->watches, prefix, after, on_event, on_end,
				watch_ctx);
}

static void etcd_watch_cancel(void *ctx, kv_watch_t *watch)
{
	etcd_watch_stop(watch);
}

static void drop_calls(struct call_list *calls)
{
	etcd_call_t *call;

	while ((call = TAILQ_FIRST(calls))) {
		TAILQ_REMOVE(calls, call, link);
		if (call->http)
			http_call_cancel(call->http);
		call_free(call);
	}
}

static void on_timer_closed(uv_handle_t *handle)
{
	kv_etcd_t *etcd = handle->data;

	g_array_free(etcd->addresses, TRUE);
	g_free(etcd);
}

static void etcd_destroy(void *ctx)
{
	kv_etcd_t *etcd = ctx;

	drop_calls(&etcd->in_flight);
	drop_calls(&etcd->waiting);
	drop_calls(&etcd->refused);
	etcd_watches_destroy(etcd->watches);
	http_client_destroy(etcd->client);
	uv_close((uv_handle_t *)&etcd->refusal_timer, on_timer_closed);
}

static const kv_calls_t etcd_calls = {
	.read = etcd_read,
	.write = etcd_write,
	.lease_grant = etcd_lease_grant,
	.lease_renew = etcd_lease_renew,
	.lease_revoke = etcd_lease_revoke,
	.watch = etcd_watch,
	.watch_cancel = etcd_watch_cancel,
	.destroy = etcd_destroy,
};

static gboolean parse_address(const char *text, etcd_address_t *address,
			      GError **error)
{
	const char *colon = strrchr(text, ':');
	struct sockaddr_in unused;
	gint64 port;

	if (colon) {
		g_snprintf(address->host, sizeof(address->host), "%.*s",
			   (int)(colon - text), text);
		port = g_ascii_strtoll(colon + 1, NULL, 10);
		if (port > 0 && port <= 65535 &&
		    !uv_ip4_addr(address->host, (int)port, &unused)) {
			address->port = (int)port;
			return TRUE;
		}
	}
	error_set(error, ERROR_INVALID,
		  "'%s' is not an address of a key-value service; use IP:PORT",
		  text);
	return FALSE;
}

static void init_counters(kv_etcd_t *etcd)
{
	etcd->calls[CALL_READ] =
		counter_get("hc_kv_calls_total{kind=\"read\"}");
	etcd->calls[CALL_WRITE] =
		counter_get("hc_kv_calls_total{kind=\"write\"}");
	etcd->calls[CALL_LEASE] =
		counter_get("hc_kv_calls_total{kind=\"lease\"}");
	etcd->answers[KV_DONE] =
		counter_get("hc_kv_answers_total{status=\"done\"}");
	etcd->answers[KV_CONFLICT] =
		counter_get("hc_kv_answers_total{status=\"conflict\"}");
	etcd->answers[KV_FAILED] =
		counter_get("hc_kv_answers_total{status=\"failed\"}");
	etcd->answers[KV_UNKNOWN] =
		counter_get("hc_kv_answers_total{status=\"unknown\"}");
}

kv_t *kv_etcd_create(const kv_etcd_options_t *options, GError **error)
{
	GArray *addresses = g_array_new(FALSE, TRUE, sizeof(etcd_address_t));
	kv_etcd_t *etcd;
	size_t i;

	for (i = 0; options->addresses[i]; i++) {
		etcd_address_t address;

		if (!parse_address(options->addresses[i], &address, error)) {
			g_array_free(addresses, TRUE);
			return NULL;
		}
		g_array_append_val(addresses, address);
	}
	g_assert(addresses->len);
	etcd = g_new0(kv_etcd_t, 1);
	etcd->loop = options->loop;
	etcd->client = http_client_create(options->loop);
	etcd->addresses = addresses;
	etcd->timeout = options->timeout;
	etcd->calls_max = options->calls_max;
	etcd->queue_max = options->queue_max;
	TAILQ_INIT(&etcd->in_flight);
	TAILQ_INIT(&etcd->waiting);
	TAILQ_INIT(&etcd->refused);
	uv_timer_init(options->loop, &etcd->refusal_timer);
	etcd->refusal_timer.data = etcd;
	etcd->watches =
		etcd_watches_create(etcd->client, addresses, &etcd->current);
	init_counters(etcd);
	return kv_create(&etcd_calls, etcd);
}
