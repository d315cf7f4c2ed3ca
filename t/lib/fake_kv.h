#ifndef FAKE_KV_H
#define FAKE_KV_H

/*
 * A key-value service in memory on virtual time, for tests of decision code.
 *
 * One fake_kv_t is the service.  Each process under test has a connection of
 * its own, a kv_t made by fake_kv_connect().  Nothing happens, and no callback
 * is called, but from fake_kv_run().  All chance comes from the seed.
 *
 * A call travels to the service, takes effect, and its answer travels back.
 * After the timeout the caller is told KV_UNKNOWN (reads: KV_FAILED); a request
 * that is still under way can take effect even later.
 */

#include "kv/kv.h"
#include "standin/kv_store.h"

typedef struct fake_kv fake_kv_t;

typedef enum {
	FAKE_KV_UP,
	FAKE_KV_REFUSING, /* calls fail at once; watches end */
	FAKE_KV_SILENT	  /* calls get no answer and have no effect */
} fake_kv_mode_t;

typedef struct {
	ms_t delay_min; /* one way; completions overtake each other */
	ms_t delay_max;
	ms_t timeout;		/* of a call */
	int lost_request_share; /* of 1000 calls */
	int lost_answer_share;	/* of 1000 calls; it took effect */
	int late_share; /* of 1000 calls; arrives after late_max or less */
	ms_t late_max;
	ms_t watch_lag_max; /* beyond the delay */
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

/* The state, to look at and to change directly. */
kv_store_t *fake_kv_store(fake_kv_t *fake);

/*
 * A connection.  kv_destroy() stands for the end of the process: no callback
 * follows, but requests already sent still take effect.
 */
kv_t *fake_kv_connect(fake_kv_t *fake);

/* The virtual time, which starts at 1000. */
ms_t fake_kv_now(const fake_kv_t *fake);

/* Run all that is due up to a time, in order, and set the clock to it. */
void fake_kv_run(fake_kv_t *fake, ms_t until);

/* Call back at a time on the same clock; not tied to a connection. */
void fake_kv_schedule(fake_kv_t *fake, ms_t at, void (*call)(void *ctx),
		      void *ctx);

void fake_kv_set_faults(fake_kv_t *fake, const fake_kv_faults_t *faults);

/* Calls answered in 1 ms, no faults, timeout 1000 ms: the setting at start. */
void fake_kv_clear_faults(fake_kv_t *fake);

void fake_kv_set_mode(fake_kv_t *fake, fake_kv_mode_t mode);

/* Lose the answers of the next calls that write, after they took effect. */
void fake_kv_lose_answers(fake_kv_t *fake, int count);

/* Cut a connection in one direction or both. */
void fake_kv_cut(fake_kv_t *fake, kv_t *kv, gboolean is_requests_cut,
		 gboolean is_answers_cut);

/* Hold back all callbacks of a paused process until it is thawed. */
void fake_kv_set_paused(fake_kv_t *fake, kv_t *kv, gboolean is_frozen);

const fake_kv_stats_t *fake_kv_stats(const fake_kv_t *fake);

#endif
