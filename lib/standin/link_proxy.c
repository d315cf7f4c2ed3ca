#include "standin/link_proxy.h"

#include <string.h>
#include <sys/queue.h>

#include "base/error.h"

#define TICK_MS	   2
#define READ_BYTES 65536
#define BACKLOG	   128
/* Reading from a sender pauses while this many bytes are queued. */
#define QUEUED_BYTES_MAX (4 * 1024 * 1024)

#define END_OF_STREAM 0

static const char *const mode_names[LINK_PROXY_MODE_COUNT] = {
	[LINK_PROXY_OPEN] = "open",
	[LINK_PROXY_SILENT] = "silent",
	[LINK_PROXY_MUTE_TO] = "mute_to",
	[LINK_PROXY_MUTE_FROM] = "mute_from",
};

typedef enum { CUT_NONE, CUT_END, CUT_RESET, CUT_SILENT, CUT_COUNT } cut_t;

static const char *const cut_names[CUT_COUNT] = {
	[CUT_NONE] = "none",
	[CUT_END] = "end",
	[CUT_RESET] = "reset",
	[CUT_SILENT] = "silent",
};

/* Queued data; size END_OF_STREAM marks the end of the stream. */
typedef struct chunk {
	TAILQ_ENTRY(chunk) link;
	uv_write_t write;
	uv_shutdown_t shutdown;
	ms_t due;
	size_t size;
	char data[];
} chunk_t;

TAILQ_HEAD(chunk_list, chunk);

struct pair;

/* One of the two connections of a pair. */
typedef struct {
	uv_tcp_t tcp;
	struct pair *pair;
	struct chunk_list queue; /* received from the other side */
	size_t queued_bytes;
	gboolean is_paused; /* the queue of the other side is full */
} side_t;

enum { CALLER, TARGET, SIDES };

/* An accepted connection and the connection to the target. */
typedef struct pair {
	TAILQ_ENTRY(pair) link;
	link_proxy_t *proxy;
	side_t sides[SIDES];
	uv_connect_t connect;
	int open_handles;
	gboolean is_connected;
	gboolean is_dead;    /* delivers nothing any more */
	cut_t cut;	     /* of what comes from the target */
	size_t cut_left;     /* bytes that pass before */
	gboolean is_waiting; /* the last bytes came from the caller */
	gboolean is_closing;
} pair_t;

TAILQ_HEAD(pair_list, pair);

struct link_proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t tick;
	struct sockaddr_in target;
	struct pair_list pairs;
	link_proxy_mode_t mode;
	ms_t delay;
	cut_t cut; /* of each connection */
	size_t cut_bytes;
	int spoils_every; /* head of an answer; 0 for none */
	int heads;	  /* that could be spoiled since then */
	int open_handles;
};

static void on_pair_closed(uv_handle_t *handle)
{
	side_t *side = handle->data;
	pair_t *pair = side->pair;
	chunk_t *chunk;

	while ((chunk = TAILQ_FIRST(&side->queue))) {
		TAILQ_REMOVE(&side->queue, chunk, link);
		g_free(chunk);
	}
	if (--pair->open_handles == 0)
		g_free(pair);
}

static void pair_close(pair_t *pair, gboolean is_reset)
{
	int i;

	if (pair->is_closing)
		return;
	pair->is_closing = TRUE;
	TAILQ_REMOVE(&pair->proxy->pairs, pair, link);
	for (i = 0; i < SIDES; i++) {
		uv_tcp_t *tcp = &pair->sides[i].tcp;

		if (!is_reset || uv_tcp_close_reset(tcp, on_pair_closed) != 0)
			uv_close((uv_handle_t *)tcp, on_pair_closed);
	}
}

static gboolean is_blocked(const pair_t *pair, int to)
{
	const link_proxy_t *proxy = pair->proxy;

	return pair->is_dead || proxy->mode == LINK_PROXY_SILENT ||
	       proxy->mode == (to == TARGET ? LINK_PROXY_MUTE_TO
					    : LINK_PROXY_MUTE_FROM);
}

static void on_written(uv_write_t *write, int status)
{
	g_free(write->data);
}

static void on_shutdown(uv_shutdown_t *shutdown, int status)
{
	g_free(shutdown->data);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	*buf = uv_buf_init(g_malloc(READ_BYTES), READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf);

static void queue_chunk(pair_t *pair, int to, const char *data, size_t size)
{
	side_t *side = &pair->sides[to];
	chunk_t *chunk = g_malloc0(sizeof(*chunk) + size);

	chunk->due = (ms_t)uv_now(pair->proxy->loop) + pair->proxy->delay;
	chunk->size = size;
	if (size)
		memcpy(chunk->data, data, size);
	TAILQ_INSERT_TAIL(&side->queue, chunk, link);
	side->queued_bytes += size;
}

static gboolean is_cut_off(const pair_t *pair)
{
	return pair->cut != CUT_NONE && !pair->cut_left;
}

/* Cuts the connection off once all that passes before has been forwarded. */
static void complete_cut(pair_t *pair)
{
	if (!is_cut_off(pair) || !TAILQ_EMPTY(&pair->sides[CALLER].queue))
		return;
	if (pair->cut == CUT_RESET)
		pair_close(pair, TRUE);
	else if (pair->cut == CUT_SILENT)
		pair->is_dead = TRUE;
}

/* Returns where the value of a head's framing begins, or NULL. */
static char *find_framing(char *data, size_t size)
{
	static const char *const names[] = {"\r\ncontent-length: ",
					    "\r\ntransfer-encoding: "};
	size_t i;
	guint j;

	for (i = 0; i < size; i++) {
		for (j = 0; j < G_N_ELEMENTS(names); j++) {
			size_t name_size = strlen(names[j]);

			if (i + name_size < size &&
			    !g_ascii_strncasecmp(data + i, names[j], name_size))
				return data + i + name_size;
		}
	}
	return NULL;
}

static void spoil_framing(link_proxy_t *proxy, char *data, size_t size)
{
	char *value = proxy->spoils_every ? find_framing(data, size) : NULL;

	if (value && ++proxy->heads % proxy->spoils_every == 0)
		*value = '~';
}

/* Queues what the target has sent, up to the cut. */
static void queue_answer(pair_t *pair, char *data, size_t size)
{
	link_proxy_t *proxy = pair->proxy;
	size_t passing = size;

	if (is_cut_off(pair))
		return;
	if (size != END_OF_STREAM)
		spoil_framing(proxy, data, size);
	if (size && pair->cut == CUT_NONE) {
		pair->cut = proxy->cut;
		pair->cut_left = proxy->cut_bytes;
	}
	if (pair->cut != CUT_NONE) {
		passing = MIN(size, pair->cut_left);
		pair->cut_left -= passing;
	}
	if (passing || !size)
		queue_chunk(pair, CALLER, data, passing);
	if (is_cut_off(pair) && pair->cut == CUT_END)
		queue_chunk(pair, CALLER, NULL, END_OF_STREAM);
}

/* Forwards the data that is due to one side. */
static void forward_due_chunks(pair_t *pair, int to, ms_t now)
{
	side_t *side = &pair->sides[to];
	side_t *other = &pair->sides[!to];
	uv_stream_t *stream = (uv_stream_t *)&side->tcp;
	chunk_t *chunk;

	while (!pair->is_closing && (chunk = TAILQ_FIRST(&side->queue)) &&
	       now >= chunk->due) {
		uv_buf_t buf =
			uv_buf_init(chunk->data, (unsigned int)chunk->size);
		int status;

		TAILQ_REMOVE(&side->queue, chunk, link);
		side->queued_bytes -= chunk->size;
		chunk->write.data = chunk;
		chunk->shutdown.data = chunk;
		if (chunk->size == END_OF_STREAM)
			status = uv_shutdown(&chunk->shutdown, stream,
					     on_shutdown);
		else
			status = uv_write(&chunk->write, stream, &buf, 1,
					  on_written);
		if (status != 0) {
			g_free(chunk);
			pair_close(pair, TRUE);
		}
	}
	if (!pair->is_closing && other->is_paused &&
	    side->queued_bytes < QUEUED_BYTES_MAX) {
		other->is_paused = FALSE;
		uv_read_start((uv_stream_t *)&other->tcp, on_alloc, on_read);
	}
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	side_t *from = stream->data;
	pair_t *pair = from->pair;
	int to = from == &pair->sides[CALLER] ? TARGET : CALLER;

	if (size == 0 || (size < 0 && size != UV_EOF)) {
		g_free(buf->base);
		if (size != 0)
			pair_close(pair, TRUE);
		return;
	}
	pair->is_waiting = to == TARGET;
	size = MAX(size, END_OF_STREAM);
	if (to == CALLER)
		queue_answer(pair, buf->base, (size_t)size);
	else
		queue_chunk(pair, to, buf->base, (size_t)size);
	g_free(buf->base);
	if (pair->sides[to].queued_bytes >= QUEUED_BYTES_MAX) {
		from->is_paused = TRUE;
		uv_read_stop(stream);
	}
}

static void on_connected(uv_connect_t *connect, int status)
{
	pair_t *pair = connect->data;
	int i;

	if (pair->is_closing)
		return;
	if (status != 0) {
		pair_close(pair, TRUE);
		return;
	}
	pair->is_connected = TRUE;
	for (i = 0; i < SIDES; i++)
		uv_read_start((uv_stream_t *)&pair->sides[i].tcp, on_alloc,
			      on_read);
}

static void on_connection(uv_stream_t *listener, int status)
{
	link_proxy_t *proxy = listener->data;
	pair_t *pair;
	int i;

	if (status != 0)
		return;
	pair = g_new0(pair_t, 1);
	pair->proxy = proxy;
	pair->open_handles = SIDES;
	for (i = 0; i < SIDES; i++) {
		pair->sides[i].pair = pair;
		TAILQ_INIT(&pair->sides[i].queue);
		uv_tcp_init(proxy->loop, &pair->sides[i].tcp);
		pair->sides[i].tcp.data = &pair->sides[i];
	}
	TAILQ_INSERT_TAIL(&proxy->pairs, pair, link);
	pair->connect.data = pair;
	if (uv_accept(listener, (uv_stream_t *)&pair->sides[CALLER].tcp) != 0 ||
	    uv_tcp_connect(&pair->connect, &pair->sides[TARGET].tcp,
			   (const struct sockaddr *)&proxy->target,
			   on_connected) != 0)
		pair_close(pair, TRUE);
}

static void on_tick(uv_timer_t *timer)
{
	link_proxy_t *proxy = timer->data;
	ms_t now = (ms_t)uv_now(proxy->loop);
	pair_t *pair;
	pair_t *next;
	int to;

	for (pair = TAILQ_FIRST(&proxy->pairs); pair; pair = next) {
		next = TAILQ_NEXT(pair, link);
		for (to = 0; to < SIDES && pair->is_connected; to++) {
			if (!is_blocked(pair, to))
				forward_due_chunks(pair, to, now);
			if (pair->is_closing)
				break;
		}
		if (!pair->is_closing)
			complete_cut(pair);
	}
}

static gboolean listen_on_any_port(link_proxy_t *proxy, GError **error)
{
	struct sockaddr_in any;
	int status;

	uv_ip4_addr("127.0.0.1", 0, &any);
	status =
		uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&any, 0);
	if (status == 0)
		status = uv_listen((uv_stream_t *)&proxy->listener, BACKLOG,
				   on_connection);
	if (status != 0)
		error_set(error, ERROR_UNAVAILABLE,
			  "can't listen on 127.0.0.1: %s; free a port",
			  uv_strerror(status));
	return status == 0;
}

link_proxy_t *link_proxy_create(uv_loop_t *loop, const char *address, int port,
				GError **error)
{
	link_proxy_t *proxy = g_new0(link_proxy_t, 1);

	proxy->loop = loop;
	proxy->open_handles = 2;
	TAILQ_INIT(&proxy->pairs);
	uv_tcp_init(loop, &proxy->listener);
	uv_timer_init(loop, &proxy->tick);
	proxy->listener.data = proxy;
	proxy->tick.data = proxy;
	if (uv_ip4_addr(address, port, &proxy->target) != 0)
		error_set(error, ERROR_INVALID,
			  "'%s' is not an IPv4 address; use HOST:PORT with a "
			  "numeric host",
			  address);
	else if (listen_on_any_port(proxy, error) &&
		 uv_timer_start(&proxy->tick, on_tick, TICK_MS, TICK_MS) == 0)
		return proxy;
	link_proxy_destroy(proxy);
	return NULL;
}

static void on_proxy_closed(uv_handle_t *handle)
{
	link_proxy_t *proxy = handle->data;

	if (--proxy->open_handles == 0)
		g_free(proxy);
}

void link_proxy_destroy(link_proxy_t *proxy)
{
	link_proxy_reset(proxy);
	uv_close((uv_handle_t *)&proxy->listener, on_proxy_closed);
	uv_close((uv_handle_t *)&proxy->tick, on_proxy_closed);
}

int link_proxy_port(const link_proxy_t *proxy)
{
	struct sockaddr_in bound;
	int size = sizeof(bound);

	uv_tcp_getsockname(&proxy->listener, (struct sockaddr *)&bound, &size);
	return g_ntohs(bound.sin_port);
}

gboolean link_proxy_set_mode(link_proxy_t *proxy, const char *name)
{
	int i;

	for (i = 0; i < LINK_PROXY_MODE_COUNT; i++) {
		if (!strcmp(name, mode_names[i])) {
			proxy->mode = (link_proxy_mode_t)i;
			return TRUE;
		}
	}
	return FALSE;
}

void link_proxy_set_delay(link_proxy_t *proxy, ms_t delay)
{
	proxy->delay = delay;
}

void link_proxy_kill(link_proxy_t *proxy, gboolean is_waiting_only)
{
	pair_t *pair;

	TAILQ_FOREACH (pair, &proxy->pairs, link) {
		if (pair->is_waiting || !is_waiting_only)
			pair->is_dead = TRUE;
	}
}

gboolean link_proxy_set_cut(link_proxy_t *proxy, size_t bytes, const char *way)
{
	pair_t *pair;
	int i;

	for (i = 0; i < CUT_COUNT && strcmp(way, cut_names[i]); i++)
		;
	if (i == CUT_COUNT)
		return FALSE;
	proxy->cut = (cut_t)i;
	proxy->cut_bytes = bytes;
	TAILQ_FOREACH (pair, &proxy->pairs, link) {
		if (!is_cut_off(pair))
			pair->cut = CUT_NONE;
	}
	return TRUE;
}

void link_proxy_set_spoil(link_proxy_t *proxy, int every)
{
	proxy->spoils_every = every;
	proxy->heads = 0;
}

void link_proxy_reset(link_proxy_t *proxy)
{
	while (!TAILQ_EMPTY(&proxy->pairs))
		pair_close(TAILQ_FIRST(&proxy->pairs), TRUE);
}
