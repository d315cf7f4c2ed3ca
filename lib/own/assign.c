#include "own/assign.h"

#include <string.h>

#include "base/hash.h"

typedef struct {
	const char *id;
	size_t index;
} sorted_endpoint_t;

static int compare_ids(const void *a, const void *b)
{
	return strcmp(((const sorted_endpoint_t *)a)->id,
		      ((const sorted_endpoint_t *)b)->id);
}

/* TRUE if the candidate is preferred to the best member found so far. */
static gboolean is_better(const assign_endpoint_t *endpoint,
			  const assign_member_t *candidate,
			  const assign_member_t *best)
{
	gboolean is_same_domain;
	uint64_t weight;
	uint64_t best_weight;

	if (!best)
		return TRUE;
	is_same_domain =
		!strcmp(candidate->failure_domain, endpoint->failure_domain);
	if (is_same_domain !=
	    !strcmp(best->failure_domain, endpoint->failure_domain))
		return is_same_domain;
	weight = hash_rendezvous(endpoint->id, candidate->name);
	best_weight = hash_rendezvous(endpoint->id, best->name);
	if (weight != best_weight)
		return weight > best_weight;
	return strcmp(candidate->name, best->name) < 0;
}

static int choose_member(const assign_endpoint_t *endpoint,
			 const assign_member_t *members, size_t member_count,
			 const size_t *loads, size_t limit)
{
	int best = -1;
	size_t i;

	for (i = 0; i < member_count; i++) {
		if (loads[i] < limit &&
		    is_better(endpoint, &members[i],
			      best < 0 ? NULL : &members[best]))
			best = (int)i;
	}
	return best;
}

void assign_endpoints(const assign_endpoint_t *endpoints, size_t endpoint_count,
		      const assign_member_t *members, size_t member_count,
		      int *owners)
{
	sorted_endpoint_t *sorted = g_new0(sorted_endpoint_t, endpoint_count);
	size_t *loads = g_new0(size_t, member_count + 1);
	size_t share = member_count ? endpoint_count / member_count : 0;
	size_t i;

	for (i = 0; i < endpoint_count; i++) {
		sorted[i].id = endpoints[i].id;
		sorted[i].index = i;
	}
	if (endpoint_count)
		qsort(sorted, endpoint_count, sizeof(*sorted), compare_ids);
	for (i = 0; i < endpoint_count; i++) {
		size_t index = sorted[i].index;
		/* The remaining endpoints raise some members to share + 1. */
		gboolean is_even = i < share * member_count;
		size_t limit = is_even ? share : share + 1;

		owners[index] = choose_member(&endpoints[index], members,
					      member_count, loads, limit);
		if (owners[index] >= 0)
			loads[owners[index]]++;
	}
	g_free(sorted);
	g_free(loads);
}
