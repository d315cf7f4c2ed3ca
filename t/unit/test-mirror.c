/* The mirror of the key-value service's items: how often all are read anew. */

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
 * Readings within SPAN_MS if each watch ends at once: the least delays are 50,
 * 100, 200, 400 and 400 ms, so that the sixth comes after 1,150 ms.
 */
#define READINGS_MAX 5

/* A service that answers at once and whose watches end after a time. */
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
	uint64_t ended_at;   /* the newest end of a watch */
	uint64_t read_after; /* from that end to the reading after it */
	int readings;
	kv_t *kv;
	GRand *rand;
	mirror_t *mirror;
} bed_t;

static void on_answer(uv_timer_t *timer)
{
	bed_t *bed = timer->data;

	bed->done(bed->done_ctx, KV_DONE, NULL, 0, 1, NULL);
}

static void bed_read(void *ctx, const char *key, gboolean is_prefix,
		     kv_read_done_t done, void *done_ctx)
{
	bed_t *bed = ctx;

	bed->readings++;
	bed->read_after = uv_now(&bed->loop) - bed->ended_at;
	bed->done = done;
	bed->done_ctx = done_ctx;
	uv_timer_start(&bed->answer, on_answer, ANSWER_MS, 0);
}

static void on_watch_over(uv_timer_t *timer)
{
	bed_t *bed = timer->data;
	GError *error = g_error_new_literal(HC_ERROR, ERROR_UNAVAILABLE,
					    "history dropped; read anew");

	bed->ended_at = uv_now(&bed->loop);
	bed->on_end(bed->watch_ctx, error);
	g_error_free(error);
}

static kv_watch_t *bed_watch(void *ctx, const char *prefix, int64_t after,
			     kv_watch_event_t on_event, kv_watch_end_t on_end,
			     void *watch_ctx)
{
	bed_t *bed = ctx;

	bed->on_end = on_end;
	bed->watch_ctx = watch_ctx;
	uv_timer_start(&bed->watch_end, on_watch_over, bed->watch_ms, 0);
	return ctx;
}

static void bed_watch_cancel(void *ctx, kv_watch_t *watch)
{
	bed_t *bed = ctx;

	uv_timer_stop(&bed->watch_end);
}

static void bed_destroy(void *ctx)
{
}

static void on_item(void *ctx, const kv_item_t *item)
{
}

static void on_synced(void *ctx)
{
}

static void on_end(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void bed_init(bed_t *bed, uint64_t watch_ms)
{
	static const kv_calls_t calls = {.read = bed_read,
					 .watch = bed_watch,
					 .watch_cancel = bed_watch_cancel,
					 .destroy = bed_destroy};
	static const mirror_events_t events = {on_item, on_synced};
	uv_timer_t *timers[] = {&bed->answer, &bed->watch_end, &bed->end};
	size_t i;

	*bed = (bed_t){.watch_ms = watch_ms};
	uv_loop_init(&bed->loop);
	for (i = 0; i < G_N_ELEMENTS(timers); i++) {
		uv_timer_init(&bed->loop, timers[i]);
		timers[i]->data = bed;
	}
	bed->kv = kv_create(&calls, bed);
	bed->rand = g_rand_new_with_seed(1);
	bed->mirror =
		mirror_create(bed->kv, &bed->loop, bed->rand, &events, bed);
}

static void run_for(bed_t *bed, uint64_t span_ms)
{
	uv_timer_start(&bed->end, on_end, span_ms, 0);
	uv_run(&bed->loop, UV_RUN_DEFAULT);
}

static void bed_release(bed_t *bed)
{
	mirror_destroy(bed->mirror);
	uv_close((uv_handle_t *)&bed->answer, NULL);
	uv_close((uv_handle_t *)&bed->watch_end, NULL);
	uv_close((uv_handle_t *)&bed->end, NULL);
	uv_run(&bed->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&bed->loop), 0);
	kv_destroy(bed->kv);
	g_rand_free(bed->rand);
}

/* The service drops its history at each poll. */
static void test_watches_that_end_at_once(void **state)
{
	bed_t bed;

	bed_init(&bed, ANSWER_MS);
	run_for(&bed, SPAN_MS);
	assert_in_range(bed.readings, 2, READINGS_MAX);
	bed_release(&bed);
}

/* One drop of the history after a calm time: nothing is waited for. */
static void test_watch_that_lasted(void **state)
{
	bed_t bed;

	bed_init(&bed, MIRROR_STEADY_MS);
	run_for(&bed, MIRROR_STEADY_MS + SPAN_MS);
	assert_int_equal(bed.readings, 2);
	assert_in_range(bed.read_after, 0, MIRROR_RETRY_FIRST_MS / 2 - 1);
	bed_release(&bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_watches_that_end_at_once),
		cmocka_unit_test(test_watch_that_lasted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
