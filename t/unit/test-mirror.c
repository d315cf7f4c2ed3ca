/* How often the mirror of the key-value service reads all items again. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"
#include "front/mirror.h"

#define SPAN_MS	  1000
#define ANSWER_MS 1

/*
 * Most reads within SPAN_MS if each watch ends at once: the shortest delays are
 * 50, 100, 200, 400 and 400 ms, so the sixth read comes after 1,150 ms.
 */
#define READINGS_MAX 5

/*
 * A key-value service that answers after ANSWER_MS and whose watches end after
 * watch_ms.
 */
typedef struct {
	uv_loop_t loop;
	uv_timer_t answer;
	uv_timer_t watch_end;
	uv_timer_t end;
	kv_read_done_t done;
	void *done_ctx;
	kv_watch_end_t on_end;
	void *watch_ctx;
	uint64_t watch_ms;
	uint64_t ended_at;   /* time when the newest watch ended */
	uint64_t read_after; /* time from that end to the next read */
	int readings;
	const kv_item_t *item; /* of all reads; NULL for none */
	int64_t revision;      /* that reads state */
	int delivered;
	int64_t newest; /* revision of the item delivered last */
	kv_t *kv;
	GRand *rand;
	mirror_t *mirror;
} fixture_t;

static void on_answer(uv_timer_t *timer)
{
	fixture_t *fixture = timer->data;

	fixture->done(fixture->done_ctx, KV_DONE, fixture->item,
		      fixture->item != NULL, fixture->revision, NULL);
}

static void fake_read(void *ctx, const char *key, gboolean is_prefix,
		      kv_read_done_t done, void *done_ctx)
{
	fixture_t *fixture = ctx;

	fixture->readings++;
	fixture->read_after = uv_now(&fixture->loop) - fixture->ended_at;
	fixture->done = done;
	fixture->done_ctx = done_ctx;
	uv_timer_start(&fixture->answer, on_answer, ANSWER_MS, 0);
}

static void on_watch_over(uv_timer_t *timer)
{
	fixture_t *fixture = timer->data;
	GError *error = g_error_new_literal(HC_ERROR, ERROR_UNAVAILABLE,
					    "history dropped; read anew");

	fixture->ended_at = uv_now(&fixture->loop);
	fixture->on_end(fixture->watch_ctx, error);
	g_error_free(error);
}

static kv_watch_t *fake_watch(void *ctx, const char *prefix, int64_t after,
			      kv_watch_event_t on_event, kv_watch_end_t on_end,
			      void *watch_ctx)
{
	fixture_t *fixture = ctx;

	fixture->on_end = on_end;
	fixture->watch_ctx = watch_ctx;
	uv_timer_start(&fixture->watch_end, on_watch_over, fixture->watch_ms,
		       0);
	return ctx;
}

static void fake_watch_cancel(void *ctx, kv_watch_t *watch)
{
	fixture_t *fixture = ctx;

	uv_timer_stop(&fixture->watch_end);
}

static void fake_destroy(void *ctx)
{
}

static void on_item(void *ctx, const kv_item_t *item)
{
	fixture_t *fixture = ctx;

	fixture->delivered++;
	fixture->newest = item->revision;
}

static void on_synced(void *ctx)
{
}

static void on_end(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void fixture_init(fixture_t *fixture, uint64_t watch_ms)
{
	static const kv_calls_t calls = {.read = fake_read,
					 .watch = fake_watch,
					 .watch_cancel = fake_watch_cancel,
					 .destroy = fake_destroy};
	static const mirror_events_t events = {on_item, on_synced};
	uv_timer_t *timers[] = {&fixture->answer, &fixture->watch_end,
				&fixture->end};
	size_t i;

	*fixture = (fixture_t){.watch_ms = watch_ms, .revision = 1};
	uv_loop_init(&fixture->loop);
	for (i = 0; i < G_N_ELEMENTS(timers); i++) {
		uv_timer_init(&fixture->loop, timers[i]);
		timers[i]->data = fixture;
	}
	fixture->kv = kv_create(&calls, fixture);
	fixture->rand = g_rand_new_with_seed(1);
	fixture->mirror = mirror_create(fixture->kv, &fixture->loop,
					fixture->rand, &events, fixture);
}

static void run_for(fixture_t *fixture, uint64_t span_ms)
{
	uv_timer_start(&fixture->end, on_end, span_ms, 0);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
}

static void fixture_release(fixture_t *fixture)
{
	mirror_destroy(fixture->mirror);
	uv_close((uv_handle_t *)&fixture->answer, NULL);
	uv_close((uv_handle_t *)&fixture->watch_end, NULL);
	uv_close((uv_handle_t *)&fixture->end, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
	kv_destroy(fixture->kv);
	g_rand_free(fixture->rand);
}

/* The service drops its history at each poll: reads must be delayed. */
static void test_short_watches_delay_reads(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, ANSWER_MS);
	run_for(&fixture, SPAN_MS);
	assert_in_range(fixture.readings, 2, READINGS_MAX);
	fixture_release(&fixture);
}

/*
 * A watch that lasted at least MIRROR_STABLE_MS is followed by a read without
 * delay.
 */
static void test_long_watch_resets_delay(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, MIRROR_STABLE_MS);
	run_for(&fixture, MIRROR_STABLE_MS + SPAN_MS);
	assert_int_equal(fixture.readings, 2);
	assert_in_range(fixture.read_after, 0, MIRROR_RETRY_FIRST_MS / 2 - 1);
	fixture_release(&fixture);
}

/*
 * Guards against an item that is taken for an old one because the service gives
 * out revisions again, after it has come back from an older copy.
 */
static void test_older_copy(void **state)
{
	kv_item_t lost = {"key", "lost", 4, 30, 0};
	kv_item_t kept = {"key", "kept", 4, 20, 0};
	kv_item_t next = {"key", "next", 4, 25, 0};
	fixture_t fixture;

	fixture_init(&fixture, MIRROR_STABLE_MS);
	fixture.item = &lost;
	fixture.revision = 30;
	run_for(&fixture, SPAN_MS);
	assert_int_equal(fixture.delivered, 1);
	mirror_begin_history(fixture.mirror);
	assert_true(mirror_is_restoring(fixture.mirror));
	fixture.item = &kept;
	fixture.revision = 22;
	/* The watch ends, and all is read again. */
	run_for(&fixture, MIRROR_STABLE_MS);
	assert_false(mirror_is_restoring(fixture.mirror));
	assert_int_equal(fixture.newest, 20);
	assert_int_equal(mirror_revision(fixture.mirror), 22);
	mirror_apply(fixture.mirror, &next);
	assert_int_equal(fixture.newest, 25);
	fixture_release(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_short_watches_delay_reads),
		cmocka_unit_test(test_long_watch_resets_delay),
		cmocka_unit_test(test_older_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
