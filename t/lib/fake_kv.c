#include "fake_kv_internal.h"

#define START_MS    1000
#define TIMEOUT_MS  1000
#define SHARE_WHOLE 1000

static const fake_kv_faults_t no_faults = {
	.delay_min = FAKE_KV_DELAY_MS,
	.delay_max = FAKE_KV_DELAY_MS,
	.timeout = TIMEOUT_MS,
};

static int compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const event_t *left = a;
	const event_t *right = b;

	if (left->at != right->at)
		return left->at < right->at ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

void fake_kv_push(fake_kv_t *fake, const event_t *event)
{
	event_t *copy = g_memdup2(event, sizeof(*event));

	copy->at = MAX(copy->at, fake->now);
	copy->order = fake->order++;
	g_sequence_insert_sorted(fake->events, copy, compare_events, NULL);
}

static void drop_event(event_t *event)
{
	if (event->drop)
		event->drop(event->data);
	g_free(event);
}

ms_t fake_kv_random(fake_kv_t *fake, ms_t min, ms_t max)
{
	if (max <= min)
		return min;
	return g_rand_int_range(fake->rand, (gint32)min, (gint32)max + 1);
}

gboolean fake_kv_chance(fake_kv_t *fake, int share)
{
	return share && g_rand_int_range(fake->rand, 0, SHARE_WHOLE) < share;
}

ms_t fake_kv_delay(fake_kv_t *fake)
{
	return fake_kv_random(fake, fake->faults.delay_min,
			      fake->faults.delay_max);
}

kv_t *fake_kv_connect(fake_kv_t *fake)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->fake = fake;
	g_queue_init(&connection->held);
	connection->kv = kv_create(&fake_kv_calls, connection);
	g_ptr_array_add(fake->connections, connection);
	return connection->kv;
}

static connection_t *connection_of(fake_kv_t *fake, kv_t *kv)
{
	guint i;

	for (i = 0; i < fake->connections->len; i++) {
		connection_t *connection = fake->connections->pdata[i];

		if (connection->kv == kv && !connection->is_dead)
			return connection;
	}
	g_assert_not_reached();
}

static void tell_watches(void *ctx, const kv_record_t *record)
{
	fake_kv_t *fake = ctx;
	guint i;

	for (i = 0; i < fake->watches->len; i++)
		fake_kv_watch_tell(fake->watches->pdata[i], record);
}

fake_kv_t *fake_kv_create(guint32 seed)
{
	fake_kv_t *fake = g_new0(fake_kv_t, 1);

	fake->store = kv_store_create(tell_watches, fake);
	fake->rand = g_rand_new_with_seed(seed);
	fake->events = g_sequence_new(NULL);
	fake->now = START_MS;
	fake->faults = no_faults;
	fake->connections = g_ptr_array_new();
	fake->watches = g_ptr_array_new();
	return fake;
}

static event_t *pop_event(fake_kv_t *fake, ms_t until)
{
	GSequenceIter *first = g_sequence_get_begin_iter(fake->events);
	event_t *event;

	if (g_sequence_iter_is_end(first))
		return NULL;
	event = g_sequence_get(first);
	if (event->at > until)
		return NULL;
	g_sequence_remove(first);
	return event;
}

void fake_kv_destroy(fake_kv_t *fake)
{
	event_t *event;
	guint i;

	for (i = 0; i < fake->connections->len; i++) {
		connection_t *connection = fake->connections->pdata[i];

		while ((event = g_queue_pop_head(&connection->held)))
			drop_event(event);
		if (!connection->is_dead)
			kv_destroy(connection->kv);
	}
	while ((event = pop_event(fake, MS_NEVER)))
		drop_event(event);
	for (i = 0; i < fake->connections->len; i++)
		g_free(fake->connections->pdata[i]);
	g_ptr_array_free(fake->connections, TRUE);
	g_ptr_array_free(fake->watches, TRUE);
	g_sequence_free(fake->events);
	kv_store_destroy(fake->store);
	g_rand_free(fake->rand);
	g_free(fake);
}

kv_store_t *fake_kv_store(fake_kv_t *fake)
{
	return fake->store;
}

ms_t fake_kv_now(const fake_kv_t *fake)
{
	return fake->now;
}

static void run_event(event_t *event)
{
	connection_t *connection = event->connection;

	if (connection && connection->is_dead) {
		drop_event(event);
		return;
	}
	if (connection && connection->is_frozen) {
		g_queue_push_tail(&connection->held, event);
		return;
	}
	event->run(event->data);
	g_free(event);
}

void fake_kv_run(fake_kv_t *fake, ms_t until)
{
	for (;;) {
		ms_t lapse = kv_store_next_expiry(fake->store);
		event_t *event = pop_event(fake, MIN(until, lapse));

		if (event) {
			fake->now = event->at;
			run_event(event);
		} else if (lapse <= until) {
			fake->now = MAX(fake->now, lapse);
			kv_store_expire(fake->store, fake->now);
		} else {
			break;
		}
	}
	fake->now = MAX(fake->now, until);
}

typedef struct {
	void (*call)(void *ctx);
	void *ctx;
} pending_timer_t;

static void on_timer(void *data)
{
	pending_timer_t timer = *(pending_timer_t *)data;

	g_free(data);
	timer.call(timer.ctx);
}

void fake_kv_schedule(fake_kv_t *fake, ms_t at, void (*call)(void *ctx),
		      void *ctx)
{
	pending_timer_t timer = {call, ctx};
	event_t event = {at,	   0,	   NULL,
			 on_timer, g_free, g_memdup2(&timer, sizeof(timer))};

	fake_kv_push(fake, &event);
}

void fake_kv_set_faults(fake_kv_t *fake, const fake_kv_faults_t *faults)
{
	fake->faults = *faults;
}

void fake_kv_clear_faults(fake_kv_t *fake)
{
	fake->faults = no_faults;
	fake->answers_to_lose = 0;
}

void fake_kv_set_mode(fake_kv_t *fake, fake_kv_mode_t mode)
{
	guint i;

	fake->mode = mode;
	if (mode == FAKE_KV_UP)
		return;
	for (i = 0; i < fake->watches->len; i++)
		fake_kv_watch_break(fake->watches->pdata[i],
				    mode == FAKE_KV_REFUSING
					    ? FAKE_KV_DELAY_MS
					    : FAKE_KV_SILENCE_MS);
}

void fake_kv_lose_answers(fake_kv_t *fake, int count)
{
	fake->answers_to_lose = count;
}

void fake_kv_cut(fake_kv_t *fake, kv_t *kv, gboolean is_requests_cut,
		 gboolean is_answers_cut)
{
	connection_t *connection = connection_of(fake, kv);

	connection->is_requests_cut = is_requests_cut;
	connection->is_answers_cut = is_answers_cut;
}

void fake_kv_set_paused(fake_kv_t *fake, kv_t *kv, gboolean is_frozen)
{
	connection_t *connection = connection_of(fake, kv);
	event_t *event;

	connection->is_frozen = is_frozen;
	while (!is_frozen && (event = g_queue_pop_head(&connection->held))) {
		fake_kv_push(fake, event);
		g_free(event);
	}
}

const fake_kv_stats_t *fake_kv_stats(const fake_kv_t *fake)
{
	return &fake->stats;
}
