#include "sched/placement.h"

#include <string.h>

#define DEFAULT_AFFINITY_SLACK 0.25
#define DEFAULT_STALE_MS       15000
#define DEFAULT_PREFIX_LIMIT   65536

struct holder;

typedef struct {
	char *name;
	char *owner;
	uint64_t epoch;
	uint64_t sequence;
	slots_utilization_t load;
	int sent; /* requests since the last news */
	ms_t updated;
	GPtrArray *holders; /* adapters resident here */
} endpoint_t;

/* Where one adapter is resident. */
typedef struct holder {
	char *name;
	GPtrArray *endpoints;
} holder_t;

typedef struct {
	uint64_t prefix;
	const endpoint_t *endpoint;
} prefix_t;

struct placement {
	placement_config_t config;
	GRand *rand;
	GHashTable *endpoints; /* name to endpoint_t */
	GHashTable *holders;   /* adapter to holder_t */
	prefix_t *prefixes;    /* a direct-mapped table */
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

	g_ptr_array_free(endpoint->holders, TRUE);
	g_free(endpoint->name);
	g_free(endpoint->owner);
	g_free(endpoint);
}

static void holder_free(void *data)
{
	holder_t *holder = data;

	g_ptr_array_free(holder->endpoints, TRUE);
	g_free(holder->name);
	g_free(holder);
}

placement_t *placement_create(const placement_config_t *config, GRand *rand)
{
	placement_t *placement = g_new0(placement_t, 1);

	g_assert(config->prefix_limit > 0);
	placement->config = *config;
	placement->rand = rand;
	placement->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, endpoint_free);
	placement->holders = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, holder_free);
	placement->prefixes = g_new0(prefix_t, config->prefix_limit);
	return placement;
}

void placement_destroy(placement_t *placement)
{
	if (!placement)
		return;
	g_hash_table_destroy(placement->holders);
	g_hash_table_destroy(placement->endpoints);
	g_free(placement->prefixes);
	g_free(placement);
}

static void link_adapter(placement_t *placement, endpoint_t *endpoint,
			 const char *adapter)
{
	holder_t *holder = g_hash_table_lookup(placement->holders, adapter);

	if (!holder) {
		holder = g_new0(holder_t, 1);
		holder->name = g_strdup(adapter);
		holder->endpoints = g_ptr_array_sized_new(1);
		g_hash_table_insert(placement->holders, holder->name, holder);
	}
	if (g_ptr_array_find(holder->endpoints, endpoint, NULL))
		return;
	g_ptr_array_add(holder->endpoints, endpoint);
	g_ptr_array_add(endpoint->holders, holder);
}

static void unlink_adapter(placement_t *placement, endpoint_t *endpoint,
			   holder_t *holder)
{
	g_ptr_array_remove_fast(holder->endpoints, endpoint);
	g_ptr_array_remove_fast(endpoint->holders, holder);
	if (holder->endpoints->len == 0)
		g_hash_table_remove(placement->holders, holder->name);
}

static void unlink_all(placement_t *placement, endpoint_t *endpoint)
{
	while (endpoint->holders->len > 0)
		unlink_adapter(placement, endpoint,
			       g_ptr_array_index(endpoint->holders, 0));
}

void placement_remove_adapter(placement_t *placement, const char *endpoint_name,
			      const char *adapter)
{
	endpoint_t *endpoint =
		g_hash_table_lookup(placement->endpoints, endpoint_name);
	holder_t *holder = g_hash_table_lookup(placement->holders, adapter);

	if (!endpoint || !holder)
		return;
	if (g_ptr_array_find(holder->endpoints, endpoint, NULL))
		unlink_adapter(placement, endpoint, holder);
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
	endpoint->holders = g_ptr_array_new();
	g_hash_table_insert(placement->endpoints, endpoint->name, endpoint);
	return endpoint;
}

static placement_result_t judge(const endpoint_t *endpoint,
				const placement_update_t *news)
{
	if (news->epoch < endpoint->epoch)
		return PLACEMENT_OLD;
	if (news->epoch == endpoint->epoch &&
	    news->sequence <= endpoint->sequence)
		return PLACEMENT_OLD;
	if (news->snapshot)
		return PLACEMENT_APPLIED;
	if (news->epoch != endpoint->epoch ||
	    news->sequence != endpoint->sequence + 1)
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
				   const placement_update_t *news)
{
	endpoint_t *endpoint = endpoint_get(placement, news->endpoint);
	placement_result_t result = judge(endpoint, news);
	const char *const *name;

	if (result != PLACEMENT_APPLIED)
		return result;
	if (news->snapshot)
		unlink_all(placement, endpoint);
	for (name = news->removed; name && *name; name++)
		placement_remove_adapter(placement, news->endpoint, *name);
	for (name = news->added; name && *name; name++)
		link_adapter(placement, endpoint, *name);
	set_owner(endpoint, news->owner);
	endpoint->epoch = news->epoch;
	endpoint->sequence = news->sequence;
	endpoint->load = news->load;
	endpoint->sent = 0;
	endpoint->updated = now;
	return PLACEMENT_APPLIED;
}

static double load_of(const endpoint_t *endpoint)
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

/* The usable holders of an adapter; free with g_ptr_array_free(). */
static GPtrArray *usable_holders(const placement_t *placement, ms_t now,
				 const holder_t *holder)
{
	GPtrArray *usable = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < holder->endpoints->len; i++) {
		endpoint_t *endpoint = g_ptr_array_index(holder->endpoints, i);

		if (is_usable(placement, now, endpoint))
			g_ptr_array_add(usable, endpoint);
	}
	return usable;
}

/*
 * The less loaded of two random holders.  Entries that all took the least of
 * all would crowd it until the next news.
 */
static const endpoint_t *less_loaded(const placement_t *placement, ms_t now,
				     const holder_t *holder)
{
	GPtrArray *usable = usable_holders(placement, now, holder);
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
		if (load_of(second) < load_of(first))
			first = second;
	}
	g_ptr_array_free(usable, TRUE);
	return first;
}

static const prefix_t *prefix_slot(const placement_t *placement,
				   uint64_t prefix)
{
	return &placement->prefixes[prefix % placement->config.prefix_limit];
}

/* The endpoint that ran the prefix last, if it still holds the adapter. */
static const endpoint_t *prefix_endpoint(const placement_t *placement, ms_t now,
					 const holder_t *holder,
					 uint64_t prefix)
{
	const prefix_t *known = prefix_slot(placement, prefix);

	if (prefix == 0 || known->prefix != prefix || !known->endpoint)
		return NULL;
	if (!g_ptr_array_find(holder->endpoints, known->endpoint, NULL))
		return NULL;
	if (!is_usable(placement, now, known->endpoint))
		return NULL;
	return known->endpoint;
}

gboolean placement_choose(placement_t *placement, ms_t now, const char *adapter,
			  uint64_t prefix, placement_choice_t *choice)
{
	const holder_t *holder =
		g_hash_table_lookup(placement->holders, adapter);
	const endpoint_t *chosen;
	const endpoint_t *familiar;

	*choice = (placement_choice_t){0};
	if (!holder)
		return FALSE;
	chosen = less_loaded(placement, now, holder);
	if (!chosen)
		return FALSE;
	familiar = prefix_endpoint(placement, now, holder, prefix);
	if (familiar &&
	    load_of(familiar) <=
		    load_of(chosen) + placement->config.affinity_slack) {
		chosen = familiar;
		choice->affinity = TRUE;
	}
	choice->endpoint = chosen->name;
	choice->owner = chosen->owner;
	choice->load = load_of(chosen);
	choice->replicas = (int)holder->endpoints->len;
	choice->age = now - chosen->updated;
	return TRUE;
}

void placement_record_sent(placement_t *placement, const char *name,
			   uint64_t prefix)
{
	endpoint_t *endpoint = g_hash_table_lookup(placement->endpoints, name);
	prefix_t *known;

	if (!endpoint)
		return;
	endpoint->sent++;
	if (prefix == 0)
		return;
	known = &placement->prefixes[prefix % placement->config.prefix_limit];
	known->prefix = prefix;
	known->endpoint = endpoint;
}

void placement_foreach(const placement_t *placement, ms_t now,
		       const char *adapter, placement_visit_t visit, void *ctx)
{
	const holder_t *holder = NULL;
	GHashTableIter iter;
	void *value;

	if (adapter)
		holder = g_hash_table_lookup(placement->holders, adapter);
	g_hash_table_iter_init(&iter, placement->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const endpoint_t *endpoint = value;
		slots_utilization_t load = endpoint->load;
		gboolean holds;

		if (!is_usable(placement, now, endpoint))
			continue;
		load.waiting += endpoint->sent;
		holds = holder &&
			g_ptr_array_find(holder->endpoints, endpoint, NULL);
		visit(ctx, endpoint->name, endpoint->owner, &load, holds);
	}
}

gboolean placement_is_resident(const placement_t *placement,
			       const char *endpoint, const char *adapter)
{
	const holder_t *holder =
		g_hash_table_lookup(placement->holders, adapter);

	return holder &&
	       g_ptr_array_find(
		       holder->endpoints,
		       g_hash_table_lookup(placement->endpoints, endpoint),
		       NULL);
}

int placement_replicas(const placement_t *placement, const char *adapter)
{
	const holder_t *holder =
		g_hash_table_lookup(placement->holders, adapter);

	return holder ? (int)holder->endpoints->len : 0;
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
	return g_hash_table_size(placement->holders);
}
