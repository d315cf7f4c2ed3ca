#include "bench/cluster.h"

#include <stdlib.h>

#include "bench/cluster_state.h"

/* Wait before an unreachable endpoint is tried again. */
#define UNREACHABLE_MS 100

/* Time after the last round starts for all to end. */
#define SETTLE_MS 120000

request_t *cluster_request(cluster_t *cluster, uint64_t id)
{
	return g_hash_table_lookup(cluster->requests, &id);
}

gboolean cluster_is_measured(const cluster_t *cluster, ms_t when)
{
	return when >= cluster->trace->warm_up && when < cluster->trace->end;
}

static void dispatch_event(void *ctx, void *arg)
{
	request_t *request = cluster_request(ctx, GPOINTER_TO_SIZE(arg));

	if (request)
		cluster_dispatch(ctx, request);
}

static void begin_request(cluster_t *cluster, const round_t *round, int step,
			  ms_t when)
{
	request_t *request = g_new0(request_t, 1);

	request->id = cluster->next_id++;
	request->round = round;
	request->step = step;
	request->arrival = when;
	request->endpoint = -1;
	g_hash_table_insert(cluster->requests, &request->id, request);
	sim_at(cluster->sim, when, dispatch_event, cluster,
	       GSIZE_TO_POINTER(request->id));
}

static void begin_round(void *ctx, void *arg)
{
	begin_request(ctx, arg, 0, sim_now(((cluster_t *)ctx)->sim));
}

static int random_entry(cluster_t *cluster)
{
	int index;

	do {
		index = g_rand_int_range(cluster->luck, 0,
					 (int)cluster->profile->instances);
	} while (!cluster->instances[index].is_alive);
	return index;
}

static void abandon(cluster_t *cluster, request_t *request)
{
	result_t *result = cluster->result;

	if (cluster_is_measured(cluster, request->arrival)) {
		result->requests++;
		result->abandoned++;
		cluster_note_given_up(cluster, request);
	}
	cluster_fleet_ended(request);
	g_hash_table_remove(cluster->requests, &request->id);
}

void cluster_retry(cluster_t *cluster, request_t *request, ms_t after)
{
	ms_t when = sim_now(cluster->sim) + after;

	if (cluster_is_measured(cluster, request->arrival))
		cluster->result->refusals++;
	request->endpoint = -1;
	cluster_fleet_ended(request);
	if (when > request->arrival + cluster->profile->patience_ms) {
		abandon(cluster, request);
		return;
	}
	sim_at(cluster->sim, when, dispatch_event, cluster,
	       GSIZE_TO_POINTER(request->id));
}

static void unreachable(cluster_t *cluster, request_t *request, int index)
{
	const step_t *step = &request->round->steps[request->step];
	const char *adapter = cluster->adapters[step->adapter];
	int home = cluster_home_of(cluster, adapter);
	const char *name;

	if (index >= 0) {
		name = cluster->endpoints[index].name;
		placement_remove_endpoint(
			cluster->instances[request->entry].table, name);
		placement_remove_endpoint(cluster->instances[home].table, name);
		home_load_failed(cluster->instances[home].home,
				 sim_now(cluster->sim), adapter, name);
	}
	cluster_retry(cluster, request, UNREACHABLE_MS);
}

void cluster_dispatch(cluster_t *cluster, request_t *request)
{
	const step_t *step = &request->round->steps[request->step];
	ms_t now = sim_now(cluster->sim);
	slots_request_t asked = {.id = request->id,
				 .adapter = cluster->adapters[step->adapter],
				 .priority = request->round->priority,
				 .arrival = request->arrival};
	endpoint_t *endpoint;
	int index;

	request->entry = random_entry(cluster);
	index = cluster_route(cluster, request);
	if (index < 0 ||
	    !cluster->instances[cluster->endpoints[index].owner].is_alive) {
		unreachable(cluster, request, index);
		return;
	}
	endpoint = &cluster->endpoints[index];
	request->endpoint = index;
	request->dispatched = now;
	if (!slots_has_resident(endpoint->slots, asked.adapter))
		cluster_note_miss(cluster, request);
	asked.deadline = request->arrival + cluster->profile->patience_ms;
	if (cluster->policy->no_priorities)
		asked.priority = 0;
	slots_submit(endpoint->slots, now, &asked);
	cluster_expect_next(cluster, request);
}

void cluster_first_token(void *ctx, uint64_t id)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	request_t *request = cluster_request(cluster, id);
	result_t *result = cluster->result;
	double wait = (double)(sim_now(cluster->sim) - request->arrival);

	if (request->had_first ||
	    !cluster_is_measured(cluster, request->arrival))
		return;
	request->had_first = TRUE;
	g_array_append_val(result->first_tokens, wait);
	result->caller_sum[request->round->caller] += wait;
	result->caller_count[request->round->caller]++;
}

void cluster_ended(void *ctx, uint64_t id)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	request_t *request = cluster_request(cluster, id);
	const round_t *round = request->round;
	ms_t now = sim_now(cluster->sim);
	int next = request->step + 1;

	if (!request->orphan)
		slots_request_ended(endpoint->slots, now, id, TRUE);
	if (cluster_is_measured(cluster, request->arrival)) {
		cluster->result->requests++;
		cluster->result->answered++;
	}
	cluster_fleet_ended(request);
	g_hash_table_remove(cluster->requests, &id);
	if (next < round->step_count)
		begin_request(cluster, round, next,
			      now + round->steps[next].think);
}

static void on_drop(void *ctx, const char *endpoint, const char *adapter)
{
	instance_t *instance = ctx;
	cluster_t *cluster = instance->cluster;
	int index = atoi(endpoint + 1);

	slots_demote(cluster->endpoints[index].slots, sim_now(cluster->sim),
		     adapter);
}

static void home_event(void *ctx, void *arg)
{
	instance_t *instance = ctx;
	ms_t due = home_tick(instance->home, sim_now(instance->cluster->sim));

	sim_at(instance->cluster->sim, due, home_event, ctx, arg);
}

static void make_instance(cluster_t *cluster, int index)
{
	static const home_actions_t actions = {.drop = on_drop};
	const policy_t *policy = cluster->policy;
	instance_t *instance = &cluster->instances[index];
	placement_config_t placement;
	home_config_t home;

	instance->cluster = cluster;
	instance->index = index;
	instance->is_alive = TRUE;
	g_snprintf(instance->name, NAME_SIZE, "i%d", index);
	placement_config_init(&placement);
	placement.prefix_limit = 4096;
	placement.stale_after = MAX(placement.stale_after, 2 * policy->news);
	if (policy->blind)
		placement.stale_after = MS_NEVER;
	instance->table = placement_create(&placement, cluster->rand);
	home_config_init(&home);
	home.stall_weight =
		(double)cluster->profile->stall_weight_thousandths / 1000;
	if (policy->sample > 0)
		home.sample = policy->sample;
	if (policy->full_view)
		home.sample = 0;
	if (policy->no_replicas)
		home.replica_limit = 1;
	if (policy->no_memory)
		home.pending_time = 0;
	instance->home = home_create(&home, instance->table, &actions, instance,
				     cluster->rand);
	instance->fleet = cluster_fleet_create(cluster);
	instance->wants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim_at(cluster->sim, MS_PER_S, home_event, instance, NULL);
}

static void make_endpoint(cluster_t *cluster, int index)
{
	endpoint_t *endpoint = &cluster->endpoints[index];
	int i;

	endpoint->cluster = cluster;
	endpoint->index = index;
	endpoint->owner = index % (int)cluster->profile->instances;
	g_snprintf(endpoint->name, NAME_SIZE, "e%d", index);
	endpoint->engine = engine_create(cluster->sim, cluster->profile,
					 cluster_engine_actions(), endpoint);
	endpoint->held = g_new(int, cluster->profile->slots);
	endpoint->ordered = g_new0(ms_t, cluster->profile->slots);
	endpoint->loaded = g_new0(ms_t, cluster->profile->slots);
	for (i = 0; i < cluster->profile->slots; i++)
		endpoint->held[i] = -1;
	cluster_owner_init(endpoint);
}

static void make_adapters(cluster_t *cluster)
{
	int i;

	cluster->adapter_count = (int)MAX(cluster->profile->adapters, 1);
	cluster->adapters = g_new0(char *, cluster->adapter_count);
	cluster->is_known = g_new0(gboolean, cluster->adapter_count);
	for (i = 0; i < cluster->adapter_count; i++) {
		cluster->adapters[i] = g_strdup_printf("a%d@1", i);
	}
}

static void setup(cluster_t *cluster, unsigned int seed)
{
	const profile_t *profile = cluster->profile;
	broker_config_t broker;
	int i;

	cluster->sim = sim_create();
	cluster->rand = g_rand_new_with_seed(seed);
	cluster->luck = g_rand_new_with_seed(seed + 1);
	cluster->store = bench_store_create(cluster->sim, profile);
	cluster->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	cluster->next_id = 1;
	cluster->broker_due = MS_NEVER;
	broker_config_init(&broker, (double)profile->loads_per_1000s / MS_PER_S,
			   (int)profile->transit_limit);
	broker.fifo = cluster->policy->granting == GRANT_FIFO;
	cluster->broker =
		broker_create(&broker, cluster_broker_actions(), cluster);
	make_adapters(cluster);
	cluster->instances = g_new0(instance_t, profile->instances);
	cluster->endpoints = g_new0(endpoint_t, profile->endpoints);
	for (i = 0; i < profile->instances; i++)
		make_instance(cluster, i);
	for (i = 0; i < profile->endpoints; i++)
		make_endpoint(cluster, i);
}

static void teardown(cluster_t *cluster)
{
	int i;

	for (i = 0; i < cluster->profile->endpoints; i++) {
		slots_destroy(cluster->endpoints[i].slots);
		engine_destroy(cluster->endpoints[i].engine);
		g_free(cluster->endpoints[i].held);
		g_free(cluster->endpoints[i].ordered);
		g_free(cluster->endpoints[i].loaded);
	}
	for (i = 0; i < cluster->profile->instances; i++) {
		home_destroy(cluster->instances[i].home);
		fleet_destroy(cluster->instances[i].fleet);
		g_hash_table_destroy(cluster->instances[i].wants);
		placement_destroy(cluster->instances[i].table);
	}
	for (i = 0; i < cluster->adapter_count; i++)
		g_free(cluster->adapters[i]);
	g_free(cluster->adapters);
	g_free(cluster->is_known);
	g_free(cluster->endpoints);
	g_free(cluster->instances);
	broker_destroy(cluster->broker);
	bench_store_destroy(cluster->store);
	g_hash_table_destroy(cluster->requests);
	g_rand_free(cluster->rand);
	g_rand_free(cluster->luck);
	sim_destroy(cluster->sim);
}

result_t *cluster_run(const profile_t *profile, const trace_t *trace,
		      scenario_t scenario, const policy_t *policy,
		      unsigned int seed)
{
	cluster_t cluster = {.profile = profile,
			     .trace = trace,
			     .policy = policy,
			     .scenario = scenario,
			     .result = result_create(profile)};
	unsigned int i;

	setup(&cluster, seed);
	for (i = 0; i < trace->rounds->len; i++) {
		round_t *round = &g_array_index(trace->rounds, round_t, i);

		sim_at(cluster.sim, round->start, begin_round, &cluster, round);
	}
	cluster_publish_start(&cluster);
	cluster_schedule_faults(&cluster);
	sim_run(cluster.sim, trace->end + SETTLE_MS);
	cluster.result->seconds =
		(double)(trace->end - trace->warm_up) / MS_PER_S;
	teardown(&cluster);
	return cluster.result;
}
