#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

/*
 * A model of an endpoint with adapter slots on virtual time, for tests of
 * ownership.  It checks every order and keeps the first violation as text.
 */

#include <glib.h>

#include "own/ownership.h"

#define ENGINE_SLOTS	3
#define ENGINE_ADAPTERS 6

typedef struct {
	intent_state_t state;
	int adapter; /* adapter number, -1 if none */
	ms_t load_end;
	int64_t epoch; /* epoch of the last order that changed the slot */
} engine_slot_t;

typedef struct {
	ms_t at;
	engine_slot_t slots[ENGINE_SLOTS];
	int running[ENGINE_ADAPTERS];
	int restarts;
} engine_state_t;

typedef struct {
	char *id;
	gboolean checks_fencing;
	int64_t fence;
	engine_state_t now;
	GArray *history; /* engine_state_t, for delayed reports */
	char *violation; /* NULL if none */
	int orders;
	int runs;
} fake_engine_t;

fake_engine_t *fake_engine_create(const char *id, gboolean checks_fencing);
void fake_engine_destroy(fake_engine_t *engine);

/* Completes the loads that are due and records the state for reports. */
void fake_engine_tick(fake_engine_t *engine, ms_t now);

/*
 * Applies an order of an owner: loads an adapter into a slot, or unloads the
 * slot if adapter is -1.  If slot is -1, only the fence is raised.  Returns
 * FALSE if the order is refused.
 */
gboolean fake_engine_order(fake_engine_t *engine, ms_t now, int slot,
			   int adapter, int64_t epoch, ms_t load_time);

/* Starts a request.  Returns FALSE if the adapter is not resident. */
gboolean fake_engine_run(fake_engine_t *engine, int adapter);

/* Ends a request; restarts is the engine's restart count at its start. */
void fake_engine_end(fake_engine_t *engine, int adapter, int restarts);

void fake_engine_restart(fake_engine_t *engine);

/* Returns the newest recorded state that is not later than a time. */
const engine_state_t *fake_engine_report(const fake_engine_t *engine, ms_t at);

#endif
