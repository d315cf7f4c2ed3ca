#ifndef OWN_SIM_H
#define OWN_SIM_H

/*
 * Simulation of several instances with an ownership_t each, several endpoints,
 * and one key-value service, in the virtual time of a fake_kv_t.  The instances
 * send requests, load adapters at random, and request engine reports.
 */

#include "fake_engine.h"
#include "fake_kv.h"

#define SIM_TICK_MS    25
#define SIM_REPORT_LAG 400

typedef struct own_sim own_sim_t;

typedef struct {
	int instances;
	int endpoints;
	guint32 seed;
	ms_t load_interval; /* mean time between loads of one endpoint */
	ms_t request_interval;
	gboolean is_fast; /* short leases and time limits, for fault runs */
	/*
	 * Index of an instance that uses the name of instance 0 at another
	 * place; 0 for none.
	 */
	int duplicate;
} own_sim_options_t;

own_sim_t *own_sim_create(const own_sim_options_t *options);
void own_sim_destroy(own_sim_t *sim);

fake_kv_t *own_sim_kv(own_sim_t *sim);
GRand *own_sim_rand(own_sim_t *sim);

/* Advances the virtual time; stops early at the first violation. */
void own_sim_run(own_sim_t *sim, ms_t until);

/* Describes the first violated invariant, or NULL. */
const char *own_sim_violation(const own_sim_t *sim);

/* The most recent events, one per line. */
const char *own_sim_trace(own_sim_t *sim);
void own_sim_trace_event(own_sim_t *sim, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

void own_sim_kill(own_sim_t *sim, int instance);
void own_sim_start(own_sim_t *sim, int instance);
gboolean own_sim_is_up(const own_sim_t *sim, int instance);
void own_sim_freeze(own_sim_t *sim, int instance, gboolean is_frozen);
void own_sim_partition(own_sim_t *sim, int instance, gboolean is_requests_cut,
		       gboolean is_answers_cut);
void own_sim_restart_engine(own_sim_t *sim, int endpoint);

/* Begins a planned stop. */
void own_sim_stop(own_sim_t *sim, int instance);

/* Updates the member list of each instance after a random delay. */
void own_sim_update_members(own_sim_t *sim);

/* Number of endpoints that some running instance may serve. */
int own_sim_served_endpoints(own_sim_t *sim);

/* Number of orders that took effect so far, without fence orders. */
int own_sim_order_count(own_sim_t *sim);

/*
 * Number of slots, on engines that ignore fencing, whose adapter the owner may
 * not unload.
 */
int own_sim_held_slots(own_sim_t *sim);

/*
 * Number of requests for resident adapters that the owner sent to the endpoint,
 * and that it did not send because it may not serve.
 */
int own_sim_requests_sent(const own_sim_t *sim);
int own_sim_requests_unserved(const own_sim_t *sim);

/* Number of endpoints that an instance owns. */
int own_sim_owned_count(own_sim_t *sim, int instance);

#endif
