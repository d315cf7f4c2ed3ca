#include "fake_kv_internal.h"

#include <string.h>

struct kv_watch {
	int refs;
	connection_t *connection;
	char *prefix;
	gboolean is_cancelled; /* cancelled by its owner, or ended */
	gboolean is_broken;    /* an event was lost; the end is scheduled */
	ms_t last_at; /* delivery time of the last event; keeps them in order */
	kv_watch_event_t on_event;
	kv_watch_end_t on_end;
	void *ctx;
};

typedef struct {
	kv_watch_t *watch;
	kv_item_t item;
} watch_event_t;

static void watch_unref(kv_watch_t *watch)
{
	if (--watch->refs)
		return;
	g_free(watch->prefix);
	g_free(watch);
}

static void watch_event_free(void *data)
{
	watch_event_t *event = data;

	kv_item_release(&event->item);
	watch_unref(event->watch);
	g_free(event);
}

static void on_watch_event(void *data)
{
	watch_event_t *event = data;
	kv_watch_t *watch = event->watch;

	if (!watch->is_cancelled)
		watch->on_event(watch->ctx, &event->item);
	watch_event_free(event);
}

static void watch_close(kv_watch_t *watch)
{
	fake_kv_t *fake = watch->connection->fake;

	watch->is_cancelled = TRUE;
	if (!g_ptr_array_remove_fast(fake->watches, watch))
		return;
	fake->stats.watches_open--;
	watch_unref(watch);
}

static void on_watch_end(void *data)
{
	kv_watch_t *watch = data;
	GError *error = NULL;

	if (watch->is_cancelled) {
		watch_unref(watch);
		return;
	}
	watch->is_cancelled = TRUE;
	error_set(&error, ERROR_UNAVAILABLE,
		  "the watch ended; read the keys and watch again");
	watch->on_end(watch->ctx, error);
	g_clear_error(&error);
	/* Drop the reference of the list here, and that of this event below. */
	g_ptr_array_remove_fast(watch->connection->fake->watches, watch);
	watch->connection->fake->stats.watches_open--;
	watch->refs--;
	watch_unref(watch);
}

static void watch_drop(void *data)
{
	watch_unref(data);
}

void fake_kv_watch_break(kv_watch_t *watch, ms_t after)
{
	fake_kv_t *fake = watch->connection->fake;
	event_t end = {MAX(fake->now + after, watch->last_at),
		       0,
		       watch->connection,
		       on_watch_end,
		       watch_drop,
		       watch};

	if (watch->is_broken || watch->is_cancelled)
		return;
	watch->is_broken = TRUE;
	watch->refs++;
	fake_kv_push(fake, &end);
}

void fake_kv_watch_notify(void *ctx, const kv_record_t *record)
{
	kv_watch_t *watch = ctx;
	fake_kv_t *fake = watch->connection->fake;
	ms_t lag = fake_kv_random(fake, 0, fake->faults.watch_lag_max);
	event_t event = {fake->now + fake_kv_delay(fake) + lag,
			 0,
			 watch->connection,
			 on_watch_event,
			 watch_event_free,
			 NULL};
	watch_event_t *notification;

	if (watch->is_broken || !g_str_has_prefix(record->key, watch->prefix))
		return;
	if (fake->mode != FAKE_KV_UP || watch->connection->is_answers_cut) {
		fake_kv_watch_break(watch, FAKE_KV_SILENCE_MS);
		return;
	}
	notification = g_new0(watch_event_t, 1);
	notification->watch = watch;
	watch->refs++;
	notification->item.key = g_strdup(record->key);
	notification->item.revision = record->revision;
	notification->item.lease = record->lease;
	notification->item.size = record->size;
	if (record->value)
		notification->item.value =
			g_memdup2(record->value, record->size + 1);
	watch->last_at = MAX(watch->last_at, event.at);
	event.at = watch->last_at;
	event.data = notification;
	fake_kv_push(fake, &event);
}

kv_watch_t *fake_kv_watch(void *ctx, const char *prefix, int64_t after,
			  kv_watch_event_t on_event, kv_watch_end_t on_end,
			  void *watch_ctx)
{
	connection_t *connection = ctx;
	fake_kv_t *fake = connection->fake;
	kv_watch_t *watch = g_new0(kv_watch_t, 1);

	watch->refs = 1;
	watch->connection = connection;
	watch->prefix = g_strdup(prefix);
	watch->on_event = on_event;
	watch->on_end = on_end;
	watch->ctx = watch_ctx;
	g_ptr_array_add(fake->watches, watch);
	fake->stats.watches_started++;
	fake->stats.watches_open++;
	if (fake->mode != FAKE_KV_UP || connection->is_requests_cut ||
	    !kv_store_replay(fake->store, after, fake_kv_watch_notify, watch))
		fake_kv_watch_break(watch, fake->faults.timeout);
	return watch;
}

void fake_kv_watch_cancel(void *ctx, kv_watch_t *watch)
{
	watch_close(watch);
}

void fake_kv_watch_drop_all(connection_t *connection)
{
	fake_kv_t *fake = connection->fake;
	guint i;

	for (i = fake->watches->len; i > 0; i--) {
		kv_watch_t *watch = fake->watches->pdata[i - 1];

		if (watch->connection == connection)
			watch_close(watch);
	}
}
