#include "hold/fair_queue.h"

/* Flows from which on those that say nothing any more are removed. */
#define FLOWS_KEPT 256

struct fair_flow {
	int64_t counter;
	guint requests; /* that have not ended */
	guint refused;	/* that may return */
	ms_t refused_at;
	int64_t refused_start; /* virtual time at the first of them */
};

struct fair_queue {
	GHashTable *flows; /* name to fair_flow_t */
	guint sweep_size;  /* number of flows at which to remove some */
	int64_t virtual_time;
};

fair_queue_t *fair_queue_create(void)
{
	fair_queue_t *fair_queue = g_new0(fair_queue_t, 1);

	fair_queue->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fair_queue->sweep_size = FLOWS_KEPT;
	return fair_queue;
}

void fair_queue_destroy(fair_queue_t *fair_queue)
{
	g_hash_table_destroy(fair_queue->flows);
	g_free(fair_queue);
}

int64_t fair_queue_cost(int64_t tokens_in, int64_t tokens_out)
{
	/* What a caller states may be anything. */
	int64_t most = G_MAXINT32;

	return CLAMP(tokens_in, 1, most) +
	       FAIR_TOKENS_OUT_WEIGHT * CLAMP(tokens_out, 0, most);
}

static gboolean may_return(const fair_flow_t *flow, ms_t now)
{
	return flow->refused && now < flow->refused_at + FAIR_RETURN_MS;
}

static int64_t flow_start(const fair_queue_t *fair_queue, ms_t now,
			  const fair_flow_t *flow)
{
	return MAX(flow->counter, may_return(flow, now)
					  ? flow->refused_start
					  : fair_queue->virtual_time);
}

int64_t fair_queue_start(const fair_queue_t *fair_queue, ms_t now,
			 const char *name)
{
	const fair_flow_t *flow = g_hash_table_lookup(fair_queue->flows, name);

	return flow ? flow_start(fair_queue, now, flow)
		    : fair_queue->virtual_time;
}

typedef struct {
	const fair_queue_t *fair_queue;
	ms_t now;
} sweep_t;

/* A flow whose counter is behind would start as a new one does. */
static gboolean is_forgettable(gpointer key, gpointer value, gpointer ctx)
{
	const fair_flow_t *flow = value;
	const sweep_t *sweep = ctx;

	return !flow->requests && !may_return(flow, sweep->now) &&
	       flow->counter <= sweep->fair_queue->virtual_time;
}

static fair_flow_t *get_flow(fair_queue_t *fair_queue, ms_t now,
			     const char *name)
{
	fair_flow_t *flow = g_hash_table_lookup(fair_queue->flows, name);
	sweep_t sweep = {fair_queue, now};

	if (flow)
		return flow;
	if (g_hash_table_size(fair_queue->flows) >= fair_queue->sweep_size) {
		g_hash_table_foreach_remove(fair_queue->flows, is_forgettable,
					    &sweep);
		fair_queue->sweep_size = MAX(
			2 * g_hash_table_size(fair_queue->flows), FLOWS_KEPT);
	}
	flow = g_new0(fair_flow_t, 1);
	g_hash_table_insert(fair_queue->flows, g_strdup(name), flow);
	return flow;
}

fair_flow_t *fair_queue_add(fair_queue_t *fair_queue, ms_t now,
			    const char *name, int64_t cost, int64_t *start)
{
	fair_flow_t *flow = get_flow(fair_queue, now, name);

	*start = flow_start(fair_queue, now, flow);
	flow->counter = *start + cost;
	flow->requests++;
	if (flow->refused)
		flow->refused--;
	return flow;
}

void fair_queue_refuse(fair_queue_t *fair_queue, ms_t now, const char *name)
{
	fair_flow_t *flow = get_flow(fair_queue, now, name);

	if (!may_return(flow, now)) {
		flow->refused = 0;
		flow->refused_start = fair_queue->virtual_time;
	}
	flow->refused++;
	flow->refused_at = now;
}

void fair_queue_serve(fair_queue_t *fair_queue, int64_t start)
{
	fair_queue->virtual_time = MAX(fair_queue->virtual_time, start);
}

void fair_queue_end(fair_queue_t *fair_queue, fair_flow_t *flow,
		    int64_t returned)
{
	g_assert(flow->requests > 0);
	flow->requests--;
	flow->counter -= returned;
}

void fair_queue_clear(fair_queue_t *fair_queue)
{
	g_hash_table_remove_all(fair_queue->flows);
	fair_queue->virtual_time = 0;
}

int64_t fair_queue_spread(const fair_queue_t *fair_queue)
{
	GHashTableIter iter;
	gpointer value;
	int64_t low = INT64_MAX;
	int64_t high = 0;

	g_hash_table_iter_init(&iter, fair_queue->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fair_flow_t *flow = value;

		if (!flow->requests)
			continue;
		low = MIN(low, flow->counter);
		high = MAX(high, flow->counter);
	}
	return high > low ? high - low : 0;
}
