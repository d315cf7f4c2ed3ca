/*
 * Fault injection in the cluster model: engine restart and loss of an owner.
 */

#include "bench/cluster_state.h"

#define DETECT_MS      1000 /* from the loss of an owner to its detection */
#define TAKEOVER_MS    3000 /* from the loss of an owner to the takeover */
#define IDLE_REPORT_MS 2000 /* from the takeover to reports of idle slots */

static GPtrArray *requests_of(cluster_t *cluster, const endpoint_t *endpoint)
{
	GPtrArray *found = g_ptr_array_new();
	uint64_t id;

	/* Iterate by id, as the order of the hash table is not deterministic.
	 */
	for (id = 1; id < cluster->next_id; id++) {
		request_t *request = cluster_find_request(cluster, id);

		if (request && request->endpoint == endpoint->index)
			g_ptr_array_add(found, request);
	}
	return found;
}

static void restart_engine(void *ctx, void *arg)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	GPtrArray *found = requests_of(cluster, endpoint);
	ms_t now = sim_now(cluster->sim);
	unsigned int i;
	int slot;

	endpoint->generation++;
	engine_restart(endpoint->engine);
	for (slot = 0; slot < cluster->profile->slots; slot++)
		endpoint->slot_adapters[slot] = -1;
	slots_engine_restarted(endpoint->slots, now);
	for (i = 0; i < found->len; i++) {
		request_t *request = g_ptr_array_index(found, i);

		if (!request->is_started)
			continue;
		slots_request_ended(endpoint->slots, now, request->id, TRUE);
		cluster_retry(cluster, request, 0);
	}
	g_ptr_array_free(found, TRUE);
}

static void report_idle(void *ctx, void *arg)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	int slot;

	for (slot = 0; slot < cluster->profile->slots; slot++)
		slots_clear_predecessor_busy(endpoint->slots,
					     sim_now(cluster->sim), slot);
}

static void take_over(void *ctx, void *arg)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	ms_t now = sim_now(cluster->sim);
	int slot;

	slots_destroy(endpoint->slots);
	endpoint->generation++;
	endpoint->owner =
		(endpoint->owner + 1) % (int)cluster->profile->instances;
	cluster_make_slots(endpoint);
	endpoint->epoch++;
	endpoint->sequence = 0;
	endpoint->placement_changed = TRUE;
	for (slot = 0; slot < cluster->profile->slots; slot++) {
		int adapter = endpoint->slot_adapters[slot];

		if (adapter >= 0)
			slots_add_resident(endpoint->slots, now, slot,
					   cluster->adapters[adapter]);
	}
	cluster_publish(endpoint);
	sim_at(cluster->sim, now + IDLE_REPORT_MS, report_idle, endpoint, NULL);
}

/* Queued requests are retried; running ones continue without an owner. */
static void lose_owner(void *ctx, void *arg)
{
	instance_t *instance = ctx;
	cluster_t *cluster = instance->cluster;
	ms_t now = sim_now(cluster->sim);
	int i;

	instance->is_alive = FALSE;
	for (i = 0; i < cluster->profile->endpoints; i++) {
		endpoint_t *endpoint = &cluster->endpoints[i];
		GPtrArray *found;
		unsigned int j;

		if (endpoint->owner != instance->index)
			continue;
		/* Ignore the completion of loads and unloads in progress. */
		endpoint->generation++;
		found = requests_of(cluster, endpoint);
		for (j = 0; j < found->len; j++) {
			request_t *request = g_ptr_array_index(found, j);

			request->is_orphan = request->is_started;
			if (!request->is_started)
				cluster_retry(cluster, request, DETECT_MS);
		}
		g_ptr_array_free(found, TRUE);
		broker_endpoint_gone(cluster->broker, endpoint->name);
		sim_at(cluster->sim, now + TAKEOVER_MS, take_over, endpoint,
		       NULL);
	}
}

void cluster_schedule_faults(cluster_t *cluster)
{
	ms_t half = cluster->trace->end / 2;

	if (cluster->scenario == SCENARIO_RESTART)
		sim_at(cluster->sim, half, restart_engine,
		       &cluster->endpoints[0], NULL);
	if (cluster->scenario == SCENARIO_OWNER)
		sim_at(cluster->sim, half, lose_owner, &cluster->instances[0],
		       NULL);
}
