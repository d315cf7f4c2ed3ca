#ifndef FAKE_KV_INTERNAL_H
#define FAKE_KV_INTERNAL_H

/*
 * State shared by the event loop and fault injection (fake_kv.c), the calls
 * (fake_kv_call.c) and the watches (fake_kv_watch.c).
 */

#include "fake_kv.h"

typedef struct connection {
	fake_kv_t *fake;
	kv_t *kv;
	gboolean is_dead;
	gboolean is_frozen;
	gboolean is_requests_cut;
	gboolean is_answers_cut;
	GQueue held; /* event_t held back while frozen */
} connection_t;

typedef struct {
	ms_t at;
	guint64 order;
	connection_t *connection; /* NULL: not delivered to a process */
	void (*run)(void *data);
	void (*drop)(void *data);
	void *data;
} event_t;

struct fake_kv {
	kv_store_t *store;
	GRand *rand;
	GSequence *events;
	guint64 order;
	ms_t now;
	fake_kv_mode_t mode;
	fake_kv_faults_t faults;
	int answers_to_lose;
	GPtrArray *connections;
	GPtrArray *watches;
	fake_kv_stats_t stats;
};

void fake_kv_push(fake_kv_t *fake, const event_t *event);
ms_t fake_kv_random(fake_kv_t *fake, ms_t min, ms_t max);
ms_t fake_kv_delay(fake_kv_t *fake);
gboolean fake_kv_chance(fake_kv_t *fake, int share); /* share of 1000 */

/* fake_kv_call.c */
extern const kv_calls_t fake_kv_calls;

/* fake_kv_watch.c */
kv_watch_t *fake_kv_watch(void *ctx, const char *prefix, int64_t after,
			  kv_watch_event_t on_event, kv_watch_end_t on_end,
			  void *watch_ctx);
void fake_kv_watch_cancel(void *ctx, kv_watch_t *watch);
void fake_kv_watch_break(kv_watch_t *watch, ms_t after);
void fake_kv_watch_notify(void *watch, const kv_record_t *record);
void fake_kv_watch_drop_all(connection_t *connection);

/* Default one-way delay. */
#define FAKE_KV_DELAY_MS 1

/* Time until a watch notices a silent connection. */
#define FAKE_KV_SILENCE_MS 5000

#endif
