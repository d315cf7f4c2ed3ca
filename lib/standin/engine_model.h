#ifndef STANDIN_ENGINE_MODEL_H
#define STANDIN_ENGINE_MODEL_H

/*
 * A model of an inference engine with adapter slots and continuous batching.
 *
 * It does no I/O: standin/standin-engine.c passes it requests and the time, and
 * implements its callbacks.  Each step produces one token for every running
 * request; a request waits while all places of the batch are in use.
 *
 * The model keeps a ledger that tests check: which requests ran, how often and
 * on which adapter, and every unload of an adapter in use.
 *
 * If checks_fence is set, the engine refuses an order whose fencing number is
 * lower than the highest that it has seen.
 */

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "standin/store_model.h"

typedef struct engine_model engine_model_t;
typedef struct engine_run engine_run_t;

typedef struct {
	int slots;
	int places; /* maximum of requests in one step */
	ms_t step_ms;
	gboolean checks_fence;
	const char *order_token; /* required for orders; NULL for none */
	ms_t report_lag_ms;
	ms_t linger_ms; /* how long to keep a run without a reader */
} engine_options_t;

typedef struct {
	/* Called for each token of a run, numbered from 0. */
	void (*on_token)(void *reader, int index, const char *text);
	/* Called at the end of a run, or when it is interrupted. */
	void (*on_end)(void *reader, gboolean is_interrupted);
	/* Called at the end of a load or unload order. */
	void (*on_order_done)(void *order, const GError *error);
} engine_events_t;

typedef struct {
	const char *request;
	const char *adapter;
	const char *prompt;
	int priority;
	int max_tokens;
} engine_request_t;

engine_model_t *engine_model_create(const engine_options_t *options,
				    store_model_t *store,
				    const engine_events_t *events);
void engine_model_destroy(engine_model_t *engine);

/* Starts a run; fails with ERROR_NOT_FOUND if the adapter is not resident. */
engine_run_t *engine_model_start_run(engine_model_t *engine,
				     const engine_request_t *request,
				     void *reader, GError **error);

/*
 * Attaches a reader to a run and replays its tokens from an index.  A reader
 * that is still attached is interrupted.  Fails with ERROR_NOT_FOUND if there
 * is no such run.
 */
engine_run_t *engine_model_resume(engine_model_t *engine, const char *request,
				  int from, void *reader, GError **error);

/*
 * Detaches a reader that has disconnected.  Its run is cancelled after the
 * linger time unless another reader attaches to it.
 */
void engine_model_detach(engine_model_t *engine, void *reader);

/* Cancels the run of a request; returns FALSE if there is no such run. */
gboolean engine_model_cancel(engine_model_t *engine, const char *request);

/*
 * Orders to load an adapter into a slot, or to unload it from there.  A load
 * into slot -1 only updates the fencing number.  on_order_done reports the end,
 * possibly before the function returns.
 */
void engine_model_load(engine_model_t *engine, int slot, const char *adapter,
		       int64_t fence, const char *token, void *order);
void engine_model_unload(engine_model_t *engine, int slot, const char *adapter,
			 int64_t fence, const char *token, void *order);

/* Advances the model to a time; call it at least once per step. */
void engine_model_tick(engine_model_t *engine, ms_t now);

/* Makes the next loads fail. */
void engine_model_fail_loads(engine_model_t *engine, int count);

/* Drops all runs, slots and the fencing number, as a restart does. */
void engine_model_restart(engine_model_t *engine);

/* A frozen engine accepts requests and makes no progress. */
void engine_model_freeze(engine_model_t *engine, gboolean is_frozen);

/*
 * Returns the load report, as old as the report lag, or the ledger, as JSON.
 * Free it with g_free().
 */
char *engine_model_report(engine_model_t *engine);
char *engine_model_ledger(engine_model_t *engine);

/* Returns the text of a token, which tests compare with the output. */
char *engine_model_token(const char *adapter, const char *prompt, int index);

#endif
