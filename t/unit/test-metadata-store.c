/* Polls of the metadata store whose answers are large, slow or without end. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <sys/queue.h>

#include "base/error.h"
#include "platform/metadata_store.h"

#define LIMIT_MS    30000
#define INTERVAL_MS 300
#define TICK_MS	    50
/* The bytes at the end of an endless answer that are sent again and again. */
#define ENDLESS_BYTES (1024 * 1024)
#define HEAD                                                                   \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"                \
	"Content-Length: %zu\r\n\r\n"

typedef struct {
	uv_loop_t loop;
	uv_timer_t limit;
	uv_timer_t timer; /* of run_for() */
	uv_tcp_t listener;
	ms_clock_t *clock;
	GRand *rand;
	kv_t *kv;
	kv_watch_t *watch;
	/* What the server does with each poll. */
	char *answer;
	size_t piece; /* bytes at each tick; 0 for all at once */
	gboolean is_endless;
	int polls;  /* that have begun */
	int broken; /* connections that ended before their answer */
	/* What the watch was told. */
	GString *values;
	int64_t polled_to;
	int ended;
	TAILQ_HEAD(, peer) peers; /* open connections of the server */
} fixture_t;

typedef struct peer {
	TAILQ_ENTRY(peer) link;
	uv_tcp_t tcp;
	uv_timer_t tick;
	int handles;
	size_t sent; /* bytes of the answer */
	fixture_t *fixture;
} peer_t;

static void on_limit(uv_timer_t *timer)
{
	fail_msg("the test timed out");
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[4096];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_peer_closed(uv_handle_t *handle)
{
	peer_t *peer = handle->data;

	if (!--peer->handles)
		g_free(peer);
}

static void peer_close(peer_t *peer)
{
	if (uv_is_closing((uv_handle_t *)&peer->tcp))
		return;
	TAILQ_REMOVE(&peer->fixture->peers, peer, link);
	uv_close((uv_handle_t *)&peer->tcp, on_peer_closed);
	uv_close((uv_handle_t *)&peer->tick, on_peer_closed);
}

static void on_tick(uv_timer_t *timer)
{
	peer_t *peer = timer->data;
	const fixture_t *fixture = peer->fixture;
	size_t left = strlen(fixture->answer) - peer->sent;
	uv_buf_t piece = uv_buf_init(
		fixture->answer + peer->sent,
		(unsigned int)(fixture->piece ? MIN(fixture->piece, left)
					      : left));
	int sent = uv_try_write((uv_stream_t *)&peer->tcp, &piece, 1);

	if (sent > 0)
		peer->sent += (size_t)sent;
	if (peer->sent < strlen(fixture->answer))
		return;
	if (fixture->is_endless)
		peer->sent -= ENDLESS_BYTES;
	else
		uv_timer_stop(timer);
}

static void on_request(uv_stream_t *stream, ssize_t size,
		       const uv_buf_t *buffer)
{
	peer_t *peer = stream->data;

	if (size < 0) {
		if (peer->sent && uv_is_active((uv_handle_t *)&peer->tick))
			peer->fixture->broken++;
		peer_close(peer);
		return;
	}
	peer->fixture->polls++;
	peer->sent = 0;
	uv_timer_start(&peer->tick, on_tick, 1, TICK_MS);
}

static void on_connection(uv_stream_t *listener, int status)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->fixture = listener->data;
	peer->handles = 2;
	uv_tcp_init(listener->loop, &peer->tcp);
	uv_timer_init(listener->loop, &peer->tick);
	peer->tcp.data = peer;
	peer->tick.data = peer;
	TAILQ_INSERT_TAIL(&peer->fixture->peers, peer, link);
	uv_accept(listener, (uv_stream_t *)&peer->tcp);
	uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_request);
}

static ms_t poll_interval(void *ctx)
{
	return INTERVAL_MS;
}

static void on_polled(void *ctx, int64_t revision, ms_t as_of)
{
	((fixture_t *)ctx)->polled_to = revision;
}

static void begin(fixture_t *fixture)
{
	struct sockaddr_in address;
	int size = sizeof(address);
	metadata_store_options_t options = {
		.loop = &fixture->loop,
		.host = "127.0.0.1",
		.poll_interval = poll_interval,
		.on_polled = on_polled,
		.ctx = fixture,
	};

	memset(fixture, 0, sizeof(*fixture));
	TAILQ_INIT(&fixture->peers);
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->limit);
	uv_timer_start(&fixture->limit, on_limit, LIMIT_MS, 0);
	uv_timer_init(&fixture->loop, &fixture->timer);
	uv_tcp_init(&fixture->loop, &fixture->listener);
	fixture->listener.data = fixture;
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(&fixture->listener, (struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&fixture->listener, 8, on_connection);
	uv_tcp_getsockname(&fixture->listener, (struct sockaddr *)&address,
			   &size);
	options.port = g_ntohs(address.sin_port);
	options.clock = fixture->clock = ms_clock_create_system();
	options.rand = fixture->rand = g_rand_new_with_seed(1);
	fixture->values = g_string_new(NULL);
	fixture->kv = metadata_store_create(&options);
}

static void on_item(void *ctx, const kv_item_t *item)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->values, "%s=%c;", item->key,
			       item->value ? *(const char *)item->value : '-');
}

static void on_end(void *ctx, const GError *error)
{
	fixture_t *fixture = ctx;

	fixture->ended++;
	fixture->watch = NULL;
}

static void end(fixture_t *fixture)
{
	if (fixture->watch)
		kv_watch_cancel(fixture->kv, fixture->watch);
	kv_destroy(fixture->kv);
	while (!TAILQ_EMPTY(&fixture->peers))
		peer_close(TAILQ_FIRST(&fixture->peers));
	uv_close((uv_handle_t *)&fixture->listener, NULL);
	uv_close((uv_handle_t *)&fixture->limit, NULL);
	uv_close((uv_handle_t *)&fixture->timer, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	uv_loop_close(&fixture->loop);
	g_free(fixture->answer);
	g_string_free(fixture->values, TRUE);
	g_rand_free(fixture->rand);
	ms_clock_destroy(fixture->clock);
}

/* Events: KEY=LETTER, with as many bytes as size; KEY alone is a deletion. */
static char *render_events(const char *const *events, size_t size)
{
	GString *body = g_string_new("{\"events\":[");
	char *head;
	char *text;
	int revision = 10;

	for (; *events; events++) {
		char **words = g_strsplit(*events, "=", 2);

		g_string_append_printf(body, "%s{\"key\":\"%s\",\"rev\":%d,",
				       revision > 10 ? "," : "", words[0],
				       revision);
		revision++;
		if (words[1]) {
			char *value = g_strnfill(size, *words[1]);
			char *base64 = g_base64_encode((guchar *)value, size);

			g_string_append_printf(
				body,
				"\"createRev\":1,\"lease\":0,\"value\":\"%s\"}",
				base64);
			g_free(base64);
			g_free(value);
		} else {
			g_string_append(body, "\"deleted\":true}");
		}
		g_strfreev(words);
	}
	g_string_append_printf(body, "],\"asOf\":%d}", revision);
	head = g_strdup_printf(HEAD, body->len);
	text = g_strconcat(head, body->str, NULL);
	g_free(head);
	g_string_free(body, TRUE);
	return text;
}

static void start_watch(fixture_t *fixture)
{
	fixture->watch = kv_watch(fixture->kv, "", 1, on_item, on_end, fixture);
}

static void on_time_over(uv_timer_t *timer)
{
	*(gboolean *)timer->data = TRUE;
}

static void run_for(fixture_t *fixture, ms_t time)
{
	gboolean is_over = FALSE;

	fixture->timer.data = &is_over;
	uv_timer_start(&fixture->timer, on_time_over, (uint64_t)time, 0);
	while (!is_over)
		uv_run(&fixture->loop, UV_RUN_ONCE);
}

/*
 * Guards against a poll that is restarted while its answer arrives, each time
 * that another instance shows that something is missing: a large document was
 * never read over a slow link.
 */
static void test_hastened_during_answer(void **state)
{
	static const char *const events[] = {"op/config=a", NULL};
	fixture_t fixture;
	int i;

	begin(&fixture);
	fixture.answer = render_events(events, 3000);
	/* Takes 0.7 s: longer than the rest of a wait that is cut short. */
	fixture.piece = strlen(fixture.answer) / 14;
	start_watch(&fixture);
	for (i = 0; i < 30 && !fixture.values->len; i++) {
		run_for(&fixture, 100);
		if (fixture.watch && !fixture.values->len)
			kv_watch_hasten(fixture.kv, fixture.watch);
	}
	assert_string_equal(fixture.values->str, "op/config=a;");
	assert_int_equal(fixture.broken, 0);
	end(&fixture);
}

/*
 * Guards against a poll that other instances hasten between two polls, and that
 * waits for its usual time all the same.
 */
static void test_hastened_between_polls(void **state)
{
	static const char *const events[] = {"a=1", NULL};
	fixture_t fixture;
	int polls;

	begin(&fixture);
	fixture.answer = render_events(events, 1);
	start_watch(&fixture);
	while (!fixture.polled_to)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	polls = fixture.polls;
	kv_watch_hasten(fixture.kv, fixture.watch);
	run_for(&fixture, INTERVAL_MS / 3);
	assert_int_equal(fixture.polls, polls + 1);
	end(&fixture);
}

/*
 * Guards against a limit on the whole time of an answer: over a slow link the
 * answer to each poll broke off there, and the watch never went on.
 */
static void test_answer_that_takes_long(void **state)
{
	static const char *const events[] = {"op/config=a", NULL};
	fixture_t fixture;

	begin(&fixture);
	fixture.answer = render_events(events, 3000);
	/* Takes 3 s, ten intervals. */
	fixture.piece = strlen(fixture.answer) / 60;
	start_watch(&fixture);
	while (!fixture.values->len && fixture.polls < 2)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_string_equal(fixture.values->str, "op/config=a;");
	assert_int_equal(fixture.broken, 0);
	end(&fixture);
}

/* An answer that stops is given up, and the poll is sent again. */
static void test_answer_that_stops(void **state)
{
	static const char *const events[] = {"op/config=a", NULL};
	fixture_t fixture;
	char *whole;

	begin(&fixture);
	whole = render_events(events, 3000);
	fixture.answer = g_strndup(whole, strlen(whole) / 2);
	start_watch(&fixture);
	while (fixture.polls < 2)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	g_free(fixture.answer);
	fixture.answer = whole;
	while (!fixture.values->len)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_string_equal(fixture.values->str, "op/config=a;");
	end(&fixture);
}

/*
 * Guards against the work for each of the versions of an item that one poll
 * brings, of which only the last one matters.
 */
static void test_superseded_events(void **state)
{
	static const char *const events[] = {"c=1", "a=1", "c=2", "b",
					     "c=3", "b=1", "a",	  NULL};
	fixture_t fixture;

	begin(&fixture);
	fixture.answer = render_events(events, 1);
	start_watch(&fixture);
	while (!fixture.polled_to)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_string_equal(fixture.values->str, "c=3;b=1;a=-;");
	assert_int_equal(fixture.polled_to, 17);
	end(&fixture);
}

/*
 * Guards against a poll that is sent again although its answer is larger than
 * what is read of one, and against keeping the bytes of an answer without end.
 */
static void test_answer_too_large(void **state)
{
	fixture_t fixture;
	char *filler = g_strnfill(ENDLESS_BYTES, ' ');

	begin(&fixture);
	fixture.answer = g_strconcat("HTTP/1.1 200 OK\r\n\r\n", filler, NULL);
	fixture.is_endless = TRUE;
	start_watch(&fixture);
	while (!fixture.ended)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.polls, 1);
	run_for(&fixture, 2 * TICK_MS);
	assert_int_equal(fixture.broken, 1);
	g_free(filler);
	end(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hastened_during_answer),
		cmocka_unit_test(test_hastened_between_polls),
		cmocka_unit_test(test_answer_that_takes_long),
		cmocka_unit_test(test_answer_that_stops),
		cmocka_unit_test(test_superseded_events),
		cmocka_unit_test(test_answer_too_large),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
