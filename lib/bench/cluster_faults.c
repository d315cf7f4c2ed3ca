/*
 * Faults of the cluster model: an engine restarts, an owner is lost.
 */

#include "bench/cluster_state.h"

#define DETECT_MS      1000 /* until a lost owner is noticed */
#define TAKEOVER_MS    3000 /* until its endpoints have a new owner */
#define IDLE_REPORT_MS 2000 /* lag of the engines' reports */

static GPtrArray *requests_of(cluster_t *cluster, const endpoint_t *endpoint)
{
	GPtrArray *found = g_ptr_array_new();
	uint64_t id;

	/* By number, so that the order does not depend on the hash table. */
	for (id = 1; id < cluster->next_id; id++) {
		request_t *request = cluster_request(cluster, id);

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
	engine_clear(endpoint->engine);
	for (slot = 0; slot < cluster->profile->slots; slot++)
		endpoint->held[slot] = -1;
	slots_engine_restarted(endpoint->slots, now);
	for (i = 0; i < found->len; i++) {
		request_t *request = g_ptr_array_index(found, i);

		if (!request->started)
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
	endpoint->changed = TRUE;
	for (slot = 0; slot < cluster->profile->slots; slot++) {
		int adapter = endpoint->held[slot];

		if (adapter >= 0)
			slots_add_resident(endpoint->slots, now, slot,
					   cluster->adapters[adapter]);
	}
	cluster_publish(endpoint);
	sim_at(cluster->sim, now + IDLE_REPORT_MS, report_idle, endpoint, NULL);
}

/* Queued requests are sent anew; running ones go on without an owner. */
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
		/* What its orders still do no longer reaches the owner. */
		endpoint->generation++;
		found = requests_of(cluster, endpoint);
		for (j = 0; j < found->len; j++) {
			request_t *request = g_ptr_array_index(found, j);

			request->orphan = request->started;
			if (!request->started)
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
