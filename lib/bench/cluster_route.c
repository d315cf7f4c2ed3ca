/*
 * The choice of an endpoint for a request.
 */

#include <stdlib.h>

#include "base/hash.h"
#include "bench/cluster_state.h"

typedef struct {
	const char *adapter;
	routing_t routing;
	const char *endpoint;
	double load;
	uint64_t weight;
} baseline_search_t;

static int endpoint_index(const char *name)
{
	return atoi(name + 1);
}

int cluster_home_of(const cluster_t *cluster, const char *adapter)
{
	uint64_t best = 0;
	int chosen = -1;
	int i;

	for (i = 0; i < cluster->profile->instances; i++) {
		const instance_t *instance = &cluster->instances[i];
		uint64_t weight;

		if (!instance->is_alive)
			continue;
		weight = hash_rendezvous(adapter, instance->name);
		if (chosen < 0 || weight > best) {
			best = weight;
			chosen = i;
		}
	}
	return chosen;
}

static void visit_baseline(void *ctx, const char *endpoint, const char *owner,
			   const slots_utilization_t *load, gboolean holds)
{
	baseline_search_t *search = ctx;
	double value = (double)(load->running + load->waiting) /
		       MAX(load->concurrency, 1);
	uint64_t weight = hash_rendezvous(search->adapter, endpoint);
	gboolean better;

	if (search->routing == ROUTE_HASH)
		better = weight > search->weight;
	else
		better = value < search->load ||
			 (value == search->load && weight > search->weight);
	if (search->endpoint && !better)
		return;
	search->endpoint = endpoint;
	search->load = value;
	search->weight = weight;
}

static int route_baseline(cluster_t *cluster, const request_t *request,
			  const char *adapter)
{
	placement_t *table = cluster->instances[request->entry].table;
	baseline_search_t search = {.adapter = adapter,
				    .routing = cluster->policy->routing};

	placement_foreach(table, sim_now(cluster->sim), adapter, visit_baseline,
			  &search);
	if (!search.endpoint)
		return -1;
	placement_record_sent(table, search.endpoint, 0);
	return endpoint_index(search.endpoint);
}

static const char *ask_home(cluster_t *cluster, const char *adapter,
			    gboolean crowded)
{
	int index = cluster_home_of(cluster, adapter);
	home_choice_t choice;

	if (index < 0)
		return NULL;
	if (home_place(cluster->instances[index].home, sim_now(cluster->sim),
		       adapter, crowded, &choice) == HOME_NO_ENDPOINT)
		return NULL;
	return choice.endpoint;
}

int cluster_route(cluster_t *cluster, request_t *request)
{
	const step_t *step = &request->round->steps[request->step];
	const char *adapter = cluster->adapters[step->adapter];
	placement_t *table = cluster->instances[request->entry].table;
	uint64_t prefix =
		cluster->policy->no_affinity ? 0 : request->round->prefix;
	const char *endpoint = NULL;
	placement_choice_t choice;
	home_config_t config;

	if (cluster->policy->routing == ROUTE_FLEET)
		return cluster_fleet_route(cluster, request, adapter);
	if (cluster->policy->routing != ROUTE_HOME)
		return route_baseline(cluster, request, adapter);
	home_config_init(&config);
	if (!placement_choose(table, sim_now(cluster->sim), adapter, prefix,
			      &choice))
		endpoint = ask_home(cluster, adapter, FALSE);
	else if (choice.load >= config.crowded_load)
		endpoint = ask_home(cluster, adapter, TRUE);
	else
		endpoint = choice.endpoint;
	if (!endpoint)
		return -1;
	placement_record_sent(table, endpoint, prefix);
	return endpoint_index(endpoint);
}

/* Load the adapter ahead that the round may turn to, or keep it. */
void cluster_expect_next(cluster_t *cluster, const request_t *request)
{
	const step_t *step = &request->round->steps[request->step];
	placement_t *table = cluster->instances[request->entry].table;
	ms_t now = sim_now(cluster->sim);
	int partner = trace_partner(cluster->profile, step->adapter);
	const char *next = cluster->adapters[partner];
	placement_choice_t choice;
	const char *name;

	if (!cluster->policy->ahead || partner == step->adapter)
		return;
	if (placement_choose(table, now, next, 0, &choice))
		name = choice.endpoint;
	else
		name = ask_home(cluster, next, FALSE);
	if (name)
		slots_expect_request(
			cluster->endpoints[endpoint_index(name)].slots, now,
			next, TRACE_PARTNER_SHARE);
}
