#include "sched/placement.h"

#include <string.h>

#define DEFAULT_AFFINITY_SLACK 0.25
#define DEFAULT_STALE_MS       15000
#define DEFAULT_PREFIX_LIMIT   65536

struct adapter_entry;

typedef struct {
	char *name;
	char *owner;
	uint64_t epoch;
	uint64_t sequence;
	slots_utilization_t load;
	int sent; /* requests sent since the last update */
	ms_t updated;
	GPtrArray *adapters; /* adapters resident here */
} endpoint_t;

/* The endpoints on which one adapter is resident. */
typedef struct adapter_entry {
	char *name;
	GPtrArray *endpoints;
} adapter_entry_t;

typedef struct {
	uint64_t prefix;
	const endpoint_t *endpoint;
} prefix_t;

struct placement {
	placement_config_t config;
	GRand *rand;
	GHashTable *endpoints; /* name to endpoint_t */
	GHashTable *adapters;  /* adapter to adapter_entry_t */
	prefix_t *prefixes;    /* direct-mapped cache */
};

void placement_config_init(placement_config_t *config)
{
	*config = (placement_config_t){
		.affinity_slack = DEFAULT_AFFINITY_SLACK,
		.stale_after = DEFAULT_STALE_MS,
		.prefix_limit = DEFAULT_PREFIX_LIMIT,
	};
}

static void endpoint_free(void *data)
{
	endpoint_t *endpoint = data;

	g_ptr_array_free(endpoint->adapters, TRUE);
	g_free(endpoint->name);
	g_free(endpoint->owner);
	g_free(endpoint);
}

static void adapter_entry_free(void *data)
{
	adapter_entry_t *entry = data;

	g_ptr_array_free(entry->endpoints, TRUE);
	g_free(entry->name);
	g_free(entry);
}

placement_t *placement_create(const placement_config_t *config, GRand *rand)
{
	placement_t *placement = g_new0(placement_t, 1);

	g_assert(config->prefix_limit > 0);
	placement->config = *config;
	placement->rand = rand;
	placement->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, endpoint_free);
	placement->adapters = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, adapter_entry_free);
	placement->prefixes = g_new0(prefix_t, config->prefix_limit);
	return placement;
}

void placement_destroy(placement_t *placement)
{
	if (!placement)
		return;
	g_hash_table_destroy(placement->adapters);
	g_hash_table_destroy(placement->endpoints);
	g_free(placement->prefixes);
	g_free(placement);
}

static void link_adapter(placement_t *placement, endpoint_t *endpoint,
			 const char *adapter)
{
	adapter_entry_t *entry =
		g_hash_table_lookup(placement->adapters, adapter);

	if (!entry) {
		entry = g_new0(adapter_entry_t, 1);
		entry->name = g_strdup(adapter);
		entry->endpoints = g_ptr_array_sized_new(1);
		g_hash_table_insert(placement->adapters, entry->name, entry);
	}
	if (g_ptr_array_find(entry->endpoints, endpoint, NULL))
		return;
	g_ptr_array_add(entry->endpoints, endpoint);
	g_ptr_array_add(endpoint->adapters, entry);
}

static void unlink_adapter(placement_t *placement, endpoint_t *endpoint,
			   adapter_entry_t *entry)
{
	g_ptr_array_remove_fast(entry->endpoints, endpoint);
	g_ptr_array_remove_fast(endpoint->adapters, entry);
	if (entry->endpoints->len == 0)
		g_hash_table_remove(placement->adapters, entry->name);
}

static void unlink_all(placement_t *placement, endpoint_t *endpoint)
{
	while (endpoint->adapters->len > 0)
		unlink_adapter(placement, endpoint,
			       g_ptr_array_index(endpoint->adapters, 0));
}

void placement_remove_adapter(placement_t *placement, const char *endpoint_name,
			      const char *adapter)
{
	endpoint_t *endpoint =
		g_hash_table_lookup(placement->endpoints, endpoint_name);
	adapter_entry_t *entry =
		g_hash_table_lookup(placement->adapters, adapter);

	if (!endpoint || !entry)
		return;
	if (g_ptr_array_find(entry->endpoints, endpoint, NULL))
		unlink_adapter(placement, endpoint, entry);
}

void placement_remove_endpoint(placement_t *placement, const char *name)
{
	endpoint_t *endpoint = g_hash_table_lookup(placement->endpoints, name);
	unsigned int i;

	if (!endpoint)
		return;
	unlink_all(placement, endpoint);
	for (i = 0; i < placement->config.prefix_limit; i++)
		if (placement->prefixes[i].endpoint == endpoint)
			placement->prefixes[i] = (prefix_t){0};
	g_hash_table_remove(placement->endpoints, name);
}

static endpoint_t *endpoint_get(placement_t *placement, const char *name)
{
	endpoint_t *endpoint = g_hash_table_lookup(placement->endpoints, name);

	if (endpoint)
		return endpoint;
	endpoint = g_new0(endpoint_t, 1);
	endpoint->name = g_strdup(name);
	endpoint->adapters = g_ptr_array_new();
	g_hash_table_insert(placement->endpoints, endpoint->name, endpoint);
	return endpoint;
}

static placement_result_t check_sequence(const endpoint_t *endpoint,
					 const placement_update_t *update)
{
	if (update->epoch < endpoint->epoch)
		return PLACEMENT_OUTDATED;
	if (update->epoch == endpoint->epoch &&
	    update->sequence <= endpoint->sequence)
		return PLACEMENT_OUTDATED;
	if (update->snapshot)
		return PLACEMENT_APPLIED;
	if (update->epoch != endpoint->epoch ||
	    update->sequence != endpoint->sequence + 1)
		return PLACEMENT_GAP;
	return PLACEMENT_APPLIED;
}

static void set_owner(endpoint_t *endpoint, const char *owner)
{
	if (endpoint->owner && !strcmp(endpoint->owner, owner))
		return;
	g_free(endpoint->owner);
	endpoint->owner = g_strdup(owner);
}

placement_result_t placement_apply(placement_t *placement, ms_t now,
				   const placement_update_t *update)
{
	endpoint_t *endpoint = endpoint_get(placement, update->endpoint);
	placement_result_t result = check_sequence(endpoint, update);
	const char *const *name;

	if (result != PLACEMENT_APPLIED)
		return result;
	if (update->snapshot)
		unlink_all(placement, endpoint);
	for (name = update->removed; name && *name; name++)
		placement_remove_adapter(placement, update->endpoint, *name);
	for (name = update->added; name && *name; name++)
		link_adapter(placement, endpoint, *name);
	set_owner(endpoint, update->owner);
	endpoint->epoch = update->epoch;
	endpoint->sequence = update->sequence;
	endpoint->load = update->load;
	endpoint->sent = 0;
	endpoint->updated = now;
	return PLACEMENT_APPLIED;
}

static double load_ratio(const endpoint_t *endpoint)
{
	int requests = endpoint->load.running + endpoint->load.waiting +
		       endpoint->sent;

	return (double)requests / MAX(endpoint->load.concurrency, 1);
}

static gboolean is_usable(const placement_t *placement, ms_t now,
			  const endpoint_t *endpoint)
{
	return endpoint->owner && !endpoint->load.leaving &&
	       now - endpoint->updated <= placement->config.stale_after;
}

/*
 * The endpoints that hold the adapter and are neither stale nor leaving.  Free
 * the array with g_ptr_array_free().
 */
static GPtrArray *usable_replicas(const placement_t *placement, ms_t now,
				  const adapter_entry_t *entry)
{
	GPtrArray *usable = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < entry->endpoints->len; i++) {
		endpoint_t *endpoint = g_ptr_array_index(entry->endpoints, i);

		if (is_usable(placement, now, endpoint))
			g_ptr_array_add(usable, endpoint);
	}
	return usable;
}

/*
 * The less loaded of two random replicas ("power of two choices").  If all
 * entries chose the least loaded one, they would overload it until its next
 * update.
 */
static const endpoint_t *choose_less_loaded(const placement_t *placement,
					    ms_t now,
					    const adapter_entry_t *entry)
{
	GPtrArray *usable = usable_replicas(placement, now, entry);
	const endpoint_t *first = NULL;
	const endpoint_t *second;
	int chosen;

	if (usable->len > 0) {
		chosen = g_rand_int_range(placement->rand, 0, (int)usable->len);
		first = g_ptr_array_remove_index_fast(usable, chosen);
	}
	if (usable->len > 0) {
		chosen = g_rand_int_range(placement->rand, 0, (int)usable->len);
		second = g_ptr_array_index(usable, chosen);
		if (load_ratio(second) < load_ratio(first))
			first = second;
	}
	g_ptr_array_free(usable, TRUE);
	return first;
}

static const prefix_t *prefix_entry(const placement_t *placement,
				    uint64_t prefix)
{
	return &placement->prefixes[prefix % placement->config.prefix_limit];
}

/* The endpoint that last ran the prefix, if it still holds the adapter. */
static const endpoint_t *prefix_endpoint(const placement_t *placement, ms_t now,
					 const adapter_entry_t *entry,
					 uint64_t prefix)
{
	const prefix_t *cached = prefix_entry(placement, prefix);

	if (prefix == 0 || cached->prefix != prefix || !cached->endpoint)
		return NULL;
	if (!g_ptr_array_find(entry->endpoints, cached->endpoint, NULL))
		return NULL;
	if (!is_usable(placement, now, cached->endpoint))
		return NULL;
	return cached->endpoint;
}

gboolean placement_choose(placement_t *placement, ms_t now, const char *adapter,
			  uint64_t prefix, placement_choice_t *choice)
{
	const adapter_entry_t *entry =
		g_hash_table_lookup(placement->adapters, adapter);
	const endpoint_t *chosen;
	const endpoint_t *prefix_match;

	*choice = (placement_choice_t){0};
	if (!entry)
		return FALSE;
	chosen = choose_less_loaded(placement, now, entry);
	if (!chosen)
		return FALSE;
	prefix_match = prefix_endpoint(placement, now, entry, prefix);
	if (prefix_match &&
	    load_ratio(prefix_match) <=
		    load_ratio(chosen) + placement->config.affinity_slack) {
		chosen = prefix_match;
		choice->affinity = TRUE;
	}
	choice->endpoint = chosen->name;
	choice->owner = chosen->owner;
	choice->load = load_ratio(chosen);
	choice->replicas = (int)entry->endpoints->len;
	choice->age = now - chosen->updated;
	return TRUE;
}

void placement_record_sent(placement_t *placement, const char *name,
			   uint64_t prefix)
{
	endpoint_t *endpoint = g_hash_table_lookup(placement->endpoints, name);
	prefix_t *cached;

	if (!endpoint)
		return;
	endpoint->sent++;
	if (prefix == 0)
		return;
	cached = &placement->prefixes[prefix % placement->config.prefix_limit];
	cached->prefix = prefix;
	cached->endpoint = endpoint;
}

void placement_foreach(const placement_t *placement, ms_t now,
		       const char *adapter, placement_visit_t visit, void *ctx)
{
	const adapter_entry_t *entry = NULL;
	GHashTableIter iter;
	void *value;

	if (adapter)
		entry = g_hash_table_lookup(placement->adapters, adapter);
	g_hash_table_iter_init(&iter, placement->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const endpoint_t *endpoint = value;
		slots_utilization_t load = endpoint->load;
		gboolean holds;

		if (!is_usable(placement, now, endpoint))
			continue;
		load.waiting += endpoint->sent;
		holds = entry &&
			g_ptr_array_find(entry->endpoints, endpoint, NULL);
		visit(ctx, endpoint->name, endpoint->owner, &load, holds);
	}
}

gboolean placement_is_resident(const placement_t *placement,
			       const char *endpoint, const char *adapter)
{
	const adapter_entry_t *entry =
		g_hash_table_lookup(placement->adapters, adapter);

	return entry &&
	       g_ptr_array_find(
		       entry->endpoints,
		       g_hash_table_lookup(placement->endpoints, endpoint),
		       NULL);
}

int placement_replicas(const placement_t *placement, const char *adapter)
{
	const adapter_entry_t *entry =
		g_hash_table_lookup(placement->adapters, adapter);

	return entry ? (int)entry->endpoints->len : 0;
}

const char *placement_owner(const placement_t *placement, const char *name)
{
	const endpoint_t *endpoint =
		g_hash_table_lookup(placement->endpoints, name);

	return endpoint ? endpoint->owner : NULL;
}

unsigned int placement_endpoint_count(const placement_t *placement)
{
	return g_hash_table_size(placement->endpoints);
}

unsigned int placement_adapter_count(const placement_t *placement)
{
	return g_hash_table_size(placement->adapters);
}
