#ifndef OWN_SIM_PRIVATE_H
#define OWN_SIM_PRIVATE_H

/*
 * State shared by own_sim.c (instances and faults) and own_sim_traffic.c
 * (messages between instances and engines).
 */

#include "own_sim.h"

/* Upper bound on the transit time of a message to or from an endpoint. */
#define SIM_TRANSIT_MAX 4000

typedef struct {
	own_sim_t *sim;
	int index;
	int generation;
	gboolean is_up;
	gboolean is_frozen;
	gboolean is_cut;
	gboolean is_stopping;
	kv_t *kv;
	lease_t *lease;
	ownership_t *own;
	GQueue inbox; /* message_t received while frozen */
	int *adapter; /* [endpoint][slot]: usable adapter or -1 */
	gboolean *is_changing;
	int *intended;	 /* [endpoint][slot]: adapter of the intent */
	int *in_flight;	 /* [endpoint][adapter] */
	ms_t *report_at; /* [endpoint] */
	int *restarts;	 /* [endpoint]: engine restarts seen so far */
} instance_t;

struct own_sim {
	own_sim_options_t options;
	ownership_options_t own_options;
	fake_kv_t *kv;
	GRand *rand;
	instance_t *instances;
	fake_engine_t **engines;
	GHashTable *messages; /* message_t in flight */
	GQueue trace;
	GString *trace_text;
	int sent;
	int unserved;
	char *violation;
};

typedef struct message {
	own_sim_t *sim;
	int instance;
	int generation;
	int endpoint;
	int slot;
	int adapter;
	int64_t epoch;
	ms_t sent_at;
	gboolean is_ok;
	int restarts;
	engine_state_t state;
	void (*handle)(struct message *message); /* called at the instance */
} message_t;

/* Indices into the arrays [endpoint][slot] and [endpoint][adapter]. */
int own_sim_slot_index(int endpoint, int slot);
int own_sim_adapter_index(int endpoint, int adapter);

/* Runs one tick of an instance. */
void own_sim_tick_instance(instance_t *instance, ms_t now);

/* Does nothing: every instance is ticked at a fixed interval. */
void own_sim_on_wake(void *ctx);

void own_sim_message_free(message_t *message);

/* The number in the name of an endpoint or instance. */
int own_sim_parse_number(const char *name);

extern const ownership_actions_t own_sim_actions;

#endif
