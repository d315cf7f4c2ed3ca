#ifndef FAKE_KV_H
#define FAKE_KV_H

/*
 * In-memory key-value service with virtual time, for deterministic tests.
 *
 * A fake_kv_t is the service.  Each process under test has its own connection,
 * a kv_t created by fake_kv_connect().  State changes and callbacks happen only
 * within fake_kv_run().  All randomness comes from the seed.
 *
 * A request travels to the service and takes effect, then the answer travels
 * back.  After the timeout the call ends with KV_UNKNOWN (reads: KV_FAILED); a
 * request still in transit may take effect later.
 */

#include "kv/kv.h"
#include "standin/kv_store.h"

typedef struct fake_kv fake_kv_t;

typedef enum {
	FAKE_KV_UP,
	FAKE_KV_REFUSING, /* calls fail immediately; watches end */
	FAKE_KV_SILENT	  /* calls have no effect and get no answer */
} fake_kv_mode_t;

typedef struct {
	ms_t delay_min; /* one-way delay; calls may be reordered */
	ms_t delay_max;
	ms_t timeout;		/* of a call */
	int lost_request_share; /* of 1000 calls */
	int lost_answer_share;	/* of 1000 calls, which took effect */
	int late_share;		/* of 1000 calls, delayed by up to late_max */
	ms_t late_max;
	ms_t watch_lag_max; /* in addition to the delay */
} fake_kv_faults_t;

typedef struct {
	int64_t reads;
	int64_t writes;
	int64_t lease_calls;
	int64_t watches_started;
	int64_t watches_open;
} fake_kv_stats_t;

fake_kv_t *fake_kv_create(guint32 seed);
void fake_kv_destroy(fake_kv_t *fake);

/* The stored state, which tests may inspect and modify directly. */
kv_store_t *fake_kv_store(fake_kv_t *fake);

/*
 * Create a connection.  kv_destroy() simulates the end of the process: no
 * callbacks run afterwards, but requests already sent still take effect.
 */
kv_t *fake_kv_connect(fake_kv_t *fake);

/* Returns the virtual time, which starts at 1000 ms. */
ms_t fake_kv_now(const fake_kv_t *fake);

/* Run all events due up to a time in order, and advance the clock to it. */
void fake_kv_run(fake_kv_t *fake, ms_t until);

/* Schedule a callback that belongs to no connection. */
void fake_kv_schedule(fake_kv_t *fake, ms_t at, void (*call)(void *ctx),
		      void *ctx);

void fake_kv_set_faults(fake_kv_t *fake, const fake_kv_faults_t *faults);

/* Restore the defaults: delay 1 ms, timeout 1000 ms, no faults. */
void fake_kv_clear_faults(fake_kv_t *fake);

void fake_kv_set_mode(fake_kv_t *fake, fake_kv_mode_t mode);

/* Drop the answers of the next successful write and lease calls. */
void fake_kv_lose_answers(fake_kv_t *fake, int count);

/* Drop the requests, the answers or both on a connection. */
void fake_kv_cut(fake_kv_t *fake, kv_t *kv, gboolean is_requests_cut,
		 gboolean is_answers_cut);

/* Simulate a paused process: hold back its callbacks until it resumes. */
void fake_kv_set_paused(fake_kv_t *fake, kv_t *kv, gboolean is_frozen);

const fake_kv_stats_t *fake_kv_stats(const fake_kv_t *fake);

#endif
