/*
 * Accounts for stalls by the reason of the miss and by what was waited for.
 */

#include "bench/cluster_state.h"

static int adapter_of(const request_t *request)
{
	return request->round->steps[request->step].adapter;
}

static gboolean is_resident_anywhere(const cluster_t *cluster,
				     const char *adapter)
{
	int i;

	for (i = 0; i < cluster->profile->endpoints; i++)
		if (slots_has_resident(cluster->endpoints[i].slots, adapter))
			return TRUE;
	return FALSE;
}

/* Only the first miss of a request determines its reason. */
void cluster_record_miss(cluster_t *cluster, request_t *request)
{
	int adapter = adapter_of(request);

	if (request->is_stalled)
		return;
	request->is_stalled = TRUE;
	if (!cluster->was_loaded[adapter])
		request->miss = MISS_FIRST;
	else if (is_resident_anywhere(cluster, cluster->adapters[adapter]))
		request->miss = MISS_COPY;
	else
		request->miss = MISS_AGAIN;
}

static void record_stall(cluster_t *cluster, const request_t *request)
{
	result_t *result = cluster->result;
	double stall = (double)(sim_now(cluster->sim) - request->arrival);

	g_array_append_val(result->stalls, stall);
	result->miss_ms[request->miss] += stall;
}

/*
 * Split the stall at the start and at the end of the load.  A request that was
 * dispatched after either of them did not wait for it.
 */
static void record_waits(const endpoint_t *endpoint, const request_t *request,
			 int slot)
{
	double *waits = endpoint->cluster->result->wait_ms;
	ms_t now = sim_now(endpoint->cluster->sim);
	ms_t dispatched = request->dispatched;
	ms_t load_ordered =
		CLAMP(endpoint->load_ordered[slot], dispatched, now);
	ms_t load_ended = CLAMP(endpoint->load_ended[slot], load_ordered, now);

	waits[WAIT_PAUSE] += (double)(dispatched - request->arrival);
	waits[WAIT_GRANT] += (double)(load_ordered - dispatched);
	waits[WAIT_LOAD] += (double)(load_ended - load_ordered);
	waits[WAIT_PLACE] += (double)(now - load_ended);
}

void cluster_record_stall(const endpoint_t *endpoint, const request_t *request,
			  int slot)
{
	cluster_t *cluster = endpoint->cluster;
	result_t *result = cluster->result;
	double stall = (double)(sim_now(cluster->sim) - request->arrival);
	int priority = request->round->priority;

	if (!request->is_stalled || request->is_started ||
	    !cluster_is_measured(cluster, request->arrival))
		return;
	record_stall(cluster, request);
	record_waits(endpoint, request, slot);
	g_array_append_val(result->priority_stalls[priority], stall);
	if (adapter_of(request) >= cluster->profile->adapters / 10)
		g_array_append_val(result->tail_stalls, stall);
}

/* The whole wait of an abandoned request counts as WAIT_PAUSE. */
void cluster_record_abandoned(cluster_t *cluster, const request_t *request)
{
	if (!request->is_stalled || request->is_started)
		return;
	record_stall(cluster, request);
	cluster->result->wait_ms[WAIT_PAUSE] +=
		(double)(sim_now(cluster->sim) - request->arrival);
}
