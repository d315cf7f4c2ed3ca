/*
 * Stalls of the cluster model, and what they come from.
 */

#include "bench/cluster_state.h"

static int adapter_of(const request_t *request)
{
	return request->round->steps[request->step].adapter;
}

static gboolean is_elsewhere(const cluster_t *cluster, const char *adapter)
{
	int i;

	for (i = 0; i < cluster->profile->endpoints; i++)
		if (slots_has_resident(cluster->endpoints[i].slots, adapter))
			return TRUE;
	return FALSE;
}

/* The reason of the first miss counts. */
void cluster_note_miss(cluster_t *cluster, request_t *request)
{
	int adapter = adapter_of(request);

	if (request->stalled)
		return;
	request->stalled = TRUE;
	if (!cluster->is_known[adapter])
		request->miss = MISS_FIRST;
	else if (is_elsewhere(cluster, cluster->adapters[adapter]))
		request->miss = MISS_COPY;
	else
		request->miss = MISS_AGAIN;
}

static void note_stall(cluster_t *cluster, const request_t *request)
{
	result_t *result = cluster->result;
	double stall = (double)(sim_now(cluster->sim) - request->arrival);

	g_array_append_val(result->stalls, stall);
	result->miss_ms[request->miss] += stall;
}

/*
 * Split the stall at the order and the end of the load.  Who comes after them
 * did not wait for them.
 */
static void note_waits(const endpoint_t *endpoint, const request_t *request,
		       int slot)
{
	double *waits = endpoint->cluster->result->wait_ms;
	ms_t now = sim_now(endpoint->cluster->sim);
	ms_t taken = request->dispatched;
	ms_t ordered = CLAMP(endpoint->ordered[slot], taken, now);
	ms_t loaded = CLAMP(endpoint->loaded[slot], ordered, now);

	waits[WAIT_PAUSE] += (double)(taken - request->arrival);
	waits[WAIT_GRANT] += (double)(ordered - taken);
	waits[WAIT_LOAD] += (double)(loaded - ordered);
	waits[WAIT_PLACE] += (double)(now - loaded);
}

void cluster_note_stall(const endpoint_t *endpoint, const request_t *request,
			int slot)
{
	cluster_t *cluster = endpoint->cluster;
	result_t *result = cluster->result;
	double stall = (double)(sim_now(cluster->sim) - request->arrival);
	int priority = request->round->priority;

	if (!request->stalled || request->started ||
	    !cluster_is_measured(cluster, request->arrival))
		return;
	note_stall(cluster, request);
	note_waits(endpoint, request, slot);
	g_array_append_val(result->priority_stalls[priority], stall);
	if (adapter_of(request) >= cluster->profile->adapters / 10)
		g_array_append_val(result->tail_stalls, stall);
}

/* All of the wait of a caller that gave up counts as pauses. */
void cluster_note_given_up(cluster_t *cluster, const request_t *request)
{
	if (!request->stalled || request->started)
		return;
	note_stall(cluster, request);
	cluster->result->wait_ms[WAIT_PAUSE] +=
		(double)(sim_now(cluster->sim) - request->arrival);
}
