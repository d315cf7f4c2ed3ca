#include "front/mirror.h"

#include "base/log.h"

typedef struct {
	int64_t revision;
	guint scan; /* of the last read that contained it */
	gboolean is_gone;
} item_state_t;

struct mirror {
	kv_t *kv;
	GRand *rand;
	mirror_events_t events;
	void *ctx;
	kv_watch_t *watch;
	uv_timer_t timer;
	ms_t delay;
	GHashTable *item_states; /* key to item_state_t */
	guint scan;
	int64_t revision;
	uint64_t watched_since; /* loop time, ms */
	gboolean is_synced;
	gboolean is_restoring;	  /* until all items are read again */
	gboolean has_read_failed; /* the newest read failed */
};

static void read_all(uv_timer_t *timer);

static void schedule_read(mirror_t *mirror)
{
	ms_t delay = g_rand_int_range(mirror->rand, (gint32)mirror->delay / 2,
				      (gint32)mirror->delay + 1);

	mirror->delay = MIN(mirror->delay * 2, MIRROR_RETRY_MAX_MS);
	uv_timer_start(&mirror->timer, read_all, (uint64_t)delay, 0);
}

static void deliver_item(mirror_t *mirror, const kv_item_t *item)
{
	item_state_t *state =
		g_hash_table_lookup(mirror->item_states, item->key);

	mirror->revision = MAX(mirror->revision, item->revision);
	if (state && item->revision <= state->revision) {
		state->scan = mirror->scan;
		return;
	}
	if (!state) {
		state = g_new0(item_state_t, 1);
		g_hash_table_insert(mirror->item_states, g_strdup(item->key),
				    state);
	}
	state->revision = item->revision;
	state->scan = mirror->scan;
	state->is_gone = !item->value;
	mirror->events.on_item(mirror->ctx, item);
}

static void on_event(void *ctx, const kv_item_t *item)
{
	deliver_item(ctx, item);
}

static void on_watch_end(void *ctx, const GError *error)
{
	mirror_t *mirror = ctx;

	mirror->watch = NULL;
	log_info("watch ended; reading all items", "reason", error->message,
		 NULL);
	if (uv_now(mirror->timer.loop) - mirror->watched_since <
	    MIRROR_STABLE_MS) {
		schedule_read(mirror);
		return;
	}
	mirror->delay = MIRROR_RETRY_FIRST_MS;
	uv_timer_start(&mirror->timer, read_all, 0, 0);
}

/* Deletes the items that the newest read did not contain. */
static void delete_missing(mirror_t *mirror, int64_t revision)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, mirror->item_states);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const item_state_t *state = value;

		if (state->scan != mirror->scan && !state->is_gone)
			g_ptr_array_add(missing, g_strdup(key));
	}
	for (i = 0; i < missing->len; i++) {
		kv_item_t item = {.key = missing->pdata[i],
				  .revision = revision};

		deliver_item(mirror, &item);
	}
	g_ptr_array_free(missing, TRUE);
}

static void on_list(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	mirror_t *mirror = ctx;
	size_t i;

	if (status != KV_DONE) {
		if (!mirror->has_read_failed)
			log_warn("items not read; tried again", "error",
				 error ? error->message : "refused", NULL);
		mirror->has_read_failed = TRUE;
		schedule_read(mirror);
		return;
	}
	mirror->has_read_failed = FALSE;
	mirror->scan++;
	for (i = 0; i < count; i++)
		deliver_item(mirror, &items[i]);
	delete_missing(mirror, revision);
	mirror->revision = MAX(mirror->revision, revision);
	mirror->is_synced = TRUE;
	mirror->is_restoring = FALSE;
	mirror->watched_since = uv_now(mirror->timer.loop);
	mirror->watch = kv_watch(mirror->kv, "", revision, on_event,
				 on_watch_end, mirror);
	mirror->events.on_synced(mirror->ctx);
}

static void read_all(uv_timer_t *timer)
{
	mirror_t *mirror = timer->data;

	kv_list(mirror->kv, "", on_list, mirror);
}

mirror_t *mirror_create(kv_t *kv, uv_loop_t *loop, GRand *rand,
			const mirror_events_t *events, void *ctx)
{
	mirror_t *mirror = g_new0(mirror_t, 1);

	mirror->kv = kv;
	mirror->rand = rand;
	mirror->events = *events;
	mirror->ctx = ctx;
	mirror->delay = MIRROR_RETRY_FIRST_MS;
	mirror->item_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(loop, &mirror->timer);
	mirror->timer.data = mirror;
	uv_timer_start(&mirror->timer, read_all, 0, 0);
	return mirror;
}

static void on_closed(uv_handle_t *handle)
{
	mirror_t *mirror = handle->data;

	g_hash_table_destroy(mirror->item_states);
	g_free(mirror);
}

void mirror_destroy(mirror_t *mirror)
{
	if (mirror->watch)
		kv_watch_cancel(mirror->kv, mirror->watch);
	uv_close((uv_handle_t *)&mirror->timer, on_closed);
}

void mirror_begin_history(mirror_t *mirror)
{
	GHashTableIter iter;
	gpointer state;

	mirror->revision = 0;
	mirror->is_restoring = TRUE;
	g_hash_table_iter_init(&iter, mirror->item_states);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		((item_state_t *)state)->revision = 0;
}

gboolean mirror_is_restoring(const mirror_t *mirror)
{
	return mirror->is_restoring;
}

void mirror_apply(mirror_t *mirror, const kv_item_t *item)
{
	if (mirror->is_synced)
		deliver_item(mirror, item);
}

void mirror_poll_now(mirror_t *mirror)
{
	if (mirror->watch)
		kv_watch_hasten(mirror->kv, mirror->watch);
}

gboolean mirror_is_synced(const mirror_t *mirror)
{
	return mirror->is_synced;
}

int64_t mirror_revision(const mirror_t *mirror)
{
	return mirror->revision;
}
