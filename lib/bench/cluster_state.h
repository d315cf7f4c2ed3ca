#ifndef BENCH_CLUSTER_STATE_H
#define BENCH_CLUSTER_STATE_H

/* State of one simulated run, private to the cluster_*.c files. */

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
	gboolean is_stalled;
	miss_t miss;	 /* reason of the first miss, if is_stalled */
	ms_t dispatched; /* last time it was submitted to an owner */
	gboolean is_started;
	gboolean is_orphan; /* its owner was lost while it ran */
	gboolean has_first_token;
	/* ROUTE_FLEET: the endpoint that counts it as in flight, or NULL. */
	fleet_endpoint_t *counted_endpoint;
} request_t;

typedef struct {
	cluster_t *cluster;
	int index;
	char name[NAME_SIZE];
	int owner; /* index of the instance that owns the endpoint */
	slots_t *slots;
	engine_t *engine;
	int *slot_adapters; /* adapter in each slot of the engine, or -1 */
	ms_t *load_ordered; /* start of the last load of each slot */
	ms_t *load_ended;   /* end of the last load of each slot */
	/*
	 * Incremented when the engine restarts or the owner changes.  Events of
	 * an earlier generation are ignored.
	 */
	int generation;
	uint64_t epoch;
	uint64_t sequence;
	gboolean placement_changed; /* since the last news */
	slots_utilization_t reported_load;
	ms_t reported_at;
} endpoint_t;

typedef struct {
	cluster_t *cluster;
	int index;
	char name[NAME_SIZE];
	placement_t *table;
	home_t *home;
	fleet_t *fleet; /* for ROUTE_FLEET */
	/* Adapter to the time of the last request for another replica. */
	GHashTable *replica_requests;
	gboolean is_alive;
} instance_t;

struct cluster {
	sim_t *sim;
	const profile_t *profile;
	const trace_t *trace;
	const policy_t *policy;
	scenario_t scenario;
	GRand *rand;	   /* used by the code under test */
	GRand *model_rand; /* draws entries and load failures */
	store_t *store;
	broker_t *broker;
	ms_t broker_due;
	endpoint_t *endpoints;
	instance_t *instances;
	char **adapters;      /* names */
	gboolean *was_loaded; /* whether a load of the adapter has succeeded */
	int adapter_count;
	GHashTable *requests; /* id to request_t */
	uint64_t next_id;
	result_t *result;
};

/* cluster.c: the life cycle of a request. */
void cluster_dispatch(cluster_t *cluster, request_t *request);
void cluster_retry(cluster_t *cluster, request_t *request, ms_t after);
request_t *cluster_find_request(cluster_t *cluster, uint64_t id);
void cluster_first_token(void *ctx, uint64_t id);
void cluster_ended(void *ctx, uint64_t id);
gboolean cluster_is_measured(const cluster_t *cluster, ms_t when);

/* cluster_owner.c: owners, their loads and unloads, and their news. */
void cluster_owner_init(endpoint_t *endpoint);
void cluster_run_broker(cluster_t *cluster);
void cluster_publish_start(cluster_t *cluster);
void cluster_publish(endpoint_t *endpoint);
void cluster_make_slots(endpoint_t *endpoint);
const broker_actions_t *cluster_broker_actions(void);
const engine_actions_t *cluster_engine_actions(void);

/* cluster_stall.c: accounting of stalls by cause. */
void cluster_record_miss(cluster_t *cluster, request_t *request);
void cluster_record_stall(const endpoint_t *endpoint, const request_t *request,
			  int slot);
void cluster_record_abandoned(cluster_t *cluster, const request_t *request);

/* cluster_faults.c: faults injected halfway through the trace. */
void cluster_schedule_faults(cluster_t *cluster);

/* cluster_route.c: routing.  Returns the index of the endpoint, or -1. */
int cluster_route(cluster_t *cluster, request_t *request);
void cluster_expect_next(cluster_t *cluster, const request_t *request);
int cluster_home_of(const cluster_t *cluster, const char *adapter);

/*
 * cluster_fleet.c: the view that each instance has of the engines.  Used by
 * ROUTE_FLEET; the notifications have no effect on other policies.
 */
fleet_t *cluster_fleet_create(const cluster_t *cluster);
int cluster_fleet_route(cluster_t *cluster, request_t *request,
			const char *adapter);
/* The engine has started the request and reported its load. */
void cluster_fleet_started(const endpoint_t *endpoint,
			   const request_t *request);
/* The request has ended at the engine, or was never started there. */
void cluster_fleet_ended(request_t *request);
/* The endpoint has unloaded an adapter, and all instances are notified. */
void cluster_fleet_unloaded(const endpoint_t *endpoint, const char *adapter);

#endif
