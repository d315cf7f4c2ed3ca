#ifndef BENCH_CLUSTER_STATE_H
#define BENCH_CLUSTER_STATE_H

/* The state of one run, shared by the source files of the cluster model. */

#include "bench/cluster.h"
#include "bench/engine.h"
#include "bench/sim.h"
#include "bench/store.h"
#include "route/fleet.h"
#include "sched/broker.h"
#include "sched/home.h"
#include "sched/placement.h"
#include "sched/slots.h"

#define NAME_SIZE 24

typedef struct cluster cluster_t;

typedef struct {
	uint64_t id;
	const round_t *round;
	int step;
	ms_t arrival;
	int entry;
	int endpoint;
	gboolean stalled;
	miss_t miss;	 /* why, if it stalled */
	ms_t dispatched; /* last handed to an owner */
	gboolean started;
	gboolean orphan; /* its owner was lost while it ran */
	gboolean had_first;
	fleet_endpoint_t *counted_at; /* of ROUTE_FLEET, or NULL */
} request_t;

typedef struct {
	cluster_t *cluster;
	int index;
	char name[NAME_SIZE];
	int owner; /* instance */
	slots_t *slots;
	engine_t *engine;
	int *held;	/* adapter in each slot of the engine, or -1 */
	ms_t *ordered;	/* last load of each slot */
	ms_t *loaded;	/* its end */
	int generation; /* counts owners and restarts; older events are void */
	uint64_t epoch;
	uint64_t sequence;
	gboolean changed; /* placement, since the last news */
	slots_utilization_t seen_load;
	ms_t seen_at;
} endpoint_t;

typedef struct {
	cluster_t *cluster;
	int index;
	char name[NAME_SIZE];
	placement_t *table;
	home_t *home;
	fleet_t *fleet;	   /* of ROUTE_FLEET */
	GHashTable *wants; /* adapter to the last time one more was wanted */
	gboolean is_alive;
} instance_t;

struct cluster {
	sim_t *sim;
	const profile_t *profile;
	const trace_t *trace;
	const policy_t *policy;
	scenario_t scenario;
	GRand *rand; /* of the code under test */
	GRand *luck; /* of the model: which entry, which load fails */
	store_t *store;
	broker_t *broker;
	ms_t broker_due;
	endpoint_t *endpoints;
	instance_t *instances;
	char **adapters;    /* names */
	gboolean *is_known; /* adapters that were loaded before */
	int adapter_count;
	GHashTable *requests; /* id to request_t */
	uint64_t next_id;
	result_t *result;
};

/* cluster.c: the ways of a request. */
void cluster_dispatch(cluster_t *cluster, request_t *request);
void cluster_retry(cluster_t *cluster, request_t *request, ms_t after);
request_t *cluster_request(cluster_t *cluster, uint64_t id);
void cluster_first_token(void *ctx, uint64_t id);
void cluster_ended(void *ctx, uint64_t id);
gboolean cluster_is_measured(const cluster_t *cluster, ms_t when);

/* cluster_owner.c: the owners and what they order. */
void cluster_owner_init(endpoint_t *endpoint);
void cluster_run_broker(cluster_t *cluster);
void cluster_publish_start(cluster_t *cluster);
void cluster_publish(endpoint_t *endpoint);
void cluster_make_slots(endpoint_t *endpoint);
const broker_actions_t *cluster_broker_actions(void);
const engine_actions_t *cluster_engine_actions(void);

/* cluster_stall.c: stalls and their causes. */
void cluster_note_miss(cluster_t *cluster, request_t *request);
void cluster_note_stall(const endpoint_t *endpoint, const request_t *request,
			int slot);
void cluster_note_given_up(cluster_t *cluster, const request_t *request);

/* cluster_faults.c: what goes wrong at half time. */
void cluster_schedule_faults(cluster_t *cluster);

/* cluster_route.c: the endpoint for a request, or -1. */
int cluster_route(cluster_t *cluster, request_t *request);
void cluster_expect_next(cluster_t *cluster, const request_t *request);
int cluster_home_of(const cluster_t *cluster, const char *adapter);

/* cluster_fleet.c: what instances know with ROUTE_FLEET; else without effect.
 */
fleet_t *cluster_fleet_create(const cluster_t *cluster);
int cluster_fleet_route(cluster_t *cluster, request_t *request,
			const char *adapter);
/* The request's engine told that it goes ahead. */
void cluster_fleet_started(const endpoint_t *endpoint,
			   const request_t *request);
/* The request has left the engine, or never came there. */
void cluster_fleet_ended(request_t *request);
/* An adapter is unloaded; engines tell those that used it. */
void cluster_fleet_dropped(const endpoint_t *endpoint, const char *adapter);

#endif
