#include "front/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/tcp.h"

/* Size of one read; a connection with more to read lets others go first. */
#define READ_SIZE (16 * 1024)

/* Largest head of an answer, with those of interim responses before it. */
#define HEAD_MAX_BYTES (32 * 1024)

/* A connection takes 5 ms; a lost SYN is sent again after one second. */
#define CONNECT_MS 400

/*
 * Time for sent data to be acknowledged; after that, the endpoint is
 * unreachable.
 */
#define ACK_TIMEOUT_MS 2500

/* TCP keepalive of connections without traffic, in seconds. */
#define KEEPALIVE_S	 1
#define KEEPALIVE_EACH_S 1
#define KEEPALIVE_MISSES 2

/* Idle timeout if the endpoint states none. */
#define IDLE_DEFAULT_MS 700
/* Part of the stated idle timeout during which a connection is reused. */
#define IDLE_REUSE_PERCENT 50
#define IDLE_MAX_MS	   10000

typedef enum {
	LINK_CONNECTING,
	LINK_BUSY,
	LINK_IDLE,
	LINK_CLOSING
} link_state_t;

typedef struct link {
	TAILQ_ENTRY(link) entry; /* in the idle list of its pool */
	struct pool *pool;
	uv_tcp_t tcp;
	uv_timer_t timer; /* for the connect or the idle timeout */
	int handles;	  /* libuv handles not yet closed */
	uv_connect_t connect;
	uv_write_t write;
	http1_reader_t *reader;
	link_state_t state;
	exchange_t *exchange; /* NULL if idle or cancelled */
	char *last_id;	      /* of the newest request, or NULL */
	ms_t idle_timeout;
	gboolean keeps_alive;
	gboolean closes_after; /* this exchange, whatever the answer says */
	gboolean is_fresh;     /* no answer has been received on it */
	gboolean is_written;   /* the request was written completely */
	gboolean is_rejected;  /* the owner rejected the answer */
	gboolean is_reading;   /* http1_reader is running */
	gboolean is_paused;    /* by the owner */
} link_t;

TAILQ_HEAD(link_list, link);

/* Connections to one incarnation of an endpoint. */
typedef struct pool {
	links_t *links;
	fleet_endpoint_t *endpoint;
	struct link_list idle; /* most recently used first */
	guint count;	       /* idle, busy and connecting */
} pool_t;

struct exchange {
	link_t *link; /* NULL if no connection could be made */
	links_t *links;
	link_events_t events;
	void *ctx;
	GString *text;
	GByteArray *body;    /* NULL for none */
	uv_timer_t *failure; /* reports that no connection could be made */
};

struct links {
	links_options_t options;
	GHashTable *pools;  /* fleet_endpoint_t to pool_t */
	GHashTable *limits; /* service to count */
	guint count;
	counter_t *opened;
	counter_t *reused;
	counter_t *extra;
};

static gboolean link_is_open(const link_t *link)
{
	return link->state != LINK_CLOSING;
}

static void pool_release(pool_t *pool)
{
	if (pool->count)
		return;
	g_hash_table_remove(pool->links->pools, pool->endpoint);
	fleet_endpoint_unref(pool->endpoint);
	g_free(pool);
}

static void on_handle_closed(uv_handle_t *handle)
{
	link_t *link = handle->data;

	if (--link->handles)
		return;
	http1_reader_destroy(link->reader);
	g_free(link->last_id);
	g_free(link);
}

static void link_close_handles(link_t *link)
{
	link->state = LINK_CLOSING;
	uv_close((uv_handle_t *)&link->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&link->timer, on_handle_closed);
}

/* May free the pool. */
static void link_close(link_t *link)
{
	pool_t *pool = link->pool;

	if (!link_is_open(link))
		return;
	if (link->state == LINK_IDLE)
		TAILQ_REMOVE(&pool->idle, link, entry);
	link_close_handles(link);
	pool->count--;
	pool->links->count--;
	pool_release(pool);
}

static void exchange_free(exchange_t *exchange)
{
	if (exchange->text)
		g_string_free(exchange->text, TRUE);
	g_clear_pointer(&exchange->body, g_byte_array_unref);
	g_free(exchange);
}

static void exchange_finish(exchange_t *exchange, link_result_t result,
			    const char *why)
{
	exchange->events.on_end(exchange->ctx, result, why);
	exchange_free(exchange);
}

/* Closes the connection and ends its exchange, if any. */
static void link_fail(link_t *link, link_result_t result, const char *why)
{
	exchange_t *exchange = link->exchange;

	link->exchange = NULL;
	link_close(link);
	if (exchange)
		exchange_finish(exchange, result, why);
}

static void on_idle_timeout(uv_timer_t *timer)
{
	link_close(timer->data);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	link_fail(timer->data, LINK_NOT_SENT, "connect timeout");
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_SIZE];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_written(uv_write_t *write, int status)
{
	link_t *link = write->data;

	if (!link_is_open(link))
		return;
	if (status < 0)
		link_fail(link, LINK_BROKEN, "write failed");
	else
		link->is_written = TRUE;
}

/* The write owns the text and the body: the exchange may end before it. */
typedef struct {
	uv_write_t write;
	GString *text;
	GByteArray *body;
	link_t *link;
} request_write_t;

static void request_write_free(request_write_t *req)
{
	g_string_free(req->text, TRUE);
	g_clear_pointer(&req->body, g_byte_array_unref);
	g_free(req);
}

static void on_request_written(uv_write_t *write, int status)
{
	request_write_t *req = (request_write_t *)write;

	req->write.data = req->link;
	on_written(&req->write, status);
	request_write_free(req);
}

static void link_send(link_t *link)
{
	exchange_t *exchange = link->exchange;
	request_write_t *req = g_new0(request_write_t, 1);
	uv_buf_t buffers[2];
	unsigned int count = 1;

	req->text = g_steal_pointer(&exchange->text);
	req->body = g_steal_pointer(&exchange->body);
	req->link = link;
	link->state = LINK_BUSY;
	link->is_written = FALSE;
	buffers[0] = uv_buf_init(req->text->str, (unsigned int)req->text->len);
	if (req->body && req->body->len)
		buffers[count++] =
			uv_buf_init((char *)req->body->data, req->body->len);
	if (uv_write(&req->write, (uv_stream_t *)&link->tcp, buffers, count,
		     on_request_written) < 0) {
		request_write_free(req);
		link_fail(link, LINK_BROKEN, "write failed");
	}
}

static void set_timeouts(link_t *link)
{
	int unacknowledged = ACK_TIMEOUT_MS;
	int each = KEEPALIVE_EACH_S;
	int misses = KEEPALIVE_MISSES;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&link->tcp, 1);
	uv_tcp_keepalive(&link->tcp, 1, KEEPALIVE_S);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
		   sizeof(unacknowledged));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &each, sizeof(each));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &misses, sizeof(misses));
}

static void on_connected(uv_connect_t *connect, int status)
{
	link_t *link = connect->data;

	if (!link_is_open(link))
		return;
	if (status < 0) {
		link_fail(link, LINK_NOT_SENT, "connect failed");
		return;
	}
	uv_timer_stop(&link->timer);
	set_timeouts(link);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	link_send(link);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	link_t *link = ctx;
	exchange_t *exchange = link->exchange;

	link->keeps_alive = head->keeps_alive && head->has_length;
	if (!exchange->events.on_head(exchange->ctx, head))
		link->is_rejected = TRUE;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	link_t *link = ctx;

	/* The owner may have cancelled the exchange from a callback. */
	if (link->exchange && !link->is_rejected &&
	    !link->exchange->events.on_data(link->exchange->ctx, data, size))
		link->is_rejected = TRUE;
}

static void on_message_end(void *ctx)
{
}

/* Ends the exchange, and keeps the connection if it can be reused. */
static void finish_answer(link_t *link, gboolean has_extra)
{
	exchange_t *exchange = link->exchange;
	pool_t *pool = link->pool;

	link->exchange = NULL;
	if (has_extra)
		counter_add(pool->links->extra, 1);
	if (has_extra || !link->keeps_alive || link->closes_after ||
	    !link->is_written || !fleet_endpoint_is_usable(pool->endpoint)) {
		link_close(link);
	} else {
		link->state = LINK_IDLE;
		link->is_fresh = FALSE;
		if (link->is_paused)
			uv_read_start((uv_stream_t *)&link->tcp, on_alloc,
				      on_read);
		link->is_paused = FALSE;
		TAILQ_INSERT_HEAD(&pool->idle, link, entry);
		uv_timer_start(&link->timer, on_idle_timeout,
			       (uint64_t)link->idle_timeout, 0);
	}
	exchange_finish(exchange, LINK_COMPLETE, "");
}

static void consume_bytes(link_t *link, const char *data, size_t size)
{
	GError *error = NULL;
	size_t read;

	link->is_reading = TRUE;
	read = http1_reader_feed(link->reader, data, size, &error);
	link->is_reading = FALSE;
	if (!link->exchange) {
		/* The owner cancelled it from a callback. */
		g_clear_error(&error);
		link_close(link);
		return;
	}
	if (error) {
		link_fail(link, LINK_BROKEN, error->message);
		g_clear_error(&error);
	} else if (link->is_rejected) {
		link_fail(link, LINK_BROKEN, "answer rejected");
	} else if (http1_reader_is_done(link->reader)) {
		finish_answer(link, read < size);
	}
}

static void on_turn(uv_timer_t *timer)
{
	link_t *link = timer->data;

	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

/* Goes on reading once the other handles of the loop have had their turn. */
static void yield_turn(link_t *link)
{
	if (link->state != LINK_BUSY || link->is_paused)
		return;
	uv_read_stop((uv_stream_t *)&link->tcp);
	uv_timer_start(&link->timer, on_turn, 0, 0);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	link_t *link = stream->data;
	gboolean is_whole;

	if (!link_is_open(link) || !size)
		return;
	if (link->state == LINK_IDLE) {
		/*
		 * The connection was closed, or has received bytes of no
		 * request.
		 */
		if (size > 0)
			counter_add(link->pool->links->extra, 1);
		link_close(link);
		return;
	}
	if (size > 0) {
		consume_bytes(link, buffer->base, (size_t)size);
		if (size == READ_SIZE)
			yield_turn(link);
		return;
	}
	link->is_reading = TRUE;
	is_whole = size == UV_EOF && !tcp_was_reset(&link->tcp) &&
		   http1_reader_finish(link->reader);
	link->is_reading = FALSE;
	if (!link->exchange) {
		link_close(link);
	} else if (is_whole && !link->is_rejected) {
		link->keeps_alive = FALSE;
		finish_answer(link, FALSE);
	} else {
		link_fail(link, LINK_BROKEN,
			  size == UV_EOF ? "connection closed before the end "
					   "of the answer"
					 : "reset");
	}
}

links_t *links_create(const links_options_t *options)
{
	links_t *links = g_new0(links_t, 1);

	links->options = *options;
	links->pools = g_hash_table_new(NULL, NULL);
	links->limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	links->opened = counter_get("hc_links_opened_total");
	links->reused = counter_get("hc_links_reused_total");
	links->extra = counter_get("hc_links_extra_bytes_total");
	return links;
}

void links_destroy(links_t *links)
{
	g_hash_table_destroy(links->pools);
	g_hash_table_destroy(links->limits);
	g_free(links);
}

void links_set_limit(links_t *links, const char *service, guint count)
{
	g_hash_table_insert(links->limits, g_strdup(service),
			    GUINT_TO_POINTER(count));
}

static pool_t *pool_get(links_t *links, fleet_endpoint_t *endpoint)
{
	pool_t *pool = g_hash_table_lookup(links->pools, endpoint);

	if (pool)
		return pool;
	pool = g_new0(pool_t, 1);
	pool->links = links;
	pool->endpoint = fleet_endpoint_ref(endpoint);
	TAILQ_INIT(&pool->idle);
	g_hash_table_insert(links->pools, endpoint, pool);
	return pool;
}

static gboolean pool_is_full(const pool_t *pool)
{
	guint limit = GPOINTER_TO_UINT(g_hash_table_lookup(
		pool->links->limits, fleet_endpoint_service(pool->endpoint)));

	return limit && pool->count >= limit;
}

static void log_connect_failure(const fleet_endpoint_t *endpoint, int code)
{
	log_warn("connection to endpoint failed at once", "endpoint",
		 fleet_endpoint_id(endpoint), "address",
		 fleet_endpoint_address(endpoint), "error", uv_strerror(code),
		 NULL);
}

/* Returns NULL if no connection can be made; the pool is kept in any case. */
static link_t *link_open(pool_t *pool)
{
	static const http1_events_t events = {on_head, on_data, on_message_end};
	links_t *links = pool->links;
	struct sockaddr_in address;
	link_t *link;
	int code;

	code = uv_ip4_addr(fleet_endpoint_address(pool->endpoint),
			   fleet_endpoint_port(pool->endpoint), &address);
	if (code) {
		log_connect_failure(pool->endpoint, code);
		return NULL;
	}
	link = g_new0(link_t, 1);
	link->pool = pool;
	link->state = LINK_CONNECTING;
	link->is_fresh = TRUE;
	link->handles = 2;
	link->reader = http1_reader_create(HTTP1_RESPONSES, HEAD_MAX_BYTES,
					   &events, link);
	uv_tcp_init(links->options.loop, &link->tcp);
	uv_timer_init(links->options.loop, &link->timer);
	link->tcp.data = link;
	link->timer.data = link;
	link->connect.data = link;
	code = uv_tcp_connect(&link->connect, &link->tcp,
			      (const struct sockaddr *)&address, on_connected);
	if (code) {
		log_connect_failure(pool->endpoint, code);
		link_close_handles(link);
		return NULL;
	}
	pool->count++;
	links->count++;
	counter_add(links->opened, 1);
	uv_timer_start(&link->timer, on_connect_timeout, CONNECT_MS, 0);
	return link;
}

static void on_failure_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void on_failure(uv_timer_t *timer)
{
	exchange_t *exchange = timer->data;

	uv_close((uv_handle_t *)timer, on_failure_closed);
	exchange_finish(exchange, LINK_NOT_SENT,
			"connection limit reached or connect failed");
}

/* An idle connection that has not carried this request before. */
static link_t *find_idle(const pool_t *pool, const char *id)
{
	link_t *link;

	TAILQ_FOREACH (link, &pool->idle, entry) {
		if (!id || g_strcmp0(link->last_id, id))
			return link;
	}
	return NULL;
}

/* An idle connection of any pool; NULL for none. */
static link_t *find_idle_of_all(const links_t *links)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pool_t *pool = value;

		if (!TAILQ_EMPTY(&pool->idle))
			return TAILQ_FIRST(&pool->idle);
	}
	return NULL;
}

/*
 * Opens a connection, in place of an idle one that the request may not use if a
 * limit is reached.
 */
static link_t *link_open_within_limit(pool_t *pool)
{
	const links_t *links = pool->links;
	guint max = links->options.connections_max;
	link_t *idle = TAILQ_FIRST(&pool->idle);
	gboolean is_full = pool_is_full(pool);
	link_t *link;

	if (max && links->count >= max && !is_full) {
		is_full = TRUE;
		idle = idle ? idle : find_idle_of_all(links);
	}
	link = is_full && !idle ? NULL : link_open(pool);

	if (link && is_full)
		link_close(idle);
	return link;
}

exchange_t *links_send(links_t *links, fleet_endpoint_t *endpoint,
		       const links_request_t *request,
		       const link_events_t *events, void *ctx)
{
	pool_t *pool = pool_get(links, endpoint);
	exchange_t *exchange = g_new0(exchange_t, 1);
	link_t *link = find_idle(pool, request->id);

	exchange->links = links;
	exchange->events = *events;
	exchange->ctx = ctx;
	exchange->text = request->text;
	exchange->body = request->body;
	if (!link)
		link = link_open_within_limit(pool);
	if (!link) {
		exchange->failure = g_new0(uv_timer_t, 1);
		uv_timer_init(links->options.loop, exchange->failure);
		exchange->failure->data = exchange;
		uv_timer_start(exchange->failure, on_failure, 0, 0);
		pool_release(pool);
		return exchange;
	}
	exchange->link = link;
	link->exchange = exchange;
	link->idle_timeout = IDLE_DEFAULT_MS;
	link->is_rejected = FALSE;
	link->closes_after = FALSE;
	g_free(link->last_id);
	link->last_id = g_strdup(request->id);
	http1_reader_reset(link->reader, request->is_head_method);
	if (link->state == LINK_IDLE) {
		TAILQ_REMOVE(&pool->idle, link, entry);
		uv_timer_stop(&link->timer);
		counter_add(links->reused, 1);
		link_send(link);
	}
	return exchange;
}

void exchange_set_idle(exchange_t *exchange, ms_t idle)
{
	if (idle > 0)
		exchange->link->idle_timeout =
			MIN(idle * IDLE_REUSE_PERCENT / 100, IDLE_MAX_MS);
}

void exchange_close_after(exchange_t *exchange)
{
	exchange->link->closes_after = TRUE;
}

void exchange_pause(exchange_t *exchange)
{
	link_t *link = exchange->link;

	link->is_paused = TRUE;
	uv_read_stop((uv_stream_t *)&link->tcp);
	uv_timer_stop(&link->timer);
}

void exchange_resume(exchange_t *exchange)
{
	link_t *link = exchange->link;

	if (!link || !link->is_paused)
		return;
	link->is_paused = FALSE;
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

void exchange_cancel(exchange_t *exchange)
{
	link_t *link = exchange->link;

	if (exchange->failure)
		uv_close((uv_handle_t *)exchange->failure, on_failure_closed);
	if (link) {
		link->exchange = NULL;
		/*
		 * If http1_reader is running, the function that runs it closes
		 * the connection.
		 */
		if (!link->is_reading)
			link_close(link);
	}
	exchange_free(exchange);
}

guint links_count(const links_t *links)
{
	return links->count;
}
